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

// Owners gives access to the owners of the upstream groups, on this and on other instances.
type Owners interface {
	// Loads returns the last reported load of each reachable owner.
	Loads() []OwnerLoad
	// Offer hands tasks to the owner of a group. After an error none of the tasks has
	// begun, and the callbacks are not called.
	Offer(group string, o schedule.Offer, callbacks owner.OfferCallbacks) error
	// Withdraw cancels an offer.
	Withdraw(group string, key schedule.JobKey, reason string)
}

// Verdict is the final outcome of a job for its customer.
type Verdict string

const (
	Completed Verdict = "completed"
	// Failed means that the job cannot complete: a task failed or crashed its upstream too
	// often, no upstream is large enough, or the customer cancelled the job.
	Failed       Verdict = "failed"
	NotRun       Verdict = "not_run" // no task has begun, and none will
	Unknown      Verdict = "unknown" // tasks may have run, but the job is not complete
	CustomerLeft Verdict = "left"    // the customer closed its connection
)

// Response is the final response to the customer of a job.
type Response struct {
	Verdict Verdict
	Reason  string
	Begun   bool // a task of the job may have begun
	// RetryAfter is how long the customer should wait before it sends the job again; 0
	// unless the verdict is NotRun.
	RetryAfter time.Duration
	Offers     int    // number of offers made to owners
	Groups     string // comma-separated groups that received offers, in order
	// Owners is the number of owners whose load was known when the job last looked for one.
	Owners    int
	OwnersAge time.Duration // age of the oldest of their load reports
}

// Request is a job submitted by a customer, with its route.
type Request struct {
	Job   *fleet.Job
	Route *fleet.Route
	// Timeout is how long the customer waits for the response.
	Timeout time.Duration
	// Disconnected reports, without blocking, whether the customer's connection has ended;
	// nil means that it never ends. It is called before each offer: after a pause, an
	// instance reads requests whose customers have already sent them to another instance,
	// and would run them a second time.
	Disconnected func() bool
}

const shardCount = 16

// Clock is the source of time of a Coordinator; simulations replace it.
type Clock interface {
	Now() time.Time
	AfterFunc(d time.Duration, f func())
}

// systemClock implements Clock with the clock and the timers of the process.
type systemClock struct{}

func (systemClock) Now() time.Time { return clock.Now() }

func (systemClock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

// Coordinator coordinates the jobs that this instance accepts: it offers their tasks to
// owners of upstreams until each job has a verdict.
type Coordinator struct {
	zone       string
	owners     Owners
	clock      Clock
	policy     Policy
	retries    retryPlan
	offersMade atomic.Uint32 // number of the last offer
	// sendsInFlight counts the goroutines that have decided to make or withdraw offers and
	// may not have sent the messages yet.
	sendsInFlight atomic.Int32
	shards        [shardCount]jobShard
}

// jobShard holds a part of the open jobs under a lock of its own.
type jobShard struct {
	mu   sync.Mutex
	jobs map[string]*openJob // by job id
}

// NewCoordinator returns a Coordinator for an instance in the given zone.
func NewCoordinator(zone string, owners Owners) *Coordinator {
	return NewSimulatedCoordinator(zone, owners, systemClock{}, DefaultPolicy)
}

// NewSimulatedCoordinator is like NewCoordinator, with the given clock and policy.
func NewSimulatedCoordinator(zone string, owners Owners, clock Clock, policy Policy) *Coordinator {
	c := &Coordinator{zone: zone, owners: owners, clock: clock, policy: policy}
	for i := range c.shards {
		c.shards[i].jobs = map[string]*openJob{}
	}
	return c
}

func (c *Coordinator) shard(id string) *jobShard {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id)) // never fails
	return &c.shards[h.Sum32()%shardCount]
}

// Run coordinates a job until it has a verdict, the customer's timeout has passed, or
// disconnected is closed. If a job with the same id is open, no second one is started: all
// its customer's connections receive the response to the open one.
func (c *Coordinator) Run(r Request, disconnected <-chan struct{}) Response {
	j, w, created := c.attachOrCreate(r)
	if created {
		j.offerUnassigned()
	}
	return j.awaitResponse(w, disconnected, r.Timeout)
}

// Start coordinates a job without blocking, and calls onResponse once it has a verdict. A
// simulation calls timeOut when the customer's timeout has passed.
func (c *Coordinator) Start(r Request, onResponse func(Response)) (timeOut func()) {
	j, w := c.newJob(r)
	j.onResponse = onResponse
	j.offerUnassigned()
	return func() { j.timeOut(w) }
}

