package api

import "encoding/json"

// The paths of the upstreams' interface.
const (
	PathTasks      = "/v1/tasks"            // POST: start a task and wait for its end
	PathLease      = "/v1/lease"            // GET ?id=&wait_ms=: look up a lease
	PathRenew      = "/v1/lease/renew"      // POST ?id=&lease_ms=
	PathStop       = "/v1/lease/stop"       // POST ?id=&id=&only_unseen=: stop the tasks of leases; bar leases never seen (LeaseBarred)
	PathCheckpoint = "/v1/lease/checkpoint" // POST ?id=
	PathThrottle   = "/v1/lease/throttle"   // POST ?id=&share=
	PathUsage      = "/v1/usage"            // GET
	PathInfo       = "/v1/info"             // GET
)

// QueryOnlyUnseen, set to 1 in a request to PathStop, bars the leases that the upstream has never
// seen and leaves the others alone: their tasks go on. An upstream that does not know it stops them.
const QueryOnlyUnseen = "only_unseen"

// The headers of a request to start a task and of the answer to it. The body of the request is
// the payload of the task, and the body of the answer is the result of the task, both unchanged.
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

// LeaseState is the state of a lease at an upstream.
type LeaseState string

// The states of a lease at an upstream.
const (
	LeaseRunning   LeaseState = "running"
	LeaseFinished  LeaseState = "finished"
	LeaseFailed    LeaseState = "failed"
	LeaseStopped   LeaseState = "stopped"    // the task was stopped while running
	LeaseNeverSeen LeaseState = "never_seen" // no start under the lease has arrived yet; one still may
	LeaseBarred    LeaseState = "barred"     // stopped before any start under it arrived; a later start is refused
	LeaseRefused   LeaseState = "refused"    // only in the answer to a start: the task was not started
)

// Refusal is the reason why an upstream did not start a task. Every reason except
// RefusedDuplicate proves that no task has started or will start under the lease.
type Refusal string

// The reasons for which an upstream refuses to start a task.
const (
	RefusedNoSlot      Refusal = "no_slot"
	RefusedBarred      Refusal = "barred"
	RefusedLeaving     Refusal = "leaving"
	RefusedIncarnation Refusal = "wrong_incarnation"
	RefusedUnfit       Refusal = "unfit"
	RefusedDuplicate   Refusal = "duplicate" // a start under this lease has arrived before; look up the lease
	RefusedBadRequest  Refusal = "bad_request"
)

// LeaseInfo is the answer to a lookup, a stop, a renewal, a checkpoint or a throttle.
type LeaseInfo struct {
	Lease  string          `json:"lease"`
	State  LeaseState      `json:"state"`
	Result json.RawMessage `json:"result,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// UpstreamInfo is an upstream's description of itself.
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

// Usage is an upstream's report of the resources that its tasks have used. The figures are
// AgeMs old.
type Usage struct {
	AgeMs    int64          `json:"age_ms"` // age of the figures in milliseconds
	Running  int            `json:"running"`
	Services []ServiceUsage `json:"services"`
}

// ServiceUsage is the resources that the tasks of one service have used since the upstream
// started.
type ServiceUsage struct {
	Service  string  `json:"service"`
	Finished int64   `json:"finished"`
	Failed   int64   `json:"failed"`
	CPU      float64 `json:"cpu"`       // mean cores
	MemoryMB float64 `json:"memory_mb"` // mean megabytes
	RunMs    float64 `json:"run_ms"`    // mean milliseconds
}
