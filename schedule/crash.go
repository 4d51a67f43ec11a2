package schedule

import (
	"slices"
	"strconv"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// A task may crash every upstream that starts it. A single crash does not show whether the
// upstream itself or one of the tasks on it was the cause; repeated crashes do. After a crash
// all tasks that ran on the upstream become suspects. But if some of them had been running in
// earlier crashes too, the suspects are only those that were running in the most crashes.
//
// A suspect is started on the upstream where another crash would do the least harm. Its job
// ends as Crashed once too many upstreams have crashed while they ran the task.

const (
	// maxCrashes is how many upstreams must have crashed while they ran a task for the task
	// not to be started again.
	maxCrashes = 3
	// maxCrashesIfRepeating replaces maxCrashes while many of the recent crashes happened
	// under tasks that had crashed an upstream before. Then tasks are the cause, and not
	// the upstreams themselves.
	maxCrashesIfRepeating = 2
	// minRepeatedShare is the share of the recent crashes that must be repeated ones for
	// maxCrashesIfRepeating to apply. If one task crashes two upstreams, the share is one
	// half; if upstreams end and restart for reasons of their own, it is about a tenth.
	minRepeatedShare = 0.4
	// crashWindow is how long a crash counts as recent. It is several times as long as an
	// upstream takes to restart and to be given the same task again.
	crashWindow = 10 * time.Second
	// crashRetention is how long the crashes of a task are remembered. It is longer than
	// customers keep resubmitting a job; otherwise a resubmitted task could go on crashing
	// upstreams.
	crashRetention = time.Minute
)

// crashRecord holds the crashes of one task.
type crashRecord struct {
	count  int // upstreams that crashed while they ran the task
	lastAt time.Time
}

// crash is one crash of an upstream that ran tasks.
type crash struct {
	at       time.Time
	repeated bool // one of the suspects had been running in an earlier crash too
}

// crashHistory holds the crashes of a pool's upstreams, by task and by time.
type crashHistory struct {
	tasks  map[fleet.TaskRef]crashRecord
	recent []crash // within crashWindow, oldest first
}

// count returns how many upstreams have crashed while they ran a task.
func (c *crashHistory) count(ref fleet.TaskRef) int { return c.tasks[ref].count }

// importCount raises the count of a task to that recorded by the pool that returned the task.
func (c *crashHistory) importCount(now time.Time, ref fleet.TaskRef, count int) {
	if count > c.count(ref) {
		c.tasks[ref] = crashRecord{count, now}
	}
}

// selectSuspects returns the suspects among the tasks that were running in a crash: those that
// were running in the most crashes before.
func (c *crashHistory) selectSuspects(tasks []fleet.TaskRef) []fleet.TaskRef {
	most := 0
	for _, ref := range tasks {
		most = max(most, c.count(ref))
	}
	return slices.DeleteFunc(slices.Clone(tasks), func(ref fleet.TaskRef) bool { return c.count(ref) < most })
}

// record adds a crash of an upstream that ran the given tasks, and returns the suspects.
func (c *crashHistory) record(now time.Time, tasks []fleet.TaskRef) []fleet.TaskRef {
	suspects := c.selectSuspects(tasks)
	repeated := false
	for _, ref := range suspects {
		r := c.tasks[ref]
		repeated = repeated || r.count > 0
		c.tasks[ref] = crashRecord{r.count + 1, now}
	}
	c.recent = append(c.recent, crash{now, repeated})
	return suspects
}

// retract lowers the counts of tasks that became suspects when an upstream was assumed to have
// crashed, because it turned out that it had not.
func (c *crashHistory) retract(tasks []fleet.TaskRef) {
	for _, ref := range tasks {
		if r, found := c.tasks[ref]; found {
			r.count--
			c.tasks[ref] = r
		}
	}
}

// dropOld removes the crashes that are too old to count.
func (c *crashHistory) dropOld(now time.Time) {
	c.recent = slices.DeleteFunc(c.recent, func(e crash) bool { return now.Sub(e.at) > crashWindow })
	for ref, r := range c.tasks {
		if now.Sub(r.lastAt) > crashRetention {
			delete(c.tasks, ref)
		}
	}
}

// reachedLimit reports whether so many upstreams have crashed while they ran a task that the
// task must not be started again.
func (c *crashHistory) reachedLimit(ref fleet.TaskRef) bool {
	count := c.count(ref)
	return count >= maxCrashes || count >= maxCrashesIfRepeating && c.oftenRepeated()
}

// oftenRepeated reports whether a large share of the recent crashes are repeated ones.
func (c *crashHistory) oftenRepeated() bool {
	repeated := 0
	for _, e := range c.recent {
		if e.repeated {
			repeated++
		}
	}
	return float64(repeated) >= minRepeatedShare*float64(len(c.recent))
}

// recordCrash records that an upstream ended while it had runs, and returns the suspects. If
// the upstream was draining, it ended as planned, which does not count as a crash.
func (p *Pool) recordCrash(u *upstream, runs []*run) []fleet.TaskRef {
	if u.Draining || len(runs) == 0 {
		return nil
	}
	var tasks []fleet.TaskRef
	for _, r := range runs {
		tasks = append(tasks, r.id.Task)
	}
	suspects := p.crashHistory.record(p.now, tasks)
	for _, ref := range suspects {
		if len(p.jobsByID[ref.Job]) > 0 {
			p.addDecision(Decision{
				Kind: DecidedSuspect, Job: ref.Job, Task: ref.Index, Upstream: u.ID,
				Reason: "upstream " + strconv.Itoa(p.crashHistory.count(ref)) + " that crashes under it",
			})
		}
	}
	return suspects
}

// endCrashingJobs ends the jobs of those suspects that have reached the limit of crashes, with
// the outcome Crashed.
func (p *Pool) endCrashingJobs(suspects []fleet.TaskRef) {
	for _, ref := range suspects {
		if !p.crashHistory.reachedLimit(ref) {
			continue
		}
		for _, j := range slices.Clone(p.jobsByID[ref.Job]) {
			if j.tasks[ref.Index] != nil {
				p.endJob(j, Crashed)
			}
		}
	}
}

// hasCrashingTask reports whether a task of a job has reached the limit of crashes.
func (p *Pool) hasCrashingTask(j *job) bool {
	return slices.ContainsFunc(j.taskList, func(t *task) bool { return p.crashHistory.reachedLimit(p.taskRef(j, t)) })
}

// isSuspectTask reports whether a task is a suspect: an upstream has crashed while running it.
func (p *Pool) isSuspectTask(ref fleet.TaskRef) bool { return p.crashHistory.count(ref) > 0 }

// chooseForSuspect returns the upstream on which a suspect of a job is to start, or nil if it
// may start on none. It is the one that runs the fewest suspects, and among equal ones the one
// with the fewest runs: if it crashes, the fewest other tasks lose their runs.
func (p *Pool) chooseForSuspect(j *job) *upstream {
	var best *upstream
	var fewestSuspects, fewestRuns int
	for _, u := range p.sortedUpstreams {
		if u.Service != j.Service || !p.usable(u, p.now) || !j.Demand.Within(u.Capacity.Minus(u.used)) || remainingPerUpstream(j, u, 1) == 0 {
			continue
		}
		suspects := p.countSuspectRuns(u)
		if best == nil || suspects < fewestSuspects || suspects == fewestSuspects && len(u.runs) < fewestRuns {
			best, fewestSuspects, fewestRuns = u, suspects, len(u.runs)
		}
	}
	return best
}

// countSuspectRuns returns how many of an upstream's runs are of suspects.
func (p *Pool) countSuspectRuns(u *upstream) int {
	n := 0
	for _, r := range u.runs {
		if p.isSuspectTask(r.id.Task) {
			n++
		}
	}
	return n
}
