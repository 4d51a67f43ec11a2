package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// timelines predicts from the current runs when tasks of given sizes can start. It keeps a
// timeline of the free resources of each upstream on which tasks may start. Times are relative
// to the time of the forecast.
type timelines struct {
	pool      *Pool
	upstreams []*timeline
	// smallest is at most the demand of any waiting task, for each resource separately.
	smallest fleet.Resources
	// fits is at most the capacity of any of the upstreams, for each resource separately.
	fits     fleet.Resources
	lower    []time.Duration // by upstream: the time of the step timeline.first
	reserved []reservation   // since the last call of mark

	// The following fields are about the set of tasks that is being reserved. Bounds holds, by
	// upstream, when its next task ends at the earliest, expressed as the start of a task without
	// slowdown that ends then. It is a lower bound unless the start is known.
	bounds []time.Duration
	known  []bool
	starts []taskStart
	limits []upstreamLimit // only if the set limits its tasks per upstream
	// fast is set if one of the upstreams that are large enough is first choice (see Pool.choose).
	fast bool
}

// timeline is the forecast for one upstream.
type timeline struct {
	index    int // in timelines.upstreams
	upstream *upstream
	slowdown float64
	steps    []timelineStep // in strict order of time; the first is at 0, the last has no end
	// first is the first step with enough free resources for timelines.smallest.
	first int
}

// timelineStep holds the free resources from a time on until the next step.
type timelineStep struct {
	at   time.Duration
	free fleet.Resources
}

// reservation is an interval in which a task is expected to run on an upstream.
type reservation struct {
	on         *timeline
	start, end time.Duration
	demand     fleet.Resources
}

// taskStart is the earliest start of the next task of a set on one upstream, if it is known.
type taskStart struct {
	at        time.Duration
	leftAfter int64   // CPU capacity that the task leaves free, in thousandths of a core
	factor    float64 // how many times longer the task takes there
}

// upstreamLimit says how many more tasks of a set may run on one upstream at the same time. Once
// that is 0, the next one starts only at notBefore.
type upstreamLimit struct {
	remaining int
	notBefore time.Duration
}

// never is later than any time in a forecast.
const never = time.Duration(math.MaxInt64 / 4)

// newTimelines returns the timelines of the usable upstreams of one service. Upstreams that get
// only a trial task are left out.
func (p *Pool) newTimelines(service string) *timelines {
	f := &timelines{pool: p, smallest: p.smallestWaiting(service)}
	for _, u := range p.sortedUpstreams {
		if u.Service == service && p.usable(u, p.now) && !(u.health.ejected && p.cfg.Policy.SingleTrial) {
			f.addTimeline(u)
		}
	}
	n := len(f.upstreams)
	f.bounds, f.known, f.starts = make([]time.Duration, n), make([]bool, n), make([]taskStart, n)
	return f
}

// smallestWaiting returns the smallest demand of the queued jobs of a service, for each resource
// separately.
func (p *Pool) smallestWaiting(service string) fleet.Resources {
	var smallest fleet.Resources
	found := false
	for _, j := range p.queue {
		if j.Service != service {
			continue
		}
		if !found {
			smallest, found = j.Demand, true
		}
		smallest = smallest.Min(j.Demand)
	}
	return smallest
}

// minRemaining is the shortest time after which a run is expected to end.
const minRemaining = time.Millisecond

// addTimeline adds the timeline of an upstream.
func (f *timelines) addTimeline(u *upstream) {
	now := f.pool.now
	l := &timeline{index: len(f.upstreams), upstream: u, slowdown: f.pool.slowdownFactor(u), steps: make([]timelineStep, 1, 2*len(u.runs)+4)}
	l.steps[0].free = u.Capacity.Minus(u.used)
	ends := make([]timelineStep, 0, len(u.runs))
	for _, r := range u.runs {
		ends = append(ends, timelineStep{max(r.expectedEnd(now).Sub(now), minRemaining), r.demand})
	}
	slices.SortFunc(ends, func(a, b timelineStep) int { return cmp.Compare(a.at, b.at) })
	for _, e := range ends {
		last := &l.steps[len(l.steps)-1]
		if e.at == last.at {
			last.free = last.free.Plus(e.free)
			continue
		}
		l.steps = append(l.steps, timelineStep{e.at, last.free.Plus(e.free)})
	}
	if l.index == 0 {
		f.fits = u.Capacity
	}
	f.fits = f.fits.Min(u.Capacity)
	f.upstreams, f.lower = append(f.upstreams, l), append(f.lower, 0)
	f.setFirst(l, 0)
}

