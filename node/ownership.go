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

// reconcileGroups gives up, hands over and takes groups according to the current state of the
// peers.
func (n *Node) reconcileGroups() {
	n.ensureGroupCount()
	n.dropSupersededGroups()
	n.dropRejectedOtherZoneGroups()
	n.dropFencedGroups()
	n.handOverToBetterOwner()
	n.releaseDrained() // the caller's next heartbeat lists the released upstreams
	n.takeFreeGroups()
}

// dropSupersededGroups gives up the groups that a peer claims under a higher token: their
// upstreams reject orders of this instance.
func (n *Node) dropSupersededGroups() {
	var superseded []*ownedGroup
	n.mu.Lock()
	for name, g := range n.groups {
		if g.handingOver {
			continue // the next owner takes the upstreams that this instance has released
		}
		peer, claim := n.claimOf(name, false)
		if claim.GetToken() > g.Token {
			event.GroupLost.Log(n.log, slog.String("group", name), slog.Uint64("token", g.Token),
				slog.Uint64("higher_token", claim.GetToken()), slog.String("to", peer))
			delete(n.groups, name)
			superseded = append(superseded, g)
		}
	}
	n.mu.Unlock()
	for _, g := range superseded {
		g.Close()
	}
}

const (
	// fenceMargin is added to MinOwnershipInterval, within which the ownership of an
	// upstream must not alternate between two instances.
	fenceMargin = 200 * time.Millisecond
	// staleFenceDelay is the delay after which a group whose upstreams never accepted
	// the token of this instance may be taken again. Such upstreams remember a higher
	// token of an owner that does not exist any more.
	staleFenceDelay = 100 * time.Millisecond
)

// dropFencedGroups gives up the groups that a higher token has fenced, after a wait that keeps
// their ownership from alternating between two instances. It raises highestToken, so that a
// group that no peer claims is taken again under a higher token.
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
	// tokenIncrement raises the next token by one second, because the clock of the owner
	// that has fenced this instance may be ahead. The increment is doubled each time, up
	// to maxIncrementDoublings times.
	tokenIncrement        = 1000 << membership.TokenNameBits
	maxIncrementDoublings = 8
)

const (
	// minHandoverAge is how long this instance owns a group before it hands it over to
	// a better owner. Ownership must not alternate between two instances, and each
	// handover makes some capacity unavailable for a moment.
	minHandoverAge = 5 * time.Second
	// muchLargerFactor is how many times the CPU share of this instance a peer must have
	// for a handover to be worth it because of its size.
	muchLargerFactor = 2
)

// handOverToBetterOwner starts to hand over a group that another instance should own, if that
// instance is much larger or owns fewer groups, or if the group is foreign. Only one group is
// handed over at a time.
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
		if handedOver == nil && to != "" && to != n.settings.Name && clock.Since(g.takenAt) > minHandoverAge && (n.isInOtherZone(g.Name) || n.isBetterOwner(to, owners)) {
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

// isBetterOwner reports whether handing over a group to a peer is worth its cost: the peer is
// much larger, this instance is no hub any more, or the handover evens out the number of
// groups. owners holds the assigned owner of each group. n.mu is held.
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
	// The handover must make the numbers of groups of the two instances more even.
	return len(n.groups) > assigned && len(n.lastHeartbeat[peer].GetClaims())+1 < len(n.groups)
}

// keepGroupsFraction is the fraction of a planned shutdown during which groups are kept if no
// other instance of the zone can take them. Their upstreams would be idle until another
// instance has started. The rest of the time is left for running tasks to end.
const keepGroupsFraction = 0.4

