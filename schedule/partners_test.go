package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"

	"github.com/samber/lo"
)

// endlessWork runs a pool in virtual time on upstreams of 16 and 24 cores. There is always the same
// number of waiting jobs with one task each, whose sizes and durations differ.
type endlessWork struct {
	t         *testing.T
	pool      *Pool
	rng       *rand.Rand
	now       time.Time
	offered   int
	ends      []endlessRun
	sequences map[string]uint64
	used      map[string]int64         // CPU in use by upstream, in thousandths of a core
	longest   map[bool]time.Duration   // longest time from offer to start, of large tasks and others
	offers    map[string]Offer         // by job
	offeredAt map[string]time.Time     // by job
	durations map[string]time.Duration // by job
}

type endlessRun struct {
	at       time.Time
	upstream fleet.Upstream
	run      fleet.Run
}

const (
	endlessWaiting = 60
	largeMilliCPU  = 11500
)

func newEndlessWork(t *testing.T, policy Policy, slack time.Duration) *endlessWork {
	cfg := DefaultConfig
	cfg.Policy = policy
	capacities := make([]int64, 12)
	for i := range capacities {
		capacities[i] = 16000
		if i%3 == 2 {
			capacities[i] = 24000
		}
	}
	w := &endlessWork{
		t: t, pool: poolOf(cfg, capacities...), rng: rand.New(rand.NewPCG(3, 4)), now: startTime, sequences: map[string]uint64{}, used: map[string]int64{},
		longest: map[bool]time.Duration{}, offers: map[string]Offer{}, offeredAt: map[string]time.Time{}, durations: map[string]time.Duration{},
	}
	w.keepWaiting(slack)
	return w
}

func (w *endlessWork) keepWaiting(slack time.Duration) {
	for w.pool.Waiting() < endlessWaiting {
		w.offered++
		id := fmt.Sprintf("%016x", w.offered)
		cpu := min(8000*math.Exp(0.2*w.rng.NormFloat64()), 12000)
		took := time.Duration(100+w.rng.IntN(100)) * time.Millisecond
		o := offerOf(id, int64(cpu), 1, took)
		o.Slack = slack
		w.offers[id], w.offeredAt[id], w.durations[id] = o, w.now, took
		w.apply(w.pool.Offer(w.now, o))
	}
}

func (w *endlessWork) apply(e Effects) {
	if len(e.Stops)+len(e.Results) > w.ended(e) {
		w.t.Fatalf("stops %v, results %v", e.Stops, e.Results)
	}
	for _, s := range e.Starts {
		id := s.Order.Run.Task.Job
		demand := w.offers[id].Demand.MilliCPU
		w.used[s.Upstream.ID] += demand
		if w.used[s.Upstream.ID] > s.Upstream.Capacity.MilliCPU {
			w.t.Fatalf("%d on %s, which has %d", w.used[s.Upstream.ID], s.Upstream.ID, s.Upstream.Capacity.MilliCPU)
		}
		large := demand >= largeMilliCPU
		w.longest[large] = max(w.longest[large], w.now.Sub(w.offeredAt[id]))
		w.ends = append(w.ends, endlessRun{w.now.Add(w.durations[id]), s.Upstream, s.Order.Run})
		if e := w.pool.HandleStartResponse(w.now, s.Upstream.Incarnation(), s.Order.Run, fleet.NotRefused, nil); len(e.Starts)+len(e.Stops) > 0 {
			w.t.Fatalf("acknowledging a start starts %v and stops %v", e.Starts, e.Stops)
		}
	}
}

// ended returns the number of results of completed jobs.
func (w *endlessWork) ended(e Effects) int {
	return lo.CountBy(e.Results, func(r Result) bool { return r.Outcome == Completed })
}

// run simulates a number of ends and returns the mean share of the capacity that is in use.
func (w *endlessWork) run(ends int, slack time.Duration) float64 {
	capacity := 0.0
	for _, u := range w.pool.sortedUpstreams {
		capacity += float64(u.Capacity.MilliCPU)
	}
	busy, total := 0.0, 0.0
	for range ends {
		next := 0
		for i := range w.ends {
			if w.ends[i].at.Before(w.ends[next].at) {
				next = i
			}
		}
		r := w.ends[next]
		w.ends = append(w.ends[:next], w.ends[next+1:]...)
		for _, used := range w.used {
			busy += float64(used) / capacity * r.at.Sub(w.now).Seconds()
		}
		total += r.at.Sub(w.now).Seconds()
		w.now = r.at
		w.used[r.upstream.ID] -= w.offers[r.run.Task.Job].Demand.MilliCPU
		w.sequences[r.upstream.ID]++
		report := fleet.Report{ClockMs: w.now.Sub(startTime).Milliseconds(), Ended: []fleet.EndedRun{{Sequence: w.sequences[r.upstream.ID], Run: r.run, End: fleet.EndDone}}}
		for _, other := range w.ends {
			if other.upstream.ID == r.upstream.ID {
				left := float64(other.at.Sub(w.now)) / float64(w.durations[other.run.Task.Job])
				report.Running = append(report.Running, fleet.RunningTask{Run: other.run, Percent: int(100 * (1 - left))})
			}
		}
		w.apply(w.pool.HandleHoldResponse(w.now, r.upstream.Incarnation(), w.now, report, nil))
		w.keepWaiting(slack)
	}
	return busy / total
}

func inOrder() Policy {
	policy := DefaultPolicy
	policy.ChoosePartners = false
	return policy
}

// TestPartnersFillUpstreams checks how much of the capacity is in use if work of mixed sizes never
// runs out and has time.
func TestPartnersFillUpstreams(t *testing.T) {
	const want = 0.965
	if share := newEndlessWork(t, DefaultPolicy, time.Minute).run(4000, time.Minute); share < want {
		t.Errorf("%.3f of the capacity is in use, want at least %.3f", share, want)
	}
	if share := newEndlessWork(t, inOrder(), time.Minute).run(4000, time.Minute); share >= want {
		t.Errorf("%.3f of the capacity is in use without ChoosePartners, so that the test shows nothing", share)
	}
}

// TestPartnersStarveNobody checks that tasks that are overtaken do not wait much longer than they
// would in order, neither the large ones nor the others, once their latest start has passed.
func TestPartnersStarveNobody(t *testing.T) {
	const slack = 400 * time.Millisecond
	byFit, ordered := DefaultPolicy, inOrder()
	for _, policy := range []*Policy{&byFit, &ordered} {
		policy.RejectEarly, policy.GiveUp = false, false
	}
	w, o := newEndlessWork(t, byFit, slack), newEndlessWork(t, ordered, slack)
	w.run(4000, slack)
	o.run(4000, slack)
	for _, large := range []bool{true, false} {
		if limit := o.longest[large] * 3 / 2; w.longest[large] > limit {
			t.Errorf("large: %v: a task waits %v, want at most 1.5 times the %v in order", large, w.longest[large], o.longest[large])
		}
	}
}
