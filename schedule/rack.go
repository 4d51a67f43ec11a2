package schedule

import (
	"math"
	"time"
)

// A job may name the rack that holds the data of its tasks; on upstreams in other racks the
// tasks take longer. It may also limit how many of its tasks run on the same upstream.

// remoteFactor returns how many times longer a task of a job takes on an upstream because
// its data is in another rack. It returns 1 if the data is in the same rack.
func (p *Pool) remoteFactor(j *job, u *upstream) float64 {
	if j.Rack == "" || u.Rack == j.Rack {
		return 1
	}
	return max(p.cfg.RemoteFactor, 1)
}

// slowdownFactorFor returns how many times longer a task of a job takes on an upstream than in the
// rack of its data on the same upstream without passing slowness.
func (p *Pool) slowdownFactorFor(j *job, u *upstream) float64 {
	return p.slowdownFactor(u) * p.remoteFactor(j, u)
}

// durationHere converts the nominal duration of a task, which it takes in the rack of its data on
// an upstream with lasting factor 1, to the one that it takes on the upstream of the run.
func (r *run) durationHere(nominal time.Duration) time.Duration {
	return scaled(nominal, r.durationFactor())
}

// durationOn returns how long a task of a job is expected to take on an upstream in normal times.
func (p *Pool) durationOn(j *job, u *upstream) time.Duration {
	return scaled(j.expectedTaskDuration, p.remoteFactor(j, u)*u.speed.factor())
}

// nominalDuration is the inverse of durationHere.
func (r *run) nominalDuration(took time.Duration) time.Duration {
	return time.Duration(float64(took) / r.durationFactor())
}

// durationFactor returns how many times longer than its nominal duration the task takes on the
// upstream of the run.
func (r *run) durationFactor() float64 {
	if r.speedLog == 0 {
		return max(r.remoteFactor, 1)
	}
	if r.expOfSpeedLog == 0 {
		r.expOfSpeedLog = math.Exp(r.speedLog)
	}
	return max(r.remoteFactor, 1) * r.expOfSpeedLog
}

// remainingPerUpstream returns how many more tasks of a job may start on an upstream without
// exceeding the job's MaxPerUpstream, but at most limit. Runs that are being stopped and runs
// of other submissions of the job count as running.
func remainingPerUpstream(j *job, u *upstream, limit int) int {
	if j.MaxPerUpstream == 0 {
		return limit
	}
	running := 0
	for _, r := range sortedRuns(u) {
		if r.id.Task.Job == j.Key.ID {
			running++
		}
	}
	return min(max(j.MaxPerUpstream-running, 0), limit)
}
