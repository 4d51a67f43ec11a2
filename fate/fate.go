// Package fate decides what a caller may be told and when a task may start.
//
// It holds two pure state machines: Home, which runs the jobs of one permit
// log, and Witness, which acknowledges the permits of that log and may seal
// it. Neither does I/O, reads a clock or starts a goroutine: inputs come in as
// method calls, and what has to be done comes out as Effects. The rules that
// they keep are in docs/design/fate.md.
package fate

// Kind is the fate of a submission, as its caller is told it.
type Kind string

// The fates. Pending is not a fate but the lack of one.
const (
	// Pending means that the submission has no fate yet.
	Pending Kind = "pending"
	// Complete means that every task finished; all results are in the answer.
	Complete Kind = "complete"
	// Failed means that the job as a whole failed.
	Failed Kind = "failed"
	// NotRun means that no task of the submission started or ever will.
	NotRun Kind = "not_run"
	// Unknown means that it may have run, and nobody alive can tell.
	Unknown Kind = "unknown"
)

// Final reports whether k is a fate that a caller can be told.
func (k Kind) Final() bool { return k != Pending && k != "" }

// TaskState is what is known of one task in an answer.
type TaskState string

// The states of a task in an answer.
const (
	// TaskFinished means that the task ran to its end and gave its result.
	TaskFinished TaskState = "finished"
	// TaskFailed means that the upstream said that the task failed.
	TaskFailed TaskState = "failed"
	// TaskNotRun means that the task never started and never will.
	TaskNotRun TaskState = "not_run"
	// TaskUnknown means that the task may have run.
	TaskUnknown TaskState = "unknown"
)

// Reason is the machine-readable cause of a fate that is not complete.
type Reason string

// The reasons that this package gives.
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
	Result []byte // the upstream's result, JSON
	Error  string // why it failed
}

// Task is one piece of a job: its declared needs and its payload.
type Task struct {
	CPU          float64 // cores
	MemoryMB     uint64
	Accelerators uint32
	RunMs        uint32 // declared run time, milliseconds
	Payload      []byte // JSON
}

// Job is the work of one submission.
type Job struct {
	Service    string
	Caller     string
	Repeatable bool
	DeadlineMs int64 // Unix milliseconds; zero is none
	Trace      string
	Digest     uint64 // of the job as submitted, to tell a resubmission from other work
	Tasks      []Task
}

// Answer is the fate of a submission with all that belongs to it.
type Answer struct {
	Key    Key
	Kind   Kind
	Reason Reason
	Tasks  []Outcome // in task order; empty for not run and unknown
}

// Start is an order to start a task: the permit for it is acknowledged.
type Start struct {
	Lease    Lease
	Upstream string
}

// Permit records that a task is about to start at an upstream.
type Permit struct {
	Task     int
	Attempt  uint32
	Upstream string
}

// Record is what one append says of one submission.
type Record struct {
	Key     Key
	Job     *Job // in the first record of a submission only
	Permits []Permit
	Results []TaskResult
	Verdict *Answer // a fate that is recorded before it is told
}

// TaskResult is the outcome of a task within a record.
type TaskResult struct {
	Task    int
	Outcome Outcome
}

// Append is one message of a log from its home to its witness. Sequence counts
// from 1 without a gap.
type Append struct {
	Log      LogID
	Sequence uint64
	Records  []Record
	WantAck  bool // some permit or verdict waits for the acknowledgement
}

// Effects is what has to be done after an input, in any order.
type Effects struct {
	Starts  []Start  // send these to their upstreams
	Stops   []Start  // these need not run on: their job has its fate
	Unused  []Start  // these places were given, and nothing will start there
	Answers []Answer // tell these
	Ask     []Key    // ask the witness for the fate of these: the log is sealed
}

func (e *Effects) add(o Effects) {
	e.Starts = append(e.Starts, o.Starts...)
	e.Stops = append(e.Stops, o.Stops...)
	e.Unused = append(e.Unused, o.Unused...)
	e.Answers = append(e.Answers, o.Answers...)
	e.Ask = append(e.Ask, o.Ask...)
}
