package schedule

import (
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// WaitSteps is the number of task counts for which a pool forecasts waits: 1, 2, 4, 8, 16 and 32.
const WaitSteps = 6

// waitsInterval is the shortest time between two forecasts of the waits. A forecast goes through
// all runs and all jobs that have begun, and Load is called for each reply to a coordinator. Waits
// change little within the interval: it is shorter than almost all tasks.
const waitsInterval = 25 * time.Millisecond

// Waits is a forecast of when tasks of usual size could start in a pool: behind the running tasks and
// the jobs that have begun, but ahead of all others. No new job can start earlier. Behind which of
// the others it starts depends on its objective. The zero value means that nothing is known.
type Waits struct {
	// Until holds, at index i, the time until the last of 1<<i tasks could start. Entries from
	// Known on are not set.
	Until        [WaitSteps]time.Duration
	Known        int
	TaskMilliCPU int64         // usual CPU demand of a task, in thousandths of a core
	TaskDuration time.Duration // usual duration of a task
}

// passed returns the waits after some time without new tasks.
func (w Waits) passed(d time.Duration) Waits {
	for i := range w.Known {
		w.Until[i] = max(w.Until[i]-d, 0)
	}
	return w
}

// waitsForecast is the last forecast of a pool's waits.
type waitsForecast struct {
	Waits
	at time.Time // zero before the first forecast
}

// waits returns the waits of the pool. Free is the number of tasks of usual size that could start
// now. The result is based on a forecast that is at most waitsInterval old.
func (p *Pool) waits(free int) Waits {
	if age := p.now.Sub(p.lastWaits.at); !p.lastWaits.at.IsZero() && age < waitsInterval {
		return p.lastWaits.passed(age)
	}
	p.lastWaits = waitsForecast{Waits: p.forecastWaits(free), at: p.now}
	return p.lastWaits.Waits
}

// forecastWaits forecasts the waits. Nothing is known of them if the upstreams run several
// services, because tasks of one service wait for some of the upstreams only.
func (p *Pool) forecastWaits(free int) Waits {
	service, single := p.singleService()
	if !single || p.draining {
		return Waits{}
	}
	w := Waits{TaskMilliCPU: p.meanTaskMilliCPU(), TaskDuration: p.meanTaskDuration()}
	f := p.newForecast(service)
	f.addFree(free)
	f.reserveBegun(p.queue, nil)
	reserved := 0
	for i := range WaitSteps {
		start, hasCapacity := f.reserve(taskSet{tasks: 1<<i - reserved, demand: fleet.Resources{MilliCPU: w.TaskMilliCPU}, duration: w.TaskDuration})
		if !hasCapacity {
			return w
		}
		reserved = 1 << i
		linkDelay := f.linkDelay + p.link.transmitTime(float64(reserved)*p.link.meanOrderBytes)
		w.Until[i] = max(start.Sub(p.now), linkDelay)
		if i > 0 {
			w.Until[i] = max(w.Until[i], w.Until[i-1])
		}
		w.Known = i + 1
	}
	return w
}

// singleService returns the service of the upstreams, and false if there are none or they run
// several services.
func (p *Pool) singleService() (string, bool) {
	if len(p.sortedUpstreams) == 0 {
		return "", false
	}
	service := p.sortedUpstreams[0].Service
	return service, !slices.ContainsFunc(p.sortedUpstreams, func(u *upstream) bool { return u.Service != service })
}

// meanTaskDuration returns the mean expected duration of the tasks that run or wait, or 0 if there
// are none.
func (p *Pool) meanTaskDuration() time.Duration {
	total, n := time.Duration(0), 0
	for _, runs := range p.runsByTask {
		for _, r := range runs {
			if r.job != nil {
				total += r.job.expectedTaskDuration
				n++
			}
		}
	}
	for _, j := range p.queue {
		total += time.Duration(len(j.taskList)) * j.expectedTaskDuration
		n += len(j.taskList)
	}
	if n == 0 {
		return 0
	}
	return total / time.Duration(n)
}
