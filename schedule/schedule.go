// Package schedule decides what runs where in one group of upstreams: which
// task starts next and on which upstream, when a run is stopped and its task
// started again elsewhere, and when a job is rejected. It does no I/O and reads
// no clock: the caller passes in events and the current time, and then makes
// the calls and delivers the results that the package returns.
//
// The terms of this package are:
//   - An upstream is a process that runs tasks. One execution of the process is
//     an incarnation of the upstream.
//   - The owner of a group of upstreams is the instance that alone gives them
//     work, by means of a Pool. Each owner has a higher fencing token than the
//     former one. An upstream refuses the orders of an owner once it has seen a
//     higher token.
//   - A coordinator is the instance that accepted a job from a customer. It hands
//     the job, or parts of it, to pools as offers. It may withdraw an offer, and
//     a pool may return tasks that it does not start.
//   - A run is one execution of a task. A pool orders at most one run of a task at a
//     time, but may learn of others (see taskRuns).
//   - A lease limits how long an upstream runs tasks without hearing from the
//     owner: when the lease lapses, the upstream stops its runs by itself.
//   - A report lists the runs that an upstream is executing and those that have
//     ended. The order that requests it also renews the leases.
//   - An upstream is silent if several reports in a row are missing. It is
//     ejected if it gets no work for some time because tasks fail or are slow
//     there.
//   - A job has begun once a run of one of its tasks has been ordered, or may have
//     been, in any pool.
package schedule

