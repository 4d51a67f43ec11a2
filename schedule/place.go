package schedule

import (
	"cmp"
	"slices"
	"time"
)

// maxForecastsPerPlacement limits how many forecasts one call of placeWaiting makes. A forecast
// goes through all runs, so that without a limit the cost of every input would grow with the
// number of queued jobs. A job that would need a further forecast does not start in this call.
const maxForecastsPerPlacement = 16

// placeWaiting starts waiting tasks while there is capacity. It goes through the queue once, or
// not at all if no upstream has free CPU capacity.
func (p *Pool) placeWaiting() {
	p.placementDue = false
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
	for _, j := range p.queue {
		j.sortKey = queueKey{hasBegun: j.hasBegun(), latestStart: j.latestStart()}
	}
	slices.SortStableFunc(p.queue, func(a, b *job) int {
		switch {
		case policy.BegunFirst && a.sortKey.hasBegun != b.sortKey.hasBegun && a.sortKey.hasBegun:
			return -1
		case policy.BegunFirst && a.sortKey.hasBegun != b.sortKey.hasBegun:
			return 1
		case !policy.EarliestFirst:
			return a.offeredAt.Compare(b.offeredAt)
		default:
			return cmp.Or(a.sortKey.latestStart.Compare(b.sortKey.latestStart), cmp.Compare(a.Priority, b.Priority))
		}
	})
}

// queueKey holds what the order of the queue depends on, as of the last sortQueue.
type queueKey struct {
	hasBegun    bool
	latestStart time.Time
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
