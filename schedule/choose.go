package schedule

import (
	"math"
	"slices"
	"time"
)

// maxFreeMilliCPU returns the largest free CPU capacity of a single usable upstream, in
// thousandths of a core. It returns -1 if no upstream is usable, so that not even a task without
// CPU demand can start.
func (p *Pool) maxFreeMilliCPU() int64 {
	most := int64(-1)
	for _, u := range p.sortedUpstreams {
		if left := u.Capacity.MilliCPU - u.used.MilliCPU; left > most && p.usable(u, p.now) {
			most = left
		}
	}
	return most
}

// countFitting returns how many tasks of a job could start now, but at most limit. It counts
// tasks on second choices (see choose) only if the job would still finish in time there or no
// first choice is large enough.
func (p *Pool) countFitting(j *job, limit int) int {
	n, slow := 0, 0
	maxSpeed := 0.0 // not computed yet
	for _, u := range p.sortedUpstreams {
		if !p.hasFree(j, u) {
			continue
		}
		fitting := p.countFittingOn(j, u, limit)
		factor, speed := p.slowdownFactorFor(j, u), u.speed.factor()
		switch {
		case factor > 1 && p.finishesInTime(j, factor*speed):
			n += fitting
		case factor > 1:
			slow += fitting
		default:
			if maxSpeed == 0 {
				maxSpeed = p.maxSpeedFactor(j, "")
			}
			if speed > maxSpeed {
				continue
			}
			n += fitting
		}
	}
	if slow > 0 && n < limit && !p.hasFirstChoice(j, "") {
		n += slow
	}
	return min(n, limit)
}

// hasFree reports whether a task of a job fits into the free capacity of an upstream on which it
// may start now.
func (p *Pool) hasFree(j *job, u *upstream) bool {
	return u.Service == j.Service && j.Demand.Within(u.Capacity.Minus(u.used)) && p.usable(u, p.now)
}

// hasFirstChoice reports whether any usable upstream other than except that is large enough for a
// task of j is first choice (see choose).
func (p *Pool) hasFirstChoice(j *job, except string) bool {
	return slices.ContainsFunc(p.sortedUpstreams, func(u *upstream) bool {
		return u.ID != except && u.Service == j.Service && j.Demand.Within(u.Capacity) && p.usable(u, p.now) && p.slowdownFactorFor(j, u) == 1
	})
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
// An upstream is second choice if the task takes longer there, because the upstream is slow at the
// moment or not in the rack of the data. All others are first choice, unless the job would be late
// on them because of their lasting speed (see maxSpeedFactor).
//   - Of the first choices with enough free capacity, choose returns the fastest for good, and of
//     equally fast ones the one on which the task would leave the least CPU capacity free.
//   - If there is none, choose returns the fastest second choice with enough free capacity,
//     but only if the job would still finish in time there or no first choice is large enough.
func (p *Pool) choose(j *job) *upstream { return p.chooseExcept(j, "") }

// chooseExcept is like choose, but does not choose the upstream except.
func (p *Pool) chooseExcept(j *job, except string) *upstream {
	var best, slow *upstream
	var leastLeft int64
	lowestFactor := 0.0
	for _, u := range p.sortedUpstreams {
		if !p.hasFree(j, u) || u.ID == except || remainingPerUpstream(j, u, 1) == 0 {
			continue
		}
		factor, speed := p.slowdownFactorFor(j, u), u.speed.factor()
		leftAfter := u.Capacity.MilliCPU - u.used.MilliCPU - j.Demand.MilliCPU
		switch {
		case factor > 1 && (slow == nil || factor*speed < lowestFactor):
			slow, lowestFactor = u, factor*speed
		case factor > 1:
		case best == nil,
			speed < best.speed.factor(),
			speed == best.speed.factor() && leftAfter < leastLeft:
			best, leastLeft = u, leftAfter
		}
	}
	if best != nil && best.speed.factor() > p.maxSpeedFactor(j, except) {
		best = nil // and all others with enough free capacity are no faster
	}
	if best == nil && slow != nil && (p.finishesInTime(j, lowestFactor) || !p.hasFirstChoice(j, except)) {
		return slow
	}
	return best
}

// speedMargin is the share of the time until its deadline within which a task must be expected to
// finish on an upstream of lasting speed. It is below 1 because expected durations are off by about
// 30%.
const speedMargin = 0.8

// anySpeed is the result of maxSpeedFactor if a task may start on upstreams of any speed.
const anySpeed = math.MaxFloat64

// maxSpeedFactor returns the largest lasting factor of an upstream on which a job would still meet
// its latency objective, if a task of it started there now. It returns anySpeed if no upstream on
// which the job would meet it is going to have capacity in time: then the job does not wait. It
// does not consider the upstream except.
func (p *Pool) maxSpeedFactor(j *job, except string) float64 {
	if !p.unevenSpeeds {
		return anySpeed
	}
	untilDeadline := j.submittedAt().Add(j.objective()).Sub(p.now)
	duration := longestTaskFactor * float64(j.expectedTaskDuration)
	largest := speedMargin * float64(untilDeadline) / duration
	for _, u := range p.sortedUpstreams {
		if u.ID == except || u.Service != j.Service || u.speed.factor() > largest || !p.usable(u, p.now) || !j.Demand.Within(u.Capacity) || p.slowdownFactorFor(j, u) > 1 {
			continue
		}
		wait := time.Duration(float64(untilDeadline) - u.speed.factor()*duration)
		if p.countFittingOn(j, u, 1) > 0 || p.freesWithin(u, wait) {
			return largest
		}
	}
	return anySpeed
}

// freesWithin reports whether a run on an upstream is expected to end within a time from now.
func (p *Pool) freesWithin(u *upstream, wait time.Duration) bool {
	for _, r := range sortedRuns(u) {
		if r.expectedEnd(p.now).Sub(p.now) < wait {
			return true
		}
	}
	return false
}

// finishesInTime reports whether a job would meet its objective if a task of it started now on
// an upstream where tasks take factor times as long as expected.
func (p *Pool) finishesInTime(j *job, factor float64) bool {
	return p.finishesInTimeFrom(p.now, j, factor)
}

// finishesInTimeFrom is like finishesInTime for a task that starts at the given time.
func (p *Pool) finishesInTimeFrom(start time.Time, j *job, factor float64) bool {
	end := start.Add(scaled(j.expectedTaskDuration, factor*longestTaskFactor))
	return end.Before(j.submittedAt().Add(j.objective()))
}

// usable reports whether a task may start on an upstream now, ignoring its free capacity.
func (p *Pool) usable(u *upstream, now time.Time) bool {
	switch {
	case !u.accepted, u.silent, u.entryPending, u.formerOwnerRuns > 0, !p.acceptsStarts(u), u.renewalBlocked, !p.hasRecentReport(u):
		return false
	case u.health.ejected:
		return now.After(u.health.ejectedUntil) && (len(u.runs) == 0 || !p.cfg.Policy.SingleTrial)
	default:
		return true
	}
}
