package schedule

import (
	"slices"
	"time"
)

// mark implements capacityModel.
func (f *timelines) mark() { f.reserved = f.reserved[:0] }

// undo implements capacityModel.
func (f *timelines) undo() {
	for _, r := range f.reserved {
		for i := range r.on.steps {
			if s := &r.on.steps[i]; s.at >= r.start && s.at < r.end {
				s.free = s.free.Plus(r.demand)
			}
		}
		f.setFirst(r.on, 0)
	}
	f.reserved = f.reserved[:0]
}

// addFree implements capacityModel. The timelines contain the capacity that is free now.
func (f *timelines) addFree(int) {}

// reserve implements capacityModel. Each task takes the upstream on which it ends first. Of those
// on which it can start now without slowdown, it takes the one on which it leaves the least CPU
// capacity free.
func (f *timelines) reserve(set taskSet) (time.Time, bool) {
	f.initStarts(&set)
	last := time.Duration(0)
	for range set.tasks {
		i := f.first(&set)
		if i < 0 {
			return time.Time{}, false
		}
		last = max(last, f.bounds[i])
		f.take(i, &set)
	}
	return f.pool.now.Add(last), true
}

// initStarts sets the lower bounds for the first task of a set.
func (f *timelines) initStarts(set *taskSet) {
	clear(f.known)
	if c := f.classOf(set.demand); c >= 0 {
		copy(f.bounds, f.lower[c])
	} else {
		clear(f.bounds)
	}
	f.fast = slices.ContainsFunc(f.upstreams, func(l *timeline) bool {
		return set.demand.Within(l.upstream.Capacity) && f.factorOn(l, set) == 1
	})
	if !set.demand.Within(f.fits) {
		for i, l := range f.upstreams {
			if !set.demand.Within(l.upstream.Capacity) {
				f.bounds[i] = never
			}
		}
	}
	if set.limitsPerUpstream() {
		f.initLimits(set)
	}
}

// initLimits sets the limits for a set that limits its tasks per upstream.
func (f *timelines) initLimits(set *taskSet) {
	f.limits = f.limits[:0]
	for i, l := range f.upstreams {
		limit := upstreamLimit{remaining: remainingPerUpstream(set.job, l.upstream, set.tasks)}
		if limit.remaining == 0 {
			limit.notBefore = set.duration
			f.bounds[i] = max(f.bounds[i], limit.notBefore)
		}
		f.limits = append(f.limits, limit)
	}
}

// factorOn returns how many times longer the tasks of a set take on an upstream.
func (f *timelines) factorOn(l *timeline, set *taskSet) float64 {
	if set.job == nil || set.job.Rack == "" {
		return l.slowdown
	}
	return l.slowdown * f.pool.remoteFactor(set.job, l.upstream)
}

// firstFor returns the index of the first step of a timeline in which a task of the set may start.
func (f *timelines) firstFor(l *timeline, set *taskSet) int {
	if c := f.classOf(set.demand); c >= 0 {
		return l.first[c]
	}
	return 0
}

// first returns the index of the upstream on which the next task of a set ends first, or -1 if it
// can start on none. It begins with the upstream with the lowest bound, so that most of the others
// need not be looked at.
func (f *timelines) first(set *taskSet) int {
	lowest := 0
	for i, bound := range f.bounds {
		if bound < f.bounds[lowest] {
			lowest = i
		}
	}
	if len(f.bounds) == 0 || f.bounds[lowest] >= never {
		return -1
	}
	f.compute(lowest, set)
	best := lowest
	for i, bound := range f.bounds {
		if bound > f.bounds[best] || bound == f.bounds[best] && bound > 0 && i > best {
			continue
		}
		if f.compute(i, set); f.isBetter(i, best) {
			best = i
		}
	}
	if f.bounds[best] >= never {
		return -1
	}
	return best
}

// isBetter reports whether the next task of a set is to take upstream i rather than o.
func (f *timelines) isBetter(i, o int) bool {
	switch {
	case f.bounds[i] != f.bounds[o]:
		return f.bounds[i] < f.bounds[o]
	case f.bounds[i] == 0 && f.starts[i].leftAfter != f.starts[o].leftAfter:
		return f.starts[i].leftAfter < f.starts[o].leftAfter
	default:
		return i < o
	}
}

// compute replaces the lower bound of an upstream by the value itself.
func (f *timelines) compute(i int, set *taskSet) {
	if f.known[i] || f.bounds[i] == never {
		return
	}
	s, l := &f.starts[i], f.upstreams[i]
	f.known[i] = true
	s.factor, s.speed = f.factorOn(l, set), l.speed
	notBefore := time.Duration(0)
	if set.limitsPerUpstream() {
		notBefore = f.limits[i].notBefore
	}
	s.at, s.leftAfter = l.earliest(f.firstFor(l, set), set.demand, s.duration(set), notBefore)
	f.bounds[i] = f.endsLike(s, set)
}

// endsLike returns the start of a task without slowdown that ends at the same time as one with the
// start s. It returns never if the task is not to start there. That a task ends earlier on a fast
// upstream is not counted, because the result must not be below the start.
func (f *timelines) endsLike(s *taskStart, set *taskSet) time.Duration {
	factor := s.factor * max(s.speed, 1)
	switch {
	case s.at == never || factor == 1:
		return s.at
	case f.fast && s.factor > 1 && set.job != nil && !f.pool.finishesInTimeFrom(f.pool.now.Add(s.at), set.job, s.factor*s.speed):
		return never
	default:
		return s.at + scaled(set.duration, (factor-1)*longestTaskFactor)
	}
}

// duration returns how long a task of the set takes on the upstream of s.
func (s *taskStart) duration(set *taskSet) time.Duration {
	if s.factor == 1 && s.speed == 1 {
		return set.duration
	}
	return scaled(set.duration, s.factor*s.speed)
}

// take reserves the earliest start on an upstream for the next task of a set.
func (f *timelines) take(i int, set *taskSet) {
	s, l := &f.starts[i], f.upstreams[i]
	end := s.at + max(s.duration(set), 1)
	from := l.split(s.at)
	to := l.split(end)
	taken := set.demand
	if l.oneTask {
		taken = l.upstream.Capacity
	}
	for k := from; k < to; k++ {
		l.steps[k].free = l.steps[k].free.Minus(taken)
	}
	f.setFirst(l, from)
	f.reserved = append(f.reserved, reservation{l, s.at, end, taken})
	f.known[i], f.bounds[i] = false, s.at
	if set.limitsPerUpstream() {
		limit := &f.limits[i]
		if limit.remaining--; limit.remaining <= 0 {
			limit.notBefore = end
			f.bounds[i] = end
		}
	}
}
