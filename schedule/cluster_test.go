package schedule

import (
	"fmt"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"

	"github.com/samber/lo"
)

// failer is the part of testing.T and rapid.T that the model tests need.
type failer interface {
	Fatalf(format string, args ...any)
}

// testCluster simulates a group of upstreams, calls to them that are slow, lost or carried out
// late, and the pools that own the group one after the other. It checks the invariants of
// TestModel against what the upstreams run.
type testCluster struct {
	*standin.Simulation
	t                  failer
	upstreams          []*standin.SimulatedUpstream
	pool               *Pool
	poolToken          int // fencing token of the pool; responses to calls of former pools are dropped
	openJobs           map[JobKey]*simJob
	submissions        map[fleet.TaskRef]int                         // how many times a task was offered
	orderedFor         map[fleet.Run]int                             // value of submissions when a run was last ordered
	listedCapacity     map[string]fleet.Resources                    // of each upstream, as last passed to the pool
	listedIncarnations map[string]fleet.UpstreamIncarnation          // of each upstream, as last passed to the pool
	capacityAtOrder    map[fleet.Run]fleet.Resources                 // listedCapacity of the upstream when a run was ordered
	pendingStarts      map[*standin.UpstreamModel][]fleet.StartOrder // starts that may still be carried out
	startedTasks       map[fleet.TaskRef]bool                        // tasks of which a run of the last submission has started
	returnedTasks      map[fleet.TaskRef]bool                        // tasks that were returned and have not been offered since
	withdrawnJobs      []string                                      // IDs of jobs that were withdrawn from the current pool and have not been offered since
	lostJobs           []lostJob
	results            int
	ackedDone          map[fleet.TaskRef]bool // tasks that have been done, which the pool acknowledged to the upstream, and that have not been offered since
	mayEvacuate        bool                   // as in modelCase
	mayRestart         bool                   // as in modelCase
	mayResize          bool                   // as in modelCase
	mayCrash           bool                   // as in modelCase
	crashesByTask      map[fleet.TaskRef]int  // has an entry for each task that crashes upstreams: how many it has crashed under the current pool
	mayLeave           bool                   // as in modelCase
	mayCancel          bool                   // as in modelCase
	mayHoldResponses   bool                   // as in modelCase
	cancelledJobs      map[string]bool        // jobs that were cancelled and have not been offered since
	evacuated          bool                   // all upstreams are closed
	// The fields below are used only if modelCase.mayAdopt is set.
	mayAdopt bool
	// orderedByFormer holds the starts ordered by a former owner that is still alive. It cannot know
	// of the ends that the next owner has acknowledged, whether runs are adopted or not.
	orderedByFormer                      map[runOn]bool
	longTasks                            bool                   // all runs outlast the leases of a lost owner
	cutOff                               map[string]bool        // upstreams that the owner cannot reach, by ID
	doneTasks                            map[fleet.TaskRef]bool // tasks of which a run was done
	adoptionsOffered, adoptionsCompleted int
}

type simJob struct {
	offer Offer
	done  map[int]bool
}

// runOn is a run on an upstream.
type runOn struct {
	upstreamID string
	run        fleet.Run
}

// lostJob is a job whose owner was lost. Its customer resubmits it.
type lostJob struct {
	id string
	at time.Time
}

// minResubmitDelay is the least time after which the customer of a lost job resubmits it. By
// then the leases that the lost owner granted have lapsed.
const minResubmitDelay = 1300 * time.Millisecond

// takeResubmittable removes the first lost job from lostJobs and returns its ID, if its customer
// may resubmit it by now.
func (w *testCluster) takeResubmittable() (string, bool) {
	if len(w.lostJobs) == 0 || w.Now().Sub(w.lostJobs[0].at) < minResubmitDelay {
		return "", false
	}
	id := w.lostJobs[0].id
	w.lostJobs = w.lostJobs[1:]
	return id, true
}

// maxStopMillis is the longest time that an upstream takes to stop a run, in milliseconds.
const maxStopMillis = 50

// Timeouts of calls in the simulation.
const (
	callTimeout  = 60 * time.Millisecond
	startTimeout = 40 * time.Millisecond
)

// applyIfCurrent applies input, which handles the response to a call, to the pool, unless
// another pool has taken over since the call was made. The token is that of the calling pool.
func (w *testCluster) applyIfCurrent(token int, input func(p *Pool, now time.Time) Effects) {
	if token == w.poolToken {
		w.applyEffects(input(w.pool, w.Now()))
	}
}