func (c *Coordinator) newJob(r Request) (*openJob, *waiter) {
	j := &openJob{
		Request: r, coordinator: c, acceptedAt: c.clock.Now(), done: make(chan struct{}), unfinished: map[int]bool{}, history: map[int]schedule.TaskHistory{},
		offers: map[int]*openOffer{}, search: newOwnerSearch(),
	}
	for i := range r.Job.Steps[0].Count {
		j.unfinished[i] = true
		j.unassigned = append(j.unassigned, i)
	}
	return j, j.addWaiter(r)
}

// attachOrCreate adds a waiter for the request to the open job with the same id, or creates
// a job if there is none.
func (c *Coordinator) attachOrCreate(r Request) (j *openJob, w *waiter, created bool) {
	s := c.shard(r.Job.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.jobs[r.Job.ID]; existing != nil {
		if w := existing.addWaiter(r); w != nil {
			return existing, w, false
		}
	}
	j, w = c.newJob(r)
	s.jobs[r.Job.ID] = j
	return j, w, true
}

// remove deletes a job from the open ones, unless a newer job has the same id.
func (c *Coordinator) remove(j *openJob) {
	s := c.shard(j.Job.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs[j.Job.ID] == j {
		delete(s.jobs, j.Job.ID)
	}
}

// State returns the state of a job, or false if the job is not open.
func (c *Coordinator) State(id string) (fleet.State, bool) {
	s := c.shard(id)
	s.mu.Lock()
	j := s.jobs[id]
	s.mu.Unlock()
	if j == nil {
		return "", false
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.offers) > 0 {
		return fleet.StateRunning, true
	}
	return fleet.StateQueued, true
}

// Cancel ends a job, and reports whether it was open.
func (c *Coordinator) Cancel(id string) bool {
	s := c.shard(id)
	s.mu.Lock()
	j := s.jobs[id]
	s.mu.Unlock()
	if j == nil {
		return false
	}
	j.settle(Failed, "cancelled")
	return true
}

// EndDisconnected ends the jobs all of whose customer connections have ended, as far as the
// operating system knows now. It reports whether every offer and withdrawal decided so far
// has been sent. If it reports false, leases must not be renewed: a renewal that overtakes
// a withdrawal would tell the owner that a disconnected customer still waits.
func (c *Coordinator) EndDisconnected() (sent bool) {
	for _, j := range c.sortedJobs() {
		j.detachDisconnected()
	}
	return c.sendsInFlight.Load() == 0
}

// EndTimedOut ends the jobs whose customers' timeouts have passed. Timers end them as well,
// but after a suspension of the machine they fire late by the length of the suspension.
func (c *Coordinator) EndTimedOut() {
	now := c.clock.Now()
	for _, j := range c.sortedJobs() {
		j.detachTimedOut(now)
	}
}

// Abandon ends every open job because this instance shuts down.
func (c *Coordinator) Abandon() {
	for _, j := range c.sortedJobs() {
		j.settle(Unknown, "this instance ends")
	}
}

// WaitingJobs returns the number of open jobs of a route without an open offer.
func (c *Coordinator) WaitingJobs(route string) int {
	n := 0
	c.forEachJob(func(j *openJob) {
		j.mu.Lock()
		defer j.mu.Unlock()
		if j.Route.Name == route && len(j.offers) == 0 {
			n++
		}
	})
	return n
}

// OpenJobs returns the number of jobs without a verdict.
func (c *Coordinator) OpenJobs() int {
	n := 0
	c.forEachJob(func(*openJob) { n++ })
	return n
}

// sortedJobs returns the open jobs sorted by id.
func (c *Coordinator) sortedJobs() []*openJob {
	var open []*openJob
	c.forEachJob(func(j *openJob) { open = append(open, j) })
	slices.SortFunc(open, func(a, b *openJob) int { return strings.Compare(a.Job.ID, b.Job.ID) })
	return open
}

func (c *Coordinator) forEachJob(f func(*openJob)) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for _, j := range s.jobs {
			f(j)
		}
		s.mu.Unlock()
	}
}

// retryAfter returns how long a customer should wait before it sends its job again, or 0 if
// it should not, given the outcome of the job's search for an owner. It also counts
// completed jobs in the completion rate.
func (c *Coordinator) retryAfter(v Verdict, outcome searchOutcome) time.Duration {
	switch {
	case v == Completed:
		c.retries.recordCompletion(c.clock.Now())
		return 0
	case v != NotRun:
		return 0
	case outcome == noCapacityInTime && c.policy.SpreadReturns:
		return c.retries.nextRetryAfter(c.clock.Now())
	case outcome == allGroupsClosed:
		return closedRetryAfter
	default:
		return minRetryAfter
	}
}

// Objective returns the latency objective of the job, computed from the customer's estimate
// and the route.
func (r *Request) Objective() time.Duration { return objective(r.Job, r.Route) }

func objective(job *fleet.Job, route *fleet.Route) time.Duration {
	return time.Duration(route.Stretch*float64(job.Steps[0].Estimate)) + route.Slack
}
