package schedule

import (
	"cmp"
	"math"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

const (
	// failuresAlone is how many jobs in a row must fail on an upstream that is
	// the only one for them before it is doubted.
	failuresAlone = 2
	// firstDoubt and longestDoubt bound how long a doubted upstream is left
	// alone before a trial; each failed trial doubles it.
	firstDoubt   = 500 * time.Millisecond
	longestDoubt = 2 * time.Second
)

// health is what is believed of an upstream's work.
type health struct {
	failures int // jobs that failed there first, without a success since
	doubted  bool
	pause    time.Duration
	until    time.Time // no trial before
}

// doubt leaves an upstream alone for a while.
func (p *Pool) doubt(u *upstream, reason string) {
	h := &u.health
	if h.doubted && p.now.Before(h.until) {
		return
	}
	h.pause = min(max(2*h.pause, firstDoubt), longestDoubt)
	h.doubted = true
	h.until = p.now.Add(h.pause)
	p.addDecision(Decision{Kind: DecidedEject, Upstream: u.ID, Reason: reason, Task: h.failures, Age: h.pause})
}

// blame takes a failed run: its upstream is doubted at once. Few jobs fail by
// their own fault, and one that fails on a second upstream acquits the first.
func (p *Pool) blame(r *run) {
	j, u := r.job, r.upstream
	if len(j.failedOn) == 0 {
		j.failureChargedTo = u
	}
	j.failedOn[u.ID] = true
	if j.failureChargedTo != u {
		p.acquit(j)
		return
	}
	u.health.failures++
	alone := !p.hasOther(j, u.ID) && u.health.failures < failuresAlone
	if !alone && p.cfg.Policy.DoubtFailing {
		p.doubt(u, "tasks fail")
	}
}

// acquit takes back the failure that an upstream was blamed for.
func (p *Pool) acquit(j *job) {
	u := j.failureChargedTo
	j.failureChargedTo = nil
	if u == nil {
		return
	}
	if u.health.failures--; u.health.failures <= 0 && u.health.doubted {
		p.trust(u)
	}
}

// trust takes a success.
func (p *Pool) trust(u *upstream) {
	if u.health.doubted {
		p.addDecision(Decision{Kind: DecidedReadmit, Upstream: u.ID})
	}
	u.health = health{}
}

const (
	// progressRise is the percent that a run must rise to count as moving.
	progressRise = 1
	// lookAfter is the age, as a share of the expected time, and at least
	// lookAtLeast, before a run's pace is judged.
	lookAfter   = 0.5
	lookAtLeast = 60 * time.Millisecond
	// slowFactor is how many times longer than expected a run has to be on
	// its way to take before it is moved.
	slowFactor = 3
	// moveCost is the least time that is added to the time that a move takes, and
	// moveAnswers how many answers it waits for: of the stop, of the report that
	// shows the run gone, of the next start.
	moveCost    = 60 * time.Millisecond
	moveAnswers = 3
	// stalledFor is how long a run's percent must stand still at least, and
	// stalledAnswers how many times longer than an answer may take: two reports
	// that come that far apart may have been made at the same moment.
	stalledFor     = 100 * time.Millisecond
	stalledAnswers = 3
	// maxMoves bounds how often one task is moved.
	maxMoves = 3
	// lossyShare is the share of reports that do not come from which on ends are
	// looked for: on a sound network it is near 0.
	lossyShare = 0.03
	// overdueLook is how often a report is asked for where an end is overdue.
	overdueLook = 50 * time.Millisecond
	// shortestReport bounds how often reports are asked for.
	shortestReport = 40 * time.Millisecond
)

// progressed takes what a report says of a run.
func (p *Pool) progressed(r *run, percent int) {
	if r.state == starting {
		r.state = running
		r.startAckedAt = p.now
	}
	r.reported = true
	if percent >= r.percent+progressRise {
		r.percentRoseAt = p.now
	}
	r.percent = percent
	r.percentAt = p.now
	if r.state == running {
		p.checkProgress(r)
	}
}

// checkProgress moves a run that stands still or crawls, if that pays.
func (p *Pool) checkProgress(r *run) {
	j := r.job
	if j == nil || !p.cfg.Policy.MoveSlow {
		return
	}
	t := j.tasks[r.id.Task.Index]
	age, expect := r.percentAt.Sub(r.orderedAt), r.expectedTotal()
	if t.moves >= maxMoves || r.percentAt == r.percentRoseAt && r.percent == 0 || age < lookAge(expect) {
		return
	}
	remaining := p.remaining(r, age)
	p.judge(r, age, remaining)
	stalled := p.stalls(r)
	if !stalled && age+remaining < slowFactor*expect {
		return
	}
	if remaining < expect*3/2+max(moveCost, moveAnswers*p.answerTimeout) {
		return
	}
	if !stalled && p.chooseBut(j, r.upstream.ID) == nil {
		return // nowhere to go: slow is better than waiting
	}
	t.moves++
	if p.cfg.Policy.DoubtSlow {
		p.doubt(r.upstream, "slow")
	}
	p.stop(r, "slow")
}

// judge learns the speed of an upstream from the pace of a run, once, before it
// has ended.
func (p *Pool) judge(r *run, age, remaining time.Duration) {
	if r.speedLearned || remaining == forever {
		return
	}
	r.speedLearned = true
	p.learnSpeed(r, age+remaining-r.began().Sub(r.orderedAt))
}

// lookAge is how old a run must be before its pace is judged.
func lookAge(expect time.Duration) time.Duration {
	return max(time.Duration(lookAfter*float64(expect)), lookAtLeast)
}

// forever stands for a time without an end.
const forever = time.Duration(math.MaxInt64 / 4)

// stalls reports whether a run has stood still.
func (p *Pool) stalls(r *run) bool {
	return r.percentAt.Sub(r.percentRoseAt) >= max(stalledFor, stalledAnswers*p.answerTimeout)
}

// remaining projects how much longer a run takes at its pace so far.
func (p *Pool) remaining(r *run, age time.Duration) time.Duration {
	if r.percent <= 0 || p.stalls(r) {
		return forever
	}
	return age * time.Duration(100-min(r.percent, 100)) / time.Duration(r.percent)
}

// reportWait is how long the next report of an upstream may wait for an end:
// until the first of its runs is old enough to be judged.
func (p *Pool) reportWait(u *upstream) time.Duration {
	wait := p.cfg.ReportWait
	for _, r := range u.runs {
		if r.job == nil {
			wait = shortestReport
			continue
		}
		age := p.now.Sub(r.orderedAt)
		due := lookAge(r.expectedTotal()) - age
		if due <= 0 {
			due = r.expectedTotal() / 2
		}
		wait = min(wait, due)
	}
	return max(wait, shortestReport)
}

// runTimes learns how long the tasks of one route take.
type runTimes struct {
	mean float64 // of the logarithm of seconds
	n    int
}

// learnWeight is the weight of a new time against those before.
const learnWeight = 0.02

func (p *Pool) timesOf(route string) *runTimes {
	t := p.durationsByRoute[route]
	if t == nil {
		t = &runTimes{}
		p.durationsByRoute[route] = t
	}
	return t
}

func (t *runTimes) learn(took time.Duration) {
	value := math.Log(max(took.Seconds(), 0.001))
	t.n++
	t.mean += (value - t.mean) * max(learnWeight, 1/float64(t.n))
}

// timesToTrust is how many times must have been seen before they count.
const timesToTrust = 10

// unknownEstimate is taken where neither the customer nor the past tells.
const unknownEstimate = 200 * time.Millisecond

// expect returns how long a task is expected to take: declared times are off by
// about as much as times differ, so that their geometric mean is best.
func (t *runTimes) expect(declared time.Duration) time.Duration {
	switch {
	case t.n < timesToTrust && declared > 0:
		return declared
	case t.n < timesToTrust:
		return unknownEstimate
	case declared <= 0:
		return time.Duration(math.Exp(t.mean) * float64(time.Second))
	}
	value := (math.Log(declared.Seconds()) + t.mean) / 2
	return time.Duration(math.Exp(value) * float64(time.Second))
}

// learn takes the time of one task of a job: the others are much like it.
func (j *job) learn(took time.Duration) {
	j.expectedTaskDuration = max(took, time.Millisecond)
}

func compareRuns(a, b fleet.Run) int {
	return cmp.Or(
		strings.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Repetition, b.Task.Repetition),
		cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number),
	)
}
