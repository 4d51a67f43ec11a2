package node

import (
	"log/slog"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"

	"github.com/samber/lo"
)

// reconsider takes and gives up groups as peers come and go.
func (n *Node) reconsider() {
	n.countGroups()
	n.yieldGroups()
	n.dropForeign()
	n.dropFenced()
	n.handBack()
	n.releaseGroups() // the beat that follows tells peers
	n.takeGroups()
}

// yieldGroups gives up groups that a peer owns under a higher token: upstreams
// do not listen to this instance any more.
func (n *Node) yieldGroups() {
	var yielded []*held
	n.mu.Lock()
	for name, g := range n.groups {
		if g.handing {
			continue // another takes what this instance has let go
		}
		peer, claim := n.claimOf(name, false)
		if claim.GetToken() > g.Token {
			event.GroupLost.Log(n.log, slog.String("group", name), slog.Uint64("token", g.Token),
				slog.Uint64("higher_token", claim.GetToken()), slog.String("to", peer))
			delete(n.groups, name)
			yielded = append(yielded, g)
		}
	}
	n.mu.Unlock()
	for _, g := range yielded {
		g.Close()
	}
}

const (
	// fenceMargin is added to the time in which two holders must not take
	// turns.
	fenceMargin = 200 * time.Millisecond
	// staleFence is how soon a group is taken again whose upstreams never
	// accepted the token: they remember that of an owner that is gone.
	staleFence = 100 * time.Millisecond
)

// dropFenced gives up groups whose upstreams follow a higher token that no peer
// claims. They may be taken again, under a token above it, once two holders
// cannot be taking turns.
func (n *Node) dropFenced() {
	var dropped []*held
	n.mu.Lock()
	for _, g := range n.ownedGroups() {
		since, joined := g.FencedAt()
		wait := staleFence
		if joined {
			wait = n.in.Timing.FenceSettle + fenceMargin
			n.leaps = 0
		}
		if since.IsZero() || clock.Since(since) < wait {
			continue
		}
		n.highest += tokenLeap << n.leaps
		n.leaps = min(n.leaps+1, maxLeaps)
		event.GroupLost.Log(n.log, slog.String("group", g.Name), slog.Uint64("token", g.Token), slog.String("to", "unknown"))
		delete(n.groups, g.Name)
		dropped = append(dropped, g)
	}
	n.mu.Unlock()
	for _, g := range dropped {
		g.Close()
	}
}

const (
	// tokenLeap raises the next token by a second: the owner that this
	// instance was fenced by may have a clock that is ahead. It doubles each
	// time, at most maxLeaps times.
	tokenLeap = 1000 << membership.TokenNameBits
	maxLeaps  = 8
)

const (
	// handBackAfter is how long a group is kept at least: two holders must
	// not take turns, and each change costs some room for a moment.
	handBackAfter = 5 * time.Second
	// muchLarger is how many times the share of a processor another owner
	// must have to be worth a change.
	muchLarger = 2
)

// handBack begins to hand one group over to an instance that is much larger, or
// that owns fewer, if it should own it.
func (n *Node) handBack() {
	if n.leaving.Load() {
		return
	}
	n.mu.Lock()
	if len(n.groups) == 0 {
		n.mu.Unlock()
		return
	}
	var given *held
	owners := n.rightfulOwners()
	for _, g := range n.ownedGroups() {
		if g.handing {
			n.mu.Unlock()
			return // one at a time
		}
		to := owners[g.Name]
		if given == nil && to != "" && to != n.in.Name && clock.Since(g.since) > handBackAfter && (n.isForeign(g.Name) || n.betterOwner(to, owners)) {
			given = g
		}
	}
	if given != nil {
		given.handing = true
		event.GroupHanded.Log(n.log, slog.String("group", given.Name), slog.Uint64("token", given.Token), slog.String("to", owners[given.Name]))
	}
	n.mu.Unlock()
	if given != nil {
		given.Drain()
	}
}

// betterOwner reports whether handing a group to a peer is worth the change. The
// lock is held.
func (n *Node) betterOwner(peer string, owners map[string]string) bool {
	if !n.around.IsHub || n.heard[peer].GetShare() >= muchLarger*n.in.CPUShare {
		return true
	}
	fair := 0
	for _, o := range owners {
		if o == n.in.Name {
			fair++
		}
	}
	// It must leave the two more even than they are.
	return len(n.groups) > fair && len(n.heard[peer].GetClaims())+1 < len(n.groups)
}

// keepShare is the part of a planned stop in which groups are kept while no
// other instance of the availability zone can take them: their upstreams would
// stand idle until one has started. The rest is left for what runs to end.
const keepShare = 0.4

// handOver begins to hand over the groups in a planned stop that lasts until
// limit at most and has taken a while.
func (n *Node) handOver(took, limit time.Duration) {
	var given []*held
	n.mu.Lock()
	late := took > time.Duration(keepShare*float64(limit))
	for _, g := range n.ownedGroups() {
		if g.handing || !late && !n.isForeign(g.Name) && !n.hasSuccessor() {
			continue
		}
		g.handing = true
		given = append(given, g)
		event.GroupHanded.Log(n.log, slog.String("group", g.Name), slog.Uint64("token", g.Token), slog.String("to", ""), slog.Duration("stopping_for", took))
	}
	n.mu.Unlock()
	for _, g := range given {
		g.Drain()
	}
	if len(given) > 0 {
		n.tellPeers()
	}
}

