package schedule

import "slices"

// A pool is closed for a job if no upstream that is large enough for the job's tasks accepts
// new tasks. The waiting tasks of the job are then returned at once to the coordinator, which
// offers them to other pools. An upstream accepts no new tasks while it is draining, while its
// availability zone is evacuated or its entry in the store is invalid, and after its entry
// has been removed.

// acceptsStarts reports whether an upstream accepts new tasks: it is not draining, it is
// not closed (see fleet.Upstream), and its entry in the store has not been missing for
// longer than RemovalGrace. Whether it is silent, ejected or full does not matter here.
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
// its service if that upstream were empty and had its largest capacity so far. It may fit
// on any upstream whose capacity is not known yet.
func (p *Pool) fitsAnyUpstream(j *job, eligible func(*upstream) bool) bool {
	return slices.ContainsFunc(p.sortedUpstreams, func(u *upstream) bool {
		fits := u.entryPending || j.Demand.Within(u.Capacity.Max(u.LargestCapacity))
		return u.Service == j.Service && fits && eligible(u)
	})
}

// fitsCurrentCapacity returns false if a task of a job is too large for every upstream at
// its current capacity, but would fit if the capacity of one had not shrunk, or may fit on one
// whose capacity is not known yet. It is not known when that capacity grows again or becomes
// known. Only upstreams of the job's service that accept new tasks count.
func (p *Pool) fitsCurrentCapacity(j *job) bool {
	mayFitLater := false
	for _, u := range p.sortedUpstreams {
		if u.Service != j.Service || !p.acceptsStarts(u) {
			continue
		}
		if !u.entryPending && j.Demand.Within(u.Capacity) {
			return true
		}
		mayFitLater = mayFitLater || u.entryPending || j.Demand.Within(u.LargestCapacity)
	}
	return !mayFitLater
}
