package schedule

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"

	"pgregory.net/rapid"
)

// world is a simulated installation: upstreams that keep to their protocol,
// calls that are slow, lost or carried out late, and one pool after another that
// owns the upstreams. It checks what must always hold from what upstreams run.
type world struct {
	t         *rapid.T
	rng       *rand.Rand
	now       time.Time
	events    eventQueue
	sequence  int
	upstreams []*simUpstream
	pool      *Pool
	epoch     int // of the pool; answers to one that is gone are dropped
	faults    bool
	lossShare float64
	lateShare float64
	open      map[JobKey]*simJob
	begun     map[fleet.TaskRef]bool
	results   int
}

type simJob struct {
	offer Offer
	done  map[int]bool
}

type simUpstream struct {
	*standin.Core
	fleet.Upstream
	waiting []func()
	cut     bool
}

type event struct {
	at    time.Time
	order int
	do    func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at.Before(q[j].at) || q[i].at.Equal(q[j].at) && q[i].order < q[j].order
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(v any)   { *q = append(*q, v.(event)) }
func (q *eventQueue) Pop() any {
	old := *q
	v := old[len(old)-1]
	*q = old[:len(old)-1]
	return v
}

func (w *world) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.events, event{w.now.Add(d), w.sequence, do})
}

func (w *world) run(until time.Time) {
	for w.events.Len() > 0 && !w.events[0].at.After(until) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

func (w *world) millis(low, high int) time.Duration {
	return time.Duration(low+w.rng.IntN(high-low+1)) * time.Millisecond
}

// simStopTime is the longest time that a stop takes, in milliseconds.
const simStopTime = 50

// call carries a request to an upstream and its answer back, as the faults of
// the moment have it. Answer is called once, with nil for no answer in time.
func (w *world) call(u *simUpstream, timeout time.Duration, carry func(answer func(func())), answered func(), lost func()) {
	finished := false
	finish := func(f func()) func() {
		return func() {
			if !finished {
				finished = true
				f()
			}
		}
	}
	w.after(timeout, finish(lost))
	toll := w.rng.Float64()
	switch {
	case w.faults && (u.cut || toll < w.lossShare):
		return // the request is lost
	case w.faults && toll < w.lossShare+w.lateShare:
		w.after(w.millis(200, 4000), func() { carry(func(func()) {}) }) // carried out late, never answered
		return
	}
	w.after(w.millis(0, 2), func() {
		carry(func(keep func()) {
			keep()
			if w.faults && (u.cut || w.rng.Float64() < w.lossShare) {
				return // the answer is lost
			}
			w.after(w.millis(0, 2), finish(answered))
		})
	})
}

func (w *world) start(s Start) {
	u := w.find(s.Upstream.ID)
	epoch, pool := w.epoch, w.pool
	var refusal fleet.Refusal
	tell := func(err error) func() {
		return func() {
			if epoch == w.epoch {
				w.apply(pool.Started(w.now, u.ID, s.Order.Run, refusal, err))
			}
		}
	}
	w.call(u, 40*time.Millisecond, func(answer func(func())) {
		refusal = w.carryStart(u, s.Order)
		answer(func() {})
	}, tell(nil), tell(failure.Lost.New("no answer")))
}

func (w *world) carryStart(u *simUpstream, o fleet.StartOrder) fleet.Refusal {
	refusal := u.Start(w.now, o)
	if refusal == fleet.RefusedNot {
		w.begun[o.Run.Task] = true
		w.check(u, o.Run)
	}
	return refusal
}

// jobOf returns a job by its task, also one that is not open any more.
func (w *world) jobOf(t fleet.TaskRef) *simJob {
	for _, j := range w.open {
		if j.offer.Key.ID == t.Job {
			return j
		}
	}
	return &simJob{offer: Offer{Demand: fleet.Demand{MilliCPU: 3000}}}
}

// check holds what runs against what must always hold.
func (w *world) check(u *simUpstream, started fleet.Run) {
	if used := u.Used(); !used.Within(u.Core.Capacity) {
		w.t.Fatalf("%s at %v: %v of %v in use after the start of %v", u.ID, w.now.Sub(epochZero), used, u.Core.Capacity, started)
	}
	for _, o := range w.upstreams {
		o.Advance(w.now)
		for _, id := range o.Running() {
			if id.Task == started.Task && (o != u || id != started) {
				w.t.Fatalf("%v runs on %s while %v starts on %s at %v", id, o.ID, started, u.ID, w.now.Sub(epochZero))
			}
		}
	}
}

func (w *world) stop(s Stop) {
	u := w.find(s.Upstream.ID)
	epoch, pool := w.epoch, w.pool
	token := pool.Token()
	var failed error
	tell := func(err error) func() {
		return func() {
			if err == nil {
				err = failed
			}
			if epoch == w.epoch {
				w.apply(pool.Stopped(w.now, u.ID, s.Run, err))
			}
		}
	}
	w.call(u, 60*time.Millisecond, func(answer func(func())) {
		if !u.Stop(w.now, s.Run, token) {
			failed = failure.Conflict.New("fenced")
		}
		w.after(simStopTime*time.Millisecond, func() { u.Advance(w.now) })
		answer(func() {})
	}, tell(nil), tell(failure.Lost.New("no answer")))
}

func (w *world) hold(u *simUpstream, o fleet.HoldOrder, then func(ok bool)) {
	epoch, pool, sent := w.epoch, w.pool, w.now
	var report fleet.Report
	var failed error
	tell := func(err error) func() {
		return func() {
			if err == nil {
				err = failed
			}
			if epoch != w.epoch {
				return
			}
			w.apply(pool.Held(w.now, u.ID, sent, report, err))
			then(err == nil)
		}
	}
	wait := time.Duration(o.WaitMs) * time.Millisecond
	w.call(u, 60*time.Millisecond+wait, func(answer func(func())) {
		if !u.Hold(w.now, o) {
			failed = failure.Conflict.New("fenced")
			answer(func() {})
			return
		}
		w.report(u, o, wait, &report, answer)
	}, tell(nil), tell(failure.Lost.New("no answer")))
}

// report answers a hold, once there is an end to tell or its wait is over.
func (w *world) report(u *simUpstream, o fleet.HoldOrder, wait time.Duration, into *fleet.Report, answer func(func())) {
	done := false
	send := func() {
		if done {
			return
		}
		done = true
		answer(func() { *into = u.Report(w.now, o.SeenEnds) })
	}
	if wait == 0 || u.HasEnds(w.now, o.SeenEnds) {
		send()
		return
	}
	u.waiting = append(u.waiting, send)
	w.after(wait, send)
}

func (w *world) find(id string) *simUpstream {
	for _, u := range w.upstreams {
		if u.ID == id {
			return u
		}
	}
	panic("no upstream " + id)
}

func (w *world) apply(e Effects) {
	for _, s := range e.Starts {
		w.start(s)
	}
	for _, s := range e.Stops {
		w.stop(s)
	}
	for _, id := range e.Looks {
		if _, o, known := w.pool.LookOrder(id); known {
			w.hold(w.find(id), o, func(bool) {})
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
		if w.begun[fleet.TaskRef{Job: r.Key.ID, Index: index}] {
			w.t.Fatalf("task %d of %s was returned and had begun", index, r.Key.ID)
		}
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
		_, o, known := w.pool.HoldOrder(w.now, id)
		if !known {
			return
		}
		w.hold(w.find(id), o, func(ok bool) {
			if ok {
				next()
				return
			}
			w.after(20*time.Millisecond, next)
		})
	}
	next()
}

// takeOver starts a new pool under a higher token. What the one before had open
// is lost with it.
func (w *world) takeOver() {
	w.epoch++
	w.pool = NewPool(DefaultConfig, uint64(w.epoch))
	for key := range w.open {
		delete(w.open, key)
	}
	var list []fleet.Upstream
	for _, u := range w.upstreams {
		list = append(list, u.Upstream)
	}
	added, effects := w.pool.SetUpstreams(w.now, list)
	w.apply(effects)
	for _, id := range added {
		w.follow(id)
	}
	w.ticks(w.epoch)
}

func (w *world) ticks(epoch int) {
	if epoch != w.epoch {
		return
	}
	w.apply(w.pool.Tick(w.now))
	w.after(25*time.Millisecond, func() { w.ticks(epoch) })
}

// drain drains the pool; another takes over some time later.
func (w *world) drain() {
	w.apply(w.pool.Drain(w.now))
	epoch := w.epoch
	w.after(w.millis(100, 800), func() {
		if epoch == w.epoch {
			w.takeOver()
		}
	})
}

// offer offers a new job, or one again whose customer came back by another
// coordinator.
func (w *world) offer(n int) {
	key := JobKey{"home", fmt.Sprintf("%016x", n), 1}
	for other := range w.open {
		if w.rng.IntN(10) == 0 {
			key = JobKey{fmt.Sprintf("home-%d", n), other.ID, 1}
			for i := range w.open[other].offer.Tasks {
				delete(w.begun, fleet.TaskRef{Job: other.ID, Index: i})
			}
		}
		break
	}
	o := Offer{
		Key: key, Service: "s", Route: "r", Spec: "x",
		Demand: fleet.Demand{MilliCPU: 3000}, Estimate: 150 * time.Millisecond, MaxAttempts: 4,
		Stretch: 1.6, Slack: 60 * time.Millisecond, Patience: 5 * time.Second, MayQueue: w.rng.IntN(2) == 0,
	}
	for i := range 1 + w.rng.IntN(8) {
		o.Tasks = append(o.Tasks, i)
	}
	w.open[o.Key] = &simJob{offer: o, done: map[int]bool{}}
	w.apply(w.pool.Offer(w.now, o))
}

var epochZero = time.Unix(1_000_000, 0)

// TestModel runs pools against simulated upstreams under faults. No task has two
// runs at once, no upstream is filled over its capacity, nothing that is said
// not to have begun has, and once the faults end every job does.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, rapid.Uint64().Draw(t, "seed"))
		w.lossShare = rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3}).Draw(t, "loss")
		w.lateShare = rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "late")
		w.takeOver()
		w.run(epochZero.Add(300 * time.Millisecond))
		w.faults = true
		for i := range rapid.IntRange(20, 80).Draw(t, "jobs") {
			w.step(i)
		}
		w.faults = false
		for _, u := range w.upstreams {
			u.cut, u.Stalls, u.Fails = false, false, false
		}
		w.run(w.now.Add(15 * time.Second))
		if len(w.open) > 0 || !w.pool.Idle() {
			t.Fatalf("%d jobs are open long after the faults, idle %v", len(w.open), w.pool.Idle())
		}
	})
}

