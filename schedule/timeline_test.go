package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"

	"pgregory.net/rapid"
)

// bruteForce is a model of the forecast by size: it knows the use of each upstream in each
// millisecond up to its horizon.
type bruteForce struct {
	free [][]fleet.Resources // by upstream and millisecond
}

const bruteForceHorizon = 1600

// reserve does what timelines.reserve does for tasks of one size. It returns the start of the last
// task in milliseconds.
func (b *bruteForce) reserve(tasks int, demand fleet.Resources, took int) (int, bool) {
	last := 0
	for range tasks {
		upstream, at, left := -1, bruteForceHorizon, int64(0)
		for u := range b.free {
			start, found := b.earliest(u, demand, took)
			if !found || start > at || start == at && (start > 0 || b.free[u][0].MilliCPU >= left) && upstream >= 0 {
				continue
			}
			upstream, at, left = u, start, b.free[u][start].MilliCPU
		}
		if upstream < 0 {
			return 0, false
		}
		for ms := at; ms < min(at+took, bruteForceHorizon); ms++ {
			b.free[upstream][ms] = b.free[upstream][ms].Minus(demand)
		}
		last = max(last, at)
	}
	return last, true
}

func (b *bruteForce) earliest(u int, demand fleet.Resources, took int) (int, bool) {
	for start := range bruteForceHorizon {
		fits := true
		for ms := start; fits && ms < min(start+took, bruteForceHorizon); ms++ {
			fits = demand.Within(b.free[u][ms])
		}
		if fits {
			return start, true
		}
	}
	return 0, false
}

// randomRuns fills a pool with runs of random sizes and durations, in whole milliseconds, and
// returns the model of it.
func randomRuns(rng *rand.Rand, p *Pool) *bruteForce {
	model := &bruteForce{}
	for _, u := range p.sortedUpstreams {
		free := make([]fleet.Resources, bruteForceHorizon)
		for ms := range free {
			free[ms] = u.Capacity
		}
		for i := range rng.IntN(6) {
			demand := fleet.Resources{MilliCPU: 1000 * rng.Int64N(6), MemoryMB: rng.Int64N(4)}
			if !demand.Within(u.Capacity.Minus(u.used)) {
				continue
			}
			end := 1 + rng.IntN(60)
			j := &job{expectedTaskDuration: time.Duration(end) * time.Millisecond}
			p.trackRun(&run{
				id:  fleet.Run{Task: fleet.TaskRef{Job: fmt.Sprint(u.ID, "-", i)}, Number: 1},
				job: j, upstream: u, demand: demand, state: running, orderedAt: p.now,
			})
			for ms := range end {
				free[ms] = free[ms].Minus(demand)
			}
		}
		model.free = append(model.free, free)
	}
	return model
}

// TestForecastBySize compares the forecast by size with the model on random pools: the starts of
// a sequence of sets of tasks, some of which are undone.
func TestForecastBySize(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		p := NewPool(DefaultConfig, 1)
		p.now = startTime
		for i := range 1 + rng.IntN(5) {
			u := p.insertUpstream(fleet.Upstream{ID: fmt.Sprint(i), Service: "s", Capacity: fleet.Resources{MilliCPU: 8000 + 4000*rng.Int64N(2), MemoryMB: 8}})
			u.accepted = true
		}
		model := randomRuns(rng, p)
		for range rng.IntN(4) { // their sizes set the size classes
			p.queue = append(p.queue, &job{Offer: Offer{Service: "s", Demand: fleet.Resources{MilliCPU: 1000 + 1000*rng.Int64N(8), MemoryMB: 1 + rng.Int64N(6)}}})
		}
		f := p.newForecast("s")
		for range 1 + rng.IntN(12) {
			demand := fleet.Resources{MilliCPU: 1000 + 1000*rng.Int64N(8), MemoryMB: 1 + rng.Int64N(6)}
			tasks, took := 1+rng.IntN(4), 1+rng.IntN(30)
			set := taskSet{tasks: tasks, demand: demand, duration: time.Duration(took) * time.Millisecond}
			if rng.IntN(3) == 0 { // must leave no trace
				f.mark()
				f.reserve(set)
				f.undo()
			}
			if rng.IntN(3) == 0 {
				f.earliest(tasks, demand, set.duration)
			}
			at, found := f.reserve(set)
			want, wantFound := model.reserve(tasks, demand, took)
			if got := at.Sub(startTime) / time.Millisecond; found != wantFound || found && int(got) != want {
				t.Fatalf("%d tasks of %v for %d ms: last start at %d ms (found: %v), want %d ms (found: %v)", tasks, demand, took, got, found, want, wantFound)
			}
		}
	})
}

