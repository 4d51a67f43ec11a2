package fate

import (
	"slices"
)

// appendWindow is how many appends may be on their way without an
// acknowledgement before further permits wait for the next one.
const appendWindow = 4

// quietAppends is how many appends may go unacknowledged before the home asks
// for an acknowledgement only to free its memory.
const quietAppends = 64

// outgoing is an append that is not acknowledged.
type outgoing struct {
	Append
	// sends counts the times that it may have left. Zero proves that the witness
	// cannot know what it says.
	sends int
}

// record returns the pending record of j, and makes it where there is none.
func (h *Home) record(j *homeJob) *Record {
	r := h.pending[j.key]
	if r != nil {
		return r
	}
	r = &Record{Key: j.key}
	if !j.named {
		r.Job = j.job
	}
	h.pending[j.key] = r
	h.order = append(h.order, j.key)
	return r
}

// NextAppend returns the next message for the witness, or nil. Without lazy it
// holds back while nothing waits for an acknowledgement. It counts as sent
// unless Unsent says otherwise. It is the caller's, who sends it while the home goes
// on; the home has its own to send again.
func (h *Home) NextAppend(lazy bool) *Append {
	if len(h.order) == 0 || h.sealed || (!h.urgent && !lazy) || h.awaited() >= appendWindow {
		return nil
	}
	h.sequence++
	a := &outgoing{sends: 1, Append: Append{Log: h.id, Sequence: h.sequence, WantAck: h.urgent || len(h.unacked) >= quietAppends}}
	for _, key := range h.order {
		r := h.pending[key]
		if r == nil {
			continue
		}
		if j := h.jobs[key]; j != nil {
			j.named = true
		}
		a.Records = append(a.Records, *r)
	}
	clear(h.pending)
	h.order = h.order[:0]
	h.urgent = false
	h.unacked = append(h.unacked, a)
	next := a.Append
	next.Records = slices.Clone(a.Records)
	return &next
}

// Unsent takes the proof that no byte of an append left the last time.
func (h *Home) Unsent(sequence uint64) {
	for _, a := range h.unacked {
		if a.Sequence == sequence {
			a.sends--
		}
	}
}

// mayBeKnown reports whether the witness may know of j.
func (h *Home) mayBeKnown(j *homeJob) bool {
	if j.acked {
		return true
	}
	return slices.ContainsFunc(h.unacked, func(a *outgoing) bool { return a.sends > 0 && a.holds(j.key) })
}

func (a *outgoing) holds(key Key) bool {
	return slices.ContainsFunc(a.Records, func(r Record) bool { return r.Key == key })
}

// withhold takes j out of all that was not sent: its fate is told without the
// witness, which must not learn of it later.
func (h *Home) withhold(j *homeJob) {
	delete(h.pending, j.key)
	for _, a := range h.unacked {
		a.Records = slices.DeleteFunc(a.Records, func(r Record) bool { return r.Key == j.key })
	}
}

func (h *Home) awaited() int {
	n := 0
	for _, a := range h.unacked {
		if a.WantAck {
			n++
		}
	}
	return n
}

// Unacked returns the appends from sequence on, to send again in order after
// the connection to the witness was lost. They count as sent, as in NextAppend.
func (h *Home) Unacked(from uint64) []Append {
	var list []Append
	for _, a := range h.unacked {
		if a.Sequence >= from {
			a.sends++
			list = append(list, a.Append)
		}
	}
	return list
}

// Ack takes the witness's acknowledgement of every append up to sequence.
func (h *Home) Ack(sequence uint64) Effects {
	var e Effects
	for len(h.unacked) > 0 && h.unacked[0].Sequence <= sequence {
		a := h.unacked[0]
		h.unacked = h.unacked[1:]
		for i := range a.Records {
			e.add(h.acked(&a.Records[i]))
		}
	}
	return e
}

func (h *Home) acked(r *Record) Effects {
	var e Effects
	j := h.jobs[r.Key]
	if j == nil {
		return e
	}
	j.acked = true
	if j.told || j.atWitness || h.sealed {
		return e
	}
	if r.Verdict != nil {
		h.tell(j, &e)
		return e
	}
	if j.verdict != nil {
		return e // decided without these tasks
	}
	for _, p := range r.Permits {
		t := &j.tasks[p.Task]
		if t.phase == asked && t.attempt == p.Attempt {
			t.phase = started
			e.Starts = append(e.Starts, Start{Lease{r.Key, p.Task, p.Attempt}, p.Upstream})
		}
	}
	return e
}

func (h *Home) dropPending() {
	clear(h.pending)
	h.order = nil
	h.unacked = nil
	h.urgent = false
}
