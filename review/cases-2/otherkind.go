package main

import (
	"fmt"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// The case: an upstream crashes and starts again under its ID as a smaller kind, while the store is
// down. The instances learn of the new incarnation from its reports, but not of its capacity.

const (
	contact   = 3000 * time.Millisecond // ContactMs of a small deployment
	heartbeat = 1500 * time.Millisecond // HeartbeatMs of a small deployment

	largeKind = 96000 // thousandths of a core; 1.5 times the other kind, as in the site files
	smallKind = 64000

	otherKindTaskCPU = 16000
	otherKindTask    = 400 * time.Millisecond
	otherKindUsers   = 40
	// otherKindUpstreams is so large that one upstream is less than the share of srv_crash.
	otherKindUpstreams = 7

	warmUp       = 3 * time.Second
	upstreamDown = time.Second
	storeOutage  = 7 * time.Second
	afterOutage  = 4 * time.Second
)

func runOtherKind(b *bench) ([]string, error) {
	var mu sync.Mutex
	var violations []string
	early := 0
	onOver := func(o overCapacity) {
		mu.Lock()
		defer mu.Unlock()
		if o.age <= contact+heartbeat {
			early++
			return
		}
		violations = append(violations, fmt.Sprintf("run %d of task %s.%d brings %s to %d of %d thousandths of a core, %v after the start of its incarnation",
			o.run.Number, o.run.Task.Job, o.run.Task.Index, o.upstream, o.used, o.capacity, o.age.Round(time.Millisecond)))
	}
	if err := b.configure(1); err != nil {
		return nil, err
	}
	for n := range otherKindUpstreams {
		if _, err := b.addUpstream(fmt.Sprintf("u%d", n+1), "z0", largeKind, otherKindTaskCPU, onOver); err != nil {
			return nil, err
		}
	}
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
	for n := range otherKindUsers {
		customers.Go(func() { b.sendJobs(n, stop, jobShape{tasks: 2, milliCPU: otherKindTaskCPU, duration: otherKindTask}) })
	}
	time.Sleep(warmUp)
	if b.trouble {
		b.recordf("the store is down")
		b.store.SetFault(standin.Unavailable, 0)
		b.upstreams[0].crash(smallKind)
		time.Sleep(upstreamDown)
		b.upstreams[0].restart()
		time.Sleep(storeOutage - upstreamDown)
		b.recordf("the store is back")
		b.store.SetFault(standin.NoFault, 0)
	} else {
		time.Sleep(storeOutage)
	}
	time.Sleep(afterOutage)
	close(stop)
	customers.Wait()
	mu.Lock()
	defer mu.Unlock()
	b.recordf("starts over the capacity within %v of the restart, which do not count: %d", contact+heartbeat, early)
	return violations, nil
}
