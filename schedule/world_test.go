package schedule

import (
	"fmt"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"

	"github.com/samber/lo"
)

// failer ends a test that has failed.
type failer interface {
	Fatalf(format string, args ...any)
}

// world is a simulated installation: upstreams that keep to their protocol,
// calls that are slow, lost or carried out late, and one pool after another that
// owns the upstreams. It checks what must always hold from what upstreams run.
type world struct {
	*standin.Simulation
	t         failer
	upstreams []*standin.SimulatedUpstream
	pool      *Pool
	epoch     int // of the pool; answers to one that is gone are dropped
	open      map[JobKey]*simJob
	sending   map[fleet.TaskRef]int                         // how often a task was offered
	ordered   map[fleet.Run]int                             // the sending that a run was ordered for last
	told      map[string]fleet.Resources                    // the room of each upstream as the pool was told last
	room      map[fleet.Run]fleet.Resources                 // told by the time that a run was ordered
	inFlight  map[*standin.UpstreamModel][]fleet.StartOrder // that may yet be carried out, by the life they were made to
	begun     map[fleet.TaskRef]bool                        // of its last sending
	returned  map[fleet.TaskRef]bool                        // as never begun, and not offered since
	lost      []lostJob
	results   int
	noted     map[fleet.TaskRef]bool // an end as done was taken note of, and not offered since
	evacuates bool                   // now and then
	restarts  bool                   // upstreams, under the same id
	resizes   bool                   // upstreams, now and then
	crashes   bool                   // some tasks crash their upstreams
	crashers  map[fleet.TaskRef]int  // those, and how many upstreams did under the pool
	evacuated bool                   // nothing may start anywhere
}

type simJob struct {
	offer Offer
	done  map[int]bool
}

// simStopTime is the longest time that a stop takes, in milliseconds.
const simStopTime = 50

// simTimeout is when a call in the simulation counts as unanswered, and
// simStartTimeout is the same for a start.
const (
	simTimeout      = 60 * time.Millisecond
	simStartTimeout = 40 * time.Millisecond
)

// ifCurrent applies what a call brought, unless another pool took over.
func (w *world) ifCurrent(epoch int, input func(p *Pool, now time.Time) Effects) {
	if epoch == w.epoch {
		w.apply(input(w.pool, w.Now()))
	}
}

func (w *world) start(s Start) {
	epoch, run := w.epoch, s.Order.Run
	w.ordered[run] = w.sending[run.Task]
	u := w.find(s.Upstream.ID)
	w.checkRoom(u, run)
	w.inFlight[u.UpstreamModel] = append(w.inFlight[u.UpstreamModel], s.Order)
	u.CallStart(s.Order, simStartTimeout, func(refusal fleet.Refusal, err error) {
		w.ifCurrent(epoch, func(p *Pool, now time.Time) Effects {
			return p.HandleStartResponse(now, s.Upstream.Incarnation(), run, refusal, err)
		})
	})
}

// checkRoom checks that a run that is ordered fits the room that the pool was told, beside
// what runs there and what the pool has ordered there that may yet begin.
func (w *world) checkRoom(u *standin.SimulatedUpstream, ordered fleet.Run) {
	room := w.told[u.ID]
	w.room[ordered] = room
	used := w.jobOf(ordered.Task).offer.Demand
	runs := u.Running()
	w.inFlight[u.UpstreamModel] = slices.DeleteFunc(w.inFlight[u.UpstreamModel], func(o fleet.StartOrder) bool {
		return slices.Contains(runs, o.Run) || u.StartRefusal(w.Now(), o) != fleet.NotRefused
	})
	for _, o := range w.inFlight[u.UpstreamModel] {
		runs = append(runs, o.Run)
	}
	for _, r := range lo.Uniq(runs) {
		if r != ordered {
			used = used.Plus(w.jobOf(r.Task).offer.Demand)
		}
	}
	if !used.Within(room) {
		w.t.Fatalf("%v is ordered on %s, which would run %v of the %v that the pool was told", ordered, u.ID, used, room)
	}
}

