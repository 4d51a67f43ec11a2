package schedule

import (
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
)

// HandleStartResponse takes the answer to a start that was ordered of a life.
func (p *Pool) HandleStartResponse(now time.Time, of fleet.UpstreamIncarnation, id fleet.Run, refusal fleet.Refusal, err error) Effects {
	return p.handle(now, func() {
		u := p.upstreams[of.ID]
		if u == nil || u.runs[id] == nil {
			return // it has ended by now
		}
		r := u.runs[id]
		switch {
		case err != nil && of.StartedUnixMs < u.StartedUnixMs:
			// It says nothing of this life, in which the run is being stopped.
		case failure.Is(err, failure.Gone):
			p.gone(u, "another life answers")
		case err != nil:
			p.stop(r, "start without answer")
		case refusal == fleet.NotRefused:
			u.missedReports = 0
			r.startAckedAt = now
			if r.state == starting {
				r.state = running
				r.percentRoseAt, r.percentAt = now, now
			}
		default:
			p.refused(r, refusal)
		}
	})
}

// refused takes a start that certainly did not happen.
func (p *Pool) refused(r *run, refusal fleet.Refusal) {
	u := r.upstream
	p.remove(r)
	if refusal == fleet.RefusedFence {
		p.fenced(u)
		p.lose(r)
		return
	}
	if r.job != nil {
		t := r.job.tasks[r.id.Task.Index]
		switch refusal {
		case fleet.RefusedOldRun:
			t.lastRun += runNumberStep
		case fleet.RefusedUnhealthy, fleet.RefusedNoRoom, fleet.RefusedInvalid:
			if p.cfg.Policy.DoubtRefusing {
				p.eject(u, string(refusal))
			}
		}
	}
	p.again(r, "refused: "+string(refusal))
}

// lose ends the job of a run whose fate this pool cannot learn.
func (p *Pool) lose(r *run) {
	if r.job != nil && p.jobs[r.job.Key] == r.job {
		p.endJob(r.job, Unknown)
	}
}

// loseBlocked ends the jobs that a run keeps back of which nothing more will be known.
func (p *Pool) loseBlocked(ref fleet.TaskRef) {
	for _, j := range slices.Clone(p.jobsByID[ref.Job]) {
		if t := j.tasks[ref.Index]; t != nil && t.state == blocked {
			p.endJob(j, Unknown)
		}
	}
}

// HandleStopResponse takes the answer to a stop that was ordered of a life.
func (p *Pool) HandleStopResponse(now time.Time, of fleet.UpstreamIncarnation, id fleet.Run, err error) Effects {
	return p.handle(now, func() {
		u := p.current(of, 0)
		if u == nil || u.runs[id] == nil {
			return
		}
		r := u.runs[id]
		switch {
		case err == nil:
			u.missedReports = 0
			r.state = stopped
			r.stopAckedAt, r.polledAt = now, now
			p.effects.Polls = append(p.effects.Polls, u.ID)
		case failure.Is(err, failure.Gone):
			p.gone(u, "another life answers")
		case failure.Is(err, failure.Conflict):
			p.fenced(u)
		}
	})
}

// HoldOrder returns the next order that renews an upstream's lease and asks for
// its report, and whether the upstream still belongs to the pool. A silent
// upstream is only asked: its leases must run out.
func (p *Pool) HoldOrder(now time.Time, upstreamID string) (fleet.Upstream, fleet.HoldOrder, bool) {
	u := p.upstreams[upstreamID]
	if u == nil {
		return fleet.Upstream{}, fleet.HoldOrder{}, false
	}
	p.now = now
	o := fleet.HoldOrder{Token: p.token, AckedSequence: p.seenEnds(u)}
	// Runs of a former owner are over at the latest with the leases that it granted.
	if u.accepted && !u.silent && u.foreignRuns == 0 && p.mayRenewLeases(u) {
		o.LeaseUntilMs = p.grant(u)
	}
	if u.accepted && u.missedReports == 0 {
		o.WaitMs = p.reportWait(u).Milliseconds()
	}
	return u.Upstream, o, true
}

