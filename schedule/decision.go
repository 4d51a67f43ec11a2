package schedule

import "time"

// Decision records one scheduling decision for the log.
type Decision struct {
	Kind DecisionKind
	Job  string // "" where the decision is about an upstream
	// Coordinator is the coordinator of the offer. If a log shows two coordinators
	// for one job, its customer has submitted it twice.
	Coordinator string
	// Task is the index of the task. In decisions that are not about one task it is a
	// count: of the tasks that are done (result), returned or not adopted, of the failures
	// of an ejected upstream, or of the runs on an upstream that is silent, gone or fenced.
	Task         int
	Run          uint32
	Upstream     string
	Reason       string
	FreeMilliCPU int64 // thousandths of a core that a start leaves free on the upstream
	Queued       int   // tasks that wait in the pool
	// Age is the time since the job was offered, with these exceptions: for a stop it
	// is the age of the run, for an ejection the length of the ejection, and for an
	// upstream that is silent or responds again the time since its last report.
	Age  time.Duration
	Late bool // the result comes after the job's latency objective
}

// DecisionKind is the type of a Decision.
type DecisionKind int

// The kinds of decisions.
const (
	DecidedStart       DecisionKind = iota // a run of a task is ordered
	DecidedRetry                           // a run ended without success or never started, and its task waits again
	DecidedStop                            // a run is stopped
	DecidedReturn                          // tasks are returned to their coordinator
	DecidedResult                          // an offer has ended
	DecidedEject                           // an upstream gets no work for some time
	DecidedReadmit                         // an ejected upstream gets work again
	DecidedSilent                          // several reports of an upstream in a row are missing
	DecidedResponding                      // a silent upstream responds again
	DecidedGone                            // an upstream is removed: it has ended, restarted or lost its entry in the store
	DecidedFenced                          // an upstream has seen a higher fencing token: another instance owns it
	DecidedSuspect                         // a task is suspected of crashing upstreams
	DecidedAdopt                           // a run of a former owner counts for an adopting offer
	DecidedAdoptFailed                     // an adopting offer ends because a task has no run that goes on or was done
	DecidedSpeed                           // an upstream counts as faster or slower than the others for good, or no longer does
)
