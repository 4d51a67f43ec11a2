package placement

import (
	"cmp"
	"slices"
)

// agingMs is how long a ticket waits before it goes ahead of all that are not
// as old, and before an upstream is kept free for it if it fits nowhere.
const agingMs = 2000

// round is one pass over what waits.
type round struct {
	b        *Broker
	order    []*ticket // of the queue
	services map[string][]*ticket
	grants   map[*ticket]*Grant
}

func (b *Broker) newRound(now int64) *round {
	r := &round{b: b, order: slices.Clone(b.queue), services: map[string][]*ticket{}, grants: map[*ticket]*Grant{}}
	b.arrange(r.order, now)
	for _, t := range r.order {
		r.services[t.Service] = append(r.services[t.Service], t)
	}
	b.reserve(now)
	return r
}

// arrange puts tickets into the order of the configuration.
func (b *Broker) arrange(tickets []*ticket, now int64) {
	if b.cfg.Order != OrderLeastRemaining {
		return
	}
	slices.SortStableFunc(tickets, func(x, y *ticket) int {
		oldX, oldY := x.aged(now), y.aged(now)
		switch {
		case oldX && oldY:
			return cmp.Compare(x.arrived, y.arrived)
		case oldX:
			return -1
		case oldY:
			return 1
		default:
			return cmp.Compare(x.Count, y.Count)
		}
	})
}

func (t *ticket) aged(now int64) bool { return now-t.arrived > agingMs }

// reserve keeps one upstream free for the oldest ticket that has waited too
// long and fits nowhere now: small tasks would fill every gap before it.
func (b *Broker) reserve(now int64) {
	for _, p := range b.sorted {
		p.reserved = nil
	}
	for _, t := range b.queue {
		if !t.aged(now) || b.useOf(t.Service).atBound() {
			continue
		}
		if b.choose(t, now) == nil {
			b.reserveFor(t)
		}
		return
	}
}

// reserveFor keeps the emptiest upstream that is large enough for t.
func (b *Broker) reserveFor(t *ticket) {
	var best *place
	for _, p := range b.sorted {
		if p.Leaving || p.health.ejected || slices.Contains(t.AvoidZones, p.Zone) || !t.Needs.FitsIn(p.Capacity) {
			continue
		}
		if best == nil || p.used < best.used {
			best = p
		}
	}
	if best != nil {
		best.reserved = t
	}
}

// next returns the first ticket of the service that has least of its share, or
// nil when nothing more can be given.
func (r *round) next() *ticket {
	var first *ticket
	var least float64
	before := func(t *ticket, standing float64) bool {
		return cmp.Or(cmp.Compare(standing, least), cmp.Compare(t.arrived, first.arrived), cmp.Compare(t.Service, first.Service)) < 0
	}
	for service, tickets := range r.services {
		u := r.b.useOf(service)
		if len(tickets) == 0 || u.atBound() {
			continue
		}
		if first == nil || before(tickets[0], u.standing()) {
			first, least = tickets[0], u.standing()
		}
	}
	return first
}

// skip leaves a ticket that fits nowhere for the next round.
func (r *round) skip(t *ticket) { r.services[t.Service] = r.services[t.Service][1:] }

func (r *round) gave(t *ticket, upstream string) {
	g := r.grants[t]
	if g == nil {
		g = &Grant{Home: t.Home, Ticket: t.Ticket, Service: t.Service}
		r.grants[t] = g
	}
	g.add(upstream)
	if t.Count == 0 {
		r.skip(t)
	}
}
