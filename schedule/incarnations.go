package schedule

import (
	"slices"
	"strings"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// An upstream may restart under the same ID. The new incarnation keeps no state of the
// former one: its clock, the sequence numbers of ends and the highest fencing token that it
// has seen start afresh. A restart is noticed from the upstream's entry in the store or from
// an answer, whichever comes first, and the state of the former incarnation is then dropped.
// Later answers of the former incarnation are ignored.

// currentUpstream returns the upstream whose incarnation answered a call, or nil if that
// incarnation has ended. The incarnation is the one that was called, or a newer one whose
// start time the answer reports, possibly before its entry is in the store. reportedStart is
// 0 if the answer does not come from the process itself.
func (p *Pool) currentUpstream(called fleet.UpstreamIncarnation, reportedStart int64) *upstream {
	u := p.upstreams[called.ID]
	if u == nil {
		return nil
	}
	startedUnixMs := max(called.StartedUnixMs, reportedStart)
	switch {
	case startedUnixMs < u.StartedUnixMs:
		return nil
	case startedUnixMs > u.StartedUnixMs:
		next := u.Upstream
		next.StartedUnixMs, next.Draining = startedUnixMs, false
		return p.replaceRestarted(u, next)
	default:
		return u
	}
}

// hasRecentReport reports whether the last report of an upstream is so recent that the
// upstream cannot have restarted since: a restart takes at least a second, and a lease is
// shorter. It is always true for an upstream that does not restart under the same ID.
func (p *Pool) hasRecentReport(u *upstream) bool {
	return u.StartedUnixMs == 0 || p.now.Sub(u.clockReadAt) <= p.cfg.Lease
}

// replaceRestarted replaces an upstream by its next incarnation, the successor. The runs of
// the former incarnation are over, except that a run that may have started in the successor,
// or may still start there, is first stopped there.
func (p *Pool) replaceRestarted(u *upstream, next fleet.Upstream) *upstream {
	p.addDecision(Decision{Kind: DecidedGone, Upstream: u.ID, Task: len(u.runs), Reason: "it has started again"})
	runs := sortedRuns(u)
	suspects := p.recordCrash(u, runs)
	p.removeUpstream(u)
	successor := p.insertUpstream(next)
	successor.listed, successor.unlistedAt = u.listed, u.unlistedAt
	for _, r := range runs {
		if r.mayRunInSuccessor() {
			p.moveToSuccessor(r, successor)
			continue
		}
		p.untrackRun(r)
		p.requeue(r, "its upstream has started again")
	}
	p.endCrashingJobs(suspects)
	for _, id := range u.unresolvedStarts {
		p.effects.Stops = append(p.effects.Stops, Stop{Upstream: successor.Upstream, Run: id})
	}
	return successor
}

// mayRunInSuccessor reports whether a run may be executing in the next incarnation of its
// upstream, or may still start there. That is so if no report of this incarnation has listed
// the run: the order may still be in transit, or the next incarnation may have answered it.
// A stop that this incarnation has acknowledged does not bind the next one.
func (r *run) mayRunInSuccessor() bool { return !r.foreign && !r.reported }

// moveToSuccessor tracks a run on the next incarnation of its upstream and stops it there.
func (p *Pool) moveToSuccessor(r *run, successor *upstream) {
	delete(r.upstream.runs, r.id)
	successor.runs[r.id] = r
	successor.used = successor.used.Plus(r.demand)
	r.upstream, r.state = successor, starting
	p.stopRun(r, "its upstream has started again, and may run it")
}

// maxUnresolvedStarts is how many runs are remembered per upstream of which it is not known
// whether they started. It is enough for the runs that are lost when an upstream fails once.
const maxUnresolvedStarts = 64

// addUnresolvedStart remembers a run that is no longer tracked, because its lease has lapsed
// or its stop was acknowledged, while its start may still be in transit. The next incarnation
// of the upstream might carry out the start, because it has another clock and has not
// received the stop.
func (u *upstream) addUnresolvedStart(r *run) {
	if !r.mayRunInSuccessor() {
		return
	}
	u.unresolvedStarts = append(u.unresolvedStarts, r.id)
	if len(u.unresolvedStarts) > maxUnresolvedStarts {
		u.unresolvedStarts = u.unresolvedStarts[1:]
	}
}

// insertUpstream starts tracking an upstream.
func (p *Pool) insertUpstream(entry fleet.Upstream) *upstream {
	u := &upstream{Upstream: entry, listed: true, runs: map[fleet.Run]*run{}}
	p.upstreams[u.ID] = u
	p.sortedUpstreams = append(p.sortedUpstreams, u)
	slices.SortFunc(p.sortedUpstreams, func(a, b *upstream) int { return strings.Compare(a.ID, b.ID) })
	return u
}
