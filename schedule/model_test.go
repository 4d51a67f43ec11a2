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

// openKeys returns the keys of the open jobs in a fixed order.
func (w *testCluster) openKeys() []JobKey {
	keys := make([]JobKey, 0, len(w.openJobs))
	for key := range w.openJobs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, func(a, b JobKey) int {
		return cmp.Or(strings.Compare(a.ID, b.ID), strings.Compare(a.Coordinator, b.Coordinator))
	})
	return keys
}

// drawOpenJob draws one of the open jobs.
func (w *testCluster) drawOpenJob() (JobKey, bool) {
	keys := w.openKeys()
	if len(keys) == 0 {
		return JobKey{}, false
	}
	return keys[w.Rand.IntN(len(keys))], true
}

// jobOfTask returns the open job that a task belongs to. If that job is not open any more, it
// returns a stand-in with the same demand.
func (w *testCluster) jobOfTask(t fleet.TaskRef) *simJob {
	for _, key := range w.openKeys() {
		if key.ID == t.Job {
			return w.openJobs[key]
		}
	}
	return &simJob{offer: Offer{Demand: fleet.Resources{MilliCPU: 3000}}}
}

func (w *testCluster) applyEffects(e Effects) {
	w.checkWaiting()
	for _, s := range e.Starts {
		if w.evacuated {
			w.t.Fatalf("start during an evacuation: %v starts on %s, which is closed", s.Order.Run, s.Upstream.ID)
		}
		if s.Upstream.Draining {
			w.t.Fatalf("start on a draining upstream: %v starts on %s", s.Order.Run, s.Upstream.ID)
		}
		w.sendStart(s)
	}
	for _, s := range e.Stops {
		w.sendStop(s)
	}
	for _, id := range e.Polls {
		if u, o, known := w.pool.PollOrder(w.Now(), id); known {
			w.sendHold(u, o, func(bool) {})
		}
	}
	for _, r := range e.Progress {
		w.recordProgress(r)
	}
	for _, r := range append(e.Returns, e.Results...) {
		w.checkResult(r)
	}
}

// checkResult checks a result of the pool: the returned tasks are not running, those that were
// returned without a history have never started, and if the job ended as not begun, none of its
// tasks has started.
func (w *testCluster) checkResult(r Result) {
	j := w.openJobs[r.Key]
	if j == nil {
		w.t.Fatalf("got a result for %v, which has ended already", r.Key)
	}
	for _, index := range r.Returned {
		ref := fleet.TaskRef{Job: r.Key.ID, Index: index}
		if _, hasRun := r.History[index]; hasRun {
			w.checkReturnedAfterRuns(ref)
			continue
		}
		w.checkNeverStarted(ref)
	}
	if r.Outcome == "" {
		return // only some tasks were returned, and the job goes on
	}
	if r.Outcome != Completed && !r.Begun {
		for _, index := range j.offer.Tasks {
			if w.startedTasks[fleet.TaskRef{Job: r.Key.ID, Index: index}] {
				w.t.Fatalf("%s ended as %s and not begun, but task %d had started", r.Key.ID, r.Outcome, index)
			}
		}
	}
	delete(w.openJobs, r.Key)
	w.results++
	if j.offer.AdoptFrom > 0 {
		w.checkAdopted(r, j.offer)
	}
}

// requestReports requests the reports of one upstream, each as soon as the one before has come,
// until another pool takes over.
func (w *testCluster) requestReports(id string) {
	token := w.poolToken
	var next func()
	next = func() {
		if token != w.poolToken {
			return
		}
		u, o, known := w.pool.HoldOrder(w.Now(), id)
		if !known {
			return
		}
		w.sendHold(u, o, func(ok bool) {
			if ok {
				next()
				return
			}
			w.AfterFunc(20*time.Millisecond, next)
		})
	}
	next()
}