func (w *testCluster) sendStart(s Start) {
	token, run := w.poolToken, s.Order.Run
	if w.cancelledJobs[run.Task.Job] {
		w.t.Fatalf("%v is ordered to start although its job was cancelled", run)
	}
	if listed := w.listedIncarnations[s.Upstream.ID]; s.Upstream.Incarnation() != listed {
		w.t.Fatalf("%v is ordered to start on %v, but the pool was last given the entry of %v", run, s.Upstream.Incarnation(), listed)
	}
	w.orderedFor[run] = w.submissions[run.Task]
	delete(w.orderedByFormer, runOn{s.Upstream.ID, run})
	u := w.findUpstream(s.Upstream.ID)
	w.checkCapacity(u, run)
	if w.cutOff[u.ID] {
		w.AfterFunc(startTimeout, func() {
			w.applyIfCurrent(token, func(p *Pool, now time.Time) Effects {
				return p.HandleStartResponse(now, s.Upstream.Incarnation(), run, fleet.NotRefused, errs["lost"])
			})
		})
		return
	}
	if !u.DropsRequests() {
		w.pendingStarts[u.UpstreamModel] = append(w.pendingStarts[u.UpstreamModel], s.Order)
	}
	u.CallStart(s.Order, startTimeout, func(refusal fleet.Refusal, err error) {
		w.applyIfCurrent(token, func(p *Pool, now time.Time) Effects {
			return p.HandleStartResponse(now, s.Upstream.Incarnation(), run, refusal, err)
		})
	})
}

// checkCapacity checks that a run that is being ordered on u fits there, together with the runs
// on u and those that may still start by earlier orders. It uses the capacity that the pool was
// given, because the pool cannot know of a later change.
func (w *testCluster) checkCapacity(u *standin.SimulatedUpstream, ordered fleet.Run) {
	capacity := w.listedCapacity[u.ID]
	w.capacityAtOrder[ordered] = capacity
	used := w.jobOfTask(ordered.Task).offer.Demand
	runs := u.Running()
	w.pendingStarts[u.UpstreamModel] = slices.DeleteFunc(w.pendingStarts[u.UpstreamModel], func(o fleet.StartOrder) bool {
		return slices.Contains(runs, o.Run) || u.StartRefusal(w.Now(), o) != fleet.NotRefused
	})
	for _, o := range w.pendingStarts[u.UpstreamModel] {
		runs = append(runs, o.Run)
	}
	for _, r := range lo.Uniq(runs) {
		if r != ordered {
			used = used.Plus(w.jobOfTask(r.Task).offer.Demand)
		}
	}
	if !used.Within(capacity) {
		w.t.Fatalf("order beyond the known capacity: %v is ordered on %s, which would then use %v of the %v that the pool was given", ordered, u.ID, used, capacity)
	}
}

func (w *testCluster) sendStop(s Stop) {
	token := w.poolToken
	if w.cutOff[s.Upstream.ID] {
		return
	}
	w.findUpstream(s.Upstream.ID).CallStop(s.Run, w.pool.Token(), callTimeout, func(err error) {
		w.applyIfCurrent(token, func(p *Pool, now time.Time) Effects {
			return p.HandleStopResponse(now, s.Upstream.Incarnation(), s.Run, err)
		})
	})
}

func (w *testCluster) sendHold(to fleet.Upstream, o fleet.HoldOrder, then func(ok bool)) {
	token, sent := w.poolToken, w.Now()
	overdue := false
	handle := func(report fleet.Report, err error) {
		if token != w.poolToken {
			return
		}
		w.applyEffects(w.pool.HandleHoldResponse(w.Now(), to.Incarnation(), sent, report, err))
		if overdue {
			return // the next call has been made
		}
		overdue = err != nil
		then(err == nil)
	}
	if w.cutOff[to.ID] {
		w.AfterFunc(callTimeout, func() { handle(fleet.Report{}, errs["lost"]) })
		return
	}
	w.findUpstream(to.ID).CallHold(o, callTimeout, handle)
}

func (w *testCluster) findUpstream(id string) *standin.SimulatedUpstream {
	for _, u := range w.upstreams {
		if u.ID == id {
			return u
		}
	}
	panic("no upstream " + id)
}

var startTime = time.Unix(1_000_000, 0)

