package fleet

import (
	"cmp"
	"strings"
	"time"
)

// UpstreamIncarnation identifies one execution of an upstream process, from its start to
// its end. A process that restarts keeps nothing from before the restart, even if it keeps
// its ID.
type UpstreamIncarnation struct {
	ID            string
	StartedUnixMs int64 // start time; 0 if the platform does not report it
}

// CompareIncarnations orders incarnations by ID, then by start time.
func CompareIncarnations(a, b UpstreamIncarnation) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.StartedUnixMs, b.StartedUnixMs))
}

// Upstream describes one incarnation of a process that runs tasks.
type Upstream struct {
	ID            string
	StartedUnixMs int64 // start time, as in UpstreamIncarnation
	Service       string
	Address       string // host:port
	Zone          string
	Rack          string // "" if the platform does not report it
	Draining      bool   // it is shutting down for good and gets no new tasks
	// RemainingTime is set in an entry that has just been read, and only if the upstream is
	// draining: it stays at least that long from then on. LeavesAt is that time on package
	// clock, as kept by package directory. When the upstream leaves, its runs end. Zero values
	// mean that the time is not known.
	RemainingTime time.Duration
	LeavesAt      time.Time
	// Closed is set while no new tasks may start on the upstream because its availability
	// zone is evacuated or its entry is invalid. Unlike Draining it may be reset.
	Closed bool
	// Capacity is the total of the upstream's free and used resources, which may shrink and
	// grow. LargestCapacity is the highest Capacity since the incarnation started.
	Capacity        Resources
	LargestCapacity Resources
	Sequence        int64 // version of the upstream's entry in the store; starts over in each incarnation
}

// Incarnation returns the incarnation that u describes.
func (u Upstream) Incarnation() UpstreamIncarnation {
	return UpstreamIncarnation{ID: u.ID, StartedUnixMs: u.StartedUnixMs}
}

// End is how a run ended.
type End string

// The ways in which a run can end.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"  // through a fault of the task or of the upstream
	EndStopped End = "stopped" // by a stop order
	EndLapsed  End = "lapsed"  // the upstream stopped it because its lease expired
	EndOther   End = "other"   // the upstream reported an unknown kind of end
)

// RunningTask is a run that an upstream reports as running.
type RunningTask struct {
	Run     Run
	Percent int // progress, 0 to 100
}

// EndedRun is a run that an upstream reports as ended.
type EndedRun struct {
	Sequence uint64 // the ended runs of an incarnation are numbered from 1
	Run      Run
	End      End
}

// Report is an upstream's report on its runs.
type Report struct {
	StartedUnixMs int64 // start time of the reporting incarnation, as in UpstreamIncarnation
	ClockMs       int64 // reading of the upstream's monotonic clock
	Running       []RunningTask
	Ended         []EndedRun
}

// Refusal is the reason why an upstream refused to start a run. A refused run has not
// started.
type Refusal string

// The reasons for refusals.
const (
	NotRefused       Refusal = ""          // the start was accepted
	RefusedFence     Refusal = "fence"     // the upstream has seen a higher fencing token
	RefusedOldRun    Refusal = "old_run"   // the upstream has already processed this run of the task or a later one
	RefusedLate      Refusal = "late"      // the lease had expired when the order arrived
	RefusedNoRoom    Refusal = "room"      // free capacity is insufficient
	RefusedUnhealthy Refusal = "unhealthy" // the upstream is unhealthy and refuses all tasks
	RefusedInvalid   Refusal = "bad"       // the order is invalid
)

// StartOrder is an order to an upstream to start a run.
type StartOrder struct {
	Run          Run
	Spec         string
	LeaseUntilMs int64  // end of the lease, on the upstream's clock
	Token        uint64 // fencing token
}

// HoldOrder is an order to an upstream that renews the lease of all its runs and requests a
// report.
type HoldOrder struct {
	LeaseUntilMs  int64  // new end of the lease, on the upstream's clock; 0 requests only a report
	Token         uint64 // fencing token
	AckedSequence uint64 // the owner has processed the ended runs up to this EndedRun.Sequence; the upstream may forget them
	WaitMs        int64  // how long the upstream may delay the report until a run ends
}
