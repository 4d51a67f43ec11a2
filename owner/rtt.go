package owner

import (
	"math"
	"time"
)

const (
	// minOverdueAfter and maxOverdueAfter limit the time after which a start is overdue, which
	// is otherwise estimated from recent response times. An estimate is needed because a
	// limit that suits a healthy network, where a round trip takes about a millisecond, is
	// too short when the network link or the CPU is saturated.
	//
	// While the response to a lost start is awaited, its task loses time. If on the other
	// hand a start that was only slow is treated as lost, its run is stopped for nothing.
	// After half a second, the lease that the start grants has nearly expired.
	minOverdueAfter = 20 * time.Millisecond
	maxOverdueAfter = 500 * time.Millisecond
	// initialOverdueAfter is the time after which a start is overdue until the first response
	// time has been measured.
	initialOverdueAfter = 60 * time.Millisecond
	// meanShift, deviationShift and deviationFactor are the parameters of TCP's retransmission
	// timer (RFC 6298). A new response time enters the mean with a weight of 1/8 and the
	// deviation with 1/4. The limit is the mean plus 4 deviations.
	meanShift       = 3
	deviationShift  = 2
	deviationFactor = 4
)

// rttEstimator estimates from the response times of earlier calls how long a call may take before
// it is overdue. It is not safe for concurrent use.
type rttEstimator struct {
	mean, deviation time.Duration
	backoff         uint          // calls without a response since the last response, at most maxBackoff
	peak            time.Duration // longest recent response time
	peakAt          time.Time     // when peak was observed
}

const (
	// maxBackoff is how many times the limit derived from the mean may be doubled: once for
	// each call without a response since the last response.
	maxBackoff = 2
	// peakHalfLife is the half-life of the exponential decay of the longest response time. A
	// limit derived from the mean alone would drop too soon: on a slow link, the responses
	// during a burst of calls are late, those between two bursts are fast, and the calls of
	// the next burst would be overdue again.
	peakHalfLife = 2 * time.Second
	// peakMargin is the ratio of the lowest limit to the decayed peak.
	peakMargin = 1.25
)

// observe records the response time of a call that ended now. It must also be called for the
// responses to overdue calls, or the estimate could never rise to their level. A call without a
// response changes no estimate, but doubles the next limits: it may be this instance that is
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

// decayedPeak returns the longest recent response time, decayed since it was observed.
func (r *rttEstimator) decayedPeak(now time.Time) time.Duration {
	halfLives := now.Sub(r.peakAt).Seconds() / peakHalfLife.Seconds()
	return time.Duration(float64(r.peak) * math.Exp2(-halfLives))
}

// overdueAfter returns how long a call may take before it is overdue.
func (r *rttEstimator) overdueAfter(now time.Time) time.Duration {
	if r.mean == 0 {
		return initialOverdueAfter
	}
	fromPeak := time.Duration(peakMargin * float64(r.decayedPeak(now)))
	fromMean := (r.mean + deviationFactor*r.deviation) << r.backoff
	return min(max(fromMean, fromPeak, minOverdueAfter), maxOverdueAfter)
}
