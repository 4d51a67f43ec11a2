package schedule

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// A coordinator holds a lease with each pool that works for it. The pool may learn late
// that a coordinator, or a customer behind it, has abandoned a job: the coordinator may be
// paused, or its connection may silently drop data, be closed at the other end only, or
// deliver late. The customer resubmits the job to another coordinator 1.3 s later. By then
// no run of the first submission may be left.
//
// What counts is when the coordinator was last known to be alive, on the pool's own clock.
// A renewal therefore repeats the time of the last heartbeat that the coordinator received
// from the pool's instance, and is sent after the coordinator has checked the connections
// of the customers of all its jobs. However late the renewal arrives, the coordinator was
// alive after that heartbeat was sent, and everything that it had withdrawn until then has
// been received.

// coordinatorLease is the lease of a coordinator that has jobs in a pool.
type coordinatorLease struct {
	aliveAt time.Time // when the coordinator was last known to be alive; zero before the first renewal
	jobs    int       // in the pool
}

// joinLease puts a job under the lease of its coordinator. A job without AliveAt needs no
// lease: its coordinator is in the same process as the pool.
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

// RenewCoordinator renews the lease of a coordinator: at the time alive it was running, and
// the customers of all jobs that it had not withdrawn were connected.
func (p *Pool) RenewCoordinator(coordinator string, aliveAt time.Time) {
	if c := p.coordinatorLeases[coordinator]; c != nil && aliveAt.After(c.aliveAt) {
		c.aliveAt = aliveAt
	}
}

// HasLeasedJobs reports whether the pool has jobs of a coordinator under a lease.
func (p *Pool) HasLeasedJobs(coordinator string) bool { return p.coordinatorLeases[coordinator] != nil }

// lastAlive returns when the customer of a job under a lease was last known to be
// connected. An offer that was delayed may arrive after a renewal that was sent when the job
// had already ended, so for a delayed offer a renewal counts only if the coordinator was
// alive after the offer arrived.
func (p *Pool) lastAlive(j *job) time.Time {
	delayed := j.offeredAt.Sub(j.AliveAt) > p.cfg.CoordinatorStaleAfter
	if delayed && j.coordinatorLease.aliveAt.Before(j.offeredAt) || j.coordinatorLease.aliveAt.Before(j.AliveAt) {
		return j.AliveAt
	}
	return j.coordinatorLease.aliveAt
}

// isCoordinatorFresh reports whether the coordinator of a job was alive recently enough for
// tasks of the job to start.
func (p *Pool) isCoordinatorFresh(j *job) bool {
	return j.coordinatorLease == nil || p.now.Sub(p.lastAlive(j)) <= p.cfg.CoordinatorStaleAfter
}

// isCoordinatorExpired reports whether the coordinator of a job has not been known to be alive
// for so long that the job is abandoned.
func (p *Pool) isCoordinatorExpired(j *job) bool {
	return j.coordinatorLease != nil && p.now.Sub(lo.Latest(p.lastAlive(j), j.offeredAt)) > p.cfg.CoordinatorExpiresAfter
}

// blocksRenewal reports whether the leases of a run's upstream must not be renewed because
// the run may be unwanted, or has been unwanted for some time. Its lease then ends before
// the customer has the task run elsewhere, even if no stop can be delivered.
func (p *Pool) blocksRenewal(r *run) bool {
	switch {
	case r.foreign:
		return false // foreign runs block starts and renewals by themselves
	case r.job == nil:
		return p.now.Sub(r.unwantedSince) > p.cfg.CoordinatorStaleAfter
	default:
		return !p.isCoordinatorFresh(r.job)
	}
}

// mayRenewLeases reports whether the leases of an upstream may be renewed, and therefore
// whether tasks may start there: a start extends the leases of all runs on its upstream.
func (p *Pool) mayRenewLeases(u *upstream) bool {
	for _, r := range u.runs {
		if p.blocksRenewal(r) {
			return false
		}
	}
	return true
}

// maxRenewalCheckAge is how long the result of checkRenewals is used. A start that relies on
// it extends the leases of the other runs on its upstream, so this time adds to
// CoordinatorStaleAfter. Ticks come at half this interval unless the process was paused.
const maxRenewalCheckAge = 50 * time.Millisecond

// checkRenewals updates renewalBlocked of all upstreams. It runs at each tick rather than at
// each placement, which goes through all upstreams and would have to go through all runs.
func (p *Pool) checkRenewals() {
	p.renewalsCheckedAt = p.now
	for _, u := range p.sortedUpstreams {
		u.renewalBlocked = !p.mayRenewLeases(u)
	}
}

// refreshRenewalCheck repeats checkRenewals if the last check is too old: after a pause of
// the process, inputs that arrived meanwhile are handled before the next tick.
func (p *Pool) refreshRenewalCheck() {
	if p.now.Sub(p.renewalsCheckedAt) > maxRenewalCheckAge {
		p.checkRenewals()
	}
}

// reasonCoordinatorExpired is the reason given for the stops and returns of
// abandonExpiredCoordinators.
const reasonCoordinatorExpired = "its coordinator is not heard"

// abandonExpiredCoordinators stops the runs of coordinators that have not been known to be
// alive for too long, and returns the waiting tasks of their jobs: a coordinator that was
// only slow has them run elsewhere, if the customer is still connected.
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
			if r := p.runByTask[p.taskRef(j, t)]; r != nil && r.job == j {
				p.stopRun(r, reasonCoordinatorExpired) // the task waits again when the run is over
			}
		}
		p.returnAllWaiting(j, reasonCoordinatorExpired)
	}
}
