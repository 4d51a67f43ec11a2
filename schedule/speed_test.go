package schedule

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// speedSim simulates a pool with one upstream per factor: tasks take that many times longer there.
// Jobs of one task arrive all the time and take 200 ms on average on an upstream with factor 1.
type speedSim struct {
	*standin.Simulation
	t         *testing.T
	pool      *Pool
	upstreams map[string]*standin.SimulatedUpstream
	factors   map[string]float64
	durations map[string]time.Duration // of the task of a job, on an upstream with factor 1
	offered   int
	done      int
	slowStops map[string]int // runs that were stopped as slow, by upstream
}

// speedTaskDuration is the mean duration of the tasks of a speedSim on an upstream with factor 1.
const speedTaskDuration = 200 * time.Millisecond

func newSpeedSim(t *testing.T, policy Policy, seed uint64, factors ...float64) *speedSim {
	cfg := DefaultConfig
	cfg.Policy = policy
	s := &speedSim{
		Simulation: standin.NewSimulation(startTime, seed), t: t, pool: NewPool(cfg, 1), upstreams: map[string]*standin.SimulatedUpstream{},
		factors: map[string]float64{}, durations: map[string]time.Duration{}, slowStops: map[string]int{},
	}
	list := speedUpstreams(len(factors))
	for i, u := range list {
		s.factors[u.ID] = factors[i]
		s.upstreams[u.ID] = s.NewUpstream(u, func(r fleet.Run) (time.Duration, fleet.Resources) {
			return time.Duration(s.factors[u.ID] * float64(s.durations[r.Task.Job])), fleet.Resources{MilliCPU: 1000}
		})
	}
	s.setUpstreams(list)
	s.tick()
	s.arrive()
	return s
}

func speedUpstreams(count int) []fleet.Upstream {
	var list []fleet.Upstream
	for i := range count {
		list = append(list, fleet.Upstream{ID: fmt.Sprintf("u%02d", i), Service: "s", Capacity: fleet.Resources{MilliCPU: 4000, MemoryMB: 1000}})
	}
	return list
}

func (s *speedSim) setUpstreams(list []fleet.Upstream) {
	added, effects := s.pool.SetUpstreams(s.Now(), list)
	s.apply(effects)
	for _, id := range added {
		s.hold(id)
	}
}

func (s *speedSim) tick() {
	s.apply(s.pool.Tick(s.Now()))
	s.AfterFunc(25*time.Millisecond, s.tick)
}

// arrive offers a job with a task whose declared duration is off by 35%, and the next one somewhat
// later, so that about half of the capacity is used.
func (s *speedSim) arrive() {
	s.offered++
	id := fmt.Sprintf("j%06d", s.offered)
	s.durations[id] = time.Duration(float64(speedTaskDuration) * math.Exp(0.3*s.Rand.NormFloat64()))
	estimate := time.Duration(float64(s.durations[id]) * math.Exp(0.35*s.Rand.NormFloat64()))
	s.apply(s.pool.Offer(s.Now(), Offer{
		Key: JobKey{"home", id, 0}, Service: "s", Route: "r", Demand: fleet.Resources{MilliCPU: 1000}, Estimate: estimate, MaxAttempts: 2,
		Tasks: []int{0}, Stretch: 3, Slack: 200 * time.Millisecond, Timeout: 5 * time.Second, MayQueue: true,
	}))
	slots := 4 * len(s.factors)
	s.AfterFunc(time.Duration(s.Rand.ExpFloat64()*2*float64(speedTaskDuration)/float64(slots)), s.arrive)
}

func (s *speedSim) apply(e Effects) {
	for _, d := range e.Decisions {
		if d.Kind == DecidedStop && d.Reason == "slow" {
			s.slowStops[d.Upstream]++
		}
	}
	for _, r := range e.Results {
		if r.Outcome == Completed {
			s.done++
		}
	}
	for _, start := range e.Starts {
		s.upstreams[start.Upstream.ID].CallStart(start.Order, startTimeout, func(r fleet.Refusal, err error) {
			s.apply(s.pool.HandleStartResponse(s.Now(), start.Upstream.Incarnation(), start.Order.Run, r, err))
		})
	}
	for _, stop := range e.Stops {
		s.upstreams[stop.Upstream.ID].CallStop(stop.Run, s.pool.Token(), callTimeout, func(err error) {
			s.apply(s.pool.HandleStopResponse(s.Now(), stop.Upstream.Incarnation(), stop.Run, err))
		})
	}
	for _, id := range e.Polls {
		if _, o, found := s.pool.PollOrder(s.Now(), id); found {
			s.callHold(id, o, func() {})
		}
	}
}

