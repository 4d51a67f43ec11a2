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
	smallest  [sizeClasses]fleet.Resources // see Pool.smallestWaiting
	// fits is at most the capacity of any of the upstreams, for each resource separately.
	fits     fleet.Resources
	lower    [sizeClasses][]time.Duration // by size class and upstream: the time of the step timeline.first
	reserved []reservation                // since the last call of mark
	ends     []timelineStep               // of the runs of the upstream that is being added, with their demands

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
	speed    float64        // factor of the lasting speed, see lastingSpeed
	oneTask  bool           // a trial task must have ended before another task starts there
	steps    []timelineStep // in strict order of time; the first is at 0, the last has no end
	// first is, by size class, the first step with enough free resources for timelines.smallest.
	first [sizeClasses]int
}

// sizeClasses is the number of classes of demands. All demands belong to the first class, and the
// large ones to the second one as well. Steps in which no task of a class fits need not be looked
// at for its tasks.
const sizeClasses = 2

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
	factor    float64 // how many times longer the task takes there, apart from the lasting speed
	speed     float64 // factor of the lasting speed
}

// upstreamLimit says how many more tasks of a set may run on one upstream at the same time. Once
// that is 0, the next one starts only at notBefore.
type upstreamLimit struct {
	remaining int
	notBefore time.Duration
}

// never is later than any time in a forecast.
const never = time.Duration(math.MaxInt64 / 4)

// scaled returns a duration times a factor, but at most never, so that a few of them can be added
// without an overflow.
func scaled(d time.Duration, factor float64) time.Duration {
	return time.Duration(min(factor*float64(d), float64(never)))
}

// newTimelines returns the timelines of the usable upstreams of one service.
func (p *Pool) newTimelines(service string) *timelines {
	f := &timelines{pool: p, smallest: p.smallestWaiting(service)}
	n := len(p.sortedUpstreams)
	f.upstreams = make([]*timeline, 0, n)
	for c := range f.lower {
		f.lower[c] = make([]time.Duration, 0, n)
	}
	list := make([]timeline, n)
	for i, u := range p.sortedUpstreams {
		if u.Service == service && p.usable(u, p.now) {
			f.addTimeline(&list[i], u)
		}
	}
	n = len(f.upstreams)
	f.bounds, f.known, f.starts = make([]time.Duration, n), make([]bool, n), make([]taskStart, n)
	return f
}

// smallestWaiting returns, by size class, resources that are at most the demand of each queued job
// of a service in that class. The second class has the jobs with at least the mean CPU demand.
func (p *Pool) smallestWaiting(service string) (smallest [sizeClasses]fleet.Resources) {
	total, n := int64(0), int64(0)
	for _, j := range p.queue {
		if j.Service == service {
			total, n = total+j.Demand.MilliCPU, n+1
		}
	}
	var found [sizeClasses]bool
	for _, j := range p.queue {
		if j.Service != service {
			continue
		}
		for c := range smallest {
			switch {
			case c > 0 && j.Demand.MilliCPU*n < total:
			case !found[c]:
				smallest[c], found[c] = j.Demand, true
			default:
				smallest[c] = smallest[c].Min(j.Demand)
			}
		}
	}
	return smallest
}

// classOf returns the highest size class to which a demand belongs, or -1 if it is too small for
// any.
func (f *timelines) classOf(demand fleet.Resources) int {
	c := sizeClasses - 1
	for c >= 0 && !f.smallest[c].Within(demand) {
		c--
	}
	return c
}

// minRemaining is the shortest time after which a run is expected to end.
const minRemaining = time.Millisecond

// addTimeline adds l as the timeline of an upstream.
func (f *timelines) addTimeline(l *timeline, u *upstream) {
	now := f.pool.now
	*l = timeline{
		index: len(f.upstreams), upstream: u, slowdown: f.pool.slowdownFactor(u), speed: u.speed.factor(),
		oneTask: u.health.ejected && f.pool.cfg.Policy.SingleTrial, steps: make([]timelineStep, 1, 2*len(u.runs)+4),
	}
	l.steps[0].free = u.Capacity.Minus(u.used)
	f.ends = f.ends[:0]
	for _, r := range sortedRuns(u) {
		f.ends = append(f.ends, timelineStep{max(r.expectedEnd(now).Sub(now), minRemaining), r.demand})
	}
	slices.SortFunc(f.ends, func(a, b timelineStep) int { return cmp.Compare(a.at, b.at) })
	for _, e := range f.ends {
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
	f.upstreams = append(f.upstreams, l)
	for c := range f.lower {
		f.lower[c] = append(f.lower[c], 0)
	}
	f.setFirst(l, 0)
}

// setFirst sets the first steps of a timeline. No step before the index from has more free resources
// than when they were last set.
func (f *timelines) setFirst(l *timeline, from int) {
	for c := range l.first {
		first := min(l.first[c], from)
		for first < len(l.steps)-1 && !f.smallest[c].Within(l.steps[first].free) {
			first++
		}
		l.first[c] = first
		f.lower[c][l.index] = l.steps[first].at
	}
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
