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
	done        chan struct{}  // closed once response is set
	response    Response       // must not be read before done is closed
	onResponse  func(Response) // called with the response; may be nil

	mu         sync.Mutex
	unfinished map[int]bool                 // tasks that are not done, by index
	history    map[int]schedule.TaskHistory // earlier runs of the tasks that owners have returned
	unassigned []int                        // tasks that are in no open offer
	offers     map[int]*openOffer           // offers that have not ended, by number
	search     ownerSearch
	begun      bool // a task of the job may have begun
	offerCount int  // offers made so far

	waiters        []*waiter
	deadline       time.Time // latest deadline of the waiters
	settled        bool      // the job has its verdict
	retryScheduled bool      // a timer will offer the unassigned tasks again
}

// openOffer is an offer of some of a job's tasks that has not ended.
type openOffer struct {
	number   int // unique among the offers of the coordinator
	group    string
	tasks    map[int]struct{} // offered tasks that are neither done nor returned
	mayQueue bool
	sent     bool // the offer has been sent and can be withdrawn
}

// ownerRetryDelay is the delay before owners are tried again after none could be reached. A
// lost owner is replaced within a second.
const ownerRetryDelay = 25 * time.Millisecond

// settle gives the job its verdict, unless it has one, and withdraws its open offers.
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
	toWithdraw := lo.Filter(slices.Collect(maps.Values(j.offers)), func(o *openOffer, _ int) bool { return o.sent })
	slices.SortFunc(toWithdraw, func(a, b *openOffer) int { return a.number - b.number })
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

func (j *openJob) withdraw(offer *openOffer) {
	j.coordinator.owners.Withdraw(offer.group, schedule.JobKey{ID: j.Job.ID, Part: offer.number}, j.response.Reason)
}

// markSent marks an offer as sent. If the job was settled while the offer was being sent,
// settle could not withdraw it, so markSent does: otherwise its tasks would run at the same
// time as those of the job that the customer has sent to another instance.
func (j *openJob) markSent(offer *openOffer) {
	j.mu.Lock()
	offer.sent = true
	_, pending := j.offers[offer.number]
	unwanted := pending && j.settled
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
		j.detachDisconnected()
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
		offer, o := j.newOffer(choice, aliveAt)
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
	})
	if err != nil {
		j.undoOffer(offer)
		return false
	}
	j.markSent(offer)
	return true
}

// chooseOwner chooses the owner to offer the unassigned tasks to. It returns false if no
// owner is left to try, or if enough owners expect no free capacity in time and no task of
// the job has begun. The lock must be held.
func (j *openJob) chooseOwner() (Choice, bool) {
	begun := j.begun || len(j.offers) > 0
	loads := j.search.refresh(j.coordinator.owners.Loads())
	if j.coordinator.policy.BoundAsks && len(j.search.noCapacity) >= maxOwnersWithoutCapacity && !begun {
		return Choice{}, false
	}
	return j.coordinator.policy.choose(loads, j.coordinator.zone, j.search.tried, len(j.unassigned), begun)
}

// newOffer creates an offer of the unassigned tasks. AliveAt is a time at which the
// customer was known to be connected. The lock must be held.
func (j *openJob) newOffer(choice Choice, aliveAt time.Time) (*openOffer, schedule.Offer) {
	step := j.Job.Steps[0]
	now := j.coordinator.clock.Now()
	j.offerCount++
	number := int(j.coordinator.offersMade.Add(1))
	o := schedule.Offer{
		Key:     schedule.JobKey{ID: j.Job.ID, Part: number},
		Service: j.Route.Service, Route: j.Route.Name, Spec: j.Job.Spec, Demand: step.Demand, Estimate: step.Estimate,
		Priority: j.Route.Priority, MaxAttempts: j.Route.MaxAttempts, Tasks: j.unassigned,
		Stretch: j.Route.Stretch, Slack: j.Route.Slack, Age: now.Sub(j.acceptedAt), Timeout: j.deadline.Sub(now), AliveAt: aliveAt, MayQueue: choice.MayQueue, AllOrNothing: choice.AllOrNothing, Begun: j.begun,
		History: lo.PickByKeys(j.history, j.unassigned), Rack: step.Rack, MaxPerUpstream: step.MaxPerUpstream,
	}
	offer := &openOffer{number: number, group: choice.Group, tasks: lo.Keyify(j.unassigned), mayQueue: choice.MayQueue}
	j.unassigned = nil
	j.offers[offer.number] = offer
	j.search.markOffered(choice.Group)
	return offer, o
}

// undoOffer makes the tasks of an offer that could not be sent unassigned again.
func (j *openJob) undoOffer(offer *openOffer) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.unassign(offer, lo.Keys(offer.tasks))
	delete(j.offers, offer.number)
	j.search.unreachable[offer.group] = true // until no other owner is left to try
}

// unassign moves those of the tasks that are still in the offer back to the unassigned ones.
// The lock must be held.
func (j *openJob) unassign(offer *openOffer, tasks []int) {
	for _, t := range tasks {
		if _, has := offer.tasks[t]; has {
			delete(offer.tasks, t)
			j.unassigned = append(j.unassigned, t)
		}
	}
	slices.Sort(j.unassigned)
}

// handleNoOwner settles the job, or schedules a retry, when no owner is left to offer the
// unassigned tasks to. If no owner could be reached, it retries for as long as the job could
// still meet its latency objective.
func (j *openJob) handleNoOwner() {
	j.mu.Lock()
	otherOffersOpen := len(j.offers) > 0
	begun := j.begun
	outcome := j.search.outcome(begun)
	j.search.allowRetries()
	j.mu.Unlock()
	switch {
	case outcome == noCapacityInTime && begun:
		j.settle(Unknown, "no room in time for all of it")
	case otherOffersOpen:
		return // when one of the open offers ends, these tasks are offered again
	case outcome == tooLarge:
		j.settle(Failed, "no upstream is large enough")
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

// scheduleRetry sets a timer that offers the unassigned tasks again, unless one is set.
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

// handleReturned offers tasks to other owners that an owner has returned: they do not run
// there and never will.
func (j *openJob) handleReturned(offer *openOffer, r schedule.Result) {
	j.mu.Lock()
	maps.Copy(j.history, r.History)
	j.unassign(offer, r.Returned)
	j.begun = j.begun || r.Begun || len(offer.tasks) > 0 // the owner runs the tasks that it kept
	j.mu.Unlock()
	j.offerUnassigned()
}

// handleEnded processes the result of an offer: it settles the job or offers the tasks that
// are left to other owners.
func (j *openJob) handleEnded(offer *openOffer, r schedule.Result) {
	j.mu.Lock()
	delete(j.offers, offer.number)
	j.begun = j.begun || r.Begun
	maps.Copy(j.history, r.History)
	for _, t := range r.Done {
		delete(j.unfinished, t)
		delete(offer.tasks, t)
	}
	if r.Outcome == schedule.Completed || !r.Begun {
		j.unassign(offer, lo.Keys(offer.tasks)) // none of them runs at that owner
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
	case r.Outcome == schedule.Crashed:
		j.settle(Failed, "upstreams crash under a task")
	case r.Outcome == schedule.Expired && r.Begun:
		j.settle(Unknown, "no room in time for all of it")
	case r.Outcome == schedule.Unknown:
		j.settle(Unknown, "the owner of upstreams was lost")
	default:
		j.offerUnassigned()
	}
}