// setFirst sets the first step of a timeline. No step before the index from has enough free
// resources.
func (f *timelines) setFirst(l *timeline, from int) {
	l.first = from
	for l.first < len(l.steps)-1 && !f.smallest.Within(l.steps[l.first].free) {
		l.first++
	}
	f.lower[l.index] = l.steps[l.first].at
}

// earliest returns when a task can start at the earliest, but not before notBefore, and the CPU
// capacity that it leaves free then.
func (l *timeline) earliest(from int, demand fleet.Resources, duration, notBefore time.Duration) (at time.Duration, left int64) {
	for i := from; i < len(l.steps); i++ {
		if !demand.Within(l.steps[i].free) || i+1 < len(l.steps) && l.steps[i+1].at <= notBefore {
			continue
		}
		start := max(l.steps[i].at, notBefore)
		tooSmall := l.firstTooSmall(i+1, start+duration, demand)
		if tooSmall < 0 {
			return start, l.steps[i].free.MilliCPU - demand.MilliCPU
		}
		i = tooSmall
	}
	return never, 0
}

// firstTooSmall returns the index of the first step from index from on, but before the time end,
// in which a demand does not fit, or -1 if there is none.
func (l *timeline) firstTooSmall(from int, end time.Duration, demand fleet.Resources) int {
	for i := from; i < len(l.steps) && l.steps[i].at < end; i++ {
		if !demand.Within(l.steps[i].free) {
			return i
		}
	}
	return -1
}

// split makes a step begin at a time and returns its index.
func (l *timeline) split(at time.Duration) int {
	i := len(l.steps)
	for i > 0 && l.steps[i-1].at >= at {
		i--
	}
	if i < len(l.steps) && l.steps[i].at == at {
		return i
	}
	l.steps = slices.Insert(l.steps, i, timelineStep{at, l.steps[i-1].free})
	return i
}

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
	copy(f.bounds, f.lower)
	clear(f.known)
	f.fast = slices.ContainsFunc(f.upstreams, func(l *timeline) bool {
		return set.demand.Within(l.upstream.Capacity) && f.factorOn(l, set) == 1
	})
	if !f.smallest.Within(set.demand) {
		clear(f.bounds)
	}
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
	if f.smallest.Within(set.demand) {
		return l.first
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
	s.factor = f.factorOn(l, set)
	notBefore := time.Duration(0)
	if set.limitsPerUpstream() {
		notBefore = f.limits[i].notBefore
	}
	s.at, s.leftAfter = l.earliest(f.firstFor(l, set), set.demand, s.duration(set), notBefore)
	f.bounds[i] = f.endsLike(s, set)
}

// endsLike returns the start of a task without slowdown that ends at the same time as one with the
// start s. It returns never if the task is not to start there.
func (f *timelines) endsLike(s *taskStart, set *taskSet) time.Duration {
	switch {
	case s.at == never || s.factor == 1:
		return s.at
	case f.fast && set.job != nil && !f.pool.finishesInTimeFrom(f.pool.now.Add(s.at), set.job, s.factor):
		return never
	default:
		return s.at + time.Duration((s.factor-1)*longestTaskFactor*float64(set.duration))
	}
}

// duration returns how long a task of the set takes on the upstream of s.
func (s *taskStart) duration(set *taskSet) time.Duration {
	if s.factor == 1 {
		return set.duration
	}
	return time.Duration(s.factor * float64(set.duration))
}

// take reserves the earliest start on an upstream for the next task of a set.
func (f *timelines) take(i int, set *taskSet) {
	s, l := &f.starts[i], f.upstreams[i]
	end := s.at + max(s.duration(set), 1)
	from := l.split(s.at)
	to := l.split(end)
	for k := from; k < to; k++ {
		l.steps[k].free = l.steps[k].free.Minus(set.demand)
	}
	f.setFirst(l, min(l.first, from))
	f.reserved = append(f.reserved, reservation{l, s.at, end, set.demand})
	f.known[i], f.bounds[i] = false, s.at
	if set.limitsPerUpstream() {
		limit := &f.limits[i]
		if limit.remaining--; limit.remaining <= 0 {
			limit.notBefore = end
			f.bounds[i] = end
		}
	}
}
