package schedule

import (
	"container/heap"
	"time"
)

// admissionShare is the fraction of its latency objective within which a job that has not
// begun must be expected to finish, or it is rejected. It is below 1 because forecasts are off
// by about 30% of a task's duration, and a job that finishes late has taken capacity from
// others for nothing.
const admissionShare = 0.9

// forecast predicts from the current runs when tasks can start: each run that ends frees
// capacity for one task. Waiting tasks reserve that capacity in the order in which they would
// start.
type forecast struct {
	now    time.Time
	freeAt timeHeap // has an element per task that can run at a time: when its capacity becomes free
	// linkDelay is how long the owner's network link takes to transmit the orders that are
	// queued on it, and then those of the tasks that have reserved capacity.
	linkDelay time.Duration
}

// timeHeap is a min-heap of times.
type timeHeap []time.Time

func (h timeHeap) Len() int           { return len(h) }
func (h timeHeap) Less(i, j int) bool { return h[i].Before(h[j]) }
func (h timeHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *timeHeap) Push(v any)        { *h = append(*h, v.(time.Time)) }
func (h *timeHeap) Pop() any {
	old := *h
	v := old[len(old)-1]
	*h = old[:len(old)-1]
	return v
}

// overdueExtraShare is how much longer a run is expected to take if its expected duration has
// passed already, as a share of that duration. Durations differ by about 40%, so many runs do
// take longer than expected.
const overdueExtraShare = 0.25

// newForecast returns the forecast for the tasks of one service.
func (p *Pool) newForecast(service string) *forecast {
	f := &forecast{now: p.now, linkDelay: p.link.queueDelay(p.now)}
	for _, u := range p.sortedUpstreams {
		if u.Service != service || !p.usable(u, p.now) || !u.used.Within(u.Capacity) {
			continue // the last condition: after its capacity shrank below its use, the end of one run frees nothing yet
		}
		for _, r := range u.runs {
			f.freeAt = append(f.freeAt, r.expectedEnd(p.now))
		}
	}
	heap.Init(&f.freeAt)
	return f
}

// expectedEnd returns when a run is expected to end. It extrapolates from the progress of the
// run, if that is known.
func (r *run) expectedEnd(now time.Time) time.Time {
	if r.job == nil {
		return now.Add(minResendInterval) // it is being stopped
	}
	expected := r.expectedTotal()
	end := r.orderedAt.Add(expected)
	if r.percent > 0 && r.percentAt.After(r.orderedAt) {
		age := r.percentAt.Sub(r.orderedAt)
		end = r.percentAt.Add(age * time.Duration(100-min(r.percent, 100)) / time.Duration(r.percent))
	}
	if overdueEnd := now.Add(time.Duration(overdueExtraShare * float64(expected))); r.orderedAt.Add(expected).Before(now) && end.Before(overdueEnd) {
		return overdueEnd
	}
	return end
}

// expectedTotal returns how long a run is expected to take from start to end. It returns 0 for
// a run that is no longer wanted.
func (r *run) expectedTotal() time.Duration {
	if r.job == nil {
		return 0
	}
	return r.durationHere(r.job.expectedTaskDuration)
}

// addFree adds capacity for a number of tasks that is free now.
func (f *forecast) addFree(slots int) {
	for range slots {
		heap.Push(&f.freeAt, f.now)
	}
}

// reserveBegun reserves capacity for the waiting tasks of the jobs in the queue that have
// begun, because these go first. It leaves out the job except.
func (f *forecast) reserveBegun(queue []*job, except *job) {
	for _, j := range queue {
		if j != except && j.hasBegun() {
			f.reserve(j.countWaiting(), j.expectedTaskDuration)
		}
	}
}

// reserve reserves capacity for a number of tasks of the given duration, and returns when
// the last of them is expected to start. It returns false if the forecast has no capacity,
// neither now nor later.
func (f *forecast) reserve(tasks int, duration time.Duration) (time.Time, bool) {
	last := f.now
	for range tasks {
		if len(f.freeAt) == 0 {
			return time.Time{}, false
		}
		at := f.freeAt[0]
		if at.Before(f.now) {
			at = f.now
		}
		if at.After(last) {
			last = at
		}
		f.freeAt[0] = at.Add(duration)
		heap.Fix(&f.freeAt, 0)
	}
	return last, true
}

// countWaiting returns the number of waiting tasks of a job.
func (j *job) countWaiting() int {
	n := 0
	for _, t := range j.taskList {
		if t.state == waiting {
			n++
		}
	}
	return n
}

// expectedEndFrom returns when a job is expected to end if its last task starts at the
// given time.
func (j *job) expectedEndFrom(start time.Time) time.Time {
	return start.Add(time.Duration(longestTaskFactor * float64(j.expectedTaskDuration)))
}

// rejectLate rejects the jobs that have not begun and are expected to finish late. It goes
// through the queue in the order in which jobs would start. A rejected job reserves no
// capacity, which leaves more for those behind it. Its coordinator can still offer it to other
// groups, or refuse it early enough for the customer to go elsewhere.
func (p *Pool) rejectLate() {
	if !p.cfg.Policy.RejectEarly || len(p.queue) == 0 {
		return
	}
	p.forecastAt = p.now
	p.sortQueue()
	forecasts := map[string]*forecast{}
	var late []*job
	for _, j := range p.queue {
		f := forecasts[j.Service]
		if f == nil {
			f = p.newForecast(j.Service)
			forecasts[j.Service] = f
		}
		if p.reserveUnlessLate(j, f) {
			late = append(late, j)
		}
	}
	for _, j := range late {
		p.endJob(j, Expired)
	}
}

// minForecastInterval is the shortest time after a forecast for the whole queue after which an
// arriving job causes another one. The cost of such a forecast grows with the queue, and the
// next tick makes one in any case.
const minForecastInterval = 5 * time.Millisecond

// rejectLateOnArrival calls rejectLate when a job has arrived, unless rejectLate was called
// less than minForecastInterval ago.
func (p *Pool) rejectLateOnArrival() {
	if p.now.Sub(p.forecastAt) >= minForecastInterval {
		p.rejectLate()
	}
}

// reserveUnlessLate returns true if a job has not begun and is expected to finish late.
// Otherwise it reserves capacity for the job's waiting tasks in the forecast.
func (p *Pool) reserveUnlessLate(j *job, f *forecast) bool {
	if !j.hasBegun() && !p.fitsCurrentCapacity(j) {
		return true
	}
	tasks := j.countWaiting()
	linkDelay := f.linkDelay + p.link.transmitTime(float64(tasks)*orderBytes(j))
	if j.hasBegun() {
		f.reserve(tasks, j.expectedTaskDuration)
		f.linkDelay = linkDelay
		return false
	}
	freeBefore := append(timeHeap(nil), f.freeAt...)
	start, hasCapacity := f.reserve(tasks, j.expectedTaskDuration)
	if arrives := p.now.Add(linkDelay); arrives.After(start) {
		start = arrives
	}
	if !hasCapacity || !j.expectedEndFrom(start).After(j.admissionDeadline()) {
		f.linkDelay = linkDelay
		return false
	}
	f.freeAt = freeBefore
	return true
}

// admissionDeadline returns the time by which a job that has not begun must be expected to
// finish, or it is rejected.
func (j *job) admissionDeadline() time.Time {
	latestEnd := j.submittedAt().Add(time.Duration(admissionShare * float64(j.objective())))
	if timeoutAt := j.offeredAt.Add(j.Timeout); timeoutAt.Before(latestEnd) {
		return timeoutAt
	}
	return latestEnd
}
