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
	n.releaseDrained() // the next heartbeat lists the released upstreams
	n.takeFreeGroups()
}

// dropSupersededGroups gives up the groups that a peer claims under a higher token: their
// upstreams reject the orders that this instance sends under its lower token.
func (n *Node) dropSupersededGroups() {
	var superseded []*ownedGroup
	n.mu.Lock()
	for name, g := range n.groups {
		if g.handingOver {
			continue // the next owner claims it before the handover is complete, for the released upstreams
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
	// MinOwnershipInterval plus fenceMargin is how long this instance waits, after it has
	// lost the first upstream of a group to a higher token, before it gives the group up and
	// may take it again. Within MinOwnershipInterval, the ownership of an upstream must not
	// alternate between two instances; the margin keeps clear of that limit.
	fenceMargin = 200 * time.Millisecond
	// staleFenceDelay is the same wait for a group whose upstreams never accepted the token
	// of this instance. They remember a higher token of an owner that does not exist any
	// more, so that there is no owner to alternate with.
	staleFenceDelay = 100 * time.Millisecond
)

// dropFencedGroups gives up the groups that have lost an upstream to a higher token, after a
// wait that keeps their ownership from alternating between two instances. It also raises
// highestToken. If no peer claims such a group, this instance then takes it again, under a
// token that the upstreams are more likely to accept.
func (n *Node) dropFencedGroups() {
	var dropped []*ownedGroup
	n.mu.Lock()
	for _, g := range n.ownedGroupsLocked() {
		fencedAt, accepted := g.FencedAt()
		wait := staleFenceDelay
		if accepted {
			wait = n.settings.Timing.MinOwnershipInterval + fenceMargin
			n.incrementDoublings = 0 // the last increment was large enough for the token to be accepted
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
	// tokenIncrement is added to highestToken when a group of this instance has been fenced.
	// It is one second: above their TokenNameBits low bits, tokens hold a time in
	// milliseconds. The clock of the owner with the higher token may be ahead by more, so
	// the increment is doubled each time until a token is accepted, up to
	// maxIncrementDoublings times, which makes it 256 s.
	tokenIncrement        = 1000 << membership.TokenNameBits
	maxIncrementDoublings = 8
)

const (
	// minHandoverAge is how long this instance must have owned a group before it hands the
	// group over to a better owner. Ownership must not alternate between two instances, and
	// each handover makes some capacity unavailable for a moment.
	minHandoverAge = 5 * time.Second
	// muchLargerFactor is the ratio of a peer's CPU share to that of this instance from which
	// on the size of the peer alone justifies a handover.
	muchLargerFactor = 2
)

// handOverToBetterOwner starts to hand over a group that is assigned to another instance, if
// the group belongs to another zone or isBetterOwner considers the handover worth its cost.
// Only one group is handed over at a time.
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

// isBetterOwner reports whether handing over a group to a peer is worth its cost, for one of
// these reasons:
//   - This instance is no hub any more.
//   - The peer has at least muchLargerFactor times the CPU share of this instance.
//   - The handover makes the numbers of groups of the two instances more even.
//
// The map owners holds the instance to which each group is assigned. n.mu is held.
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
	// This instance owns more groups than are assigned to it, and at least two more than
	// the peer does.
	return len(n.groups) > assigned && len(n.lastHeartbeat[peer].GetClaims())+1 < len(n.groups)
}

// keepGroupsFraction is the fraction of the time for a planned shutdown during which this
// instance keeps its groups while no other instance of the zone can take them: after a
// handover their upstreams would be idle until another instance has started. A larger fraction
// leaves less time for the tasks that still run at the handover.
const keepGroupsFraction = 0.4

// handOverForShutdown starts to hand over the groups of this instance in a planned shutdown. If no
// other instance can take the groups of the own zone, it keeps them until keepGroupsFraction of
// limit has passed. Limit is the time for the whole shutdown, and elapsed is how much of it has
// passed.
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

// hasSuccessor reports whether there is another live instance that may own the groups of this
// zone. n.mu is held.
func (n *Node) hasSuccessor() bool {
	return slices.ContainsFunc(n.ownZoneCandidates(), func(c membership.Candidate) bool { return c.Name != n.settings.Name })
}

// releaseAndNotifyPeers calls releaseDrained. If that has released any upstreams, it sends
// heartbeats at once, so that the next owner can take them.
func (n *Node) releaseAndNotifyPeers() {
	if n.releaseDrained() > 0 {
		n.sendHeartbeats()
	}
}

// releaseDrained goes through the groups that are being handed over. It releases the upstreams
// on which nothing runs, and gives up each group that is idle. It returns the number of upstreams
// that it has released.
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

// takeFreeGroups takes the groups that no instance owns and that are assigned to this one. They
// belong to its own zone, or to a zone that has no instance (an orphaned zone).
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

// takeAssignedGroups takes the groups for which the map owners names this instance and that no
// other instance owns. It reports whether it has taken any. n.mu is held.
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
	cfg.EndedOwner = n.endedOwner(group)
	cfg.LinkRate = n.settings.LinkRate // not divided: each group may use the whole link, even if there are several
	n.groups[group] = &ownedGroup{Group: owner.NewGroup(group, cfg, n.highestToken, n.upstreamClient, n, n.ingress.IsCancelled), takenAt: clock.Now()}
	n.groups[group].ImportSpeeds(n.speedsOfGroup(group))
	n.lastTakenAt = clock.Now()
	event.GroupTaken.Log(n.log, slog.String("group", group), slog.Uint64("token", n.highestToken),
		slog.Int("upstreams", len(n.groupMembers(group))), slog.Int("candidates", len(n.ownZoneCandidates())))
}

// doneWaitingForPeers reports whether this instance has waited long enough for its peers to take
// a group. Until it is busyPeerWait old, it waits for the list of instances and then for a
// heartbeat of each listed hub of its zone, except of
//   - hubs that have refused a connection within refusalValidity, and
//   - hubs to which the last dial failed, once this instance is heartbeatWait old.
//
// If it knows no peer at all, it waits until it is heartbeatWait old. n.mu is held.
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

// canTakeGroup reports whether this instance may take a group: it knows the upstreams and the
// evacuated zones, the group has upstreams, and no known peer owns it. n.mu is held.
func (n *Node) canTakeGroup(group string) bool {
	if n.groups[group] != nil || !n.directory.Ready() || len(n.groupMembers(group)) == 0 {
		return false
	}
	_, claim := n.claimOf(group, false)
	return claim == nil
}

// isolationTimeout is how long an isolated instance takes no groups, because peers that it cannot
// reach may own them. It is also the age below which an instance does not count as isolated: until
// then the store may still list instances that were lost before a restart of the whole fleet.
const isolationTimeout = 6 * time.Second

// isIsolated reports whether no peer at all sends heartbeats to this instance, although the store
// lists peers in its zone that do not refuse connections. Most likely this instance is partitioned
// from them, and would take upstreams away from a working owner. After isolationTimeout the
// instance no longer counts as isolated. n.mu is held.
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
		return false // no peer is listed, or the list may be outdated
	}
	if n.isolatedSince.IsZero() {
		n.isolatedSince = clock.Now()
	}
	return clock.Since(n.isolatedSince) < isolationTimeout
}

// ownZoneCandidates returns the instances that may own the groups of the own zone: its live hubs,
// including this instance if it is one. n.mu is held.
func (n *Node) ownZoneCandidates() []membership.Candidate {
	if n.neighbours.IsHub {
		self := membership.Candidate{Name: n.settings.Name, CPUShare: n.settings.CPUShare}
		return append([]membership.Candidate{self}, n.liveCandidates(n.hubPeers())...)
	}
	return n.liveCandidates(n.peers.Filter(func(p membership.Peer) bool {
		return p.Zone == n.settings.Zone && n.neighbours.Has(p.Instance)
	}))
}

// liveCandidates returns the peers that are alive, as candidates to own groups. n.mu is held.
func (n *Node) liveCandidates(peers []membership.Peer) []membership.Candidate {
	return lo.FilterMap(peers, func(p membership.Peer, _ int) (membership.Candidate, bool) {
		return membership.Candidate{Name: p.Instance, CPUShare: n.lastHeartbeat[p.Instance].GetShare()}, p.State == membership.Alive
	})
}
