package ingress

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"

	"github.com/samber/lo"
)

// openJob is a job that has no verdict yet.
type openJob struct {
	Request
	coordinator *Coordinator
	acceptedAt  time.Time
	done        chan struct{}  // closed when response has been set
	response    Response       // may be read only after done is closed
	onResponse  func(Response) // called with the response; may be nil

	mu         sync.Mutex
	unfinished map[int]bool                 // tasks that are not done, by index
	history    map[int]schedule.TaskHistory // runs of returned tasks so far, by task index
	unassigned []int                        // tasks that are in no open offer
	offers     map[int]*openOffer           // open offers, by number
	search     ownerSearch
	begun      bool // a task of the job may have begun
	offerCount int  // offers made so far

	waiters        []*waiter
	deadline       time.Time // latest deadline of the waiters
	settled        bool      // the job has its verdict
	retryScheduled bool      // a timer will offer the unassigned tasks again
}

// openOffer is an offer of some of a job's tasks whose result has not arrived yet.
type openOffer struct {
	number   int // unique among the offers of the coordinator
	group    string
	tasks    map[int]struct{} // offered tasks that are neither done nor returned
	mayQueue bool
	sent     bool    // the offer has been sent and can be withdrawn
	orphan   *orphan // set if the owner was lost; see orphan.go
	adopting *orphan // set for an adopting offer: the state of the orphaned offer that it replaces
}

// ownerRetryDelay is the delay before tasks are offered again when no owner could be reached.
// It is short against the second within which a lost owner is replaced, so that a job loses
// little more time than the replacement takes.
const ownerRetryDelay = 25 * time.Millisecond

// settle gives the job its verdict, unless it has one already, and withdraws those of its open
// offers that have been sent. An Unknown verdict becomes NotRun if no task can have begun.
func (j *openJob) settle(v Verdict, reason string) {
	j.mu.Lock()
	if j.settled {
		j.mu.Unlock()
		return
	}
	j.settled = true
	if v == Unknown && !j.begun && len(j.offers) == 0 {
		v = NotRun
	}
	j.response = Response{
		Verdict: v, Reason: reason, Begun: j.begun, Offers: j.offerCount, Groups: strings.Join(j.search.offered, ","),
		RetryAfter: j.coordinator.retryAfter(v, j.search.outcome(j.begun)), Owners: j.search.ownerCount, OwnersAge: j.search.loadAge,
	}
	j.recordSearch()
	toWithdraw := lo.Filter(j.sortedOffers(), func(o *openOffer, _ int) bool { return o.sent && o.orphan == nil })
	j.coordinator.sendsInFlight.Add(1)
	defer j.coordinator.sendsInFlight.Add(-1)
	j.mu.Unlock()
	j.coordinator.remove(j)
	close(j.done)
	if j.onResponse != nil {
		j.onResponse(j.response)
	}
	for _, offer := range toWithdraw {
		j.withdraw(offer)
	}
}

// recordSearch adds to the response what the reported waits showed, and records whether the job
// was served. The lock must be held.
func (j *openJob) recordSearch() {
	s, r := &j.search, &j.response
	r.RejectedAtOnce = r.Verdict == NotRun && s.knownLate && j.offerCount == 0
	r.Probe, r.Waits = s.probe, s.waits
	j.coordinator.queues.recordVerdict(s, j.response.Verdict, j.coordinator.clock.Now())
}

func (j *openJob) withdraw(offer *openOffer) {
	j.coordinator.owners.Withdraw(offer.group, schedule.JobKey{ID: j.Job.ID, Part: offer.number}, j.response.Reason)
}

// markSent marks an offer as sent. If the job was settled while the offer was being sent,
// settle has not withdrawn the offer, so markSent does. Otherwise the offered tasks could run
// while the same job, sent again by its customer, runs for another instance.
func (j *openJob) markSent(offer *openOffer) {
	j.mu.Lock()
	offer.sent = true
	_, pending := j.offers[offer.number]
	unwanted := pending && j.settled && offer.orphan == nil
	j.mu.Unlock()
	if unwanted {
		j.withdraw(offer)
	}
}

// offerUnassigned offers the unassigned tasks to one owner after the other, until an offer
// has been sent or no owner is left to try.
func (j *openJob) offerUnassigned() {
	for {
		aliveAt := j.coordinator.clock.Now()
		j.detachDisconnected(j.coordinator.clock.Suspended())
		j.mu.Lock()
		if j.settled || len(j.unassigned) == 0 {
			j.mu.Unlock()
			return
		}
		choice, found := j.chooseOwner()
		if !found {
			j.mu.Unlock()
			j.handleNoOwner()
			return
		}
		offer, o := j.newOffer(choice, j.unassigned, aliveAt)
		j.unassigned = nil
		j.coordinator.sendsInFlight.Add(1)
		j.mu.Unlock()
		if j.sendOffer(offer, o) {
			return
		}
	}
}

