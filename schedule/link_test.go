package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// narrowPool is a pool of 20 upstreams with room for two tasks each, on a link of 2
// Mbit/s, of which starts may use 175 kB a second.
func narrowPool(now time.Time) *Pool {
	cfg := DefaultConfig
	cfg.LinkRate = 250_000
	p := NewPool(cfg, 1)
	var list []fleet.Upstream
	for i := range 20 {
		list = append(list, fleet.Upstream{ID: fmt.Sprintf("u%02d", i), Service: "s", Capacity: fleet.Resources{MilliCPU: 64_000}})
	}
	added, _ := p.SetUpstreams(now, list)
	for _, id := range added {
		p.HandleHoldResponse(now, fleet.UpstreamIncarnation{ID: id}, now, fleet.Report{}, nil)
	}
	return p
}

// wide is a job of 8 tasks of 60 ms whose orders have 1,200 bytes of it: 67 ms of what
// starts may use of the link. It is in time within 149 ms, of which 66 are work.
func wide(n int) Offer {
	return Offer{
		Key: JobKey{"c", fmt.Sprintf("%016x", n), 1}, Service: "s", Route: "r", Spec: string(make([]byte, 1200)),
		Demand: fleet.Resources{MilliCPU: 32_000}, Estimate: 60 * time.Millisecond, MaxAttempts: 4, Tasks: []int{0, 1, 2, 3, 4, 5, 6, 7},
		Stretch: 1.6, Slack: 60 * time.Millisecond, Timeout: time.Second, MayQueue: true,
	}
}

// TestBurstOnNarrowLink: wide jobs come together. The upstreams have room for all of
// them, the link carries one in time: the next are refused, and nothing of them has
// begun. Once the link is free, jobs are taken again.
func TestBurstOnNarrowLink(t *testing.T) {
	now := time.Unix(1000, 0)
	p := narrowPool(now)
	first := p.Offer(now, wide(1))
	if len(first.Starts) != 8 {
		t.Fatalf("%d tasks of the first job were started", len(first.Starts))
	}
	if last := first.Starts[7].LinkDelay; last < 60*time.Millisecond || last > 70*time.Millisecond {
		t.Errorf("the last of its orders is carried after %v, it has 67 ms of the link before it", last)
	}
	if free := p.Load(now).Free; free > 1 {
		t.Errorf("room for %d tasks is told while the link is full", free)
	}
	for n := 2; n <= 4; n++ {
		now = now.Add(minForecastInterval)
		e := p.Offer(now, wide(n))
		if len(e.Starts) > 0 || len(e.Results) != 1 || e.Results[0].Outcome != Expired || e.Results[0].Begun {
			t.Errorf("job %d on a full link: %s", n, text(e))
		}
	}
	now = now.Add(60 * time.Millisecond)
	if e := p.Offer(now, wide(5)); len(e.Starts) != 8 {
		t.Errorf("a job on a link that is free again: %s", text(e))
	}
}

// TestWideLinkChangesNothing: on a link of a gigabit the same jobs start as on one that
// is not known.
func TestWideLinkChangesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	p := narrowPool(now)
	p.link.rate = 125_000_000
	for n := 1; n <= 5; n++ {
		if e := p.Offer(now, wide(n)); len(e.Starts) != 8 {
			t.Errorf("job %d: %s", n, text(e))
		}
	}
}