// handOverForShutdown starts to hand over the groups in a planned shutdown, of which elapsed
// has passed and which may take up to limit.
func (n *Node) handOverForShutdown(elapsed, limit time.Duration) {
	var handedOver []*ownedGroup
	n.mu.Lock()
	noMoreWaiting := elapsed > time.Duration(keepGroupsFraction*float64(limit))
	for _, g := range n.ownedGroupsLocked() {
		if g.handingOver || !noMoreWaiting && !n.isInOtherZone(g.Name) && !n.hasSuccessor() {
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

// hasSuccessor reports whether another live instance may own the groups of this zone. n.mu
// is held.
func (n *Node) hasSuccessor() bool {
	return slices.ContainsFunc(n.ownZoneCandidates(), func(c membership.Candidate) bool { return c.Name != n.settings.Name })
}

// releaseAndNotifyPeers releases drained upstreams and, if there are any, sends heartbeats at
// once, so that the next owner can take them.
func (n *Node) releaseAndNotifyPeers() {
	if n.releaseDrained() > 0 {
		n.sendHeartbeats()
	}
}

// releaseDrained releases the upstreams on which nothing runs in groups that are being handed
// over, and gives up the groups that are idle. It returns the number of released upstreams.
func (n *Node) releaseDrained() int {
	count := 0
	for _, g := range n.ownedGroups() {
		n.mu.Lock()
		handingOver := g.handingOver
		n.mu.Unlock()
		if !handingOver {
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

// takeFreeGroups takes the groups that no instance owns and that are assigned to this one,
// from its own zone and from orphaned zones.
func (n *Node) takeFreeGroups() {
	if n.shuttingDown.Load() || n.ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	taken := false
	if n.neighbours.IsHub && n.doneWaitingForPeers() && !n.isIsolated() {
		taken = n.takeAssignedGroups(membership.Assign(n.ownZoneGroups(), n.ownZoneCandidates()))
		if orphaned := n.orphanedGroups(); len(orphaned) > 0 {
			taken = n.takeAssignedGroups(membership.Assign(orphaned, n.orphanCandidates())) || taken
		}
	}
	n.mu.Unlock()
	if taken {
		n.updateGroups()
		n.sendHeartbeats()
	}
}

// takeAssignedGroups takes the free groups that owners assigns to this instance, and reports
// whether there were any. n.mu is held.
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

// takeGroup makes this instance the owner of a group, under a new token. n.mu is held.
func (n *Node) takeGroup(group string) {
	n.highestToken = membership.NextToken(clock.WallClock().UnixMilli(), n.highestToken, string(n.self))
	cfg := schedule.ConfigForMaxLease(n.settings.Timing.MaxTaskLease)
	cfg.RemoteFactor = n.settings.Timing.RemoteFactor
	cfg.LinkRate = n.settings.LinkRate // each group of this instance assumes the full rate
	n.groups[group] = &ownedGroup{Group: owner.NewGroup(group, cfg, n.highestToken, n.upstreamClient, n), takenAt: clock.Now()}
	n.lastTakenAt = clock.Now()
	event.GroupTaken.Log(n.log, slog.String("group", group), slog.Uint64("token", n.highestToken),
		slog.Int("upstreams", len(n.groupMembers(group))), slog.Int("candidates", len(n.ownZoneCandidates())))
}

// doneWaitingForPeers reports whether this instance knows enough about its peers to take a
// group. It has to receive a heartbeat from every listed hub of its zone first, except from
// those that do not accept connections. After busySettleTime it stops waiting. n.mu is held.
func (n *Node) doneWaitingForPeers() bool {
	age := clock.Since(n.startedAt)
	if age >= busyPeerWait {
		return true
	}
	for _, p := range n.hubPeers() {
		if p.State == membership.Listed && !n.refusedRecently(p.Instance) && (age < heartbeatWait || n.dialOutcomes[p.Address] != dialFailed) {
			return false
		}
	}
	return n.peerListRead && (age >= heartbeatWait || n.peers.Len() > 0)
}

// canTakeGroup reports whether a group has upstreams and no owner, as far as this instance
// can know. n.mu is held.
func (n *Node) canTakeGroup(group string) bool {
	if n.groups[group] != nil || !n.directory.Ready() || len(n.groupMembers(group)) == 0 {
		return false
	}
	_, claim := n.claimOf(group, false)
	return claim == nil
}

// isolationTimeout is how long an isolated instance refrains from taking groups, which its
// unreachable peers may own.
const isolationTimeout = 6 * time.Second

// isIsolated reports whether no peer sends heartbeats to this instance although the store
// lists some of its zone that do not refuse connections. Most likely this instance is
// partitioned from them, and would take upstreams away from a working owner. The result
// is false again after isolationTimeout. n.mu is held.
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
		return false // the list may still name instances lost before a restart of the whole fleet
	}
	if n.isolatedSince.IsZero() {
		n.isolatedSince = clock.Now()
	}
	return clock.Since(n.isolatedSince) < isolationTimeout
}

// ownZoneCandidates returns the live hubs of the own zone, which may own its groups. n.mu is
// held.
func (n *Node) ownZoneCandidates() []membership.Candidate {
	var list []membership.Candidate
	if n.neighbours.IsHub {
		list = append(list, membership.Candidate{Name: n.settings.Name, CPUShare: n.settings.CPUShare})
	}
	return append(list, n.liveCandidates(n.hubPeers())...)
}

// liveCandidates returns the peers that are alive, as candidates to own groups. n.mu is held.
func (n *Node) liveCandidates(peers []membership.Peer) []membership.Candidate {
	return lo.FilterMap(peers, func(p membership.Peer, _ int) (membership.Candidate, bool) {
		return membership.Candidate{Name: p.Instance, CPUShare: n.lastHeartbeat[p.Instance].GetShare()}, p.State == membership.Alive
	})
}
