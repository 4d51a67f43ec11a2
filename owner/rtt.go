package owner

import (
	"math"
	"time"
)

const (
	// minTimeout and maxTimeout bound the time after which a start is overdue. A round trip
	// takes about a millisecond. While a start is outstanding its task loses time, but if
	// the start was only slow, the run is stopped for nothing. On a saturated link or CPU
	// responses take longer than any constant that suits a healthy network. After half a
	// second the lease that the start grants has nearly expired.
	minTimeout = 20 * time.Millisecond
	maxTimeout = 500 * time.Millisecond
	// initialTimeout is used until the first response has been measured.
	initialTimeout = 60 * time.Millisecond
	// meanShift, deviationShift and deviationFactor are those of TCP's retransmission timer
	// (RFC 6298): gains of 1/8 and 1/4, and a timeout of the mean plus 4 deviations.
	meanShift       = 3
	deviationShift  = 2
	deviationFactor = 4
)

// rttEstimator estimates from the response times of earlier calls how long a call may take.
// It is not safe for concurrent use.
type rttEstimator struct {
	mean, deviation time.Duration
	backoff         uint          // consecutive calls without a response, at most maxBackoff
	peak            time.Duration // longest recent response time
	peakAt          time.Time     // when peak was observed
}

const (
	// maxBackoff is how many times the timeout derived from the mean may be doubled.
	maxBackoff = 2
	// peakHalfLife is the half-life of the peak's exponential decay. On a slow link all
	// responses to one burst are late and the responses after it are fast again, so the
	// mean alone forgets the delay too soon.
	peakHalfLife = 2 * time.Second
	// peakMargin is the ratio of the timeout to the decayed peak.
	peakMargin = 1.25
)

// observe records the response time of a call that ended now. Responses that come after the
// timeout must be recorded too, or the estimate could never rise to their level. A call
// without a response only lengthens the next timeouts, because this instance itself may be
// slow.
func (r *rttEstimator) observe(now time.Time, took time.Duration, responded bool) {
	if !responded {
		r.backoff = min(r.backoff+1, maxBackoff)
		return
	}
	r.backoff = 0
	took = max(took, 0)
	if took >= r.decayedPeak(now) {
		r.peak, r.peakAt = took, now
	}
	if r.mean == 0 {
		r.mean, r.deviation = took, took/2
		return
	}
	r.deviation += ((took - r.mean).Abs() - r.deviation) >> deviationShift
	r.mean += (took - r.mean) >> meanShift
}

// decayedPeak returns the peak, decayed to the given time.
func (r *rttEstimator) decayedPeak(now time.Time) time.Duration {
	halfLives := now.Sub(r.peakAt).Seconds() / peakHalfLife.Seconds()
	return time.Duration(float64(r.peak) * math.Exp2(-halfLives))
}

// timeout returns the time after which a call is overdue.
func (r *rttEstimator) timeout(now time.Time) time.Duration {
	if r.mean == 0 {
		return initialTimeout
	}
	fromPeak := time.Duration(peakMargin * float64(r.decayedPeak(now)))
	fromMean := (r.mean + deviationFactor*r.deviation) << r.backoff
	return min(max(fromMean, fromPeak, minTimeout), maxTimeout)
}
