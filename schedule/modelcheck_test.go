package schedule

import (
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// checkStart checks the invariants after the start of a run: no upstream is loaded beyond its
// capacity, and no task has two runs.
func (w *testCluster) checkStart(u *standin.SimulatedUpstream, started fleet.Run) {
	capacity := u.UpstreamModel.Capacity.Max(w.capacityAtOrder[started]) // it may have shrunk since the run was ordered
	if used := u.Used(); !used.Within(capacity) {
		w.t.Fatalf("%s at %v: %v of %v in use after the start of %v", u.ID, w.Now().Sub(startTime), used, capacity, started)
	}
	for _, other := range w.upstreams {
		other.Advance(w.Now())
		for _, id := range other.Running() {
			if id.Task == started.Task && (other != u || id != started) {
				w.t.Fatalf("%v runs on %s while %v starts on %s at %v", id, other.ID, started, u.ID, w.Now().Sub(startTime))
			}
		}
	}
}

// checkWaiting checks the pool's count of waiting tasks, and that no waiting task has a tracked
// run.
func (w *testCluster) checkWaiting() {
	count := 0
	for _, j := range w.pool.queue {
		for _, t := range j.taskList {
			if t.state != waiting {
				continue
			}
			count++
			if r := w.pool.runByTask[w.pool.taskRef(j, t)]; r != nil {
				w.t.Fatalf("task %d of %s is waiting while its run %v is tracked", t.index, j.Key.ID, r.id)
			}
		}
	}
	if w.pool.Waiting() != count {
		w.t.Fatalf("the pool counts %d waiting tasks, but has %d", w.pool.Waiting(), count)
	}
}

// checkNeverStarted checks a task that was returned as never started: no run that was ordered
// for its last submission has started, none of an earlier one is running, and none starts later.
func (w *testCluster) checkNeverStarted(ref fleet.TaskRef) {
	if w.startedTasks[ref] {
		w.t.Fatalf("task %d of %s was returned as never started, but had started", ref.Index, ref.Job)
	}
	w.checkNotRunning(ref)
	w.returnedTasks[ref] = true
}

// checkNotRunning checks that no upstream runs a task that is returned.
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
// running, and none starts later.
func (w *testCluster) checkReturnedAfterRuns(ref fleet.TaskRef) {
	w.checkNotRunning(ref)
	w.returnedTasks[ref] = true
}