import (
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// Config holds the limits of a Pool.
type Config struct {
	// Lease is the length of the leases that are granted to upstreams. It is
	// short, because the tasks of a silent upstream start again elsewhere only
	// after its leases have lapsed. It must be longer than two report intervals,
	// because the requests for reports renew the leases, and one of them may fail.
	Lease time.Duration
	// ReportWait is how long an upstream may delay a report until a run ends.
	ReportWait time.Duration
	// RemovalGrace is how long an upstream that responds still gets work after
	// its entry has vanished from the store: during an outage of the store,
	// entries of healthy upstreams vanish too.
	RemovalGrace time.Duration
	// LinkRate is the capacity of the owner's network link in bytes per second; 0
	// means unlimited.
	LinkRate float64
	// RemoteFactor is how many times longer a task takes on an upstream outside
	// the rack of its data. Values below 1 count as 1.
	RemoteFactor float64
	// CoordinatorStaleAfter is how long the tasks of a coordinator may still start
	// after it was last known to be alive. Once this time has passed, the leases of
	// upstreams that run its tasks are not renewed either.
	CoordinatorStaleAfter time.Duration
	// If a coordinator has not been known to be alive for CoordinatorExpiresAfter,
	// the runs of its tasks are stopped.
	CoordinatorExpiresAfter time.Duration
	// EndedOwner is the fencing token of the former owner of the group, if its process has
	// certainly ended; otherwise 0.
	EndedOwner uint64
	// Policy switches the scheduling rules on and off.
	Policy Policy
}

// DefaultConfig suits upstreams that accept leases of up to one second.
var DefaultConfig = Config{
	Lease:        700 * time.Millisecond,
	ReportWait:   250 * time.Millisecond,
	RemovalGrace: 2500 * time.Millisecond,
	// Customers resubmit a job 1.3 s after their connection broke; by then no run
	// of the first submission may be left. The last lease is granted at most 500 ms
	// after the coordinator was last known to be alive. On the slowest clock allowed
	// it lapses 734 ms later: after 1.23 s in all.
	//
	// The stop that is sent after 900 ms takes effect within 100 ms if the upstream
	// responds. Until then none of the upstream's leases is renewed, but those of
	// the other runs there do not lapse before the stop has taken effect.
	CoordinatorStaleAfter:   500 * time.Millisecond,
	CoordinatorExpiresAfter: 900 * time.Millisecond,
	Policy:                  DefaultPolicy,
}

// maxLeaseShare limits the length of leases, as a fraction of the longest lease
// that upstreams accept.
const maxLeaseShare = 0.7

// ConfigForMaxLease returns a Config for upstreams that accept leases of at most
// the given length. If its leases are shorter than those of DefaultConfig, its
// report intervals are too, since requests for reports renew the leases.
func ConfigForMaxLease(longest time.Duration) Config {
	c := DefaultConfig
	if lease := time.Duration(maxLeaseShare * float64(longest)); lease < c.Lease {
		c.ReportWait = c.ReportWait * lease / c.Lease
		c.Lease = lease
	}
	return c
}

const (
	// minClockRate is the slowest rate at which the clock of an upstream may run,
	// relative to real time. A lease lasts longer on a slow clock.
	minClockRate = 0.98
	// leaseLapseMargin is a safety margin: a lease is assumed to have lapsed this
	// long after its computed end.
	leaseLapseMargin = 20 * time.Millisecond
	// minResendInterval is the shortest time after which a stop without a response
	// is sent again. It is also the shortest time after which an upstream that has
	// acknowledged a stop is polled again, until its report no longer lists the
	// run. It is only about ten round trips long, because the task starts elsewhere
	// only after both steps. See resendInterval for slow responses.
	minResendInterval = 25 * time.Millisecond
	// maxRecentEnds is how many ended runs are remembered per upstream. A report
	// that is delivered out of order may still list them as running, and without
	// this memory they would be taken for runs of a former owner.
	maxRecentEnds = 32
	// runNumberStep is added to the run number of a task after an upstream refused
	// a start because it had already seen that number or a higher one. With a
	// smaller step, more starts could be refused before one is accepted.
	runNumberStep = 8
)

// JobKey identifies a part of a job. It includes the coordinator, because a
// customer may submit the same job to another instance as well.
type JobKey struct {
	Coordinator string
	ID          string
	Part        int
}

// Offer is a job, or a part of one, that a coordinator hands to a pool.
type Offer struct {
	Key         JobKey
	Service     string
	Route       string
	Spec        string
	Demand      fleet.Resources // of each task
	Estimate    time.Duration   // duration of one task, as declared by the customer
	Priority    int             // 0 is the most urgent
	MaxAttempts int             // failed runs of one task after which the job has failed
	Tasks       []int           // indexes within their step, a set of identical tasks
	// History describes, by task index, the runs that tasks have had in other pools.
	// Tasks without such runs have no entry. All of these runs are over: none is
	// executing, and none can start late.
	History map[int]TaskHistory
	// The latency objective of the job is Stretch times the expected duration of its
	// longest task, plus Slack. It is counted from the job's first submission, which
	// was Age ago.
	Stretch float64
	Slack   time.Duration
	Age     time.Duration
	// Timeout is how long the customer still waits for the response.
	Timeout time.Duration
	// AliveAt is a time, on the pool's clock, at which the coordinator was certainly
	// alive and the customer connected. It is zero if the coordinator needs no lease
	// with the pool (see coordinatorLease), as in a simulation in which coordinators
	// do not fail.
	AliveAt time.Time
	// Begun is set if other tasks of the job have been started by other pools.
	Begun bool
	// MayQueue allows tasks to wait in the pool if no upstream has capacity for
	// them. If it is not set, they are returned at once.
	MayQueue bool
	// AllOrNothing starts the tasks only when all of them can start at once.
	AllOrNothing bool
	// Rack is the rack with the data of the tasks; "" if they have none.
	Rack string
	// MaxPerUpstream is how many of the tasks may run on one upstream at the same
	// time; 0 means unlimited.
	MaxPerUpstream int
	// AdoptFrom makes this an adopting offer (see adopt.go): it is the fencing token of the
	// owner with which the tasks were lost. It is 0 for all other offers.
	//
	// In an adopting offer, MayQueue allows the pool to take over runs that still execute. It
	// is not set if an owner was lost while it adopted the tasks: the owner before that one
	// may still be alive.
	AdoptFrom uint64
}

// TaskHistory describes the earlier runs of a task that moves from one pool to
// another. With it the next pool continues the run numbers, and applies the limits
// on failures and crashes to the runs in all pools.
type TaskHistory struct {
	LastRun    uint32 // number of the last run
	FailedRuns int
	Crashes    int // upstreams that crashed while they ran the task
}

// Outcome is how an offer ended in its pool.
type Outcome string

// The outcomes of an offer.
const (
	Completed Outcome = "completed"  // every task that was not returned is done
	Failed    Outcome = "failed"     // a task reached its limit of failed runs
	Crashed   Outcome = "crashed"    // a task reached its limit of crashed upstreams
	Expired   Outcome = "expired"    // the job cannot finish in time
	NeverFits Outcome = "never_fits" // no upstream is large enough for a task
	Cancelled Outcome = "cancelled"  // the customer cancelled the job
	Unknown   Outcome = "unknown"    // the pool cannot learn how runs end, or the customer resubmitted the job to another coordinator
)

// Result tells the coordinator that tasks of an offer are returned, or that the
// offer has ended.
type Result struct {
	Key     JobKey
	Outcome Outcome // empty while the offer goes on
	Done    []int
	// Returned are tasks that are not running in this pool and that it will not
	// start. Those without an entry in History have never started.
	Returned []int
	History  map[int]TaskHistory // of the tasks that have been returned so far
	Begun    bool                // a task of the offer has started in this pool, or may have
}

// Start is an order to start a run on an upstream.
type Start struct {
	Upstream fleet.Upstream
	Order    fleet.StartOrder
	// LinkDelay is how long the owner's network link takes to transmit everything
	// that is queued ahead of the order, and then the order itself.
	LinkDelay time.Duration
	// SendBy is when the lease that the order grants ends. The order must not be
	// sent later. The incarnation that it is meant for would refuse it as too late,
	// but the next incarnation, whose clock starts afresh, would carry it out.
	SendBy time.Time
}

// Stop is an order to stop a run on an upstream.
type Stop struct {
	Upstream fleet.Upstream
	Run      fleet.Run
}

// Effects are what the caller must do after an input: send the orders and polls,
// deliver the results and log the decisions.
type Effects struct {
	Starts    []Start
	Stops     []Stop
	Polls     []string // upstreams to ask for a report at once
	Progress  []Result // tasks that are done, of offers that go on
	Returns   []Result // returned tasks of offers that go on; their coordinators offer them to other pools
	Results   []Result // results of offers that have ended
	Decisions []Decision
	// Room is how the capacity was used since the last tick, if the pool is crowded.
	Room RoomUse
}

type runState int

const (
	starting runState = iota
	running
	stopping // a stop was ordered and has not been acknowledged
	stopped  // the stop was acknowledged; the task waits again once a report no longer lists the run
)

// run is a run that may be executing or may still start.
type run struct {
	id               fleet.Run
	job              *job // nil once the run is no longer wanted
	upstream         *upstream
	demand           fleet.Resources // zero if fromFormerOwner is set, since the demand is not known then
	takenOver        bool            // fromFormerOwner was set before
	fromFormerOwner  bool            // reported by the upstream, but ordered by a former owner of the group
	state            runState
	orderedAt        time.Time // when the network link has transmitted the order to start it
	startAckedAt     time.Time // when its start was acknowledged or a report first listed it; zero before
	unwantedSince    time.Time // when its job ended or was withdrawn; zero while the run is wanted
	stopSentAt       time.Time
	stopAckedAt      time.Time
	expectedDuration time.Duration // as estimated when the run was ordered
	remoteFactor     float64       // how many times longer the task takes because its data is in another rack; 1 in the same rack
	speedLog         float64       // logarithm of how many times longer the task takes because of the lasting speed of the upstream; 0 on most
	expOfSpeedLog    float64       // the factor that belongs to speedLog; 0 until it is needed
	slowdownLearned  bool          // its pace has been used to estimate the upstream's speed
	polledAt         time.Time     // when the upstream was last polled because of this run
	reported         bool          // a report has listed the run
	percent          int           // share of its work that is done, as last reported
	percentRoseAt    time.Time     // when a report last showed progress
	percentAt        time.Time     // when percent was last reported
}

type taskState int

const (
	waiting taskState = iota
	placed            // a run was ordered
	ended
	// blocked means that the task must not start yet, because a run of it that was
	// not ordered for this offer may still be executing. That run was ordered for an
	// earlier submission of the job or by a former owner, and is being stopped.
	blocked
	// adopting means that the task belongs to an adopting offer and that no done run of it
	// has been found yet. It never starts.
	adopting
)

type task struct {
	index      int
	state      taskState
	lastRun    uint32 // number of the last run
	failedRuns int
	moves      int // runs that were stopped because they were slow or stalled
}

// history returns the history of a task, without its crashes, and whether the task has had
// a run.
func (t *task) history() (TaskHistory, bool) {
	return TaskHistory{LastRun: t.lastRun, FailedRuns: t.failedRuns}, t.lastRun > 0
}

type job struct {
	Offer
	coordinatorLease     *coordinatorLease // nil if the coordinator needs no lease
	offeredAt            time.Time
	expectedTaskDuration time.Duration
	tasks                map[int]*task // by index
	taskList             []*task       // in the order of the offer
	unfinished           int           // tasks that are neither done nor returned
	blockedTasks         int
	begun                bool                // this pool has ordered a run of one of its tasks
	failedOn             map[string]bool     // upstreams on which a task of it failed
	failureChargedTo     *upstream           // where a task failed first; nil before that, and once a task failed on another upstream too
	history              map[int]TaskHistory // of tasks that were returned after they had runs
	done                 []int
	sortKey              queueKey
}

type upstream struct {
	fleet.Upstream
	accepted   bool      // it has sent a report, and so has accepted the fencing token
	acceptedAt time.Time // when its first report came
	// entryPending is set while only reports have told of this incarnation. It may differ from the
	// former one in everything that its entry contains, such as its capacity, so that nothing
	// starts there until the entry has been read.
	entryPending    bool
	listed          bool      // the store has an entry of it
	unlistedAt      time.Time // when its entry was found to be missing
	used            fleet.Resources
	runs            map[fleet.Run]*run
	sorted          []*run // the runs in the order of compareRuns, see sortedRuns; nil if not up to date
	formerOwnerRuns int
	clockMs         int64       // its clock, as of the last report
	clockReadAt     time.Time   // when the last report came
	aliveAt         time.Time   // the upstream gave its last report then or later, see noteAlive
	aliveClockMs    int64       // its clock, as of the report that aliveAt is about
	maxLeaseUntilMs int64       // the latest end, on its clock, of the leases granted to it
	lastEndSequence uint64      // sequence number of the last reported end of a run that was processed
	recentEnds      []fleet.Run // the last runs that ended, newest last
	// unresolvedStarts are runs that are no longer tracked although the orders to
	// start them may still be in transit.
	unresolvedStarts []fleet.Run
	// suspectedTasks are the tasks that became suspects when the leases of the upstream
	// lapsed and it was assumed to have crashed. If it responds again, it had not crashed,
	// and this crash no longer counts against them.
	suspectedTasks    []fleet.TaskRef
	reportRequestedAt time.Time // when the newest processed report was requested
	missedReports     int       // reports missing in a row; a report, or a start or stop that succeeds, resets it to 0
	silent            bool
	renewalBlocked    bool // its leases must not be renewed, according to the last call of checkRenewals
	health            health
	slowdown          slowdown
	speed             lastingSpeed
}
