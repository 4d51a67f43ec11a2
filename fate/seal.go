package fate

import (
	"maps"
	"slices"
)

// Sealed reports whether the log is sealed: no task of it will start any more.
func (h *Home) Sealed() bool { return h.sealed }

// Seal applies the notification that the witness has sealed the log: no further
// task starts here. Started tasks continue. Jobs that need further starts or an
// acknowledgement are left to the witness. Jobs that the witness cannot know are
// answered NotRun.
func (h *Home) Seal() Effects {
	var e Effects
	if h.sealed {
		return e
	}
	h.sealed = true
	for _, key := range slices.SortedFunc(maps.Keys(h.jobs), compareKeys) {
		j := h.jobs[key]
		if j == nil {
			continue // evicted when a previous job was committed
		}
		switch {
		case j.committed:
		case !h.witnessMayKnow(j):
			h.decideNotRun(j, &e)
		case j.verdict != nil || !allStarted(j):
			h.deferToWitness(j, &e)
		}
		if !j.committed {
			j.acked = true // the appends are discarded below: the witness may know the job
		}
	}
	h.discardAppends()
	return e
}

// MarkWitnessLost applies the notification that the witness is lost. It has the
// effects of Seal, but the witness may not be there to ask: package dispatch
// answers Unknown for WitnessQueries that the witness does not answer.
func (h *Home) MarkWitnessLost() Effects {
	h.witnessLost = true
	return h.Seal()
}

// WitnessLost reports whether the witness is lost.
func (h *Home) WitnessLost() bool { return h.witnessLost }

// decideNotRun commits NotRun for a job of which no record can have reached the
// witness: the witness cannot run the job, and this home will not start it.
func (h *Home) decideNotRun(j *homeJob, e *Effects) {
	j.verdict = &Answer{Key: j.key, Kind: NotRun, Reason: ReasonWitnessLost}
	j.cancelPermits(e)
	h.commit(j, e)
}

func (h *Home) deferToWitness(j *homeJob, e *Effects) {
	if j.witnessDecides {
		return
	}
	j.witnessDecides = true
	j.verdict = nil
	j.cancelPermits(e)
	e.WitnessQueries = append(e.WitnessQueries, j.key)
}

// ApplyWitnessAnswer applies the witness's answer to one of WitnessQueries. The
// answer Unknown is returned to callers but not kept, because the witness may
// know more when it is asked again.
func (h *Home) ApplyWitnessAnswer(answer Answer) Effects {
	var e Effects
	j := h.jobs[answer.Key]
	if j == nil || !j.witnessDecides || j.committed {
		return e
	}
	if answer.Kind == Unknown {
		e.Answers = append(e.Answers, answer)
		return e
	}
	j.verdict = &answer
	h.commit(j, &e)
	return e
}

func allStarted(j *homeJob) bool {
	for i := range j.tasks {
		if p := j.tasks[i].phase; p == waiting || p == permitPending {
			return false
		}
	}
	return true
}