func newTestCluster(t failer, seed uint64) *testCluster {
	w := &testCluster{
		Simulation: standin.NewSimulation(startTime, seed), t: t,
		openJobs: map[JobKey]*simJob{}, startedTasks: map[fleet.TaskRef]bool{}, returnedTasks: map[fleet.TaskRef]bool{}, ackedDone: map[fleet.TaskRef]bool{}, crashesByTask: map[fleet.TaskRef]int{},
		doneTasks: map[fleet.TaskRef]bool{}, orderedByFormer: map[runOn]bool{}, cutOff: map[string]bool{},
		submissions: map[fleet.TaskRef]int{}, orderedFor: map[fleet.Run]int{}, capacityAtOrder: map[fleet.Run]fleet.Resources{},
		cancelledJobs: map[string]bool{}, listedCapacity: map[string]fleet.Resources{}, listedIncarnations: map[string]fleet.UpstreamIncarnation{}, pendingStarts: map[*standin.UpstreamModel][]fleet.StartOrder{},
	}
	for i := range 4 {
		w.upstreams = append(w.upstreams, w.newUpstream(fmt.Sprintf("u%d", i)))
	}
	return w
}

func (w *testCluster) newUpstream(id string) *standin.SimulatedUpstream {
	u := w.NewUpstream(fleet.Upstream{ID: id, Service: "s", Zone: "z", Capacity: fleet.Resources{MilliCPU: 8000}},
		func(r fleet.Run) (time.Duration, fleet.Resources) {
			return w.drawDuration(), w.jobOfTask(r.Task).offer.Demand
		})
	u.ClockRate = 0.98 + 0.02*w.Rand.Float64()
	u.StopTime = func() time.Duration { return w.RandMillis(0, maxStopMillis) }
	onEnd := u.OnEnd
	u.OnEnd = func(r fleet.Run, end fleet.End) {
		if end == fleet.EndDone {
			w.doneTasks[r.Task] = true
		}
		onEnd(r, end)
	}
	startedFor := map[fleet.Run]int{} // value of orderedFor when a run started on this upstream
	u.OnEndAcknowledged = func(e fleet.EndedRun) {
		if e.End == fleet.EndDone && startedFor[e.Run] == w.submissions[e.Run.Task] {
			w.ackedDone[e.Run.Task] = true
		}
	}
	u.OnStart = func(r fleet.Run) {
		startedFor[r] = w.orderedFor[r]
		if w.ackedDone[r.Task] && w.orderedFor[r] == w.submissions[r.Task] && !w.orderedByFormer[runOn{id, r}] {
			w.t.Fatalf("%v starts after the end of its task as done was acknowledged", r)
		}
		if w.returnedTasks[r.Task] {
			w.t.Fatalf("%v starts after its task was returned", r)
		}
		if w.orderedFor[r] == w.submissions[r.Task] {
			w.startedTasks[r.Task] = true
		}
		w.checkStart(u, r)
		w.maybeCrash(u, r)
	}
	return u
}

// maybeCrash crashes an upstream shortly after it has started run r, if the task of r is one
// that crashes upstreams. It checks that no task crashes more than maxCrashes upstreams.
func (w *testCluster) maybeCrash(u *standin.SimulatedUpstream, r fleet.Run) {
	if _, isCrasher := w.crashesByTask[r.Task]; !isCrasher {
		return
	}
	token := w.poolToken
	w.AfterFunc(w.RandMillis(1, 15), func() {
		if !slices.Contains(u.Running(), r) {
			return
		}
		w.restart(u)
		if token != w.poolToken {
			return
		}
		w.crashesByTask[r.Task]++
		if n := w.crashesByTask[r.Task]; n > maxCrashes {
			w.t.Fatalf("%v has crashed %d upstreams, more than maxCrashes", r.Task, n)
		}
	})
}

// setFaults sets the shares of the calls that are lost and of those that are carried out late.
func (w *testCluster) setFaults(lossShare, lateShare float64) {
	for _, u := range w.upstreams {
		u.LossShare, u.LateShare = lossShare, lateShare
	}
}

// Limits of the time that a draining upstream stays, in milliseconds. It leaves later than its
// entry says by at most maxOverstayMillis.
const (
	minNoticeMillis   = 20
	maxNoticeMillis   = 900
	maxOverstayMillis = 300
)

// leave makes an upstream drain. Three in four say when they leave. Then the upstream leaves, and
// starts again under the same ID after a while.
func (w *testCluster) leave(u *standin.SimulatedUpstream) {
	if u.Upstream.Draining {
		return
	}
	notice := w.RandMillis(minNoticeMillis, maxNoticeMillis)
	u.Upstream.Draining = true
	if w.Rand.IntN(4) > 0 {
		u.Upstream.LeavesAt = w.Now().Add(notice)
	}
	w.listUpstreams()
	started := u.StartedUnixMs
	w.AfterFunc(notice+w.RandMillis(0, maxOverstayMillis), func() {
		if u.StartedUnixMs == started {
			w.restart(u)
		}
		u.Upstream.Draining, u.Upstream.LeavesAt = false, time.Time{}
	})
}
