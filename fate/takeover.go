package fate

// TakeOver continues a job whose home is lost and whose log is sealed. The log of h
// must have no witness. A task that the lost home may have started stays unresolved
// until ResolveTask records the answers of the upstreams concerned.
func (h *Home) TakeOver(key Key, recovered *RecoveredJob) Effects {
	var e Effects
	if h.jobs[key] != nil {
		return e
	}
	j := h.accept(key, recovered.Job)
	j.takenOver = true
	for i := range recovered.Tasks {
		j.applyRecovered(i, &recovered.Tasks[i])
	}
	h.decideRecovered(j, &e)
	return e
}

func (j *homeJob) applyRecovered(task int, recovered *RecoveredTask) {
	t := &j.tasks[task]
	switch {
	case recovered.Outcome != nil:
		t.phase = ended
		t.outcome = *recovered.Outcome
		j.openTasks--
	case len(recovered.Permits) > 0:
		t.phase = unresolved
		t.attempt = recovered.Permits[len(recovered.Permits)-1].Attempt
	default:
		j.lostHomeCannotHaveCompleted = true
	}
}

// decideRecovered decides the fate of j if a recovered outcome is a failure, or if
// all tasks have ended.
func (h *Home) decideRecovered(j *homeJob, e *Effects) {
	for i := range j.tasks {
		if j.tasks[i].phase == ended && j.tasks[i].outcome.State == TaskFailed {
			h.decide(j, ReasonTaskFailed, e)
			return
		}
	}
	if j.openTasks == 0 {
		h.complete(j, e)
	}
}

// ResolveTask records what the upstreams answered about a task that the lost home
// may have started: its outcome, or nil if every upstream for which there is a
// permit has barred the lease. With nil the task has never started, so that it can
// start here. ResolveTask reports false if the task does not wait to be resolved.
func (h *Home) ResolveTask(key Key, task int, outcome *Outcome) (Effects, bool) {
	var e Effects
	j := h.jobs[key]
	if j == nil || j.verdict != nil || j.tasks[task].phase != unresolved {
		return e, false
	}
	if outcome != nil {
		return h.endTask(j, task, *outcome), true
	}
	j.tasks[task].phase = waiting
	j.lostHomeCannotHaveCompleted = true
	return e, true
}

// IsUnresolved reports whether the upstreams still have to be asked about a task
// that the lost home may have started.
func (h *Home) IsUnresolved(key Key, task int) bool {
	j := h.jobs[key]
	return j != nil && j.verdict == nil && j.tasks[task].phase == unresolved
}
