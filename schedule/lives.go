package schedule

import (
	"slices"
	"strings"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// An upstream may start again under the id that it had. The new life holds nothing of the
// former one: its clock, its count of ends and the fencing token that it has seen begin
// anew. Whichever tells of it first, its entry or an answer, what is known of the former
// life is dropped then. What the former life answers later is about that one alone.

// current returns the upstream whose life answered a call, nil where that life is over.
// An answer may tell of a new life before its entry does. Answers that come from no
// process say nothing of lives.
func (p *Pool) current(of fleet.UpstreamIncarnation, says int64) *upstream {
	u := p.upstreams[of.ID]
	if u == nil {
		return nil
	}
	born := max(of.StartedUnixMs, says)
	switch {
	case born < u.StartedUnixMs:
		return nil
	case born > u.StartedUnixMs:
		next := u.Upstream
		next.StartedUnixMs, next.Draining = born, false
		return p.restarted(u, next)
	default:
		return u
	}
}

// heardLately reports whether an upstream that may start again under its id has told of
// itself so lately that it cannot have done so since: that takes a second or more, and a
// lease is shorter.
func (p *Pool) heardLately(u *upstream) bool {
	return u.StartedUnixMs == 0 || p.now.Sub(u.clockReadAt) <= p.cfg.Lease
}

// restarted replaces an upstream by its next life. What ran in the former life is over. A
// run that may have begun in the next life, or may still begin there, is stopped first.
func (p *Pool) restarted(u *upstream, next fleet.Upstream) *upstream {
	p.addDecision(Decision{Kind: DecidedGone, Upstream: u.ID, Task: len(u.runs), Reason: "it has started again"})
	runs := sortedRuns(u)
	suspects := p.recordCrash(u, runs)
	p.drop(u)
	life := p.insert(next)
	life.listed, life.unlistedAt = u.listed, u.unlistedAt
	for _, r := range runs {
		if r.mayOutlive() {
			p.carryOver(r, life)
			continue
		}
		p.remove(r)
		p.again(r, "its upstream has started again")
	}
	p.endCrashingJobs(suspects)
	for _, id := range u.unresolvedStarts {
		p.effects.Stops = append(p.effects.Stops, Stop{Upstream: life.Upstream, Run: id})
	}
	return life
}

// mayOutlive reports whether a run may be at work in the next life of its upstream, or may
// begin there: no report of this life has shown it. The order may still be on its way, or
// the answer to it may be of the next life. A stop that was answered binds no other life.
func (r *run) mayOutlive() bool { return !r.foreign && !r.reported }

// carryOver puts a run into the books of the upstream's next life, where it is being
// stopped.
func (p *Pool) carryOver(r *run, to *upstream) {
	delete(r.upstream.runs, r.id)
	to.runs[r.id] = r
	to.used = to.used.Plus(r.demand)
	r.upstream, r.state = to, starting
	p.stop(r, "its upstream has started again, and may run it")
}

// mostUnresolved bounds how many runs are remembered of which an upstream has not told
// whether they began: those of one loss.
const mostUnresolved = 64

// leaveUnresolved notes a run that is taken out of the books, because its lease is over or
// a stop was answered, while its start may still be on its way. The next life of the
// upstream has another clock and knows of no stop.
func (u *upstream) leaveUnresolved(r *run) {
	if !r.mayOutlive() {
		return
	}
	u.unresolvedStarts = append(u.unresolvedStarts, r.id)
	if len(u.unresolvedStarts) > mostUnresolved {
		u.unresolvedStarts = u.unresolvedStarts[1:]
	}
}

// insert puts an upstream into the books that is not there.
func (p *Pool) insert(entry fleet.Upstream) *upstream {
	u := &upstream{Upstream: entry, listed: true, runs: map[fleet.Run]*run{}}
	p.upstreams[u.ID] = u
	p.sortedUpstreams = append(p.sortedUpstreams, u)
	slices.SortFunc(p.sortedUpstreams, func(a, b *upstream) int { return strings.Compare(a.ID, b.ID) })
	return u
}
