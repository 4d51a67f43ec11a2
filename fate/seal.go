package fate

import (
	"maps"
	"slices"
)

// Sealed reports whether this home treats the log as sealed: it starts no more tasks.
func (h *Home) Sealed() bool { return h.sealed }

// Seal applies the notification that the witness has sealed the log. No more tasks
// start here, but started ones continue. What happens to a job depends on its state:
//
//   - If the witness cannot know the job, its fate is NotRun.
//   - If tasks are yet to start, or a verdict is not acknowledged yet, the witness
//     is asked for its fate.
//   - Otherwise this home waits for the started tasks and decides.
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
			j.acked = true // the witness may know the job; the appends that show this are discarded below
		}
	}
	h.discardAppends()
	return e
}

// MarkWitnessLost applies the notification that the witness is lost. It has the
// effects of Seal. Since the witness may not answer the WitnessQueries, package
// dispatch then applies the answer Unknown in its place.
func (h *Home) MarkWitnessLost() Effects {
	h.witnessLost = true
	return h.Seal()
}

// WitnessLost reports whether the witness is lost.
func (h *Home) WitnessLost() bool { return h.witnessLost }

// decideNotRun commits NotRun for a job of which the witness has received no record:
// the witness's instance cannot take the job over, and this home will not start it.
func (h *Home) decideNotRun(j *homeJob, e *Effects) {
	j.verdict = &Answer{Key: j.key, Kind: NotRun, Reason: ReasonWitnessLost}
	j.cancelPermits(e)
	h.commit(j, e)
}

// deferToWitness leaves the decision on the fate of j to the witness, and asks for it.
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
// answer Unknown is returned to the waiting callers but not committed, because the
// witness may give another answer to a later query.
func (h *Home) ApplyWitnessAnswer(answer Answer) Effects {
	var e Effects
	j := h.jobs[answer.Key]
	if j == nil || !j.witnessDecides || j.committed {
		return e
	}
	if answer.Kind == Unknown {
		if !j.answeredUnknown {
			j.answeredUnknown = true
			h.active--
		}
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
