// Package fleet holds the types that the parts of an instance share when it
// dispatches jobs to upstreams that run tasks under leases: jobs and tasks,
// routes, upstreams and what they report. It does no I/O.
package fleet

import "time"

// Resources is what a task takes of an upstream, and what an upstream has.
type Resources struct {
	MilliCPU int64 // thousandths of a core
	MemoryMB int64
	GPUs     int64
}

// Plus returns the sum of two demands.
func (d Resources) Plus(o Resources) Resources {
	return Resources{d.MilliCPU + o.MilliCPU, d.MemoryMB + o.MemoryMB, d.GPUs + o.GPUs}
}

// Minus returns what is left of d without o.
func (d Resources) Minus(o Resources) Resources {
	return Resources{d.MilliCPU - o.MilliCPU, d.MemoryMB - o.MemoryMB, d.GPUs - o.GPUs}
}

// Max returns the larger of two demands in each respect.
func (d Resources) Max(o Resources) Resources {
	return Resources{max(d.MilliCPU, o.MilliCPU), max(d.MemoryMB, o.MemoryMB), max(d.GPUs, o.GPUs)}
}

// Within reports whether d fits into room.
func (d Resources) Within(room Resources) bool {
	return d.MilliCPU <= room.MilliCPU && d.MemoryMB <= room.MemoryMB && d.GPUs <= room.GPUs
}

// TaskRef names one task.
type TaskRef struct {
	Job        string
	Repetition int // which time of a scheduled job; 0 without a schedule
	Step       int
	Index      int
}

// Run names one start of a task. Numbers rise from 1.
type Run struct {
	Task   TaskRef
	Number uint32
}

// Step is a set of equal tasks.
type Step struct {
	Count    int
	Demand   Resources
	Estimate time.Duration // of one task, as the customer declares it
	Rack     string        // where the data of the tasks is; "" is nowhere
	// MaxPerUpstream is how many of the tasks may be at work on one upstream; 0 is no bound.
	MaxPerUpstream int
}

// Job is what a customer submits.
type Job struct {
	ID    string
	Spec  string // passed to the upstreams as it is
	Steps []Step
	// Ephemeral jobs are kept by nobody: they are answered when they have
	// ended, and are lost with the instance that took them.
	Ephemeral bool
	// Unsupported names the first feature of the request that this version
	// does not offer, or is empty.
	Unsupported string
}

// State is the state of a job as its customer sees it.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)
