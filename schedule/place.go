package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// maxForecastsPerPlacement limits how many forecasts one call of placeWaiting makes. A forecast
// goes through all runs, so that without a limit the cost of every input would grow with the
// number of queued jobs. A job that would need a further forecast does not start in this call.
const maxForecastsPerPlacement = 16

// placeWaiting starts waiting tasks while there is capacity. It goes through the queue once, or
// not at all if no upstream has free CPU capacity.
func (p *Pool) placeWaiting() {
	if p.draining || len(p.queue) == 0 {
		return
	}
	p.refreshRenewalCheck()
	freeMilliCPU := p.maxFreeMilliCPU()
	if freeMilliCPU <= 0 {
		return
	}
	p.sortQueue()
	forecasts, started := 0, false
	for _, j := range p.queue {
		if j.Demand.MilliCPU > freeMilliCPU {
			continue
		}
		if !p.isCoordinatorFresh(j) || !p.canStartNow(j, &forecasts) {
			continue
		}
		if p.placeJob(j) {
			started = true
			freeMilliCPU = p.maxFreeMilliCPU()
		}
	}
	if started {
		p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return !j.hasWaiting() })
	}
}

// maxFreeMilliCPU returns the largest free CPU capacity of a single usable upstream, in
// thousandths of a core.
func (p *Pool) maxFreeMilliCPU() int64 {
	most := int64(0)
	for _, u := range p.sortedUpstreams {
		if left := u.Capacity.MilliCPU - u.used.MilliCPU; left > most && p.usable(u, p.now) {
			most = left
		}
	}
	return most
}

func (j *job) hasWaiting() bool {
	return slices.ContainsFunc(j.taskList, func(t *task) bool { return t.state == waiting })
}

// longestTaskFactor is the assumed ratio of the duration of a job's longest task to the
// expected duration of its tasks. Task durations within a job differ by about 15%, and the
// longest one is assumed to exceed the expected duration by 10%.
const longestTaskFactor = 1.1

// expiryFactor is the multiple of a job's latency objective after which its result is of no
// use.
const expiryFactor = 3

// objective returns the latency objective of a job, counted from its first submission.
func (j *job) objective() time.Duration {
	return time.Duration(j.Stretch*longestTaskFactor*float64(j.expectedTaskDuration)) + j.Slack
}

func (j *job) submittedAt() time.Time { return j.offeredAt.Add(-j.Age) }

// latestStart returns the time by which the tasks of a job must start for the job to meet its
// latency objective.
func (j *job) latestStart() time.Time {
	return j.submittedAt().Add(j.objective() - j.expectedTaskDuration)
}

// expiry returns the time from which on the result of a job is of no use: when expiryFactor
// times its objective has passed or its customer stops waiting, whichever comes first.
func (j *job) expiry() time.Time {
	expiry := j.submittedAt().Add(expiryFactor * j.objective())
	if timeoutAt := j.offeredAt.Add(j.Timeout); timeoutAt.Before(expiry) {
		return timeoutAt
	}
	return expiry
}

// sortQueue puts jobs that have begun first, so that the work that was done for them is not
// lost. The others follow in the order of their latest start times. Priorities only break ties,
// because strict priorities would starve the jobs with the most work. Urgent jobs go first
// even so, because their objectives are the shortest.
func (p *Pool) sortQueue() {
	policy := p.cfg.Policy
	slices.SortStableFunc(p.queue, func(a, b *job) int {
		switch {
		case policy.BegunFirst && a.hasBegun() != b.hasBegun() && a.hasBegun():
			return -1
		case policy.BegunFirst && a.hasBegun() != b.hasBegun():
			return 1
		case !policy.EarliestFirst:
			return a.offeredAt.Compare(b.offeredAt)
		default:
			return cmp.Or(a.latestStart().Compare(b.latestStart()), cmp.Compare(a.Priority, b.Priority))
		}
	})
}

// hasBegun reports whether a run of one of the job's tasks has been ordered, in this pool or
// another, or may have been: a blocked task may have a run from an earlier submission.
func (j *job) hasBegun() bool { return j.begun || j.Begun || j.blockedTasks > 0 }

// placeJob starts waiting tasks of a job until one of them fits on no upstream, and reports
// whether it has started any.
func (p *Pool) placeJob(j *job) bool {
	started := false
	for _, t := range j.taskList {
		if t.state != waiting {
			continue
		}
		u := p.chooseFor(j, t)
		if u == nil {
			return started
		}
		p.startTask(j, t, u)
		started = true
	}
	return started
}

