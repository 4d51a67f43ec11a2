package soak

import (
	"sync"
	"time"
)

// outages records the times in which the store was unavailable to all instances. Faults that cause
// this may overlap.
type outages struct {
	mu     sync.Mutex
	active int         // number of outages in progress
	start  time.Time   // when the store became unavailable; valid while active > 0
	ended  []timeRange // earlier times in which the store was unavailable
}

type timeRange struct{ from, to time.Time }

// begin records the start of an outage.
func (o *outages) begin(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.active == 0 {
		o.start = now
	}
	o.active++
}

// end records the end of an outage. It returns true if this was the last one in progress, so that
// the store must become available again.
func (o *outages) end(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active--
	if o.active == 0 {
		o.ended = append(o.ended, timeRange{o.start, now})
	}
	return o.active == 0
}

// overlap returns for how much of the time between from and to the store was unavailable.
func (o *outages) overlap(from, to time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	ranges := o.ended
	if o.active > 0 {
		ranges = append(ranges[:len(ranges):len(ranges)], timeRange{o.start, to})
	}
	total := time.Duration(0)
	for _, s := range ranges {
		start, end := s.from, s.to
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		total += max(end.Sub(start), 0)
	}
	return total
}
