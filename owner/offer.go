package owner

import (
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// Offer takes a job, and tells answer what becomes of it. The error is Stopping
// once the group is closed; nothing began then.
func (g *Group) Offer(o schedule.Offer, answer OfferCallbacks) error {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return failure.Stopping.New("group %s is not owned here any more", g.Name)
	}
	g.answers[o.Key] = answer
	g.mu.Unlock()
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects { return p.Offer(now, o) })
	return nil
}

// Withdraw ends a job that its coordinator does not want any more.
func (g *Group) Withdraw(key schedule.JobKey, reason string) {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		delete(g.answers, key)
		return p.Withdraw(now, key, reason)
	})
}

// WithdrawAll ends all jobs of a coordinator that is gone.
func (g *Group) WithdrawAll(coordinator, reason string) {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		for key := range g.answers {
			if key.Coordinator == coordinator {
				delete(g.answers, key)
			}
		}
		return p.WithdrawAll(now, coordinator, reason)
	})
}

// Renew renews the lease under which the group works for a coordinator, which was alive
// at a time.
func (g *Group) Renew(coordinator string, alive time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.RenewCoordinator(coordinator, alive)
}

// HasLeasedJobs reports whether the group has jobs of a coordinator under a lease.
func (g *Group) HasLeasedJobs(coordinator string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.HasLeasedJobs(coordinator)
}
