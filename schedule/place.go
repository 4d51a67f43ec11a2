package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// backfillDepth bounds how many jobs of which nothing began are weighed by the
// forecast in one go, and so the cost of an input: a forecast looks at each run.
const backfillDepth = 16

// place starts what waits, as far as there is room. Where there is none, it looks
// at each upstream and at each job once.
func (p *Pool) place() {
	if p.draining || len(p.queue) == 0 {
		return
	}
	p.refreshRenewalCheck()
	room := p.mostRoom()
	if room <= 0 {
		return
	}
	p.sortQueue()
	weighed, started := 0, false
	for _, j := range p.queue {
		if j.Demand.MilliCPU > room {
			continue
		}
		if !p.mayStart(j) || !p.startsNow(j, &weighed) {
			continue
		}
		if p.placeJob(j) {
			started = true
			room = p.mostRoom()
		}
	}
	if started {
		p.queue = slices.DeleteFunc(p.queue, func(j *job) bool { return !j.hasWaiting() })
	}
}

// mostRoom is the most that is free on one upstream, thousandths of a core.
func (p *Pool) mostRoom() int64 {
	most := int64(0)
	for _, u := range p.sortedUpstreams {
		if left := u.Capacity.MilliCPU - u.used.MilliCPU; left > most && p.usable(u, p.now) {
			most = left
		}
	}
	return most
}

func (j *job) hasWaiting() bool {
	return slices.ContainsFunc(j.taskList, func(t *task) bool { return t.state == waiting })
}

// longestTask is how much longer the longest task of a job takes than expected
// of one: the tasks of a job differ by some 15%.
const longestTask = 1.1

// lateFactor is how many times its objective a job may take and still be of
// some use.
const lateFactor = 3

// allowed is how long the job may take from its first sending.
func (j *job) allowed() time.Duration {
	return time.Duration(j.Stretch*longestTask*float64(j.expectedTaskDuration)) + j.Slack
}

func (j *job) sent() time.Time { return j.offeredAt.Add(-j.Age) }

// latestStart is when a task has to start for its job to be in time.
func (j *job) latestStart() time.Time { return j.sent().Add(j.allowed() - j.expectedTaskDuration) }

// expiry is when the job is given up if tasks of it still wait for room.
func (j *job) expiry() time.Time {
	useful := j.sent().Add(lateFactor * j.allowed())
	if waits := j.offeredAt.Add(j.Timeout); waits.Before(useful) {
		return waits
	}
	return useful
}

// sortQueue puts first what has begun, so that its work is not lost for the rest
// of it. Then comes what must start soonest to be in time. Priorities only break
// ties: urgent jobs have the shortest objectives and go first by those, and strict
// priority would starve the kinds with the most work.
func (p *Pool) sortQueue() {
	y := p.cfg.Policy
	slices.SortStableFunc(p.queue, func(a, b *job) int {
		switch {
		case y.BegunFirst && a.hasBegun() != b.hasBegun() && a.hasBegun():
			return -1
		case y.BegunFirst && a.hasBegun() != b.hasBegun():
			return 1
		case !y.EarliestFirst:
			return a.offeredAt.Compare(b.offeredAt)
		default:
			return cmp.Or(a.latestStart().Compare(b.latestStart()), cmp.Compare(a.Priority, b.Priority))
		}
	})
}

// hasBegun reports whether a task of the job began, here or elsewhere, or may have.
func (j *job) hasBegun() bool { return j.begun || j.Begun || j.blockedTasks > 0 }

// placeJob starts the tasks of a job that find room, and reports whether there
// are any.
func (p *Pool) placeJob(j *job) bool {
	started := false
	for _, t := range j.taskList {
		if t.state != waiting {
			continue
		}
		u := p.chooseFor(j, t)
		if u == nil {
			return started
		}
		p.start(j, t, u)
		started = true
	}
	return started
}

