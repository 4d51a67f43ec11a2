package dispatch

import (
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// seen is the last grant that came of a pool, and who sent it.
type seen struct {
	broker   fate.Incarnation
	sequence uint64
}

// rebind takes a new view: a new broker learns what is held and what waits.
func (s *slots) rebind(before, now *View) {
	for _, id := range now.order {
		old := before.pools[id]
		if old != nil && old.broker == now.pools[id].broker {
			continue
		}
		s.mu.Lock()
		delete(s.load, id)
		s.mu.Unlock()
		s.sync(now, id)
	}
	for _, t := range s.homeless(now) {
		s.refused(t, noPoolRetryMs)
	}
}

// syncEvery is how often brokers learn what this instance has of their pools.
const syncEvery = time.Second

// tick syncs with the brokers: all of them now and then, and at once those
// that something may not have reached.
func (s *slots) tick(now time.Time) {
	v := s.d.view.Load()
	s.mu.Lock()
	all := now.Sub(s.synced) >= syncEvery
	if all {
		s.synced = now
	}
	var pools []string
	for _, id := range v.order {
		if s.unsure[id] || all {
			pools = append(pools, id)
		}
	}
	clear(s.unsure)
	s.mu.Unlock()
	for _, id := range pools {
		s.sync(v, id)
	}
}

// sync tells a broker all that this instance has of its pool, if anything.
func (s *slots) sync(v *View, pool string) {
	p := v.pools[pool]
	if p == nil || p.broker == "" {
		return
	}
	s.flush(pool)
	s.mu.Lock()
	m := &inner.SlotSync{Pool: pool, Held: s.heldAt(v, pool)}
	for _, t := range s.tickets {
		if t.pool == pool && len(t.tasks) > 0 {
			m.Waiting = append(m.Waiting, s.requestOf(v, t))
		}
	}
	last := s.seen[pool]
	if last.broker == p.broker {
		m.Sequence = last.sequence
	}
	s.mu.Unlock()
	if last.broker == p.broker || len(m.Held) > 0 || len(m.Waiting) > 0 {
		s.post(p, &inner.Frame{Body: &inner.Frame_SlotSync{SlotSync: m}})
	}
}

// homeless returns the tickets whose pool is gone.
func (s *slots) homeless(v *View) []*ticket {
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

// heldAt returns the places held at a pool: those in use, and those that the
// next release gives back. The lock is held.
func (s *slots) heldAt(v *View, pool string) []*inner.Place {
	counts := map[heldKey]int{}
	for key, n := range s.held {
		if v.poolOf[key.upstream] == pool {
			counts[key] += n
		}
	}
	if r := s.returns[pool]; r != nil {
		for _, u := range r.usages {
			counts[heldKey{u.Upstream, u.Service}] += u.Count
		}
	}
	list := make([]*inner.Place, 0, len(counts))
	for key, n := range counts {
		list = append(list, &inner.Place{Upstream: key.upstream, Service: key.service, Count: uint32(n)})
	}
	return list
}
