// Package schedule decides what runs where in one group of upstreams: which
// task starts next and on which upstream, when a run is stopped and started
// again elsewhere, and when a job is rejected. It does no I/O and reads no
// clock: events and the current time are passed in, and the calls to make and
// the results to deliver are returned.
package schedule

import (
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// Config holds the limits of a Pool.
type Config struct {
	// Lease is the length of the leases that are granted to upstreams. The tasks
	// of a silent upstream start again elsewhere only after its leases have
	// lapsed, so it is short; but it must be longer than two report intervals.
	Lease time.Duration
	// ReportWait is how long an upstream may hold back a report until a run ends.
	ReportWait time.Duration
	// RemovalGrace is how long an upstream whose entry has vanished from the
	// store still gets work while it answers: during an outage of the store,
	// entries vanish although their upstreams are healthy.
	RemovalGrace time.Duration
	// LinkRate is the capacity of the owner's network link in bytes per second; 0
	// means unlimited.
	LinkRate float64
	// RemoteFactor is how many times longer a task takes on an upstream outside
	// the rack of its data. Values below 1 count as 1.
	RemoteFactor float64
	// CoordinatorStaleAfter is the time since a coordinator was last known to be
	// alive after which its tasks no longer start, and the leases of upstreams
	// that run them are no longer renewed.
	CoordinatorStaleAfter time.Duration
	// CoordinatorExpiresAfter is the time since a coordinator was last known to
	// be alive after which its runs are stopped.
	CoordinatorExpiresAfter time.Duration
	// Policy switches the scheduling rules on and off.
	Policy Policy
}

// DefaultConfig suits upstreams that grant leases of up to one second.
var DefaultConfig = Config{
	Lease:        700 * time.Millisecond,
	ReportWait:   250 * time.Millisecond,
	RemovalGrace: 2500 * time.Millisecond,
	// Customers resubmit a job 1.3 s after their connection broke; by then no run
	// of the first submission may be left. A lease that is granted
	// CoordinatorStaleAfter after the coordinator was last alive lapses at most
	// 734 ms later, on the slowest clock allowed: 1.23 s in all.
	//
	// A stop that is sent after CoordinatorExpiresAfter takes effect within 100 ms
	// if the upstream answers. The leases of the other runs on that upstream, which
	// are not renewed meanwhile, last until then.
	CoordinatorStaleAfter:   500 * time.Millisecond,
	CoordinatorExpiresAfter: 900 * time.Millisecond,
	Policy:                  DefaultPolicy,
}

// maxLeaseShare is the largest part of the longest lease that an upstream grants
// that is used.
const maxLeaseShare = 0.7

// ConfigForMaxLease returns a Config for upstreams that grant leases of at most
// the given length.
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
	// relative to real time.
	minClockRate = 0.98
	// leaseLapseMargin is how long after its computed end a lease is taken to
	// have lapsed.
	leaseLapseMargin = 20 * time.Millisecond
	// minResendInterval is the shortest time after which an unanswered stop is sent
	// again, and after which an upstream is polled again for a report without a
	// stopped run: about ten round trips, since the task cannot start elsewhere
	// before both have been answered. The interval is longer where answers take
	// longer.
	minResendInterval = 25 * time.Millisecond
	// maxRecentEnds is how many ended runs are remembered per upstream: a report
	// that is delivered out of order may still list them as running.
	maxRecentEnds = 32
	// runNumberStep is by how much the run number of a task is raised after an
	// upstream refused a start because it has seen a higher number.
	runNumberStep = 8
)

