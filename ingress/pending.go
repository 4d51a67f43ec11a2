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

// pending is a job without a verdict.
type pending struct {
	Request
	c       *Coordinator
	began   time.Time
	decided chan struct{} // closed once answer holds the verdict
	answer  Response
	// onVerdict is called with the verdict, where it is set.
	onVerdict func(Response)

	mu     sync.Mutex
	left   map[int]bool                 // tasks that are not done
	past   map[int]schedule.TaskHistory // of those that ran in vain, and go on elsewhere
	idle   []int                        // tasks that no owner has
	parts  map[int]*part                // offers that have not ended, by number, which no other offer of the coordinator has
	search search
	begun  bool
	offers int // that were made

	customers []*customer
	until     time.Time // when the last of them stops waiting
	settled   bool
	retrying  bool // the idle tasks are offered again after a pause
}

// part is an offer of some of the tasks.
type part struct {
	number int
	group  string
	tasks  map[int]struct{} // that its owner has
	queue  bool
	sent   bool // there is something to withdraw
}

// retryOwners is the pause before owners are asked again after none could be
// reached: one that is lost is replaced within a second.
const retryOwners = 25 * time.Millisecond

// settle gives the verdict, once, and withdraws what is still offered.
func (p *pending) settle(v Verdict, reason string) {
	p.mu.Lock()
	if p.settled {
		p.mu.Unlock()
		return
	}
	p.settled = true
	if v == Unknown && !p.begun && len(p.parts) == 0 {
		v = NotRun
	}
	p.answer = Response{
		Verdict: v, Reason: reason, Begun: p.begun, Offers: p.offers, Groups: strings.Join(p.search.asked, ","),
		RetryAfter: p.c.retryAfter(v, p.search.outcome(p.begun)), Owners: p.search.owners, OwnersAge: p.search.ownersAge,
	}
	sent := lo.Filter(slices.Collect(maps.Values(p.parts)), func(a *part, _ int) bool { return a.sent })
	slices.SortFunc(sent, func(a, b *part) int { return a.number - b.number })
	p.c.sending.Add(1)
	defer p.c.sending.Add(-1)
	p.mu.Unlock()
	p.c.close(p)
	close(p.decided)
	if p.onVerdict != nil {
		p.onVerdict(p.answer)
	}
	for _, part := range sent {
		p.withdraw(part)
	}
}

func (p *pending) withdraw(part *part) {
	p.c.owners.Withdraw(part.group, schedule.JobKey{ID: p.Job.ID, Part: part.number}, p.answer.Reason)
}

// wasSent notes that an offer was sent. It is withdrawn where the job got its verdict
// meanwhile: there was nothing to withdraw then, and its tasks would run for nobody,
// beside those that the customer has run elsewhere.
func (p *pending) wasSent(part *part) {
	p.mu.Lock()
	part.sent = true
	_, open := p.parts[part.number]
	unwanted := open && p.settled
	p.mu.Unlock()
	if unwanted {
		p.withdraw(part)
	}
}

// offerIdle offers the tasks that no owner has, until one takes them or there
// is nobody left to ask.
func (p *pending) offerIdle() {
	for {
		checked := p.c.clock.Now()
		p.dropLeft()
		p.mu.Lock()
		if p.settled || len(p.idle) == 0 {
			p.mu.Unlock()
			return
		}
		choice, found := p.choose()
		if !found {
			p.mu.Unlock()
			p.unplaced()
			return
		}
		part, offer := p.offer(choice, checked)
		p.c.sending.Add(1)
		p.mu.Unlock()
		if p.send(part, offer) {
			return
		}
	}
}

// send sends an offer, and reports whether its owner could be reached.
func (p *pending) send(part *part, o schedule.Offer) bool {
	defer p.c.sending.Add(-1)
	err := p.c.owners.Offer(part.group, o, owner.OfferCallbacks{
		TasksReturned: func(r schedule.Result, _ schedule.Load) { p.returned(part, r) },
		OfferEnded:    func(r schedule.Result, _ schedule.Load) { p.ended(part, r) },
	})
	if err != nil {
		p.unsent(part)
		return false
	}
	p.wasSent(part)
	return true
}

// choose picks whom to offer the idle tasks. Nobody is left once enough owners expect no
// room in time for a job of which nothing began. The lock is held.
func (p *pending) choose() (Choice, bool) {
	begun := p.begun || len(p.parts) > 0
	loads := p.search.look(p.c.owners.Loads())
	if p.c.policy.BoundAsks && len(p.search.full) >= mostFull && !begun {
		return Choice{}, false
	}
	return p.c.policy.choose(loads, p.c.zone, p.search.tried, len(p.idle), begun)
}

