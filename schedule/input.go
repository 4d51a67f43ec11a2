package schedule

import (
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
)

// HandleStartResponse handles the response to a start, or the error if there was none. The
// start was sent to the incarnation called.
func (p *Pool) HandleStartResponse(now time.Time, called fleet.UpstreamIncarnation, id fleet.Run, refusal fleet.Refusal, err error) Effects {
	return p.handle(now, func() {
		u := p.upstreams[called.ID]
		if u == nil || u.runs[id] == nil {
			return // the run has ended meanwhile
		}
		r := u.runs[id]
		switch {
		case err != nil && called.StartedUnixMs < u.StartedUnixMs:
			// The call went to a former incarnation. Its failure says nothing about the
			// present one, where the run is being stopped already.
		case failure.Is(err, failure.Gone):
			p.handleGone(u, "another life answers")
		case err != nil:
			p.stopRun(r, "start without answer")
		case refusal == fleet.NotRefused:
			u.missedReports = 0
			r.startAckedAt = now
			if r.state == starting {
				r.state = running
				r.percentRoseAt, r.percentAt = now, now
			}
		default:
			p.handleRefusal(r, refusal)
		}
	})
}

// handleRefusal handles the refusal of a start. The run has certainly not started.
func (p *Pool) handleRefusal(r *run, refusal fleet.Refusal) {
	u := r.upstream
	p.untrackRun(r)
	if refusal == fleet.RefusedFence {
		p.handleFenced(u)
		p.endAsUnknown(r)
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
	p.requeue(r, "refused: "+string(refusal))
}

// endAsUnknown ends the job of a run with the outcome Unknown, because this pool cannot learn
// how the run ends.
func (p *Pool) endAsUnknown(r *run) {
	if r.job != nil && p.jobs[r.job.Key] == r.job {
		p.endJob(r.job, Unknown)
	}
}

// endBlockedAsUnknown ends the offers in which the task ref is blocked with the outcome
// Unknown, because this pool cannot learn when the run that blocks the task ends.
func (p *Pool) endBlockedAsUnknown(ref fleet.TaskRef) {
	for _, j := range slices.Clone(p.jobsByID[ref.Job]) {
		if t := j.tasks[ref.Index]; t != nil && t.state == blocked {
			p.endJob(j, Unknown)
		}
	}
}

// HandleStopResponse handles the response to a stop, or the error if there was none. The stop
// was sent to the incarnation called.
func (p *Pool) HandleStopResponse(now time.Time, called fleet.UpstreamIncarnation, id fleet.Run, err error) Effects {
	return p.handle(now, func() {
		u := p.currentUpstream(called, 0)
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
			p.handleGone(u, "another life answers")
		case failure.Is(err, failure.Conflict):
			p.handleFenced(u)
		}
	})
}

// HoldOrder returns an order that renews the leases of an upstream and requests its next
// report. The caller sends one such order after the other. HoldOrder also reports whether the
// upstream still belongs to the pool. The order for a silent upstream renews nothing, because
// its leases must lapse before its tasks can start elsewhere.
func (p *Pool) HoldOrder(now time.Time, upstreamID string) (fleet.Upstream, fleet.HoldOrder, bool) {
	u := p.upstreams[upstreamID]
	if u == nil {
		return fleet.Upstream{}, fleet.HoldOrder{}, false
	}
	p.now = now
	o := fleet.HoldOrder{Token: p.token, AckedSequence: p.ackedSequence(u)}
	// Leases are not renewed for runs that a former owner ordered, so that these end at
	// the latest when the leases that it granted lapse.
	if u.accepted && !u.silent && u.formerOwnerRuns == 0 && p.mayRenewLeases(u) {
		o.LeaseUntilMs = p.grantLease(u)
	}
	if u.accepted && u.missedReports == 0 {
		o.WaitMs = p.reportWait(u).Milliseconds()
	}
	return u.Upstream, o, true
}

// ackedSequence returns the sequence number up to which an upstream may forget the ends of
// its runs. It returns 0, so that nothing is forgotten, if a new incarnation may receive the
// order: that one numbers its ends from 1 again, and would forget ends that it has not
// reported yet.
//
// A restart leaves a call without a response, which shows as a missed report. A restart during
// a pause of this process may go unnoticed, but then the last report is not recent.
func (p *Pool) ackedSequence(u *upstream) uint64 {
	if u.missedReports > 0 || !p.hasRecentReport(u) {
		return 0
	}
	return u.lastEndSequence
}