// JobKey identifies a part of a job as one instance coordinates it. A customer
// may submit a job with the same ID to another instance as well.
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
	Tasks       []int           // indexes within the step
	// History holds the earlier runs, in other pools, of those tasks that had any.
	// All of these runs have ended, and none can start any more.
	History map[int]TaskHistory
	// The latency objective of the job is Stretch times its work plus Slack,
	// counted from its first submission, which was Age ago.
	Stretch float64
	Slack   time.Duration
	Age     time.Duration
	// Timeout is how long the customer still waits for the response.
	Timeout time.Duration
	// AliveAt is a time at which the coordinator was certainly alive and the
	// customer connected, on the clock of the process that holds the offer. It is
	// zero for a coordinator in the same process as the pool, which needs no lease.
	AliveAt time.Time
	// Begun is set if other tasks of the job have started elsewhere.
	Begun bool
	// MayQueue allows tasks to wait in the pool if no upstream has capacity for
	// them. Without it, they are returned at once.
	MayQueue bool
	// AllOrNothing starts either all tasks at once or none.
	AllOrNothing bool
	// Rack is the rack with the data of the tasks; "" if they have none.
	Rack string
	// MaxPerUpstream is how many of the tasks may run on one upstream at the same
	// time; 0 means unlimited.
	MaxPerUpstream int
}

// TaskHistory describes the runs that a task has behind it when it moves from one
// pool to another: run numbers keep rising, and the limits on failures and crashes
// hold wherever the task runs.
type TaskHistory struct {
	LastRun    uint32 // number of the last run
	FailedRuns int
	Crashes    int // upstreams that crashed while they ran the task
}

// Outcome is how a pool's part of a job ended.
type Outcome string

// The outcomes of an offer.
const (
	Completed Outcome = "completed"  // every task that was not returned is done
	Failed    Outcome = "failed"     // a task reached its limit of failed runs
	Crashed   Outcome = "crashed"    // a task reached its limit of crashed upstreams
	Expired   Outcome = "expired"    // the job cannot finish in time any more
	NeverFits Outcome = "never_fits" // no upstream is large enough for a task
	Unknown   Outcome = "unknown"    // the pool lost track of runs, or the job was resubmitted elsewhere
)

// Result tells the coordinator that tasks of an offer are returned, or that the
// offer has ended.
type Result struct {
	Key     JobKey
	Outcome Outcome // empty while the offer goes on
	Done    []int
	// Returned are tasks that are not running in this pool and will not be started
	// by it. Those without an entry in History have never started.
	Returned []int
	History  map[int]TaskHistory // of the tasks that have been returned so far
	Begun    bool                // some task may have started
}

// Start is an order to start a run on an upstream.
type Start struct {
	Upstream fleet.Upstream
	Order    fleet.StartOrder
	// LinkDelay is how long the owner's network link takes until it has
	// transmitted the order, including everything that is queued before it.
	LinkDelay time.Duration
	// SendBy is when the lease that the order grants ends. The order must not be
	// sent later: this incarnation of the upstream would refuse it, but the next
	// one would not.
	SendBy time.Time
}

// Stop is an order to stop a run on an upstream.
type Stop struct {
	Upstream fleet.Upstream
	Run      fleet.Run
}

// Effects are the actions that the caller must carry out after an input.
type Effects struct {
	Starts    []Start
	Stops     []Stop
	Polls     []string // upstreams to ask for a report at once
	Returns   []Result // tasks to be placed elsewhere, of offers that go on
	Results   []Result // of offers that have ended
	Decisions []Decision
}

// Decision records one scheduling decision for the log.
type Decision struct {
	Kind DecisionKind
	Job  string // "" where the decision is about an upstream
	// Coordinator is the coordinator of the offer. Two coordinators of one job
	// mean that its customer has submitted it twice.
	Coordinator string
	// Task is the index of the task, or a count where the decision is not about one
	// task: of the tasks done or returned, of the failures of an ejected upstream,
	// of the runs on an upstream that is silent, gone or fenced.
	Task         int
	Run          uint32
	Upstream     string
	Reason       string
	FreeMilliCPU int64 // thousandths of a core that a start leaves free on the upstream
	Queued       int   // tasks that wait in the pool
	// Age is the time since the job was offered. For a stop it is the age of the
	// run, for an ejection its length, and for an upstream that is silent or
	// responds again the time since its last report.
	Age  time.Duration
	Late bool // the result comes after the job's latency objective
}

