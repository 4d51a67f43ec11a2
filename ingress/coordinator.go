package ingress

import (
	"hash/fnv"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// Owners reaches the owners of groups, here or on other instances.
type Owners interface {
	// Loads lists the owners that can be reached.
	Loads() []OwnerLoad
	// Offer hands tasks to the owner of a group. With an error nothing of
	// them began; the answer is not called then.
	Offer(group string, o schedule.Offer, answer owner.OfferCallbacks) error
	// Withdraw ends an offer.
	Withdraw(group string, key schedule.JobKey, reason string)
}

// Verdict is the final answer to a job's customer.
type Verdict string

// The verdicts.
const (
	Completed    Verdict = "completed"
	Failed       Verdict = "failed"  // ran, and will not complete
	NotRun       Verdict = "not_run" // nothing of it began, or ever will
	Unknown      Verdict = "unknown" // something may have run, and it is not complete
	CustomerLeft Verdict = "left"    // the customer has left
)

// Response is a verdict with its reason.
type Response struct {
	Verdict Verdict
	Reason  string
	Begun   bool
	// RetryAfter is when the customer of a job that has not run should send it
	// again.
	RetryAfter time.Duration
	Offers     int    // that were made
	Groups     string // they went to, in order
	// Owners is how many owners were known at the last offer, and OwnersAge
	// the age of the oldest of their load reports.
	Owners    int
	OwnersAge time.Duration
}

// Request is a job with what the coordinator needs of its route.
type Request struct {
	Job   *fleet.Job
	Route *fleet.Route
	// Timeout is how long the customer waits for an answer.
	Timeout time.Duration
	// Disconnected tells at once whether the customer's connection has ended; nil is never.
	// It is asked before each offer: an instance that was held up for a while reads
	// requests whose customers have long sent them again elsewhere, and would run them
	// a second time.
	Disconnected func() bool
}

const shardCount = 16

// Clock tells the time and calls back later: the real one, or a simulated one.
type Clock interface {
	Now() time.Time
	AfterFunc(d time.Duration, f func())
}

// realClock is the clock of the process.
type realClock struct{}

func (realClock) Now() time.Time { return clock.Now() }

func (realClock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// Coordinator coordinates the jobs of this instance.
type Coordinator struct {
	zone    string
	owners  Owners
	clock   Clock
	policy  Policy
	returns returnPlan
	parts   atomic.Uint32 // offers so far, which it numbers
	// sending counts the goroutines that have decided on an offer or on withdrawals and may
	// not have sent them yet.
	sending atomic.Int32
	shards  [shardCount]shard
}

// shard holds some of the open jobs under its own lock.
type shard struct {
	mu   sync.Mutex
	open map[string]*pending
}

// NewCoordinator returns a coordinator without jobs.
func NewCoordinator(zone string, owners Owners) *Coordinator {
	return NewSimulatedCoordinator(zone, owners, realClock{}, DefaultPolicy)
}

// NewSimulatedCoordinator is NewCoordinator on another clock and under another policy.
func NewSimulatedCoordinator(zone string, owners Owners, clock Clock, policy Policy) *Coordinator {
	c := &Coordinator{zone: zone, owners: owners, clock: clock, policy: policy}
	for i := range c.shards {
		c.shards[i].open = map[string]*pending{}
	}
	return c
}

func (c *Coordinator) shard(id string) *shard {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return &c.shards[h.Sum32()%shardCount]
}

// Run coordinates a job until it has a verdict, or left is closed because its
// customer is gone. A job that is open already goes on, and answers both.
func (c *Coordinator) Run(r Request, left <-chan struct{}) Response {
	p, me, first := c.open(r)
	if first {
		p.offerIdle()
	}
	return p.await(me, left, r.Timeout)
}

// Start coordinates a job without waiting, and calls decided with its verdict. It
// returns what a simulation calls when the customer's patience is over.
func (c *Coordinator) Start(r Request, decided func(Response)) (timeUp func()) {
	p, me := c.newPending(r)
	p.onVerdict = decided
	p.offerIdle()
	return func() { p.timeUp(me) }
}

func (c *Coordinator) newPending(r Request) (*pending, *customer) {
	p := &pending{
		Request: r, c: c, began: c.clock.Now(), decided: make(chan struct{}), left: map[int]bool{}, past: map[int]schedule.TaskHistory{},
		parts: map[int]*part{}, search: newSearch(),
	}
	for i := range r.Job.Steps[0].Count {
		p.left[i] = true
		p.idle = append(p.idle, i)
	}
	return p, p.attach(r)
}

// open returns the open job of a request, with the connection that waits for it now,
// and whether the request is the first one for it.
func (c *Coordinator) open(r Request) (p *pending, me *customer, first bool) {
	s := c.shard(r.Job.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if other := s.open[r.Job.ID]; other != nil {
		if me := other.attach(r); me != nil {
			return other, me, false
		}
	}
	p, me = c.newPending(r)
	s.open[r.Job.ID] = p
	return p, me, true
}

// close takes a job out of the books, unless another of its id has taken its place.
func (c *Coordinator) close(p *pending) {
	s := c.shard(p.Job.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[p.Job.ID] == p {
		delete(s.open, p.Job.ID)
	}
}

// State returns the state of an open job.
func (c *Coordinator) State(id string) (fleet.State, bool) {
	s := c.shard(id)
	s.mu.Lock()
	p := s.open[id]
	s.mu.Unlock()
	if p == nil {
		return "", false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.parts) > 0 {
		return fleet.StateRunning, true
	}
	return fleet.StateQueued, true
}

// Cancel ends an open job.
func (c *Coordinator) Cancel(id string) bool {
	s := c.shard(id)
	s.mu.Lock()
	p := s.open[id]
	s.mu.Unlock()
	if p == nil {
		return false
	}
	p.settle(Failed, "cancelled")
	return true
}

// EndDisconnected ends the jobs whose customers have left, as far as the system knows now. It
// reports whether all that was decided till then has been sent: a lease that is renewed
// ahead of a withdrawal vouches for a customer that has left.
func (c *Coordinator) EndDisconnected() (sent bool) {
	for _, p := range c.all() {
		p.dropLeft()
	}
	return c.sending.Load() == 0
}

// EndTimedOut ends the jobs whose customers do not wait any more. Their timers do so as
// well, later by as much as the machine was suspended meanwhile.
func (c *Coordinator) EndTimedOut() {
	now := c.clock.Now()
	for _, p := range c.all() {
		p.dropOverdue(now)
	}
}

// Abandon gives up every open job: this instance ends.
func (c *Coordinator) Abandon() {
	for _, p := range c.all() {
		p.settle(Unknown, "this instance ends")
	}
}

// WaitingJobs counts the open jobs of a route that no owner has taken.
func (c *Coordinator) WaitingJobs(route string) int {
	n := 0
	c.each(func(p *pending) {
		p.mu.Lock()
		defer p.mu.Unlock()
		if p.Route.Name == route && len(p.parts) == 0 {
			n++
		}
	})
	return n
}

// OpenJobs counts the jobs without a verdict.
func (c *Coordinator) OpenJobs() int {
	n := 0
	c.each(func(*pending) { n++ })
	return n
}

// all returns the open jobs, by id.
func (c *Coordinator) all() []*pending {
	var open []*pending
	c.each(func(p *pending) { open = append(open, p) })
	slices.SortFunc(open, func(a, b *pending) int { return strings.Compare(a.Job.ID, b.Job.ID) })
	return open
}

func (c *Coordinator) each(f func(*pending)) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for _, p := range s.open {
			f(p)
		}
		s.mu.Unlock()
	}
}

// retryAfter is when a customer should send its job again, zero where it should
// not. Why is what its search for room came to.
func (c *Coordinator) retryAfter(v Verdict, why outcome) time.Duration {
	switch {
	case v == Completed:
		c.returns.completed(c.clock.Now())
		return 0
	case v != NotRun:
		return 0
	case why == crowded && c.policy.SpreadReturns:
		return c.returns.next(c.clock.Now())
	case why == closed:
		return closedReturn
	default:
		return soonest
	}
}

// Objective is how long the job may take to be in time, by what its customer
// estimates.
func (r *Request) Objective() time.Duration { return objective(r.Job, r.Route) }

func objective(job *fleet.Job, route *fleet.Route) time.Duration {
	return time.Duration(route.Stretch*float64(job.Steps[0].Estimate)) + route.Slack
}
