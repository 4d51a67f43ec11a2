package schedule

import (
	"math"
	"time"
)

// speed is what is believed of how long tasks take on one upstream, against what
// was expected of them, as a logarithm: 0 is as expected. It fades with time,
// since an upstream gets few tasks to show otherwise once it is believed slow.
type speed struct {
	log float64
	at  time.Time
}

const (
	// speedWeight is the weight of one run in the speed of its upstream, and
	// meanSpeedWeight that in the mean of all upstreams of a pool: times differ
	// from what is expected by some 30%, and two or three runs must tell.
	speedWeight     = 0.5
	meanSpeedWeight = 0.02
	// speedHalfLife is when a speed counts half.
	speedHalfLife = 1500 * time.Millisecond
	// slowSpeed is how many times longer than on its peers tasks must take on
	// an upstream for it to count as slow.
	slowSpeed = 1.6
)

// now returns the logarithm at a time.
func (s *speed) now(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}
	return s.log * math.Exp2(-now.Sub(s.at).Seconds()/speedHalfLife.Seconds())
}

// began is when a run began, as far as that is known: the answer to its start may
// be late, or lost.
func (r *run) began() time.Time {
	if r.startAckedAt.IsZero() {
		return r.orderedAt
	}
	return r.startAckedAt
}

// learnSpeed takes how long a run takes.
func (p *Pool) learnSpeed(r *run, takes time.Duration) {
	u := r.upstream
	value := math.Log(max(takes, time.Millisecond).Seconds() / max(r.expectedDuration, time.Millisecond).Seconds())
	p.meanSpeed += meanSpeedWeight * (value - p.meanSpeed)
	before := u.speed.now(p.now)
	u.speed.log = before + speedWeight*(value-p.meanSpeed-before)
	u.speed.at = p.now
}

// slowness is how many times longer tasks take on an upstream than on its peers;
// 1 where it does not count as slow.
func (p *Pool) slowness(u *upstream) float64 {
	if !p.cfg.Policy.LearnSpeed {
		return 1
	}
	if slowness := math.Exp(u.speed.now(p.now)); slowness >= slowSpeed {
		return slowness
	}
	return 1
}
