package schedule

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
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

func (q *eventQueue) Push(v any) { *q = append(*q, v.(event)) }

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

var epochZero = time.Unix(1_000_000, 0)

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