// sendOffer sends an offer, and reports whether the owner could be reached.
func (j *openJob) sendOffer(offer *openOffer, o schedule.Offer) bool {
	defer j.coordinator.sendsInFlight.Add(-1)
	err := j.coordinator.owners.Offer(offer.group, o, owner.OfferCallbacks{
		TasksReturned: func(r schedule.Result, _ schedule.Load) { j.handleReturned(offer, r) },
		OfferEnded:    func(r schedule.Result, _ schedule.Load) { j.handleEnded(offer, r) },
		TasksDone:     func(tasks []int) { j.handleDone(offer, tasks) },
		OwnerLost:     func(token uint64) { j.handleOwnerLost(offer, token) },
	})
	if err != nil {
		j.undoOffer(offer)
		return false
	}
	j.markSent(offer)
	return true
}

// chooseOwner chooses the owner to offer the unassigned tasks to. It returns false if no
// owner is left to try. It also returns false if no task of the job has begun and
// maxOwnersWithoutCapacity owners expect no free capacity in time. The lock must be held.
func (j *openJob) chooseOwner() (Choice, bool) {
	begun := j.begun || len(j.offers) > 0
	now := j.coordinator.clock.Now()
	loads := j.coordinator.owners.Loads()
	j.search.allReported = j.coordinator.queues.groups.areComplete(loads, now)
	loads = j.search.refresh(loads)
	if j.coordinator.policy.BoundAsks && len(j.search.noCapacity) >= maxOwnersWithoutCapacity && !begun {
		return Choice{}, false
	}
	choice, found := j.coordinator.policy.choose(loads, j.coordinator.zone, j.search.tried, len(j.unassigned), begun)
	if !found || !choice.MayQueue || begun {
		return choice, found
	}
	return j.coordinator.queues.choose(&j.search, loads, newWaitingJob(&j.Request, len(j.unassigned), now.Sub(j.acceptedAt)), now)
}

// newOffer creates an offer of tasks to the chosen group and records it as open. AliveAt is the
// time before the last check of the customer's connection; the owner must not start the tasks
// when that time is too long ago. The lock must be held.
func (j *openJob) newOffer(choice Choice, tasks []int, aliveAt time.Time) (*openOffer, schedule.Offer) {
	step := j.Job.Steps[0]
	now := j.coordinator.clock.Now()
	j.offerCount++
	number := int(j.coordinator.offersMade.Add(1))
	o := schedule.Offer{
		Key:     schedule.JobKey{ID: j.Job.ID, Part: number},
		Service: j.Route.Service, Route: j.Route.Name, Spec: j.Job.Spec, Demand: step.Demand, Estimate: step.Estimate,
		Priority: j.Route.Priority, MaxAttempts: j.Route.MaxAttempts, Tasks: tasks,
		Stretch: j.Route.Stretch, Slack: j.Route.Slack, Age: now.Sub(j.acceptedAt), Timeout: j.deadline.Sub(now), AliveAt: aliveAt, MayQueue: choice.MayQueue, AllOrNothing: choice.AllOrNothing, Begun: j.begun,
		History: lo.PickByKeys(j.history, tasks), Rack: step.Rack, MaxPerUpstream: step.MaxPerUpstream,
	}
	offer := &openOffer{number: number, group: choice.Group, tasks: lo.Keyify(tasks), mayQueue: choice.MayQueue}
	j.offers[offer.number] = offer
	j.search.markOffered(choice.Group)
	return offer, o
}

// undoOffer handles an offer that could not be sent: its tasks become unassigned again, and
// the group counts as unreachable. The tasks of an adopting offer stay orphaned.
func (j *openJob) undoOffer(offer *openOffer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if offer.adopting != nil {
		j.restoreOrphan(offer)
		return
	}
	j.unassign(offer, lo.Keys(offer.tasks))
	delete(j.offers, offer.number)
	j.search.unreachable[offer.group] = true // until handleNoOwner allows retries
}

// unassign moves tasks from an offer back to the unassigned tasks. Tasks that are not in the
// offer any more are ignored. The lock must be held.
func (j *openJob) unassign(offer *openOffer, tasks []int) {
	for _, t := range tasks {
		if _, has := offer.tasks[t]; has {
			delete(offer.tasks, t)
			j.unassigned = append(j.unassigned, t)
		}
	}
	slices.Sort(j.unassigned)
}