func newWorld(t *rapid.T, seed uint64) *world {
	w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: epochZero, open: map[JobKey]*simJob{}, begun: map[fleet.TaskRef]bool{}}
	for i := range 4 {
		w.upstreams = append(w.upstreams, w.newUpstream(fmt.Sprintf("u%d", i)))
	}
	return w
}

func (w *world) newUpstream(id string) *simUpstream {
	capacity := fleet.Demand{MilliCPU: 8000}
	u := &simUpstream{Upstream: fleet.Upstream{ID: id, Service: "s", Zone: "z", Capacity: capacity}}
	u.Core = standin.NewCore(epochZero.Add(-time.Hour), capacity, func(r fleet.Run) (time.Duration, fleet.Demand) {
		takes := w.millis(20, 400)
		w.after(takes+time.Millisecond, func() { u.Advance(w.now) })
		return takes, w.jobOf(r.Task).offer.Demand
	})
	u.Rate = 0.98 + 0.02*w.rng.Float64()
	u.StopTime = func() time.Duration { return w.millis(0, simStopTime) }
	u.Ended = func(fleet.Run, fleet.End) {
		waiting := u.waiting
		u.waiting = nil
		for _, f := range waiting {
			f()
		}
	}
	return u
}

// step lets one thing happen, and some time pass.
func (w *world) step(i int) {
	u := w.upstreams[w.rng.IntN(len(w.upstreams))]
	switch w.rng.IntN(12) {
	case 0:
		u.cut = !u.cut
	case 1:
		u.Stalls = !u.Stalls
	case 2:
		u.Fails = !u.Fails
	case 3:
		w.takeOver()
	case 5:
		w.drain()
	case 4:
		for key := range w.open {
			delete(w.open, key)
			w.apply(w.pool.Withdraw(w.now, key, "test"))
			break
		}
	default:
		w.offer(i)
	}
	w.run(w.now.Add(w.millis(1, 120)))
}
