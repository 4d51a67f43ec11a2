package dispatch

import (
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// lastGrant identifies the last grant received for a pool.
type lastGrant struct {
	broker   fate.Incarnation
	sequence uint64
}

// applyView applies a new view. If a pool has a new broker, this instance reports to
// the broker which slots of the pool it holds and for which tickets (requests for
// slots) it still waits. The tickets of pools that no longer exist are sent to other
// pools.
func (s *slots) applyView(previous, current *View) {
	for _, id := range current.poolIDs {
		old := previous.pools[id]
		if old != nil && old.broker == current.pools[id].broker {
			continue
		}
		s.mu.Lock()
		delete(s.loads, id)
		s.mu.Unlock()
		s.syncBroker(current, id)
	}
	for _, t := range s.ticketsWithoutPool(current) {
		s.retryElsewhere(t, noPoolRetryAfterMs)
	}
}

// syncInterval is the interval of the reports to all brokers. A longer interval would
// leave the effects of a lost message, such as a slot that no home uses, uncorrected
// for longer.
const syncInterval = time.Second

// tick reports to all brokers every syncInterval, and at once to those that may have
// missed a message.
func (s *slots) tick(now time.Time) {
	v := s.d.view.Load()
	s.mu.Lock()
	all := now.Sub(s.lastSync) >= syncInterval
	if all {
		s.lastSync = now
	}
	var pools []string
	for _, id := range v.poolIDs {
		if s.unsynced[id] || all {
			pools = append(pools, id)
		}
	}
	clear(s.unsynced)
	s.mu.Unlock()
	for _, id := range pools {
		s.syncBroker(v, id)
	}
}

// syncBroker reports to the broker of a pool which slots of the pool this instance
// holds and for which tickets it still waits. It sends no report if it has neither
// and the last grant for the pool, if any, came from another broker.
func (s *slots) syncBroker(v *View, pool string) {
	p := v.pools[pool]
	if p == nil || p.broker == "" {
		return
	}
	s.flushReleases(pool)
	m, lastGrantFrom := s.reportFor(v, pool, p.broker)
	if lastGrantFrom == p.broker || len(m.Held) > 0 || len(m.Waiting) > 0 {
		s.sendToBroker(p, &inner.Frame{Body: &inner.Frame_SlotSync{SlotSync: m}})
	}
}

// report reports to an instance that has asked for it as the broker of a pool. It may not be the
// broker in this instance's view; then no tickets wait there.
func (s *slots) report(v *View, pool string, broker fate.Incarnation) {
	p := v.pools[pool]
	if p == nil {
		return // it is asked again
	}
	m, _ := s.reportFor(v, pool, broker)
	if p.broker != broker {
		m.Waiting = nil
	}
	if err := s.send(broker, &inner.Frame{Body: &inner.Frame_SlotSync{SlotSync: m}}); err != nil {
		s.d.cfg.Metrics.CountWasted("slot_sync") // it is asked again
	}
}

// reportFor returns the report to a broker of a pool, and from whom the last grant came.
func (s *slots) reportFor(v *View, pool string, broker fate.Incarnation) (m *inner.SlotSync, lastGrantFrom fate.Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m = &inner.SlotSync{Pool: pool, Held: s.heldAt(v, pool)}
	for _, t := range s.tickets {
		if t.pool == pool && len(t.waitingTasks) > 0 {
			m.Waiting = append(m.Waiting, s.requestOf(v, t))
		}
	}
	last := s.lastGrants[pool]
	if last.broker == broker {
		m.Sequence = last.sequence
	}
	return m, last.broker
}

// ticketsWithoutPool returns the tickets whose pool is no longer in the view.
func (s *slots) ticketsWithoutPool(v *View) []*ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*ticket
	for _, t := range s.tickets {
		if v.pools[t.pool] == nil {
			list = append(list, t)
		}
	}
	return list
}

// heldAt returns the slots of a pool that this instance holds: those in use, and
// those that are free but not released yet. The lock must be held.
func (s *slots) heldAt(v *View, pool string) []*inner.Place {
	counts := map[slotKey]int{}
	for key, n := range s.held {
		if v.poolOf[key.upstream] == pool {
			counts[key] += n
		}
	}
	if r := s.releases[pool]; r != nil {
		for _, u := range r.released {
			counts[slotKey{u.Upstream, u.Service}] += u.Count
		}
	}
	list := make([]*inner.Place, 0, len(counts))
	for key, n := range counts {
		list = append(list, &inner.Place{Upstream: key.upstream, Service: key.service, Count: uint32(n)})
	}
	return list
}
