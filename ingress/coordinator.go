package ingress

import (
	"hash/fnv"
	"math/rand/v2"
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
	// Offer hands tasks to the owner of a group. If it returns an error, none of the tasks
	// has begun or will begin, and the callbacks are never called.
	Offer(group string, o schedule.Offer, callbacks owner.OfferCallbacks) error
	// Withdraw cancels an offer.
	Withdraw(group string, key schedule.JobKey, reason string)
}

// Verdict is the final outcome of a job for its customer.
type Verdict string

const (
	Completed Verdict = "completed"
	// Failed means that the job cannot complete. Either a task failed or crashed its upstream
	// too often, no upstream is large enough for a task, or the customer cancelled the job.
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
	// RetryAfter is how long the customer should wait before it sends the job again. It is 0
	// for all verdicts but NotRun.
	RetryAfter time.Duration
	Offers     int    // number of offers made to owners
	Groups     string // comma-separated groups that received offers, in order
	// Owners is the number of owners whose load was known when an owner was last chosen for
	// tasks of the job.
	Owners    int
	OwnersAge time.Duration // age of the oldest load report used for that choice
	// RejectedAtOnce is set if the job was rejected without any offer, because the waits that
	// the owners had reported showed that it would be late.
	RejectedAtOnce bool
	// Probe is set if the job was offered although these waits showed that it would be late.
	Probe bool
	// Waits holds the earliest starts for which the job was rejected or a probe; see formatWaits.
	Waits string
}

// Request is one submission of a job by a customer, with the route that it matches.
type Request struct {
	Job   *fleet.Job
	Route *fleet.Route
	// Timeout is how long the customer waits for the response.
	Timeout time.Duration
	// Disconnected reports, without blocking, whether the customer's connection has ended;
	// nil means that it never ends. It is called before each offer. An instance that resumes
	// after a pause may read a request that its customer has meanwhile sent to another
	// instance; an offer would run the job a second time.
	Disconnected func() bool
	// SuspendedBefore is how long the machine had been suspended in all when the customer
	// connected. If it has been suspended since, nothing is known of the connection.
	SuspendedBefore time.Duration
}

// shardCount is the number of locks over which the open jobs are spread.
const shardCount = 16

// Clock is the source of time and of timers of a Coordinator. Simulations provide one with
// virtual time.
type Clock interface {
	Now() time.Time
	AfterFunc(d time.Duration, f func())
	// Suspended returns how long the machine has been suspended in all.
	Suspended() time.Duration
}

// systemClock implements Clock with the clock and the timers of the process.
type systemClock struct{}

func (systemClock) Now() time.Time { return clock.Now() }

func (systemClock) AfterFunc(d time.Duration, f func()) { time.AfterFunc(d, f) }

func (systemClock) Suspended() time.Duration { return clock.Suspended() }

// Coordinator coordinates the jobs that this instance accepts: it offers the tasks of each
// job to owners of upstream groups until the job has a verdict.
type Coordinator struct {
	zone       string
	owners     Owners
	clock      Clock
	policy     Policy
	queues     queueChooser
	retries    retryPlan
	offersMade atomic.Uint32 // offers made so far by all jobs; also the number of the newest offer
	// sendsInFlight counts the goroutines that have decided to make or withdraw an offer, but
	// may not have sent the message to the owner yet.
	sendsInFlight atomic.Int32
	lastResume    resumeTracker
	orphans       orphanedJobs
	cancelled     cancelledJobs
	shards        [shardCount]jobShard
}

// jobShard holds the open jobs of one hash value of the job id, under a lock of its own.
type jobShard struct {
	mu   sync.Mutex
	jobs map[string]*openJob // by job id
}

// NewCoordinator returns a Coordinator for an instance in the given zone.
func NewCoordinator(zone string, owners Owners) *Coordinator {
	return NewSimulatedCoordinator(zone, owners, systemClock{}, DefaultPolicy, rand.Float64)
}