// handleNoOwner is called when no owner is left to offer the unassigned tasks to:
//   - If the job has begun and an owner expects no free capacity in time for the rest, the job
//     is settled.
//   - If other offers of the job are open, the unassigned tasks wait until one of them ends.
//   - If no owner could be reached, the tasks are offered again after ownerRetryDelay, unless
//     the latency objective has passed.
//   - Otherwise the job is settled.
func (j *openJob) handleNoOwner() {
	j.mu.Lock()
	otherOffersOpen := len(j.offers) > 0
	begun := j.begun
	outcome := j.search.outcome(begun)
	knownLate := j.search.knownLate
	j.search.allowRetries()
	j.mu.Unlock()
	switch {
	case outcome == noCapacityInTime && begun:
		j.settle(Unknown, "no room in time for all of it")
	case otherOffersOpen:
		return // the unassigned tasks are offered again when one of the open offers ends
	case outcome == tooLarge:
		j.settle(Failed, "no upstream is large enough")
	case outcome == noCapacityInTime && knownLate:
		j.settle(NotRun, "no room in time, by the owners' reports")
	case outcome == noCapacityInTime:
		j.settle(NotRun, "no room in time")
	case outcome == allGroupsClosed && begun:
		j.settle(Unknown, "nothing may start on any upstream")
	case outcome == allGroupsClosed:
		j.settle(NotRun, "nothing may start on any upstream")
	case j.coordinator.clock.Now().Sub(j.acceptedAt) < j.Objective():
		j.scheduleRetry()
	case begun:
		j.settle(Unknown, "no owner can be reached")
	default:
		j.settle(NotRun, "no owner can be reached")
	}
}

// scheduleRetry sets a timer that offers the unassigned tasks again after ownerRetryDelay. It
// does nothing if the timer is already set.
func (j *openJob) scheduleRetry() {
	j.mu.Lock()
	alreadyScheduled := j.retryScheduled
	j.retryScheduled = true
	j.mu.Unlock()
	if alreadyScheduled {
		return
	}
	j.coordinator.clock.AfterFunc(ownerRetryDelay, func() {
		j.mu.Lock()
		j.retryScheduled = false
		j.mu.Unlock()
		j.offerUnassigned()
	})
}

// handleReturned processes the return of some tasks of an offer, which do not run at the
// owner and never will. It offers them to other owners.
func (j *openJob) handleReturned(offer *openOffer, r schedule.Result) {
	j.mu.Lock()
	maps.Copy(j.history, r.History)
	j.unassign(offer, r.Returned)
	j.begun = j.begun || r.Begun || len(offer.tasks) > 0 // the owner may have started the tasks that it keeps
	j.mu.Unlock()
	j.offerUnassigned()
}

// handleEnded processes the end of an offer. It settles the job if all tasks are done or the
// rest cannot be completed, and otherwise offers the remaining tasks to other owners.
func (j *openJob) handleEnded(offer *openOffer, r schedule.Result) {
	if offer.adopting != nil && !r.Begun {
		j.handleNotAdopted(offer)
		return
	}
	j.mu.Lock()
	delete(j.offers, offer.number)
	j.begun = j.begun || r.Begun
	maps.Copy(j.history, r.History)
	for _, t := range r.Done {
		delete(j.unfinished, t)
		delete(offer.tasks, t)
	}
	switch {
	case offer.adopting != nil:
		j.unassign(offer, r.Returned)
		if r.Outcome == schedule.Completed && len(offer.tasks) > 0 {
			r.Outcome = schedule.Unknown // nothing is known of the tasks that are left
		}
	case r.Outcome == schedule.Completed || !r.Begun:
		j.unassign(offer, lo.Keys(offer.tasks)) // the owner runs none of the tasks that are left
	}
	switch r.Outcome {
	case schedule.NeverFits:
		j.search.neverFits[offer.group] = true
	case schedule.Expired:
		j.search.noCapacity[offer.group] = true
	}
	complete := len(j.unfinished) == 0
	j.mu.Unlock()
	switch {
	case complete:
		j.settle(Completed, "")
	case r.Outcome == schedule.Failed:
		j.settle(Failed, "a task failed as often as it may")
	case r.Outcome == schedule.Cancelled:
		j.settle(Failed, reasonCancelled)
	case r.Outcome == schedule.Crashed:
		j.settle(Failed, "upstreams crash under a task")
	case r.Outcome == schedule.Expired && r.Begun:
		j.settle(Unknown, "no room in time for all of it")
	case r.Outcome == schedule.Unknown:
		j.settle(Unknown, reasonOwnerLost)
	default:
		j.offerUnassigned()
	}
}
