package standin

import (
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const recorderShards = 32

// StartRecorder holds every start that upstreams saw, for the invariant checks.
type StartRecorder struct {
	shards [recorderShards]recorderShard
}

type recorderShard struct {
	mu     sync.Mutex
	starts map[string][]StartRecord // by task, without the attempt
}

// StartRecord is one start of a task.
type StartRecord struct {
	Lease    string
	Upstream string
	Trace    string
}

// NewStartRecorder returns an empty recorder.
func NewStartRecorder() *StartRecorder {
	r := &StartRecorder{}
	for i := range r.shards {
		r.shards[i].starts = map[string][]StartRecord{}
	}
	return r
}

func (r *StartRecorder) started(lease, upstream, trace string) {
	task := taskOf(lease)
	s := &r.shards[xxhash.Sum64String(task)%recorderShards]
	s.mu.Lock()
	s.starts[task] = append(s.starts[task], StartRecord{lease, upstream, trace})
	s.mu.Unlock()
}

// taskOf cuts the attempt off a lease id: "session/sequence/generation/task".
func taskOf(lease string) string {
	if i := strings.LastIndexByte(lease, '/'); i >= 0 {
		return lease[:i]
	}
	return lease
}

// Starts returns the number of starts, and the tasks that started twice.
func (r *StartRecorder) Starts() (total int, twice []string) {
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for task, starts := range s.starts {
			total += len(starts)
			if len(starts) > 1 {
				twice = append(twice, task)
			}
		}
		s.mu.Unlock()
	}
	return total, twice
}

// StartsByPrefix returns the starts of the tasks whose name begins with prefix, such as a
// key and a slash.
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
