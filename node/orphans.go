package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/membership"
)

// The upstreams of an availability zone that has lost all its instances are
// owned from other zones until one is there again.

const (
	// orphanDelay is how long a zone must have no instance, beyond the time in
	// which its entries in the store lapse: a restart takes less.
	orphanDelay = 2 * time.Second
	// orphanTrialTime is how long the upstreams of such a zone have to accept this
	// instance: the whole zone may be cut off, with owners of its own.
	orphanTrialTime = 5 * time.Second
	// orphanRetryDelay is how long they are left alone after that, or after another
	// owner has fenced this instance there.
	orphanRetryDelay = 15 * time.Second
)

// zoneHasInstance reports whether an availability zone has an instance, as far as this
// one can tell. The lock is held.
func (n *Node) zoneHasInstance(zone string) bool {
	if !n.peerListRead {
		return true // the store has not told yet
	}
	for _, z := range n.registeredZones {
		if z == zone {
			return true
		}
	}
	return len(n.livePeersIn(zone)) > 0
}

// livePeersIn returns the instances of a zone that are heard. The lock is held.
func (n *Node) livePeersIn(zone string) []membership.Peer {
	return n.peers.Filter(func(p membership.Peer) bool {
		return p.Zone == zone && p.State != membership.Dead && p.State != membership.Listed
	})
}

// orphanedGroups returns the groups of zones that have had no instance for a while.
// The lock is held.
func (n *Node) orphanedGroups() []string {
	var groups []string
	for zone, count := range n.groupCounts {
		if n.zoneHasInstance(zone) || zone == n.settings.Zone {
			delete(n.emptySince, zone)
			continue
		}
		if n.emptySince[zone].IsZero() {
			n.emptySince[zone] = clock.Now()
		}
		if clock.Since(n.emptySince[zone]) < orphanDelay || clock.Now().Before(n.orphanRetryAt[zone]) {
			continue
		}
		groups = append(groups, groupNames(zone, count)...)
	}
	return groups
}

// foreignCandidates returns the instances of all zones that may own orphaned
// groups. The lock is held.
func (n *Node) foreignCandidates() []membership.Candidate {
	list := []membership.Candidate{{Name: n.settings.Name, CPUShare: n.settings.CPUShare}}
	hubs := n.peers.Filter(func(p membership.Peer) bool {
		return n.neighboursIfAllAlive.Has(p.Instance) && !n.neighboursIfAllAlive.Spokes[p.Instance]
	})
	return append(list, n.liveCandidates(hubs)...)
}

// isForeign reports whether a group belongs to another zone.
func (n *Node) isForeign(group string) bool { return zoneOfGroup(group) != n.settings.Zone }

// dropRejectedForeignGroups gives up the groups of other zones whose upstreams do not accept
// this instance.
func (n *Node) dropRejectedForeignGroups() {
	var dropped []*ownedGroup
	n.mu.Lock()
	for _, g := range n.ownedGroupsLocked() {
		fenced, accepted := g.FencedAt()
		trialOver := clock.Since(g.takenAt) >= orphanTrialTime
		if g.handingOver || !n.isForeign(g.Name) || fenced.IsZero() && (accepted || !trialOver) {
			continue
		}
		n.orphanRetryAt[zoneOfGroup(g.Name)] = clock.Now().Add(orphanRetryDelay)
		event.GroupLost.Log(n.log, slog.String("group", g.Name), slog.Uint64("token", g.Token), slog.Bool("fenced", !fenced.IsZero()),
			slog.Bool("joined", accepted), slog.String("to", "unknown"))
		delete(n.groups, g.Name)
		dropped = append(dropped, g)
	}
	n.mu.Unlock()
	for _, g := range dropped {
		g.Close()
	}
}

// assignedOwners returns the owner that each owned group should have: of foreign groups
// an instance of their own zone, once there is one. The lock is held.
func (n *Node) assignedOwners() map[string]string {
	owners := membership.Assign(n.ownZoneGroups(), n.ownZoneCandidates())
	if owners == nil {
		owners = map[string]string{}
	}
	for group := range n.groups {
		zone := zoneOfGroup(group)
		if zone == n.settings.Zone {
			continue
		}
		candidates := n.liveCandidates(n.livePeersIn(zone))
		owners[group] = membership.Assign(groupNames(zone, n.groupCounts[zone]), candidates)[group]
	}
	return owners
}