func (s *speedSim) hold(id string) {
	if _, o, found := s.pool.HoldOrder(s.Now(), id); found {
		s.callHold(id, o, func() { s.hold(id) })
	}
}

func (s *speedSim) callHold(id string, o fleet.HoldOrder, then func()) {
	sent := s.Now()
	s.upstreams[id].CallHold(o, time.Second, func(report fleet.Report, err error) {
		s.apply(s.pool.HandleHoldResponse(s.Now(), fleet.UpstreamIncarnation{ID: id}, sent, report, err))
		then()
	})
}

func (s *speedSim) runFor(d time.Duration) { s.Run(s.Now().Add(d)) }

func (s *speedSim) totalSlowStops() int {
	n := 0
	for _, count := range s.slowStops {
		n += count
	}
	return n
}

// logOf returns the logarithm of the factor that the pool uses for an upstream.
func (s *speedSim) logOf(id string) float64 { return s.pool.upstreams[id].speed.log }

// repeat returns the factors n times in a row.
func repeat(n int, factors ...float64) []float64 { return slices.Repeat(factors, n) }

// slowStopsAfterLearning returns how many runs are stopped as slow in a minute, after 20 s, on sound
// upstreams with the given factors.
func slowStopsAfterLearning(t *testing.T, policy Policy, factors []float64) int {
	s := newSpeedSim(t, policy, 1, factors...)
	s.runFor(20 * time.Second)
	clear(s.slowStops)
	s.runFor(time.Minute)
	return s.totalSlowStops()
}

// TestSoundSlowerUpstreams checks that hardly any run is stopped as slow on upstreams that are
// sound but slower than others for good, and that many are without the rule.
func TestSoundSlowerUpstreams(t *testing.T) {
	factors := repeat(4, 0.6, 1, 1.6)
	without := DefaultPolicy
	without.LastingSpeed = false
	even, with, off := slowStopsAfterLearning(t, DefaultPolicy, repeat(12, 1)), slowStopsAfterLearning(t, DefaultPolicy, factors), slowStopsAfterLearning(t, without, factors)
	t.Logf("runs stopped as slow in a minute: %d on even upstreams, %d on uneven ones, %d there without the rule", even, with, off)
	if with > off/5 {
		t.Errorf("%d runs are stopped as slow with the rule, %d without; want at most a fifth", with, off)
	}
}

// TestForecastKnowsSpeed checks that the expected end of a run is that on its upstream, and that a
// route's durations are those on an upstream with factor 1.
func TestForecastKnowsSpeed(t *testing.T) {
	s := newSpeedSim(t, DefaultPolicy, 2, repeat(4, 0.6, 1, 1.6)...)
	s.runFor(30 * time.Second)
	for id, want := range map[string]float64{"u00": 0.6, "u01": 1, "u02": 1.6} {
		u := s.pool.upstreams[id]
		r := &run{job: &job{expectedTaskDuration: speedTaskDuration}, upstream: u, orderedAt: s.Now(), speedLog: u.speed.log}
		got := r.expectedEnd(s.Now()).Sub(s.Now()).Seconds() / speedTaskDuration.Seconds()
		if math.Abs(math.Log(got/want)) > 0.15 {
			t.Errorf("%s: a run is expected to take %.2f times the nominal duration, want about %.1f", id, got, want)
		}
	}
	if mean := math.Exp(s.pool.durationsOf("r").meanLog); mean < 0.17 || mean > 0.24 {
		t.Errorf("the tasks of the route are expected to take %.3f s on a nominal upstream, want about 0.2 s", mean)
	}
}

