package standin

import (
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const recorderShards = 32

// StartRecorder records every start of a task on the upstreams that use it, so that
// tests can check, for example, that no task was started twice.
type StartRecorder struct {
	shards [recorderShards]recorderShard
}

type recorderShard struct {
	mu     sync.Mutex
	starts map[string][]StartRecord // by name of the task, see taskOfLease
}

// StartRecord is one start of a task.
type StartRecord struct {
	Lease    string // lease ID
	Upstream string // upstream ID
	Trace    string // Traceparent header of the request to start the task
}

// NewStartRecorder returns an empty recorder.
func NewStartRecorder() *StartRecorder {
	r := &StartRecorder{}
	for i := range r.shards {
		r.shards[i].starts = map[string][]StartRecord{}
	}
	return r
}

func (r *StartRecorder) record(lease, upstream, trace string) {
	task := taskOfLease(lease)
	s := &r.shards[xxhash.Sum64String(task)%recorderShards]
	s.mu.Lock()
	s.starts[task] = append(s.starts[task], StartRecord{lease, upstream, trace})
	s.mu.Unlock()
}

// taskOfLease returns the name of the task that runs under a lease. It is the lease ID
// without the number of the attempt at the end: "session/sequence/generation/task".
func taskOfLease(lease string) string {
	if i := strings.LastIndexByte(lease, '/'); i >= 0 {
		return lease[:i]
	}
	return lease
}

// Starts returns the number of starts, and the tasks that were started more than
// once.
func (r *StartRecorder) Starts() (total int, duplicates []string) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for task, starts := range s.starts {
			total += len(starts)
			if len(starts) > 1 {
				duplicates = append(duplicates, task)
			}
		}
		s.mu.Unlock()
	}
	return total, duplicates
}

// StartsByPrefix returns the starts of the tasks whose names begin with prefix. With a
// job's key and a slash as the prefix, these are the tasks of the job.
func (r *StartRecorder) StartsByPrefix(prefix string) []StartRecord {
	var found []StartRecord
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for task, starts := range s.starts {
			if strings.HasPrefix(task, prefix) {
				found = append(found, starts...)
			}
		}
		s.mu.Unlock()
	}
	return found
}
