package schedule

import (
	"maps"
	"slices"
)

// Waiting tasks are returned to their coordinator if there is no capacity for them and
// they may not queue, or if the pool will not start them any more.

// returnUnstarted returns the waiting tasks of a job that have never started to the
// coordinator.
func (p *Pool) returnUnstarted(j *job, reason string) {
	p.returnTasks(j, reason, func(t *task) bool { return t.lastRun == 0 })
}

// returnAllWaiting returns all waiting tasks of a job to the coordinator, also those with
// earlier runs: the job can then be completed elsewhere instead of failing because the
// upstreams of this pool accept no new tasks.
func (p *Pool) returnAllWaiting(j *job, reason string) {
	p.returnTasks(j, reason, func(*task) bool { return true })
}

// returnTasks returns the eligible waiting tasks of a job to the coordinator. The job ends
// if no other tasks of it are left.
func (p *Pool) returnTasks(j *job, reason string, eligible func(*task) bool) {
	var returned []int
	for _, t := range j.taskList {
		if t.state != waiting || !eligible(t) {
			continue
		}
		p.setTaskState(j, t, ended)
		j.unfinished--
		returned = append(returned, t.index)
		if history, hasRun := t.history(); hasRun {
			history.Crashes = p.crashHistory.count(p.taskRef(j, t))
			j.history[t.index] = history
		}
	}
	if len(returned) == 0 {
		return
	}
	p.addDecision(Decision{Kind: DecidedReturn, Job: j.Key.ID, Coordinator: j.Key.Coordinator, Task: len(returned), Reason: reason})
	if j.unfinished == 0 {
		p.removeJob(j)
		p.addResult(j, Completed, returned)
		return
	}
	p.effects.Returns = append(p.effects.Returns, Result{Key: j.Key, Returned: returned, History: maps.Clone(j.history), Begun: j.begun})
}

// returnUnblocked returns the tasks that were blocked when their job was offered, and would
// otherwise have been returned then: all tasks of a pool that drains, and those of jobs
// that may not queue.
func (p *Pool) returnUnblocked() {
	for _, j := range slices.Clone(p.queue) {
		switch {
		case p.draining:
			p.returnAllWaiting(j, "draining")
		case !j.MayQueue:
			p.returnUnstarted(j, "no room")
		}
	}
}

// returnClosed returns the waiting tasks of jobs for which the pool is closed.
func (p *Pool) returnClosed() {
	for _, j := range slices.Clone(p.queue) {
		if p.closedFor(j) {
			p.returnAllWaiting(j, "nothing may start here")
		}
	}
}