// TestForecastDropsLostCapacity checks that the forecast counts on no capacity of an upstream that
// is silent, and on none that an upstream has lost, and that nothing starts beyond the capacity.
func TestForecastDropsLostCapacity(t *testing.T) {
	p := poolOf(DefaultConfig, 16000, 16000)
	p.Offer(startTime, offerOf("a", 8000, 4, 100*time.Millisecond))
	second := fleet.Resources{MilliCPU: 16000}
	start := func() time.Duration {
		p.now = startTime
		at, found := p.newForecast("s").earliest(2, second, 100*time.Millisecond)
		if !found {
			return never
		}
		return at.Sub(startTime)
	}
	if at := start(); at != 100*time.Millisecond {
		t.Errorf("two tasks that fill an upstream are expected to start after %v, want 100ms", at)
	}
	p.upstreams["u1"].silent = true
	if at := start(); at != 200*time.Millisecond {
		t.Errorf("one upstream is silent: the second task is expected to start after %v, want 200ms", at)
	}
	p.upstreams["u1"].silent = false
	p.SetUpstreams(startTime, []fleet.Upstream{
		{ID: "u0", Service: "s", Capacity: fleet.Resources{MilliCPU: 16000}},
		{ID: "u1", Service: "s", Capacity: fleet.Resources{MilliCPU: 10000}, LargestCapacity: fleet.Resources{MilliCPU: 16000}},
	})
	if at := start(); at != 200*time.Millisecond {
		t.Errorf("one upstream has shrunk: the second task is expected to start after %v, want 200ms", at)
	}
	p.Offer(startTime, offerOf("b", 4000, 6, 100*time.Millisecond))
	if n := p.countFitting(p.jobs[JobKey{"home", "b", 1}], 6); n != 0 || p.Waiting() != 6 {
		t.Errorf("%d tasks fit and %d wait although both upstreams are full, want 0 and 6", n, p.Waiting())
	}
}

// TestForecastOfTrial checks that an upstream whose ejection is over counts with one task at a time.
func TestForecastOfTrial(t *testing.T) {
	p := poolOf(DefaultConfig, 16000)
	p.now = startTime.Add(time.Second)
	p.upstreams["u0"].health = health{ejected: true, ejectedUntil: startTime}
	at, found := p.newForecast("s").earliest(3, fleet.Resources{MilliCPU: 4000}, 100*time.Millisecond)
	if !found || at.Sub(p.now) != 200*time.Millisecond {
		t.Errorf("the last of three tasks is expected to start after %v (found: %v), want 200ms", at.Sub(p.now), found)
	}
}

// TestForecastOfSlowUpstream checks that the forecast starts a task on a second choice only if the
// placement does: with both the passing slowness and the lasting speed, the job must be in time.
func TestForecastOfSlowUpstream(t *testing.T) {
	const task = 100 * time.Millisecond
	for speed, want := range map[float64]time.Duration{1: 77 * time.Millisecond, 1.5: 300 * time.Millisecond} {
		p := poolOf(DefaultConfig, 8000, 8000)
		p.now = startTime
		slow, busy := p.upstreams["u0"], p.upstreams["u1"]
		slow.slowdown = slowdown{log: math.Log(1.7), updatedAt: startTime}
		slow.speed = lastingSpeed{log: math.Log(speed), expOfLog: speed}
		p.trackRun(&run{id: fleet.Run{Number: 1}, job: &job{expectedTaskDuration: 3 * task}, upstream: busy, demand: busy.Capacity, state: running, orderedAt: startTime})
		j := &job{Offer: offerOf("a", 8000, 1, task), expectedTaskDuration: task, offeredAt: startTime}
		j.Stretch, j.Slack = 2, 0
		set := taskSet{job: j, tasks: 1, demand: j.Demand, duration: task}
		at, found := p.newForecast("s").reserve(set)
		if got := at.Sub(startTime).Round(time.Millisecond); !found || got != want {
			t.Errorf("lasting factor %.1f: the task is expected to start after %v (found: %v), want %v", speed, got, found, want)
		}
		if starts := p.choose(j) != nil; starts != (want < 3*task) {
			t.Errorf("lasting factor %.1f: the task starts now: %v", speed, starts)
		}
	}
}
