package dispatch

import (
	"time"

	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/placement"
)

// pendingRelease holds the free slots of one pool until they are released to its
// broker.
type pendingRelease struct {
	released []placement.ReleasedSlots
	timer    *time.Timer
	sendAt   time.Time // when the timer fires
	hurry    bool      // release without delay: tasks are queued at the broker, or it needs the information
}

// hurryRelease makes free slots of a pool be released without delay, because tasks
// are queued at its broker. The lock must be held.
func (s *slots) hurryRelease(pool string) {
	r := s.pendingReleaseOf(pool)
	r.hurry = true
	if len(r.released) > 0 {
		s.scheduleRelease(pool, r)
	}
}

// release releases free slots to their broker, together with others.
func (s *slots) release(u placement.ReleasedSlots) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := slotKey{u.Upstream, u.Service}
	s.held[key] -= u.Count
	if s.held[key] <= 0 {
		delete(s.held, key)
	}
	pool, ok := s.d.view.Load().poolOf[u.Upstream]
	if !ok || s.closed {
		return
	}
	r := s.pendingReleaseOf(pool)
	r.merge(u)
	r.hurry = r.hurry || u.Failed > 0 || u.HoldMs > 0 || u.Leaving // the broker needs to know soon
	s.scheduleRelease(pool, r)
}

func (s *slots) pendingReleaseOf(pool string) *pendingRelease {
	r := s.releases[pool]
	if r == nil {
		r = &pendingRelease{}
		s.releases[pool] = r
	}
	return r
}

// merge adds u to an element of the list with the same properties, or appends it.
func (r *pendingRelease) merge(u placement.ReleasedSlots) {
	for i := range r.released {
		o := &r.released[i]
		if o.Upstream == u.Upstream && o.Needs == u.Needs && o.Service == u.Service && o.HoldMs == u.HoldMs && o.Leaving == u.Leaving {
			o.Count += u.Count
			o.RunMs += u.RunMs
			o.Failed += u.Failed
			return
		}
	}
	r.released = append(r.released, u)
}

// hurriedReleaseDelay is how long free slots wait to be released together with
// others if they are released without ReleaseDelay.
const hurriedReleaseDelay = 2 * time.Millisecond

// scheduleRelease schedules the release of the free slots of a pool. The lock must
// be held.
func (s *slots) scheduleRelease(pool string, r *pendingRelease) {
	delay := s.d.tuning.Load().ReleaseDelay
	if r.hurry || s.d.view.Load().isBroker(pool, s.d.cfg.Self) {
		delay = hurriedReleaseDelay
	}
	due := time.Now().Add(delay)
	if r.timer != nil && !due.Before(r.sendAt) {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	r.sendAt = due
	r.timer = time.AfterFunc(delay, func() { s.flushReleases(pool) })
}

// flushReleases releases the free slots of a pool to its broker now.
func (s *slots) flushReleases(pool string) {
	s.mu.Lock()
	r := s.releases[pool]
	if r == nil || len(r.released) == 0 || s.closed {
		s.mu.Unlock()
		return
	}
	delete(s.releases, pool)
	if r.timer != nil {
		r.timer.Stop()
	}
	s.mu.Unlock()
	s.sendRelease(pool, r.released)
}

func (s *slots) sendRelease(pool string, released []placement.ReleasedSlots) {
	p := s.d.view.Load().pools[pool]
	if p == nil || p.broker == "" {
		return
	}
	m := &inner.SlotRelease{Pool: pool}
	for _, u := range released {
		m.Usages = append(m.Usages, &inner.Usage{
			Upstream: u.Upstream, Needs: fromNeeds(u.Needs), Service: u.Service, Count: uint32(u.Count),
			RunUs: uint32(u.RunMs * 1000), Failed: uint32(u.Failed), HoldMs: uint32(u.HoldMs), Leaving: u.Leaving,
		})
	}
	s.sendToBroker(p, &inner.Frame{Body: &inner.Frame_SlotRelease{SlotRelease: m}})
}
