// Package api defines the messages of sedgehatch's HTTP interfaces: one for callers and
// operators, one that upstreams implement, and one that the platform implements. The interface
// for callers and operators is described by openapi.yaml in this directory, all three by
// docs/API.md.
//
// A caller submits a job, which consists of tasks, to an instance. The job has a key: a session,
// a sequence number within the session, and a generation. The fate of a job is its final
// outcome. Tasks run on upstreams; a lease identifies one attempt to run a task on an upstream.
// An incarnation is one run of an instance or an upstream process.
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

// HeaderTrace is the header with the W3C trace context, in requests of callers and in requests
// to upstreams to start a task.
const HeaderTrace = "Traceparent"

// OpenSession is a request for a session.
type OpenSession struct {
	// Caller is the name of the caller, to which quotas and settings apply.
	Caller string `json:"caller"`
}

// SessionOpened is the answer to OpenSession.
type SessionOpened struct {
	Session fate.Session `json:"session"`
	// ExpiresInMs is how long the session accepts new jobs, in milliseconds from now.
	ExpiresInMs int64  `json:"expires_in_ms"`
	Entry       string `json:"entry"` // name of the instance that opened the session
}

// Submission is a request to run a job. The session, sequence and generation are the key of
// the job.
type Submission struct {
	Session    fate.Session `json:"session"`
	Sequence   uint64       `json:"sequence"`
	Generation uint32       `json:"generation,omitempty"`
	// Attempt is the number of this request among those with the same key: 1 for the first.
	Attempt    uint32 `json:"attempt"`
	Service    string `json:"service"`
	Repeatable bool   `json:"repeatable,omitempty"`
	// DeadlineMs is the time from the acceptance of the job until the job must be complete;
	// 0 means the default of the service.
	DeadlineMs uint32 `json:"deadline_ms,omitempty"`
	// WaitMs is how long the instance waits for the job's fate before it answers with the
	// fate "pending". If absent, it waits until the job's deadline.
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

// Answer is what is known of a submission. Fate is the final outcome of the job, or "pending"
// if there is none yet.
type Answer struct {
	Session    fate.Session `json:"session"`
	Sequence   uint64       `json:"sequence"`
	Generation uint32       `json:"generation,omitempty"`
	Fate       fate.Kind    `json:"fate"`
	Reason     fate.Reason  `json:"reason,omitempty"`
	// Done and Total are the numbers of completed tasks and of all tasks. They are set only
	// while the fate is pending.
	Done  int `json:"done,omitempty"`
	Total int `json:"total,omitempty"`
	// RetryAfterMs is the estimated time until a new job can be accepted. It is set only if
	// the job was refused.
	RetryAfterMs uint32       `json:"retry_after_ms,omitempty"`
	Tasks        []TaskAnswer `json:"tasks,omitempty"`
}

// TaskAnswer is the outcome of one task. An Answer lists them in the order of the job's tasks.
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