// canStartNow reports whether tasks of a job may start now: either the job has begun, or all of
// its tasks are expected to start in time. If the rest of the job could not follow, its first
// tasks would run for nothing and take capacity from the jobs behind it in the queue.
// canStartNow adds the number of forecasts that it makes to *forecasts.
func (p *Pool) canStartNow(j *job, forecasts *int) bool {
	if j.hasBegun() {
		return true
	}
	if !p.arrivesInTime(j) {
		return false
	}
	if !p.cfg.Policy.WholeJobs {
		return true
	}
	tasks := j.countWaiting()
	free := p.countFitting(j, tasks)
	switch {
	case free == 0:
		return false
	case free >= tasks:
		return true
	case j.AllOrNothing, *forecasts >= maxForecastsPerPlacement:
		return false
	}
	*forecasts++
	f := p.newForecast(j.Service)
	f.reserveBegun(p.queue, j)
	f.addFree(free)
	start, hasCapacity := f.reserve(tasks, j.expectedTaskDuration)
	limit := j.latestStart()
	if limit.Before(p.now) {
		limit = j.expiry().Add(-j.expectedTaskDuration)
	}
	return !hasCapacity || !start.After(limit)
}

// countFitting returns how many tasks of a job could start now, but at most limit. It counts
// tasks on second choices (see choose) only if the job would still finish in time there or no
// first choice is large enough.
func (p *Pool) countFitting(j *job, limit int) int {
	n, slow, fast := 0, 0, false
	for _, u := range p.sortedUpstreams {
		if u.Service != j.Service || !p.usable(u, p.now) {
			continue
		}
		fitting := p.countFittingOn(j, u, limit)
		factor := p.slowdownFactorFor(j, u)
		if factor > 1 && !p.finishesInTime(j, factor) {
			slow += fitting
			continue
		}
		fast = fast || factor == 1 && j.Demand.Within(u.Capacity)
		n += fitting
	}
	if !fast {
		n += slow
	}
	return min(n, limit)
}

// countFittingOn returns how many tasks of a job could start on an upstream now, but at most
// limit.
func (p *Pool) countFittingOn(j *job, u *upstream, limit int) int {
	left := u.Capacity.Minus(u.used)
	n := 0
	for n < limit && j.Demand.Within(left) {
		left = left.Minus(j.Demand)
		n++
	}
	if u.health.ejected && p.cfg.Policy.SingleTrial {
		n = min(n, 1)
	}
	return remainingPerUpstream(j, u, n)
}

// hasAlternative reports whether any usable upstream other than except is large enough for a
// task of j.
func (p *Pool) hasAlternative(j *job, except string) bool {
	return slices.ContainsFunc(p.sortedUpstreams, func(u *upstream) bool {
		return u.ID != except && u.Service == j.Service && j.Demand.Within(u.Capacity) && p.usable(u, p.now)
	})
}

// chooseFor returns the upstream on which a task is to start now, or nil if there is none.
func (p *Pool) chooseFor(j *job, t *task) *upstream {
	if p.isSuspectTask(p.taskRef(j, t)) {
		return p.chooseForSuspect(j)
	}
	return p.choose(j)
}

// choose returns the upstream on which a task of j is to start, or nil if it may start on none.
// An upstream is second choice if the task takes longer there, because the upstream is slow or
// not in the rack of the data. All others are first choice.
//   - Of the first choices with enough free capacity, choose returns the one on which the task
//     would leave the least CPU capacity free.
//   - If there is none, choose returns the fastest second choice with enough free capacity,
//     but only if the job would still finish in time there or no first choice is large enough.
func (p *Pool) choose(j *job) *upstream { return p.chooseExcept(j, "") }

// chooseExcept is like choose, but does not choose the upstream except.
func (p *Pool) chooseExcept(j *job, except string) *upstream {
	var best, slow *upstream
	var leastLeft int64
	lowestFactor, fast := 0.0, false
	for _, u := range p.sortedUpstreams {
		if u.Service != j.Service || !p.usable(u, p.now) || u.ID == except {
			continue
		}
		factor := p.slowdownFactorFor(j, u)
		fast = fast || factor == 1 && j.Demand.Within(u.Capacity)
		left := u.Capacity.Minus(u.used)
		if !j.Demand.Within(left) || remainingPerUpstream(j, u, 1) == 0 {
			continue
		}
		leftAfter := left.MilliCPU - j.Demand.MilliCPU
		switch {
		case factor > 1 && (slow == nil || factor < lowestFactor):
			slow, lowestFactor = u, factor
		case factor > 1:
		case best == nil || leftAfter < leastLeft:
			best, leastLeft = u, leftAfter
		}
	}
	if best == nil && slow != nil && (!fast || p.finishesInTime(j, lowestFactor)) {
		return slow
	}
	return best
}

// finishesInTime reports whether a job would meet its objective if a task of it started now on
// an upstream where tasks take factor times as long as expected.
func (p *Pool) finishesInTime(j *job, factor float64) bool {
	end := p.now.Add(time.Duration(factor * longestTaskFactor * float64(j.expectedTaskDuration)))
	return end.Before(j.submittedAt().Add(j.objective()))
}

// usable reports whether a task may start on an upstream now, ignoring its free capacity.
func (p *Pool) usable(u *upstream, now time.Time) bool {
	switch {
	case !u.accepted, u.silent, u.formerOwnerRuns > 0, !p.acceptsStarts(u), u.renewalBlocked, !p.hasRecentReport(u):
		return false
	case u.health.ejected:
		return now.After(u.health.ejectedUntil) && (len(u.runs) == 0 || !p.cfg.Policy.SingleTrial)
	default:
		return true
	}
}

