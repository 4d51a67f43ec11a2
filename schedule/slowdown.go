package schedule

import (
	"math"
	"time"
)

// slowdown estimates how many times longer than expected tasks take on one upstream,
// relative to its peers. It decays with time, because a slow upstream gets few tasks that
// could show that it has recovered.
type slowdown struct {
	log       float64 // logarithm of the factor at updatedAt; 0 is as fast as the peers
	updatedAt time.Time
}

const (
	// slowdownWeight is the weight of one run in the slowdown of its upstream, and
	// meanSlowdownWeight its weight in the mean of all upstreams of a pool. Durations
	// differ from the expected ones by about 30%, and two or three runs must suffice to
	// show that an upstream is slow.
	slowdownWeight     = 0.5
	meanSlowdownWeight = 0.02
	// slowdownHalfLife is the time in which the logarithm of a slowdown decays to half.
	slowdownHalfLife = 1500 * time.Millisecond
	// minSlowdownFactor is how many times longer than on its peers tasks must take on
	// an upstream for it to count as slow.
	minSlowdownFactor = 1.6
)

// logAt returns the logarithm of the slowdown at a time, after decay.
func (s *slowdown) logAt(at time.Time) float64 {
	if s.updatedAt.IsZero() {
		return 0
	}
	return s.log * math.Exp2(-at.Sub(s.updatedAt).Seconds()/slowdownHalfLife.Seconds())
}

// startedAt returns when a run started as far as that is known: when its start was
// acknowledged, or else when it was ordered, since the answer may be late or lost.
func (r *run) startedAt() time.Time {
	if r.startAckedAt.IsZero() {
		return r.orderedAt
	}
	return r.startAckedAt
}

// learnSlowdown updates the slowdown of an upstream from the duration of a run, measured
// from startedAt.
func (p *Pool) learnSlowdown(r *run, duration time.Duration) {
	u := r.upstream
	value := math.Log(max(duration, time.Millisecond).Seconds() / max(r.expectedDuration, time.Millisecond).Seconds())
	p.meanSlowdown += meanSlowdownWeight * (value - p.meanSlowdown)
	before := u.slowdown.logAt(p.now)
	u.slowdown.log = before + slowdownWeight*(value-p.meanSlowdown-before)
	u.slowdown.updatedAt = p.now
}

// slowdownFactor returns how many times longer tasks take on an upstream than on its peers.
// It returns 1 for an upstream that does not count as slow.
func (p *Pool) slowdownFactor(u *upstream) float64 {
	if !p.cfg.Policy.LearnSpeed {
		return 1
	}
	if factor := math.Exp(u.slowdown.logAt(p.now)); factor >= minSlowdownFactor {
		return factor
	}
	return 1
}
