package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

const (
	crowdUpstreams = 58
	crowdOffers    = 400 // per second
	crowdTick      = 25 * time.Millisecond
	crowdReport    = 100 * time.Millisecond // interval of the reports that contain nothing new
)

// crowd simulates an overloaded pool: upstreams of 32 and 48 cores and different lasting speeds,
// and jobs of several tasks of about 16 cores. It measures how long the pool takes per input.
type crowd struct {
	pool      *Pool
	rng       *rand.Rand
	now       time.Time
	runs      map[fleet.Run]crowdRun // that are executing
	sequences map[string]uint64
	offered   int
	waiting   int // sum over the ticks
	cost      map[string]time.Duration
	inputs    map[string]int
}

// crowdRun holds when a run has started and when it is going to end.
type crowdRun struct{ start, end time.Time }

func newCrowd(policy Policy) *crowd {
	cfg := DefaultConfig
	cfg.Policy = policy
	c := &crowd{pool: NewPool(cfg, 1), rng: rand.New(rand.NewPCG(1, 2)), now: startTime, runs: map[fleet.Run]crowdRun{}, sequences: map[string]uint64{}}
	c.reset()
	var list []fleet.Upstream
	for i := range crowdUpstreams {
		list = append(list, fleet.Upstream{ID: fmt.Sprintf("u%03d", i), Service: "s", Capacity: fleet.Resources{MilliCPU: 32000 + int64(i%2)*16000, MemoryMB: 1 << 18}})
	}
	c.pool.SetUpstreams(c.now, list)
	for i, u := range c.pool.sortedUpstreams {
		u.speed = lastingSpeed{meanLog: math.Log(crowdSpeed(i)), weight: maxSpeedWeight}
		c.report(u, nil)
	}
	return c
}

func crowdSpeed(i int) float64 { return []float64{1, 0.6, 1.6}[i%3] }

func (c *crowd) reset() {
	c.cost, c.inputs, c.waiting = map[string]time.Duration{}, map[string]int{}, 0
}

// measure passes an input to the pool, adds its cost to that of a kind of input, and carries out
// the orders.
func (c *crowd) measure(kind func(Effects) string, input func() Effects) {
	before := time.Now()
	e := input()
	took := time.Since(before)
	name := kind(e)
	c.cost[name] += took
	c.inputs[name]++
	for _, s := range e.Starts {
		var i int
		fmt.Sscanf(s.Upstream.ID, "u%d", &i)
		r := c.pool.upstreams[s.Upstream.ID].runs[s.Order.Run]
		took := crowdSpeed(i) * (0.7 + 0.6*c.rng.Float64()) * float64(r.job.expectedTaskDuration)
		c.runs[s.Order.Run] = crowdRun{c.now, c.now.Add(time.Duration(took))}
		c.measure(always("ack"), func() Effects {
			return c.pool.HandleStartResponse(c.now, s.Upstream.Incarnation(), s.Order.Run, fleet.NotRefused, nil)
		})
	}
	for _, s := range e.Stops {
		delete(c.runs, s.Run)
		c.measure(always("stop"), func() Effects {
			return c.pool.HandleStopResponse(c.now, s.Upstream.Incarnation(), s.Run, nil)
		})
	}
}

func always(kind string) func(Effects) string { return func(Effects) string { return kind } }

// report sends a report of an upstream with the given ends.
func (c *crowd) report(u *upstream, ended []fleet.EndedRun) {
	r := fleet.Report{ClockMs: c.now.Sub(startTime).Milliseconds(), Ended: ended}
	for _, run := range sortedRuns(u) {
		if at := c.runs[run.id]; at.end.After(c.now) {
			percent := 100 * c.now.Sub(at.start) / at.end.Sub(at.start)
			r.Running = append(r.Running, fleet.RunningTask{Run: run.id, Percent: int(percent)})
		}
	}
	c.measure(func(e Effects) string {
		switch {
		case len(ended) == 0:
			return "report"
		case len(e.Starts) > 0:
			return "end+start"
		default:
			return "end"
		}
	}, func() Effects { return c.pool.HandleHoldResponse(c.now, u.Incarnation(), c.now, r, nil) })
}

