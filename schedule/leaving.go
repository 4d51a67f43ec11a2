package schedule

import (
	"cmp"
	"slices"
	"time"
)

// ReasonLeaving is the Reason of a DecidedStop by which a run is moved away from an upstream that
// leaves before the run can end.
const ReasonLeaving = "leaving"

// endErrorShare is by how much the time that a run still takes is assumed to differ at most from
// the expected one, either way, as a share of it. Durations differ by about 30% from the expected
// ones, and all errors up to the largest are taken to be equally likely.
const endErrorShare = 0.5

// leavingRun is a run on an upstream that may leave before the run ends.
type leavingRun struct {
	*run
	end time.Time // when it is expected to end
}

// moveLeaving moves runs away from upstreams that leave before these runs can end, while there is
// time. It moves a run only if its task is then expected to end sooner than if the run goes on,
// which may end in time or with its upstream. Runs with the most time left come first, because
// they are the least likely to end in time and the capacity elsewhere is limited.
func (p *Pool) moveLeaving() {
	if !p.cfg.Policy.MoveLeaving || p.draining {
		return
	}
	byService := map[string][]leavingRun{}
	for _, u := range p.sortedUpstreams {
		if !p.leavesLater(u) {
			continue
		}
		for _, r := range sortedRuns(u) {
			if end := r.expectedEnd(p.now); p.mayMove(r) && chanceToEndBy(u.LeavesAt, p.now, end) < 1 {
				byService[u.Service] = append(byService[u.Service], leavingRun{r, end})
			}
		}
	}
	for _, u := range p.sortedUpstreams { // in the order of the upstreams, so that the result does not depend on that of a map
		if runs := byService[u.Service]; runs != nil {
			delete(byService, u.Service)
			p.moveSooner(runs)
		}
	}
}

// leavesLater reports whether an upstream is known to leave at a time that has not come yet, and
// can still be ordered to stop runs.
func (p *Pool) leavesLater(u *upstream) bool {
	return u.Draining && p.now.Before(u.LeavesAt) && u.accepted && !u.silent
}

// mayMove reports whether a run may be moved to another upstream at all.
func (p *Pool) mayMove(r *run) bool {
	if r.job == nil || r.state != running || p.isSuspectTask(r.id.Task) {
		return false
	}
	return r.job.tasks[r.id.Task.Index].moves < maxMoves
}

// chanceToEndBy returns the probability that a run which is expected to end at the time end has
// ended at the given time.
func chanceToEndBy(at, now, end time.Time) float64 {
	maxError := endErrorShare * float64(end.Sub(now))
	if maxError <= 0 {
		return 1
	}
	return min(max((float64(at.Sub(end))+maxError)/(2*maxError), 0), 1)
}

// moveSooner moves those of the runs, all of one service, whose tasks are expected to end sooner
// if they are moved.
func (p *Pool) moveSooner(runs []leavingRun) {
	slices.SortStableFunc(runs, func(a, b leavingRun) int { return b.end.Compare(a.end) })
	f := p.forecastForMoves(runs)
	for _, r := range runs {
		start, hasCapacity := f.earliest(1, r.demand, r.job.expectedTaskDuration)
		if !hasCapacity || !p.endsSoonerIfMoved(r, start) || !p.hasAlternative(r.job, r.upstream.ID) {
			continue
		}
		f.reserve(r.taskSet())
		r.job.tasks[r.id.Task.Index].moves++
		p.stopRun(r.run, ReasonLeaving)
	}
}

// forecastForMoves returns a forecast of the capacity that is left for moving the runs. The tasks
// of jobs that have begun and those that are being moved already go first.
func (p *Pool) forecastForMoves(runs []leavingRun) *forecast {
	largest := slices.MaxFunc(runs, func(a, b leavingRun) int { return cmp.Compare(a.demand.MilliCPU, b.demand.MilliCPU) })
	f := p.newForecast(largest.job.Service)
	f.addFree(p.countFitting(largest.job, len(runs)+p.waitingTasks+len(p.runsByTask)))
	f.reserveBegun(p.queue, nil)
	for _, r := range p.stoppingRuns() {
		f.reserve(r.taskSet())
	}
	return f
}

// taskSet returns the task of a run as a set of one task.
func (r *run) taskSet() taskSet {
	return taskSet{job: r.job, tasks: 1, demand: r.demand, duration: r.job.expectedTaskDuration}
}

// stoppingRuns returns the runs that are being stopped and whose tasks are still wanted.
func (p *Pool) stoppingRuns() []*run {
	var list []*run
	for _, u := range p.sortedUpstreams {
		for _, r := range sortedRuns(u) {
			if r.job != nil && (r.state == stopping || r.state == stopped) {
				list = append(list, r)
			}
		}
	}
	return list
}

// moveTime returns how long it takes at least to move a run, from the stop to the next start.
func (p *Pool) moveTime() time.Duration {
	return max(minMoveTime, responsesPerMove*p.responseTimeout)
}

// endsSoonerIfMoved reports whether the task of a run is expected to end sooner if the run is
// stopped now and the task starts again when capacity is free, at the time start, than if the run
// goes on. In that case it either ends before its upstream leaves, or starts again afterwards.
func (p *Pool) endsSoonerIfMoved(r leavingRun, start time.Time) bool {
	if earliest := p.now.Add(p.moveTime()); start.Before(earliest) {
		start = earliest
	}
	again := r.job.expectedTaskDuration
	moved := start.Add(again)
	if moved.After(r.job.offeredAt.Add(r.job.Timeout)) {
		return false // its customer will have left by then
	}
	leavesAt := r.upstream.LeavesAt
	chance := chanceToEndBy(leavesAt, p.now, r.end)
	end := r.end
	if end.After(leavesAt) {
		end = leavesAt // at the latest, if it ends in time
	}
	expected := end.Add(time.Duration((1 - chance) * float64(leavesAt.Add(again).Sub(end))))
	return moved.Before(expected)
}

// earlierLeaving returns the earlier of two times at which an upstream leaves. Zero times are
// unknown. An entry that was read late must not lengthen the time that is left.
func earlierLeaving(a, b time.Time) time.Time {
	if a.IsZero() || !b.IsZero() && b.Before(a) {
		return b
	}
	return a
}
