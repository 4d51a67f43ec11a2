package fate

func (h *Home) complete(j *homeJob, e *Effects) {
	j.verdict = &Answer{Key: j.key, Kind: Complete, Tasks: outcomes(j)}
	h.tell(j, e)
}

// GiveUp ends a submission early: cancelled, past its deadline or refused.
func (h *Home) GiveUp(key Key, reason Reason) Effects {
	var e Effects
	j := h.jobs[key]
	if j != nil && j.verdict == nil && !j.atWitness {
		h.decide(j, reason, &e)
	}
	return e
}

// decide gives j a fate other than complete, and tells it once it is recorded.
func (h *Home) decide(j *homeJob, reason Reason, e *Effects) {
	verdict := verdictOf(j, reason)
	if h.mustAsk(j, verdict) {
		h.leaveToWitness(j, e)
		return
	}
	j.verdict = verdict
	j.stop(e)
	j.retract(e)
	if h.alone() || !h.mayBeKnown(j) {
		h.withhold(j)
		h.tell(j, e)
		return
	}
	if h.sealed {
		h.tell(j, e)
		return
	}
	h.record(j).Verdict = j.verdict
	h.urgent = true
}

// mustAsk reports whether a verdict needs a witness that will not record it.
// A task that its upstream says has failed needs none: no one can say complete.
func (h *Home) mustAsk(j *homeJob, v *Answer) bool {
	return h.sealed && h.mayBeKnown(j) && v.Reason != ReasonTaskFailed
}

func verdictOf(j *homeJob, reason Reason) *Answer {
	v := &Answer{Key: j.key, Kind: Failed, Reason: reason, Tasks: outcomes(j)}
	ran, mayComplete := false, j.adopted && !j.exclusive
	for i := range v.Tasks {
		ran = ran || v.Tasks[i].State != TaskNotRun
		mayComplete = mayComplete && v.Tasks[i].State != TaskFailed
	}
	switch {
	case !ran:
		v.Kind, v.Tasks = NotRun, nil
	case mayComplete:
		v.Kind, v.Tasks = Unknown, nil
	}
	return v
}

func outcomes(j *homeJob) []Outcome {
	list := make([]Outcome, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.phase {
		case over:
			list[i] = t.outcome
		case started, inherited:
			list[i].State = TaskUnknown
		default:
			list[i].State = TaskNotRun
		}
	}
	return list
}

func (j *homeJob) stop(e *Effects) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == started {
			e.Stops = append(e.Stops, Start{Lease{j.key, i, t.attempt}, t.upstream})
		}
	}
}

// retract takes back the places of tasks whose permit is not acknowledged. They
// never start here.
func (j *homeJob) retract(e *Effects) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == asked {
			t.phase = waiting
			e.Unused = append(e.Unused, Start{Lease{j.key, i, t.attempt}, t.upstream})
		}
	}
}

// tell makes the verdict of j sayable and lets go of what it no longer needs.
func (h *Home) tell(j *homeJob, e *Effects) {
	if j.verdict == nil || j.told {
		return
	}
	j.told = true
	j.job = nil
	h.active--
	e.Answers = append(e.Answers, *j.verdict)
	h.forget(h.kept.add(j.key, sizeOf(j.verdict.Tasks)))
}

func (h *Home) forget(keys []Key) {
	for _, key := range keys {
		delete(h.jobs, key)
	}
}