// TestEvenUpstreamsStayNominal checks that upstreams that are equally fast keep the factor 1, and
// that the pool decides exactly as it does without the rule.
func TestEvenUpstreamsStayNominal(t *testing.T) {
	without := DefaultPolicy
	without.LastingSpeed = false
	for seed := range uint64(3) {
		s, off := newSpeedSim(t, DefaultPolicy, seed, repeat(12, 1)...), newSpeedSim(t, without, seed, repeat(12, 1)...)
		s.runFor(time.Minute)
		off.runFor(time.Minute)
		if speeds := s.pool.Speeds(); len(speeds) > 0 {
			t.Errorf("seed %d: speeds %+v on even upstreams, want none", seed, speeds)
		}
		if s.done != off.done || s.totalSlowStops() != off.totalSlowStops() {
			t.Errorf("seed %d: %d jobs done and %d runs stopped as slow, %d and %d without the rule", seed, s.done, s.totalSlowStops(), off.done, off.totalSlowStops())
		}
	}
}

// TestPassingSlowness makes one of several upstreams four times as slow for 5 s. It must be found
// as soon as without the rule, must count as sound again soon after, and its lasting speed must not
// change.
func TestPassingSlowness(t *testing.T) {
	for _, uneven := range []bool{false, true} {
		factors := repeat(12, 1)
		if uneven {
			factors = repeat(4, 0.6, 1, 1.6)
		}
		found := map[bool]time.Duration{}
		for _, lasting := range []bool{false, true} {
			policy := DefaultPolicy
			policy.LastingSpeed = lasting
			s := newSpeedSim(t, policy, 4, factors...)
			s.runFor(20 * time.Second)
			before := s.logOf("u00")
			s.upstreams["u00"].SlowdownFactor = 4
			clear(s.slowStops)
			for found[lasting] = 0; found[lasting] < 5*time.Second && s.pool.slowdownFactor(s.pool.upstreams["u00"]) < 2 && s.slowStops["u00"] == 0; found[lasting] += 25 * time.Millisecond {
				s.runFor(25 * time.Millisecond)
			}
			s.runFor(5*time.Second - found[lasting])
			s.upstreams["u00"].SlowdownFactor = 1
			s.runFor(6 * time.Second)
			if factor := s.pool.slowdownFactor(s.pool.upstreams["u00"]); factor > 1 {
				t.Errorf("uneven %v: the upstream still counts as %.1f times slower 6 s after the trouble", uneven, factor)
			}
			if after := s.logOf("u00"); math.Abs(after-before) > speedLogStep+1e-9 {
				t.Errorf("uneven %v: the lasting speed changed from %.2f to %.2f by a passing trouble", uneven, before, after)
			}
		}
		t.Logf("uneven %v: a slowness of 4 times is found after %v, without the rule after %v", uneven, found[true], found[false])
		if found[true] > found[false]+200*time.Millisecond {
			t.Errorf("uneven %v: a slowness of 4 times is found after %v, without the rule after %v", uneven, found[true], found[false])
		}
	}
}

// TestYoungTrouble checks that a trouble of a few seconds on an upstream that has just been added
// does not become its lasting speed.
func TestYoungTrouble(t *testing.T) {
	var s lastingSpeed
	rng := rand.New(rand.NewPCG(5, 5))
	now := startTime
	for i := range 400 {
		now = now.Add(50 * time.Millisecond)
		value := 0.3 * rng.NormFloat64()
		if i >= 60 && i < 120 { // 3 s
			value += math.Log(4)
		}
		s.add(now, value)
		if log := s.significant(s.meanLog); log > 0.2+1e-9 {
			t.Fatalf("after %d runs the lasting factor is %.2f", i, math.Exp(log))
		}
	}
	if log := s.significant(s.meanLog); log != 0 {
		t.Errorf("the lasting factor is %.2f long after the trouble, want 1", math.Exp(log))
	}
}

// TestRestartForgetsSpeed checks that a new incarnation of an upstream starts without the speed of
// the former one.
func TestRestartForgetsSpeed(t *testing.T) {
	p := NewPool(DefaultConfig, 1)
	entry := fleet.Upstream{ID: "u", StartedUnixMs: 5, Service: "s", Capacity: fleet.Resources{MilliCPU: 1000}}
	p.ImportSpeeds(startTime, []UpstreamSpeed{{Incarnation: entry.Incarnation(), Log: 0.5, Runs: 900}})
	p.SetUpstreams(startTime, []fleet.Upstream{entry})
	if log := p.upstreams["u"].speed.log; log != 0.5 {
		t.Fatalf("imported speed is %.2f, want 0.5", log)
	}
	entry.StartedUnixMs = 6
	p.SetUpstreams(startTime, []fleet.Upstream{entry})
	if p.upstreams["u"].speed != (lastingSpeed{}) || len(p.Speeds()) > 0 {
		t.Errorf("the new incarnation starts with the speed %+v", p.upstreams["u"].speed)
	}
}

