package schedule

import "slices"

// A pool is closed to a job once none of its upstreams may start anything of it any
// more: they are leaving, their availability zone is evacuated, they are gone. Tasks
// that wait there go back to the coordinator at once and find room elsewhere.

// admits reports whether anything new may start on an upstream, as far as it, the
// operators and the platform's list have a say.
func (p *Pool) admits(u *upstream) bool {
	gone := !u.listed && p.now.Sub(u.unlistedAt) > p.cfg.RemovalGrace
	return !u.Draining && !u.Closed && !gone
}

// closed reports whether nothing may start on any upstream.
func (p *Pool) closed() bool { return p.told && !slices.ContainsFunc(p.sorted, p.admits) }

// closedTo reports whether nothing of a job may start on any upstream. One that does
// not answer, or is doubted, may do so soon, and counts.
func (p *Pool) closedTo(j *job) bool {
	return p.told && !p.fitsAny(j, p.admits)
}

// fitsAny reports whether a task of a job fits, when it is empty and its room is as large as
// it has been, on any upstream of its service for which may holds.
func (p *Pool) fitsAny(j *job, may func(*upstream) bool) bool {
	return slices.ContainsFunc(p.sorted, func(u *upstream) bool {
		return u.Service == j.Service && j.Demand.Within(u.Capacity.Max(u.LargestCapacity)) && may(u)
	})
}

// fitsRoom reports whether a task of a job fits, when it is empty, on any upstream of its
// service that is known to take something, with the room that it has now. Rooms shrink and
// grow: a job that fits none may do so later, but nobody knows when.
func (p *Pool) fitsRoom(j *job) bool {
	shrunk := false
	for _, u := range p.sorted {
		if u.Service != j.Service || !p.admits(u) {
			continue
		}
		if j.Demand.Within(u.Capacity) {
			return true
		}
		shrunk = shrunk || j.Demand.Within(u.LargestCapacity)
	}
	return !shrunk
}
