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

// demandOffer returns an offer whose tasks have the given demand.
func demandOffer(number, tasks int, demand fleet.Resources) Offer {
	o := largeOffer(fmt.Sprintf("%016x", number))
	o.Demand, o.Tasks = demand, nil
	for i := range tasks {
		o.Tasks = append(o.Tasks, i)
	}
	return o
}

// TestLoadBelowOneThousandthOfACore guards against the end of an owner's process by a division by
// zero when the mean CPU demand of the tasks is below a thousandth of a core.
func TestLoadBelowOneThousandthOfACore(t *testing.T) {
	memoryOnly, tiny := fleet.Resources{MemoryMB: 1}, fleet.Resources{MilliCPU: 5, MemoryMB: 1}
	for name, offers := range map[string][]Offer{
		"memory only":           {demandOffer(1, 8, memoryOnly)},
		"memory only, then CPU": {demandOffer(1, 8, memoryOnly), demandOffer(2, 1, tiny)},
		"CPU, then memory only": {demandOffer(1, 1, tiny), demandOffer(2, 8, memoryOnly)},
	} {
		p := fullPool(2, -4)
		for _, o := range offers {
			if e := p.Offer(startTime, o); len(e.Starts) != len(o.Tasks) {
				t.Errorf("%s: %d of %d tasks start", name, len(e.Starts), len(o.Tasks))
			}
			if l := p.Load(startTime); l.Free <= 0 || l.Waits.TaskMilliCPU <= 0 {
				t.Errorf("%s: load %+v of idle upstreams", name, l)
			}
		}
	}
}

// TestMemoryOnlyStartsBesideFullCPU guards against tasks that demand no CPU waiting for free CPU.
func TestMemoryOnlyStartsBesideFullCPU(t *testing.T) {
	p := fullPool(1, -2)
	capacity := p.upstreams["u000"].Capacity
	if e := p.Offer(startTime, demandOffer(1, 1, fleet.Resources{MilliCPU: capacity.MilliCPU})); len(e.Starts) != 1 {
		t.Fatalf("%d tasks start that fill the upstream, want 1", len(e.Starts))
	}
	if e := p.Offer(startTime, demandOffer(2, 3, fleet.Resources{MemoryMB: 1})); len(e.Starts) != 3 {
		t.Errorf("%d of 3 tasks start that demand no CPU", len(e.Starts))
	}
	if e := p.Offer(startTime, demandOffer(3, 1, fleet.Resources{MilliCPU: 1})); len(e.Starts) != 0 {
		t.Error("a task starts although no CPU is free")
	}
}

// extremes returns one of the smallest and largest values up to most, or one in between.
func extremes(rng *rand.Rand, most int64) int64 {
	switch rng.IntN(5) {
	case 0:
		return 0
	case 1:
		return 1
	case 2:
		return most
	default:
		return int64(math.Exp(rng.Float64() * math.Log(float64(most))))
	}
}

// extremePool drives a pool with jobs and upstreams of any size that may reach it.
type extremePool struct {
	*Pool
	rng     *rand.Rand
	now     time.Time
	offers  int
	running map[string][]fleet.RunningTask // by upstream
	ended   map[string][]fleet.EndedRun    // not acknowledged yet
}

func newExtremePool(rng *rand.Rand) *extremePool {
	cfg := DefaultConfig
	cfg.RemoteFactor = float64(extremes(rng, fleet.MaxStretch))
	x := &extremePool{Pool: NewPool(cfg, 1), rng: rng, now: startTime, running: map[string][]fleet.RunningTask{}, ended: map[string][]fleet.EndedRun{}}
	x.listUpstreams()
	return x
}

func (x *extremePool) resources() fleet.Resources {
	return fleet.Resources{MilliCPU: extremes(x.rng, fleet.MaxResource), MemoryMB: extremes(x.rng, fleet.MaxResource), GPUs: extremes(x.rng, fleet.MaxResource)}
}

// listUpstreams gives the pool upstreams of new capacities.
func (x *extremePool) listUpstreams() {
	var list []fleet.Upstream
	for i := range 1 + x.rng.IntN(4) {
		u := fleet.Upstream{ID: fmt.Sprint("u", i), Service: "s", Rack: fmt.Sprint("r", i%2), Capacity: fleet.Resources{MilliCPU: fleet.MaxResource, MemoryMB: fleet.MaxResource}}
		if x.rng.IntN(2) == 0 {
			u.Capacity = x.resources()
		}
		u.Capacity.MilliCPU = max(u.Capacity.MilliCPU, 1)
		list = append(list, u)
	}
	x.apply(x.SetUpstreams(x.now, list))
}

func (x *extremePool) apply(_ []string, e Effects) {
	for _, s := range e.Starts {
		id := s.Upstream.ID
		x.running[id] = append(x.running[id], fleet.RunningTask{Run: s.Order.Run})
		x.apply(nil, x.HandleStartResponse(x.now, s.Upstream.Incarnation(), s.Order.Run, fleet.NotRefused, nil))
	}
	for _, s := range e.Stops {
		x.end(s.Upstream.ID, s.Run, fleet.EndStopped)
		x.apply(nil, x.HandleStopResponse(x.now, s.Upstream.Incarnation(), s.Run, nil))
	}
}

