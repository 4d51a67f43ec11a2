// Package api holds the messages of sedgehatch's HTTP interfaces: that of
// callers and operators, that of upstreams, and that of the platform.
// openapi.yaml beside this file describes the first; docs/API.md all three.
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

// HeaderTrace carries a W3C trace context on every hop over HTTP.
const HeaderTrace = "Traceparent"

// OpenSession asks for a session.
type OpenSession struct {
	// Caller names who submits; quotas and settings go by it.
	Caller string `json:"caller"`
}

// SessionOpened is the answer to OpenSession.
type SessionOpened struct {
	Session fate.Session `json:"session"`
	// ExpiresInMs is how long the session takes new jobs, in milliseconds.
	ExpiresInMs int64  `json:"expires_in_ms"`
	Entry       string `json:"entry"`
}

// Submission is one job under its key.
type Submission struct {
	Session    fate.Session `json:"session"`
	Sequence   uint64       `json:"sequence"`
	Generation uint32       `json:"generation,omitempty"`
	// Attempt counts the sends of this key from 1.
	Attempt    uint32 `json:"attempt"`
	Service    string `json:"service"`
	Repeatable bool   `json:"repeatable,omitempty"`
	// DeadlineMs bounds the job from its acceptance on; zero is the service's.
	DeadlineMs uint32 `json:"deadline_ms,omitempty"`
	// WaitMs is how long this call waits for the answer before it returns
	// "pending"; absent is until the deadline.
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

// Answer is what is known of a submission.
type Answer struct {
	Session    fate.Session `json:"session"`
	Sequence   uint64       `json:"sequence"`
	Generation uint32       `json:"generation,omitempty"`
	Fate       fate.Kind    `json:"fate"`
	Reason     fate.Reason  `json:"reason,omitempty"`
	// Done and Total count tasks while the fate is pending.
	Done  int `json:"done,omitempty"`
	Total int `json:"total,omitempty"`
	// RetryAfterMs says when new work has a chance, after a refusal.
	RetryAfterMs uint32       `json:"retry_after_ms,omitempty"`
	Tasks        []TaskAnswer `json:"tasks,omitempty"`
}

// TaskAnswer is the outcome of one task, in task order.
type TaskAnswer struct {
	State  fate.TaskState  `json:"state"`
	Result json.RawMessage `json:"result,omitempty"`
	Error  string          `json:"error,omitempty"`
}

// FromFate returns a as it is told to callers.
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

// InstanceStatus is one entry as another one sees it.
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

// Status is what an entry says of itself.
type Status struct {
	Instance    string           `json:"instance"`
	Incarnation string           `json:"incarnation"`
	Fleet       string           `json:"fleet"`
	Zone        string           `json:"zone"`
	Leaving     bool             `json:"leaving"`
	ActiveJobs  int              `json:"active_jobs"`
	Messages    map[string]int64 `json:"messages"`
}
