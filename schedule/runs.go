package schedule

import (
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// startTask orders an upstream to start a run of a task.
func (p *Pool) startTask(j *job, t *task, u *upstream) {
	t.lastRun++
	p.setTaskState(j, t, placed)
	j.begun = true
	linkDelay := p.link.enqueue(p.now, orderBytes(j))
	sentAt := p.now.Add(linkDelay)
	r := &run{
		id: fleet.Run{Task: p.taskRef(j, t), Number: t.lastRun}, job: j, upstream: u, demand: j.Demand,
		state: starting, orderedAt: sentAt, percentRoseAt: sentAt, percentAt: sentAt, remoteFactor: p.remoteFactor(j, u),
		speedLog: u.speed.log,
	}
	r.expectedDuration = r.durationHere(j.expectedTaskDuration)
	p.trackRun(r)
	p.effects.Starts = append(p.effects.Starts, Start{
		Upstream:  u.Upstream,
		Order:     fleet.StartOrder{Run: r.id, Spec: j.Spec, LeaseUntilMs: p.grantLease(u), Token: p.token},
		LinkDelay: linkDelay,
		SendBy:    p.now.Add(p.cfg.Lease),
	})
	p.addDecision(Decision{
		Kind: DecidedStart, Job: j.Key.ID, Coordinator: j.Key.Coordinator, Task: t.index, Run: t.lastRun, Upstream: u.ID,
		FreeMilliCPU: u.Capacity.Minus(u.used).MilliCPU, Age: p.now.Sub(j.offeredAt),
	})
}

// trackRun adds a run to those of its upstream. If a former owner ordered the run, its task is
// blocked until that run is over.
func (p *Pool) trackRun(r *run) {
	r.upstream.addRun(r)
	p.runsByTask.add(r)
	p.runDemands.add(r, 1)
	r.upstream.used = r.upstream.used.Plus(r.demand)
	if r.fromFormerOwner {
		r.upstream.formerOwnerRuns++
		p.blockTasks(r.id.Task)
	}
}

// taskRuns holds the runs that a pool tracks, by task. A pool orders one run of a task at a time,
// but upstreams may report others: runs that a former owner ordered, or that the pool had given up
// and that a late report or a new incarnation of the upstream still lists.
//   - While any run of a task is tracked, no other starts, and the task is not returned.
//   - All runs of a task are stopped once nobody wants it.
type taskRuns map[fleet.TaskRef][]*run

func (m taskRuns) add(r *run) { m[r.id.Task] = append(m[r.id.Task], r) }

// remove removes a run and reports whether it was the last one of its task.
func (m taskRuns) remove(r *run) (last bool) {
	left := slices.DeleteFunc(m[r.id.Task], func(o *run) bool { return o == r })
	if len(left) == 0 {
		delete(m, r.id.Task)
		return true
	}
	m[r.id.Task] = left
	return false
}

func (u *upstream) addRun(r *run) {
	u.runs[r.id] = r
	u.sorted = nil
}

func (u *upstream) removeRun(r *run) {
	delete(u.runs, r.id)
	u.sorted = nil
}

// untrackRun removes a run that is certainly not executing and cannot start any more. A task
// that it blocked waits for an upstream again, unless another run of the task is tracked.
func (p *Pool) untrackRun(r *run) {
	if r.upstream.runs[r.id] != r {
		return
	}
	p.placementDue = true
	r.upstream.removeRun(r)
	p.runDemands.add(r, -1)
	if p.runsByTask.remove(r) {
		p.unblockTasks(r.id.Task)
	}
	r.upstream.used = r.upstream.used.Minus(r.demand)
	if r.fromFormerOwner {
		r.upstream.formerOwnerRuns--
	}
}

// clockMsAt returns the estimated reading of an upstream's clock at the time now.
func (u *upstream) clockMsAt(now time.Time) int64 {
	return u.clockMs + now.Sub(u.clockReadAt).Milliseconds()
}

// grantLease records that an upstream is granted a lease that starts now, and returns the end
// of that lease on the upstream's clock.
func (p *Pool) grantLease(u *upstream) int64 {
	until := u.clockMsAt(p.now) + p.cfg.Lease.Milliseconds()
	u.maxLeaseUntilMs = max(u.maxLeaseUntilMs, until)
	return until
}

// assumeFormerLease records that the former owner may have renewed the leases of an upstream until
// the upstream accepted this pool.
func (p *Pool) assumeFormerLease(u *upstream) {
	longest := int64(float64(p.cfg.Lease.Milliseconds()) / maxLeaseShare)
	u.maxLeaseUntilMs = max(u.maxLeaseUntilMs, u.clockMsAt(p.now)+longest)
}

// leasesLapseAt returns the time at which all leases granted to an upstream have certainly
// lapsed, even if its clock runs as slowly as minClockRate allows.
func (u *upstream) leasesLapseAt() time.Time {
	left := time.Duration(float64(u.maxLeaseUntilMs-u.clockMs)/minClockRate) * time.Millisecond
	return u.clockReadAt.Add(max(left, 0) + leaseLapseMargin)
}

// requeue puts the task of a run back into the queue after the run ended without success or
// turned out never to have started.
func (p *Pool) requeue(r *run, reason string) {
	j := r.job
	if j == nil {
		return
	}
	t := j.tasks[r.id.Task.Index]
	if t.state != placed {
		return
	}
	if len(p.runsByTask[p.taskRef(j, t)]) > 0 {
		p.setTaskState(j, t, blocked) // a run that a former owner ordered has been reported meanwhile
	} else {
		p.setTaskState(j, t, waiting)
		p.enqueue(j)
	}
	p.addDecision(Decision{
		Kind: DecidedRetry, Job: j.Key.ID, Task: t.index, Run: t.lastRun, Upstream: r.upstream.ID, Reason: reason,
		Age: p.now.Sub(j.offeredAt),
	})
}

// stopRun orders the upstream of a run to stop it, unless a stop was ordered before.
func (p *Pool) stopRun(r *run, reason string) {
	if r.state == stopping || r.state == stopped {
		return
	}
	r.state = stopping
	p.sendStop(r)
	p.addDecision(Decision{
		Kind: DecidedStop, Job: r.id.Task.Job, Task: r.id.Task.Index, Run: r.id.Number, Upstream: r.upstream.ID,
		Reason: reason, Age: p.now.Sub(r.orderedAt),
	})
}

func (p *Pool) sendStop(r *run) {
	r.stopSentAt = p.now
	p.effects.Stops = append(p.effects.Stops, Stop{Upstream: r.upstream.Upstream, Run: r.id})
}
