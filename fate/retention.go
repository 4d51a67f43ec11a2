package fate

import "container/list"

// Retention bounds what is kept of submissions that have their fate.
type Retention struct {
	MaxBytes int64 // of kept answers
	MaxCount int
	MaxAgeMs int64 // milliseconds after which an answer is let go; zero is never
}

// kept remembers which submissions are over, oldest first, and which were let
// go. A key that was let go is never mistaken for one that never came.
type kept struct {
	bound Retention
	order *list.List
	bytes int64
	now   int64              // Unix milliseconds, as last told
	gone  map[Session]uint64 // highest sequence number let go, per session
}

type keptItem struct {
	key  Key
	size int64
	at   int64
}

func newKept(bound Retention) *kept {
	return &kept{bound: bound, order: list.New(), gone: map[Session]uint64{}}
}

// add notes that key has its fate and returns the keys to let go for it.
func (k *kept) add(key Key, size int64) []Key {
	k.order.PushBack(keptItem{key, size, k.now})
	k.bytes += size
	var dropped []Key
	for k.over() {
		dropped = append(dropped, k.dropOldest())
	}
	return dropped
}

// tick tells the time and returns the keys that have grown too old.
func (k *kept) tick(now int64) []Key {
	k.now = now
	var dropped []Key
	for k.bound.MaxAgeMs > 0 && k.order.Len() > 0 && k.order.Front().Value.(keptItem).at+k.bound.MaxAgeMs <= now {
		dropped = append(dropped, k.dropOldest())
	}
	return dropped
}

func (k *kept) over() bool {
	if k.order.Len() <= 1 {
		return false
	}
	return k.bytes > k.bound.MaxBytes || k.order.Len() > k.bound.MaxCount
}

func (k *kept) dropOldest() Key {
	item := k.order.Remove(k.order.Front()).(keptItem)
	k.bytes -= item.size
	if item.key.Sequence > k.gone[item.key.Session] {
		k.gone[item.key.Session] = item.key.Sequence
	}
	return item.key
}

// mayHaveGone reports whether key can be one that was let go. It errs on the
// safe side: an older key of the same session that never came counts as gone.
func (k *kept) mayHaveGone(key Key) bool {
	highest, some := k.gone[key.Session]
	return some && key.Sequence <= highest
}

func sizeOf(outcomes []Outcome) int64 {
	const perTask = 64 // the struct and its headers
	size := int64(perTask)
	for i := range outcomes {
		size += perTask + int64(len(outcomes[i].Result)) + int64(len(outcomes[i].Error))
	}
	return size
}
