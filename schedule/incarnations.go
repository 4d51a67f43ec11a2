package schedule

import (
	"slices"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"

	"github.com/samber/lo"
)

// An upstream may restart under the same ID. The new incarnation keeps no state of the
// former one: its clock starts afresh, and so do the sequence numbers of the ends that it
// reports and the highest fencing token that it has seen. The pool notices a restart from
// the upstream's entry in the store or from a response, whichever comes first. It then drops
// what it knew of the former incarnation and ignores later responses from it.

// currentUpstream returns the upstream that responded to a call. The response comes from the
// incarnation called or from a newer one, whose start time it contains as reportedStart (0 if
// it contains none). If the pool does not know of the newer one yet, currentUpstream replaces
// the upstream by it, possibly before the store has an entry of it: then nothing starts there
// until upsert has the entry. It returns nil if the incarnation that responded has been replaced
// or removed.
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
		next.StartedUnixMs, next.Draining, next.LeavesAt = startedUnixMs, false, time.Time{}
		next.Capacity, next.LargestCapacity = fleet.Resources{}, fleet.Resources{}
		successor := p.replaceRestarted(u, next)
		successor.entryPending = true
		return successor
	default:
		return u
	}
}

// hasRecentReport reports whether the last report of an upstream is so recent that the
// upstream cannot have restarted since. A restart takes at least a second, and the limit is
// the length of a lease, which is shorter. Upstreams without a start time do not restart under
// the same ID, so that for them it always returns true.
func (p *Pool) hasRecentReport(u *upstream) bool {
	return u.StartedUnixMs == 0 || p.now.Sub(u.aliveAt) <= p.cfg.Lease
}

// noteAlive updates when an upstream was last known to be alive, from a report requested at the
// time sent. A report may arrive long after the upstream gave it, but it was not given before its
// request, nor sooner after an earlier report than the clock of the upstream shows.
func (p *Pool) noteAlive(u *upstream, sent time.Time, clockMs int64) {
	if clockMs < u.aliveClockMs {
		return // given before a report that was handled earlier
	}
	alive := sent
	if !u.aliveAt.IsZero() {
		alive = lo.Latest(alive, u.aliveAt.Add(time.Duration(clockMs-u.aliveClockMs)*time.Millisecond))
	}
	u.aliveAt, u.aliveClockMs = lo.Earliest(alive, p.now), clockMs
}

// replaceRestarted replaces an upstream by its next incarnation, the successor. The runs in
// the former incarnation are over, and their tasks wait again. A run that may have started in
// the successor instead, or may still start there, is stopped there first.
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
// upstream, or may still start there. That is possible unless a report of this incarnation
// has listed the run: the order may still be in transit, or the next incarnation may have
// received it. It is possible even if this incarnation has acknowledged a stop, because the
// next one does not know of that stop.
func (r *run) mayRunInSuccessor() bool { return !r.fromFormerOwner && !r.reported }

// moveToSuccessor moves a run to the next incarnation of its upstream and stops it there.
func (p *Pool) moveToSuccessor(r *run, successor *upstream) {
	r.upstream.removeRun(r)
	successor.addRun(r)
	successor.used = successor.used.Plus(r.demand)
	r.upstream, r.state = successor, starting
	p.stopRun(r, "its upstream has started again, and may run it")
}

// maxUnresolvedStarts limits the unresolvedStarts of an upstream; beyond it the oldest are
// forgotten. It is enough for the runs that are lost when an upstream fails once.
const maxUnresolvedStarts = 64

// addUnresolvedStart remembers a run that the pool stops tracking because its lease has lapsed
// or its stop was acknowledged, if the order to start it may still be in transit. The next
// incarnation of the upstream might carry out that order: on its clock the lease may not have
// lapsed, and it has not received the stop. When the pool notices the next incarnation, it
// therefore stops the run there.
func (u *upstream) addUnresolvedStart(r *run) {
	if !r.mayRunInSuccessor() {
		return
	}
	u.unresolvedStarts = append(u.unresolvedStarts, r.id)
	if len(u.unresolvedStarts) > maxUnresolvedStarts {
		u.unresolvedStarts = u.unresolvedStarts[1:]
	}
}

// insertUpstream adds the upstream of an entry to the pool. It gets no work until its first
// report.
func (p *Pool) insertUpstream(entry fleet.Upstream) *upstream {
	u := &upstream{Upstream: entry, listed: true, runs: map[fleet.Run]*run{}}
	p.applyImportedSpeed(u)
	p.upstreams[u.ID] = u
	p.sortedUpstreams = append(p.sortedUpstreams, u)
	slices.SortFunc(p.sortedUpstreams, func(a, b *upstream) int { return strings.Compare(a.ID, b.ID) })
	return u
}