// offer makes an offer of the idle tasks, whose customers were there at a time. The lock
// is held.
func (p *pending) offer(choice Choice, checked time.Time) (*part, schedule.Offer) {
	step := p.Job.Steps[0]
	now := p.c.clock.Now()
	p.offers++
	number := int(p.c.parts.Add(1))
	o := schedule.Offer{
		Key:     schedule.JobKey{ID: p.Job.ID, Part: number},
		Service: p.Route.Service, Route: p.Route.Name, Spec: p.Job.Spec, Demand: step.Demand, Estimate: step.Estimate,
		Priority: p.Route.Priority, MaxAttempts: p.Route.MaxAttempts, Tasks: p.idle,
		Stretch: p.Route.Stretch, Slack: p.Route.Slack, Age: now.Sub(p.began), Timeout: p.until.Sub(now), AliveAt: checked, MayQueue: choice.Queue, AllOrNothing: choice.Whole, Begun: p.begun,
		History: lo.PickByKeys(p.past, p.idle), Rack: step.Rack, MaxPerUpstream: step.MaxPerUpstream,
	}
	part := &part{number: number, group: choice.Group, tasks: lo.Keyify(p.idle), queue: choice.Queue}
	p.idle = nil
	p.parts[part.number] = part
	p.search.chose(choice.Group)
	return part, o
}

// unsent takes an offer back that never reached its owner.
func (p *pending) unsent(part *part) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takeBack(part, lo.Keys(part.tasks))
	delete(p.parts, part.number)
	p.search.cut[part.group] = true // until nobody else is left to ask
}

// takeBack makes tasks idle that an offer still has. The lock is held.
func (p *pending) takeBack(part *part, tasks []int) {
	for _, t := range tasks {
		if _, has := part.tasks[t]; has {
			delete(part.tasks, t)
			p.idle = append(p.idle, t)
		}
	}
	slices.Sort(p.idle)
}

// unplaced decides on tasks that no owner can be offered now: they wait for an
// owner as long as the job could still be in time.
func (p *pending) unplaced() {
	p.mu.Lock()
	waits := len(p.parts) > 0
	begun := p.begun
	why := p.search.outcome(begun)
	p.search.again()
	p.mu.Unlock()
	switch {
	case why == crowded && begun:
		p.settle(Unknown, "no room in time for all of it")
	case waits:
		return // its other tasks are under way; these go on when one of them ends
	case why == tooLarge:
		p.settle(Failed, "no upstream is large enough")
	case why == crowded:
		p.settle(NotRun, "no room in time")
	case why == closed && begun:
		p.settle(Unknown, "nothing may start on any upstream")
	case why == closed:
		p.settle(NotRun, "nothing may start on any upstream")
	case p.c.clock.Now().Sub(p.began) < p.Objective():
		p.offerLater()
	case begun:
		p.settle(Unknown, "no owner can be reached")
	default:
		p.settle(NotRun, "no owner can be reached")
	}
}

// offerLater offers the idle tasks again after a pause, unless that is due
// already.
func (p *pending) offerLater() {
	p.mu.Lock()
	due := p.retrying
	p.retrying = true
	p.mu.Unlock()
	if due {
		return
	}
	p.c.clock.AfterFunc(retryOwners, func() {
		p.mu.Lock()
		p.retrying = false
		p.mu.Unlock()
		p.offerIdle()
	})
}

// returned takes tasks back that are not at work at an owner, and will not be.
func (p *pending) returned(part *part, r schedule.Result) {
	p.mu.Lock()
	maps.Copy(p.past, r.History)
	p.takeBack(part, r.Returned)
	p.begun = p.begun || r.Begun || len(part.tasks) > 0 // the others run there
	p.mu.Unlock()
	p.offerIdle()
}

// ended takes the end of an offer.
func (p *pending) ended(part *part, r schedule.Result) {
	p.mu.Lock()
	delete(p.parts, part.number)
	p.begun = p.begun || r.Begun
	maps.Copy(p.past, r.History)
	for _, t := range r.Done {
		delete(p.left, t)
		delete(part.tasks, t)
	}
	if r.Outcome == schedule.Completed || !r.Begun {
		p.takeBack(part, lo.Keys(part.tasks)) // they are not at work there
	}
	switch r.Outcome {
	case schedule.NeverFits:
		p.search.never[part.group] = true
	case schedule.Expired:
		p.search.full[part.group] = true
	}
	complete := len(p.left) == 0
	p.mu.Unlock()
	switch {
	case complete:
		p.settle(Completed, "")
	case r.Outcome == schedule.Failed:
		p.settle(Failed, "a task failed as often as it may")
	case r.Outcome == schedule.Crashed:
		p.settle(Failed, "upstreams crash under a task")
	case r.Outcome == schedule.Expired && r.Begun:
		p.settle(Unknown, "no room in time for all of it")
	case r.Outcome == schedule.Unknown:
		p.settle(Unknown, "the owner of upstreams was lost")
	default:
		p.offerIdle()
	}
}
