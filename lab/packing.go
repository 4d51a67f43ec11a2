package lab

import (
	"slices"
	"time"
)

const (
	// packingChoice is the number of waiting tasks among which packedShare chooses.
	packingChoice = 50
	// packingStarts is the number of starts that packedShare simulates. The first tenth is not
	// measured, because all upstreams are empty at first.
	packingStarts = 6000
)

// packedTask is a task in the simulation of packedShare.
type packedTask struct {
	milliCPU int64
	duration time.Duration
}

// packing is the state of the simulation of packedShare.
type packing struct {
	tasks   []packedTask // repeated without end
	next    int
	waiting []packedTask
	free    []int64 // by upstream, in thousandths of a core
	running []packedRun
	used    int64 // in thousandths of a core, of all upstreams
}

type packedRun struct {
	end      time.Duration
	upstream int
	milliCPU int64
}

// packedShare returns the share of the CPU capacity that is busy if tasks of the sizes and
// durations of the peak period never run out, have no objectives and belong to no jobs. Whenever
// capacity becomes free, the largest of packingChoice waiting tasks that fits takes it. This is
// the best packing known, and not a bound. It shows how much capacity is lost because sizes do
// not go together.
func (d *deployment) packedShare() float64 {
	p := &packing{}
	total := int64(0)
	for _, u := range d.upstreams {
		p.free = append(p.free, u.Capacity.MilliCPU)
		total += u.Capacity.MilliCPU
	}
	for _, j := range d.jobs {
		if !sentInPeak(j) {
			continue
		}
		for _, took := range j.taskDurations {
			p.tasks = append(p.tasks, packedTask{j.demand.MilliCPU, took})
		}
	}
	if len(p.tasks) == 0 {
		return 1
	}
	for range packingChoice {
		p.waiting = append(p.waiting, p.draw())
	}
	return p.run() / float64(total)
}

// draw returns the next task. It goes through the tasks in strides, so that tasks of one job, which
// have the same size, do not come one after the other.
func (p *packing) draw() packedTask {
	const stride = 7919
	p.next += stride
	return p.tasks[p.next%len(p.tasks)]
}

// run simulates packingStarts starts and returns the mean use in thousandths of a core.
func (p *packing) run() float64 {
	for u := range p.free {
		p.fill(u, 0)
	}
	var now, measured time.Duration
	used := 0.0
	for starts := len(p.running); starts < packingStarts; {
		i := p.firstToEnd()
		r := p.running[i]
		if starts > packingStarts/10 {
			used += float64(p.used) * (r.end - now).Seconds()
			measured += r.end - now
		}
		now = r.end
		p.running = slices.Delete(p.running, i, i+1)
		p.free[r.upstream] += r.milliCPU
		p.used -= r.milliCPU
		starts += p.fill(r.upstream, now)
	}
	return used / measured.Seconds()
}

func (p *packing) firstToEnd() int {
	first := 0
	for i := range p.running {
		if p.running[i].end < p.running[first].end {
			first = i
		}
	}
	return first
}

// fill starts waiting tasks on an upstream while one fits, and returns their number.
func (p *packing) fill(u int, now time.Duration) int {
	started := 0
	for {
		best := -1
		for i, t := range p.waiting {
			if t.milliCPU <= p.free[u] && (best < 0 || t.milliCPU > p.waiting[best].milliCPU) {
				best = i
			}
		}
		if best < 0 {
			return started
		}
		t := p.waiting[best]
		p.waiting[best] = p.draw()
		p.free[u] -= t.milliCPU
		p.used += t.milliCPU
		p.running = append(p.running, packedRun{now + t.duration, u, t.milliCPU})
		started++
	}
}
