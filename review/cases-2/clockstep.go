package main

import (
	"fmt"
	"sync"
	"time"
)

// The case: an upstream goes down and up by turns under the same ID and address, and the time of day
// on its machine steps back meanwhile. Its last incarnation then has a lower start time than the one
// before, although it started later. Long after both disruptions, the upstream drains.

const (
	flapGap   = 1000 * time.Millisecond // srv_flap, gap_s
	clockStep = 2400 * time.Millisecond // clock_step, x
	drainMs   = 3000 * time.Millisecond // DrainMs of the site

	clockStepTaskCPU = 16000
	clockStepTask    = 200 * time.Millisecond
	clockStepUsers   = 50
	// clockStepUpstreams is so large that one upstream is less than the share of srv_flap.
	clockStepUpstreams = 10
	clockStepCapacity  = 96000

	calmBeforeDrain = 8 * time.Second // longer than ContactMs
	drainLinger     = 7 * time.Second // how long the upstream serves after it has begun to drain
)

func runClockStep(b *bench) ([]string, error) {
	if err := b.configure(1); err != nil {
		return nil, err
	}
	for n := range clockStepUpstreams {
		if _, err := b.addUpstream(fmt.Sprintf("u%d", n+1), "z0", clockStepCapacity, clockStepTaskCPU, nil); err != nil {
			return nil, err
		}
	}
	first := b.upstreams[0]
	f, err := newForwarder(first.Address)
	if err != nil {
		return nil, err
	}
	defer f.close()
	first.RegisterAt(f.address)
	for n := range 2 {
		if _, err := b.addInstance(fmt.Sprintf("z0-%d", n), "z0"); err != nil {
			return nil, err
		}
	}
	if err := b.waitReady(); err != nil {
		return nil, err
	}
	stop := make(chan struct{})
	var customers sync.WaitGroup
	for n := range clockStepUsers {
		customers.Go(func() { b.sendJobs(n, stop, jobShape{tasks: 2, milliCPU: clockStepTaskCPU, duration: clockStepTask}) })
	}
	time.Sleep(warmUp)
	last := first
	if b.trouble {
		if last, err = b.flap(first, f); err != nil {
			return nil, err
		}
	} else {
		time.Sleep(3 * flapGap)
	}
	time.Sleep(calmBeforeDrain)

	violations := b.drainAndCheck(last)
	close(stop)
	customers.Wait()
	return violations, nil
}

// flap takes an upstream down and up twice, and returns its last incarnation. An incarnation is a
// stand-in of its own. The stand-in of the last one is created when its machine's clock shows the
// start time, which is the step before it gets the address.
func (b *bench) flap(u *upstream, f *forwarder) (*upstream, error) {
	b.recordf("%s goes down", u.ID)
	f.setTarget("")
	u.crash(u.capacity)
	lastUp := time.Now().Add(3 * flapGap)
	time.Sleep(time.Until(lastUp.Add(-clockStep)))
	last, err := b.newIncarnation(u)
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Until(lastUp.Add(-2 * flapGap)))
	second, err := b.newIncarnation(u)
	if err != nil {
		return nil, err
	}
	b.recordf("%s is up again; on its machine, it started at %d", u.ID, second.startedUnixMs)
	f.setTarget(second.Address)
	second.RegisterAt(f.address)
	time.Sleep(time.Until(lastUp.Add(-flapGap)))
	b.recordf("%s goes down, and the time of day on its machine steps back by %v", u.ID, clockStep)
	f.setTarget("")
	second.crash(u.capacity)
	time.Sleep(time.Until(lastUp))
	b.recordf("%s is up again; on its machine, it started at %d", u.ID, last.startedUnixMs)
	f.setTarget(last.Address)
	last.RegisterAt(f.address)
	return last, nil
}
