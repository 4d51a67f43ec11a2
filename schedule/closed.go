package schedule

import "slices"

// A pool is closed for a job when none of its upstreams accepts tasks of the job any
// more, because they drain, their availability zone is evacuated, or their entries have
// been removed from the store. The waiting tasks then go back to the coordinator at once,
// which offers them to other pools.

// acceptsStarts reports whether an upstream accepts new tasks: it does not drain, is not
// closed by the operators, and its entry in the store has not been missing for too long.
// It ignores health and free capacity.
func (p *Pool) acceptsStarts(u *upstream) bool {
	removed := !u.listed && p.now.Sub(u.unlistedAt) > p.cfg.RemovalGrace
	return !u.Draining && !u.Closed && !removed
}

// closed reports whether no upstream accepts new tasks.
func (p *Pool) closed() bool {
	return p.upstreamsListed && !slices.ContainsFunc(p.sortedUpstreams, p.acceptsStarts)
}

// closedFor reports whether no upstream that is large enough for a task of a job accepts
// new tasks. Silent and ejected upstreams count as accepting, because they may recover
// soon.
func (p *Pool) closedFor(j *job) bool {
	return p.upstreamsListed && !p.fitsAnyUpstream(j, p.acceptsStarts)
}

// fitsAnyUpstream reports whether a task of a job would fit on any eligible upstream of
// its service if that upstream were empty and had its largest capacity so far.
func (p *Pool) fitsAnyUpstream(j *job, eligible func(*upstream) bool) bool {
	return slices.ContainsFunc(p.sortedUpstreams, func(u *upstream) bool {
		return u.Service == j.Service && j.Demand.Within(u.Capacity.Max(u.LargestCapacity)) && eligible(u)
	})
}

// fitsCurrentCapacity reports false if a task of a job fits on no empty upstream now but
// would fit if the capacity of one had not shrunk. Such a job may fit again, but it is
// not known when. Only upstreams of the job's service that accept new tasks count.
func (p *Pool) fitsCurrentCapacity(j *job) bool {
	shrunk := false
	for _, u := range p.sortedUpstreams {
		if u.Service != j.Service || !p.acceptsStarts(u) {
			continue
		}
		if j.Demand.Within(u.Capacity) {
			return true
		}
		shrunk = shrunk || j.Demand.Within(u.LargestCapacity)
	}
	return !shrunk
}
