package main

import (
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// Two cases: an instance is frozen, and customers cancel jobs on the connections that they have to it.
// When it wakes, it answers that there is no such job, but the jobs go on at other instances. In the
// first case it owned the upstreams before the freeze, and takes itself for their owner still. In the
// second case it is a spoke of a large zone, which knows no upstreams and relies on the hubs.

const (
	wakeJobs = 12

	// The zones, instances and upstreams of a small deployment, for the case of the owner.
	ownerZones     = 3
	ownerInstances = 9
	ownerUpstreams = 6

	spokeUpstreams = 4
	// fullMeshInstances is the largest number of instances of a zone without spokes.
	fullMeshInstances = 12
	// maxAdded limits the number of instances that are added until one is a spoke.
	maxAdded = 6
)

// freeze describes when things happen, counted from the beginning of a freeze.
type freeze struct {
	submitAt time.Duration // customers submit their jobs
	cancelAt time.Duration // customers send their cancellations
	length   time.Duration
}

var (
	// ownerFreeze is long enough for the other instances of the zone to replace the owner, and
	// too short for those of other zones, whose heartbeats are rarer, to close their connections.
	ownerFreeze = freeze{submitAt: 850 * time.Millisecond, cancelAt: 930 * time.Millisecond, length: time.Second}
	spokeFreeze = freeze{submitAt: 1200 * time.Millisecond, cancelAt: 2200 * time.Millisecond, length: 3 * time.Second}
)

// runWakeOwner runs the case of the owner.
func runWakeOwner(b *bench) ([]string, error) {
	if err := b.startZones(ownerZones, ownerInstances, ownerUpstreams); err != nil {
		return nil, err
	}
	for _, i := range b.instances {
		log, err := i.log()
		if err != nil {
			return nil, err
		}
		if strings.Contains(log, `"group_taken"`) {
			return b.cancelAtFrozen(i, ownerFreeze), nil
		}
	}
	return nil, errors.New("no instance owns upstreams")
}

// runWakeSpoke runs the case of the spoke. It is an instance that was added to a running zone.
func runWakeSpoke(b *bench) ([]string, error) {
	if err := b.startZones(1, fullMeshInstances, spokeUpstreams); err != nil {
		return nil, err
	}
	for n := range maxAdded {
		i, err := b.addInstance(fmt.Sprintf("z0-%d", fullMeshInstances+n), "z0")
		if err != nil {
			return nil, err
		}
		if err := i.waitReady(); err != nil {
			return nil, err
		}
		time.Sleep(warmUp)
		log, err := i.log()
		if err != nil {
			return nil, err
		}
		lastChange := log[strings.LastIndex(log, `"neighbours_changed"`)+1:]
		if strings.Contains(lastChange, `"hub":false`) {
			return b.cancelAtFrozen(i, spokeFreeze), nil
		}
	}
	return nil, errors.New("no added instance has become a spoke")
}

// startZones starts instances and upstreams, which are spread over a number of zones.
func (b *bench) startZones(zones, instances, upstreams int) error {
	if err := b.configure(1); err != nil {
		return err
	}
	b.store.SetFault(standin.NoFault, storeResponse)
	for n := range upstreams {
		if _, err := b.addUpstream(fmt.Sprintf("u%d", n+1), fmt.Sprintf("z%d", n%zones), largeKind, cancelTaskCPU, nil); err != nil {
			return err
		}
	}
	for n := range instances {
		zone := fmt.Sprintf("z%d", n%zones)
		if _, err := b.addInstance(fmt.Sprintf("%s-%d", zone, n/zones), zone); err != nil {
			return err
		}
	}
	if err := b.waitReady(); err != nil {
		return err
	}
	time.Sleep(warmUp)
	return nil
}

// cancelAtFrozen freezes an instance, submits jobs to the others of its zone, and cancels the jobs at
// the frozen instance before it wakes.
func (b *bench) cancelAtFrozen(frozen *instance, f freeze) (violations []string) {
	var others []*instance
	for _, i := range b.instances {
		if i != frozen && i.zone == frozen.zone {
			others = append(others, i)
		}
	}
	connected := make([]*customer, wakeJobs)
	jobs := make([]standin.Job, wakeJobs)
	for n := range jobs {
		jobs[n] = standin.Job{ID: fmt.Sprintf("%016x", n+1), Tasks: 1, MilliCPU: cancelTaskCPU, TaskDuration: cancelTask}
		connected[n] = b.newCustomer()
		connected[n].do(http.MethodGet, frozen, jobs[n].ID, nil, time.Second) // opens the connection
	}
	frozenAt := time.Now()
	if b.trouble {
		frozen.signal(syscall.SIGSTOP)
	}
	time.Sleep(time.Until(frozenAt.Add(f.submitAt)))
	var customers, cancels sync.WaitGroup
	for n, job := range jobs {
		customers.Go(func() {
			c := b.newCustomer()
			defer c.http.CloseIdleConnections()
			c.submit(others[n%len(others)], job, cancelDeadline)
		})
	}
	time.Sleep(time.Until(frozenAt.Add(f.cancelAt)))
	var mu sync.Mutex
	for n, job := range jobs {
		cancels.Go(func() {
			if v := b.cancelAndCheck(connected[n], frozen, job); v != "" {
				mu.Lock()
				defer mu.Unlock()
				violations = append(violations, v)
			}
		})
	}
	time.Sleep(time.Until(frozenAt.Add(f.length)))
	if b.trouble {
		frozen.signal(syscall.SIGCONT)
	}
	cancels.Wait()
	customers.Wait()
	return violations
}
