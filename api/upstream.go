package api

import "encoding/json"

// The paths of the upstreams' interface.
const (
	PathTasks      = "/v1/tasks"            // POST: start a task and wait for its end
	PathLease      = "/v1/lease"            // GET ?id=&wait_ms=: look a lease up
	PathRenew      = "/v1/lease/renew"      // POST ?id=&lease_ms=
	PathStop       = "/v1/lease/stop"       // POST ?id=&id=: stop, and bar what was never seen
	PathCheckpoint = "/v1/lease/checkpoint" // POST ?id=
	PathThrottle   = "/v1/lease/throttle"   // POST ?id=&share=
	PathUsage      = "/v1/usage"            // GET
	PathInfo       = "/v1/info"             // GET
)

// The headers of a start and of its answer. The bodies are the task's payload
// and its result as they are.
const (
	HeaderLease        = "Sedgehatch-Lease"
	HeaderLeaseMs      = "Sedgehatch-Lease-Ms"
	HeaderIncarnation  = "Sedgehatch-Incarnation"
	HeaderService      = "Sedgehatch-Service"
	HeaderCPU          = "Sedgehatch-Cpu"
	HeaderMemoryMB     = "Sedgehatch-Memory-Mb"
	HeaderAccelerators = "Sedgehatch-Accelerators"
	HeaderState        = "Sedgehatch-State"
	HeaderRefusal      = "Sedgehatch-Refusal"
)

// LeaseState is what an upstream knows of a lease.
type LeaseState string

// The states of a lease at an upstream.
const (
	LeaseRunning   LeaseState = "running"
	LeaseFinished  LeaseState = "finished"
	LeaseFailed    LeaseState = "failed"
	LeaseStopped   LeaseState = "stopped"    // it ran and was stopped before its end
	LeaseNeverSeen LeaseState = "never_seen" // it may still arrive
	LeaseBarred    LeaseState = "barred"     // it was never seen and will be refused
	LeaseRefused   LeaseState = "refused"    // the answer to a start that did not start
)

// Refusal is why an upstream did not start a task. All but RefusedDuplicate
// prove that no start has happened or will happen under the lease.
type Refusal string

// The refusals of a start.
const (
	RefusedNoSlot      Refusal = "no_slot"
	RefusedBarred      Refusal = "barred"
	RefusedLeaving     Refusal = "leaving"
	RefusedIncarnation Refusal = "wrong_incarnation"
	RefusedUnfit       Refusal = "unfit"
	RefusedDuplicate   Refusal = "duplicate" // this lease was seen before: look it up
	RefusedBadRequest  Refusal = "bad_request"
)

// LeaseInfo is the answer to a lookup, a stop, a renewal and the like.
type LeaseInfo struct {
	Lease  string          `json:"lease"`
	State  LeaseState      `json:"state"`
	Result json.RawMessage `json:"result,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// UpstreamInfo is what an upstream says of itself.
type UpstreamInfo struct {
	ID           string  `json:"id"`
	Incarnation  string  `json:"incarnation"`
	Zone         string  `json:"zone"`
	Rack         string  `json:"rack"`
	CPU          float64 `json:"cpu"`
	MemoryMB     uint64  `json:"memory_mb"`
	Accelerators uint32  `json:"accelerators"`
	Slots        int     `json:"slots"`
	Connections  int     `json:"connections"`
	Leaving      bool    `json:"leaving"`
}

// Usage is an upstream's report of what its tasks used, some time ago.
type Usage struct {
	AgeMs    int64          `json:"age_ms"` // how old the figures are
	Running  int            `json:"running"`
	Services []ServiceUsage `json:"services"`
}

// ServiceUsage is what the tasks of one service used, since the start.
type ServiceUsage struct {
	Service  string  `json:"service"`
	Finished int64   `json:"finished"`
	Failed   int64   `json:"failed"`
	CPU      float64 `json:"cpu"`       // mean cores
	MemoryMB float64 `json:"memory_mb"` // mean megabytes
	RunMs    float64 `json:"run_ms"`    // mean milliseconds
}
