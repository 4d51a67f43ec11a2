package schedule

import (
	"cmp"
	"math"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

const (
	// minFailuresIfOnly is how many runs in a row must fail on an upstream before it is
	// ejected, if no other upstream could run the tasks. Otherwise one failure suffices.
	minFailuresIfOnly = 2
	// minEjection and maxEjection bound the length of an ejection, the time in which an
	// upstream gets no work. Then it gets a trial task; if that fails, the next ejection
	// is twice as long.
	minEjection = 500 * time.Millisecond
	maxEjection = 2 * time.Second
)

// health holds the failures of an upstream, and whether it is ejected. No task starts on an
// ejected upstream until ejectedUntil. After that a trial task shows whether the upstream
// works again.
type health struct {
	failures       int // failed runs that are charged to it since a task last succeeded there
	ejected        bool
	ejectionLength time.Duration // length of the last ejection
	ejectedUntil   time.Time
}

// eject ejects an upstream: it gets no work for some time. While an ejection lasts, a further
// call has no effect.
func (p *Pool) eject(u *upstream, reason string) {
	h := &u.health
	if h.ejected && p.now.Before(h.ejectedUntil) {
		return
	}
	h.ejectionLength = min(max(2*h.ejectionLength, minEjection), maxEjection)
	h.ejected = true
	h.ejectedUntil = p.now.Add(h.ejectionLength)
	p.addDecision(Decision{Kind: DecidedEject, Upstream: u.ID, Reason: reason, Task: h.failures, Age: h.ejectionLength})
}

// chargeFailure charges a failed run to its upstream and ejects the upstream at once, because
// few jobs fail through their own fault. If a task of the same job has failed on another
// upstream before, the fault is probably in the job: the failure is charged to neither of
// the two upstreams.
func (p *Pool) chargeFailure(r *run) {
	j, u := r.job, r.upstream
	if len(j.failedOn) == 0 {
		j.failureChargedTo = u
	}
	j.failedOn[u.ID] = true
	if j.failureChargedTo != u {
		p.undoCharge(j)
		return
	}
	u.health.failures++
	tolerated := !p.hasAlternative(j, u.ID) && u.health.failures < minFailuresIfOnly
	if !tolerated && p.cfg.Policy.DoubtFailing {
		p.eject(u, "tasks fail")
	}
}

// undoCharge cancels the failure of a job that was charged to an upstream, and readmits the
// upstream if no other failures are charged to it.
func (p *Pool) undoCharge(j *job) {
	u := j.failureChargedTo
	j.failureChargedTo = nil
	if u == nil {
		return
	}
	if u.health.failures--; u.health.failures <= 0 && u.health.ejected {
		p.resetHealth(u)
	}
}

// resetHealth clears the failures of an upstream and readmits it if it is ejected.
func (p *Pool) resetHealth(u *upstream) {
	if u.health.ejected {
		p.placementDue = true
		p.addDecision(Decision{Kind: DecidedReadmit, Upstream: u.ID})
	}
	u.health = health{}
}

const (
	// minPercentRise is by how many percentage points the progress of a run must rise from
	// one report to the next, or the run counts as making no progress.
	minPercentRise = 1
	// The pace of a run is checked once its age has reached paceCheckShare of its expected
	// duration, but not before minPaceCheckAge.
	paceCheckShare  = 0.5
	minPaceCheckAge = 60 * time.Millisecond
	// slowFactor is the ratio of projected to expected duration from which on a run is slow
	// enough to be moved to another upstream.
	slowFactor = 3
	// A move is assumed to cost responsesPerMove times the response timeout, but at least
	// minMoveTime: the responses to the stop, to the poll that shows that the run is gone,
	// and to the next start come one after the other.
	minMoveTime      = 60 * time.Millisecond
	responsesPerMove = 3
	// A run counts as stalled after stallResponseFactor times the response timeout without
	// progress, but not before minStall. Without the first limit slow responses would look
	// like a stall: two reports that were made at the same moment may arrive far apart.
	minStall            = 100 * time.Millisecond
	stallResponseFactor = 3
	// maxMoves limits how often one task is moved.
	maxMoves = 3
	// lossyMissRate is the share of missing reports from which on upstreams are polled for
	// runs that should have ended. On a network that works the share is close to 0.
	lossyMissRate = 0.03
	// overduePollInterval is the shortest interval between such polls of one upstream.
	overduePollInterval = 50 * time.Millisecond
	// minReportWait is the smallest result of reportWait, the time by which an upstream may
	// delay a report. It limits how often reports are requested, because the next one is
	// requested as soon as a report has come.
	minReportWait = 40 * time.Millisecond
)

// recordProgress records the progress of a run from a report.
func (p *Pool) recordProgress(r *run, percent int) {
	if r.state == starting {
		r.state = running
		r.startAckedAt = p.now
	}
	r.reported = true
	if percent >= r.percent+minPercentRise {
		r.percentRoseAt = p.now
	}
	r.percent = percent
	r.percentAt = p.now
	if r.state == running {
		p.checkProgress(r)
	}
}

// checkProgress stops a run that is stalled or very slow if its task is expected to finish
// sooner on another upstream. The task then starts there.
func (p *Pool) checkProgress(r *run) {
	j := r.job
	if j == nil || !p.cfg.Policy.MoveSlow {
		return
	}
	t := j.tasks[r.id.Task.Index]
	age, expected := r.percentAt.Sub(r.orderedAt), r.expectedTotal()
	if t.moves >= maxMoves || r.percentAt == r.percentRoseAt && r.percent == 0 || age < paceCheckAge(expected) {
		return
	}
	remaining := p.remainingTime(r, age)
	p.learnSlowdownFromPace(r, age, remaining)
	stalled := p.isStalled(r)
	if !stalled && age+remaining < slowFactor*expected {
		return
	}
	other, elsewhere := p.chooseExcept(j, r.upstream.ID), expected
	switch {
	case other != nil && p.unevenSpeeds:
		elsewhere = p.durationOn(j, other)
	case other == nil && !stalled:
		return // no other upstream has capacity, and a slow run is better than waiting
	}
	if remaining < elsewhere*3/2+max(minMoveTime, responsesPerMove*p.responseTimeout) {
		return
	}
	t.moves++
	if p.cfg.Policy.DoubtSlow {
		p.eject(r.upstream, "slow")
	}
	p.stopRun(r, "slow")
}

// learnSlowdownFromPace updates the slowdown of an upstream from the projected duration of a
// run that is still executing. It does so only once for each run.
func (p *Pool) learnSlowdownFromPace(r *run, age, remaining time.Duration) {
	if r.slowdownLearned || remaining == forever {
		return
	}
	r.slowdownLearned = true
	p.learnSlowdown(r, age+remaining-r.startedAt().Sub(r.orderedAt))
}

// paceCheckAge returns the age from which on the pace of a run with the given expected
// duration is checked.
func paceCheckAge(expected time.Duration) time.Duration {
	return max(time.Duration(paceCheckShare*float64(expected)), minPaceCheckAge)
}

// forever is the projected duration of a run without progress.
const forever = time.Duration(math.MaxInt64 / 4)

// isStalled reports whether a run has made no progress for so long that it counts as stalled.
func (p *Pool) isStalled(r *run) bool {
	return r.percentAt.Sub(r.percentRoseAt) >= max(minStall, stallResponseFactor*p.responseTimeout)
}

// remainingTime returns how much longer a run of the given age takes if it keeps its pace. It
// returns forever for a run that has made no progress or is stalled.
func (p *Pool) remainingTime(r *run, age time.Duration) time.Duration {
	if r.percent <= 0 || p.isStalled(r) {
		return forever
	}
	return age * time.Duration(100-min(r.percent, 100)) / time.Duration(r.percent)
}

// reportWait returns how long an upstream may delay its next report until a run ends. The
// report must come in time for the next check of the pace of a run, and soon if a run is
// being stopped.
func (p *Pool) reportWait(u *upstream) time.Duration {
	wait := p.cfg.ReportWait
	for _, r := range sortedRuns(u) {
		if r.job == nil {
			wait = minReportWait
			continue
		}
		age := p.now.Sub(r.orderedAt)
		due := paceCheckAge(r.expectedTotal()) - age
		if due <= 0 {
			due = r.expectedTotal() / 2
		}
		wait = min(wait, due)
	}
	return max(wait, minReportWait)
}

// taskDurations holds the moving average of the measured durations of one route's tasks.
type taskDurations struct {
	meanLog float64 // mean of the logarithms of the durations in seconds
	n       int     // number of durations measured so far
}

// durationWeight is the weight of a new duration in the moving average. The first durations
// have a larger weight, so that the average starts as that of all of them.
const durationWeight = 0.02

func (p *Pool) durationsOf(route string) *taskDurations {
	t := p.durationsByRoute[route]
	if t == nil {
		t = &taskDurations{}
		p.durationsByRoute[route] = t
	}
	return t
}

func (t *taskDurations) add(took time.Duration) {
	value := math.Log(max(took.Seconds(), 0.001))
	t.n++
	t.meanLog += (value - t.meanLog) * max(durationWeight, 1/float64(t.n))
}

// minDurations is how many durations must have been measured before their average is used.
const minDurations = 10

// defaultTaskDuration is the expected duration of a task if the customer has declared none
// and fewer than minDurations have been measured.
const defaultTaskDuration = 200 * time.Millisecond

// estimate returns how long a task with the declared duration is expected to take. The
// errors of declared durations are about as large as the differences between measured ones,
// so the geometric mean of the two is the best estimate.
func (t *taskDurations) estimate(declared time.Duration) time.Duration {
	switch {
	case t.n < minDurations && declared > 0:
		return declared
	case t.n < minDurations:
		return defaultTaskDuration
	case declared <= 0:
		return time.Duration(math.Exp(t.meanLog) * float64(time.Second))
	}
	value := (math.Log(declared.Seconds()) + t.meanLog) / 2
	return time.Duration(math.Exp(value) * float64(time.Second))
}

// learnDuration sets the expected duration of a job's tasks to that of a completed task,
// because the tasks of a job are much alike.
func (j *job) learnDuration(took time.Duration) {
	j.expectedTaskDuration = max(took, time.Millisecond)
}

func compareRuns(a, b fleet.Run) int {
	return cmp.Or(
		strings.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Repetition, b.Task.Repetition),
		cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number),
	)
}