// DecisionKind is the type of a Decision.
type DecisionKind int

// The kinds of decisions.
const (
	DecidedStart      DecisionKind = iota // a task starts
	DecidedRetry                          // a run is over, and its task waits again
	DecidedStop                           // a run is stopped
	DecidedReturn                         // tasks go back to their coordinator
	DecidedResult                         // an offer has ended
	DecidedEject                          // an upstream gets no work for some time
	DecidedReadmit                        // an ejected upstream gets work again
	DecidedSilent                         // an upstream does not answer
	DecidedResponding                     // a silent upstream answers again
	DecidedGone                           // an upstream is removed: it has ended, restarted or lost its entry
	DecidedFenced                         // an upstream has seen a higher fencing token
	DecidedSuspect                        // a task is suspected of crashing upstreams
)

type runState int

const (
	starting runState = iota
	running
	stopping // a stop was ordered and has not been answered
	stopped  // the stop was answered; the next report must show that the run is gone
)

// run is one run that may be executing, or may still start.
type run struct {
	id               fleet.Run
	job              *job // nil once the run is no longer wanted
	upstream         *upstream
	demand           fleet.Resources // zero for a foreign run, whose demand is not known
	foreign          bool            // reported by the upstream, but ordered by a former owner
	state            runState
	orderedAt        time.Time // when its start leaves this instance, after the delay of the link
	startAckedAt     time.Time // when the answer to the start, or the first report of the run, came
	unwantedSince    time.Time // when its job ended or was withdrawn
	stopSentAt       time.Time
	stopAckedAt      time.Time
	expectedDuration time.Duration // as of when the run was ordered
	remoteFactor     float64       // how many times longer the task takes on this upstream, outside the rack of its data
	slowdownLearned  bool          // its progress has been used to estimate the upstream's speed
	polledAt         time.Time     // when the upstream was last polled because of this run
	reported         bool          // a report has listed the run
	percent          int           // of its work that is done, as last reported
	percentRoseAt    time.Time
	percentAt        time.Time // when percent was last reported
}

type taskState int

const (
	waiting taskState = iota
	placed            // a run was ordered
	ended
	// blocked is the state of a task that must not start because a run of it may be
	// executing that was not ordered for this job: one of an earlier submission, or
	// of a former owner. That run is being stopped.
	blocked
)

type task struct {
	index      int
	state      taskState
	lastRun    uint32 // number of the last run
	failedRuns int
	moves      int // runs that were stopped because they were slow
}

// history returns the earlier runs of a task, and whether it had any.
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
	begun                bool                // this pool has ordered a run of it
	failedOn             map[string]bool     // upstreams on which a task of it failed
	failureChargedTo     *upstream           // where a task failed first; nil once one failed on another upstream too
	history              map[int]TaskHistory // of tasks that were returned after they had runs
	done                 []int
}

type upstream struct {
	fleet.Upstream
	accepted        bool // it has accepted the fencing token: its first report has come
	listed          bool // the store has an entry of it
	unlistedAt      time.Time
	used            fleet.Resources
	runs            map[fleet.Run]*run
	foreignRuns     int
	clockMs         int64       // its clock, as of the last report
	clockReadAt     time.Time   // when the last report came
	maxLeaseUntilMs int64       // the latest end of a lease that was ordered, on its clock
	lastEndSequence uint64      // sequence number of the last end of a run that was processed
	recentEnds      []fleet.Run // the last runs that ended, newest last
	// unresolvedStarts are runs that are no longer tracked although it is not known
	// whether they ever started.
	unresolvedStarts []fleet.Run
	// suspectedTasks are the tasks that are suspected because the upstream was taken
	// to have crashed when its leases lapsed.
	suspectedTasks    []fleet.TaskRef
	reportRequestedAt time.Time // when the newest report that was processed was requested
	missedReports     int       // consecutive reports that did not come, with no other answer in between
	silent            bool
	renewalBlocked    bool // its leases must not be renewed, as of the pool's last check
	health            health
	slowdown          slowdown
}
