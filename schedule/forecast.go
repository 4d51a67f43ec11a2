package schedule

import (
	"container/heap"
	"time"
)

// inTimeShare is the part of its objective within which a job must be expected to
// end: forecasts err by some 30% of a task's time, and one that ends late took its
// room from others.
const inTimeShare = 0.9

// forecast tells when room is expected to free, from what runs now: each end
// frees the room of one task. It is used up as waiting tasks are given their
// places in the order in which they would start.
type forecast struct {
	now  time.Time
	free freeTimes
	// carried is how long the owner's link takes for what it was given so far.
	carried time.Duration
}

// freeTimes is a heap of times, the earliest first.
type freeTimes []time.Time

func (f freeTimes) Len() int           { return len(f) }
func (f freeTimes) Less(i, j int) bool { return f[i].Before(f[j]) }
func (f freeTimes) Swap(i, j int)      { f[i], f[j] = f[j], f[i] }
func (f *freeTimes) Push(v any)        { *f = append(*f, v.(time.Time)) }
func (f *freeTimes) Pop() any {
	old := *f
	v := old[len(old)-1]
	*f = old[:len(old)-1]
	return v
}

// overdueShare is how much longer a run is expected to take that is over its
// expected time already, as a share of that time: times differ by some 40%.
const overdueShare = 0.25

// newForecast returns the forecast for the tasks of one service.
func (p *Pool) newForecast(service string) *forecast {
	f := &forecast{now: p.now, carried: p.link.queued(p.now)}
	for _, u := range p.sortedUpstreams {
		if u.Service != service || !p.usable(u, p.now) || !u.used.Within(u.Capacity) {
			continue // what ends on one whose room has shrunk frees nothing yet
		}
		for _, r := range u.runs {
			f.free = append(f.free, r.expectedEnd(p.now))
		}
	}
	heap.Init(&f.free)
	return f
}

// expectedEnd is when a run is expected to free its room, by its pace where
// that is known.
func (r *run) expectedEnd(now time.Time) time.Time {
	if r.job == nil {
		return now.Add(minResendInterval) // it is being stopped
	}
	expect := r.expect()
	end := r.orderedAt.Add(expect)
	if r.percent > 0 && r.percentAt.After(r.orderedAt) {
		age := r.percentAt.Sub(r.orderedAt)
		end = r.percentAt.Add(age * time.Duration(100-min(r.percent, 100)) / time.Duration(r.percent))
	}
	if latest := now.Add(time.Duration(overdueShare * float64(expect))); r.orderedAt.Add(expect).Before(now) && end.Before(latest) {
		return latest
	}
	return end
}

// expect is how long a run is expected to take.
func (r *run) expect() time.Duration {
	if r.job == nil {
		return 0
	}
	return r.longer(r.job.expectedTaskDuration)
}

// add takes room that is free now.
func (f *forecast) add(places int) {
	for range places {
		heap.Push(&f.free, f.now)
	}
}

// startBegun gives places to the jobs but one of which something began: they go
// first.
func (f *forecast) startBegun(queue []*job, but *job) {
	for _, j := range queue {
		if j != but && j.hasBegun() {
			f.start(j.waitingTasks(), j.expectedTaskDuration)
		}
	}
}

// start gives places to a number of tasks, and returns when the last of them is
// expected to start. It reports false where there is no room at all.
func (f *forecast) start(tasks int, takes time.Duration) (time.Time, bool) {
	last := f.now
	for range tasks {
		if len(f.free) == 0 {
			return time.Time{}, false
		}
		at := f.free[0]
		if at.Before(f.now) {
			at = f.now
		}
		if at.After(last) {
			last = at
		}
		f.free[0] = at.Add(takes)
		heap.Fix(&f.free, 0)
	}
	return last, true
}

// waitingTasks counts the tasks of a job that wait.
func (j *job) waitingTasks() int {
	n := 0
	for _, t := range j.taskList {
		if t.state == waiting {
			n++
		}
	}
	return n
}

// endsBy is when a job is expected to end whose last task starts at a time.
func (j *job) endsBy(start time.Time) time.Time {
	return start.Add(time.Duration(longestTask * float64(j.expectedTaskDuration)))
}

// rejectHopeless rejects the jobs of which nothing began and that are expected to
// end late, in the order in which they would start: those behind them move up.
// Their coordinators ask other groups, and their customers hear of it early enough
// to go elsewhere.
func (p *Pool) rejectHopeless() {
	if !p.cfg.Policy.RejectEarly || len(p.queue) == 0 {
		return
	}
	p.forecastAt = p.now
	p.sortQueue()
	forecasts := map[string]*forecast{}
	var hopeless []*job
	for _, j := range p.queue {
		f := forecasts[j.Service]
		if f == nil {
			f = p.newForecast(j.Service)
			forecasts[j.Service] = f
		}
		if p.hopeless(j, f) {
			hopeless = append(hopeless, j)
		}
	}
	for _, j := range hopeless {
		p.endJob(j, Expired)
	}
}

// weighEvery is how often the whole queue is weighed at most as jobs arrive: the
// cost grows with the queue, and the next tick weighs it in any case.
const weighEvery = 5 * time.Millisecond

// rejectAtArrival is rejectHopeless unless the queue has just been weighed.
func (p *Pool) rejectAtArrival() {
	if p.now.Sub(p.forecastAt) >= weighEvery {
		p.rejectHopeless()
	}
}

// hopeless reports whether a job is expected to end late. The room of one that is
// not is taken from the forecast.
func (p *Pool) hopeless(j *job, f *forecast) bool {
	if !j.hasBegun() && !p.fitsCurrentCapacity(j) {
		return true
	}
	tasks := j.waitingTasks()
	carried := f.carried + p.link.takes(float64(tasks)*orderBytes(j))
	if j.hasBegun() {
		f.start(tasks, j.expectedTaskDuration)
		f.carried = carried
		return false
	}
	before := append(freeTimes(nil), f.free...)
	start, found := f.start(tasks, j.expectedTaskDuration)
	if arrives := p.now.Add(carried); arrives.After(start) {
		start = arrives
	}
	if !found || !j.endsBy(start).After(j.dueBy()) {
		f.carried = carried
		return false
	}
	f.free = before
	return true
}

// dueBy is when a job of which nothing began must be expected to end, or is
// rejected.
func (j *job) dueBy() time.Time {
	latest := j.sent().Add(time.Duration(inTimeShare * float64(j.allowed())))
	if waits := j.offeredAt.Add(j.Timeout); waits.Before(latest) {
		return waits
	}
	return latest
}
