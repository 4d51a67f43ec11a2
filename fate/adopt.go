package fate

// Adopt makes a log of one go on with a job whose home is lost and whose log
// is sealed. Tasks that the lost home may have started are settled with
// SettleInherited once their upstream has been asked.
func (h *Home) Adopt(key Key, in *Inheritance) Effects {
	var e Effects
	if h.jobs[key] != nil {
		return e
	}
	j := h.accept(key, in.Job)
	j.adopted = true
	for i := range in.Tasks {
		j.inherit(i, &in.Tasks[i])
	}
	h.judgeAdopted(j, &e)
	return e
}

func (j *homeJob) inherit(task int, in *InheritedTask) {
	t := &j.tasks[task]
	switch {
	case in.Outcome != nil:
		t.phase = over
		t.outcome = *in.Outcome
		j.open--
	case len(in.Permits) > 0:
		t.phase = inherited
		t.attempt = in.Permits[len(in.Permits)-1].Attempt
	default:
		j.exclusive = true
	}
}

// judgeAdopted gives j its fate if what was inherited decides it already.
func (h *Home) judgeAdopted(j *homeJob, e *Effects) {
	for i := range j.tasks {
		if j.tasks[i].phase == over && j.tasks[i].outcome.State == TaskFailed {
			h.decide(j, ReasonTaskFailed, e)
			return
		}
	}
	if j.open == 0 {
		h.complete(j, e)
	}
}

// SettleInherited takes what an upstream said of an inherited task: its
// outcome, or nil where every upstream that it was permitted at has barred it,
// so that it never started and may start here.
func (h *Home) SettleInherited(key Key, task int, o *Outcome) (Effects, bool) {
	var e Effects
	j := h.jobs[key]
	if j == nil || j.verdict != nil || j.tasks[task].phase != inherited {
		return e, false
	}
	if o != nil {
		return h.settle(j, task, *o), true
	}
	j.tasks[task].phase = waiting
	j.exclusive = true
	return e, true
}

// AwaitsInherited reports whether what became of an inherited task matters.
func (h *Home) AwaitsInherited(key Key, task int) bool {
	j := h.jobs[key]
	return j != nil && j.verdict == nil && j.tasks[task].phase == inherited
}
