package placement

import (
	"cmp"
	"slices"
)

// agingAfterMs is how long a request waits before it counts as aged. An aged request
// precedes all newer ones in OrderLeastRemaining. If no upstream can run its tasks, one is
// reserved for it.
const agingAfterMs = 2000

// grantRound is one pass over the queue that grants slots.
type grantRound struct {
	b         *Broker
	ordered   []*queuedRequest // the queue, in the configured order
	byService map[string][]*queuedRequest
	grants    map[*queuedRequest]*Grant
}

func (b *Broker) newRound(now int64) *grantRound {
	r := &grantRound{b: b, ordered: slices.Clone(b.queue), byService: map[string][]*queuedRequest{}, grants: map[*queuedRequest]*Grant{}}
	b.sortRequests(r.ordered, now)
	for _, q := range r.ordered {
		r.byService[q.Service] = append(r.byService[q.Service], q)
	}
	b.reserve(now)
	return r
}

// sortRequests sorts requests in the configured order.
func (b *Broker) sortRequests(requests []*queuedRequest, now int64) {
	if b.cfg.Order != OrderLeastRemaining {
		return
	}
	slices.SortStableFunc(requests, func(x, y *queuedRequest) int {
		agedX, agedY := x.isAged(now), y.isAged(now)
		switch {
		case agedX && agedY:
			return cmp.Compare(x.arrivedMs, y.arrivedMs)
		case agedX:
			return -1
		case agedY:
			return 1
		default:
			return cmp.Compare(x.Count, y.Count)
		}
	})
}

func (q *queuedRequest) isAged(now int64) bool { return now-q.arrivedMs > agingAfterMs }

// reserve reserves an upstream for the oldest aged request whose service may use more slots,
// if no upstream can run one of its tasks now. Without the reservation, smaller tasks would
// use the resources that become free, and there might never be enough at once for this
// request.
func (b *Broker) reserve(now int64) {
	for _, u := range b.sortedUpstreams {
		u.reservedFor = nil
	}
	for _, q := range b.queue {
		if !q.isAged(now) || b.getOrCreateService(q.Service).atMaxSlots() {
			continue
		}
		if b.chooseUpstream(q, now) == nil {
			b.reserveFor(q)
		}
		return
	}
}

// reserveFor reserves for q the upstream with the fewest slots in use among those that are
// large enough.
func (b *Broker) reserveFor(q *queuedRequest) {
	var best *upstreamState
	for _, u := range b.sortedUpstreams {
		if u.Leaving || u.health.ejected || slices.Contains(q.AvoidZones, u.Zone) || !q.Needs.FitsIn(u.Capacity) {
			continue
		}
		if best == nil || u.usedSlots < best.usedSlots {
			best = u
		}
	}
	if best != nil {
		best.reservedFor = q
	}
}

// next returns the first request of the service that uses the fewest slots in proportion to
// its weight, or nil if no request can be granted slots in this round.
func (r *grantRound) next() *queuedRequest {
	var first *queuedRequest
	var leastUse float64
	goesBefore := func(q *queuedRequest, weightedUse float64) bool {
		return cmp.Or(cmp.Compare(weightedUse, leastUse), cmp.Compare(q.arrivedMs, first.arrivedMs), cmp.Compare(q.Service, first.Service)) < 0
	}
	for service, requests := range r.byService {
		s := r.b.getOrCreateService(service)
		if len(requests) == 0 || s.atMaxSlots() {
			continue
		}
		if first == nil || goesBefore(requests[0], s.weightedUse()) {
			first, leastUse = requests[0], s.weightedUse()
		}
	}
	return first
}

// skip excludes q, the first request of its service, from this round.
func (r *grantRound) skip(q *queuedRequest) { r.byService[q.Service] = r.byService[q.Service][1:] }

// recordGrant adds a slot of an upstream to the grant for q.
func (r *grantRound) recordGrant(q *queuedRequest, upstream string) {
	g := r.grants[q]
	if g == nil {
		g = &Grant{Home: q.Home, Ticket: q.Ticket, Service: q.Service}
		r.grants[q] = g
	}
	g.addSlot(upstream)
	if q.Count == 0 {
		r.skip(q)
	}
}
