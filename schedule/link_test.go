package schedule

import (
	"fmt"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// poolOnNarrowLink returns a pool of 20 upstreams with capacity for two tasks each. The owner's
// link has 2 Mbit/s, which is 250 kB per second, of which start orders may use 175 kB.
func poolOnNarrowLink(now time.Time) *Pool {
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

// wideOffer returns a job with 8 tasks of 60 ms and a specification of 1,200 bytes. The link of
// poolOnNarrowLink takes 67 ms to transmit its 8 orders. The latency objective is 166 ms, so that
// the job is admitted only if it is expected to finish within 149 ms, of which the longest task
// takes 66 ms.
func wideOffer(n int) Offer {
	return Offer{
		Key: JobKey{"c", fmt.Sprintf("%016x", n), 1}, Service: "s", Route: "r", Spec: string(make([]byte, 1200)),
		Demand: fleet.Resources{MilliCPU: 32_000}, Estimate: 60 * time.Millisecond, MaxAttempts: 4, Tasks: []int{0, 1, 2, 3, 4, 5, 6, 7},
		Stretch: 1.6, Slack: 60 * time.Millisecond, Timeout: time.Second, MayQueue: true,
	}
}

// TestBurstOnNarrowLink offers several jobs with many tasks one shortly after the other. The
// upstreams have capacity for all of them, but the link can transmit the orders of only one job
// in time. The others must be rejected before any of their tasks start. Once the link is free,
// jobs must be accepted again.
func TestBurstOnNarrowLink(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOnNarrowLink(now)
	first := p.Offer(now, wideOffer(1))
	if len(first.Starts) != 8 {
		t.Fatalf("%d tasks of the first job were started, want all 8", len(first.Starts))
	}
	if last := first.Starts[7].LinkDelay; last < 60*time.Millisecond || last > 70*time.Millisecond {
		t.Errorf("the last order of the first job is transmitted after %v, want about 67 ms", last)
	}
	if free := p.Load(now).Free; free > 1 {
		t.Errorf("the load shows free capacity for %d tasks while the link is full, want at most 1", free)
	}
	for n := 2; n <= 4; n++ {
		now = now.Add(minForecastInterval)
		e := p.Offer(now, wideOffer(n))
		if len(e.Starts) > 0 || len(e.Results) != 1 || e.Results[0].Outcome != Expired || e.Results[0].Begun {
			t.Errorf("job %d was not rejected before its first start although the link is full: %s", n, formatEffects(e))
		}
	}
	now = now.Add(60 * time.Millisecond)
	if e := p.Offer(now, wideOffer(5)); len(e.Starts) != 8 {
		t.Errorf("a job did not start all 8 tasks after the link became free again: %s", formatEffects(e))
	}
}

// TestWideLinkChangesNothing checks that a link of 1 Gbit/s limits no jobs: all of them start, as
// they would if the rate of the link were unknown.
func TestWideLinkChangesNothing(t *testing.T) {
	now := time.Unix(1000, 0)
	p := poolOnNarrowLink(now)
	p.link.rate = 125_000_000
	for n := 1; n <= 5; n++ {
		if e := p.Offer(now, wideOffer(n)); len(e.Starts) != 8 {
			t.Errorf("job %d did not start all 8 tasks at once: %s", n, formatEffects(e))
		}
	}
}
