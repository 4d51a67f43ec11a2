package ingress

import (
	"cmp"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/schedule"

	"github.com/samber/lo"
)

// An offer is orphaned when the connection to the owner that it was sent to is lost. Its tasks may
// be running on the upstreams, or done. The next owner of the group, which has a higher fencing
// token, learns of the ends that the lost owner has not acknowledged. The coordinator offers it
// exactly these tasks, as an adopting offer (see schedule.Offer.AdoptFrom). If the customer leaves
// meanwhile, the job is settled as with any offer.

// maxOrphanWait is how long the coordinator waits for the next owner of an orphaned offer. An owner
// is replaced within about a second; leases lapse earlier, so that a later owner finds little more.
const maxOrphanWait = 1500 * time.Millisecond

// orphan is the state of an orphaned offer.
type orphan struct {
	lostToken uint64    // fencing token of the lost owner
	again     bool      // the lost owner was adopting the tasks itself
	lostAt    time.Time // when the loss was noticed
	giveUpAt  time.Time // when the coordinator stops waiting for the next owner
}

// orphanStep is what to do about an orphaned offer.
type orphanStep int

const (
	waitForOwner orphanStep = iota
	adoptOffer              // offer the tasks to the next owner
	giveUpOffer             // the ends of the tasks cannot be learned
)

// lateReportPeriod is how long after the loss of a connection reports may still be handled that the
// owner sent before: on another connection, or while this instance was noticing the loss.
const lateReportPeriod = 20 * time.Millisecond

// nextStep decides about an orphaned offer, given the last known load of the owner of its group,
// or nil if the group has no known owner. If the lost owner has itself sent a report since the loss, it
// has withdrawn the offer together with the connection, and will not be replaced.
func (o *orphan) nextStep(now time.Time, load *OwnerLoad) orphanStep {
	switch {
	case !now.Before(o.giveUpAt):
		return giveUpOffer
	case load == nil || load.Token < o.lostToken:
		return waitForOwner
	case load.Token > o.lostToken:
		return adoptOffer
	case !load.Relayed && load.Age < now.Sub(o.lostAt)-lateReportPeriod:
		return giveUpOffer
	default:
		return waitForOwner
	}
}

// reasonOwnerLost is the reason of jobs whose tasks were lost with an owner.
const reasonOwnerLost = "the owner of upstreams was lost"

// usefulUntil is the time from which on the result of the job is of no use.
func (j *openJob) usefulUntil() time.Time {
	return lo.Earliest(j.acceptedAt.Add(schedule.ExpiryFactor*j.Objective()), j.deadline)
}

// handleDone records tasks of an open offer that are done.
func (j *openJob) handleDone(offer *openOffer, tasks []int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.begun = true
	for _, t := range tasks {
		delete(j.unfinished, t)
		delete(offer.tasks, t)
	}
}

// handleOwnerLost processes the loss of the connection to the owner with the given fencing token
// while an offer was open.
func (j *openJob) handleOwnerLost(offer *openOffer, token uint64) {
	if !j.coordinator.policy.AdoptRuns || token == 0 {
		j.handleEnded(offer, schedule.Result{Outcome: schedule.Unknown, Begun: true})
		return
	}
	now := j.coordinator.clock.Now()
	j.mu.Lock()
	o := &orphan{lostToken: token, lostAt: now, giveUpAt: lo.Earliest(now.Add(maxOrphanWait), j.usefulUntil())}
	if former := offer.adopting; former != nil {
		o.giveUpAt, o.again = former.giveUpAt, true
	}
	offer.orphan, offer.adopting = o, nil
	j.begun = true
	complete, noneLeft := len(j.unfinished) == 0, len(offer.tasks) == 0
	if noneLeft {
		delete(j.offers, offer.number) // only its end was lost
	}
	j.mu.Unlock()
	switch {
	case complete:
		j.settle(Completed, "")
		return
	case noneLeft:
		j.offerUnassigned()
	}
	j.reviewOrphans(j.coordinator.owners.Loads())
}

// reviewOrphans offers the tasks of orphaned offers to the next owners of their groups, and settles
// the job if one of them cannot be completed. The loads are the result of Owners.Loads. It is called
// again as long as an offer is orphaned.
func (j *openJob) reviewOrphans(loads []OwnerLoad) {
	for {
		j.mu.Lock()
		offer, step := j.nextOrphan(loads)
		j.mu.Unlock()
		switch {
		case offer == nil:
			return
		case step == waitForOwner:
			j.coordinator.orphans.add(j)
			return
		case step == giveUpOffer:
			j.settle(Unknown, reasonOwnerLost)
			return
		case !j.sendAdopting(offer):
			j.coordinator.orphans.add(j)
			return
		}
	}
}

