package schedule

import (
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// admissionShare is the fraction of its latency objective within which a job that has not
// begun must be expected to finish, or it is rejected. It is below 1 because forecasts are off
// by about 30% of a task's duration, and a job that finishes late has taken capacity from
// others for nothing.
const admissionShare = 0.9

// forecast predicts from the current runs when tasks can start. Waiting tasks reserve capacity in
// the order in which they would start.
type forecast struct {
	capacityModel
	now time.Time
	// linkDelay is how long the owner's network link takes to transmit the orders that are
	// queued on it, and then those of the tasks that have reserved capacity.
	linkDelay time.Duration
}

// capacityModel predicts when capacity becomes free.
type capacityModel interface {
	// reserve reserves capacity for a set of tasks, and returns when the last of them is expected
	// to start. It returns false if there is no capacity for one of them, neither now nor later.
	reserve(set taskSet) (time.Time, bool)
	// addFree adds capacity for a number of tasks that is free now, if the model does not contain
	// the free capacity already.
	addFree(tasks int)
	// undo cancels everything since the last call of mark.
	mark()
	undo()
}

// taskSet is a number of tasks with the same demand and expected duration.
type taskSet struct {
	job      *job // nil if the tasks belong to no job
	tasks    int
	demand   fleet.Resources
	duration time.Duration
}

func (s *taskSet) limitsPerUpstream() bool { return s.job != nil && s.job.MaxPerUpstream > 0 }

// waitingSet returns the waiting tasks of a job.
func (j *job) waitingSet() taskSet {
	return taskSet{j, j.countWaiting(), j.Demand, j.expectedTaskDuration}
}

// overdueExtraShare is how much longer a run is expected to take if its expected duration has
// passed already, as a share of that duration. Durations differ by about 40%, so many runs do
// take longer than expected.
const overdueExtraShare = 0.25

// newForecast returns the forecast for the tasks of one service.
func (p *Pool) newForecast(service string) *forecast {
	f := &forecast{now: p.now, linkDelay: p.link.queueDelay(p.now)}
	if p.cfg.Policy.FitBySize {
		f.capacityModel = p.newTimelines(service)
	} else {
		f.capacityModel = p.newSlots(service)
	}
	return f
}

// earliest returns when the last of a number of tasks could start, without reserving capacity for
// them. It returns false if there is no capacity for one of them, neither now nor later.
func (f *forecast) earliest(tasks int, demand fleet.Resources, duration time.Duration) (time.Time, bool) {
	f.mark()
	defer f.undo()
	return f.reserve(taskSet{tasks: tasks, demand: demand, duration: duration})
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

// reserveBegun reserves capacity for the waiting tasks of the jobs in the queue that have
// begun, because these go first. It leaves out the job except.
func (f *forecast) reserveBegun(queue []*job, except *job) {
	for _, j := range queue {
		if j != except && j.hasBegun() {
			f.reserve(j.waitingSet())
		}
	}
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
	tasks := j.waitingSet()
	linkDelay := f.linkDelay + p.link.transmitTime(float64(tasks.tasks)*orderBytes(j))
	if j.hasBegun() {
		f.reserve(tasks)
		f.linkDelay = linkDelay
		return false
	}
	f.mark()
	start, hasCapacity := f.reserve(tasks)
	if arrives := p.now.Add(linkDelay); arrives.After(start) {
		start = arrives
	}
	if !hasCapacity || !j.expectedEndFrom(start).After(j.admissionDeadline()) {
		f.linkDelay = linkDelay
		return false
	}
	f.undo()
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
