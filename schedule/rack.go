package schedule

import "time"

// The data of a job's tasks may be in one rack; the tasks take longer on upstreams in other
// racks. The number of a job's tasks that run on the same upstream may be limited.

// remoteFactor returns how many times longer a task of a job takes on an upstream because
// its data is in another rack.
func (p *Pool) remoteFactor(j *job, u *upstream) float64 {
	if j.Rack == "" || u.Rack == j.Rack {
		return 1
	}
	return max(p.cfg.RemoteFactor, 1)
}

// slowdownFactorFor returns how many times longer a task of a job takes on an upstream than
// on one that is not slow and is in the rack of the data.
func (p *Pool) slowdownFactorFor(j *job, u *upstream) float64 {
	return p.slowdownFactor(u) * p.remoteFactor(j, u)
}

// remoteDuration converts a duration in the rack of the data to one on the upstream of the run.
func (r *run) remoteDuration(local time.Duration) time.Duration {
	return time.Duration(max(r.remoteFactor, 1) * float64(local))
}

// localDuration converts a duration on the upstream of the run to one in the rack of the data.
func (r *run) localDuration(took time.Duration) time.Duration {
	return time.Duration(float64(took) / max(r.remoteFactor, 1))
}

// remainingPerUpstream returns how many more tasks of a job may run on an upstream under the
// job's MaxPerUpstream, limited to most. Runs that are being stopped count, and so do those
// of other submissions of the job.
func remainingPerUpstream(j *job, u *upstream, most int) int {
	if j.MaxPerUpstream == 0 {
		return most
	}
	running := 0
	for id := range u.runs {
		if id.Task.Job == j.Key.ID {
			running++
		}
	}
	return min(max(j.MaxPerUpstream-running, 0), most)
}
