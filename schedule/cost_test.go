package schedule

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// fullPool returns a pool with waiting jobs, each with one task. Each upstream runs two tasks
// and has too little free capacity for a third.
func fullPool(upstreams, jobs int) *Pool {
	p := NewPool(DefaultConfig, 1)
	var list []fleet.Upstream
	for i := range upstreams {
		list = append(list, fleet.Upstream{ID: fmt.Sprintf("u%03d", i), Service: "s", Capacity: fleet.Resources{MilliCPU: 64000, MemoryMB: 1 << 18}})
	}
	p.SetUpstreams(startTime, list)
	for _, u := range list {
		p.HandleHoldResponse(startTime, u.Incarnation(), startTime, fleet.Report{}, nil)
	}
	for i := range 2*upstreams + jobs {
		p.Offer(startTime, largeOffer(fmt.Sprintf("%016x", i)))
	}
	return p
}

// mixedPool is like fullPool, but the sizes and durations of the tasks differ.
func mixedPool(upstreams, jobs int) *Pool {
	p := fullPool(upstreams, 0)
	rng := rand.New(rand.NewPCG(1, 2))
	for i := range jobs {
		o := largeOffer(fmt.Sprintf("%015xm", i))
		o.Demand.MilliCPU = 20000 + rng.Int64N(28000)
		o.Estimate = time.Duration(100+rng.IntN(300)) * time.Millisecond
		p.Offer(startTime, o)
	}
	return p
}

func largeOffer(id string) Offer {
	return Offer{
		Key: JobKey{"home", id, 1}, Service: "s", Route: "r", Demand: fleet.Resources{MilliCPU: 27000, MemoryMB: 64},
		Estimate: 200 * time.Millisecond, MaxAttempts: 2, Tasks: []int{0}, Stretch: 1.6, Slack: time.Minute, Timeout: time.Minute, MayQueue: true,
	}
}

// BenchmarkTick measures one tick of a full pool.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ upstreams, jobs int }{{16, 50}, {96, 100}, {96, 1000}} {
		b.Run(fmt.Sprintf("%d_upstreams_%d_waiting", size.upstreams, size.jobs), func(b *testing.B) {
			p := fullPool(size.upstreams, size.jobs)
			for b.Loop() {
				p.Tick(startTime.Add(time.Millisecond))
			}
		})
		b.Run(fmt.Sprintf("%d_upstreams_%d_waiting_mixed", size.upstreams, size.jobs), func(b *testing.B) {
			p := mixedPool(size.upstreams, size.jobs)
			for b.Loop() {
				p.Tick(startTime.Add(time.Millisecond))
			}
		})
	}
}

// BenchmarkReport measures a report that contains nothing new.
func BenchmarkReport(b *testing.B) {
	for _, size := range []struct{ upstreams, jobs int }{{16, 50}, {96, 100}, {96, 1000}} {
		b.Run(fmt.Sprintf("%d_upstreams_%d_waiting", size.upstreams, size.jobs), func(b *testing.B) {
			p := fullPool(size.upstreams, size.jobs)
			report := fleet.Report{}
			for id := range p.upstreams["u000"].runs {
				report.Running = append(report.Running, fleet.RunningTask{Run: id})
			}
			for b.Loop() {
				p.HandleHoldResponse(startTime, fleet.UpstreamIncarnation{ID: "u000"}, startTime, report, nil)
			}
		})
	}
}

// BenchmarkEnd measures a report of the end of a run, after which a waiting task starts. The
// sizes of the tasks differ.
func BenchmarkEnd(b *testing.B) {
	for _, size := range []struct{ upstreams, jobs int }{{16, 50}, {96, 100}, {96, 1000}} {
		b.Run(fmt.Sprintf("%d_upstreams_%d_waiting", size.upstreams, size.jobs), func(b *testing.B) {
			p := mixedPool(size.upstreams, size.jobs)
			sequence, offered := uint64(0), 0
			for b.Loop() {
				b.StopTimer()
				for p.Waiting() < size.jobs {
					offered++
					o := largeOffer(fmt.Sprintf("%015xo", offered))
					o.Demand.MilliCPU = 20000 + int64(offered*7919%28000)
					p.Offer(startTime, o)
				}
				sequence++
				runs := sortedRuns(p.upstreams["u000"])
				report := fleet.Report{Ended: []fleet.EndedRun{{Sequence: sequence, Run: runs[0].id, End: fleet.EndDone}}}
				for _, r := range runs[1:] {
					report.Running = append(report.Running, fleet.RunningTask{Run: r.id})
				}
				b.StartTimer()
				p.HandleHoldResponse(startTime, fleet.UpstreamIncarnation{ID: "u000"}, startTime, report, nil)
			}
		})
	}
}

