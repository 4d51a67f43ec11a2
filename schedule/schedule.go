// Package schedule decides what runs where in one group of upstreams: which
// task starts next and on which upstream, when a run is given up and started
// again elsewhere, and when a job is refused. It is pure: what happened and the
// time come in, the calls to make and the results come out.
package schedule

import (
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// Config holds the limits of a Pool.
type Config struct {
	// Lease is what each order grants. A silent upstream's tasks start again
	// elsewhere once it is over, so it is short; it must outlast two reports.
	Lease time.Duration
	// Report is how long a report may wait for an end.
	Report time.Duration
	// Removal is how long an upstream without an entry in the store still
	// gets work while it answers: entries lapse with the store.
	Removal time.Duration
	// LinkRate is how many bytes a second the owner's network link carries; 0 is
	// unbounded.
	LinkRate float64
	// RemoteFactor is how many times longer a task takes away from its data; below 1 is 1.
	RemoteFactor float64
	// AliveToStart is how lately a coordinator must have been alive for its tasks to
	// start, and for the leases of upstreams that run them to be renewed; AliveToKeep is
	// the same for its runs to go on.
	AliveToStart time.Duration
	AliveToKeep  time.Duration
	// Policy switches the rules of decision.
	Policy Policy
}

// DefaultConfig fits upstreams that grant a second.
var DefaultConfig = Config{
	Lease:   700 * time.Millisecond,
	Report:  250 * time.Millisecond,
	Removal: 2500 * time.Millisecond,
	// Customers send a job again 1.3 s after their connection broke. A lease that was
	// granted AliveToStart after its coordinator was alive is over 734 ms later on the
	// slowest clock, 1.23 s in all. A stop that is sent after AliveToKeep is carried out
	// within .1 s where the upstream answers; that long the leases of other runs there
	// last without being renewed.
	AliveToStart: 500 * time.Millisecond,
	AliveToKeep:  900 * time.Millisecond,
	Policy:       DefaultPolicy,
}

// leaseShare is the part of the longest lease that is used at most.
const leaseShare = 0.7

// ConfigForMaxLease fits upstreams that grant leases up to a length.
func ConfigForMaxLease(longest time.Duration) Config {
	c := DefaultConfig
	if lease := time.Duration(leaseShare * float64(longest)); lease < c.Lease {
		c.Report = c.Report * lease / c.Lease
		c.Lease = lease
	}
	return c
}

const (
	// slowClock is how slow the clock of an upstream may run.
	slowClock = 0.98
	// lapseMargin is added before a lapsed lease is believed.
	lapseMargin = 20 * time.Millisecond
	// stopRetry is the least pause before a stop without an answer is sent again,
	// and before a report is asked for again that must show the run gone: some ten
	// round trips. Its task waits for both. Where answers take longer, so does
	// the pause.
	stopRetry = 25 * time.Millisecond
	// rememberedEnds is how many ended runs of an upstream are remembered: a
	// report that was overtaken may still list them.
	rememberedEnds = 32
	// oldRunStep is how far a run's number is raised once an upstream has
	// seen a higher one.
	oldRunStep = 8
)

// JobKey names a part of a job as one instance coordinates it. A customer may
// send the same id again to another instance.
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
	Demand      fleet.Resources
	Estimate    time.Duration // of one task, as declared
	Priority    int           // 0 goes first
	MaxAttempts int
	Tasks       []int // indexes within the step
	// History holds what became before of those of the tasks that have run already,
	// in another pool. None of their runs is at work or can still begin.
	History map[int]TaskHistory
	// The job should have ended Stretch times its work plus Slack after it was
	// first sent, which is Age ago. Its customer waits for Timeout from now.
	Stretch float64
	Slack   time.Duration
	Age     time.Duration
	Timeout time.Duration
	// AliveAt is when the coordinator was certainly alive, and the customer there, on the
	// clock of whoever holds the offer. Zero is a coordinator that needs no lease: it
	// lives and dies with the pool.
	AliveAt time.Time
	// Begun is set where other tasks of the job have begun elsewhere.
	Begun bool
	// MayQueue lets tasks wait that no upstream has room for now. Others are
	// returned at once.
	MayQueue bool
	// AllOrNothing starts all tasks at once or none.
	AllOrNothing bool
	// Rack is where the data of the tasks is, "" for nowhere, and MaxPerUpstream how many of
	// them may be at work on one upstream, 0 for any number.
	Rack           string
	MaxPerUpstream int
}

// TaskHistory is what a task that goes from one pool to another takes along: run numbers
// rise, and a task fails only so often, wherever it runs.
type TaskHistory struct {
	LastRun    uint32 // of the last run
	FailedRuns int    // runs that failed
	// Crashes is how many upstreams have crashed under it.
	Crashes int
}

// Outcome is how a pool's part of a job ended.
type Outcome string

