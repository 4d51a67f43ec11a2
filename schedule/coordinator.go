package schedule

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// A coordinator holds a lease with each pool that has jobs of it. The lease is needed because
// the pool may learn late that the coordinator, or the customer of a job, has abandoned the
// job: the coordinator may be paused, or its connection to the pool's instance may silently
// drop data, be closed at the other end only, or deliver late. The customer resubmits the job
// to another coordinator 1.3 s after its connection broke, and by then no run of the first
// submission may be left.
//
// The lease depends on when the coordinator was last known to be alive, on the pool's own
// clock. Heartbeats of the pool's instance carry the time of that clock, and a renewal repeats
// the time of the last heartbeat that the coordinator has received. However late the renewal
// arrives, it proves that the coordinator was alive after that time. Before the coordinator
// sends a renewal, it withdraws the jobs whose customers have disconnected. These withdrawals
// arrive before the renewal, because they are sent earlier on the same connection.

// coordinatorLease is the lease of a coordinator that has jobs in a pool.
type coordinatorLease struct {
	aliveAt time.Time // when the coordinator was last known to be alive; zero before the first renewal
	jobs    int       // in the pool
}

// joinLease puts a job under the lease of its coordinator, unless its AliveAt is zero: then
// the coordinator needs no lease.
func (p *Pool) joinLease(j *job) {
	if j.AliveAt.IsZero() {
		return
	}
	c := p.coordinatorLeases[j.Key.Coordinator]
	if c == nil {
		c = &coordinatorLease{}
		p.coordinatorLeases[j.Key.Coordinator] = c
	}
	c.jobs++
	j.coordinatorLease = c
}

// leaveLease removes a job from the lease of its coordinator.
func (p *Pool) leaveLease(j *job) {
	if j.coordinatorLease == nil {
		return
	}
	j.coordinatorLease.jobs--
	if j.coordinatorLease.jobs == 0 {
		delete(p.coordinatorLeases, j.Key.Coordinator)
	}
}

// RenewCoordinator renews the lease of a coordinator. At the time aliveAt the coordinator was
// alive, and so were the connections of the customers of all jobs that it had not withdrawn.
func (p *Pool) RenewCoordinator(coordinator string, aliveAt time.Time) {
	if c := p.coordinatorLeases[coordinator]; c != nil && aliveAt.After(c.aliveAt) {
		c.aliveAt = aliveAt
	}
}

// HasLeasedJobs reports whether the pool has jobs under the lease of a coordinator.
func (p *Pool) HasLeasedJobs(coordinator string) bool { return p.coordinatorLeases[coordinator] != nil }

// lastAlive returns when the coordinator of a job under a lease was last known to be alive and
// the customer connected.
//
// A renewal says nothing about a job that the coordinator had ended before it sent the
// renewal, but whose offer was delayed and arrives only later. Therefore, if an offer is
// older than CoordinatorStaleAfter when it arrives, a renewal counts for it only if it shows
// that the coordinator was alive after the arrival.
func (p *Pool) lastAlive(j *job) time.Time {
	delayed := j.offeredAt.Sub(j.AliveAt) > p.cfg.CoordinatorStaleAfter
	if delayed && j.coordinatorLease.aliveAt.Before(j.offeredAt) || j.coordinatorLease.aliveAt.Before(j.AliveAt) {
		return j.AliveAt
	}
	return j.coordinatorLease.aliveAt
}

// isCoordinatorFresh reports whether the coordinator of a job was last known to be alive
// recently enough for tasks of the job to start.
func (p *Pool) isCoordinatorFresh(j *job) bool {
	return j.coordinatorLease == nil || p.now.Sub(p.lastAlive(j)) <= p.cfg.CoordinatorStaleAfter
}

// isCoordinatorExpired reports whether the coordinator of a job was last known to be alive so
// long ago that the runs of the job are stopped. The time counts from the arrival of the offer
// at the earliest.
func (p *Pool) isCoordinatorExpired(j *job) bool {
	return j.coordinatorLease != nil && p.now.Sub(lo.Latest(p.lastAlive(j), j.offeredAt)) > p.cfg.CoordinatorExpiresAfter
}

// blocksRenewal reports whether the leases of a run's upstream must not be renewed because of
// the run: the coordinator of its job is no longer fresh, or the run has been unwanted for
// longer than CoordinatorStaleAfter. Without renewal the leases lapse before the customer has
// the task run elsewhere, so that the run ends by then even if no stop can be delivered.
func (p *Pool) blocksRenewal(r *run) bool {
	switch {
	case r.fromFormerOwner:
		return false // HoldOrder and usable handle runs of a former owner: they look at formerOwnerRuns
	case r.job == nil:
		return p.now.Sub(r.unwantedSince) > p.cfg.CoordinatorStaleAfter
	default:
		return !p.isCoordinatorFresh(r.job)
	}
}

// mayRenewLeases reports whether the leases of an upstream may be renewed. If they may not, no
// task may start there either, because a start extends the leases of all runs on its upstream.
func (p *Pool) mayRenewLeases(u *upstream) bool {
	for _, r := range u.runs {
		if p.blocksRenewal(r) {
			return false
		}
	}
	return true
}

// maxRenewalCheckAge is how long the result of checkRenewals may be used. It is short, because
// a start that relies on an outdated result may extend leases that must not be renewed any
// more, until this long after CoordinatorStaleAfter has passed. Ticks repeat the check every
// 25 ms, which is half of this time; at longer intervals placements would have to repeat it.
const maxRenewalCheckAge = 50 * time.Millisecond

// checkRenewals updates renewalBlocked of all upstreams. Since it goes through all runs, it is
// called at each tick and not at each placement, which only goes through all upstreams.
func (p *Pool) checkRenewals() {
	p.renewalsCheckedAt = p.now
	for _, u := range p.sortedUpstreams {
		u.renewalBlocked = !p.mayRenewLeases(u)
	}
}

// refreshRenewalCheck calls checkRenewals if the last check is too old. That is so after a
// pause of the process, when inputs that arrived meanwhile are handled before the next tick.
func (p *Pool) refreshRenewalCheck() {
	if p.now.Sub(p.renewalsCheckedAt) > maxRenewalCheckAge {
		p.checkRenewals()
	}
}

// reasonCoordinatorExpired is the reason that is logged when abandonExpiredCoordinators stops
// runs and returns tasks.
const reasonCoordinatorExpired = "its coordinator is not heard"

// abandonExpiredCoordinators stops the runs of the jobs whose coordinators have expired, and
// returns the waiting tasks of these jobs. If a coordinator was only slow and the customer is
// still connected, it has the returned tasks run elsewhere.
func (p *Pool) abandonExpiredCoordinators() {
	if len(p.coordinatorLeases) == 0 {
		return
	}
	var expired []*job
	for _, j := range p.jobs {
		if p.isCoordinatorExpired(j) {
			expired = append(expired, j)
		}
	}
	slices.SortFunc(expired, func(a, b *job) int { return compareKeys(a.Key, b.Key) })
	for _, j := range expired {
		for _, t := range j.taskList {
			for _, r := range p.runsByTask[p.taskRef(j, t)] {
				if r.job == j {
					p.stopRun(r, reasonCoordinatorExpired) // the task waits again when the run is over
				}
			}
		}
		p.returnAllWaiting(j, reasonCoordinatorExpired)
	}
}
