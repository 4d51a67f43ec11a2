package api

import (
	"encoding/binary"
	"math"
	"strconv"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"github.com/cespare/xxhash/v2"
)

// The limits on what a caller may send.
const (
	MaxTasks      = 2000
	MaxPayload    = 64 << 10 // bytes, one task
	MaxBody       = 16 << 20 // bytes, one request
	MaxName       = 64       // bytes, a service's or a caller's name
	MaxDeadlineMs = 10 * 60 * 1000
	MaxRunMs      = 5 * 60 * 1000
	MaxCPU        = 1024
	MaxMemoryMB   = 16 << 20
	MaxDepth      = 64 // of nested JSON in a request
)

// Check returns an error that names the first field of s that is wrong.
func (s *Submission) Check() error {
	if _, err := s.Session.Log(); err != nil {
		return err
	}
	if s.Sequence == 0 {
		return failure.Field(failure.InvalidInput, "sequence", "counts from 1")
	}
	if s.Attempt == 0 {
		return failure.Field(failure.InvalidInput, "attempt", "counts from 1: send 1 the first time and more for each resubmission")
	}
	if s.Generation > 0 && !s.Repeatable {
		return failure.Field(failure.InvalidInput, "generation", "a job that is not repeatable has generation 0 only")
	}
	if err := CheckName("service", s.Service); err != nil {
		return err
	}
	if s.DeadlineMs > MaxDeadlineMs {
		return failure.Field(failure.InvalidInput, "deadline_ms", "is over %d", MaxDeadlineMs)
	}
	if len(s.Tasks) == 0 {
		return failure.Field(failure.InvalidInput, "tasks", "a job has at least one task")
	}
	if len(s.Tasks) > MaxTasks {
		return failure.Field(failure.TooLarge, "tasks", "a job has at most %d tasks, not %d", MaxTasks, len(s.Tasks))
	}
	for i := range s.Tasks {
		if err := s.Tasks[i].check("tasks[" + strconv.Itoa(i) + "]."); err != nil {
			return err
		}
	}
	return nil
}

// CheckName returns an error unless name can name a service or a caller.
func CheckName(field, name string) error {
	if name == "" || len(name) > MaxName {
		return failure.Field(failure.InvalidInput, field, "needs 1 to %d characters", MaxName)
	}
	for _, r := range name {
		if !nameRune(r) {
			return failure.Field(failure.InvalidInput, field, "has %q; letters, digits, '-', '_' and '.' are allowed", r)
		}
	}
	return nil
}

func nameRune(r rune) bool {
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
		return failure.Field(failure.InvalidInput, prefix+"cpu", "is not within 0 and %d cores", MaxCPU)
	case t.MemoryMB > MaxMemoryMB:
		return failure.Field(failure.InvalidInput, prefix+"memory_mb", "is over %d", MaxMemoryMB)
	case t.RunMs > MaxRunMs:
		return failure.Field(failure.InvalidInput, prefix+"run_ms", "is over %d", MaxRunMs)
	case len(t.Payload) > MaxPayload:
		return failure.Field(failure.TooLarge, prefix+"payload", "has %d bytes; %d are allowed", len(t.Payload), MaxPayload)
	}
	return nil
}

// Key returns the key of s.
func (s *Submission) Key() fate.Key {
	return fate.Key{Session: s.Session, Sequence: s.Sequence, Generation: s.Generation}
}

// Job returns the work of s, with its deadline counted from nowMs (Unix
// milliseconds). A submission without one gets defaultDeadlineMs.
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

// digest tells the work of one submission from that of another.
func (s *Submission) digest() uint64 {
	d := xxhash.New()
	var buf [8]byte
	number := func(n uint64) {
		binary.LittleEndian.PutUint64(buf[:], n)
		_, _ = d.Write(buf[:])
	}
	text := func(b []byte) {
		number(uint64(len(b)))
		_, _ = d.Write(b)
	}
	text([]byte(s.Service))
	if s.Repeatable {
		number(1)
	}
	for i := range s.Tasks {
		t := &s.Tasks[i]
		number(math.Float64bits(t.CPU))
		number(t.MemoryMB)
		number(uint64(t.Accelerators))
		number(uint64(t.RunMs))
		text(t.Payload)
	}
	return d.Sum64()
}
