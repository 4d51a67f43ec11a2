package schedule

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fixedseed"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"

	"github.com/samber/lo"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 20261202)) }

// openKeys returns the keys of the jobs that are open, in a fixed order.
func (w *world) openKeys() []JobKey {
	keys := make([]JobKey, 0, len(w.open))
	for key := range w.open {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b JobKey) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), strings.Compare(a.Coordinator, b.Coordinator))
	})
	return keys
}

// anyOpen draws one of the jobs that are open.
func (w *world) anyOpen() (JobKey, bool) {
	keys := w.openKeys()
	if len(keys) == 0 {
		return JobKey{}, false
	}
	return keys[w.Rand.IntN(len(keys))], true
}

// jobOf returns a job by its task, also one that is not open any more.
func (w *world) jobOf(t fleet.TaskRef) *simJob {
	for _, key := range w.openKeys() {
		if key.ID == t.Job {
			return w.open[key]
		}
	}
	return &simJob{offer: Offer{Demand: fleet.Resources{MilliCPU: 3000}}}
}

func (w *world) apply(e Effects) {
	w.checkWaiting()
	for _, s := range e.Starts {
		if w.evacuated {
			w.t.Fatalf("%v starts on %s, which is evacuated", s.Order.Run, s.Upstream.ID)
		}
		w.start(s)
	}
	for _, s := range e.Stops {
		w.stop(s)
	}
	for _, id := range e.Polls {
		if u, o, known := w.pool.PollOrder(w.Now(), id); known {
			w.hold(u, o, func(bool) {})
		}
	}
	for _, r := range append(e.Returns, e.Results...) {
		w.result(r)
	}
}

// result checks a result: nothing that was returned as never begun has begun.
func (w *world) result(r Result) {
	j := w.open[r.Key]
	if j == nil {
		w.t.Fatalf("a result for %v, which has ended", r.Key)
	}
	for _, index := range r.Returned {
		ref := fleet.TaskRef{Job: r.Key.ID, Index: index}
		if _, ran := r.History[index]; ran {
			w.atRest(ref)
			continue
		}
		w.neverBegun(ref)
	}
	if r.Outcome == "" {
		return // only some tasks came back
	}
	if r.Outcome != Completed && !r.Begun {
		for _, index := range j.offer.Tasks {
			if w.begun[fleet.TaskRef{Job: r.Key.ID, Index: index}] {
				w.t.Fatalf("%s ended %s as not begun, and task %d had begun", r.Key.ID, r.Outcome, index)
			}
		}
	}
	delete(w.open, r.Key)
	w.results++
}

// follow keeps asking for the reports of one upstream.
func (w *world) follow(id string) {
	epoch := w.epoch
	var next func()
	next = func() {
		if epoch != w.epoch {
			return
		}
		u, o, known := w.pool.HoldOrder(w.Now(), id)
		if !known {
			return
		}
		w.hold(u, o, func(ok bool) {
			if ok {
				next()
				return
			}
			w.AfterFunc(20*time.Millisecond, next)
		})
	}
	next()
}

// lostJob is a job whose owner was lost. Its customer sends it again.
type lostJob struct {
	id string
	at time.Time
}

// resendAfter is how long that takes at least: leases that the lost owner granted run
// out before.
const resendAfter = 1300 * time.Millisecond

// lostLongAgo returns the id of a lost job whose customer may send it again by now.
func (w *world) lostLongAgo() (string, bool) {
	if len(w.lost) == 0 || w.Now().Sub(w.lost[0].at) < resendAfter {
		return "", false
	}
	id := w.lost[0].id
	w.lost = w.lost[1:]
	return id, true
}

// takeOver starts a new pool under a higher token. What the one before had open
// is lost with it.
func (w *world) takeOver() {
	w.epoch++
	for ref := range w.crashers {
		w.crashers[ref] = 0 // another owner begins to count anew
	}
	w.pool = NewPool(DefaultConfig, uint64(w.epoch))
	clear(w.told)
	for _, key := range w.openKeys() {
		w.lost = append(w.lost, lostJob{key.ID, w.Now()})
		delete(w.open, key)
	}
	w.listUpstreams()
	w.ticks(w.epoch)
}