// NewSimulatedCoordinator is like NewCoordinator, but uses the given clock, policy and source of
// random numbers instead of the system's clock, DefaultPolicy and rand.Float64.
func NewSimulatedCoordinator(zone string, owners Owners, clock Clock, policy Policy, random func() float64) *Coordinator {
	c := &Coordinator{zone: zone, owners: owners, clock: clock, policy: policy, queues: queueChooser{policy: policy, zone: zone, random: random}}
	c.orphans = orphanedJobs{coordinator: c, jobs: map[*openJob]struct{}{}}
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

// Run coordinates a job and returns the response once the job has a verdict, the customer's
// timeout has passed, or disconnected is closed. If a job with the same id is already open,
// Run starts no second one: it waits for the open job, and each of the waiting connections
// receives the same response. A job that was cancelled lately is not run.
func (c *Coordinator) Run(r Request, disconnected <-chan struct{}) Response {
	j, w, created := c.attachOrCreate(r)
	if j == nil {
		return Response{Verdict: Failed, Reason: reasonCancelled}
	}
	if created {
		j.offerUnassigned()
	}
	return j.awaitResponse(w, disconnected, r.Timeout)
}

// Start is used in place of Run by simulations, in which nothing may block. It starts to
// coordinate a job and calls onResponse, possibly before Start returns, when the job gets its
// verdict. The simulation must call timeOut when the customer's timeout has passed. The job
// is not registered: the methods that act on open jobs do not see it.
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
// a job if there is none. It returns no job if the job was cancelled lately.
func (c *Coordinator) attachOrCreate(r Request) (j *openJob, w *waiter, created bool) {
	s := c.shard(r.Job.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing := s.jobs[r.Job.ID]; existing != nil {
		if w := existing.addWaiter(r); w != nil {
			return existing, w, false
		}
	}
	if c.IsCancelled(r.Job.ID) {
		return nil, nil, false
	}
	j, w = c.newJob(r)
	s.jobs[r.Job.ID] = j
	return j, w, true
}

// remove deletes a job from its shard, unless a newer job with the same id has replaced it
// there.
func (c *Coordinator) remove(j *openJob) {
	s := c.shard(j.Job.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs[j.Job.ID] == j {
		delete(s.jobs, j.Job.ID)
	}
}

// State returns the state of an open job: running if tasks of it are in an open offer, queued
// otherwise. It returns false if no job with this id is open.
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

// EndDisconnected ends each job whose customer has no open connection left, as far as the
// operating system knows now, and withdraws the job's offers. A connection from before the last
// suspension of the machine counts as closed. EndDisconnected must be called before the renewal
// of a lease, which tells the owner that the customers of all jobs not withdrawn still wait.
//
// The result is true if every offer and withdrawal decided so far has been sent. If it is false,
// the lease must not be renewed: the renewal could overtake a withdrawal, and the owner would
// start tasks for a customer that has disconnected. The result is also false, and no job ended,
// until resultGrace after a resume.
func (c *Coordinator) EndDisconnected() (mayRenew bool) {
	suspendedTotal := c.clock.Suspended()
	if c.lastResume.isRecent(c.clock.Now(), suspendedTotal) {
		return false
	}
	for _, j := range c.sortedJobs() {
		j.detachDisconnected(suspendedTotal)
	}
	return c.sendsInFlight.Load() == 0
}

// EndTimedOut ends the jobs whose customers' timeouts have passed. Normally timers do that.
// EndTimedOut must be called after a suspension of the machine, because a timer that runs
// during a suspension fires late by its length.
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

// WaitingJobs returns the number of open jobs of the given route that have no open offer.
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

// OpenJobs returns the number of open jobs of all routes.
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

// retryAfter returns how long a customer should wait before it sends its job again, given the
// verdict on the job and the reason why no owner was found. It returns 0 if the customer need
// not send the job again. It must be called once per job, because it also records completed
// jobs in the completion rate, from which the retries are planned.
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

// Objective returns the latency objective of the job: the time within which it should
// complete. It is the customer's estimate of a task's duration times the route's stretch,
// plus the route's slack.
func (r *Request) Objective() time.Duration { return objective(r.Job, r.Route) }

func objective(job *fleet.Job, route *fleet.Route) time.Duration {
	return time.Duration(route.Stretch*float64(job.Steps[0].Estimate)) + route.Slack
}
