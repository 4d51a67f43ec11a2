package schedule

import "time"

// A task may have its data in one rack, and takes longer in others; tasks of a step may have
// to be kept apart.

// remoteness is how many times longer a task of a job takes on an upstream, for its data.
func (p *Pool) remoteness(j *job, u *upstream) float64 {
	if j.Rack == "" || u.Rack == j.Rack {
		return 1
	}
	return max(p.cfg.RemoteFactor, 1)
}

// slownessFor is how many times longer a task of a job takes on an upstream than on one that
// is sound and near its data.
func (p *Pool) slownessFor(j *job, u *upstream) float64 { return p.slowness(u) * p.remoteness(j, u) }

// longer is a time on an upstream near the data, as it is on the upstream of a run.
func (r *run) longer(near time.Duration) time.Duration {
	return time.Duration(max(r.remoteFactor, 1) * float64(near))
}

// near is what a run took, as it would have been near its data.
func (r *run) near(took time.Duration) time.Duration {
	return time.Duration(float64(took) / max(r.remoteFactor, 1))
}

// placesApart returns how many more tasks of a job may be at work on an upstream, up to most,
// for their being kept apart. What is being stopped counts, and what was ordered for another
// sending of the job.
func placesApart(j *job, u *upstream, most int) int {
	if j.MaxPerUpstream == 0 {
		return most
	}
	at := 0
	for id := range u.runs {
		if id.Task.Job == j.Key.ID {
			at++
		}
	}
	return min(max(j.MaxPerUpstream-at, 0), most)
}
