package fate

import (
	"slices"
)

// maxAwaitedAppends is the maximum number of appends in flight that request an
// acknowledgement. At the limit, new records wait until one of these appends is
// acknowledged, and are then sent in one append.
const maxAwaitedAppends = 4

// unackedThreshold is the number of unacknowledged appends from which on every
// append requests an acknowledgement. The home keeps appends in memory until they
// are acknowledged.
const unackedThreshold = 64

// unackedAppend is an append that the witness has not acknowledged.
type unackedAppend struct {
	Append
	// sendCount counts the attempts to send the append, except those in which no
	// byte was sent. Zero proves that the witness does not know its records.
	sendCount int
}

// pendingRecord returns the record of j for the next append, and creates it if
// there is none.
func (h *Home) pendingRecord(j *homeJob) *Record {
	r := h.pending[j.key]
	if r != nil {
		return r
	}
	r = &Record{Key: j.key}
	if !j.appended {
		r.Job = j.job
	}
	h.pending[j.key] = r
	h.pendingOrder = append(h.pendingOrder, j.key)
	return r
}

// NextAppend returns the next append to send to the witness, or nil if none is due.
// Without force, an append is due only if it has a permit or a verdict; with force,
// also if it has only results. The append counts as sent unless MarkUnsent is
// called. It has its own list of records, so that it can be sent while the home
// changes; the home keeps a copy to send again.
func (h *Home) NextAppend(force bool) *Append {
	if len(h.pendingOrder) == 0 || h.sealed || (!h.urgent && !force) || h.awaitedAppends() >= maxAwaitedAppends {
		return nil
	}
	h.sequence++
	a := &unackedAppend{sendCount: 1, Append: Append{Log: h.id, Sequence: h.sequence, WantAck: h.urgent || len(h.unacked) >= unackedThreshold}}
	for _, key := range h.pendingOrder {
		r := h.pending[key]
		if r == nil {
			continue
		}
		if j := h.jobs[key]; j != nil {
			j.appended = true
		}
		a.Records = append(a.Records, *r)
	}
	clear(h.pending)
	h.pendingOrder = h.pendingOrder[:0]
	h.urgent = false
	h.unacked = append(h.unacked, a)
	next := a.Append
	next.Records = slices.Clone(a.Records)
	return &next
}

// MarkUnsent records that no byte of an append was sent in the last attempt.
func (h *Home) MarkUnsent(sequence uint64) {
	for _, a := range h.unacked {
		if a.Sequence == sequence {
			a.sendCount--
		}
	}
}

// witnessMayKnow reports whether the witness may have received a record of j.
func (h *Home) witnessMayKnow(j *homeJob) bool {
	if j.acked {
		return true
	}
	return slices.ContainsFunc(h.unacked, func(a *unackedAppend) bool { return a.sendCount > 0 && a.hasRecordOf(j.key) })
}

func (a *unackedAppend) hasRecordOf(key Key) bool {
	return slices.ContainsFunc(a.Records, func(r Record) bool { return r.Key == key })
}

// discardRecords removes the records of j from the next append and from those that
// may be sent again. It is called when the fate of j is committed without the
// witness, which has received no record of j and must not receive one later.
func (h *Home) discardRecords(j *homeJob) {
	delete(h.pending, j.key)
	for _, a := range h.unacked {
		a.Records = slices.DeleteFunc(a.Records, func(r Record) bool { return r.Key == j.key })
	}
}

func (h *Home) awaitedAppends() int {
	n := 0
	for _, a := range h.unacked {
		if a.WantAck {
			n++
		}
	}
	return n
}

// UnackedForResend returns the unacknowledged appends from a sequence number on, to
// be sent again in order. They count as sent unless MarkUnsent is called.
func (h *Home) UnackedForResend(from uint64) []Append {
	var list []Append
	for _, a := range h.unacked {
		if a.Sequence >= from {
			a.sendCount++
			list = append(list, a.Append)
		}
	}
	return list
}

// Ack applies the witness's acknowledgement of every append up to sequence.
func (h *Home) Ack(sequence uint64) Effects {
	var e Effects
	for len(h.unacked) > 0 && h.unacked[0].Sequence <= sequence {
		a := h.unacked[0]
		h.unacked = h.unacked[1:]
		for i := range a.Records {
			e.add(h.applyAck(&a.Records[i]))
		}
	}
	return e
}

func (h *Home) applyAck(r *Record) Effects {
	var e Effects
	j := h.jobs[r.Key]
	if j == nil {
		return e
	}
	j.acked = true
	if j.committed || j.witnessDecides || h.sealed {
		return e
	}
	if r.Verdict != nil {
		h.commit(j, &e)
		return e
	}
	if j.verdict != nil {
		return e // the fate was decided while the permits were in flight: the tasks must not start
	}
	for _, p := range r.Permits {
		t := &j.tasks[p.Task]
		if t.phase == permitPending && t.attempt == p.Attempt {
			t.phase = started
			e.Starts = append(e.Starts, Start{Lease{r.Key, p.Task, p.Attempt}, p.Upstream})
		}
	}
	return e
}

func (h *Home) discardAppends() {
	clear(h.pending)
	h.pendingOrder = nil
	h.unacked = nil
	h.urgent = false
}
