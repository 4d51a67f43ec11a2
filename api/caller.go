// Package api defines the messages of sedgehatch's HTTP interfaces: the interface for
// callers and operators, that of the upstreams, and that of the platform. The first is
// described by openapi.yaml in this directory, all three by docs/API.md.
package api

import (
	"encoding/json"

	"github.com/sedgehatch/sedgehatch/fate"
)

// The paths of the callers' and operators' interface.
const (
	PathSessions  = "/v1/sessions"
	PathJobs      = "/v1/jobs"
	PathInstances = "/v1/instances"
	PathStatus    = "/v1/status"
	PathMetrics   = "/debug/vars"
)

// HeaderTrace is the header with the W3C trace context. It is sent with requests of callers
// and with starts of tasks on upstreams.
const HeaderTrace = "Traceparent"

// OpenSession is a request for a session.
type OpenSession struct {
	// Caller is the name of the caller, to which quotas and settings apply.
	Caller string `json:"caller"`
}

// SessionOpened is the answer to OpenSession.
type SessionOpened struct {
	Session fate.Session `json:"session"`
	// ExpiresInMs is how long the session accepts new jobs, in milliseconds.
	ExpiresInMs int64  `json:"expires_in_ms"`
	Entry       string `json:"entry"`
}

// Submission is a request to run a job. The session, sequence and generation are the key of
// the job.
type Submission struct {
	Session    fate.Session `json:"session"`
	Sequence   uint64       `json:"sequence"`
	Generation uint32       `json:"generation,omitempty"`
	// Attempt numbers the requests with this key, from 1.
	Attempt    uint32 `json:"attempt"`
	Service    string `json:"service"`
	Repeatable bool   `json:"repeatable,omitempty"`
	// DeadlineMs is the time from the job's acceptance until it must be complete; 0
	// means the default of the service.
	DeadlineMs uint32 `json:"deadline_ms,omitempty"`
	// WaitMs is how long this request waits for the job's fate before the answer is
	// "pending". If absent, it waits until the deadline.
	WaitMs *uint32 `json:"wait_ms,omitempty"`
	Tasks  []Task  `json:"tasks"`
}

// Task is one task of a submission.
type Task struct {
	CPU          float64         `json:"cpu,omitempty"`       // cores
	MemoryMB     uint64          `json:"memory_mb,omitempty"` // megabytes
	Accelerators uint32          `json:"accelerators,omitempty"`
	RunMs        uint32          `json:"run_ms,omitempty"` // declared run time, milliseconds
	Payload      json.RawMessage `json:"payload,omitempty"`
}

// Answer is what is known of a submission. Its fate is the final outcome, or "pending".
type Answer struct {
	Session    fate.Session `json:"session"`
	Sequence   uint64       `json:"sequence"`
	Generation uint32       `json:"generation,omitempty"`
	Fate       fate.Kind    `json:"fate"`
	Reason     fate.Reason  `json:"reason,omitempty"`
	// Done and Total are the numbers of completed tasks and of all tasks while the fate
	// is pending.
	Done  int `json:"done,omitempty"`
	Total int `json:"total,omitempty"`
	// RetryAfterMs is set after a refusal: the estimated time until a new job can be
	// accepted.
	RetryAfterMs uint32       `json:"retry_after_ms,omitempty"`
	Tasks        []TaskAnswer `json:"tasks,omitempty"`
}

// TaskAnswer is the outcome of one task, in task order.
type TaskAnswer struct {
	State  fate.TaskState  `json:"state"`
	Result json.RawMessage `json:"result,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// FromFate converts a to the answer that is sent to the caller.
func FromFate(a *fate.Answer) Answer {
	out := Answer{
		Session: a.Key.Session, Sequence: a.Key.Sequence, Generation: a.Key.Generation,
		Fate: a.Kind, Reason: a.Reason,
	}
	if len(a.Tasks) > 0 {
		out.Tasks = make([]TaskAnswer, len(a.Tasks))
	}
	for i := range a.Tasks {
		out.Tasks[i] = TaskAnswer{State: a.Tasks[i].State, Result: a.Tasks[i].Result, Error: a.Tasks[i].Error}
	}
	return out
}

// InstanceStatus is the state of an instance as seen by another one.
type InstanceStatus struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation,omitempty"`
	Zone        string `json:"zone"`
	Role        string `json:"role"`
	State       string `json:"state"` // alive, suspect, leaving, dead or listed
	ActiveJobs  uint64 `json:"active_jobs"`
	Revision    uint64 `json:"settings_revision"`
	FreeSlots   uint64 `json:"free_slots"`
	QueuedTasks uint64 `json:"queued_tasks"`
}

// Status is the state of an instance as reported by itself.
type Status struct {
	Instance    string           `json:"instance"`
	Incarnation string           `json:"incarnation"`
	Fleet       string           `json:"fleet"`
	Zone        string           `json:"zone"`
	Leaving     bool             `json:"leaving"`
	ActiveJobs  int              `json:"active_jobs"`
	Messages    map[string]int64 `json:"messages"`
}
