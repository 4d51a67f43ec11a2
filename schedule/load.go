package schedule

import "time"

// Waiting returns how many tasks wait.
func (p *Pool) Waiting() int { return p.waiting }

// Load is what a pool tells its coordinators.
type Load struct {
	Free     int   // tasks of the usual size that would fit now
	Waiting  int   // tasks that wait
	Capacity int64 // thousandths of a core of all usable upstreams
	// Closed is set where nothing may start on any upstream. A pool that is handed
	// over is not closed: another takes its place.
	Closed bool
}

// Load returns the load of the pool. The room of slow upstreams counts only where
// all are slow.
func (p *Pool) Load(now time.Time) Load {
	p.now = now
	l := Load{Waiting: p.Waiting(), Closed: !p.draining && p.closed()}
	var slow Load
	size := p.usualSize()
	for _, u := range p.sorted {
		if !p.usable(u, now) {
			continue
		}
		into := &l
		if p.slowness(u) > 1 {
			into = &slow
		}
		into.Capacity += u.Capacity.MilliCPU
		into.Free += int(max(u.Capacity.Minus(u.used).MilliCPU, 0) / size)
	}
	if l.Capacity == 0 {
		l.Capacity, l.Free = slow.Capacity, slow.Free
	}
	l.Free = p.link.orders(now, l.Free)
	return l
}

// unknownSize is taken for the size of a task, in thousandths of a core, before
// one has been seen.
const unknownSize = 1000

// usualSize is the mean demand of what runs and waits.
func (p *Pool) usualSize() int64 {
	sum, n := int64(0), int64(0)
	for _, r := range p.byTask {
		if !r.foreign {
			sum += r.demand.MilliCPU
			n++
		}
	}
	for _, j := range p.queue {
		sum += j.Demand.MilliCPU
		n++
	}
	if n == 0 || sum == 0 {
		return unknownSize
	}
	return sum / n
}
