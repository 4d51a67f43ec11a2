package schedule

import (
	"maps"
	"slices"
)

// What waits in a pool goes back to its coordinator where it finds no room, or nothing
// may start any more.

// returnWaiting gives the tasks that wait and never began back to the coordinator.
func (p *Pool) returnWaiting(j *job, reason string) {
	p.returnTasks(j, reason, func(t *task) bool { return t.lastRun == 0 })
}

// returnAll gives all tasks that wait back to the coordinator, also those whose runs
// came to nothing: the job is completed elsewhere, and not given up because its
// first upstreams may start nothing more.
func (p *Pool) returnAll(j *job, reason string) {
	p.returnTasks(j, reason, func(*task) bool { return true })
}

// returnTasks gives those of the tasks that wait back to the coordinator that it may.
func (p *Pool) returnTasks(j *job, reason string, may func(*task) bool) {
	var returned []int
	for _, t := range j.taskList {
		if t.state != waiting || !may(t) {
			continue
		}
		p.setState(j, t, ended)
		j.unfinished--
		returned = append(returned, t.index)
		if past, ran := t.history(); ran {
			past.Crashes = p.crashes.of(p.ref(j, t))
			j.history[t.index] = past
		}
	}
	if len(returned) == 0 {
		return
	}
	p.decide(Decision{Kind: DecidedReturn, Job: j.Key.ID, Coordinator: j.Key.Coordinator, Task: len(returned), Reason: reason})
	if j.unfinished == 0 {
		p.forget(j)
		p.result(j, Completed, returned)
		return
	}
	p.out.Returns = append(p.out.Returns, Result{Key: j.Key, Returned: returned, History: maps.Clone(j.history), Begun: j.begun})
}

// returnUnplaced gives back what was blocked when its job was offered, and would have
// been given back then: all of a pool that drains, and what may not wait here.
func (p *Pool) returnUnplaced() {
	for _, j := range slices.Clone(p.queue) {
		switch {
		case p.draining:
			p.returnAll(j, "draining")
		case !j.MayQueue:
			p.returnWaiting(j, "no room")
		}
	}
}

// returnClosed gives back what waits for upstreams that may start nothing more.
func (p *Pool) returnClosed() {
	for _, j := range slices.Clone(p.queue) {
		if p.closedTo(j) {
			p.returnAll(j, "nothing may start here")
		}
	}
}
