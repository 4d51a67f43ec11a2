package schedule

import (
	"container/heap"
	"time"
)

// slots predicts from the current runs when tasks can start, whatever their sizes: each run that
// ends frees capacity for one task.
type slots struct {
	now    time.Time
	freeAt timeHeap // has an element per task that can run at a time: when its capacity becomes free
	marked timeHeap // copy of freeAt at the last call of mark
}

// timeHeap is a min-heap of times.
type timeHeap []time.Time

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(v any)        { *h = append(*h, v.(time.Time)) }
func (h *timeHeap) Pop() any {
	old := *h
	v := old[len(old)-1]
	*h = old[:len(old)-1]
	return v
}

// newSlots returns the slots of the upstreams of one service.
func (p *Pool) newSlots(service string) *slots {
	s := &slots{now: p.now}
	for _, u := range p.sortedUpstreams {
		if u.Service != service || !p.usable(u, p.now) || !u.used.Within(u.Capacity) {
			continue // the last condition: after its capacity shrank below its use, the end of one run frees nothing yet
		}
		for _, r := range sortedRuns(u) {
			s.freeAt = append(s.freeAt, r.expectedEnd(p.now))
		}
	}
	heap.Init(&s.freeAt)
	return s
}

// addFree implements capacityModel.
func (s *slots) addFree(tasks int) {
	for range tasks {
		heap.Push(&s.freeAt, s.now)
	}
}

// mark implements capacityModel.
func (s *slots) mark() { s.marked = append(s.marked[:0], s.freeAt...) }

// undo implements capacityModel.
func (s *slots) undo() { s.freeAt = append(s.freeAt[:0], s.marked...) }

// reserve implements capacityModel.
func (s *slots) reserve(set taskSet) (time.Time, bool) {
	last := s.now
	for range set.tasks {
		if len(s.freeAt) == 0 {
			return time.Time{}, false
		}
		at := s.freeAt[0]
		if at.Before(s.now) {
			at = s.now
		}
		if at.After(last) {
			last = at
		}
		s.freeAt[0] = at.Add(set.duration)
		heap.Fix(&s.freeAt, 0)
	}
	return last, true
}
