package schedule

import (
	"math"
	"time"
)

// slowdown estimates how many times longer tasks take on one upstream than its lasting speed
// lets expect (see lastingSpeed), relative to the other upstreams of its pool. The estimate decays
// with time, because a slow upstream gets few tasks that could show that it has recovered.
type slowdown struct {
	log       float64 // logarithm of the factor at updatedAt; 0 means as fast as the other upstreams
	updatedAt time.Time
}

const (
	// slowdownWeight is the weight of one run in the slowdown of its upstream. It is high,
	// because two or three runs must suffice to show that an upstream is slow, although
	// durations differ from the expected ones by about 30%. meanSlowdownWeight is the weight
	// of one run in the mean over all upstreams of the pool.
	slowdownWeight     = 0.5
	meanSlowdownWeight = 0.02
	// slowdownHalfLife is the time in which the logarithm of a slowdown decays to one half.
	slowdownHalfLife = 1500 * time.Millisecond
	// minSlowdownFactor is how many times longer than expected there tasks must take on an
	// upstream for it to count as slow.
	minSlowdownFactor = 1.6
)

// minSlowdownLog is slightly below the logarithm of minSlowdownFactor.
const minSlowdownLog = 0.47

// logAt returns the logarithm of the slowdown, decayed from updatedAt to the time at.
func (s *slowdown) logAt(at time.Time) float64 {
	if s.updatedAt.IsZero() {
		return 0
	}
	return s.log * math.Exp2(-at.Sub(s.updatedAt).Seconds()/slowdownHalfLife.Seconds())
}

// startedAt returns when a run started, as far as the pool knows: when its start was
// acknowledged or, if no acknowledgement has come, when it was ordered.
func (r *run) startedAt() time.Time {
	if r.startAckedAt.IsZero() {
		return r.orderedAt
	}
	return r.startAckedAt
}

// learnSlowdown updates the slowdown of a run's upstream from the duration of the run,
// measured from startedAt.
func (p *Pool) learnSlowdown(r *run, duration time.Duration) {
	u := r.upstream
	value := math.Log(max(duration, time.Millisecond).Seconds() / max(r.expectedDuration, time.Millisecond).Seconds())
	p.meanSlowdown += meanSlowdownWeight * (value - p.meanSlowdown)
	before := u.slowdown.logAt(p.now)
	u.slowdown.log = before + slowdownWeight*(value-p.meanSlowdown-before)
	u.slowdown.updatedAt = p.now
}

// slowdownFactor returns how many times longer tasks take on an upstream at the moment than its
// lasting speed lets expect. It returns 1 for an upstream that does not count as slow.
func (p *Pool) slowdownFactor(u *upstream) float64 {
	if !p.cfg.Policy.LearnSpeed || u.slowdown.log < minSlowdownLog { // the estimate only decays towards 0
		return 1
	}
	if factor := math.Exp(u.slowdown.logAt(p.now)); factor >= minSlowdownFactor {
		return factor
	}
	return 1
}
