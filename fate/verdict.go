package fate

func (h *Home) complete(j *homeJob, e *Effects) {
	j.verdict = &Answer{Key: j.key, Kind: Complete, Tasks: taskOutcomes(j)}
	h.commit(j, e)
}

// Abort ends a submission early: cancelled, past its deadline or rejected.
func (h *Home) Abort(key Key, reason Reason) Effects {
	var e Effects
	j := h.jobs[key]
	if j != nil && j.verdict == nil && !j.witnessDecides {
		h.decide(j, reason, &e)
	}
	return e
}

// decide decides a fate of j other than Complete, unless the decision has to be left
// to the witness. The fate is committed at once if the log has no witness, if the
// witness cannot know the job, or if the log is sealed. Otherwise it is committed
// when the witness has acknowledged the verdict.
func (h *Home) decide(j *homeJob, reason Reason, e *Effects) {
	verdict := incompleteVerdict(j, reason)
	if h.needsWitness(j, verdict) {
		h.deferToWitness(j, e)
		return
	}
	j.verdict = verdict
	j.stopStarted(e)
	j.cancelPermits(e)
	if h.hasNoWitness() || !h.witnessMayKnow(j) {
		h.discardRecords(j)
		h.commit(j, e)
		return
	}
	if h.sealed {
		h.commit(j, e)
		return
	}
	h.pendingRecord(j).Verdict = j.verdict
	h.urgent = true
}

// needsWitness reports whether the decision has to be left to the witness, because
// the log is sealed and cannot record the verdict v. There is one exception: if a
// task has failed, no instance can decide Complete any more, so this home decides.
func (h *Home) needsWitness(j *homeJob, v *Answer) bool {
	return h.sealed && h.witnessMayKnow(j) && v.Reason != ReasonTaskFailed
}

// incompleteVerdict returns NotRun if no task has started, Unknown if a lost home
// may have completed the job, and Failed otherwise.
func incompleteVerdict(j *homeJob, reason Reason) *Answer {
	v := &Answer{Key: j.key, Kind: Failed, Reason: reason, Tasks: taskOutcomes(j)}
	ran, mayComplete := false, j.takenOver && !j.lostHomeCannotHaveCompleted
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

func taskOutcomes(j *homeJob) []Outcome {
	outcomes := make([]Outcome, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.phase {
		case ended:
			outcomes[i] = t.outcome
		case started, unresolved:
			outcomes[i].State = TaskUnknown
		default:
			outcomes[i].State = TaskNotRun
		}
	}
	return outcomes
}

func (j *homeJob) stopStarted(e *Effects) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == started {
			e.Stops = append(e.Stops, Start{Lease{j.key, i, t.attempt}, t.upstream})
		}
	}
}

// cancelPermits frees the slots of tasks whose permits are not acknowledged. These
// tasks will not start here.
func (j *homeJob) cancelPermits(e *Effects) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == permitPending {
			t.phase = waiting
			e.UnusedSlots = append(e.UnusedSlots, Start{Lease{j.key, i, t.attempt}, t.upstream})
		}
	}
}

// commit makes the verdict of j available to callers and releases what is no
// longer needed of j.
func (h *Home) commit(j *homeJob, e *Effects) {
	if j.verdict == nil || j.committed {
		return
	}
	j.committed = true
	j.job = nil
	if !j.answeredUnknown {
		h.active--
	}
	e.Answers = append(e.Answers, *j.verdict)
	h.removeJobs(h.retained.add(j.key, answerSize(j.verdict.Tasks)))
}

func (h *Home) removeJobs(keys []Key) {
	for _, key := range keys {
		delete(h.jobs, key)
	}
}
