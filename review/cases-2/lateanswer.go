package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// The case: the answers of an upstream are cut off for about a second, and what was on the way arrives
// when the cut heals. The owner has given its runs up as lapsed and started their tasks elsewhere. An
// answer from before the lapse lists the former runs, which makes the owner lose track of the new ones.
// When the customers send their jobs again, the tasks run twice at the same time.

const (
	lateUpstreams = 24
	lateCuts      = 4 // upstreams that are cut at a time: less than the share of node_cut
	lateJobs      = 36
	lateTaskCPU   = 16000
	lateTask      = 3 * time.Second
	lateDeadline  = 3400 * time.Millisecond
	lateCutAt     = 1500 * time.Millisecond // from the submission of the jobs
	lateResend    = 1300 * time.Millisecond // ResendMs
	lateRounds    = 19
	lateRound     = 5 * time.Second

	// lateUsers keep jobs running at all times, as customers do. A coordinator without any job
	// gets a new lease from the owner with its next one.
	lateUsers    = 120
	lateUserTask = 300 * time.Millisecond
)

func runLateAnswer(b *bench) ([]string, error) {
	if err := b.configure(1); err != nil {
		return nil, err
	}
	forwarders := map[*upstream]*forwarder{}
	for n := range lateUpstreams {
		u, err := b.newUpstream(fmt.Sprintf("u%d", n+1), "z0", largeKind, 0, nil)
		if err != nil {
			return nil, err
		}
		u.WithModel(func(m *standin.UpstreamModel) { m.ClockRate = slowestClock })
		f, err := newForwarder(u.Address)
		if err != nil {
			return nil, err
		}
		defer f.close()
		forwarders[u] = f
		u.RegisterAt(f.address)
	}
	for n := range 3 {
		if _, err := b.addInstance(fmt.Sprintf("z0-%d", n), "z0"); err != nil {
			return nil, err
		}
	}
	if err := b.waitReady(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var customers sync.WaitGroup
	for n := range lateUsers {
		customers.Go(func() { b.sendJobs(n, stop, jobShape{tasks: 1, milliCPU: 1000, duration: lateUserTask}) })
	}
	time.Sleep(warmUp)
	for round := range lateRounds {
		begin := time.Now()
		for n := range lateJobs {
			job := standin.Job{ID: fmt.Sprintf("f%07x%08x", round, n), Tasks: 1, MilliCPU: lateTaskCPU, TaskDuration: lateTask}
			customers.Go(func() { b.submitAndResend(n, job) })
		}
		time.Sleep(time.Until(begin.Add(lateCutAt)))
		if b.trouble {
			for i, u := range b.busiest(lateCuts) {
				length := lateLengths[(round*lateCuts+i)%len(lateLengths)]
				customers.Go(func() {
					b.recordf("the answers of %s are cut off for %v", u.ID, length)
					forwarders[u].holdAnswers(true)
					time.Sleep(length)
					forwarders[u].holdAnswers(false)
					b.recordf("the answers of %s arrive again", u.ID)
				})
			}
		}
		time.Sleep(time.Until(begin.Add(lateRound)))
	}
	close(stop)
	customers.Wait()
	return slices.DeleteFunc(b.tracker.Violations(), func(v string) bool { return !strings.Contains(v, "still running") }), nil
}

// lateLengths are the lengths of the cuts, by turns.
var lateLengths = []time.Duration{
	1030 * time.Millisecond, 1040 * time.Millisecond, 1050 * time.Millisecond, 1060 * time.Millisecond, 1070 * time.Millisecond,
}

// slowestClock is the slowest rate at which the clock of an upstream may run.
const slowestClock = 0.98

// submitAndResend submits a job, and sends it again to another instance as long as it is not answered.
func (b *bench) submitAndResend(first int, job standin.Job) {
	c := b.newCustomer()
	defer c.http.CloseIdleConnections()
	for n := range 2 {
		a := c.submit(b.instances[(first+n)%len(b.instances)], job, lateDeadline)
		if a.status != 0 && a.status != 502 && a.status != 504 {
			return
		}
		time.Sleep(lateResend)
	}
}

// busiest returns the upstreams with the most runs of the long tasks.
func (b *bench) busiest(n int) []*upstream {
	list := slices.Clone(b.upstreams)
	slices.SortStableFunc(list, func(x, y *upstream) int { return y.countRuns("f") - x.countRuns("f") })
	return list[:n]
}

// countRuns returns the number of runs of jobs with a prefix.
func (u *upstream) countRuns(prefix string) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	count := 0
	for r := range u.running {
		if strings.HasPrefix(r.Task.Job, prefix) {
			count++
		}
	}
	return count
}