// seenEnds returns up to which end an upstream may forget its ends: none while another
// life may answer, which counts its own anew and would forget ends that nobody has seen.
// A process that goes down leaves a call without an answer, unless this one stood still
// meanwhile.
func (p *Pool) seenEnds(u *upstream) uint64 {
	if u.missedReports > 0 || !p.heardLately(u) {
		return 0
	}
	return u.lastEndSequence
}

// PollOrder returns an order that asks for a report at once.
func (p *Pool) PollOrder(now time.Time, upstreamID string) (fleet.Upstream, fleet.HoldOrder, bool) {
	u := p.upstreams[upstreamID]
	if u == nil {
		return fleet.Upstream{}, fleet.HoldOrder{}, false
	}
	p.now = now
	return u.Upstream, fleet.HoldOrder{Token: p.token, AckedSequence: p.seenEnds(u)}, true
}

// HandleHoldResponse takes the answer to a hold or a look that was sent to a life at a time.
func (p *Pool) HandleHoldResponse(now time.Time, to fleet.UpstreamIncarnation, sent time.Time, report fleet.Report, err error) Effects {
	return p.handle(now, func() {
		u := p.current(to, report.StartedUnixMs)
		switch {
		case u == nil:
		case failure.Is(err, failure.Gone):
			p.gone(u, "another life answers")
		case failure.Is(err, failure.Conflict):
			p.fenced(u)
		case err != nil:
			p.missed(u)
		default:
			p.reported(u, sent, report)
		}
	})
}

func (p *Pool) missed(u *upstream) {
	u.missedReports++
	p.missRate.record(true)
	if u.silent || u.missedReports < p.missesToSilent() {
		return
	}
	u.silent = true
	p.addDecision(Decision{Kind: DecidedSilent, Upstream: u.ID, Task: len(u.runs), Age: p.now.Sub(u.clockReadAt)})
}

// missesToSilent is how many reports in a row must not come before an upstream
// counts as silent.
func (p *Pool) missesToSilent() int {
	if !p.cfg.Policy.ComparePeers {
		return minMisses
	}
	return p.missRate.missesToSilent()
}

func (p *Pool) reported(u *upstream, sent time.Time, report fleet.Report) {
	if u.silent {
		p.addDecision(Decision{Kind: DecidedResponding, Upstream: u.ID, Age: p.now.Sub(u.clockReadAt)})
		p.crashHistory.retract(u.suspectedTasks)
		u.suspectedTasks = nil
	}
	u.missedReports, u.silent = 0, false
	p.missRate.record(false)
	u.clockMs, u.clockReadAt = report.ClockMs, p.now
	for _, e := range report.Ended {
		if e.Sequence > u.lastEndSequence {
			u.lastEndSequence = e.Sequence
			p.ended(u, e)
		}
	}
	if sent.Before(u.reportRequestedAt) {
		return // a newer report has been read
	}
	u.reportRequestedAt = sent
	p.readRunning(u, sent, report.Running)
	u.accepted = true
	p.everAccepted = true
}

// readRunning compares what an upstream runs with the books.
func (p *Pool) readRunning(u *upstream, sent time.Time, list []fleet.RunningTask) {
	listed := make(map[fleet.Run]bool, len(list))
	for _, t := range list {
		listed[t.Run] = true
		r := u.runs[t.Run]
		if r == nil {
			p.found(u, t.Run)
			continue
		}
		p.recordProgress(r, t.Percent)
	}
	for _, r := range sortedRuns(u) {
		if listed[r.id] {
			continue
		}
		switch {
		case r.state == stopped && sent.After(r.stopAckedAt):
			u.leaveUnresolved(r)
			p.remove(r)
			p.again(r, "stopped")
		case r.state == running && sent.After(r.startAckedAt):
			p.remove(r)
			p.again(r, "vanished")
		}
	}
}

