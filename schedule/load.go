package schedule

import "time"

// Waiting returns the number of tasks that wait for capacity. Blocked tasks do not count.
func (p *Pool) Waiting() int { return p.waitingTasks }

// Load is the load of a pool, as reported to coordinators.
type Load struct {
	Free     int   // how many tasks of average size could start now
	Waiting  int   // tasks that wait for capacity
	Capacity int64 // total CPU capacity of the upstreams on which tasks may start, in thousandths of a core
	// Closed is set if no upstream accepts new tasks. It is not set while the pool is
	// draining, because the pool of another owner takes over its upstreams.
	Closed bool
	Waits  Waits
}

// Load returns the load of the pool. Slow upstreams count only if all upstreams on
// which tasks may start are slow.
func (p *Pool) Load(now time.Time) Load {
	p.now = now
	l := Load{Waiting: p.Waiting(), Closed: !p.draining && p.closed()}
	var slow Load
	taskMilliCPU := p.meanTaskMilliCPU()
	for _, u := range p.sortedUpstreams {
		if !p.usable(u, now) {
			continue
		}
		sum := &l
		if p.slowdownFactor(u) > 1 {
			sum = &slow
		}
		sum.Capacity += u.Capacity.MilliCPU
		sum.Free += int(max(u.Capacity.Minus(u.used).MilliCPU, 0) / taskMilliCPU)
	}
	if l.Capacity == 0 {
		l.Capacity, l.Free = slow.Capacity, slow.Free
	}
	l.Waits = p.waits(l.Free)
	l.Free = p.link.orderCapacity(now, l.Free)
	return l
}

// defaultTaskMilliCPU is the CPU demand of a task, in thousandths of a core, that is
// assumed while the pool has neither runs nor queued jobs.
const defaultTaskMilliCPU = 1000

// meanTaskMilliCPU returns the mean CPU demand, in thousandths of a core, of the tracked
// runs and the queued jobs. The result is at least 1, although a task may demand no CPU.
func (p *Pool) meanTaskMilliCPU() int64 {
	total, n := p.runDemands.milliCPU, p.runDemands.runs
	for _, j := range p.queue {
		total += j.Demand.MilliCPU
		n++
	}
	if n == 0 || total == 0 {
		return defaultTaskMilliCPU
	}
	return max(total/n, 1)
}

// demandSum is the sum of the CPU demands of runs, in thousandths of a core.
type demandSum struct{ milliCPU, runs int64 }

func (s *demandSum) add(r *run, sign int64) {
	if !r.fromFormerOwner {
		s.milliCPU += sign * r.demand.MilliCPU
		s.runs += sign
	}
}
