package schedule

import (
	"slices"
	"time"
)

// Tick lets time pass.
func (p *Pool) Tick(now time.Time) Effects {
	return p.handle(now, func() {
		for _, u := range slices.Clone(p.sortedUpstreams) {
			p.tickUpstream(u)
		}
		p.crashHistory.dropOld(now)
		p.abandonExpiredCoordinators()
		p.checkRenewals()
		p.place()
		p.returnClosed()
		p.returnUnblocked()
		p.rejectLate()
		for _, j := range slices.Clone(p.queue) {
			p.expire(j)
		}
	})
}

func (p *Pool) tickUpstream(u *upstream) {
	if u.silent && p.now.After(u.lapsed()) {
		p.lapse(u)
	}
	for _, r := range sortedRuns(u) {
		switch {
		case r.state == stopping && p.now.Sub(r.stopSentAt) >= p.resendInterval() && !u.silent:
			p.sendStop(r)
		case r.state == stopped && p.now.Sub(r.polledAt) >= p.resendInterval() && !u.silent:
			r.polledAt = p.now
			p.effects.Polls = append(p.effects.Polls, u.ID)
		case r.state == running:
			p.lookIfOverdue(r)
			p.checkProgress(r)
		}
	}
	if !u.listed && len(u.runs) == 0 && p.now.Sub(u.unlistedAt) > p.cfg.RemovalGrace {
		p.addDecision(Decision{Kind: DecidedGone, Upstream: u.ID, Reason: "its entry is gone"})
		p.drop(u)
	}
}

// lapse takes the end of the leases of a silent upstream: nothing of it runs any more. It
// may have crashed, or only be cut off.
func (p *Pool) lapse(u *upstream) {
	runs := sortedRuns(u)
	suspects := p.recordCrash(u, runs)
	u.suspectedTasks = append(u.suspectedTasks, suspects...)
	for _, r := range runs {
		u.leaveUnresolved(r)
		p.remove(r)
		p.again(r, "lease lapsed on a silent upstream")
	}
	p.endCrashingJobs(suspects)
}

// lookIfOverdue asks for a report at once where a run should have ended and
// reports get lost: the next one may tell of the end only after its timeout, up to
// 400 ms later. On a sound network it asks for nothing.
func (p *Pool) lookIfOverdue(r *run) {
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

// expire gives up a job that cannot end while that is of use, because tasks of
// it wait and there is no room. One whose tasks wait for the end of a run that
// may still be at work goes on, and so does one that has begun while any upstream
// is left that could run the rest: it is served late rather than for nothing.
func (p *Pool) expire(j *job) {
	if !p.cfg.Policy.GiveUp || p.jobs[j.Key] != j || p.now.Add(j.expectedTaskDuration/2).Before(j.expiry()) {
		return
	}
	if j.hasBegun() && p.anyLeft(j) {
		return
	}
	for _, t := range j.taskList {
		if t.state == waiting {
			p.endJob(j, Expired)
			return
		}
	}
}

// anyLeft reports whether any upstream that answers could run a task of j, now or
// once it is not doubted any more.
func (p *Pool) anyLeft(j *job) bool {
	return p.fitsAnyUpstream(j, func(u *upstream) bool { return u.accepted && !u.silent && p.acceptsStarts(u) })
}
