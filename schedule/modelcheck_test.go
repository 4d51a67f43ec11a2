package schedule

import (
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// check holds what runs against what must always hold.
func (w *world) check(u *standin.SimulatedUpstream, started fleet.Run) {
	room := u.UpstreamModel.Capacity.Max(w.room[started]) // it may have shrunk since the pool was told
	if used := u.Used(); !used.Within(room) {
		w.t.Fatalf("%s at %v: %v of %v in use after the start of %v", u.ID, w.Now().Sub(epochZero), used, room, started)
	}
	for _, o := range w.upstreams {
		o.Advance(w.Now())
		for _, id := range o.Running() {
			if id.Task == started.Task && (o != u || id != started) {
				w.t.Fatalf("%v runs on %s while %v starts on %s at %v", id, o.ID, started, u.ID, w.Now().Sub(epochZero))
			}
		}
	}
}

// checkWaiting counts the tasks that wait anew. None has a run in the books.
func (w *world) checkWaiting() {
	count := 0
	for _, j := range w.pool.queue {
		for _, t := range j.taskList {
			if t.state != waiting {
				continue
			}
			count++
			if r := w.pool.runByTask[w.pool.taskRef(j, t)]; r != nil {
				w.t.Fatalf("task %d of %s waits for a place while %v is in the books", t.index, j.Key.ID, r.id)
			}
		}
	}
	if w.pool.Waiting() != count {
		w.t.Fatalf("the pool counts %d waiting tasks, and has %d", w.pool.Waiting(), count)
	}
}

// neverBegun checks a task that was returned as never begun: no run that was ordered
// for its sending has begun, none of an earlier one is at work, and none begins later.
func (w *world) neverBegun(ref fleet.TaskRef) {
	if w.begun[ref] {
		w.t.Fatalf("task %d of %s was returned and had begun", ref.Index, ref.Job)
	}
	w.noneRuns(ref)
	w.returned[ref] = true
}

// noneRuns checks that no run of a task that is returned is at work.
func (w *world) noneRuns(ref fleet.TaskRef) {
	for _, u := range w.upstreams {
		u.Advance(w.Now())
		for _, id := range u.Running() {
			if id.Task == ref {
				w.t.Fatalf("task %d of %s was returned while %v runs on %s", ref.Index, ref.Job, id, u.ID)
			}
		}
	}
}

// atRest checks a task that was returned after runs of its own: none is at work, and
// none begins later.
func (w *world) atRest(ref fleet.TaskRef) {
	w.noneRuns(ref)
	w.returned[ref] = true
}
