package schedule

import (
	"slices"
	"time"
)

// Tick does the work that is due because time has passed, such as handling leases that have
// lapsed and ending jobs that have expired. It must be called regularly.
func (p *Pool) Tick(now time.Time) Effects {
	effects := p.handle(now, func() {
		for _, u := range slices.Clone(p.sortedUpstreams) {
			p.tickUpstream(u)
		}
		p.crashHistory.dropOld(now)
		p.refreshSpeeds()
		p.abandonExpiredCoordinators()
		p.reviewAdoptions()
		p.checkRenewals()
		p.moveLeaving()
		p.placeWaiting()
		p.returnClosed()
		p.returnUnblocked()
		p.rejectLate()
		for _, j := range slices.Clone(p.queue) {
			p.endIfExpired(j)
		}
	})
	effects.Room = p.sampleRoom()
	return effects
}

func (p *Pool) tickUpstream(u *upstream) {
	if u.silent && p.now.After(u.leasesLapseAt()) {
		p.handleLapse(u)
	}
	for _, r := range sortedRuns(u) {
		switch {
		case r.state == stopping && p.now.Sub(r.stopSentAt) >= p.resendInterval() && !u.silent:
			p.sendStop(r)
		case r.state == stopped && p.now.Sub(r.polledAt) >= p.resendInterval() && !u.silent:
			r.polledAt = p.now
			p.effects.Polls = append(p.effects.Polls, u.ID)
		case r.state == running && r.fromFormerOwner:
			p.stopUnheld(r)
		case r.state == running:
			p.pollIfOverdue(r)
			p.checkProgress(r)
		}
	}
	if !u.listed && len(u.runs) == 0 && p.now.Sub(u.unlistedAt) > p.cfg.RemovalGrace {
		p.addDecision(Decision{Kind: DecidedGone, Upstream: u.ID, Reason: "its entry is gone"})
		p.removeUpstream(u)
	}
}

// handleLapse requeues the tasks of a silent upstream whose leases have lapsed. Its runs are
// over: either the upstream has crashed, or it is unreachable and has stopped them itself.
func (p *Pool) handleLapse(u *upstream) {
	runs := sortedRuns(u)
	suspects := p.recordCrash(u, runs)
	u.suspectedTasks = append(u.suspectedTasks, suspects...)
	for _, r := range runs {
		u.addUnresolvedStart(r)
		p.untrackRun(r)
		p.requeue(r, "lease lapsed on a silent upstream")
	}
	if len(runs) > 0 {
		u.reportRequestedAt = p.now // reports that were requested before may still list the runs
	}
	p.endCrashingJobs(suspects)
}

// pollIfOverdue polls the upstream of a run for a report if the run should have ended and
// reports are being lost. Without the poll, the pool might learn of the end only after the
// outstanding request for a report has timed out, up to 400 ms later. On a network that loses
// few reports it does not poll.
//
// A run should have ended if its expected duration has passed, or if the end that expectedEnd
// extrapolates from its progress has.
func (p *Pool) pollIfOverdue(r *run) {
	u := r.upstream
	if !p.cfg.Policy.LookOverdue || p.missRate.share < lossyMissRate || u.silent || p.now.Before(r.expectedEnd(p.now)) && !p.now.After(r.orderedAt.Add(r.expectedTotal())) {
		return
	}
	if p.now.Sub(u.reportRequestedAt) < overduePollInterval || p.now.Sub(r.polledAt) < overduePollInterval {
		return
	}
	r.polledAt = p.now
	p.effects.Polls = append(p.effects.Polls, u.ID)
}

// endIfExpired ends a job whose result would come too late to be of use, because some of its
// tasks still wait for capacity. There are two exceptions:
//   - A job that has begun goes on while any upstream could run its waiting tasks, because
//     finishing late is better than having run the other tasks for nothing.
//   - A job without waiting tasks goes on, even if tasks of it are blocked by runs that may
//     still be executing.
func (p *Pool) endIfExpired(j *job) {
	if !p.cfg.Policy.GiveUp || p.jobs[j.Key] != j || p.now.Add(j.expectedTaskDuration/2).Before(j.expiry()) {
		return
	}
	if j.hasBegun() && p.hasRunnableUpstream(j) {
		return
	}
	for _, t := range j.taskList {
		if t.state == waiting {
			p.endJob(j, Expired)
			return
		}
	}
}

// hasRunnableUpstream reports whether any upstream that responds could run a task of j, now or
// later, for example when its ejection ends.
func (p *Pool) hasRunnableUpstream(j *job) bool {
	return p.fitsAnyUpstream(j, func(u *upstream) bool { return u.accepted && !u.silent && !u.entryPending && p.acceptsStarts(u) })
}