// TestImportedSpeeds hands the speeds of a pool over to the next one, which knows them at once,
// ignores those of other incarnations and unusable ones, and keeps what it has learned itself.
func TestImportedSpeeds(t *testing.T) {
	s := newSpeedSim(t, DefaultPolicy, 6, repeat(4, 0.6, 1, 1.6)...)
	s.runFor(30 * time.Second)
	speeds := s.pool.Speeds()
	if len(speeds) < 4 {
		t.Fatalf("%d upstreams are faster or slower, want at least 4", len(speeds))
	}
	next := NewPool(DefaultConfig, 2)
	unusable := []UpstreamSpeed{
		{Incarnation: fleet.UpstreamIncarnation{ID: "u01", StartedUnixMs: 9}, Log: 1, Runs: 1000},
		{Incarnation: fleet.UpstreamIncarnation{ID: "u04"}, Log: math.NaN(), Runs: 1000},
		{Incarnation: fleet.UpstreamIncarnation{ID: "u07"}, Log: 1, Runs: 0},
	}
	next.ImportSpeeds(s.Now(), append(slices.Clone(speeds), unusable...))
	next.SetUpstreams(s.Now(), speedUpstreams(12))
	next.Tick(s.Now().Add(time.Second))
	got := next.Speeds()
	if len(got) != len(speeds) {
		t.Fatalf("the next pool has %d speeds, want %d", len(got), len(speeds))
	}
	for i := range got {
		if math.Abs(got[i].Log-speeds[i].Log) > speedLogStep+1e-9 || got[i].Runs >= speeds[i].Runs {
			t.Errorf("speed %+v became %+v; want about the same factor with less evidence", speeds[i], got[i])
		}
	}
	own := s.pool.upstreams["u00"].speed
	s.pool.ImportSpeeds(s.Now(), []UpstreamSpeed{{Incarnation: fleet.UpstreamIncarnation{ID: "u00"}, Log: 1, Runs: 1000}})
	if s.pool.upstreams["u00"].speed != own {
		t.Error("an imported speed has replaced one that the pool had learned itself")
	}
}

// TestTightJobWaitsForFaster checks that a job that would be late on a slower upstream waits for a
// faster one if that frees in time, and starts on the slower one otherwise.
func TestTightJobWaitsForFaster(t *testing.T) {
	for _, c := range []struct {
		busy, slack time.Duration
		want        string // upstream of the first start; "" if the job waits
	}{{100 * time.Millisecond, 0, ""}, {5 * time.Second, 0, "u01"}, {100 * time.Millisecond, time.Second, "u01"}} {
		p := NewPool(DefaultConfig, 1)
		p.ImportSpeeds(startTime, []UpstreamSpeed{{fleet.UpstreamIncarnation{ID: "u00"}, -0.5, 900}, {fleet.UpstreamIncarnation{ID: "u01"}, 0.5, 900}})
		added, _ := p.SetUpstreams(startTime, speedUpstreams(2))
		for _, id := range added {
			p.HandleHoldResponse(startTime, fleet.UpstreamIncarnation{ID: id}, startTime, fleet.Report{}, nil)
		}
		offer := func(id string, estimate, slack time.Duration) Effects {
			return p.Offer(startTime, Offer{
				Key: JobKey{"home", id, 0}, Service: "s", Route: id, Demand: fleet.Resources{MilliCPU: 4000}, Estimate: estimate, MaxAttempts: 2,
				Tasks: []int{0}, Stretch: 1.6, Slack: slack, Timeout: 5 * time.Second, MayQueue: true,
			})
		}
		if e := offer("first", c.busy, 0); len(e.Starts) != 1 || e.Starts[0].Upstream.ID != "u00" {
			t.Fatalf("the first job does not start on the faster upstream: %s", formatEffects(e))
		}
		got := ""
		if e := offer("second", 500*time.Millisecond, c.slack); len(e.Starts) > 0 {
			got = e.Starts[0].Upstream.ID
		}
		if got != c.want {
			t.Errorf("the faster upstream is busy for %v, slack %v: the job starts on %q, want %q", c.busy, c.slack, got, c.want)
		}
	}
}
