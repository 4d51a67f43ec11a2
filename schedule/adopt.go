package schedule

import (
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// When the owner of a group is lost, its upstreams go on with their runs until the leases lapse,
// and keep the ends of runs until an owner acknowledges them. A coordinator whose offer was lost
// with the owner makes an adopting offer of the same tasks to the next owner: it asks for the ends
// of the runs that the former owner has started.
//
// A task that no upstream lists is never started, because it may have been done and acknowledged.
// What becomes of the runs that are still executing depends on the former owner:
//   - It may be alive and only cut off. Then it starts a task again once the leases that it knows
//     of have lapsed. So the pool renews no lease for these runs, and starts none of their tasks.
//   - Its process has certainly ended (Config.EndedOwner). Once all upstreams have accepted the
//     pool's token, no order of it can be carried out any more, and the pool takes the runs over:
//     they become ordinary runs of the offer.
//
// An adopting offer ends as Unknown if a task of it has neither a run that goes on nor a done one.
//
// The upstreams' first reports may come before the adopting offer. For adoptionPeriod from then on
// the pool does not stop the runs that it finds, and remembers the ends that it acknowledges.

const (
	// adoptionPeriod is how long after the first report of an upstream the runs found there
	// may go on without an adopting offer, and how long an adopting offer waits for the first
	// reports. Runs of customers that have left are over in time even without a stop,
	// because their leases are not renewed. It is short enough for the leases of runs that
	// are taken over to be renewed after the others on their upstream have been stopped.
	adoptionPeriod = 100 * time.Millisecond
	// foundEndRetention is how long the done ends of runs of a former owner are remembered.
	// It is longer than a coordinator waits for the next owner.
	foundEndRetention = 2 * time.Second
)

// ExpiryFactor is the multiple of a job's latency objective after which its result is of no use,
// and nobody needs to wait for it.
const ExpiryFactor = expiryFactor

// Reasons that are logged when a run is stopped that the pool has not ordered or had given up.
const (
	reasonFormerOwner = "started by a former owner"
	reasonOtherRun    = "another run of its task is known"
)

// Reasons for which an adopting offer fails.
const (
	reasonAdoptionOff     = "this owner adopts no runs"
	reasonNotLater        = "it was lost by this owner or a later one"
	reasonSubmittedAgain  = "the job was submitted again"
	reasonNoRun           = "no upstream lists a run of a task that goes on or was done"
	reasonReportIsMissing = "an upstream has not reported in time"
)

// foundEnd is the end of a run of a former owner that was done.
type foundEnd struct {
	run        fleet.Run
	upstreamID string
	at         time.Time // when it was reported
}

// addAdoptingOffer adds an offer whose tasks were lost with a former owner.
func (p *Pool) addAdoptingOffer(o Offer) {
	refusal := p.adoptionRefusal(o)
	j := p.newJob(o)
	j.begun = true
	for _, t := range j.taskList {
		t.state = adopting
	}
	p.registerJob(j)
	p.adoptions = append(p.adoptions, j)
	if refusal != "" {
		p.failAdoption(j, refusal)
		return
	}
	for _, t := range j.taskList {
		if e, found := p.foundEnds[p.taskRef(j, t)]; found {
			p.adoptDone(j, t, e.run, e.upstreamID)
		}
	}
	p.takeOverRuns()
}

// adoptionRefusal returns why an adopting offer cannot be taken, or "" if it can. A job that
// another coordinator has offered since was submitted again: the newer submission counts.
func (p *Pool) adoptionRefusal(o Offer) string {
	otherSubmission := func(j *job) bool { return j.Key.Coordinator != o.Key.Coordinator }
	switch {
	case !p.cfg.Policy.AdoptRuns:
		return reasonAdoptionOff
	case o.AdoptFrom >= p.token:
		return reasonNotLater
	case slices.ContainsFunc(p.jobsByID[o.Key.ID], otherSubmission):
		return reasonSubmittedAgain
	default:
		return ""
	}
}

// adoptingTask returns the task ref of an adopting offer, if its end is not known yet.
func (p *Pool) adoptingTask(ref fleet.TaskRef) (*job, *task) {
	for _, j := range p.jobsByID[ref.Job] {
		if t := j.tasks[ref.Index]; t != nil && t.state == adopting && p.taskRef(j, t) == ref {
			return j, t
		}
	}
	return nil, nil
}

// adoptDone counts a run of a former owner as the done run of a task.
func (p *Pool) adoptDone(j *job, t *task, id fleet.Run, upstreamID string) {
	t.lastRun = id.Number
	p.setTaskState(j, t, ended)
	j.unfinished--
	j.done = append(j.done, t.index)
	p.addDecision(Decision{
		Kind: DecidedAdopt, Job: j.Key.ID, Coordinator: j.Key.Coordinator, Task: t.index, Run: id.Number, Upstream: upstreamID,
		Reason: "done", Age: p.now.Sub(j.offeredAt),
	})
	if j.unfinished == 0 {
		p.removeJob(j)
		p.addResult(j, Completed, nil)
		return
	}
	p.tellProgress(j, t)
}

// takeOverRuns takes over the runs of the adopting offers that may be taken over.
func (p *Pool) takeOverRuns() {
	if len(p.adoptions) == 0 || !p.allReported() {
		return
	}
	for _, j := range p.adoptions {
		if !j.MayQueue || j.AdoptFrom != p.cfg.EndedOwner || !p.isCoordinatorFresh(j) {
			continue
		}
		for _, t := range j.taskList {
			runs := p.runsByTask[p.taskRef(j, t)]
			if t.state == adopting && len(runs) == 1 && runs[0].fromFormerOwner && runs[0].state == running {
				p.takeOverRun(j, t, runs[0])
			}
		}
	}
}

// takeOverRun makes a run of a former owner an ordinary run of an adopting offer.
func (p *Pool) takeOverRun(j *job, t *task, r *run) {
	u := r.upstream
	p.placementDue = true
	u.formerOwnerRuns--
	r.fromFormerOwner, r.takenOver, r.reported = false, true, true
	r.job, r.demand = j, j.Demand
	u.used = u.used.Plus(r.demand)
	p.runDemands.add(r, 1)
	r.remoteFactor, r.speedLog = p.remoteFactor(j, u), u.speed.log
	r.expectedDuration = r.durationHere(j.expectedTaskDuration)
	r.orderedAt = r.percentAt.Add(-r.expectedDuration * time.Duration(r.percent) / 100) // an estimate
	p.assumeFormerLease(u)
	t.lastRun = r.id.Number
	p.setTaskState(j, t, placed)
	p.addDecision(Decision{
		Kind: DecidedAdopt, Job: j.Key.ID, Coordinator: j.Key.Coordinator, Task: t.index, Run: r.id.Number, Upstream: u.ID,
		Reason: "running", Age: p.now.Sub(j.offeredAt),
	})
}

// tellProgress tells the coordinator of an offer that goes on that a task is done. The upstream
// forgets the end once it is acknowledged, and the next owner could not learn of it.
func (p *Pool) tellProgress(j *job, t *task) {
	if !p.cfg.Policy.TellProgress {
		return
	}
	if n := len(p.effects.Progress); n > 0 && p.effects.Progress[n-1].Key == j.Key {
		last := &p.effects.Progress[n-1]
		last.Done = append(last.Done, t.index)
		return
	}
	p.effects.Progress = append(p.effects.Progress, Result{Key: j.Key, Done: []int{t.index}})
}

// recordFoundEnd handles the end of a run that this pool has not ordered or no longer tracks.
func (p *Pool) recordFoundEnd(u *upstream, e fleet.EndedRun) {
	if !p.cfg.Policy.AdoptRuns || e.End != fleet.EndDone {
		return
	}
	if j, t := p.adoptingTask(e.Run.Task); t != nil {
		p.adoptDone(j, t, e.Run, u.ID)
		return
	}
	if p.mayFindRuns(u) {
		p.foundEnds[e.Run.Task] = foundEnd{e.Run, u.ID, p.now}
	}
}

// mayFindRuns reports whether the first report of an upstream is so recent, or is being handled,
// that runs on it may still be claimed by an adopting offer.
func (p *Pool) mayFindRuns(u *upstream) bool {
	return !u.accepted || p.now.Sub(u.acceptedAt) <= adoptionPeriod
}

// holdsFoundRun reports whether a run of a former owner may go on: an adopting offer waits for its
// end, or may still come.
func (p *Pool) holdsFoundRun(r *run) bool {
	if !p.cfg.Policy.AdoptRuns {
		return false
	}
	if _, t := p.adoptingTask(r.id.Task); t != nil {
		return true
	}
	return p.mayFindRuns(r.upstream) && !p.isOffered(r.id.Task)
}

// isOffered reports whether the task ref belongs to an offer in the pool that does not adopt it.
func (p *Pool) isOffered(ref fleet.TaskRef) bool {
	return slices.ContainsFunc(p.jobsByID[ref.Job], func(j *job) bool {
		t := j.tasks[ref.Index]
		return t != nil && t.state != adopting && p.taskRef(j, t) == ref
	})
}

// stopUnheld stops a run of a former owner unless holdsFoundRun lets it go on.
func (p *Pool) stopUnheld(r *run) {
	switch {
	case p.holdsFoundRun(r):
	case len(p.runsByTask[r.id.Task]) > 1:
		p.stopRun(r, reasonOtherRun)
	default:
		p.stopRun(r, reasonFormerOwner)
	}
}

// reviewAdoptions ends the adopting offers that cannot complete any more, and forgets old ends.
func (p *Pool) reviewAdoptions() {
	for ref, e := range p.foundEnds {
		if p.now.Sub(e.at) > foundEndRetention {
			delete(p.foundEnds, ref)
		}
	}
	for _, j := range slices.Clone(p.adoptions) {
		if reason := p.hopelessAdoption(j); reason != "" {
			p.failAdoption(j, reason)
		}
	}
}

// hopelessAdoption returns why an adopting offer cannot complete any more, or "" if it may. A task
// without a tracked run may still turn out to be done while the first report of an upstream is
// missing, for adoptionPeriod.
func (p *Pool) hopelessAdoption(j *job) string {
	unlisted := slices.ContainsFunc(j.taskList, func(t *task) bool {
		return t.state == adopting && len(p.runsByTask[p.taskRef(j, t)]) == 0
	})
	switch {
	case !unlisted:
		return ""
	case p.allReported():
		return reasonNoRun
	case p.now.Sub(j.offeredAt) > adoptionPeriod:
		return reasonReportIsMissing
	default:
		return ""
	}
}

// allReported reports whether the pool has had a report of each of its upstreams.
func (p *Pool) allReported() bool {
	return len(p.sortedUpstreams) > 0 && !slices.ContainsFunc(p.sortedUpstreams, func(u *upstream) bool { return !u.accepted })
}

// failAdoption ends an adopting offer with the outcome Unknown and stops its runs.
func (p *Pool) failAdoption(j *job, reason string) {
	p.addDecision(Decision{
		Kind: DecidedAdoptFailed, Job: j.Key.ID, Coordinator: j.Key.Coordinator, Task: j.unfinished, Reason: reason, Age: p.now.Sub(j.offeredAt),
	})
	p.endJob(j, Unknown)
}
