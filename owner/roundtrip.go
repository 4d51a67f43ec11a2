package owner

import "time"

const (
	// minTimeout and maxTimeout bound when a start counts as unanswered. A
	// round trip takes about a millisecond; each one of waiting is one that
	// the task loses, and a start that was only slow is stopped for nothing.
	minTimeout = 20 * time.Millisecond
	maxTimeout = 150 * time.Millisecond
	// firstTimeout is used before a round trip has been measured.
	firstTimeout = 60 * time.Millisecond
	// meanShift, deviationShift and deviations are those of the retransmission
	// timer of TCP (RFC 6298).
	meanShift      = 3
	deviationShift = 2
	deviations     = 4
)

// roundTrip estimates how long calls take. It is not safe for concurrent use.
type roundTrip struct {
	mean, deviation time.Duration
	backoff         uint
}

// maxBackoff bounds how often the timeout doubles.
const maxBackoff = 2

// learn takes the time of a call. Unanswered ones only make the next timeouts
// longer: it may be this instance that is slow.
func (r *roundTrip) learn(took time.Duration, answered bool) {
	if !answered {
		r.backoff = min(r.backoff+1, maxBackoff)
		return
	}
	r.backoff = 0
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	r.deviation += ((took - r.mean).Abs() - r.deviation) >> deviationShift
	r.mean += (took - r.mean) >> meanShift
}

// timeout returns when a call counts as unanswered.
func (r *roundTrip) timeout() time.Duration {
	if r.mean == 0 {
		return firstTimeout
	}
	return min(max((r.mean+deviations*r.deviation)<<r.backoff, minTimeout), maxTimeout)
}
