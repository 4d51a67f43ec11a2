package schedule

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// A pool works for a coordinator under a lease. It may hear late that a coordinator, or
// a customer behind it, has given a job up: the coordinator stands still, or the
// connection to it has gone silent, or has ended at the other side alone, or delivers
// late. The customer sends the job again 1.3 s later, to another coordinator; by then
// nothing of the first sending may be at work.
//
// What counts is when the coordinator is known to have been alive, on the pool's own
// clock: it repeats the time of the last heartbeat that it heard from here, having looked
// after the customers of all its jobs first. However late that arrives, it was alive
// after the heartbeat was sent, and what it has withdrawn till then has been read.

// coordinator is one that has jobs in a pool under a lease.
type coordinator struct {
	renewed time.Time // when it is known to have been alive last; zero before a renewal
	jobs    int
}

// attend makes a job count for its coordinator. One without a time lives and dies with
// the pool, and needs no lease.
func (p *Pool) attend(j *job) {
	if j.AliveAt.IsZero() {
		return
	}
	c := p.coordinatorLeases[j.Key.Coordinator]
	if c == nil {
		c = &coordinator{}
		p.coordinatorLeases[j.Key.Coordinator] = c
	}
	c.jobs++
	j.coordinatorLease = c
}

// leave makes a job count no more.
func (p *Pool) leave(j *job) {
	if j.coordinatorLease == nil {
		return
	}
	j.coordinatorLease.jobs--
	if j.coordinatorLease.jobs == 0 {
		delete(p.coordinatorLeases, j.Key.Coordinator)
	}
}

// RenewCoordinator takes that a coordinator was alive at a time, with the customers of all jobs that
// it has not withdrawn.
func (p *Pool) RenewCoordinator(coordinator string, alive time.Time) {
	if c := p.coordinatorLeases[coordinator]; c != nil && alive.After(c.renewed) {
		c.renewed = alive
	}
}

// HasLeasedJobs reports whether the pool has jobs of a coordinator under a lease.
func (p *Pool) HasLeasedJobs(coordinator string) bool { return p.coordinatorLeases[coordinator] != nil }

// aliveAt is when the customer of a job under a lease was certainly there, last. An offer
// that was long on its way may come behind a renewal that was sent after its job had
// ended: it counts only once its coordinator was alive after it came.
func (p *Pool) aliveAt(j *job) time.Time {
	late := j.offeredAt.Sub(j.AliveAt) > p.cfg.CoordinatorStaleAfter
	if late && j.coordinatorLease.renewed.Before(j.offeredAt) || j.coordinatorLease.renewed.Before(j.AliveAt) {
		return j.AliveAt
	}
	return j.coordinatorLease.renewed
}

// mayStart reports whether the coordinator of a job was alive lately enough for tasks
// to start.
func (p *Pool) mayStart(j *job) bool {
	return j.coordinatorLease == nil || p.now.Sub(p.aliveAt(j)) <= p.cfg.CoordinatorStaleAfter
}

// unheard reports whether nothing was heard of the coordinator of a job for so long that
// it is given up.
func (p *Pool) unheard(j *job) bool {
	return j.coordinatorLease != nil && p.now.Sub(lo.Latest(p.aliveAt(j), j.offeredAt)) > p.cfg.CoordinatorExpiresAfter
}

// doubtful reports whether a run may not be wanted any more, or is known not to be for
// so long that the lease of its upstream must not be renewed: it has to be over when the
// customer has the task run elsewhere, also if no stop can be delivered.
func (p *Pool) doubtful(r *run) bool {
	switch {
	case r.foreign:
		return false // nothing starts and no lease is renewed while there is one
	case r.job == nil:
		return p.now.Sub(r.unwantedSince) > p.cfg.CoordinatorStaleAfter
	default:
		return !p.mayStart(r.job)
	}
}

// mayRenew reports whether the leases of an upstream may be renewed, and so whether
// anything new may start there.
func (p *Pool) mayRenew(u *upstream) bool {
	for _, r := range u.runs {
		if p.doubtful(r) {
			return false
		}
	}
	return true
}

// leasesWeighed is how long a note holds of which upstreams have no leases to be renewed:
// a start that goes by it prolongs what runs beside it, so that it adds to AliveToStart.
// Time passes for a pool twice as often, unless its process stood still.
const leasesWeighed = 50 * time.Millisecond

// weighLeases notes which upstreams have no leases to be renewed now. It is done while time
// passes: each placement looks at all upstreams, and would look at all runs.
func (p *Pool) weighLeases() {
	p.renewalsCheckedAt = p.now
	for _, u := range p.sortedUpstreams {
		u.renewalBlocked = !p.mayRenew(u)
	}
}

// leasesKnown makes sure that the note is of now: a pool whose process stood still reads
// what came meanwhile before time passes for it.
func (p *Pool) leasesKnown() {
	if p.now.Sub(p.renewalsCheckedAt) > leasesWeighed {
		p.weighLeases()
	}
}

// reasonUnheard is why the work of a coordinator is given up.
const reasonUnheard = "its coordinator is not heard"

// giveUpUnheard stops the runs of coordinators that were not known to be alive for too
// long, and gives back what waits of their jobs: a coordinator that was only slow has it
// run elsewhere, if its customer is still there.
func (p *Pool) giveUpUnheard() {
	if len(p.coordinatorLeases) == 0 {
		return
	}
	var unheard []*job
	for _, j := range p.jobs {
		if p.unheard(j) {
			unheard = append(unheard, j)
		}
	}
	slices.SortFunc(unheard, func(a, b *job) int { return compareKeys(a.Key, b.Key) })
	for _, j := range unheard {
		for _, t := range j.taskList {
			if r := p.runByTask[p.taskRef(j, t)]; r != nil && r.job == j {
				p.stop(r, reasonUnheard) // its task waits again once it is over
			}
		}
		p.returnAllWaiting(j, reasonUnheard)
	}
}