// takeOver replaces the pool by a new one with a higher fencing token. The open jobs of the former
// pool are lost.
func (w *testCluster) takeOver() {
	lostToken := uint64(w.poolToken)
	cfg := DefaultConfig
	cfg.EndedOwner = w.keepFormerOwner()
	w.poolToken++
	for ref := range w.crashesByTask {
		w.crashesByTask[ref] = 0 // a new owner does not know of earlier crashes
	}
	w.pool = NewPool(cfg, uint64(w.poolToken))
	clear(w.listedCapacity)
	clear(w.listedIncarnations)
	w.withdrawnJobs = nil // the former owner may go on with their runs for a while
	for _, key := range w.openKeys() {
		w.loseJob(key, lostToken)
	}
	w.listUpstreams()
	w.scheduleTicks(w.poolToken)
}

func (w *testCluster) scheduleTicks(token int) {
	if token != w.poolToken {
		return
	}
	w.applyEffects(w.pool.Tick(w.Now()))
	w.AfterFunc(25*time.Millisecond, func() { w.scheduleTicks(token) })
}

// drain drains the pool. Some time later another pool takes over.
func (w *testCluster) drain() {
	w.applyEffects(w.pool.Drain(w.Now()))
	token := w.poolToken
	w.AfterFunc(w.RandMillis(100, 800), func() {
		if token == w.poolToken {
			w.takeOver()
		}
	})
}

// toggleEvacuation closes all upstreams to new tasks, or reopens them if they are closed.
func (w *testCluster) toggleEvacuation() {
	w.evacuated = !w.evacuated
	for _, u := range w.upstreams {
		u.Upstream.Closed = w.evacuated
	}
	w.listUpstreams()
}

// restart crashes an upstream and restarts it under the same ID. Its entry is updated some time
// after that.
func (w *testCluster) restart(u *standin.SimulatedUpstream) {
	downtime := w.RandMillis(1000, 3000)
	u.Crash(downtime)
	w.AfterFunc(downtime+w.RandMillis(0, 1500), w.listUpstreams)
}

// maxEntryDelayMillis is the longest time from a change of an upstream's capacity to the update
// of its entry, in milliseconds. It is long enough for the pool to order runs in the meantime,
// which then rely on the former capacity.
const maxEntryDelayMillis = 800

// resize changes the capacity of an upstream. Its entry is updated some time after that.
func (w *testCluster) resize(u *standin.SimulatedUpstream) {
	capacity := fleet.Resources{MilliCPU: int64(1000 * (1 + w.Rand.IntN(8)))}
	u.UpstreamModel.Capacity = capacity
	w.AfterFunc(w.RandMillis(0, maxEntryDelayMillis), func() {
		if u.UpstreamModel.Capacity != capacity {
			return // the capacity has changed again, and that change updates the entry
		}
		u.Upstream.Capacity = capacity
		u.Upstream.LargestCapacity = u.Upstream.LargestCapacity.Max(capacity)
		w.listUpstreams()
	})
}

// listUpstreams passes the current entries of the upstreams to the pool.
func (w *testCluster) listUpstreams() {
	var list []fleet.Upstream
	for _, u := range w.upstreams {
		list = append(list, u.Upstream)
		w.listedCapacity[u.ID] = u.Upstream.Capacity
		w.listedIncarnations[u.ID] = u.Upstream.Incarnation()
	}
	added, effects := w.pool.SetUpstreams(w.Now(), list)
	w.applyEffects(effects)
	for _, id := range added {
		w.requestReports(id)
	}
}