// startsNow reports whether tasks of a job may start now: something of it began
// already, or all of it is expected to start early enough. What it cannot use yet
// is left to the jobs behind it. It keeps work from starting that comes to nothing.
// Weighed counts the forecasts that were made.
func (p *Pool) startsNow(j *job, weighed *int) bool {
	if j.hasBegun() {
		return true
	}
	if !p.arrivesInTime(j) {
		return false
	}
	if !p.cfg.Policy.WholeJobs {
		return true
	}
	tasks := j.countWaiting()
	free := p.roomFor(j, tasks)
	switch {
	case free == 0:
		return false
	case free >= tasks:
		return true
	case j.AllOrNothing, *weighed >= backfillDepth:
		return false
	}
	*weighed++
	f := p.newForecast(j.Service)
	f.reserveBegun(p.queue, j)
	f.addFree(free)
	start, found := f.reserve(tasks, j.expectedTaskDuration)
	limit := j.latestStart()
	if limit.Before(p.now) {
		limit = j.expiry().Add(-j.expectedTaskDuration)
	}
	return !found || !start.After(limit)
}

// roomFor counts the tasks of a job that fit now, up to most.
func (p *Pool) roomFor(j *job, most int) int {
	n, slow, fast := 0, 0, false
	for _, u := range p.sortedUpstreams {
		if u.Service != j.Service || !p.usable(u, p.now) {
			continue
		}
		fits := p.fits(j, u, most)
		slowness := p.slowdownFactorFor(j, u)
		if slowness > 1 && !p.inTime(j, slowness) {
			slow += fits
			continue
		}
		fast = fast || slowness == 1 && j.Demand.Within(u.Capacity)
		n += fits
	}
	if !fast {
		n += slow
	}
	return min(n, most)
}

// fits counts the tasks of a job that an upstream has room for, up to most.
func (p *Pool) fits(j *job, u *upstream, most int) int {
	left := u.Capacity.Minus(u.used)
	n := 0
	for n < most && j.Demand.Within(left) {
		left = left.Minus(j.Demand)
		n++
	}
	if u.health.ejected && p.cfg.Policy.SingleTrial {
		n = min(n, 1)
	}
	return limitPerUpstream(j, u, n)
}

// hasOther reports whether any upstream but one could run a task of j.
func (p *Pool) hasOther(j *job, but string) bool {
	return slices.ContainsFunc(p.sortedUpstreams, func(u *upstream) bool {
		return u.ID != but && u.Service == j.Service && j.Demand.Within(u.Capacity) && p.usable(u, p.now)
	})
}

// chooseFor returns the upstream for a task, or nil.
func (p *Pool) chooseFor(j *job, t *task) *upstream {
	if p.isSuspect(p.taskRef(j, t)) {
		return p.chooseForSuspect(j)
	}
	return p.choose(j)
}

// choose returns the upstream with the least room left over for a task, or nil.
// One that is slow is taken only where no other has room and the job can still be
// in time there, or where all are slow.
func (p *Pool) choose(j *job) *upstream { return p.chooseBut(j, "") }

// chooseBut is choose among all upstreams but one.
func (p *Pool) chooseBut(j *job, but string) *upstream {
	var best, slow *upstream
	var least int64
	leastSlow, fast := 0.0, false
	for _, u := range p.sortedUpstreams {
		if u.Service != j.Service || !p.usable(u, p.now) || u.ID == but {
			continue
		}
		slowness := p.slowdownFactorFor(j, u)
		fast = fast || slowness == 1 && j.Demand.Within(u.Capacity)
		left := u.Capacity.Minus(u.used)
		if !j.Demand.Within(left) || limitPerUpstream(j, u, 1) == 0 {
			continue
		}
		rest := left.MilliCPU - j.Demand.MilliCPU
		switch {
		case slowness > 1 && (slow == nil || slowness < leastSlow):
			slow, leastSlow = u, slowness
		case slowness > 1:
		case best == nil || rest < least:
			best, least = u, rest
		}
	}
	if best == nil && slow != nil && (!fast || p.inTime(j, leastSlow)) {
		return slow
	}
	return best
}

// inTime reports whether a job would be in time if a task of it started now on
// an upstream that takes that many times longer.
func (p *Pool) inTime(j *job, slowness float64) bool {
	ends := p.now.Add(time.Duration(slowness * longestTask * float64(j.expectedTaskDuration)))
	return ends.Before(j.sent().Add(j.allowed()))
}