// reportEnds reports the runs that have ended, one by one.
func (c *crowd) reportEnds() {
	for _, u := range c.pool.sortedUpstreams {
		for _, r := range sortedRuns(u) {
			if at, found := c.runs[r.id]; found && !at.end.After(c.now) {
				delete(c.runs, r.id)
				c.sequences[u.ID]++
				c.report(u, []fleet.EndedRun{{Sequence: c.sequences[u.ID], Run: r.id, End: fleet.EndDone}})
			}
		}
	}
}

func (c *crowd) offer() {
	c.offered++
	o := Offer{
		Key: JobKey{"home", fmt.Sprintf("%016x", c.offered), 1}, Service: "s", Route: "r",
		Demand:   fleet.Resources{MilliCPU: 12800 + c.rng.Int64N(6400), MemoryMB: 64},
		Estimate: time.Duration(70+c.rng.IntN(80)) * time.Millisecond, MaxAttempts: 2, Stretch: 2, Slack: 60 * time.Millisecond, Timeout: 5 * time.Second, MayQueue: true,
	}
	for i := range 1 + c.rng.IntN(7) {
		o.Tasks = append(o.Tasks, i)
	}
	c.measure(func(e Effects) string {
		switch {
		case len(e.Starts) > 0:
			return "offer+start"
		case len(e.Results) > 0:
			return "offer+refusal"
		default:
			return "offer+wait"
		}
	}, func() Effects { return c.pool.Offer(c.now, o) })
	c.measure(always("load"), func() Effects { c.pool.Load(c.now); return Effects{} })
}

// step simulates the time from one tick to the next, in milliseconds.
func (c *crowd) step() {
	for range crowdTick / time.Millisecond {
		c.now = c.now.Add(time.Millisecond)
		c.reportEnds()
		if c.rng.IntN(1000) < crowdOffers {
			c.offer()
		}
		for i, u := range c.pool.sortedUpstreams {
			if (c.now.Sub(startTime)/time.Millisecond+time.Duration(i))%(crowdReport/time.Millisecond) == 0 {
				c.report(u, nil)
			}
		}
	}
	c.measure(always("tick"), func() Effects { return c.pool.Tick(c.now) })
	c.waiting += c.pool.Waiting()
}

// BenchmarkCrowd measures the inputs of an overloaded pool, with each rule that makes them costly
// switched off in turn. One iteration is the time from one tick to the next.
func BenchmarkCrowd(b *testing.B) {
	without := func(change func(*Policy)) Policy {
		policy := DefaultPolicy
		change(&policy)
		return policy
	}
	for _, c := range []struct {
		name   string
		policy Policy
	}{
		{"all", DefaultPolicy},
		{"without_FitBySize", without(func(p *Policy) { p.FitBySize = false })},
		{"without_ChoosePartners", without(func(p *Policy) { p.ChoosePartners = false })},
		{"without_LastingSpeed", without(func(p *Policy) { p.LastingSpeed = false })},
		{"without_these", without(func(p *Policy) { p.FitBySize, p.ChoosePartners, p.LastingSpeed = false, false, false })},
	} {
		b.Run(c.name, func(b *testing.B) {
			s := newCrowd(c.policy)
			for range 400 {
				s.step()
			}
			s.reset()
			for b.Loop() {
				s.step()
			}
			total := time.Duration(0)
			for kind, cost := range s.cost {
				total += cost
				b.ReportMetric(float64(cost.Microseconds())/float64(s.inputs[kind]), "us/"+kind)
			}
			simulated := float64(b.N) * crowdTick.Seconds()
			b.ReportMetric(total.Seconds()/simulated, "cores")
			b.ReportMetric(float64(s.inputs["ack"])/simulated, "starts/s")
			b.ReportMetric(float64(s.waiting)/float64(b.N), "waiting")
		})
	}
}
