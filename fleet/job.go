// Package fleet holds the types that the packages of an instance share: jobs and their
// tasks, routes, upstreams and their reports. It does no I/O.
//
// An upstream is a process that runs tasks. One execution of that process is an
// incarnation. The instance that gives an upstream work is its owner; a fencing token in
// its orders lets the upstream refuse the orders of former owners. A lease limits how
// long the upstream goes on with its runs, the executions of tasks, without hearing from
// its owner.
package fleet

import "time"

// Resources is an amount of CPU, memory and GPUs that a task needs or an upstream has.
type Resources struct {
	MilliCPU int64 // thousandths of a core
	MemoryMB int64
	GPUs     int64
}

// Plus returns the sum of d and o.
func (d Resources) Plus(o Resources) Resources {
	return Resources{d.MilliCPU + o.MilliCPU, d.MemoryMB + o.MemoryMB, d.GPUs + o.GPUs}
}

// Minus returns d less o.
func (d Resources) Minus(o Resources) Resources {
	return Resources{d.MilliCPU - o.MilliCPU, d.MemoryMB - o.MemoryMB, d.GPUs - o.GPUs}
}

// Max returns the maximum of d and o for each resource separately.
func (d Resources) Max(o Resources) Resources {
	return Resources{max(d.MilliCPU, o.MilliCPU), max(d.MemoryMB, o.MemoryMB), max(d.GPUs, o.GPUs)}
}

// Min returns the minimum of d and o for each resource separately.
func (d Resources) Min(o Resources) Resources {
	return Resources{min(d.MilliCPU, o.MilliCPU), min(d.MemoryMB, o.MemoryMB), min(d.GPUs, o.GPUs)}
}

// Within reports whether d fits into the available resources.
func (d Resources) Within(available Resources) bool {
	return d.MilliCPU <= available.MilliCPU && d.MemoryMB <= available.MemoryMB && d.GPUs <= available.GPUs
}

// TaskRef identifies a task.
type TaskRef struct {
	Job        string
	Repetition int // number of the execution, if the job is executed repeatedly by a schedule; 0 otherwise
	Step       int
	Index      int
}

// Run identifies one execution of a task. The numbers of a task's runs start at 1 and rise;
// some may be left out.
type Run struct {
	Task   TaskRef
	Number uint32
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count    int
	Demand   Resources
	Estimate time.Duration // duration of one task as declared by the customer
	Rack     string        // rack that holds the data of the tasks; "" if there is none
	// MaxPerUpstream is how many of the tasks may run on the same upstream at a time; 0
	// means no limit.
	MaxPerUpstream int
}

// Job is a job as submitted by a customer.
type Job struct {
	ID    string
	Spec  string // passed to the upstreams unchanged
	Steps []Step
	// Ephemeral jobs are not stored: the customer gets the response when the job has
	// ended, and the job is lost if the instance that accepted it fails.
	Ephemeral bool
	// Unsupported names the first feature in the request that this version does not
	// support. It is empty if all are supported.
	Unsupported string
}

// State is the state of a job as shown to its customer.
type State string

// The states of a job.
const (
	StateQueued    State = "queued"
	StateRunning   State = "running"
	StateCompleted State = "completed"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)