func (w *world) stop(s Stop) {
	epoch := w.epoch
	w.find(s.Upstream.ID).CallStop(s.Run, w.pool.Token(), simTimeout, func(err error) {
		w.ifCurrent(epoch, func(p *Pool, now time.Time) Effects {
			return p.HandleStopResponse(now, s.Upstream.Incarnation(), s.Run, err)
		})
	})
}

func (w *world) hold(to fleet.Upstream, o fleet.HoldOrder, then func(ok bool)) {
	epoch, sent := w.epoch, w.Now()
	u := w.find(to.ID)
	u.CallHold(o, simTimeout, func(report fleet.Report, err error) {
		if epoch != w.epoch {
			return
		}
		w.apply(w.pool.HandleHoldResponse(w.Now(), to.Incarnation(), sent, report, err))
		then(err == nil)
	})
}

func (w *world) find(id string) *standin.SimulatedUpstream {
	for _, u := range w.upstreams {
		if u.ID == id {
			return u
		}
	}
	panic("no upstream " + id)
}

var epochZero = time.Unix(1_000_000, 0)

func newWorld(t failer, seed uint64) *world {
	w := &world{
		Simulation: standin.NewSimulation(epochZero, seed), t: t,
		open: map[JobKey]*simJob{}, begun: map[fleet.TaskRef]bool{}, returned: map[fleet.TaskRef]bool{}, noted: map[fleet.TaskRef]bool{}, crashers: map[fleet.TaskRef]int{},
		sending: map[fleet.TaskRef]int{}, ordered: map[fleet.Run]int{}, room: map[fleet.Run]fleet.Resources{},
		told: map[string]fleet.Resources{}, inFlight: map[*standin.UpstreamModel][]fleet.StartOrder{},
	}
	for i := range 4 {
		w.upstreams = append(w.upstreams, w.newUpstream(fmt.Sprintf("u%d", i)))
	}
	return w
}

func (w *world) newUpstream(id string) *standin.SimulatedUpstream {
	u := w.NewUpstream(fleet.Upstream{ID: id, Service: "s", Zone: "z", Capacity: fleet.Resources{MilliCPU: 8000}},
		func(r fleet.Run) (time.Duration, fleet.Resources) {
			return w.RandMillis(20, 400), w.jobOf(r.Task).offer.Demand
		})
	u.ClockRate = 0.98 + 0.02*w.Rand.Float64()
	u.StopTime = func() time.Duration { return w.RandMillis(0, simStopTime) }
	beganFor := map[fleet.Run]int{} // the sending that a run began for here
	u.OnEndAcknowledged = func(e fleet.EndedRun) {
		if e.End == fleet.EndDone && beganFor[e.Run] == w.sending[e.Run.Task] {
			w.noted[e.Run.Task] = true
		}
	}
	u.OnStart = func(r fleet.Run) {
		beganFor[r] = w.ordered[r]
		if w.noted[r.Task] && w.ordered[r] == w.sending[r.Task] {
			w.t.Fatalf("%v begins after an end of its task as done was taken note of", r)
		}
		if w.returned[r.Task] {
			w.t.Fatalf("%v begins after its task was returned as never begun", r)
		}
		if w.ordered[r] == w.sending[r.Task] {
			w.begun[r.Task] = true
		}
		w.check(u, r)
		w.maybeCrash(u, r)
	}
	return u
}

// maybeCrash crashes an upstream soon after it has begun a run of a task that does that.
func (w *world) maybeCrash(u *standin.SimulatedUpstream, r fleet.Run) {
	if _, does := w.crashers[r.Task]; !does {
		return
	}
	epoch := w.epoch
	w.AfterFunc(w.RandMillis(1, 15), func() {
		if !slices.Contains(u.Running(), r) {
			return
		}
		w.restart(u)
		if epoch != w.epoch {
			return
		}
		w.crashers[r.Task]++
		if n := w.crashers[r.Task]; n > maxCrashes {
			w.t.Fatalf("%v crashes upstream number %d", r.Task, n)
		}
	})
}

// setFaults sets how calls fail from now on.
func (w *world) setFaults(lossShare, lateShare float64) {
	for _, u := range w.upstreams {
		u.LossShare, u.LateShare = lossShare, lateShare
	}
}