// offerJob offers a job to the pool: a new one, or one that its customer has resubmitted to
// another coordinator. A resubmitted job is still open or was lost with its owner.
func (w *testCluster) offerJob(n int) {
	key := JobKey{"home", fmt.Sprintf("%016x", n), 1}
	if other, found := w.drawOpenJob(); found && w.Rand.IntN(10) == 0 && !w.isAdopting(other) {
		key = JobKey{fmt.Sprintf("home-%d", n), other.ID, 1}
	}
	if id, found := w.takeResubmittable(); found && w.Rand.IntN(2) == 0 {
		key = JobKey{fmt.Sprintf("home-%d", n), id, 1}
	}
	if w.mayHoldResponses && len(w.withdrawnJobs) > 0 && w.Rand.IntN(2) == 0 {
		key = JobKey{fmt.Sprintf("home-%d", n), w.withdrawnJobs[0], 1}
		w.withdrawnJobs = w.withdrawnJobs[1:]
	}
	o := Offer{
		Key: key, Service: "s", Route: "r", Spec: "x",
		Demand: fleet.Resources{MilliCPU: 3000}, Estimate: 150 * time.Millisecond, MaxAttempts: 4,
		Stretch: 1.6, Slack: 60 * time.Millisecond, Timeout: 5 * time.Second, MayQueue: w.Rand.IntN(2) == 0,
	}
	for i := range 1 + w.Rand.IntN(8) {
		o.Tasks = append(o.Tasks, i)
	}
	delete(w.cancelledJobs, key.ID)
	if w.mayCrash && w.Rand.IntN(8) == 0 {
		w.crashesByTask[fleet.TaskRef{Job: key.ID}] = 0
	}
	w.openJobs[o.Key] = &simJob{offer: o, done: map[int]bool{}}
	effects := w.pool.Offer(w.Now(), o)
	isForOffer := func(r Result, _ int) bool { return r.Key == o.Key }
	for _, r := range lo.Reject(effects.Results, isForOffer) {
		w.checkResult(r) // this result ends the offer of an earlier submission
	}
	effects.Results = lo.Filter(effects.Results, isForOffer)
	for _, i := range o.Tasks {
		ref := fleet.TaskRef{Job: o.Key.ID, Index: i}
		w.submissions[ref]++
		delete(w.startedTasks, ref)
		delete(w.returnedTasks, ref)
		delete(w.ackedDone, ref)
	}
	w.applyEffects(effects)
}

// TestModel runs pools against simulated upstreams under faults, and checks these invariants:
//   - No task has two runs at a time.
//   - No upstream is loaded beyond its capacity.
//   - No run is ordered on an incarnation of an upstream whose entry the pool has not been given.
//   - No task that is returned as never started has started, and no returned task is running or
//     starts later.
//   - No task crashes more than maxCrashes upstreams under one pool.
//   - Every job ends within 15 s after the faults have ended.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawModelCase(t).run(t) })
}

// drawModelCase draws the parameters of one execution of TestModel.
func drawModelCase(t *rapid.T) modelCase {
	return modelCase{
		seed:      rapid.Uint64().Draw(t, "seed"),
		lossShare: rapid.SampledFrom([]float64{0, 0.02, 0.1, 0.3}).Draw(t, "loss"),
		lateShare: rapid.SampledFrom([]float64{0, 0.05, 0.2}).Draw(t, "late"),
		steps:     rapid.IntRange(20, 80).Draw(t, "jobs"), mayEvacuate: rapid.Bool().Draw(t, "evacuates"),
		mayRestart: rapid.Bool().Draw(t, "restarts"), mayResize: rapid.Bool().Draw(t, "resizes"), mayCrash: rapid.Bool().Draw(t, "crashes"),
		mayLeave: rapid.Bool().Draw(t, "leaves"),
		mayAdopt: rapid.Bool().Draw(t, "adopts"),
	}
}

// withdraw withdraws a job from the pool.
func (w *testCluster) withdraw(key JobKey) {
	if !w.isAdopting(key) { // its customer waits for minResubmitDelay before it submits the job again
		w.withdrawnJobs = append(w.withdrawnJobs, key.ID)
	}
	delete(w.openJobs, key)
	w.applyEffects(w.pool.Withdraw(w.Now(), key, "test"))
}

