package api

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"github.com/cespare/xxhash/v2"
)

// Limits on the requests of callers.
const (
	MaxTasks      = 2000
	MaxPayload    = 64 << 10 // bytes per task
	MaxBody       = 16 << 20 // bytes per request
	MaxName       = 64       // bytes in the name of a service or a caller
	MaxDeadlineMs = 10 * 60 * 1000
	MaxRunMs      = 5 * 60 * 1000
	MaxCPU        = 1024
	MaxMemoryMB   = 16 << 20
	MaxDepth      = 64 // nested objects and arrays in a request
)

// Check returns nil if s is valid, and otherwise an error that names the first invalid field.
func (s *Submission) Check() error {
	if _, err := s.Session.Log(); err != nil {
		return err
	}
	if s.Sequence == 0 {
		return failure.Field(failure.InvalidInput, "sequence", "must be at least 1")
	}
	if s.Attempt == 0 {
		return failure.Field(failure.InvalidInput, "attempt", "must be 1 for the first submission and higher for each resubmission")
	}
	if s.Generation > 0 && !s.Repeatable {
		return failure.Field(failure.InvalidInput, "generation", "must be 0 for a job that is not repeatable")
	}
	if err := CheckName("service", s.Service); err != nil {
		return err
	}
	if s.DeadlineMs > MaxDeadlineMs {
		return failure.Field(failure.InvalidInput, "deadline_ms", "must be at most %d", MaxDeadlineMs)
	}
	if len(s.Tasks) == 0 {
		return failure.Field(failure.InvalidInput, "tasks", "a job must have at least one task")
	}
	if len(s.Tasks) > MaxTasks {
		return failure.Field(failure.TooLarge, "tasks", "a job can have at most %d tasks, not %d", MaxTasks, len(s.Tasks))
	}
	for i := range s.Tasks {
		if err := s.Tasks[i].check("tasks[" + strconv.Itoa(i) + "]."); err != nil {
			return err
		}
	}
	return nil
}

// CheckName checks whether name can be the name of a service or a caller. If it cannot, the
// error is InvalidInput and names the given field.
func CheckName(field, name string) error {
	if name == "" || len(name) > MaxName {
		return failure.Field(failure.InvalidInput, field, "must have 1 to %d characters", MaxName)
	}
	for _, r := range name {
		if !isNameRune(r) {
			return failure.Field(failure.InvalidInput, field, "contains %q; only letters, digits, '-', '_' and '.' are allowed", r)
		}
	}
	return nil
}

func isNameRune(r rune) bool {
	switch {
	case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9':
		return true
	default:
		return r == '-' || r == '_' || r == '.'
	}
}

func (t *Task) check(prefix string) error {
	switch {
	case !(t.CPU >= 0 && t.CPU <= MaxCPU):
		return failure.Field(failure.InvalidInput, prefix+"cpu", "must be from 0 to %d cores", MaxCPU)
	case t.MemoryMB > MaxMemoryMB:
		return failure.Field(failure.InvalidInput, prefix+"memory_mb", "must be at most %d", MaxMemoryMB)
	case t.RunMs > MaxRunMs:
		return failure.Field(failure.InvalidInput, prefix+"run_ms", "must be at most %d", MaxRunMs)
	case len(t.Payload) > MaxPayload:
		return failure.Field(failure.TooLarge, prefix+"payload", "has %d bytes; %d are allowed", len(t.Payload), MaxPayload)
	}
	return nil
}

// Key returns the key of the job.
func (s *Submission) Key() fate.Key {
	return fate.Key{Session: s.Session, Sequence: s.Sequence, Generation: s.Generation}
}

// Job returns the job that s submits. The deadline of the job is nowMs (Unix milliseconds) plus
// s.DeadlineMs, or plus defaultDeadlineMs if s.DeadlineMs is zero.
func (s *Submission) Job(nowMs int64, defaultDeadlineMs uint32) *fate.Job {
	deadline := s.DeadlineMs
	if deadline == 0 {
		deadline = defaultDeadlineMs
	}
	job := &fate.Job{
		Service: s.Service, Caller: s.Session.Caller(), Repeatable: s.Repeatable,
		DeadlineMs: nowMs + int64(deadline), Digest: s.digest(),
		Tasks: make([]fate.Task, len(s.Tasks)),
	}
	for i := range s.Tasks {
		t := &s.Tasks[i]
		job.Tasks[i] = fate.Task{CPU: t.CPU, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators, RunMs: t.RunMs, Payload: t.Payload}
	}
	return job
}

// digest returns a hash of the work that s submits: the service and the tasks, without the key
// and the attempt number. A different digest under the same key shows that a caller has reused
// the key for other work.
func (s *Submission) digest() uint64 {
	d := xxhash.New()
	var buf [8]byte
	addNumber := func(n uint64) {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = d.Write(buf[:])
	}
	addBytes := func(b []byte) {
		addNumber(uint64(len(b)))
		_, _ = d.Write(b)
	}
	addBytes([]byte(s.Service))
	if s.Repeatable {
		addNumber(1)
	}
	for i := range s.Tasks {
		t := &s.Tasks[i]
		addNumber(math.Float64bits(t.CPU))
		addNumber(t.MemoryMB)
		addNumber(uint64(t.Accelerators))
		addNumber(uint64(t.RunMs))
		addBytes(t.Payload)
	}
	return d.Sum64()
}
