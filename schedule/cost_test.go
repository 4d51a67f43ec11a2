package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// crowdedPool returns a pool of upstreams that are full, with some jobs waiting.
func crowdedPool(upstreams, jobs int) *Pool {
	p := NewPool(DefaultConfig, 1)
	var list []fleet.Upstream
	for i := range upstreams {
		list = append(list, fleet.Upstream{ID: fmt.Sprintf("u%03d", i), Service: "s", Capacity: fleet.Resources{MilliCPU: 64000, MemoryMB: 1 << 18}})
	}
	p.SetUpstreams(epochZero, list)
	for _, u := range list {
		p.HandleHoldResponse(epochZero, u.Incarnation(), epochZero, fleet.Report{}, nil)
	}
	for i := range 2*upstreams + jobs {
		p.Offer(epochZero, crowdedOffer(fmt.Sprintf("%016x", i)))
	}
	return p
}

func crowdedOffer(id string) Offer {
	return Offer{
		Key: JobKey{"home", id, 1}, Service: "s", Route: "r", Demand: fleet.Resources{MilliCPU: 27000, MemoryMB: 64},
		Estimate: 200 * time.Millisecond, MaxAttempts: 2, Tasks: []int{0}, Stretch: 1.6, Slack: time.Minute, Timeout: time.Minute, MayQueue: true,
	}
}

// BenchmarkTick is the cost of one tick of a pool that is full.
func BenchmarkTick(b *testing.B) {
	for _, size := range []struct{ upstreams, jobs int }{{16, 50}, {96, 100}, {96, 1000}} {
		b.Run(fmt.Sprintf("%d_upstreams_%d_waiting", size.upstreams, size.jobs), func(b *testing.B) {
			p := crowdedPool(size.upstreams, size.jobs)
			for b.Loop() {
				p.Tick(epochZero.Add(time.Millisecond))
			}
		})
	}
}

// BenchmarkReport is the cost of a report that tells nothing new.
func BenchmarkReport(b *testing.B) {
	for _, size := range []struct{ upstreams, jobs int }{{16, 50}, {96, 100}, {96, 1000}} {
		b.Run(fmt.Sprintf("%d_upstreams_%d_waiting", size.upstreams, size.jobs), func(b *testing.B) {
			p := crowdedPool(size.upstreams, size.jobs)
			report := fleet.Report{}
			for id := range p.upstreams["u000"].runs {
				report.Running = append(report.Running, fleet.RunningTask{Run: id})
			}
			for b.Loop() {
				p.HandleHoldResponse(epochZero, fleet.UpstreamIncarnation{ID: "u000"}, epochZero, report, nil)
			}
		})
	}
}

// BenchmarkOffer is the cost of a job that arrives and leaves again.
func BenchmarkOffer(b *testing.B) {
	for _, size := range []struct{ upstreams, jobs int }{{16, 50}, {96, 100}, {96, 1000}} {
		b.Run(fmt.Sprintf("%d_upstreams_%d_waiting", size.upstreams, size.jobs), func(b *testing.B) {
			p := crowdedPool(size.upstreams, size.jobs)
			o := crowdedOffer("ffffffffffffffff")
			for b.Loop() {
				p.Offer(epochZero, o)
				p.Withdraw(epochZero, o.Key, "left")
			}
		})
	}
}

// TestInputsAreCheap: what an input makes does not grow with the tasks that wait
// for room. A forecast for each of them would.
func TestInputsAreCheap(t *testing.T) {
	report := func(p *Pool) float64 {
		return testing.AllocsPerRun(20, func() {
			p.HandleHoldResponse(epochZero, fleet.UpstreamIncarnation{ID: "u000"}, epochZero, fleet.Report{}, nil)
		})
	}
	offer := func(p *Pool) float64 {
		o := crowdedOffer("ffffffffffffffff")
		return testing.AllocsPerRun(20, func() {
			p.Offer(epochZero, o)
			p.Withdraw(epochZero, o.Key, "left")
		})
	}
	for name, input := range map[string]func(*Pool) float64{"report": report, "offer": offer} {
		few, many := input(crowdedPool(8, 10)), input(crowdedPool(8, 400))
		if many > few+8 {
			t.Errorf("%s: %.0f allocations with 10 tasks waiting, %.0f with 400", name, few, many)
		}
	}
}
