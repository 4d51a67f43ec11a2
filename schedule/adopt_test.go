package schedule

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"

	"pgregory.net/rapid"
)

// This file lets TestModel lose owners whose coordinators remain. If modelCase.mayAdopt is set:
//   - The owner may be cut off from single upstreams.
//   - After a takeover, the coordinators of some of the lost jobs make adopting offers to the next
//     pool, which may know that the process of the former owner has ended.
//   - Otherwise the former owner goes on for a while: until it has not heard from the coordinators
//     for CoordinatorStaleAfter.

// maxAdoptDelayMillis is the longest time, in milliseconds, after which a coordinator makes an
// adopting offer.
const maxAdoptDelayMillis = 300

// drawDuration draws the duration of a run. With adopting offers and late responses, some runs
// outlast leases.
func (w *testCluster) drawDuration() time.Duration {
	if w.longTasks || (w.mayAdopt || w.mayHoldResponses) && w.Rand.IntN(4) == 0 {
		return w.RandMillis(600, 1500)
	}
	return w.RandMillis(20, 400)
}

// formerOwner is a pool that has been replaced and whose process is still running.
type formerOwner struct {
	cluster *testCluster
	pool    *Pool
	cutOff  map[string]bool // upstreams that it cannot reach, by ID
	until   time.Time       // when its process ends
	// listedCapacity is that of testCluster when the pool was replaced: it gets no list any more.
	listedCapacity map[string]fleet.Resources
}

// keepFormerOwner lets the pool that is being replaced go on, or returns its token if its process
// has ended.
func (w *testCluster) keepFormerOwner() (ended uint64) {
	if !w.mayAdopt || w.pool == nil {
		return 0
	}
	formerCutOff := w.cutOff
	w.cutOff = map[string]bool{}
	if w.Rand.IntN(2) == 0 {
		return w.pool.Token()
	}
	if w.mayRestart {
		return 0 // a simulated order does not name the incarnation that it is meant for
	}
	f := &formerOwner{cluster: w, pool: w.pool, cutOff: formerCutOff, listedCapacity: maps.Clone(w.listedCapacity), until: w.Now().Add(w.RandMillis(1, int(DefaultConfig.CoordinatorStaleAfter.Milliseconds())))}
	if w.longTasks {
		f.until = w.Now().Add(DefaultConfig.CoordinatorStaleAfter)
	}
	f.tick()
	for _, u := range w.upstreams {
		f.requestReports(u.ID)
	}
	if w.Rand.IntN(2) == 0 {
		w.partition(f)
	}
	return 0
}

// isolateOwner cuts the owner off from about half of the upstreams. Some time later another pool
// takes over.
func (w *testCluster) isolateOwner() {
	for _, u := range w.upstreams {
		w.cutOff[u.ID] = w.Rand.IntN(2) == 0
	}
	token := w.poolToken
	w.AfterFunc(w.RandMillis(200, 700), func() {
		if token == w.poolToken {
			w.takeOver()
		}
	})
}

// partition cuts the next pool off, for a while, from about half of the upstreams that the former
// owner can reach.
func (w *testCluster) partition(f *formerOwner) {
	cutOff := map[string]bool{}
	for _, u := range w.upstreams {
		cutOff[u.ID] = !f.cutOff[u.ID] && w.Rand.IntN(2) == 0
	}
	w.cutOff = cutOff
	w.AfterFunc(w.RandMillis(100, 700), func() { clear(cutOff) })
}

func (f *formerOwner) alive() bool { return f.cluster.Now().Before(f.until) }

func (f *formerOwner) tick() {
	if f.alive() {
		f.apply(f.pool.Tick(f.cluster.Now()))
		f.cluster.AfterFunc(25*time.Millisecond, f.tick)
	}
}

// requestReports does for the former owner what testCluster.requestReports does for the pool.
func (f *formerOwner) requestReports(id string) {
	w := f.cluster
	u, o, known := f.pool.HoldOrder(w.Now(), id)
	if !f.alive() || !known {
		return
	}
	sent := w.Now()
	then := func(report fleet.Report, err error) {
		if !f.alive() {
			return
		}
		f.apply(f.pool.HandleHoldResponse(w.Now(), u.Incarnation(), sent, report, err))
		if err == nil {
			f.requestReports(id)
			return
		}
		w.AfterFunc(20*time.Millisecond, func() { f.requestReports(id) })
	}
	if f.cutOff[id] {
		w.AfterFunc(callTimeout, func() { then(fleet.Report{}, errs["lost"]) })
		return
	}
	w.findUpstream(id).CallHold(o, callTimeout, then)
}

