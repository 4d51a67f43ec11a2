package schedule

import (
	"maps"
	"slices"
)

// Waiting tasks are returned to their coordinator in two cases: there is no capacity for
// them and they may not queue, or the pool will not start them at all.

// returnUnstarted returns to the coordinator those waiting tasks of a job that have never
// started.
func (p *Pool) returnUnstarted(j *job, reason string) {
	p.account.refusedAt = p.now
	p.returnTasks(j, reason, func(t *task) bool { return t.lastRun == 0 })
}

// returnAllWaiting returns all waiting tasks of a job to the coordinator, including those
// with earlier runs. Since this pool will not start them, the job can only be completed by
// another pool.
func (p *Pool) returnAllWaiting(j *job, reason string) {
	p.returnTasks(j, reason, func(*task) bool { return true })
}

// returnTasks returns the eligible waiting tasks of a job to the coordinator. If that leaves
// no unfinished task in the offer, the offer ends as completed.
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

// returnUnblocked returns waiting tasks that would have been returned when their job was
// offered, had they not been blocked then: in a draining pool all waiting tasks, and
// otherwise the tasks without runs of jobs that may not queue.
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

// returnClosed returns the waiting tasks of jobs for which the pool is closed, see closedFor.
func (p *Pool) returnClosed() {
	for _, j := range slices.Clone(p.queue) {
		if p.closedFor(j) {
			p.returnAllWaiting(j, "nothing may start here")
		}
	}
}