// PollOrder returns an order that requests a report at once, in addition to those that
// HoldOrder requests, and renews no leases. It also reports whether the upstream still
// belongs to the pool.
func (p *Pool) PollOrder(now time.Time, upstreamID string) (fleet.Upstream, fleet.HoldOrder, bool) {
	u := p.upstreams[upstreamID]
	if u == nil {
		return fleet.Upstream{}, fleet.HoldOrder{}, false
	}
	p.now = now
	return u.Upstream, fleet.HoldOrder{Token: p.token, AckedSequence: p.ackedSequence(u)}, true
}

// HandleHoldResponse handles the report that was requested by an order of HoldOrder or
// PollOrder, or the error if none came. The order was sent to the incarnation called, at the
// time sent.
func (p *Pool) HandleHoldResponse(now time.Time, called fleet.UpstreamIncarnation, sent time.Time, report fleet.Report, err error) Effects {
	return p.handle(now, func() {
		u := p.currentUpstream(called, report.StartedUnixMs)
		switch {
		case u == nil:
		case failure.Is(err, failure.Gone):
			p.handleGone(u, "another life answers")
		case failure.Is(err, failure.Conflict):
			p.handleFenced(u)
		case err != nil:
			p.recordMiss(u)
		default:
			p.handleReport(u, sent, report)
		}
	})
}

// recordMiss counts a missing report. After several in a row the upstream becomes silent.
func (p *Pool) recordMiss(u *upstream) {
	u.missedReports++
	p.missRate.record(true)
	if u.silent || u.missedReports < p.maxMissedReports() {
		return
	}
	u.silent = true
	p.addDecision(Decision{Kind: DecidedSilent, Upstream: u.ID, Task: len(u.runs), Age: p.now.Sub(u.clockReadAt)})
}

// maxMissedReports returns the number of reports in a row that must be missing for an upstream
// to become silent.
func (p *Pool) maxMissedReports() int {
	if !p.cfg.Policy.ComparePeers {
		return minMisses
	}
	return p.missRate.missesToSilent()
}

func (p *Pool) handleReport(u *upstream, sent time.Time, report fleet.Report) {
	if !p.usable(u, p.now) {
		p.placementDue = true // the report may make the upstream usable
	}
	if u.silent {
		p.addDecision(Decision{Kind: DecidedResponding, Upstream: u.ID, Age: p.now.Sub(u.clockReadAt)})
	}
	u.missedReports, u.silent = 0, false
	p.missRate.record(false)
	u.clockMs, u.clockReadAt = report.ClockMs, p.now
	p.noteAlive(u, sent, report.ClockMs)
	for _, e := range report.Ended {
		if e.Sequence > u.lastEndSequence {
			u.lastEndSequence = e.Sequence
			p.handleEnd(u, e)
		}
	}
	if sent.Before(u.reportRequestedAt) {
		return // the reports came out of order, and one that was requested later has been processed
	}
	u.reportRequestedAt = sent
	p.crashHistory.retract(u.suspectedTasks) // it was alive after its leases had lapsed
	u.suspectedTasks = nil
	p.reconcileRuns(u, sent, report.Running)
	if !u.accepted {
		u.accepted, u.acceptedAt = true, p.now
	}
	p.everAccepted = true
	p.takeOverRuns()
}

// reconcileRuns compares the runs that an upstream reports as running, in response to a request
// sent at the time sent, with those that are tracked. It stops runs that are not tracked. It
// requeues the tasks of tracked runs that are not reported, if the start or stop of the run had
// been acknowledged before the request was sent.
func (p *Pool) reconcileRuns(u *upstream, sent time.Time, list []fleet.RunningTask) {
	isListed := make(map[fleet.Run]bool, len(list))
	for _, t := range list {
		isListed[t.Run] = true
		if u.runs[t.Run] == nil {
			p.trackFormerOwnerRun(u, t.Run)
		}
		if r := u.runs[t.Run]; r != nil {
			p.recordProgress(r, t.Percent)
		}
	}
	for _, r := range sortedRuns(u) {
		if isListed[r.id] {
			continue
		}
		switch {
		case r.state == stopped && sent.After(r.stopAckedAt):
			u.addUnresolvedStart(r)
			p.untrackRun(r)
			p.requeue(r, "stopped")
		case r.state == running && sent.After(r.startAckedAt):
			p.untrackRun(r)
			p.requeue(r, "vanished")
		}
	}
}

// sortedRuns returns the tracked runs of an upstream in the order of compareRuns. The result stays
// as it is when runs are added or removed, and must not be changed.
func sortedRuns(u *upstream) []*run {
	if u.sorted != nil || len(u.runs) == 0 {
		return u.sorted
	}
	list := make([]*run, 0, len(u.runs))
	for _, r := range u.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return compareRuns(a.id, b.id) })
	u.sorted = list
	return list
}