// hasSuccessor reports whether another instance may own the groups of this
// availability zone. The lock is held.
func (n *Node) hasSuccessor() bool {
	return slices.ContainsFunc(n.candidates(), func(c membership.Candidate) bool { return c.Name != n.in.Name })
}

// release lets go of upstreams in a planned stop, and tells peers at once.
func (n *Node) release() {
	if n.releaseGroups() > 0 {
		n.tellPeers()
	}
}

// releaseGroups lets go of drained upstreams and groups, and returns how many
// upstreams it let go.
func (n *Node) releaseGroups() int {
	count := 0
	for _, g := range n.owned() {
		n.mu.Lock()
		handing := g.handing
		n.mu.Unlock()
		if !handing {
			continue
		}
		released := g.Release()
		count += len(released)
		n.mu.Lock()
		g.released = append(g.released, released...)
		n.mu.Unlock()
		if !g.Idle() {
			continue
		}
		g.Close()
		n.mu.Lock()
		delete(n.groups, g.Name)
		n.mu.Unlock()
		event.GroupReleased.Log(n.log, slog.String("group", g.Name), slog.Uint64("token", g.Token))
	}
	return count
}

// takeGroups takes the groups that nobody owns and that this instance should own:
// of its own availability zone, and of those without any instance.
func (n *Node) takeGroups() {
	if n.leaving.Load() || n.stop.Err() != nil {
		return
	}
	n.mu.Lock()
	taken := false
	if n.around.IsHub && n.settled() && !n.isolated() {
		taken = n.takeOwn(membership.Assign(n.zoneGroups(), n.candidates()))
		if orphaned := n.orphaned(); len(orphaned) > 0 {
			taken = n.takeOwn(membership.Assign(orphaned, n.foreignCandidates())) || taken
		}
	}
	n.mu.Unlock()
	if taken {
		n.updateGroups()
		n.tellPeers()
	}
}

// takeOwn takes the free groups whose owner should be this instance, and reports
// whether there are any. The lock is held.
func (n *Node) takeOwn(owners map[string]string) bool {
	taken := false
	for group, name := range owners {
		if name == n.in.Name && n.canTake(group) {
			n.take(group)
			taken = true
		}
	}
	return taken
}

// take begins to own a group. The lock is held.
func (n *Node) take(group string) {
	n.highest = membership.NextToken(clock.WallClock().UnixMilli(), n.highest, string(n.self))
	cfg := schedule.ConfigForMaxLease(n.in.Timing.MaxTaskLease)
	cfg.RemoteFactor = n.in.Timing.RemoteFactor
	cfg.LinkRate = n.in.LinkRate // counted in full by each group of an owner of several
	n.groups[group] = &held{Group: owner.NewGroup(group, cfg, n.highest, n.calls, n), since: clock.Now()}
	n.taken = clock.Now()
	event.GroupTaken.Log(n.log, slog.String("group", group), slog.Uint64("token", n.highest),
		slog.Int("upstreams", len(n.membersOf(group))), slog.Int("candidates", len(n.candidates())))
}

// settled reports whether this instance has heard enough to take a group: from
// every instance of its availability zone that is listed and runs. One that
// accepts no connection does not. The lock is held.
func (n *Node) settled() bool {
	age := clock.Since(n.began)
	if age >= busySettleTime {
		return true
	}
	for _, p := range n.hubPeers() {
		if p.State == membership.Listed && !n.isAbsent(p.Instance) && (age < settleTime || n.dials[p.Address] != dialFailed) {
			return false
		}
	}
	return n.peersRead && (age >= settleTime || n.table.Len() > 0)
}

// canTake reports whether a group is free. The lock is held.
func (n *Node) canTake(group string) bool {
	if n.groups[group] != nil || !n.directory.Ready() || len(n.membersOf(group)) == 0 {
		return false
	}
	_, claim := n.claimOf(group, false)
	return claim == nil
}

// isolatedLimit bounds how long an isolated instance leaves its availability
// zone to peers that it cannot hear.
const isolatedLimit = 6 * time.Second

// isolated reports whether this instance hears no peer at all while the store
// lists some of its availability zone that do not refuse connections: it is
// likely itself that is cut off, and a takeover would take the upstreams from
// an owner that works. The lock is held.
func (n *Node) isolated() bool {
	listed := false
	for p := range n.table.All() {
		switch {
		case p.State == membership.Alive || p.State == membership.Suspect || p.State == membership.Leaving:
			n.alone = time.Time{}
			return false
		case p.Zone == n.in.Zone && n.registered[p.Instance] != "" && !n.isAbsent(p.Instance):
			listed = true
		}
	}
	if !listed || clock.Since(n.began) < isolatedLimit {
		return false // after a restart of all, the list is older than the loss
	}
	if n.alone.IsZero() {
		n.alone = clock.Now()
	}
	return clock.Since(n.alone) < isolatedLimit
}

// candidates returns the instances of the own availability zone that may own
// groups: its hubs. The lock is held.
func (n *Node) candidates() []membership.Candidate {
	var list []membership.Candidate
	if n.around.IsHub {
		list = append(list, membership.Candidate{Name: n.in.Name, CPUShare: n.in.CPUShare})
	}
	return append(list, n.candidatesOf(n.hubPeers())...)
}

// candidatesOf returns those of some peers that live. The lock is held.
func (n *Node) candidatesOf(peers []membership.Peer) []membership.Candidate {
	return lo.FilterMap(peers, func(p membership.Peer, _ int) (membership.Candidate, bool) {
		return membership.Candidate{Name: p.Instance, CPUShare: n.heard[p.Instance].GetShare()}, p.State == membership.Alive
	})
}
