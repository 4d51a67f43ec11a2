package dispatch

import (
	"time"

	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/placement"
)

// returning is what goes back to the broker of one pool with the next release.
type returning struct {
	usages []placement.ReleasedSlots
	timer  *time.Timer
	due    time.Time // of the timer
	hurry  bool      // work waits there: nothing is held back
}

// hasten makes places go back at once while work waits. The lock is held.
func (s *slots) hasten(pool string) {
	r := s.returnsOf(pool)
	r.hurry = true
	if len(r.usages) > 0 {
		s.schedule(pool, r)
	}
}

// giveBack returns places that are free again, together with others.
func (s *slots) giveBack(u placement.ReleasedSlots) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := heldKey{u.Upstream, u.Service}
	s.held[key] -= u.Count
	if s.held[key] <= 0 {
		delete(s.held, key)
	}
	pool, known := s.d.view.Load().poolOf[u.Upstream]
	if !known || s.closed {
		return
	}
	r := s.returnsOf(pool)
	r.add(u)
	r.hurry = r.hurry || u.Failed > 0 || u.HoldMs > 0 || u.Leaving // the broker should know
	s.schedule(pool, r)
}

func (s *slots) returnsOf(pool string) *returning {
	r := s.returns[pool]
	if r == nil {
		r = &returning{}
		s.returns[pool] = r
	}
	return r
}

// add joins usages that are alike.
func (r *returning) add(u placement.ReleasedSlots) {
	for i := range r.usages {
		o := &r.usages[i]
		if o.Upstream == u.Upstream && o.Needs == u.Needs && o.Service == u.Service && o.HoldMs == u.HoldMs && o.Leaving == u.Leaving {
			o.Count += u.Count
			o.RunMs += u.RunMs
			o.Failed += u.Failed
			return
		}
	}
	r.usages = append(r.usages, u)
}

// hurryDelay is how long places wait for company where work waits for them.
const hurryDelay = 2 * time.Millisecond

// schedule makes the places of a pool go back before long. The lock is held.
func (s *slots) schedule(pool string, r *returning) {
	delay := s.d.tuning.Load().ReleaseDelay
	if r.hurry || s.d.view.Load().brokers(pool, s.d.cfg.Self) {
		delay = hurryDelay
	}
	due := time.Now().Add(delay)
	if r.timer != nil && !due.Before(r.due) {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	r.due = due
	r.timer = time.AfterFunc(delay, func() { s.flush(pool) })
}

// flush sends what is to be given back to the broker of a pool.
func (s *slots) flush(pool string) {
	s.mu.Lock()
	r := s.returns[pool]
	if r == nil || len(r.usages) == 0 || s.closed {
		s.mu.Unlock()
		return
	}
	delete(s.returns, pool)
	if r.timer != nil {
		r.timer.Stop()
	}
	s.mu.Unlock()
	s.release(pool, r.usages)
}

func (s *slots) release(pool string, usages []placement.ReleasedSlots) {
	p := s.d.view.Load().pools[pool]
	if p == nil || p.broker == "" {
		return
	}
	m := &inner.SlotRelease{Pool: pool}
	for _, u := range usages {
		m.Usages = append(m.Usages, &inner.Usage{
			Upstream: u.Upstream, Needs: fromNeeds(u.Needs), Service: u.Service, Count: uint32(u.Count),
			RunUs: uint32(u.RunMs * 1000), Failed: uint32(u.Failed), HoldMs: uint32(u.HoldMs), Leaving: u.Leaving,
		})
	}
	s.post(p, &inner.Frame{Body: &inner.Frame_SlotRelease{SlotRelease: m}})
}
