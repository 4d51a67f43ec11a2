package schedule

import (
	"slices"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// checkStart checks the invariants after a run has started on u: the runs on u do not use more
// than its capacity, and no other run of the same task is executing anywhere.
func (w *testCluster) checkStart(u *standin.SimulatedUpstream, started fleet.Run) {
	capacity := u.UpstreamModel.Capacity.Max(w.capacityAtOrder[started]) // the capacity may have shrunk since the run was ordered
	if used := u.Used(); !used.Within(capacity) {
		w.t.Fatalf("%s is loaded beyond its capacity at %v: %v of %v in use after the start of %v", u.ID, w.Now().Sub(startTime), used, capacity, started)
	}
	for _, other := range w.upstreams {
		other.Advance(w.Now())
		for _, id := range other.Running() {
			if id.Task == started.Task && (other != u || id != started) {
				w.t.Fatalf("a task has two runs: %v runs on %s while %v starts on %s at %v", id, other.ID, started, u.ID, w.Now().Sub(startTime))
			}
		}
	}
}

// checkWaiting checks that the pool counts its waiting tasks correctly, and that no waiting task
// has a run that the pool tracks.
func (w *testCluster) checkWaiting() {
	count := 0
	for _, j := range w.pool.queue {
		for _, t := range j.taskList {
			if t.state != waiting {
				continue
			}
			count++
			for _, r := range w.pool.runsByTask[w.pool.taskRef(j, t)] {
				w.t.Fatalf("task %d of %s is waiting while its run %v is tracked", t.index, j.Key.ID, r.id)
			}
		}
	}
	if w.pool.Waiting() != count {
		w.t.Fatalf("the pool counts %d waiting tasks, but has %d", w.pool.Waiting(), count)
	}
	w.checkRunDemands()
}

// checkRunDemands checks the sums that the pool keeps of the runs that it tracks: the demands of all
// runs, and for each upstream the room that is used and the number of runs of former owners.
func (w *testCluster) checkRunDemands() {
	var demands demandSum
	for _, runs := range w.pool.runsByTask {
		for _, r := range runs {
			demands.add(r, 1)
		}
	}
	if demands != w.pool.runDemands {
		w.t.Fatalf("the pool counts %+v as the demands of its runs, but they are %+v", w.pool.runDemands, demands)
	}
	for _, u := range w.pool.sortedUpstreams {
		var used fleet.Resources
		former := 0
		for _, r := range u.runs {
			used = used.Plus(r.demand)
			if !slices.Contains(w.pool.runsByTask[r.id.Task], r) {
				w.t.Fatalf("%v on %s is not among the tracked runs of its task", r.id, u.ID)
			}
			if r.fromFormerOwner {
				former++
			}
		}
		if used != u.used || former != u.formerOwnerRuns {
			w.t.Fatalf("the pool counts %+v as used on %s, with %d runs of former owners, but it is %+v, with %d", u.used, u.ID, u.formerOwnerRuns, used, former)
		}
	}
}

// checkNeverStarted checks a task that was returned as never started: no run that was ordered
// for the last submission of its job has started, and no run of the task is executing. It adds
// the task to returnedTasks, so that a start after the return fails the test too.
func (w *testCluster) checkNeverStarted(ref fleet.TaskRef) {
	if w.startedTasks[ref] {
		w.t.Fatalf("task %d of %s was returned as never started, but had started", ref.Index, ref.Job)
	}
	w.checkNotRunning(ref)
	w.returnedTasks[ref] = true
}

// checkNotRunning checks that no upstream runs a task that was returned.
func (w *testCluster) checkNotRunning(ref fleet.TaskRef) {
	for _, u := range w.upstreams {
		u.Advance(w.Now())
		for _, id := range u.Running() {
			if id.Task == ref {
				w.t.Fatalf("task %d of %s was returned while %v runs on %s", ref.Index, ref.Job, id, u.ID)
			}
		}
	}
}

// checkReturnedAfterRuns checks a task that was returned after it had runs: none of them is
// executing. It adds the task to returnedTasks, so that a start after the return fails the test
// too.
func (w *testCluster) checkReturnedAfterRuns(ref fleet.TaskRef) {
	w.checkNotRunning(ref)
	w.returnedTasks[ref] = true
}
