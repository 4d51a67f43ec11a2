package soak

import (
	"sync"
	"time"
)

// outages are the times in which the store answered nobody. Several may overlap.
type outages struct {
	mu    sync.Mutex
	open  int
	began time.Time
	past  []span
}

type span struct{ from, to time.Time }

// begin begins an outage.
func (o *outages) begin(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.open == 0 {
		o.began = now
	}
	o.open++
}

// end ends an outage, and reports whether it was the last that is open.
func (o *outages) end(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.open--
	if o.open == 0 {
		o.past = append(o.past, span{o.began, now})
	}
	return o.open == 0
}

// within returns how much of a time the store was away.
func (o *outages) within(from, to time.Time) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	spans := o.past
	if o.open > 0 {
		spans = append(spans[:len(spans):len(spans)], span{o.began, to})
	}
	away := time.Duration(0)
	for _, s := range spans {
		start, end := s.from, s.to
		if start.Before(from) {
			start = from
		}
		if end.After(to) {
			end = to
		}
		away += max(end.Sub(start), 0)
	}
	return away
}