// trackFormerOwnerRun tracks a run that an upstream reports and this pool has not ordered, so that
// a former owner must have. The run is stopped unless it may be adopted. Nothing starts on the
// upstream, and no lease of it is renewed, until the run is gone.
func (p *Pool) trackFormerOwnerRun(u *upstream, id fleet.Run) {
	if slices.Contains(u.recentEnds, id) {
		return
	}
	r := &run{id: id, upstream: u, fromFormerOwner: true, state: running, orderedAt: p.now, startAckedAt: p.now, percentRoseAt: p.now, percentAt: p.now}
	p.trackRun(r)
	p.assumeFormerLease(u)
	p.stopUnheld(r)
}

// handleEnd handles the end of a run that an upstream has reported.
func (p *Pool) handleEnd(u *upstream, e fleet.EndedRun) {
	u.recentEnds = append(u.recentEnds, e.Run)
	if len(u.recentEnds) > maxRecentEnds {
		u.recentEnds = u.recentEnds[1:]
	}
	r := u.runs[e.Run]
	if r == nil || r.fromFormerOwner {
		p.recordFoundEnd(u, e)
	}
	if r == nil {
		return
	}
	p.untrackRun(r)
	if r.startAckedAt.IsZero() {
		u.addUnresolvedStart(r) // the end may be that of an equally numbered run of an earlier submission
	}
	if r.job == nil {
		return
	}
	switch e.End {
	case fleet.EndDone:
		p.handleDone(r)
	case fleet.EndFailed:
		p.handleFailure(r)
	default:
		p.requeue(r, string(e.End))
	}
}

func (p *Pool) handleDone(r *run) {
	j := r.job
	t := j.tasks[r.id.Task.Index]
	p.setTaskState(j, t, ended)
	j.unfinished--
	j.done = append(j.done, t.index)
	if !r.takenOver { // when it started is not known
		p.learnFromDone(r)
	}
	p.resetHealth(r.upstream)
	if j.unfinished == 0 {
		p.removeJob(j)
		p.addResult(j, Completed, nil)
		return
	}
	p.tellProgress(j, t)
}

// learnFromDone updates the expected durations from that of a run that is done.
func (p *Pool) learnFromDone(r *run) {
	took := p.now.Sub(r.orderedAt)
	p.learnSlowdown(r, p.now.Sub(r.startedAt()))
	p.learnSpeed(r, p.now.Sub(r.startedAt()))
	if p.cfg.Policy.LearnTimes {
		p.durationsOf(r.job.Route).add(r.nominalDuration(took))
	}
	if p.cfg.Policy.LearnJob {
		r.job.learnDuration(r.nominalDuration(took))
	}
}

func (p *Pool) handleFailure(r *run) {
	j := r.job
	t := j.tasks[r.id.Task.Index]
	t.failedRuns++
	p.chargeFailure(r)
	if t.failedRuns >= j.MaxAttempts {
		p.endJob(j, Failed)
		return
	}
	p.requeue(r, "failed")
}

// handleGone removes an upstream whose incarnation has ended. Its runs are over, and their
// tasks wait again.
func (p *Pool) handleGone(u *upstream, reason string) {
	p.addDecision(Decision{Kind: DecidedGone, Upstream: u.ID, Task: len(u.runs), Reason: reason})
	runs := sortedRuns(u)
	suspects := p.recordCrash(u, runs)
	p.removeUpstream(u)
	for _, r := range runs {
		p.untrackRun(r)
		p.requeue(r, "upstream gone")
	}
	p.endCrashingJobs(suspects)
}

// handleFenced removes an upstream that has seen the higher fencing token of another owner.
// This pool cannot learn any more how the runs there end, so that their jobs end with Unknown.
func (p *Pool) handleFenced(u *upstream) {
	if p.upstreams[u.ID] != u {
		return
	}
	p.addDecision(Decision{Kind: DecidedFenced, Upstream: u.ID, Task: len(u.runs)})
	if len(p.fencedIDs) == 0 {
		p.fencedAt = p.now
	}
	p.fencedIDs[u.ID] = true
	p.removeUpstream(u)
	for _, r := range sortedRuns(u) {
		p.endBlockedAsUnknown(r.id.Task)
		p.untrackRun(r)
		p.endAsUnknown(r)
	}
}

func (p *Pool) removeUpstream(u *upstream) {
	delete(p.upstreams, u.ID)
	p.sortedUpstreams = slices.DeleteFunc(p.sortedUpstreams, func(o *upstream) bool { return o == u })
}
