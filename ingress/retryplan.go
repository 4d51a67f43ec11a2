package ingress

import (
	"math"
	"sync"
	"time"
)

// retryPlan decides when rejected customers should send their jobs again. It assigns a limited
// number of retries to each of the next seconds, the earliest second first: as many as can
// probably be served in addition to new jobs, a share of the jobs completed per second lately.
type retryPlan struct {
	mu               sync.Mutex
	completionRate   float64 // exponentially decaying average of the jobs completed per second, at rateUpdated
	rateUpdated      time.Time
	retriesPerSecond [planSeconds]int // retries assigned so far to each second from firstSecond on
	firstSecond      int64            // first planned second, as Unix time
}

const (
	// planSeconds is how many seconds ahead retries are planned. If all of them are full, the
	// customer is told to retry after planSeconds, regardless of the plan.
	planSeconds = 30
	// retryShare is the number of retries assigned to a second, as a share of the jobs that
	// are completed per second. The rest of the capacity is left to new jobs.
	retryShare = 0.25
	// rateTimeConstant is the time within which the weight of a completed job in the
	// completion rate decays to 1/e.
	rateTimeConstant = 3 * time.Second
	// minRetryAfter is used for rejections that are not caused by load, for example because
	// no owner could be reached: about a second later, this or another instance can serve the
	// job. The Retry-After header cannot express a shorter time, as it counts in seconds.
	minRetryAfter = time.Second
	// closedRetryAfter is used if no task may start on any upstream, because operators have
	// evacuated every availability zone. Nobody knows when an evacuation ends, but it lasts
	// several seconds at least, so earlier retries would only be rejected again.
	closedRetryAfter = 3 * time.Second
)

// recordCompletion adds a completed job to the completion rate.
func (r *retryPlan) recordCompletion(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.completionRate = r.decayedRate(now) + 1/rateTimeConstant.Seconds()
	r.rateUpdated = now
}

// decayedRate returns the completion rate, decayed from rateUpdated to the given time.
func (r *retryPlan) decayedRate(now time.Time) float64 {
	if r.rateUpdated.IsZero() {
		return 0
	}
	return r.completionRate * math.Exp(-now.Sub(r.rateUpdated).Seconds()/rateTimeConstant.Seconds())
}

// nextRetryAfter assigns one more retry to the earliest second that is not full, and returns
// the time from now to that second.
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

// advance makes the given Unix time the first second of the plan. The retries assigned to
// earlier seconds are dropped.
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
