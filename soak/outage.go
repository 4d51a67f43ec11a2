package soak

import (
	"sync"
	"time"
)

// outages records when the store was unavailable to all instances. Outages may overlap.
type outages struct {
	mu     sync.Mutex
	active int         // number of outages that have not ended
	start  time.Time   // when the first of the active outages began
	ended  []timeRange // times of unavailability that have ended
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

// end records the end of an outage and reports whether no other outage is active.
func (o *outages) end(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.active--
	if o.active == 0 {
		o.ended = append(o.ended, timeRange{o.start, now})
	}
	return o.active == 0
}

// overlap returns how long the store was unavailable between from and to.
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