// sendAdopting replaces an orphaned offer by an adopting one, and reports whether the next owner
// could be reached. It does nothing if the job is settled or the offer was replaced meanwhile.
func (j *openJob) sendAdopting(orphaned *openOffer) bool {
	aliveAt := j.coordinator.clock.Now()
	j.detachDisconnected(j.coordinator.clock.Suspended())
	j.mu.Lock()
	if j.settled || j.offers[orphaned.number] != orphaned || orphaned.orphan == nil {
		j.mu.Unlock()
		return true
	}
	adopting, o := j.newAdoptingOffer(orphaned, aliveAt)
	j.coordinator.sendsInFlight.Add(1)
	j.mu.Unlock()
	return j.sendOffer(adopting, o)
}

// nextOrphan returns the orphaned offer about which something can be done, or else any orphaned
// offer with waitForOwner. It returns nil if no offer is orphaned or the job is settled. The lock
// must be held.
func (j *openJob) nextOrphan(loads []OwnerLoad) (*openOffer, orphanStep) {
	if j.settled {
		return nil, waitForOwner
	}
	var waiting *openOffer
	now := j.coordinator.clock.Now()
	for _, offer := range j.sortedOffers() {
		if offer.orphan == nil {
			continue
		}
		var load *OwnerLoad
		if i := slices.IndexFunc(loads, func(l OwnerLoad) bool { return l.Group == offer.group }); i >= 0 {
			load = &loads[i]
		}
		if step := offer.orphan.nextStep(now, load); step != waitForOwner {
			return offer, step
		}
		waiting = offer
	}
	return waiting, waitForOwner
}

// sortedOffers returns the open offers by number. The lock must be held.
func (j *openJob) sortedOffers() []*openOffer {
	offers := lo.Values(j.offers)
	slices.SortFunc(offers, func(a, b *openOffer) int { return cmp.Compare(a.number, b.number) })
	return offers
}

// newAdoptingOffer replaces an orphaned offer by an adopting offer of the same tasks. The lock must
// be held.
func (j *openJob) newAdoptingOffer(orphaned *openOffer, aliveAt time.Time) (*openOffer, schedule.Offer) {
	delete(j.offers, orphaned.number)
	tasks := lo.Keys(orphaned.tasks)
	slices.Sort(tasks)
	offer, o := j.newOffer(Choice{Group: orphaned.group, MayQueue: !orphaned.orphan.again}, tasks, aliveAt)
	offer.adopting = orphaned.orphan
	o.AdoptFrom = orphaned.orphan.lostToken
	return offer, o
}

// restoreOrphan makes an adopting offer that no owner has taken an orphaned one again. The lock must
// be held.
func (j *openJob) restoreOrphan(offer *openOffer) { offer.orphan, offer.adopting = offer.adopting, nil }

// handleNotAdopted processes the response of an instance that does not own the group any more. The
// tasks of the adopting offer must not be offered as if they had never begun.
func (j *openJob) handleNotAdopted(offer *openOffer) {
	j.mu.Lock()
	j.restoreOrphan(offer)
	j.mu.Unlock()
	j.coordinator.orphans.add(j)
}

// orphanedJobs holds the jobs with orphaned offers. They are reviewed together, because many are
// orphaned at once when an owner is lost.
type orphanedJobs struct {
	coordinator *Coordinator
	mu          sync.Mutex
	jobs        map[*openJob]struct{}
}

// add makes a job be reviewed within ownerRetryDelay.
func (s *orphanedJobs) add(j *openJob) {
	s.mu.Lock()
	first := len(s.jobs) == 0
	s.jobs[j] = struct{}{}
	s.mu.Unlock()
	if first {
		s.coordinator.clock.AfterFunc(ownerRetryDelay, s.review)
	}
}

func (s *orphanedJobs) review() {
	s.mu.Lock()
	jobs := lo.Keys(s.jobs)
	clear(s.jobs)
	s.mu.Unlock()
	slices.SortFunc(jobs, func(a, b *openJob) int { return strings.Compare(a.Job.ID, b.Job.ID) })
	loads := s.coordinator.owners.Loads()
	for _, j := range jobs {
		j.reviewOrphans(loads)
	}
}
