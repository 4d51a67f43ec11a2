package schedule

import (
	"cmp"
	"math"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

const (
	// minFailuresIfOnly is how many jobs in a row must fail on an upstream before it is
	// ejected if no other upstream could run them.
	minFailuresIfOnly = 2
	// minEjection and maxEjection bound how long an ejected upstream gets no work before
	// a trial task. Each failed trial doubles the time.
	minEjection = 500 * time.Millisecond
	maxEjection = 2 * time.Second
)

// health holds the failures of an upstream, and whether it is ejected: no task starts on
// it until ejectedUntil, and a trial task then shows whether it works again.
type health struct {
	failures       int // jobs that failed on it first, since its last success
	ejected        bool
	ejectionLength time.Duration // length of the last ejection
	ejectedUntil   time.Time
}

// eject stops giving work to an upstream for some time. It has no effect while an
// ejection lasts.
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

// chargeFailure counts a failed run against its upstream and ejects the upstream at once,
// because few jobs fail through their own fault. If a task of the job fails on a second
// upstream, the failure of the first is not counted any more.
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

// undoCharge takes back the failure that a job counted against an upstream, and readmits
// the upstream if it has no other failures.
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
		p.addDecision(Decision{Kind: DecidedReadmit, Upstream: u.ID})
	}
	u.health = health{}
}

const (
	// minPercentRise is by how many percentage points the progress of a run must rise
	// between two reports to count as an advance.
	minPercentRise = 1
	// paceCheckShare is the age from which on the pace of a run is checked, as a share of
	// its expected duration, and minPaceCheckAge is the least such age.
	paceCheckShare  = 0.5
	minPaceCheckAge = 60 * time.Millisecond
	// slowFactor is how many times longer than expected a run must be projected to take
	// before it is moved to another upstream.
	slowFactor = 3
	// minMoveTime is the least time that a move is assumed to cost, and answersPerMove is
	// how many answers it waits for: to the stop, to the poll that shows that the run is
	// gone, and to the next start.
	minMoveTime    = 60 * time.Millisecond
	answersPerMove = 3
	// minStall is the least time without progress after which a run counts as stalled.
	// It must also be stallAnswerFactor times as long as an answer may take, since two
	// reports may arrive that far apart although they were made at the same moment.
	minStall          = 100 * time.Millisecond
	stallAnswerFactor = 3
	// maxMoves limits how often one task is moved.
	maxMoves = 3
	// lossyMissRate is the share of missing reports from which on upstreams are polled
	// for overdue ends. On a sound network the share is close to 0.
	lossyMissRate = 0.03
	// overduePollInterval is the shortest interval of such polls to one upstream.
	overduePollInterval = 50 * time.Millisecond
	// minReportWait is the shortest time that an upstream may hold back a report; it
	// limits how often reports are requested.
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

// checkProgress stops a run that is stalled or very slow, so that its task moves to
// another upstream, if the task is expected to finish sooner there.
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
	if remaining < expected*3/2+max(minMoveTime, answersPerMove*p.answerTimeout) {
		return
	}
	if !stalled && p.chooseExcept(j, r.upstream.ID) == nil {
		return // no other upstream has capacity, and a slow run is better than waiting
	}
	t.moves++
	if p.cfg.Policy.DoubtSlow {
		p.eject(r.upstream, "slow")
	}
	p.stopRun(r, "slow")
}

// learnSlowdownFromPace updates the slowdown of an upstream from the projected duration of a
// run that has not ended. It does so once per run.
func (p *Pool) learnSlowdownFromPace(r *run, age, remaining time.Duration) {
	if r.slowdownLearned || remaining == forever {
		return
	}
	r.slowdownLearned = true
	p.learnSlowdown(r, age+remaining-r.startedAt().Sub(r.orderedAt))
}

// paceCheckAge returns the age from which on the pace of a run is checked.
func paceCheckAge(expected time.Duration) time.Duration {
	return max(time.Duration(paceCheckShare*float64(expected)), minPaceCheckAge)
}

// forever is the projected duration of a run without progress.
const forever = time.Duration(math.MaxInt64 / 4)

// isStalled reports whether a run has made no progress for too long.
func (p *Pool) isStalled(r *run) bool {
	return r.percentAt.Sub(r.percentRoseAt) >= max(minStall, stallAnswerFactor*p.answerTimeout)
}

// remainingTime returns how much longer a run takes at its pace so far.
func (p *Pool) remainingTime(r *run, age time.Duration) time.Duration {
	if r.percent <= 0 || p.isStalled(r) {
		return forever
	}
	return age * time.Duration(100-min(r.percent, 100)) / time.Duration(r.percent)
}

// reportWait returns how long an upstream may hold back its next report until a run ends:
// at most until the pace of one of its runs is to be checked.
func (p *Pool) reportWait(u *upstream) time.Duration {
	wait := p.cfg.ReportWait
	for _, r := range u.runs {
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

// taskDurations is a moving average of how long the tasks of one route take.
type taskDurations struct {
	meanLog float64 // mean of the logarithms of the durations in seconds
	n       int     // durations so far
}

// durationWeight is the weight of a new duration in the moving average.
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

// minDurations is the number of durations from which on their average is used.
const minDurations = 10

// defaultTaskDuration is the expected duration of a task if the customer has declared none
// and there are too few measured ones.
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

// learnDuration sets the expected duration of a job's tasks to that of a completed one: the
// tasks of a job are much alike.
func (j *job) learnDuration(took time.Duration) {
	j.expectedTaskDuration = max(took, time.Millisecond)
}

func compareRuns(a, b fleet.Run) int {
	return cmp.Or(
		strings.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Repetition, b.Task.Repetition),
		cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number),
	)
}
