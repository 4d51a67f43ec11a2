package owner

import (
	"math"
	"time"
)

const (
	// minTimeout and maxTimeout bound when a start counts as unanswered. A
	// round trip takes about a millisecond; each one of waiting is one that
	// the task loses, and a start that was only slow is stopped for nothing.
	// Behind a link or a processor that is full, answers take longer than any
	// constant that suits a sound network; after half a second the lease that an
	// order grants is nearly over.
	minTimeout = 20 * time.Millisecond
	maxTimeout = 500 * time.Millisecond
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
	// peak is the longest time of late, and peakAt when that was.
	peak   time.Duration
	peakAt time.Time
}

const (
	// maxBackoff bounds how often the timeout doubles.
	maxBackoff = 2
	// peakHalfLife is how long a peak takes to count half. Behind a narrow link
	// the answers of one burst come late together, and the next ones at once.
	peakHalfLife = 2 * time.Second
	// peakMargin is how much longer than the peak a call may take.
	peakMargin = 1.25
)

// learn takes the time of a call that ended now, also of one that came after its
// timeout: else the estimate could never rise to it. Unanswered ones only make the
// next timeouts longer: it may be this instance that is slow.
func (r *roundTrip) learn(now time.Time, took time.Duration, answered bool) {
	if !answered {
		r.backoff = min(r.backoff+1, maxBackoff)
		return
	}
	r.backoff = 0
	took = max(took, 0)
	if took >= r.peakNow(now) {
		r.peak, r.peakAt = took, now
	}
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	r.deviation += ((took - r.mean).Abs() - r.deviation) >> deviationShift
	r.mean += (took - r.mean) >> meanShift
}

// peakNow is the peak as it counts now.
func (r *roundTrip) peakNow(now time.Time) time.Duration {
	lives := now.Sub(r.peakAt).Seconds() / peakHalfLife.Seconds()
	return time.Duration(float64(r.peak) * math.Exp2(-lives))
}

// timeout returns when a call counts as unanswered.
func (r *roundTrip) timeout(now time.Time) time.Duration {
	if r.mean == 0 {
		return firstTimeout
	}
	longest := time.Duration(peakMargin * float64(r.peakNow(now)))
	usual := (r.mean + deviations*r.deviation) << r.backoff
	return min(max(usual, longest, minTimeout), maxTimeout)
}
