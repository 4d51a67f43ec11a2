package schedule

import (
	"slices"
	"time"
)

// Tick does everything that depends on time alone. It must be called regularly.
func (p *Pool) Tick(now time.Time) Effects {
	return p.handle(now, func() {
		for _, u := range slices.Clone(p.sortedUpstreams) {
			p.tickUpstream(u)
		}
		p.crashHistory.dropOld(now)
		p.abandonExpiredCoordinators()
		p.checkRenewals()
		p.placeWaiting()
		p.returnClosed()
		p.returnUnblocked()
		p.rejectLate()
		for _, j := range slices.Clone(p.queue) {
			p.endIfExpired(j)
		}
	})
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

// handleLapse requeues the tasks of a silent upstream whose leases have lapsed: its runs are
// over, whether it has crashed or is only unreachable.
func (p *Pool) handleLapse(u *upstream) {
	runs := sortedRuns(u)
	suspects := p.recordCrash(u, runs)
	u.suspectedTasks = append(u.suspectedTasks, suspects...)
	for _, r := range runs {
		u.addUnresolvedStart(r)
		p.untrackRun(r)
		p.requeue(r, "lease lapsed on a silent upstream")
	}
	p.endCrashingJobs(suspects)
}

// pollIfOverdue polls the upstream of a run that should have ended, if reports are being
// lost: otherwise the end may become known only after the next report has timed out, up to
// 400 ms later. On a sound network it does not poll.
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

// endIfExpired ends a job that can no longer finish while its result is of use, because
// tasks of it wait for capacity. It does not end a job whose tasks are only blocked by runs
// that may still be executing. A job that has started goes on while any upstream could run
// its waiting tasks: finishing late is better than having run the other tasks for nothing.
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

// hasRunnableUpstream reports whether any upstream that answers could run a task of j, now or
// after its ejection.
func (p *Pool) hasRunnableUpstream(j *job) bool {
	return p.fitsAnyUpstream(j, func(u *upstream) bool { return u.accepted && !u.silent && p.acceptsStarts(u) })
}
