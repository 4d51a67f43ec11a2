package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// The case: another writer overwrites the entry of an upstream once. Fields are missing, one has
// another type, and the sequence number is that writer's own. The upstream writes its entry again
// within a heartbeat. Long after that, the upstream drains.

const (
	foreignTaskCPU   = 16000
	foreignTask      = 200 * time.Millisecond
	foreignUsers     = 50
	foreignUpstreams = 10
	// foreignSequence is far above that of the upstream, which starts at 1.
	foreignSequence = 5000

	drainTimeout    = 3000 * time.Millisecond // DrainMs of the site
	calmBeforeDrain = 8 * time.Second         // longer than ContactMs
	drainLinger     = 7 * time.Second         // how long the upstream serves after it has begun to drain
)

func runForeignEntry(b *bench) ([]string, error) {
	b.withoutStartTimes = true
	if err := b.configure(1); err != nil {
		return nil, err
	}
	for n := range foreignUpstreams {
		if _, err := b.addUpstream(fmt.Sprintf("u%d", n+1), "z0", largeKind, foreignTaskCPU, nil); err != nil {
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
	for n := range foreignUsers {
		customers.Go(func() { b.sendJobs(n, stop, jobShape{tasks: 2, milliCPU: foreignTaskCPU, duration: foreignTask}) })
	}
	time.Sleep(warmUp)
	u := b.upstreams[0]
	if b.trouble {
		raw, err := foreignEntry(u)
		if err != nil {
			return nil, err
		}
		b.recordf("another writer overwrites the entry of %s: %s", u.ID, raw)
		b.store.OverwriteEntry(u.ID, raw)
	}
	time.Sleep(heartbeat)
	b.recordf("%s writes its entry again", u.ID)
	u.RegisterAt(u.Address)
	time.Sleep(calmBeforeDrain)
	violations := b.drainAndCheck(u)
	close(stop)
	customers.Wait()
	return violations, nil
}

// foreignEntry returns an entry as another writer may have produced it: labels are missing, and the
// number of slots is a text.
func foreignEntry(u *upstream) ([]byte, error) {
	return json.Marshal(map[string]any{
		"Service": service, "Address": u.Address, "Zone": u.zone, "State": "ready", "Slots": "8",
		"Capacity": map[string]any{"Cpu": u.capacity, "MemoryLimitMb": memoryMB, "Gpu": 0}, "Sequence": foreignSequence,
	})
}

// drainAndCheck makes an upstream drain, and returns a description of each start there that is later
// than DrainMs. It returns when the upstream may leave.
func (b *bench) drainAndCheck(u *upstream) []string {
	var mu sync.Mutex
	var violations []string
	drainsAt := time.Now()
	u.setOnStart(func(r fleet.Run) {
		age := time.Since(drainsAt)
		if age <= drainTimeout {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		violations = append(violations, fmt.Sprintf("%s starts run %d of task %s.%d, %v after the store accepted that it drains", u.ID, r.Number, r.Task.Job, r.Task.Index, age.Round(time.Millisecond)))
	})
	b.recordf("%s writes that it drains", u.ID)
	u.Drain()
	time.Sleep(drainLinger)
	mu.Lock()
	defer mu.Unlock()
	b.recordf("starts on %s later than %v after the store accepted that it drains: %d", u.ID, drainTimeout, len(violations))
	return violations
}
