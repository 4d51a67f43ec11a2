package owner

import (
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// OfferCallbacks holds the functions to which the results of an offer are passed, with the load
// of the group at that time.
type OfferCallbacks struct {
	// TasksReturned is called for tasks that do not run in the group and never will. It may be
	// called several times during an offer.
	TasksReturned func(schedule.Result, schedule.Load)
	// OfferEnded is called once, when the offer has ended. It is not called for a withdrawn
	// offer.
	OfferEnded func(schedule.Result, schedule.Load)
	// TasksDone is called with tasks that are done while others of the offer are not; it may be
	// nil. OfferEnded names these tasks again.
	TasksDone func(tasks []int)
	// OwnerLost is called instead of OfferEnded if the connection to the owner, which has the
	// given fencing token, was lost while the offer was open. It may be nil.
	OwnerLost func(token uint64)
}

// Offer hands tasks of a job to the group, which passes the results to callbacks. If the group is
// closed, Offer returns a Stopping error, and none of the tasks has begun or will begin.
func (g *Group) Offer(o schedule.Offer, callbacks OfferCallbacks) error {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return failure.Stopping.New("group %s is no longer owned by this instance", g.Name)
	}
	g.callbacks[o.Key] = callbacks
	g.mu.Unlock()
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		if g.isCancelled(o.Key.ID) {
			return schedule.Effects{Results: []schedule.Result{{Key: o.Key, Outcome: schedule.Cancelled, Begun: o.Begun || o.AdoptFrom > 0}}}
		}
		return p.Offer(now, o)
	})
	return nil
}

// Cancel ends all offers of a job and stops its runs, and reports whether there were any. The
// caller must have made isCancelled return true for the job, so that the group refuses further
// offers of it.
func (g *Group) Cancel(job string) (found bool) {
	g.apply(func(p *schedule.Pool, now time.Time) (effects schedule.Effects) {
		found, effects = p.Cancel(now, job)
		return effects
	})
	return found
}

// Withdraw cancels an offer: its running tasks are stopped, its waiting ones dropped, and its
// callbacks are not called any more.
func (g *Group) Withdraw(key schedule.JobKey, reason string) {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		delete(g.callbacks, key)
		return p.Withdraw(now, key, reason)
	})
}

// WithdrawAll cancels all offers of a coordinator that has disconnected or failed.
func (g *Group) WithdrawAll(coordinator, reason string) {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		for key := range g.callbacks {
			if key.Coordinator == coordinator {
				delete(g.callbacks, key)
			}
		}
		return p.WithdrawAll(now, coordinator, reason)
	})
}

// Renew renews the lease under which the group runs tasks for a coordinator. The lease counts
// from aliveAt, a time at which the coordinator was known to be alive.
func (g *Group) Renew(coordinator string, aliveAt time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.pool.RenewCoordinator(coordinator, aliveAt)
}

// HasLeasedJobs reports whether the group has jobs that depend on the lease of a coordinator.
func (g *Group) HasLeasedJobs(coordinator string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.HasLeasedJobs(coordinator)
}
