package schedule

import (
	"slices"
	"strconv"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// A task may crash every upstream that starts it. A single crash does not show whether the
// upstream or one of the tasks that ran on it was the cause; repeated crashes do. After a
// crash all tasks that ran on the upstream become suspects, except that if some of them had
// been running in earlier crashes, only those with the most crashes do. A suspect is started
// on the upstream where another crash would do the least harm. Its job fails once enough
// upstreams have crashed while they ran it.

const (
	// maxCrashes is the number of upstreams that crashed while they ran a task after which
	// the task is not started again.
	maxCrashes = 3
	// maxCrashesIfRepeating is the same limit while recent crashes often repeat under the
	// same tasks, which shows that upstreams do not crash for reasons of their own.
	maxCrashesIfRepeating = 2
	// minRepeatedShare is the share of recent crashes that must be repeated for that: one
	// task that crashes two upstreams makes it one half, while upstreams that end and restart
	// independently of their tasks make it about a tenth.
	minRepeatedShare = 0.4
	// crashWindow is how long a crash counts as recent: several times as long as an upstream
	// needs to restart and to be given the same task again.
	crashWindow = 10 * time.Second
	// crashRetention is how long the crashes of a task are remembered: longer than customers
	// keep resubmitting a job.
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
	repeated bool // one of the suspects had been running in an earlier crash
}

// crashHistory holds the crashes of a pool's upstreams.
type crashHistory struct {
	tasks  map[fleet.TaskRef]crashRecord
	recent []crash // within crashWindow, oldest first
}

// count returns how many upstreams have crashed while they ran a task.
func (c *crashHistory) count(ref fleet.TaskRef) int { return c.tasks[ref].count }

// importCount raises the count of a task to the one that another pool has recorded.
func (c *crashHistory) importCount(now time.Time, ref fleet.TaskRef, count int) {
	if count > c.count(ref) {
		c.tasks[ref] = crashRecord{count, now}
	}
}

// selectSuspects returns the suspects among the tasks that were running in a crash: those
// with the most crashes so far.
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

// retract lowers the counts of the suspects of an upstream that turned out not to have
// crashed.
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

// reachedLimit reports whether so many upstreams have crashed while they ran a task that it
// must not be started again.
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

// recordCrash records that an upstream ended while it had runs, and returns the suspects. An
// upstream that drains ends as planned, which is no crash.
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

// endCrashingJobs ends the jobs of those suspects that have reached the limit of crashes.
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

// isSuspect reports whether an upstream has crashed while it ran a task.
func (p *Pool) isSuspect(ref fleet.TaskRef) bool { return p.crashHistory.count(ref) > 0 }

// chooseForSuspect returns the upstream on which a suspect of a job is to start, or nil:
// the one with the fewest suspects, and among those the one with the fewest runs.
func (p *Pool) chooseForSuspect(j *job) *upstream {
	var best *upstream
	var fewestSuspects, fewestRuns int
	for _, u := range p.sortedUpstreams {
		if u.Service != j.Service || !p.usable(u, p.now) || !j.Demand.Within(u.Capacity.Minus(u.used)) || remainingPerUpstream(j, u, 1) == 0 {
			continue
		}
		suspects := p.countSuspects(u)
		if best == nil || suspects < fewestSuspects || suspects == fewestSuspects && len(u.runs) < fewestRuns {
			best, fewestSuspects, fewestRuns = u, suspects, len(u.runs)
		}
	}
	return best
}

// countSuspects returns how many runs of suspects an upstream has.
func (p *Pool) countSuspects(u *upstream) int {
	n := 0
	for _, r := range u.runs {
		if p.isSuspect(r.id.Task) {
			n++
		}
	}
	return n
}