func (w *world) ticks(epoch int) {
	if epoch != w.epoch {
		return
	}
	w.apply(w.pool.Tick(w.Now()))
	w.AfterFunc(25*time.Millisecond, func() { w.ticks(epoch) })
}

// drain drains the pool; another takes over some time later.
func (w *world) drain() {
	w.apply(w.pool.Drain(w.Now()))
	epoch := w.epoch
	w.AfterFunc(w.RandMillis(100, 800), func() {
		if epoch == w.epoch {
			w.takeOver()
		}
	})
}

// evacuate closes all upstreams, or opens them again.
func (w *world) evacuate() {
	w.evacuated = !w.evacuated
	for _, u := range w.upstreams {
		u.Upstream.Closed = w.evacuated
	}
	w.listUpstreams()
}

// restart starts an upstream again under its id. Its entry tells that some time later.
func (w *world) restart(u *standin.SimulatedUpstream) {
	down := w.RandMillis(1000, 3000)
	u.Crash(down)
	w.AfterFunc(down+w.RandMillis(0, 1500), w.listUpstreams)
}

// latestEntry is how long after a change of room the entry of an upstream tells it at most,
// milliseconds: long enough for orders that go by the former room.
const latestEntry = 800

// resize changes the room of an upstream. Its entry tells that some time later.
func (w *world) resize(u *standin.SimulatedUpstream) {
	room := fleet.Resources{MilliCPU: int64(1000 * (1 + w.Rand.IntN(8)))}
	u.UpstreamModel.Capacity = room
	w.AfterFunc(w.RandMillis(0, latestEntry), func() {
		if u.UpstreamModel.Capacity != room {
			return // another change has been told since, or is about to be
		}
		u.Upstream.Capacity = room
		u.Upstream.LargestCapacity = u.Upstream.LargestCapacity.Max(room)
		w.listUpstreams()
	})
}

// listUpstreams tells the pool of the upstreams as they are listed now.
func (w *world) listUpstreams() {
	var list []fleet.Upstream
	for _, u := range w.upstreams {
		list = append(list, u.Upstream)
		w.told[u.ID] = u.Upstream.Capacity
	}
	added, effects := w.pool.SetUpstreams(w.Now(), list)
	w.apply(effects)
	for _, id := range added {
		w.follow(id)
	}
}

// offer offers a new job, or one again whose customer came back by another
// coordinator.
func (w *world) offer(n int) {
	key := JobKey{"home", fmt.Sprintf("%016x", n), 1}
	if other, found := w.anyOpen(); found && w.Rand.IntN(10) == 0 {
		key = JobKey{fmt.Sprintf("home-%d", n), other.ID, 1}
	}
	if id, found := w.lostLongAgo(); found && w.Rand.IntN(2) == 0 {
		key = JobKey{fmt.Sprintf("home-%d", n), id, 1}
	}
	o := Offer{
		Key: key, Service: "s", Route: "r", Spec: "x",
		Demand: fleet.Resources{MilliCPU: 3000}, Estimate: 150 * time.Millisecond, MaxAttempts: 4,
		Stretch: 1.6, Slack: 60 * time.Millisecond, Timeout: 5 * time.Second, MayQueue: w.Rand.IntN(2) == 0,
	}
	for i := range 1 + w.Rand.IntN(8) {
		o.Tasks = append(o.Tasks, i)
	}
	if w.crashes && w.Rand.IntN(8) == 0 {
		w.crashers[fleet.TaskRef{Job: key.ID}] = 0
	}
	w.open[o.Key] = &simJob{offer: o, done: map[int]bool{}}
	effects := w.pool.Offer(w.Now(), o)
	ofNew := func(r Result, _ int) bool { return r.Key == o.Key }
	for _, r := range lo.Reject(effects.Results, ofNew) {
		w.result(r) // of a sending before
	}
	effects.Results = lo.Filter(effects.Results, ofNew)
	for _, i := range o.Tasks {
		ref := fleet.TaskRef{Job: o.Key.ID, Index: i}
		w.sending[ref]++
		delete(w.begun, ref)
		delete(w.returned, ref)
		delete(w.noted, ref)
	}
	w.apply(effects)
}