// apply makes the calls of the former owner. Its results are lost.
func (f *formerOwner) apply(e Effects) {
	w := f.cluster
	for _, s := range e.Starts {
		if f.cutOff[s.Upstream.ID] {
			continue
		}
		w.orderedFor[s.Order.Run] = w.submissions[s.Order.Run.Task]
		w.orderedByFormer[runOn{s.Upstream.ID, s.Order.Run}] = true
		u := w.findUpstream(s.Upstream.ID)
		w.capacityAtOrder[s.Order.Run] = f.listedCapacity[u.ID]
		w.pendingStarts[u.UpstreamModel] = append(w.pendingStarts[u.UpstreamModel], s.Order)
		u.CallStart(s.Order, startTimeout, func(refusal fleet.Refusal, err error) {
			if f.alive() {
				f.apply(f.pool.HandleStartResponse(w.Now(), s.Upstream.Incarnation(), s.Order.Run, refusal, err))
			}
		})
	}
	for _, s := range e.Stops {
		if f.cutOff[s.Upstream.ID] {
			continue
		}
		w.findUpstream(s.Upstream.ID).CallStop(s.Run, f.pool.Token(), callTimeout, func(err error) {
			if f.alive() {
				f.apply(f.pool.HandleStopResponse(w.Now(), s.Upstream.Incarnation(), s.Run, err))
			}
		})
	}
}

// loseJob handles an open job whose owner is lost: its coordinator makes an adopting offer to the
// next pool, or its customer submits it again later.
func (w *testCluster) loseJob(key JobKey, lostToken uint64) {
	j := w.openJobs[key]
	delete(w.openJobs, key)
	if !w.mayAdopt || w.Rand.IntN(3) == 0 {
		w.lostJobs = append(w.lostJobs, lostJob{key.ID, w.Now()})
		return
	}
	o := j.offer
	o.MayQueue = o.AdoptFrom == 0
	o.AdoptFrom = lostToken
	o.Key.Part++
	o.Tasks = slices.DeleteFunc(slices.Clone(o.Tasks), func(index int) bool { return j.done[index] })
	if len(o.Tasks) == 0 {
		return // only the result was lost
	}
	w.AfterFunc(w.RandMillis(0, maxAdoptDelayMillis), func() { w.offerAdopting(o) })
}

// recordProgress records the tasks that are done. One message in four is lost with its owner.
func (w *testCluster) recordProgress(r Result) {
	j := w.openJobs[r.Key]
	if j == nil || !w.mayAdopt {
		return
	}
	for _, index := range r.Done {
		if !w.doneTasks[fleet.TaskRef{Job: r.Key.ID, Index: index}] {
			w.t.Fatalf("task %d of %s is told as done, but no run of it was", index, r.Key.ID)
		}
		j.done[index] = j.done[index] || w.Rand.IntN(4) > 0
	}
}

// offerAdopting makes an adopting offer to the pool, unless the job was submitted again.
func (w *testCluster) offerAdopting(o Offer) {
	for _, key := range w.openKeys() {
		if key.ID == o.Key.ID {
			return
		}
	}
	w.adoptionsOffered++
	w.openJobs[o.Key] = &simJob{offer: o, done: map[int]bool{}}
	w.applyEffects(w.pool.Offer(w.Now(), o))
}

// isAdopting reports whether a job is open as an adopting offer. Its customer does not submit it
// again as long as it waits for the result.
func (w *testCluster) isAdopting(key JobKey) bool { return w.openJobs[key].offer.AdoptFrom > 0 }

// checkAdopted checks the result of an adopting offer: the tasks that count as done are done. If it
// is not completed, the customer submits the job again later.
func (w *testCluster) checkAdopted(r Result, o Offer) {
	for _, index := range r.Done {
		if ref := (fleet.TaskRef{Job: r.Key.ID, Index: index}); !w.doneTasks[ref] {
			w.t.Fatalf("task %d of %s counts as done, but no run of it was", index, r.Key.ID)
		}
	}
	if r.Outcome == Completed {
		w.adoptionsCompleted++
		return
	}
	w.lostJobs = append(w.lostJobs, lostJob{r.Key.ID, w.Now()})
}

// TestModelAdopts checks that the cases of TestModel with adopting offers complete some of them, in
// steps that mostly succeed and with calls that get lost.
func TestModelAdopts(t *testing.T) {
	offered, completed := 0, 0
	for seed := range uint64(60) {
		w := modelCase{seed: seed, lossShare: []float64{0, 0.02}[seed%2], lateShare: 0.05, steps: 60, mayAdopt: true}.run(t)
		offered, completed = offered+w.adoptionsOffered, completed+w.adoptionsCompleted
	}
	t.Logf("%d of %d adopting offers were completed", completed, offered)
	if completed == 0 {
		t.Errorf("none of %d adopting offers was completed", offered)
	}
}

// TestIsolatedOwner plays the case in which adopted runs are most dangerous. An owner with long tasks
// is cut off from some upstreams and replaced before their leases have lapsed. It goes on for as long
// as it may start tasks, and the next owner reaches only some of the other upstreams.
func TestIsolatedOwner(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newTestCluster(t, rapid.Uint64().Draw(t, "seed"))
		w.mayAdopt, w.longTasks = true, true
		w.takeOver()
		w.Run(startTime.Add(300 * time.Millisecond))
		for i := range 1 + w.Rand.IntN(4) {
			w.offerJob(i)
		}
		w.Run(w.Now().Add(w.RandMillis(20, 200)))
		w.isolateOwner()
		w.Run(w.Now().Add(3 * time.Second))
	})
}