// BenchmarkOffer measures offering a job and withdrawing it again.
func BenchmarkOffer(b *testing.B) {
	for _, size := range []struct{ upstreams, jobs int }{{16, 50}, {96, 100}, {96, 1000}} {
		b.Run(fmt.Sprintf("%d_upstreams_%d_waiting", size.upstreams, size.jobs), func(b *testing.B) {
			p := fullPool(size.upstreams, size.jobs)
			o := largeOffer("ffffffffffffffff")
			for b.Loop() {
				p.Offer(startTime, o)
				p.Withdraw(startTime, o.Key, "left")
			}
		})
	}
}

// TestInputsAreCheap checks that the number of allocations per input does not grow with the
// number of waiting tasks, as it would if each waiting task caused a forecast.
func TestInputsAreCheap(t *testing.T) {
	report := func(p *Pool) float64 {
		return testing.AllocsPerRun(20, func() {
			p.HandleHoldResponse(startTime, fleet.UpstreamIncarnation{ID: "u000"}, startTime, fleet.Report{}, nil)
		})
	}
	offer := func(p *Pool) float64 {
		o := largeOffer("ffffffffffffffff")
		return testing.AllocsPerRun(20, func() {
			p.Offer(startTime, o)
			p.Withdraw(startTime, o.Key, "left")
		})
	}
	entries := func(p *Pool) float64 { // unlike the report, they may make room
		var list []fleet.Upstream
		for _, u := range p.sortedUpstreams {
			list = append(list, u.Upstream)
		}
		return testing.AllocsPerRun(20, func() { p.SetUpstreams(startTime, list) })
	}
	for name, input := range map[string]func(*Pool) float64{"report": report, "offer": offer, "entries": entries} {
		few, many := input(fullPool(8, 10)), input(fullPool(8, 400))
		if many > few+8 {
			t.Errorf("%s: allocations grow with the queue: %.0f with 10 waiting tasks, %.0f with 400", name, few, many)
		}
	}
}

// TestInputsThatFreeNothingPlaceNothing checks that the queue is not gone through after an input
// that cannot have made room for a waiting task, and that it is after one that has. Going
// through the queue also sorts it, which shows here in the order of two exchanged jobs.
func TestInputsThatFreeNothingPlaceNothing(t *testing.T) {
	report := func(p *Pool, r fleet.Report) bool {
		p.queue[0], p.queue[1] = p.queue[1], p.queue[0]
		first := p.queue[0]
		p.HandleHoldResponse(startTime.Add(time.Millisecond), fleet.UpstreamIncarnation{ID: "u000"}, startTime.Add(time.Millisecond), r, nil)
		return p.queue[0] != first
	}
	newPool := func() (*Pool, fleet.Report) {
		p := fullPool(2, 0)
		for i, slack := range []time.Duration{time.Minute, 2 * time.Minute} {
			o := largeOffer(fmt.Sprintf("%016x", 100+i))
			o.Slack = slack
			p.Offer(startTime, o)
		}
		var r fleet.Report
		for id := range p.upstreams["u000"].runs {
			r.Running = append(r.Running, fleet.RunningTask{Run: id})
		}
		return p, r
	}
	p, running := newPool()
	if report(p, running) {
		t.Error("a report with nothing new made the pool look for room")
	}
	p, running = newPool()
	ended := fleet.Report{Running: running.Running[1:], Ended: []fleet.EndedRun{{Sequence: 1, Run: running.Running[0].Run, End: fleet.EndDone}}}
	waitingBefore := p.Waiting()
	report(p, ended)
	if p.Waiting() != waitingBefore-1 {
		t.Errorf("%d tasks wait after the end of a run, want one fewer than %d", p.Waiting(), waitingBefore)
	}
	p, running = newPool()
	p.cfg.Policy.PlaceWhenDue = false
	if !report(p, running) {
		t.Error("without the rule, a report with nothing new did not make the pool look for room")
	}
}
