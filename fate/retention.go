package fate

import "container/list"

// Retention limits the answers that are kept of decided submissions.
type Retention struct {
	MaxBytes int64 // total size of the kept answers
	MaxCount int
	MaxAgeMs int64 // milliseconds after which an answer is evicted; zero means never
}

// retainedKeys holds the keys of the decided submissions, and decides which to
// evict. For each session it remembers the highest evicted sequence number, so that
// a resubmission of an evicted job is not run as a new one.
type retainedKeys struct {
	limits         Retention
	oldestFirst    *list.List
	bytes          int64
	now            int64              // Unix milliseconds, as of the last tick
	evictedThrough map[Session]uint64 // highest evicted sequence number per session
}

type retainedKey struct {
	key       Key
	size      int64
	decidedAt int64
}

func newRetainedKeys(limits Retention) *retainedKeys {
	return &retainedKeys{limits: limits, oldestFirst: list.New(), evictedThrough: map[Session]uint64{}}
}

// add adds a decided key with the size of its answer, and returns the keys that
// are evicted to stay within the limits.
func (r *retainedKeys) add(key Key, size int64) []Key {
	r.oldestFirst.PushBack(retainedKey{key, size, r.now})
	r.bytes += size
	var evicted []Key
	for r.exceedsLimits() {
		evicted = append(evicted, r.evictOldest())
	}
	return evicted
}

// evictExpired sets the current time, and returns the keys evicted for their age.
func (r *retainedKeys) evictExpired(now int64) []Key {
	r.now = now
	var evicted []Key
	for r.limits.MaxAgeMs > 0 && r.oldestFirst.Len() > 0 && r.oldestFirst.Front().Value.(retainedKey).decidedAt+r.limits.MaxAgeMs <= now {
		evicted = append(evicted, r.evictOldest())
	}
	return evicted
}

func (r *retainedKeys) exceedsLimits() bool {
	if r.oldestFirst.Len() <= 1 {
		return false
	}
	return r.bytes > r.limits.MaxBytes || r.oldestFirst.Len() > r.limits.MaxCount
}

func (r *retainedKeys) evictOldest() Key {
	item := r.oldestFirst.Remove(r.oldestFirst.Front()).(retainedKey)
	r.bytes -= item.size
	if item.key.Sequence > r.evictedThrough[item.key.Session] {
		r.evictedThrough[item.key.Session] = item.key.Sequence
	}
	return item.key
}

// mayBeEvicted reports whether key may have been evicted. It always reports true for
// an evicted key. For a key that was never submitted it also reports true if a later
// key of the same session has been evicted.
func (r *retainedKeys) mayBeEvicted(key Key) bool {
	highest, ok := r.evictedThrough[key.Session]
	return ok && key.Sequence <= highest
}

func answerSize(outcomes []Outcome) int64 {
	const perTask = 64 // bytes of an Outcome without the contents of Result and Error
	size := int64(perTask)
	for i := range outcomes {
		size += perTask + int64(len(outcomes[i].Result)) + int64(len(outcomes[i].Error))
	}
	return size
}