// cancel cancels a job at the pool, which must end all of its offers.
func (w *testCluster) cancel(id string) {
	w.cancelledJobs[id] = true
	found, effects := w.pool.Cancel(w.Now(), id)
	open := lo.Filter(w.openKeys(), func(key JobKey, _ int) bool { return key.ID == id })
	if !found || len(effects.Results) != len(open) {
		w.t.Fatalf("the cancellation of %s found it: %v, and ended %d of its %d offers", id, found, len(effects.Results), len(open))
	}
	for _, r := range effects.Results {
		if r.Outcome != Cancelled {
			w.t.Fatalf("an offer of the cancelled job %s ended as %s", id, r.Outcome)
		}
	}
	w.applyEffects(effects)
}

// TestModelCancels is TestModel with customers that cancel jobs. No task of a cancelled job may be
// ordered to start, unless the job is offered again.
func TestModelCancels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawModelCase(t)
		c.mayCancel = true
		c.run(t)
	})
}

// Responses are held for minHoldMillis to maxHoldMillis, in milliseconds. On most clocks, leases
// lapse in this time. LateResponses is for how long after the timeout of a call its response still
// counts.
const (
	minHoldMillis = 500
	maxHoldMillis = 1200
	lateResponses = 900 * time.Millisecond
)

// allowLateResponses lets the pool receive responses that arrive after the timeouts of their calls.
func (w *testCluster) allowLateResponses() {
	w.mayHoldResponses = true
	for _, u := range w.upstreams {
		u.LateResponses = lateResponses
	}
}

// TestModelLateResponses is TestModel with responses of upstreams that arrive late, and with long
// tasks whose jobs are withdrawn and submitted again while they run.
func TestModelLateResponses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawModelCase(t)
		c.mayHoldResponses = true
		c.run(t)
	})
}

// TestLapseBeforeLateResponse plays the case in which late responses are most dangerous: those that
// upstreams gave just before their leases lapsed arrive after that, while the tasks run elsewhere.
// Then the jobs are withdrawn, and submitted again to other coordinators.
func TestLapseBeforeLateResponse(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestCluster(t, rapid.Uint64().Draw(t, "seed"))
		w.longTasks = true
		w.allowLateResponses()
		w.takeOver()
		w.Run(startTime.Add(300 * time.Millisecond))
		for i := range 2 + w.Rand.IntN(2) {
			w.offerJob(i)
		}
		w.Run(w.Now().Add(w.RandMillis(20, 200)))
		for _, u := range w.upstreams[:1+w.Rand.IntN(2)] {
			u.HoldResponses(w.RandMillis(750, 1000))
		}
		w.Run(w.Now().Add(w.RandMillis(750, 1200)))
		for i := range 10 {
			if key, found := w.drawOpenJob(); found && w.Rand.IntN(2) == 0 {
				w.withdraw(key)
			} else {
				w.offerJob(100 + i)
			}
			w.Run(w.Now().Add(w.RandMillis(1, 100)))
		}
		w.Run(w.Now().Add(3 * time.Second))
	})
}

// TestModelSeeds replays cases of TestModel that have revealed faults before.
func TestModelSeeds(t *testing.T) {
	for _, c := range []modelCase{
		// In both cases jobs are resubmitted while runs of their first submission are being
		// stopped.
		{seed: 0x196, lossShare: 0.3, lateShare: 0, steps: 20},
		{seed: 0x935b, lossShare: 0.1, lateShare: 0.05, steps: 47},
	} {
		t.Run(fmt.Sprintf("%#x", c.seed), func(t *testing.T) { c.run(t) })
	}
}