// TestModel runs pools against simulated upstreams under faults. No task has two
// runs at once, no upstream is filled over its capacity, nothing that is said
// not to have begun has, and once the faults end every job does.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		modelCase{
			seed: rapid.Uint64().Draw(t, "seed"),
			loss: rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3}).Draw(t, "loss"),
			late: rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "late"),
			jobs: rapid.IntRange(20, 80).Draw(t, "jobs"), evacuates: rapid.Bool().Draw(t, "evacuates"),
			restarts: rapid.Bool().Draw(t, "restarts"), resizes: rapid.Bool().Draw(t, "resizes"), crashes: rapid.Bool().Draw(t, "crashes"),
		}.run(t)
	})
}

// TestModelSeeds replays draws of TestModel that have shown a fault.
func TestModelSeeds(t *testing.T) {
	for _, c := range []modelCase{
		// Jobs that were sent again while runs of their first sending were being stopped.
		{seed: 0x196, loss: 0.3, late: 0, jobs: 20},
		{seed: 0x935b, loss: 0.1, late: 0.05, jobs: 47},
	} {
		t.Run(fmt.Sprintf("%#x", c.seed), func(t *testing.T) { c.run(t) })
	}
}

// modelCase is one play of the model: its seed, the shares of calls that are lost
// and carried out late, and how many things happen.
type modelCase struct {
	seed       uint64
	loss, late float64
	jobs       int
	// evacuates closes all upstreams at some times and opens them again; the seeds
	// that were kept before do without.
	evacuates bool
	// restarts starts upstreams again under the same id; as evacuates.
	restarts bool
	// resizes changes the room of upstreams, and crashes lets some tasks crash each upstream
	// that starts them; as evacuates.
	resizes, crashes bool
}

func (c modelCase) run(t failer) {
	w := newWorld(t, c.seed)
	w.evacuates, w.restarts, w.resizes, w.crashes = c.evacuates, c.restarts, c.resizes, c.crashes
	w.takeOver()
	w.Run(epochZero.Add(300 * time.Millisecond))
	w.setFaults(c.loss, c.late)
	for i := range c.jobs {
		w.step(i)
	}
	w.setFaults(0, 0)
	for _, u := range w.upstreams {
		u.Partitioned, u.Stalled, u.Failing = false, false, false
	}
	if w.evacuated {
		w.evacuate()
	}
	if w.resizes {
		for _, u := range w.upstreams {
			u.UpstreamModel.Capacity, u.Upstream.Capacity = fleet.Resources{MilliCPU: 8000}, fleet.Resources{MilliCPU: 8000}
		}
		w.listUpstreams()
	}
	w.Run(w.Now().Add(15 * time.Second))
	if len(w.open) > 0 || !w.pool.Idle() {
		t.Fatalf("%d jobs are open long after the faults, idle %v", len(w.open), w.pool.Idle())
	}
}

// step lets one thing happen, and some time pass.
func (w *world) step(i int) {
	u := w.upstreams[w.Rand.IntN(len(w.upstreams))]
	switch w.Rand.IntN(12) {
	case 0:
		u.Partitioned = !u.Partitioned
	case 1:
		u.Stalled = !u.Stalled
	case 2:
		u.Failing = !u.Failing
	case 3:
		w.takeOver()
	case 5:
		w.drain()
	case 6:
		if w.evacuates {
			w.evacuate()
			break
		}
		w.offer(i)
	case 7:
		if w.restarts {
			w.restart(u)
			break
		}
		w.offer(i)
	case 8:
		if w.resizes {
			w.resize(u)
			break
		}
		w.offer(i)
	case 4:
		if key, found := w.anyOpen(); found {
			delete(w.open, key)
			w.apply(w.pool.Withdraw(w.Now(), key, "test"))
		}
	default:
		w.offer(i)
	}
	w.Run(w.Now().Add(w.RandMillis(1, 120)))
}
