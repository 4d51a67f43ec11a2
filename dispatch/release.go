package dispatch

import (
	"time"

	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/placement"
)

// pendingRelease collects the free slots of one pool until they are released to
// the broker of the pool.
type pendingRelease struct {
	released []placement.ReleasedSlots
	timer    *time.Timer
	sendAt   time.Time // when the timer fires
	hurry    bool      // release without delay: tasks are queued at the broker, or the broker should soon know of failures
}

// hurryRelease makes the next release of a pool's free slots take place without
// ReleaseDelay, because tasks are queued at the broker. The lock must be held.
func (s *slots) hurryRelease(pool string) {
	r := s.pendingReleaseOf(pool)
	r.hurry = true
	if len(r.released) > 0 {
		s.scheduleRelease(pool, r)
	}
}

// release removes free slots from those in use and schedules their release to the
// broker, together with other free slots of the pool.
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
	r.hurry = r.hurry || u.Failed > 0 || u.HoldMs > 0 || u.Leaving // the broker should know these before its next grants
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

// merge adds the counts of u to an element of the list that has the same other
// fields, or appends u if there is none.
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

// hurriedReleaseDelay replaces ReleaseDelay if slots have to be released soon, or if
// the broker is this instance. It still lets slots that become free at almost the
// same time be released together.
const hurriedReleaseDelay = 2 * time.Millisecond

// scheduleRelease schedules the release of the free slots of a pool, unless an
// earlier one is scheduled. The lock must be held.
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

// flushReleases releases the free slots of a pool to its broker without waiting for
// the timer.
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