// modelCase holds the parameters of one execution of TestModel. Kinds of events that were added
// later have a switch each. The cases of TestModelSeeds leave these off, so that their seeds
// still lead to the same events.
type modelCase struct {
	seed                 uint64
	lossShare, lateShare float64 // shares of calls that are lost, and that are carried out late
	steps                int     // number of events
	mayEvacuate          bool    // all upstreams are closed from time to time, and reopened later
	mayRestart           bool    // upstreams restart under the same ID
	// mayResize lets the capacity of upstreams change. mayCrash makes some tasks crash every
	// upstream that starts them.
	mayResize, mayCrash bool
	mayLeave            bool // upstreams drain, most of them saying how long they stay, and leave
	// mayAdopt lets coordinators make adopting offers after a takeover; see adopt_test.go.
	mayAdopt  bool
	mayCancel bool // customers cancel jobs
	// mayHoldResponses lets responses of upstreams arrive late: after the leases there have
	// lapsed, after the next incarnation has started, or behind those of later calls.
	mayHoldResponses bool
}

func (c modelCase) run(t failer) *testCluster {
	w := newTestCluster(t, c.seed)
	w.mayEvacuate, w.mayRestart, w.mayResize, w.mayCrash, w.mayLeave = c.mayEvacuate, c.mayRestart, c.mayResize, c.mayCrash, c.mayLeave
	w.mayAdopt, w.mayCancel = c.mayAdopt, c.mayCancel
	if c.mayHoldResponses {
		w.allowLateResponses()
	}
	w.takeOver()
	w.Run(startTime.Add(300 * time.Millisecond))
	w.setFaults(c.lossShare, c.lateShare)
	for i := range c.steps {
		w.step(i)
	}
	w.setFaults(0, 0)
	clear(w.cutOff)
	for _, u := range w.upstreams {
		u.Partitioned, u.RunsStalled, u.Failing = false, false, false
	}
	if w.evacuated {
		w.toggleEvacuation()
	}
	if w.mayResize {
		for _, u := range w.upstreams {
			u.UpstreamModel.Capacity, u.Upstream.Capacity = fleet.Resources{MilliCPU: 8000}, fleet.Resources{MilliCPU: 8000}
		}
		w.listUpstreams()
	}
	w.Run(w.Now().Add(15 * time.Second))
	if len(w.openJobs) > 0 || !w.pool.Idle() {
		t.Fatalf("the pool is not idle 15 s after the faults ended: %d jobs are still open, Idle returns %v", len(w.openJobs), w.pool.Idle())
	}
	return w
}

// step lets one randomly drawn event happen, and then some time pass.
func (w *testCluster) step(i int) {
	u := w.upstreams[w.Rand.IntN(len(w.upstreams))]
	switch w.Rand.IntN(12) {
	case 0:
		if w.mayAdopt && w.Rand.IntN(2) == 0 {
			w.cutOff[u.ID] = !w.cutOff[u.ID]
			break
		}
		u.Partitioned = !u.Partitioned
	case 1:
		u.RunsStalled = !u.RunsStalled
	case 2:
		u.Failing = !u.Failing
	case 3:
		if w.mayAdopt && w.Rand.IntN(2) == 0 {
			w.isolateOwner()
			break
		}
		w.takeOver()
	case 5:
		w.drain()
	case 6:
		if w.mayEvacuate {
			w.toggleEvacuation()
			break
		}
		w.offerJob(i)
	case 7:
		if w.mayRestart {
			w.restart(u)
			break
		}
		w.offerJob(i)
	case 8:
		if w.mayResize {
			w.resize(u)
			break
		}
		w.offerJob(i)
	case 9:
		if w.mayLeave {
			w.leave(u)
			break
		}
		w.offerJob(i)
	case 4:
		if key, found := w.drawOpenJob(); found && w.mayCancel && w.Rand.IntN(2) == 0 {
			w.cancel(key.ID)
		} else if found {
			w.withdraw(key)
		}
	case 10:
		if w.mayHoldResponses {
			u.HoldResponses(w.RandMillis(minHoldMillis, maxHoldMillis))
			break
		}
		w.offerJob(i)
	default:
		w.offerJob(i)
	}
	w.Run(w.Now().Add(w.RandMillis(1, 120)))
}
