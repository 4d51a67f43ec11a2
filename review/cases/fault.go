package main

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// Two kinds of request share a service: one whose tasks need memory only, so that they leave out
// Cpu, and one of a single task that needs a two-hundredth of a core. Usually the jobs of one kind
// are over when those of the other come. While many users come at once, they meet.
const (
	memoryOnly = iota + 1
	tiny

	tinyMilliCPU = 5

	// jobInterval is the time between two jobs of a kind, and tinyOffset that from a job of the
	// first kind to the next one of the second.
	jobInterval  = time.Second
	tinyOffset   = 500 * time.Millisecond
	taskDuration = 300 * time.Millisecond

	// A burst brings burstFactor times the usual traffic of the second kind for burstLength, within
	// the limits of the site file for one kind of request: x = 1.8 and for_s = 4.0.
	burstFactor = 1.75
	burstLength = 4 * time.Second
	// bursts come burstInterval apart, and the first one burstInterval after the start.
	bursts        = 8
	burstInterval = 10 * time.Second

	// The rule: on a tenth of the machines, two at least, processes end by themselves three times.
	maxShare    = 0.1
	minMachines = 2
	endsToCount = 3

	jobPatience = 1500 * time.Millisecond
	maxAttempts = 4
)

// noDemand lets the stand-ins of the upstreams hold everything: the tasks of this case are tiny.
func noDemand(string) fleet.Resources { return fleet.Resources{} }

func newFaultJob(kind, n int) job {
	j := job{id: newJobID(kind, n), tasks: 8, taskDuration: taskDuration, patience: jobPatience}
	if kind == tiny {
		j.tasks, j.milliCPU = 1, tinyMilliCPU
	}
	return j
}

// playFault counts how often processes end by themselves.
func playFault(r *record, trouble bool) (string, error) {
	d, err := newDeployment(r, shape{zones: 2, instances: 2, upstreams: 6}, noDemand)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return "", err
	}
	rng := rand.New(rand.NewPCG(1, 1))
	var sent sync.WaitGroup
	number := [tiny + 1]int{}
	send := func(kind int, at time.Duration) {
		number[kind]++
		j, first := newFaultJob(kind, number[kind]), rng.IntN(2)
		sent.Go(func() {
			time.Sleep(at)
			d.submit(j, "z0", first, maxAttempts)
		})
	}
	length := (bursts + 1) * burstInterval
	for at := time.Duration(0); at < length; at += jobInterval {
		send(memoryOnly, at)
		send(tiny, at+tinyOffset)
	}
	if trouble {
		extra := int((burstFactor - 1) * float64(burstLength/jobInterval))
		for b := range bursts {
			begin := time.Duration(b+1) * burstInterval
			for range extra {
				send(tiny, begin+time.Duration(rng.Int64N(int64(burstLength))))
			}
		}
	}
	sent.Wait()
	return d.faults(), nil
}

// faults returns how the rule on processes that end by themselves was broken, or "".
func (d *deployment) faults() string {
	var often, all []string
	for _, i := range d.instances {
		i.mu.Lock()
		all = append(all, fmt.Sprintf("%s %d times", i.name, i.ownEnds))
		if i.ownEnds >= endsToCount {
			often = append(often, i.name)
		}
		i.mu.Unlock()
	}
	d.record.add("processes that ended by themselves: %s", strings.Join(all, ", "))
	if len(often) < max(minMachines, int(maxShare*float64(len(d.instances)))) {
		return ""
	}
	return fmt.Sprintf("Fault: processes ended by themselves at least %d times on %s (%s)", endsToCount, strings.Join(often, " and "), strings.Join(all, ", "))
}
