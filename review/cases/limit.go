package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"
	"github.com/sedgehatch/sedgehatch/soak"
)

const (
	limitMilliCPU = 27_000
	limitTask     = 400 * time.Millisecond
	limitPatience = 1500 * time.Millisecond
	limitInterval = 90 * time.Millisecond // between two jobs of the customers of a zone

	// Two tasks fit on an upstream before its capacity shrinks, and one afterwards.
	shrunkMilliCPU = 40_000
	shrinksAfter   = 200 * time.Millisecond // after the disruptions begin
	// shrunkCounts is ContactMs and one heartbeat: from then on a capacity that has shrunk counts.
	shrunkCounts = 3000*time.Millisecond + 1500*time.Millisecond

	turnedAwayFor = 7 * time.Second // the longest time in the site file with count = 1
	warmUp        = 3 * time.Second
	coolDown      = 2 * time.Second
)

// playLimit shrinks the upstreams of a zone while the store turns the zone's instance away and the
// other instance is being started again.
func playLimit(r *record, trouble bool) (string, error) {
	d, err := newDeployment(r, shape{zones: 2, instances: 1, upstreams: 3}, func(string) fleet.Resources {
		return fleet.Resources{MilliCPU: limitMilliCPU, MemoryMB: taskMemoryMB}
	})
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return "", err
	}
	other, owner := d.instances[0], d.instances[1]
	watched := watchLimit(d, owner.zone)
	var customers sync.WaitGroup
	stop := make(chan struct{})
	customers.Go(func() { d.sendSteadily(owner.zone, stop) })
	time.Sleep(warmUp)
	if trouble {
		r.add("the store turns %s away, and %s is killed", owner.name, other.name)
		owner.store.SetMode(soak.Hold)
		other.kill()
	}
	time.Sleep(shrinksAfter)
	watched.shrink()
	time.Sleep(turnedAwayFor - shrinksAfter)
	if trouble {
		r.add("the store serves %s again", owner.name)
		owner.store.SetMode(soak.Forward)
	}
	time.Sleep(coolDown)
	close(stop)
	customers.Wait()
	return watched.broken(), nil
}

// sendSteadily sends a job of one task every limitInterval to a zone until stop is closed.
func (d *deployment) sendSteadily(zone string, stop <-chan struct{}) {
	var sent sync.WaitGroup
	defer sent.Wait()
	ticker := time.NewTicker(limitInterval)
	defer ticker.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		j := job{id: newJobID(4, n), tasks: 1, milliCPU: limitMilliCPU, taskDuration: limitTask, patience: limitPatience}
		sent.Go(func() { d.submit(j, zone, 0, 1) })
	}
}

// kill ends the daemon with SIGKILL. The platform then starts it again.
func (i *instance) kill() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.expected = true
	if i.process != nil {
		_ = i.process.Signal(syscall.SIGKILL) // fails only if the process has just ended
	}
}

// limitWatch checks at each start on the upstreams of a zone whether they have room for it.
type limitWatch struct {
	d         *deployment
	upstreams []*standin.Upstream

	mu        sync.Mutex
	shrunkAt  time.Time       // zero before the capacity shrinks
	overloads []time.Duration // how long after that a start brought an upstream over its capacity
}

func watchLimit(d *deployment, zone string) *limitWatch {
	w := &limitWatch{d: d}
	for _, u := range d.upstreams {
		if d.zoneOf[u.ID] != zone {
			continue
		}
		w.upstreams = append(w.upstreams, u)
		u.WithModel(func(m *standin.UpstreamModel) {
			onStart := m.OnStart
			m.OnStart = func(r fleet.Run) {
				onStart(r)
				w.check(u.ID, r, m.Used().MilliCPU)
			}
		})
	}
	return w
}

// shrink reduces the capacity of the upstreams, which their entries in the store show at once.
func (w *limitWatch) shrink() {
	w.mu.Lock()
	w.shrunkAt = time.Now()
	w.mu.Unlock()
	for _, u := range w.upstreams {
		w.d.record.add("upstream %s shrinks to %d thousandths of a core", u.ID, shrunkMilliCPU)
		u.Resize(fleet.Resources{MilliCPU: shrunkMilliCPU, MemoryMB: capacity.MemoryMB}, shrunkCounts)
	}
}

// check records a start that brings an upstream over its capacity.
func (w *limitWatch) check(id string, r fleet.Run, used int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	after, allowed := time.Duration(0), capacity.MilliCPU
	if !w.shrunkAt.IsZero() {
		after = time.Since(w.shrunkAt)
	}
	if after > shrunkCounts {
		allowed = shrunkMilliCPU
	}
	if used > allowed {
		w.overloads = append(w.overloads, after)
		w.d.record.add("OVER CAPACITY: %s brings %s to %d of %d thousandths of a core, %v after it shrank", r.Task.Job, id, used, allowed, after.Round(time.Millisecond))
	}
}

// broken returns how LIMIT was broken, or "".
func (w *limitWatch) broken() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.overloads) == 0 {
		return ""
	}
	first, last := w.overloads[0], w.overloads[len(w.overloads)-1]
	return fmt.Sprintf("LIMIT: %d starts brought upstreams over their capacity, from %v to %v after it shrank", len(w.overloads), first.Round(time.Millisecond), last.Round(time.Millisecond))
}
