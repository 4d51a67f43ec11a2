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

// reconcileGroups takes and gives up groups as peers come and go.
func (n *Node) reconcileGroups() {
	n.ensureGroupCount()
	n.dropSupersededGroups()
	n.dropRejectedForeignGroups()
	n.dropFencedGroups()
	n.handOverToBetterOwner()
	n.releaseDrained() // the beat that follows tells peers
	n.takeFreeGroups()
}

// dropSupersededGroups gives up groups that a peer owns under a higher token: upstreams
// do not listen to this instance any more.
func (n *Node) dropSupersededGroups() {
	var yielded []*ownedGroup
	n.mu.Lock()
	for name, g := range n.groups {
		if g.handingOver {
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
	// staleFenceDelay is how soon a group is taken again whose upstreams never
	// accepted the token: they remember that of an owner that is gone.
	staleFenceDelay = 100 * time.Millisecond
)

// dropFencedGroups gives up groups whose upstreams follow a higher token that no peer
// claims. They may be taken again, under a token above it, once two holders
// cannot be taking turns.
func (n *Node) dropFencedGroups() {
	var dropped []*ownedGroup
	n.mu.Lock()
	for _, g := range n.ownedGroupsLocked() {
		fencedAt, accepted := g.FencedAt()
		wait := staleFenceDelay
		if accepted {
			wait = n.settings.Timing.MinOwnershipInterval + fenceMargin
			n.incrementDoublings = 0
		}
		if fencedAt.IsZero() || clock.Since(fencedAt) < wait {
			continue
		}
		n.highestToken += tokenIncrement << n.incrementDoublings
		n.incrementDoublings = min(n.incrementDoublings+1, maxIncrementDoublings)
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
	// tokenIncrement raises the next token by a second: the owner that this
	// instance was fenced by may have a clock that is ahead. It doubles each
	// time, at most maxLeaps times.
	tokenIncrement        = 1000 << membership.TokenNameBits
	maxIncrementDoublings = 8
)

const (
	// minOwnershipTime is how long a group is kept at least: two holders must
	// not take turns, and each change costs some room for a moment.
	minOwnershipTime = 5 * time.Second
	// muchLargerFactor is how many times the share of a processor another owner
	// must have to be worth a change.
	muchLargerFactor = 2
)

// handOverToBetterOwner begins to hand one group over to an instance that is much larger, or
// that owns fewer, if it should own it.
func (n *Node) handOverToBetterOwner() {
	if n.shuttingDown.Load() {
		return
	}
	n.mu.Lock()
	if len(n.groups) == 0 {
		n.mu.Unlock()
		return
	}
	var handedOver *ownedGroup
	owners := n.assignedOwners()
	for _, g := range n.ownedGroupsLocked() {
		if g.handingOver {
			n.mu.Unlock()
			return // one at a time
		}
		to := owners[g.Name]
		if handedOver == nil && to != "" && to != n.settings.Name && clock.Since(g.takenAt) > minOwnershipTime && (n.isForeign(g.Name) || n.isBetterOwner(to, owners)) {
			handedOver = g
		}
	}
	if handedOver != nil {
		handedOver.handingOver = true
		event.GroupHanded.Log(n.log, slog.String("group", handedOver.Name), slog.Uint64("token", handedOver.Token), slog.String("to", owners[handedOver.Name]))
	}
	n.mu.Unlock()
	if handedOver != nil {
		handedOver.Drain()
	}
}

// isBetterOwner reports whether handing a group to a peer is worth the change. The
// lock is held.
func (n *Node) isBetterOwner(peer string, owners map[string]string) bool {
	if !n.neighbours.IsHub || n.lastHeartbeat[peer].GetShare() >= muchLargerFactor*n.settings.CPUShare {
		return true
	}
	assigned := 0
	for _, o := range owners {
		if o == n.settings.Name {
			assigned++
		}
	}
	// It must leave the two more even than they are.
	return len(n.groups) > assigned && len(n.lastHeartbeat[peer].GetClaims())+1 < len(n.groups)
}

// keepGroupsFraction is the part of a planned stop in which groups are kept while no
// other instance of the availability zone can take them: their upstreams would
// stand idle until one has started. The rest is left for what runs to end.
const keepGroupsFraction = 0.4

// handOverForShutdown begins to hand over the groups in a planned stop that lasts until
// limit at most and has taken a while.
func (n *Node) handOverForShutdown(elapsed, limit time.Duration) {
	var handedOver []*ownedGroup
	n.mu.Lock()
	late := elapsed > time.Duration(keepGroupsFraction*float64(limit))
	for _, g := range n.ownedGroupsLocked() {
		if g.handingOver || !late && !n.isForeign(g.Name) && !n.hasSuccessor() {
			continue
		}
		g.handingOver = true
		handedOver = append(handedOver, g)
		event.GroupHanded.Log(n.log, slog.String("group", g.Name), slog.Uint64("token", g.Token), slog.String("to", ""), slog.Duration("stopping_for", elapsed))
	}
	n.mu.Unlock()
	for _, g := range handedOver {
		g.Drain()
	}
	if len(handedOver) > 0 {
		n.sendHeartbeats()
	}
}

// hasSuccessor reports whether another instance may own the groups of this
// availability zone. The lock is held.
func (n *Node) hasSuccessor() bool {
	return slices.ContainsFunc(n.ownZoneCandidates(), func(c membership.Candidate) bool { return c.Name != n.settings.Name })
}

// releaseAndNotifyPeers lets go of upstreams in a planned stop, and tells peers at once.
func (n *Node) releaseAndNotifyPeers() {
	if n.releaseDrained() > 0 {
		n.sendHeartbeats()
	}
}

// releaseDrained lets go of drained upstreams and groups, and returns how many
// upstreams it let go.
func (n *Node) releaseDrained() int {
	count := 0
	for _, g := range n.ownedGroups() {
		n.mu.Lock()
		handing := g.handingOver
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

// takeFreeGroups takes the groups that nobody owns and that this instance should own:
// of its own availability zone, and of those without any instance.
func (n *Node) takeFreeGroups() {
	if n.shuttingDown.Load() || n.ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	taken := false
	if n.neighbours.IsHub && n.membershipSettled() && !n.isIsolated() {
		taken = n.takeAssignedGroups(membership.Assign(n.ownZoneGroups(), n.ownZoneCandidates()))
		if orphaned := n.orphanedGroups(); len(orphaned) > 0 {
			taken = n.takeAssignedGroups(membership.Assign(orphaned, n.foreignCandidates())) || taken
		}
	}
	n.mu.Unlock()
	if taken {
		n.updateGroups()
		n.sendHeartbeats()
	}
}

// takeAssignedGroups takes the free groups whose owner should be this instance, and reports
// whether there are any. The lock is held.
func (n *Node) takeAssignedGroups(owners map[string]string) bool {
	taken := false
	for group, name := range owners {
		if name == n.settings.Name && n.canTakeGroup(group) {
			n.takeGroup(group)
			taken = true
		}
	}
	return taken
}

// takeGroup begins to own a group. The lock is held.
func (n *Node) takeGroup(group string) {
	n.highestToken = membership.NextToken(clock.WallClock().UnixMilli(), n.highestToken, string(n.self))
	cfg := schedule.ConfigForMaxLease(n.settings.Timing.MaxTaskLease)
	cfg.RemoteFactor = n.settings.Timing.RemoteFactor
	cfg.LinkRate = n.settings.LinkRate // counted in full by each group of an owner of several
	n.groups[group] = &ownedGroup{Group: owner.NewGroup(group, cfg, n.highestToken, n.upstreamClient, n), takenAt: clock.Now()}
	n.lastTakenAt = clock.Now()
	event.GroupTaken.Log(n.log, slog.String("group", group), slog.Uint64("token", n.highestToken),
		slog.Int("upstreams", len(n.groupMembers(group))), slog.Int("candidates", len(n.ownZoneCandidates())))
}

// membershipSettled reports whether this instance has heard enough to take a group: from
// every instance of its availability zone that is listed and runs. One that
// accepts no connection does not. The lock is held.
func (n *Node) membershipSettled() bool {
	age := clock.Since(n.startedAt)
	if age >= busySettleTime {
		return true
	}
	for _, p := range n.hubPeers() {
		if p.State == membership.Listed && !n.refusedRecently(p.Instance) && (age < settleTime || n.dialOutcomes[p.Address] != dialFailed) {
			return false
		}
	}
	return n.peerListRead && (age >= settleTime || n.peers.Len() > 0)
}

// canTakeGroup reports whether a group is free. The lock is held.
func (n *Node) canTakeGroup(group string) bool {
	if n.groups[group] != nil || !n.directory.Ready() || len(n.groupMembers(group)) == 0 {
		return false
	}
	_, claim := n.claimOf(group, false)
	return claim == nil
}

// isolationTimeout bounds how long an isolated instance leaves its availability
// zone to peers that it cannot hear.
const isolationTimeout = 6 * time.Second

// isIsolated reports whether this instance hears no peer at all while the store
// lists some of its availability zone that do not refuse connections: it is
// likely itself that is cut off, and a takeover would take the upstreams from
// an owner that works. The lock is held.
func (n *Node) isIsolated() bool {
	peerListed := false
	for p := range n.peers.All() {
		switch {
		case p.State == membership.Alive || p.State == membership.Suspect || p.State == membership.Leaving:
			n.isolatedSince = time.Time{}
			return false
		case p.Zone == n.settings.Zone && n.registeredZones[p.Instance] != "" && !n.refusedRecently(p.Instance):
			peerListed = true
		}
	}
	if !peerListed || clock.Since(n.startedAt) < isolationTimeout {
		return false // after a restart of all, the list is older than the loss
	}
	if n.isolatedSince.IsZero() {
		n.isolatedSince = clock.Now()
	}
	return clock.Since(n.isolatedSince) < isolationTimeout
}

// ownZoneCandidates returns the instances of the own availability zone that may own
// groups: its hubs. The lock is held.
func (n *Node) ownZoneCandidates() []membership.Candidate {
	var list []membership.Candidate
	if n.neighbours.IsHub {
		list = append(list, membership.Candidate{Name: n.settings.Name, CPUShare: n.settings.CPUShare})
	}
	return append(list, n.liveCandidates(n.hubPeers())...)
}

// liveCandidates returns those of some peers that live. The lock is held.
func (n *Node) liveCandidates(peers []membership.Peer) []membership.Candidate {
	return lo.FilterMap(peers, func(p membership.Peer, _ int) (membership.Candidate, bool) {
		return membership.Candidate{Name: p.Instance, CPUShare: n.lastHeartbeat[p.Instance].GetShare()}, p.State == membership.Alive
	})
}
