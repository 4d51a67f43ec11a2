package fleet

import (
	"cmp"
	"strings"
)

// UpstreamIncarnation names one life of an upstream. A process that starts again holds nothing from
// before, whether it comes back under another id or under the same one.
type UpstreamIncarnation struct {
	ID            string
	StartedUnixMs int64 // when it started, Unix milliseconds; 0 where the platform does not say
}

// CompareIncarnations orders lives by id and birth.
func CompareIncarnations(a, b UpstreamIncarnation) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), cmp.Compare(a.StartedUnixMs, b.StartedUnixMs))
}

// Upstream is one life of a process that runs tasks.
type Upstream struct {
	ID            string
	StartedUnixMs int64 // as in UpstreamIncarnation
	Service       string
	Address       string // host and port
	Zone          string
	Rack          string // "" where the platform does not say
	Draining      bool   // it is leaving, for good
	// Closed is set while nothing new may start there, for a reason that may
	// pass: its availability zone is evacuated, or its entry cannot be read.
	Closed bool
	// Capacity is what the upstream has now, and LargestCapacity the most that it had in this
	// life: it may shrink and grow again.
	Capacity        Resources
	LargestCapacity Resources
	Sequence        int64 // rises with what the upstream says of itself, in each life from the start
}

// Incarnation returns the life that the upstream is.
func (u Upstream) Incarnation() UpstreamIncarnation {
	return UpstreamIncarnation{ID: u.ID, StartedUnixMs: u.StartedUnixMs}
}

// End is how a run ended.
type End string

// The ends of a run.
const (
	EndDone    End = "done"
	EndFailed  End = "failed"  // by the task's or the upstream's fault
	EndStopped End = "stopped" // by order
	EndLapsed  End = "lapsed"  // its lease was not renewed in time
	EndOther   End = "other"
)

// RunningTask is a run that an upstream reports as at work.
type RunningTask struct {
	Run     Run
	Percent int // of its work that is done
}

// EndedRun is a run that an upstream reports as over.
type EndedRun struct {
	Sequence uint64 // counts the ends of one upstream's life from 1
	Run      Run
	End      End
}

// Report is what an upstream tells of itself.
type Report struct {
	StartedUnixMs int64 // of the life that tells it, as in UpstreamIncarnation
	ClockMs       int64 // the upstream's steady clock, milliseconds
	Running       []RunningTask
	Ended         []EndedRun
}

// Refusal is why an upstream refused a start. None of them began anything.
type Refusal string

// The refusals of a start.
const (
	NotRefused       Refusal = ""          // it was accepted
	RefusedFence     Refusal = "fence"     // a higher fencing token was seen
	RefusedOldRun    Refusal = "old_run"   // a run with this or a higher number was there
	RefusedLate      Refusal = "late"      // its lease was over on arrival
	RefusedNoRoom    Refusal = "room"      // it does not fit
	RefusedUnhealthy Refusal = "unhealthy" // the upstream declines all work
	RefusedInvalid   Refusal = "bad"       // the order itself is wrong
)

// StartOrder starts one run.
type StartOrder struct {
	Run          Run
	Spec         string
	LeaseUntilMs int64 // on the upstream's clock
	Token        uint64
}

// HoldOrder renews the lease of all that runs at an upstream, and asks for a
// report. Without a lease it only asks.
type HoldOrder struct {
	LeaseUntilMs  int64 // on the upstream's clock; 0 renews nothing
	Token         uint64
	AckedSequence uint64 // ends up to this one may be forgotten
	WaitMs        int64  // the report may wait so long for an end
}