// sortedRuns returns the runs of an upstream in a fixed order.
func sortedRuns(u *upstream) []*run {
	list := make([]*run, 0, len(u.runs))
	for _, r := range u.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return compareRuns(a.id, b.id) })
	return list
}

// found takes a run that nobody here ordered: one of an owner before. It is
// stopped, and nothing starts on the upstream until it is gone.
func (p *Pool) found(u *upstream, id fleet.Run) {
	if slices.Contains(u.recentEnds, id) {
		return
	}
	r := &run{id: id, upstream: u, foreign: true, state: running, orderedAt: p.now, startAckedAt: p.now, percentRoseAt: p.now, percentAt: p.now}
	p.add(r)
	p.stop(r, "started by a former owner")
}

// ended takes one end of a run.
func (p *Pool) ended(u *upstream, e fleet.EndedRun) {
	u.recentEnds = append(u.recentEnds, e.Run)
	if len(u.recentEnds) > maxRecentEnds {
		u.recentEnds = u.recentEnds[1:]
	}
	r := u.runs[e.Run]
	if r == nil {
		return
	}
	p.remove(r)
	if r.job == nil {
		return
	}
	switch e.End {
	case fleet.EndDone:
		p.done(r)
	case fleet.EndFailed:
		p.failed(r)
	default:
		p.again(r, string(e.End))
	}
}

func (p *Pool) done(r *run) {
	j := r.job
	t := j.tasks[r.id.Task.Index]
	p.setTaskState(j, t, ended)
	j.unfinished--
	j.done = append(j.done, t.index)
	took := p.now.Sub(r.orderedAt)
	p.learnSlowdown(r, p.now.Sub(r.startedAt()))
	if p.cfg.Policy.LearnTimes {
		p.durationsOf(j.Route).add(r.toLocal(took))
	}
	if p.cfg.Policy.LearnJob {
		j.learnDuration(r.toLocal(took))
	}
	p.resetHealth(r.upstream)
	if j.unfinished == 0 {
		p.removeJob(j)
		p.addResult(j, Completed, nil)
	}
}

func (p *Pool) failed(r *run) {
	j := r.job
	t := j.tasks[r.id.Task.Index]
	t.failedRuns++
	p.chargeFailure(r)
	if t.failedRuns >= j.MaxAttempts {
		p.endJob(j, Failed)
		return
	}
	p.again(r, "failed")
}

// gone takes the end of an upstream's life: nothing of it runs.
func (p *Pool) gone(u *upstream, reason string) {
	p.addDecision(Decision{Kind: DecidedGone, Upstream: u.ID, Task: len(u.runs), Reason: reason})
	runs := sortedRuns(u)
	suspects := p.recordCrash(u, runs)
	p.drop(u)
	for _, r := range runs {
		p.remove(r)
		p.again(r, "upstream gone")
	}
	p.endCrashingJobs(suspects)
}

// fenced takes the news that another owner has an upstream. What becomes of
// the runs there is not known here.
func (p *Pool) fenced(u *upstream) {
	if p.upstreams[u.ID] != u {
		return
	}
	p.addDecision(Decision{Kind: DecidedFenced, Upstream: u.ID, Task: len(u.runs)})
	if len(p.fencedIDs) == 0 {
		p.fencedAt = p.now
	}
	p.fencedIDs[u.ID] = true
	p.drop(u)
	for _, r := range sortedRuns(u) {
		p.loseBlocked(r.id.Task)
		p.remove(r)
		p.lose(r)
	}
}

func (p *Pool) drop(u *upstream) {
	delete(p.upstreams, u.ID)
	p.sortedUpstreams = slices.DeleteFunc(p.sortedUpstreams, func(o *upstream) bool { return o == u })
}
