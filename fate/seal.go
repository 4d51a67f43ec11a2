package fate

import (
	"maps"
	"slices"
)

// Sealed reports whether the log starts nothing more.
func (h *Home) Sealed() bool { return h.sealed }

// Seal takes the news that the witness sealed the log: nothing more starts
// here. Tasks that started go on; jobs that need more are the witness's.
func (h *Home) Seal() Effects {
	var e Effects
	if h.sealed {
		return e
	}
	h.sealed = true
	for _, key := range slices.SortedFunc(maps.Keys(h.jobs), compareKeys) {
		j := h.jobs[key]
		if j == nil {
			continue // let go for the one before
		}
		switch {
		case j.told:
		case !h.mayBeKnown(j):
			h.neverReached(j, &e)
		case j.verdict != nil || !allStarted(j):
			h.leaveToWitness(j, &e)
		}
		if !j.told {
			j.acked = true // from now on it counts as known
		}
	}
	h.dropPending()
	return e
}

// Orphan takes the news that the witness is lost. It has the effects of Seal,
// but there is nobody to ask: the runtime tells unknown for what Ask names.
func (h *Home) Orphan() Effects {
	h.orphaned = true
	return h.Seal()
}

// Orphaned reports whether the witness is lost.
func (h *Home) Orphaned() bool { return h.orphaned }

// neverReached tells not run of a job that no append has named: the witness
// cannot know it, and this home will not start it.
func (h *Home) neverReached(j *homeJob, e *Effects) {
	j.verdict = &Answer{Key: j.key, Kind: NotRun, Reason: ReasonWitnessLost}
	j.retract(e)
	h.tell(j, e)
}

func (h *Home) leaveToWitness(j *homeJob, e *Effects) {
	if j.atWitness {
		return
	}
	j.atWitness = true
	j.verdict = nil
	j.retract(e)
	e.Ask = append(e.Ask, j.key)
}

// Learned takes the fate that the witness told for a key named in Ask. An
// answer of unknown is passed on but not kept: a later call may learn more.
func (h *Home) Learned(answer Answer) Effects {
	var e Effects
	j := h.jobs[answer.Key]
	if j == nil || !j.atWitness || j.told {
		return e
	}
	if answer.Kind == Unknown {
		e.Answers = append(e.Answers, answer)
		return e
	}
	j.verdict = &answer
	h.tell(j, &e)
	return e
}

func allStarted(j *homeJob) bool {
	for i := range j.tasks {
		if p := j.tasks[i].phase; p == waiting || p == asked {
			return false
		}
	}
	return true
}
