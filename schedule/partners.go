package schedule

// When capacity of an upstream becomes free, several waiting tasks may fit there. If the first of
// the queue took it whatever its size, more capacity would be left in pieces that no task fits.

const (
	// maxPartners is the number of jobs behind a job that are compared with it.
	maxPartners = 50
	// overtakingDuration is the largest expected duration of a task that may start before a task
	// of a job ahead of it, relative to the duration of that task. With longer tasks in front, the
	// short ones, whose objectives are the shortest, would be rejected.
	overtakingDuration = 1.5
)

// fit is a task that could start on an upstream now.
type fit struct {
	job  *job
	task *task
	on   *upstream // nil if the task fits on none
	left int64     // CPU capacity that it would leave free there, in thousandths of a core
}

// placeByFit starts tasks in the order of the queue, except that a task may overtake another one
// if it leaves less capacity free.
func (b *placement) placeByFit() {
	queue := b.pool.queue
	for i, j := range queue {
		for b.mayStart(j) && b.canStartNow(j) && b.startBest(j, queue[i+1:]) {
		}
	}
}

// startBest starts a task of the job first or of a job behind it, whichever leaves the least CPU
// capacity free. It returns false if first has no task that fits.
func (b *placement) startBest(first *job, behind []*job) bool {
	best := b.fitOf(first)
	if best.on == nil {
		return false
	}
	compared := 0
	for _, j := range behind {
		if compared == maxPartners || b.isUrgent(first) {
			break
		}
		if !b.mayStart(j) || !mayOvertake(j, first) {
			continue
		}
		compared++
		if f := b.fitOf(j); f.on != nil && f.left < best.left && b.canStartNow(j) {
			best = f
		}
	}
	b.start(best)
	return true
}

// start starts a task. Of a job that has not begun, it starts all tasks that fit, because they are
// to start together.
func (b *placement) start(f fit) {
	if f.job.hasBegun() {
		b.pool.startTask(f.job, f.task, f.on)
	} else {
		b.pool.placeJob(f.job)
	}
	b.record(true)
}

// isUrgent reports whether the latest start of a job has passed. It is not overtaken any more.
func (b *placement) isUrgent(j *job) bool { return j.latestStart().Before(b.pool.now) }

// mayOvertake reports whether tasks of a job may start before those of a job ahead of it.
func mayOvertake(j, ahead *job) bool {
	return j.hasBegun() == ahead.hasBegun() && float64(j.expectedTaskDuration) <= overtakingDuration*float64(ahead.expectedTaskDuration)
}

// fitOf returns the fit of the first waiting task of a job.
func (b *placement) fitOf(j *job) fit {
	t := j.firstWaiting()
	if t == nil {
		return fit{}
	}
	u := b.pool.chooseFor(j, t)
	if u == nil {
		return fit{}
	}
	return fit{j, t, u, u.Capacity.MilliCPU - u.used.MilliCPU - j.Demand.MilliCPU}
}

// firstWaiting returns the first waiting task of a job, or nil if it has none.
func (j *job) firstWaiting() *task {
	for _, t := range j.taskList {
		if t.state == waiting {
			return t
		}
	}
	return nil
}
