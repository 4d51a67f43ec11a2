package ingress

import (
	"sync"
	"time"
)

// What a customer's machine sends to a suspended machine is lost. It retransmits the close of a
// connection at increasing intervals, and a reset never. Until then the operating system of the
// resumed machine considers the connection open, although the customer may have sent the job to
// another instance. Therefore nothing is offered, and no lease renewed, for a customer that
// connected before the last suspension.

const (
	// minSuspension is the shortest suspension that counts. A smaller difference between two
	// results of Clock.Suspended may be an inaccuracy of the measurement.
	minSuspension = time.Millisecond
	// resultGrace is how long after a resume the open jobs are kept, so that the results that
	// owners have sent meanwhile can arrive. No lease is renewed during this time. It is short
	// against the 0.5 s for which owners start tasks without a renewal.
	resultGrace = 200 * time.Millisecond
)

// suspendedSince reports whether the machine has been suspended since the time when
// Clock.Suspended returned before, if it returns total now.
func suspendedSince(before, total time.Duration) bool { return total-before >= minSuspension }

// resumeTracker notices when the machine has been resumed. It is safe for concurrent use.
type resumeTracker struct {
	mu        sync.Mutex
	total     time.Duration // result of Clock.Suspended when the last resume was noticed
	noticedAt time.Time     // zero before the first resume
}

// isRecent reports whether the last resume was noticed less than resultGrace ago, given the
// results of Clock.Now and Clock.Suspended.
func (r *resumeTracker) isRecent(now time.Time, total time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if suspendedSince(r.total, total) {
		r.total, r.noticedAt = total, now
	}
	return !r.noticedAt.IsZero() && now.Sub(r.noticedAt) < resultGrace
}
