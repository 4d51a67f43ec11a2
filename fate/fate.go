// Package fate decides which answer a caller gets for a job, and when a task may
// start, so that both stay correct when an instance is lost.
//
// Every job belongs to a permit log, which two instances keep. The home accepts
// the jobs and runs them; the witness holds a copy of the log. An append is a
// message with which the home extends that copy. A permit is the record that a
// task is about to start: the task starts only after the witness has
// acknowledged the append with its permit. When the home is lost, the witness
// seals the log, which means that it acknowledges no more appends, so that the
// home can start nothing more. The instance of the witness then takes over the
// jobs that are still open.
//
// The fate of a submission is its final outcome. The verdict is the fate once it
// is decided, and it is committed once callers may receive it. Apart from
// Unknown, callers never receive two different fates for one submission.
//
// A lease identifies one start of a task at an upstream. To bar a lease is to
// make the upstream refuse every start under it from then on.
//
// The package holds two pure state machines: Home and Witness, one of each for
// a log. Neither performs I/O, reads a clock or starts a goroutine: inputs are
// method calls, and the actions to take are returned as Effects. Their
// invariants are listed in docs/design/fate.md.
package fate

// Kind is the kind of fate of a submission, as returned to its caller.
type Kind string

// The kinds of fate.
const (
	// Pending means that the fate of the submission is not decided yet.
	Pending Kind = "pending"
	// Complete means that every task finished; the answer holds all results.
	Complete Kind = "complete"
	// Failed means that the job ended without completing, and that at least one of
	// its tasks ran or may have run.
	Failed Kind = "failed"
	// NotRun means that no task of the submission started or ever will.
	NotRun Kind = "not_run"
	// Unknown means that tasks of the submission may have run, but no instance
	// that is alive knows whether they did.
	Unknown Kind = "unknown"
)

// Final reports whether k is a final outcome, which includes Unknown.
func (k Kind) Final() bool { return k != Pending && k != "" }

// TaskState is the final state of one task in an answer.
type TaskState string

// The states of a task in an answer.
const (
	// TaskFinished means that the task ran to its end and returned its result.
	TaskFinished TaskState = "finished"
	// TaskFailed means that the upstream reported the task as failed.
	TaskFailed TaskState = "failed"
	// TaskNotRun means that the task never started and never will.
	TaskNotRun TaskState = "not_run"
	// TaskUnknown means that the task may have run.
	TaskUnknown TaskState = "unknown"
)

// Reason is the machine-readable cause of a fate other than Complete.
type Reason string

// The reasons for a fate other than Complete.
const (
	ReasonNone                Reason = ""
	ReasonTaskFailed          Reason = "task_failed"
	ReasonTaskLost            Reason = "task_lost"
	ReasonCancelled           Reason = "cancelled"
	ReasonDeadline            Reason = "deadline"
	ReasonOverloaded          Reason = "overloaded"
	ReasonNeverFits           Reason = "never_fits"
	ReasonStopping            Reason = "stopping"
	ReasonNeverReachedWitness Reason = "never_reached_witness"
	ReasonWitnessLost         Reason = "witness_lost"
	ReasonHomeLost            Reason = "home_lost"
	ReasonNoLongerKept        Reason = "no_longer_kept"
	ReasonHomeAndWitnessLost  Reason = "home_and_witness_lost"
)

// Outcome is how a started task ended.
type Outcome struct {
	State  TaskState
	Result []byte // JSON, as returned by the upstream
	Error  string // why the task failed
}

// Task is one task of a job: its declared resources and its payload.
type Task struct {
	CPU          float64 // cores
	MemoryMB     uint64
	Accelerators uint32
	RunMs        uint32 // declared run time in milliseconds
	Payload      []byte // JSON
}

// Job is the work of one submission.
type Job struct {
	Service    string
	Caller     string
	Repeatable bool
	DeadlineMs int64  // Unix milliseconds; must be set: package dispatch ends a job with zero at once, as past its deadline
	Trace      string // W3C traceparent of the submission
	Digest     uint64 // hash of the job as submitted; tells a resubmission from a different job under the same key
	Tasks      []Task
}

// Answer is the fate of a submission, with its reason and the outcomes of its
// tasks.
type Answer struct {
	Key    Key
	Kind   Kind
	Reason Reason
	Tasks  []Outcome // in task order; empty for NotRun and Unknown
}

// Start identifies one start of a task at an upstream.
type Start struct {
	Lease    Lease
	Upstream string
}

// Permit records in the log that a task is about to start at an upstream.
type Permit struct {
	Task     int
	Attempt  uint32
	Upstream string
}

// Record is the part of an append that concerns one submission.
type Record struct {
	Key     Key
	Job     *Job // only in the first record of a submission
	Permits []Permit
	Results []TaskResult
	Verdict *Answer // fate that callers receive only after the witness has recorded it; nil if there is none
}

// TaskResult is the outcome of a task within a record.
type TaskResult struct {
	Task    int
	Outcome Outcome
}

// Append is one replication message of a log, from its home to its witness.
// Sequence counts from 1 without gaps.
type Append struct {
	Log      LogID
	Sequence uint64
	Records  []Record
	WantAck  bool // the home needs an acknowledgement of this append
}

// Effects lists the actions to take after an input, in any order.
type Effects struct {
	Starts         []Start  // tasks to start: their permits are acknowledged, or the log has no witness
	Stops          []Start  // tasks to stop: the fate of their job is decided
	UnusedSlots    []Start  // slots to release: the tasks assigned to them will not start there
	Answers        []Answer // answers to return to the callers
	WitnessQueries []Key    // submissions of a sealed log for whose fate the witness has to be asked
}

func (e *Effects) add(o Effects) {
	e.Starts = append(e.Starts, o.Starts...)
	e.Stops = append(e.Stops, o.Stops...)
	e.UnusedSlots = append(e.UnusedSlots, o.UnusedSlots...)
	e.Answers = append(e.Answers, o.Answers...)
	e.WitnessQueries = append(e.WitnessQueries, o.WitnessQueries...)
}
