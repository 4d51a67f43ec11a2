package placement

import "slices"

// What is added to the score of an upstream, a share of slots in use.
const (
	sparing  = 100  // it has accelerators, and the task needs none
	awayCost = 0.13 // it is in another zone than the home: about one slot of 8
)

// choose returns the upstream with the lowest score for a task of t, or nil.
func (b *Broker) choose(t *ticket, now int64) *place {
	var best *place
	var lowest float64
	for _, p := range b.sorted {
		if !b.usable(p, t, now) || !p.taken.plus(t.Needs).FitsIn(p.Capacity) {
			continue
		}
		if score := b.score(p, &t.Request); best == nil || score < lowest {
			best, lowest = p, score
		}
	}
	return best
}

func (b *Broker) score(p *place, r *Request) float64 {
	score := float64(p.used+1) / float64(p.Slots)
	if r.Needs.Accelerators == 0 && p.Capacity.Accelerators > 0 {
		score += sparing
	}
	if p.Zone != r.Zone {
		score += awayCost
	}
	return score
}

// usable reports whether p may get a task of t now.
func (b *Broker) usable(p *place, t *ticket, now int64) bool {
	switch {
	case !p.listed || p.Leaving || p.used >= p.Slots:
		return false
	case slices.Contains(t.AvoidZones, p.Zone):
		return false
	case p.reserved != nil && p.reserved != t:
		return false
	case p.health.ejected:
		return now >= p.health.until && p.used == 0 // a single probe
	case p.health.doubted:
		return p.used == 0
	case p.health.isSlow(&b.cfg.Health):
		return b.worthIt(p, t, now)
	default:
		return true
	}
}

// worthIt reports whether a task should go to a slow upstream: to see whether
// it still is slow, or where waiting would take longer.
func (b *Broker) worthIt(p *place, t *ticket, now int64) bool {
	if p.used == 0 && now-p.health.probed >= slowProbeMs {
		return true
	}
	run, _ := b.services.run(t.Service, t.RunMs)
	wait := float64(b.queued) * run / float64(max(b.slots(), 1))
	return wait > (p.health.slow-1)*run
}
