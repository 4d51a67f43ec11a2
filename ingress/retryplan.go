package ingress

import (
	"math"
	"sync"
	"time"
)

// retryPlan decides when rejected customers should send their jobs again. It assigns to each
// of the next seconds only as many retries as can be served in addition to new jobs, in the
// order in which the customers were rejected.
type retryPlan struct {
	mu               sync.Mutex
	completionRate   float64 // jobs completed per second as of rateUpdated, an exponentially decaying average
	rateUpdated      time.Time
	retriesPerSecond [planSeconds]int // retries assigned to each second, from firstSecond on
	firstSecond      int64            // Unix time in seconds
}

const (
	// planSeconds is how many seconds ahead retries are planned. Customers do not wait longer.
	planSeconds = 30
	// retryShare is the share of the completion rate that is assigned to retries.
	retryShare = 0.25
	// rateTimeConstant is the time constant of the exponential decay of the completion rate.
	rateTimeConstant = 3 * time.Second
	// minRetryAfter is used for rejections that are not caused by load: this or another
	// instance will serve the job in about a second. It is also the smallest unit of the
	// Retry-After header.
	minRetryAfter = time.Second
	// closedRetryAfter is used if no task may start on any upstream, because operators have
	// evacuated every availability zone. An evacuation lasts some seconds at least and its
	// end is not known, so earlier retries would only be rejected again.
	closedRetryAfter = 3 * time.Second
)

// recordCompletion adds a completed job to the completion rate.
func (r *retryPlan) recordCompletion(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completionRate = r.decayedRate(now) + 1/rateTimeConstant.Seconds()
	r.rateUpdated = now
}

// decayedRate returns the completion rate at the given time.
func (r *retryPlan) decayedRate(now time.Time) float64 {
	if r.rateUpdated.IsZero() {
		return 0
	}
	return r.completionRate * math.Exp(-now.Sub(r.rateUpdated).Seconds()/rateTimeConstant.Seconds())
}

// nextRetryAfter assigns a retry to the earliest second that has a slot left, and returns the
// time until then.
func (r *retryPlan) nextRetryAfter(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.advance(now.Unix() + 1)
	slots := max(1, int(retryShare*r.decayedRate(now)))
	for i := range r.retriesPerSecond {
		if r.retriesPerSecond[i] < slots {
			r.retriesPerSecond[i]++
			return time.Duration(i+1) * time.Second
		}
	}
	return planSeconds * time.Second
}

// advance moves the start of the plan to the given Unix time and drops the seconds before it.
func (r *retryPlan) advance(from int64) {
	passed := from - r.firstSecond
	r.firstSecond = from
	if passed <= 0 {
		return
	}
	if passed >= planSeconds {
		clear(r.retriesPerSecond[:])
		return
	}
	copy(r.retriesPerSecond[:], r.retriesPerSecond[passed:])
	clear(r.retriesPerSecond[planSeconds-passed:])
}
