package schedule

import (
	"slices"
	"strconv"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// A task may crash each upstream that starts it. One crash does not tell whether it was the
// upstream's fault, or whose of the tasks that ran there: what repeats tells. All that ran
// there is suspected, but where some of it was at work in a crash before, that alone is. A
// suspected task is tried where the least is lost beside it, and given up once upstreams
// have crashed under it often enough.

const (
	// crashesToGiveUp is how many upstreams may crash under a task at the most, and
	// crashesToBlame how many where crashes mostly repeat under tasks: then it is not the
	// upstreams that come and go.
	crashesToGiveUp = 3
	crashesToBlame  = 2
	// repeatShare is the share of late crashes that must be under a task that was at work in
	// one before: a task that crashes two upstreams makes it a half, upstreams that come and
	// go by themselves a tenth.
	repeatShare = 0.4
	// crashWindow is how far back crashes count for that: some times what an upstream takes
	// to come back, and to be given the same task again.
	crashWindow = 10 * time.Second
	// crashMemory is how long a crash is remembered of a task: longer than customers go on
	// sending a job again.
	crashMemory = time.Minute
)

// crashRecord is what is known of one task.
type crashRecord struct {
	count int // of upstreams that crashed under it
	last  time.Time
}

// crash is one crash of an upstream with work.
type crash struct {
	at       time.Time
	repeated bool // under a task that was at work in one before
}

// crashes are the crashes of a pool's upstreams.
type crashes struct {
	tasks map[fleet.TaskRef]crashRecord
	late  []crash // of the window, oldest first
}

// of returns how many upstreams have crashed under a task.
func (c *crashes) of(ref fleet.TaskRef) int { return c.tasks[ref].count }

// learn takes what another pool knows of a task.
func (c *crashes) learn(now time.Time, ref fleet.TaskRef, count int) {
	if count > c.of(ref) {
		c.tasks[ref] = crashRecord{count, now}
	}
}

// suspects returns those of the tasks that were at work in a crash that are suspected.
func (c *crashes) suspects(tasks []fleet.TaskRef) []fleet.TaskRef {
	most := 0
	for _, ref := range tasks {
		most = max(most, c.of(ref))
	}
	return slices.DeleteFunc(slices.Clone(tasks), func(ref fleet.TaskRef) bool { return c.of(ref) < most })
}

// add takes a crash under some tasks, and returns those that are suspected.
func (c *crashes) add(now time.Time, tasks []fleet.TaskRef) []fleet.TaskRef {
	suspects := c.suspects(tasks)
	repeated := false
	for _, ref := range suspects {
		r := c.tasks[ref]
		repeated = repeated || r.count > 0
		c.tasks[ref] = crashRecord{r.count + 1, now}
	}
	c.late = append(c.late, crash{now, repeated})
	return suspects
}

// takeBack takes back that tasks are suspected: the upstream had not crashed.
func (c *crashes) takeBack(tasks []fleet.TaskRef) {
	for _, ref := range tasks {
		if r, known := c.tasks[ref]; known {
			r.count--
			c.tasks[ref] = r
		}
	}
}

// forget drops what is too old to count.
func (c *crashes) forget(now time.Time) {
	c.late = slices.DeleteFunc(c.late, func(e crash) bool { return now.Sub(e.at) > crashWindow })
	for ref, r := range c.tasks {
		if now.Sub(r.last) > crashMemory {
			delete(c.tasks, ref)
		}
	}
}

// convicted reports whether a task is given up for the upstreams that crashed under it.
func (c *crashes) convicted(ref fleet.TaskRef) bool {
	count := c.of(ref)
	return count >= crashesToGiveUp || count >= crashesToBlame && c.mostlyRepeat()
}

// mostlyRepeat reports whether many of the late crashes repeat under tasks.
func (c *crashes) mostlyRepeat() bool {
	repeated := 0
	for _, e := range c.late {
		if e.repeated {
			repeated++
		}
	}
	return float64(repeated) >= repeatShare*float64(len(c.late))
}

// crashed takes the end of an upstream's life under runs, as far as it was no planned one.
// It returns the tasks that are suspected.
func (p *Pool) crashed(u *upstream, runs []*run) []fleet.TaskRef {
	if u.Draining || len(runs) == 0 {
		return nil
	}
	var tasks []fleet.TaskRef
	for _, r := range runs {
		tasks = append(tasks, r.id.Task)
	}
	suspects := p.crashHistory.add(p.now, tasks)
	for _, ref := range suspects {
		if len(p.jobsByID[ref.Job]) > 0 {
			p.addDecision(Decision{
				Kind: DecidedSuspect, Job: ref.Job, Task: ref.Index, Upstream: u.ID,
				Reason: "upstream " + strconv.Itoa(p.crashHistory.of(ref)) + " that crashes under it",
			})
		}
	}
	return suspects
}

// giveUpConvicted ends the jobs of tasks under which upstreams have crashed too often.
func (p *Pool) giveUpConvicted(suspects []fleet.TaskRef) {
	for _, ref := range suspects {
		if !p.crashHistory.convicted(ref) {
			continue
		}
		for _, j := range slices.Clone(p.jobsByID[ref.Job]) {
			if j.tasks[ref.Index] != nil {
				p.endJob(j, Crashed)
			}
		}
	}
}

// isConvicted reports whether a task of a job must not be started any more.
func (p *Pool) isConvicted(j *job) bool {
	return slices.ContainsFunc(j.taskList, func(t *task) bool { return p.crashHistory.convicted(p.taskRef(j, t)) })
}

// isSuspected reports whether an upstream has crashed under a task.
func (p *Pool) isSuspected(ref fleet.TaskRef) bool { return p.crashHistory.of(ref) > 0 }

// chooseApart returns the upstream for a suspected task: the one with the fewest suspected
// tasks and then the least work beside it, or nil.
func (p *Pool) chooseApart(j *job) *upstream {
	var best *upstream
	var suspects, least int
	for _, u := range p.sortedUpstreams {
		if u.Service != j.Service || !p.usable(u, p.now) || !j.Demand.Within(u.Capacity.Minus(u.used)) || placesApart(j, u, 1) == 0 {
			continue
		}
		n := p.suspectsOn(u)
		if best == nil || n < suspects || n == suspects && len(u.runs) < least {
			best, suspects, least = u, n, len(u.runs)
		}
	}
	return best
}

// suspectsOn counts the suspected tasks that an upstream runs.
func (p *Pool) suspectsOn(u *upstream) int {
	n := 0
	for _, r := range u.runs {
		if p.isSuspected(r.id.Task) {
			n++
		}
	}
	return n
}