// The outcomes of an offer.
const (
	Completed Outcome = "completed" // every task that was not returned is done
	Failed    Outcome = "failed"    // a task failed as often as it may
	Crashed   Outcome = "crashed"   // upstreams crash under a task
	Expired   Outcome = "expired"   // it could not end in time any more
	NeverFits Outcome = "never_fits"
	Unknown   Outcome = "unknown" // the pool lost upstreams with tasks of it
)

// Result ends an offer.
type Result struct {
	Key     JobKey
	Outcome Outcome
	Done    []int
	// Returned are not at work here and never will be; those without a TaskHistory never
	// began.
	Returned []int
	History  map[int]TaskHistory // of the tasks that were returned so far
	Begun    bool                // some task may have begun
}

// Start orders a run on an upstream.
type Start struct {
	Upstream fleet.Upstream
	Order    fleet.StartOrder
	// LinkDelay is how long the owner's link takes to carry it, behind what was
	// handed to it before.
	LinkDelay time.Duration
	// SendBy is when the lease that it grants is over: it must not be sent later. The
	// upstream declines it then, but the next life of the upstream would not.
	SendBy time.Time
}

// Stop orders the end of a run.
type Stop struct {
	Upstream fleet.Upstream
	Run      fleet.Run
}

// Effects are what is to be done after an input.
type Effects struct {
	Starts    []Start
	Stops     []Stop
	Polls     []string // upstreams whose report is wanted at once
	Returns   []Result // tasks that go elsewhere; the offer goes on
	Results   []Result
	Decisions []Decision
}

// Decision is one line for the log.
type Decision struct {
	Kind DecisionKind
	Job  string
	// Coordinator is whose offer it is about; two of one job mean that its customer has
	// sent it twice.
	Coordinator  string
	Task         int
	Run          uint32
	Upstream     string
	Reason       string
	FreeMilliCPU int64 // thousandths of a core left on the upstream
	Queued       int   // tasks that wait in the pool
	Age          time.Duration
	Late         bool // a result comes after the job's objective
}

// DecisionKind is what a decision was about.
type DecisionKind int

// The kinds of decisions.
const (
	DecidedStart DecisionKind = iota
	DecidedRetry
	DecidedStop
	DecidedReturn
	DecidedResult
	DecidedEject
	DecidedReadmit
	DecidedSilent
	DecidedResponding
	DecidedGone
	DecidedFenced
	DecidedSuspect
)

type runState int

const (
	starting runState = iota
	running
	stopping // a stop has not been answered yet
	stopped  // a stop was answered; the next report tells that it is gone
)

// run is one run that may be at work, or may still begin.
type run struct {
	id        fleet.Run
	job       *job // nil once nobody wants it
	up        *upstream
	demand    fleet.Resources
	unknown   bool // found on the upstream: its demand is not known
	state     runState
	ordered   time.Time
	acked     time.Time // of the start
	unwanted  time.Time // when its job was over
	stopSent  time.Time
	stopAcked time.Time
	expected  time.Duration // when it was ordered
	remote    float64       // how many times longer it takes there, away from its data
	judged    bool          // its pace has told of the upstream's speed
	looked    time.Time     // when a report was last asked for that must show it gone
	shown     bool          // in a report
	percent   int
	moved     time.Time // when percent last rose
	seen      time.Time // when percent was last told
}

type taskState int

const (
	waiting taskState = iota
	placed
	ended
	// blocked is a task of which a run may be at work that was not ordered for this
	// job: one of an earlier sending, or of a former owner. It is being stopped.
	blocked
)

type task struct {
	index    int
	state    taskState
	number   uint32 // of the last run
	attempts int    // runs that failed
	moves    int    // runs that were given up
}

// past returns what a task has behind it, and whether it has run.
func (t *task) past() (TaskHistory, bool) {
	return TaskHistory{LastRun: t.number, FailedRuns: t.attempts}, t.number > 0
}

type job struct {
	Offer
	from    *coordinator // nil where it needs no lease
	offered time.Time
	expect  time.Duration // of one task
	tasks   map[int]*task
	order   []*task
	left    int // tasks that have not ended
	blocked int // tasks that are
	begun   bool
	failed  map[string]bool     // upstreams where a task of it failed
	blamed  *upstream           // for the first of them; nil once it failed elsewhere too
	past    map[int]TaskHistory // of tasks that were returned after runs of theirs
	done    []int
}

type upstream struct {
	fleet.Upstream
	joined    bool // its first report is in, and nothing unknown runs there
	listed    bool
	removed   time.Time
	used      fleet.Resources
	runs      map[fleet.Run]*run
	unknown   int
	clockMs   int64
	clockAt   time.Time
	grantedMs int64 // the end of the longest lease that was ordered
	seenEnds  uint64
	over      []fleet.Run // the last ones that ended, newest last
	// unresolved are runs that were given up without a word on whether they began.
	unresolved []fleet.Run
	// suspects are the tasks that are suspected because it was taken for crashed.
	suspects []fleet.TaskRef
	reported time.Time // when the last report that counts was asked for
	misses   int       // reports in a row that did not come, while nothing else was answered
	silent   bool
	held     bool // its leases must not be renewed; as of leasesAt of the pool
	health   health
	speed    speed
}