// end ends a run if it executes on an upstream.
func (x *extremePool) end(id string, run fleet.Run, how fleet.End) {
	for i, r := range x.running[id] {
		if r.Run == run {
			x.running[id] = append(x.running[id][:i:i], x.running[id][i+1:]...)
			x.ended[id] = append(x.ended[id], fleet.EndedRun{Sequence: uint64(len(x.ended[id]) + 1), Run: run, End: how})
			return
		}
	}
}

func (x *extremePool) offer() {
	x.offers++
	o := demandOffer(x.offers, int(1+extremes(x.rng, 50)), x.resources())
	if x.rng.IntN(4) > 0 {
		o.Demand = fleet.Resources{MilliCPU: extremes(x.rng, 100), MemoryMB: extremes(x.rng, 100)}
	}
	o.Estimate = time.Duration(extremes(x.rng, int64(fleet.MaxDuration)))
	o.Timeout = time.Duration(extremes(x.rng, int64(fleet.MaxDuration)))
	o.Slack = time.Duration(extremes(x.rng, int64(fleet.MaxDuration)))
	o.Stretch = x.rng.Float64() * float64(extremes(x.rng, fleet.MaxStretch))
	o.Age = time.Duration(extremes(x.rng, int64(time.Second)))
	o.MaxPerUpstream = int(extremes(x.rng, math.MaxUint32))
	o.AllOrNothing, o.MayQueue, o.Begun = x.rng.IntN(3) == 0, x.rng.IntN(3) > 0, x.rng.IntN(3) == 0
	if x.rng.IntN(3) == 0 {
		o.Rack = "r0"
	}
	x.apply(nil, x.Offer(x.now, o))
}

// report lets an upstream report its runs, some of which have made progress or ended.
func (x *extremePool) report(id string) {
	u, order, known := x.HoldOrder(x.now, id)
	if !known {
		return
	}
	for _, r := range append([]fleet.RunningTask(nil), x.running[id]...) {
		switch x.rng.IntN(4) {
		case 0:
			x.end(id, r.Run, fleet.EndDone)
		case 1:
			x.end(id, r.Run, fleet.EndFailed)
		}
	}
	for i := range x.running[id] {
		x.running[id][i].Percent = int(extremes(x.rng, 200))
	}
	report := fleet.Report{ClockMs: x.now.Sub(startTime).Milliseconds() + 1, Running: x.running[id]}
	for _, e := range x.ended[id] {
		if e.Sequence > order.AckedSequence {
			report.Ended = append(report.Ended, e)
		}
	}
	x.apply(nil, x.HandleHoldResponse(x.now, u.Incarnation(), x.now, report, nil))
}

// step applies one input.
func (x *extremePool) step() {
	x.now = x.now.Add(time.Duration(extremes(x.rng, int64(200*time.Millisecond))))
	switch x.rng.IntN(8) {
	case 0, 1, 2:
		x.offer()
	case 3, 4, 5:
		for _, u := range append([]*upstream(nil), x.sortedUpstreams...) {
			x.report(u.ID)
		}
	case 6:
		x.apply(nil, x.Tick(x.now))
	default:
		if x.rng.IntN(10) == 0 {
			x.listUpstreams()
		}
	}
}

// TestExtremeJobs guards against the end of an owner's process, and against senseless loads, with
// jobs of the smallest and largest demands, estimates and objectives that an owner accepts.
func TestExtremeJobs(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		x := newExtremePool(rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 3)))
		for range 60 {
			x.step()
			l := x.Load(x.now)
			if l.Free < 0 || l.Capacity < 0 || l.Waiting < 0 {
				t.Fatalf("load %+v", l)
			}
			for i, wait := range l.Waits.Until[:l.Waits.Known] {
				if wait < 0 || i > 0 && wait < l.Waits.Until[i-1] {
					t.Fatalf("waits %v", l.Waits.Until[:l.Waits.Known])
				}
			}
			for _, j := range x.queue {
				if j.objective() < 0 {
					t.Fatalf("objective %v of a job with estimate %v, stretch %v and slack %v", j.objective(), j.Estimate, j.Stretch, j.Slack)
				}
			}
		}
	})
}

// TestForecastOfLongestTasks guards against an overflow of the forecast, which ended the owner's
// process, where the longest tasks meet an upstream on which they take many times as long.
func TestForecastOfLongestTasks(t *testing.T) {
	for seed := range uint64(2000) {
		rng := rand.New(rand.NewPCG(seed, 4))
		p := fullPool(1, -2)
		p.cfg.RemoteFactor = math.Exp(rng.Float64() * math.Log(1e7))
		f := p.newForecast("s")
		for range 50 {
			duration := time.Duration(rng.Float64() * rng.Float64() * float64(fleet.MaxDuration))
			j := &job{Offer: Offer{Rack: "elsewhere", Demand: p.upstreams["u000"].Capacity}, expectedTaskDuration: duration}
			start, found := f.reserve(taskSet{j, 1, j.Demand, duration})
			if !found {
				break
			}
			if start.Before(p.now) {
				t.Fatalf("seed %d: a task is expected to start %v ago", seed, p.now.Sub(start))
			}
		}
	}
}
