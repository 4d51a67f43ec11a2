package fate

import (
	"fmt"
)

// takeOver makes the witness seal the log, and takeoverHome take over the open jobs.
func (w *world) takeOver() {
	if !w.witnessUp {
		return
	}
	w.witness.Seal()
	for _, key := range w.keys {
		_, recovered := w.witness.Lookup(key)
		if recovered == nil || w.takeoverHome.MayHaveSeen(key) {
			continue
		}
		w.recoveredPermits[key] = make([][]Permit, len(recovered.Tasks))
		for i := range recovered.Tasks {
			w.recoveredPermits[key][i] = recovered.Tasks[i].Permits
		}
		w.perform(w.takeoverHome.TakeOver(key, recovered), true)
		if w.mutation == failedAfterTakeover {
			w.takeoverHome.jobs[key].lostHomeCannotHaveCompleted = true
		}
	}
}

// loseWitness makes the home assume that its witness is lost, whether it is or not.
func (w *world) loseWitness() {
	if !w.homeUp {
		return
	}
	if w.mutation == notRunWithoutWitness {
		for _, j := range w.home.jobs {
			j.acked = false
		}
		for _, a := range w.home.unacked {
			a.sendCount = 0
		}
	}
	w.perform(w.home.MarkWitnessLost(), false)
}

func (w *world) killHome() { w.homeUp = false }

func (w *world) killWitness() {
	if w.choose.below(3) == 0 {
		w.witnessUp = false
	}
}

// resolveTask picks a task of a taken-over job that the lost home may have started,
// and looks up its outcome at the upstreams.
func (w *world) resolveTask() {
	key, ok := pick(w, w.keys)
	if !ok || !w.witnessUp || len(w.recoveredPermits[key]) == 0 {
		return
	}
	task := w.choose.below(len(w.recoveredPermits[key]))
	if !w.takeoverHome.IsUnresolved(key, task) {
		return
	}
	var found *Outcome
	for _, p := range w.recoveredPermits[key][task] {
		s := Start{Lease{key, task, p.Attempt}, p.Upstream}
		switch state := w.leases[leaseKey(s)]; {
		case state == running && w.choose.below(4) == 0:
			found = &Outcome{State: TaskUnknown} // the upstream does not answer
		case state == running:
			return
		case state == neverSeen && w.mutation != unseenLeaseNotBarred:
			w.leases[leaseKey(s)] = barred
		case state == finished || state == failed:
			o := outcomeOf(state, leaseKey(s))
			found = &o
		}
		if found != nil {
			break
		}
	}
	e, _ := w.takeoverHome.ResolveTask(key, task, found)
	w.perform(e, true)
}

func (w *world) placeAfterTakeover() {
	key, ok := pick(w, w.keys)
	if !ok || !w.witnessUp {
		return
	}
	if task, ok := pick(w, w.takeoverHome.WaitingTasks(key)); ok {
		e, _ := w.takeoverHome.Place(key, task, upstreamNames[w.choose.below(2)])
		w.perform(e, true)
	}
}

func (w *world) abortAfterTakeover() {
	if key, ok := pick(w, w.keys); ok && w.witnessUp && w.choose.below(4) == 0 {
		w.perform(w.takeoverHome.Abort(key, ReasonDeadline), true)
	}
}

// resubmitToWitness resubmits a job to the witness, like a caller that cannot reach the
// home.
func (w *world) resubmitToWitness() {
	key := Key{Session: "s", Sequence: uint64(1 + w.choose.below(4))}
	if a, ok := w.witnessAnswer(key); ok {
		w.recordAnswer(a)
	}
}

func (w *world) witnessAnswer(key Key) (Answer, bool) {
	if !w.witnessUp {
		return Answer{}, false
	}
	if w.mutation == evictionForgotten {
		clear(w.witness.retained.evictedThrough)
	}
	answer, recovered := w.witness.Lookup(key)
	if answer != nil {
		return *answer, true
	}
	if recovered == nil {
		return Answer{}, false
	}
	w.takeOver()
	_, resubmitted, err := w.takeoverHome.Submit(key, nil)
	return resubmitted, err == nil && resubmitted.Kind.Final()
}

func (w *world) answerWitnessQuery() {
	key, ok := pull(w, &w.witnessQueries, true)
	if !ok || !w.homeUp {
		return
	}
	a, answered := w.witnessAnswer(key)
	if !answered || w.home.WitnessLost() || w.choose.below(4) == 0 {
		a = Answer{Key: key, Kind: Unknown}
	}
	w.perform(w.home.ApplyWitnessAnswer(a), false)
}

// check verifies that all starts and answers so far satisfy the invariants.
func (w *world) check() {
	for task, starts := range w.started {
		if len(starts) > 1 {
			w.violation = fmt.Errorf("task %s started twice: %v", task, starts)
		}
	}
	for key, answers := range w.answers {
		w.checkAnswers(key, answers)
	}
}

func (w *world) checkAnswers(key Key, answers []Answer) {
	kind := Kind("")
	for _, a := range answers {
		if a.Kind == Unknown {
			continue
		}
		if kind != "" && kind != a.Kind {
			w.violation = fmt.Errorf("submission %s was answered both %s and %s", key, kind, a.Kind)
		}
		kind = a.Kind
		w.checkAnswer(key, &a)
	}
}

func (w *world) checkAnswer(key Key, a *Answer) {
	tasks := 1 + int(key.Sequence%3)
	for i := range tasks {
		starts := w.started[taskName(Lease{Key: key, Task: i})]
		switch {
		case a.Kind == NotRun && len(starts) > 0:
			w.violation = fmt.Errorf("submission %s was answered not run, but a task was started: %v", key, starts)
		case a.Kind == Complete && (len(a.Tasks) != tasks || len(starts) != 1 || string(a.Tasks[i].Result) != starts[0]):
			w.violation = fmt.Errorf("submission %s was answered complete, but not with the result of the only start of task %d", key, i)
		}
	}
}
