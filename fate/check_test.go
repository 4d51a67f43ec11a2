package fate

import (
	"fmt"
)

// seal is the witness's takeover: it seals, and goes on with what is open.
func (w *world) seal() {
	if !w.witUp {
		return
	}
	w.witness.Seal()
	for _, key := range w.keys {
		_, in := w.witness.Recall(key)
		if in == nil || w.heir.Knows(key) {
			continue
		}
		w.permits[key] = make([][]Permit, len(in.Tasks))
		for i := range in.Tasks {
			w.permits[key][i] = in.Tasks[i].Permits
		}
		w.effects(w.heir.Adopt(key, in), true)
		if w.broken == heirSaysFailed {
			w.heir.jobs[key].exclusive = true
		}
	}
}

// orphan makes the home take its witness for lost, rightly or not.
func (w *world) orphan() {
	if !w.homeUp {
		return
	}
	if w.broken == orphanSaysNotRun {
		for _, j := range w.home.jobs {
			j.acked = false
		}
		for _, a := range w.home.unacked {
			a.sends = 0
		}
	}
	w.effects(w.home.Orphan(), false)
}

func (w *world) killHome() { w.homeUp = false }

func (w *world) killWitness() {
	if w.choose.below(3) == 0 {
		w.witUp = false
	}
}

// settle asks the upstreams after one inherited task.
func (w *world) settle() {
	key, ok := pick(w, w.keys)
	if !ok || !w.witUp || len(w.permits[key]) == 0 {
		return
	}
	task := w.choose.below(len(w.permits[key]))
	if !w.heir.AwaitsInherited(key, task) {
		return
	}
	var found *Outcome
	for _, p := range w.permits[key][task] {
		s := Start{Lease{key, task, p.Attempt}, p.Upstream}
		switch state := w.leases[at(s)]; {
		case state == running && w.choose.below(4) == 0:
			found = &Outcome{State: TaskUnknown} // the upstream does not answer
		case state == running:
			return
		case state == neverSeen && w.broken != barSkipped:
			w.leases[at(s)] = barred
		case state == finished || state == failed:
			o := outcomeAt(state, at(s))
			found = &o
		}
		if found != nil {
			break
		}
	}
	e, _ := w.heir.SettleInherited(key, task, found)
	w.effects(e, true)
}

func (w *world) heirPlace() {
	key, ok := pick(w, w.keys)
	if !ok || !w.witUp {
		return
	}
	if task, ok := pick(w, w.heir.Waiting(key)); ok {
		e, _ := w.heir.Place(key, task, upstreamNames[w.choose.below(2)])
		w.effects(e, true)
	}
}

func (w *world) heirCancel() {
	if key, ok := pick(w, w.keys); ok && w.witUp && w.choose.below(4) == 0 {
		w.effects(w.heir.GiveUp(key, ReasonDeadline), true)
	}
}

// recall is a resubmission that reaches the witness.
func (w *world) recall() {
	key := Key{Session: "s", Sequence: uint64(1 + w.choose.below(4))}
	if a, ok := w.fromWitness(key); ok {
		w.tell(a)
	}
}

func (w *world) fromWitness(key Key) (Answer, bool) {
	if !w.witUp {
		return Answer{}, false
	}
	if w.broken == goneForgotten {
		clear(w.witness.kept.gone)
	}
	answer, in := w.witness.Recall(key)
	if answer != nil {
		return *answer, true
	}
	if in == nil {
		return Answer{}, false
	}
	w.seal()
	_, kept, err := w.heir.Submit(key, nil)
	return kept, err == nil && kept.Kind.Final()
}

func (w *world) answerAsk() {
	key, ok := pull(w, &w.asks, true)
	if !ok || !w.homeUp {
		return
	}
	a, known := w.fromWitness(key)
	if !known || w.home.Orphaned() || w.choose.below(4) == 0 {
		a = Answer{Key: key, Kind: Unknown}
	}
	w.effects(w.home.Learned(a), false)
}

// check holds the promises against what was started and told.
func (w *world) check() {
	for task, starts := range w.started {
		if len(starts) > 1 {
			w.violate = fmt.Errorf("task %s started twice: %v", task, starts)
		}
	}
	for key, answers := range w.told {
		w.checkTold(key, answers)
	}
}

func (w *world) checkTold(key Key, answers []Answer) {
	kind := Kind("")
	for _, a := range answers {
		if a.Kind == Unknown {
			continue
		}
		if kind != "" && kind != a.Kind {
			w.violate = fmt.Errorf("%s was told %s and %s", key, kind, a.Kind)
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
			w.violate = fmt.Errorf("%s was told not run, but started %v", key, starts)
		case a.Kind == Complete && (len(a.Tasks) != tasks || len(starts) != 1 || string(a.Tasks[i].Result) != starts[0]):
			w.violate = fmt.Errorf("%s was told complete without the result of task %d", key, i)
		}
	}
}