// startTask orders an upstream to start a run of a task.
func (p *Pool) startTask(j *job, t *task, u *upstream) {
	t.lastRun++
	p.setTaskState(j, t, placed)
	j.begun = true
	linkDelay := p.link.enqueue(p.now, orderBytes(j))
	sentAt := p.now.Add(linkDelay)
	r := &run{
		id: fleet.Run{Task: p.taskRef(j, t), Number: t.lastRun}, job: j, upstream: u, demand: j.Demand,
		state: starting, orderedAt: sentAt, percentRoseAt: sentAt, percentAt: sentAt, remoteFactor: p.remoteFactor(j, u),
	}
	r.expectedDuration = r.remoteDuration(j.expectedTaskDuration)
	p.trackRun(r)
	p.effects.Starts = append(p.effects.Starts, Start{
		Upstream:  u.Upstream,
		Order:     fleet.StartOrder{Run: r.id, Spec: j.Spec, LeaseUntilMs: p.grantLease(u), Token: p.token},
		LinkDelay: linkDelay,
		SendBy:    p.now.Add(p.cfg.Lease),
	})
	p.addDecision(Decision{
		Kind: DecidedStart, Job: j.Key.ID, Coordinator: j.Key.Coordinator, Task: t.index, Run: t.lastRun, Upstream: u.ID,
		FreeMilliCPU: u.Capacity.Minus(u.used).MilliCPU, Age: p.now.Sub(j.offeredAt),
	})
}

// trackRun adds a run to those of its upstream. If a former owner ordered the run, its task is
// blocked until that run is over.
func (p *Pool) trackRun(r *run) {
	r.upstream.runs[r.id] = r
	p.runByTask[r.id.Task] = r
	r.upstream.used = r.upstream.used.Plus(r.demand)
	if r.fromFormerOwner {
		r.upstream.formerOwnerRuns++
		p.blockTasks(r.id.Task)
	}
}

// untrackRun removes a run that is certainly not executing and cannot start any more. A task
// that it blocked waits for an upstream again.
func (p *Pool) untrackRun(r *run) {
	if r.upstream.runs[r.id] != r {
		return
	}
	delete(r.upstream.runs, r.id)
	if p.runByTask[r.id.Task] == r {
		delete(p.runByTask, r.id.Task)
		p.unblockTasks(r.id.Task)
	}
	r.upstream.used = r.upstream.used.Minus(r.demand)
	if r.fromFormerOwner {
		r.upstream.formerOwnerRuns--
	}
}

// clockMsAt returns the estimated reading of an upstream's clock at the time now.
func (u *upstream) clockMsAt(now time.Time) int64 {
	return u.clockMs + now.Sub(u.clockReadAt).Milliseconds()
}

// grantLease records that an upstream is granted a lease that starts now, and returns the end
// of that lease on the upstream's clock.
func (p *Pool) grantLease(u *upstream) int64 {
	until := u.clockMsAt(p.now) + p.cfg.Lease.Milliseconds()
	u.maxLeaseUntilMs = max(u.maxLeaseUntilMs, until)
	return until
}

// leasesLapseAt returns the time at which all leases granted to an upstream have certainly
// lapsed, even if its clock runs as slowly as minClockRate allows.
func (u *upstream) leasesLapseAt() time.Time {
	left := time.Duration(float64(u.maxLeaseUntilMs-u.clockMs)/minClockRate) * time.Millisecond
	return u.clockReadAt.Add(max(left, 0) + leaseLapseMargin)
}

// requeue puts the task of a run back into the queue after the run ended without success or
// turned out never to have started.
func (p *Pool) requeue(r *run, reason string) {
	j := r.job
	if j == nil {
		return
	}
	t := j.tasks[r.id.Task.Index]
	if t.state != placed {
		return
	}
	if p.runByTask[p.taskRef(j, t)] != nil {
		p.setTaskState(j, t, blocked) // a run that a former owner ordered has been reported meanwhile
	} else {
		p.setTaskState(j, t, waiting)
		p.enqueue(j)
	}
	p.addDecision(Decision{
		Kind: DecidedRetry, Job: j.Key.ID, Task: t.index, Run: t.lastRun, Upstream: r.upstream.ID, Reason: reason,
		Age: p.now.Sub(j.offeredAt),
	})
}

// stopRun orders the upstream of a run to stop it, unless a stop was ordered before.
func (p *Pool) stopRun(r *run, reason string) {
	if r.state == stopping || r.state == stopped {
		return
	}
	r.state = stopping
	p.sendStop(r)
	p.addDecision(Decision{
		Kind: DecidedStop, Job: r.id.Task.Job, Task: r.id.Task.Index, Run: r.id.Number, Upstream: r.upstream.ID,
		Reason: reason, Age: p.now.Sub(r.orderedAt),
	})
}

func (p *Pool) sendStop(r *run) {
	r.stopSentAt = p.now
	p.effects.Stops = append(p.effects.Stops, Stop{Upstream: r.upstream.Upstream, Run: r.id})
}
