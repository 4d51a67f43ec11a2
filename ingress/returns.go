package ingress

import (
	"math"
	"sync"
	"time"
)

// returnPlan tells refused customers when to come back. Each second of the near
// future takes as many of them as can be served beside those who come for the
// first time; who was refused first comes back first.
type returnPlan struct {
	mu sync.Mutex
	// rate is how many jobs a second are completed here, by exponential decay.
	rate     float64
	rateAt   time.Time
	told     [planSeconds]int // customers told to come back in each second
	toldFrom int64            // the second of the first entry, since 1970
}

const (
	// planSeconds is how far the plan reaches: customers do not wait longer.
	planSeconds = 30
	// returnShare is the part of what is served that those who come back may take.
	returnShare = 0.25
	// rateTime is how long a completed job counts in the rate, on average.
	rateTime = 3 * time.Second
	// soonest is used where the load is not the reason: another instance, or this
	// one, will serve in about a second, and the field has no smaller unit.
	soonest = time.Second
	// closedReturn is used where nothing may start on any upstream: operators have
	// evacuated every availability zone, which lasts for some seconds at least, and
	// nobody knows how long. Asking more often serves nobody.
	closedReturn = 3 * time.Second
)

// completed counts a job that was served.
func (r *returnPlan) completed(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = r.decayed(now) + 1/rateTime.Seconds()
	r.rateAt = now
}

// decayed returns the rate at a time.
func (r *returnPlan) decayed(now time.Time) float64 {
	if r.rateAt.IsZero() {
		return 0
	}
	return r.rate * math.Exp(-now.Sub(r.rateAt).Seconds()/rateTime.Seconds())
}

// next gives a customer its second: the first that has a place left.
func (r *returnPlan) next(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forward(now.Unix() + 1)
	places := max(1, int(returnShare*r.decayed(now)))
	for i := range r.told {
		if r.told[i] < places {
			r.told[i]++
			return time.Duration(i+1) * time.Second
		}
	}
	return planSeconds * time.Second
}

// forward drops the seconds that have passed.
func (r *returnPlan) forward(from int64) {
	passed := from - r.toldFrom
	r.toldFrom = from
	if passed <= 0 {
		return
	}
	if passed >= planSeconds {
		clear(r.told[:])
		return
	}
	copy(r.told[:], r.told[passed:])
	clear(r.told[planSeconds-passed:])
}