// usable reports whether an upstream may get a task now.
func (p *Pool) usable(u *upstream, now time.Time) bool {
	switch {
	case !u.accepted, u.silent, u.foreignRuns > 0, !p.acceptsStarts(u), u.renewalBlocked, !p.isHeardRecently(u):
		return false
	case u.health.ejected:
		return now.After(u.health.ejectedUntil) && (len(u.runs) == 0 || !p.cfg.Policy.SingleTrial)
	default:
		return true
	}
}

func (p *Pool) start(j *job, t *task, u *upstream) {
	t.lastRun++
	p.setTaskState(j, t, placed)
	j.begun = true
	carried := p.link.enqueue(p.now, orderBytes(j))
	leaves := p.now.Add(carried)
	r := &run{
		id: fleet.Run{Task: p.taskRef(j, t), Number: t.lastRun}, job: j, upstream: u, demand: j.Demand,
		state: starting, orderedAt: leaves, percentRoseAt: leaves, percentAt: leaves, remoteFactor: p.remoteFactor(j, u),
	}
	r.expectedDuration = r.fromLocal(j.expectedTaskDuration)
	p.add(r)
	p.effects.Starts = append(p.effects.Starts, Start{
		Upstream:  u.Upstream,
		Order:     fleet.StartOrder{Run: r.id, Spec: j.Spec, LeaseUntilMs: p.grant(u), Token: p.token},
		LinkDelay: carried,
		SendBy:    p.now.Add(p.cfg.Lease),
	})
	p.addDecision(Decision{
		Kind: DecidedStart, Job: j.Key.ID, Coordinator: j.Key.Coordinator, Task: t.index, Run: t.lastRun, Upstream: u.ID,
		FreeMilliCPU: u.Capacity.Minus(u.used).MilliCPU, Age: p.now.Sub(j.offeredAt),
	})
}

func (p *Pool) add(r *run) {
	r.upstream.runs[r.id] = r
	p.runByTask[r.id.Task] = r
	r.upstream.used = r.upstream.used.Plus(r.demand)
	if r.foreign {
		r.upstream.foreignRuns++
		p.blockTasks(r.id.Task)
	}
}

// remove takes a run out of the books: it is certain that it is not at work
// and cannot begin any more.
func (p *Pool) remove(r *run) {
	if r.upstream.runs[r.id] != r {
		return
	}
	delete(r.upstream.runs, r.id)
	if p.runByTask[r.id.Task] == r {
		delete(p.runByTask, r.id.Task)
		p.unblockTasks(r.id.Task)
	}
	r.upstream.used = r.upstream.used.Minus(r.demand)
	if r.foreign {
		r.upstream.foreignRuns--
	}
}

// clock estimates what an upstream's clock shows.
func (u *upstream) clock(now time.Time) int64 {
	return u.clockMs + now.Sub(u.clockReadAt).Milliseconds()
}

// grant returns the end of a lease from now, on the upstream's clock.
func (p *Pool) grant(u *upstream) int64 {
	until := u.clock(p.now) + p.cfg.Lease.Milliseconds()
	u.maxLeaseUntilMs = max(u.maxLeaseUntilMs, until)
	return until
}

// lapsed returns when every lease that was granted is certainly over.
func (u *upstream) lapsed() time.Time {
	left := time.Duration(float64(u.maxLeaseUntilMs-u.clockMs)/minClockRate) * time.Millisecond
	return u.clockReadAt.Add(max(left, 0) + leaseLapseMargin)
}

// again puts a task back into the queue after a run of it is over.
func (p *Pool) again(r *run, reason string) {
	j := r.job
	if j == nil {
		return
	}
	t := j.tasks[r.id.Task.Index]
	if t.state != placed {
		return
	}
	if p.runByTask[p.taskRef(j, t)] != nil {
		p.setTaskState(j, t, blocked) // a run of a former owner was found meanwhile
	} else {
		p.setTaskState(j, t, waiting)
		p.enqueue(j)
	}
	p.addDecision(Decision{
		Kind: DecidedRetry, Job: j.Key.ID, Task: t.index, Run: t.lastRun, Upstream: r.upstream.ID, Reason: reason,
		Age: p.now.Sub(j.offeredAt),
	})
}

// stop orders the end of a run, unless that is done already.
func (p *Pool) stop(r *run, reason string) {
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
