package placement

import "slices"

// Penalties added to the score of an upstream, which is the share of its slots that would be
// in use with one more task. The upstream with the lowest score gets the task.
const (
	// acceleratorPenalty is for upstreams with accelerators if the task needs none, so
	// that the accelerators stay available for tasks that need them.
	acceleratorPenalty = 100
	// otherZonePenalty is for upstreams outside the zone of the home. It is about as
	// much as one used slot of an upstream with 8 slots.
	otherZonePenalty = 0.13
)

// chooseUpstream returns the upstream with the lowest score for a task of q, or nil if none
// can run it now.
func (b *Broker) chooseUpstream(q *queuedRequest, now int64) *upstreamState {
	var best *upstreamState
	var lowest float64
	for _, u := range b.sortedUpstreams {
		if !b.usable(u, q, now) || !u.usedResources.plus(q.Needs).FitsIn(u.Capacity) {
			continue
		}
		if score := b.score(u, &q.Request); best == nil || score < lowest {
			best, lowest = u, score
		}
	}
	return best
}

func (b *Broker) score(u *upstreamState, r *Request) float64 {
	score := float64(u.usedSlots+1) / float64(u.Slots)
	if r.Needs.Accelerators == 0 && u.Capacity.Accelerators > 0 {
		score += acceleratorPenalty
	}
	if u.Zone != r.Zone {
		score += otherZonePenalty
	}
	return score
}

// usable reports whether u may get a task of q now. It does not check whether the resources
// that the task needs are free.
func (b *Broker) usable(u *upstreamState, q *queuedRequest, now int64) bool {
	switch {
	case !u.listed || u.Leaving || u.usedSlots >= u.Slots:
		return false
	case slices.Contains(q.AvoidZones, u.Zone):
		return false
	case u.reservedFor != nil && u.reservedFor != q:
		return false
	case u.health.ejected:
		return now >= u.health.probeAfterMs && u.usedSlots == 0 // only a single task, as a probe
	case u.health.suspected:
		return u.usedSlots == 0
	case u.health.isSlow(&b.cfg.Health):
		return b.worthUsingSlow(u, q, now)
	default:
		return true
	}
}

// worthUsingSlow reports whether a task of q should go to the slow upstream u, either to
// find out whether u is still slow, or because the wait for another upstream would cost more
// time than the slowness of u.
func (b *Broker) worthUsingSlow(u *upstreamState, q *queuedRequest, now int64) bool {
	if u.usedSlots == 0 && now-u.health.lastProbeMs >= slowProbeIntervalMs {
		return true
	}
	runMs, _ := b.estimates.runTime(q.Service, q.RunMs)
	waitMs := float64(b.queuedTasks) * runMs / float64(max(b.usableSlots(), 1))
	return waitMs > (u.health.slowdown-1)*runMs
}
