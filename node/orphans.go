package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/membership"
)

// A zone without any instance is called orphaned here, and so are its groups. Instances of
// other zones own the groups until the zone has an instance again.

const (
	// orphanDelay is how long a zone must have had no instance before instances of other
	// zones take its groups. It starts when the store has removed the last entry of an
	// instance of the zone. A restart of an instance takes less time, and so does not move
	// groups to another zone.
	orphanDelay = 2 * time.Second
	// orphanTrialTime is how long this instance keeps a group of an orphaned zone although
	// none of its upstreams has accepted this instance as the owner. The whole zone may be
	// partitioned from this instance and still have owners of its own.
	orphanTrialTime = 5 * time.Second
	// orphanRetryDelay is how long this instance then waits before it takes groups of that
	// zone again. It waits as long after it has lost one of them to a higher token.
	orphanRetryDelay = 15 * time.Second
)

// zoneHasInstance reports whether an availability zone has an instance that is listed in the
// store or sends heartbeats. Until the list has been read, it returns true. n.mu is held.
func (n *Node) zoneHasInstance(zone string) bool {
	if !n.peerListRead {
		return true // not known yet
	}
	for _, z := range n.registeredZones {
		if z == zone {
			return true
		}
	}
	return len(n.livePeersIn(zone)) > 0
}

// livePeersIn returns the peers of a zone from which heartbeats arrive. n.mu is held.
func (n *Node) livePeersIn(zone string) []membership.Peer {
	return n.peers.Filter(func(p membership.Peer) bool {
		return p.Zone == zone && p.State != membership.Dead && p.State != membership.Listed
	})
}

// orphanedGroups returns the groups of all zones that have been orphaned for orphanDelay, except
// of those where this instance has failed to own a group within orphanRetryDelay. n.mu is held.
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

// orphanCandidates returns the instances that may own orphaned groups: this one and the
// live hubs of all zones. n.mu is held.
func (n *Node) orphanCandidates() []membership.Candidate {
	list := []membership.Candidate{{Name: n.settings.Name, CPUShare: n.settings.CPUShare}}
	hubs := n.peers.Filter(func(p membership.Peer) bool {
		return n.neighboursIfAllAlive.Has(p.Instance) && !n.neighboursIfAllAlive.Spokes[p.Instance]
	})
	return append(list, n.liveCandidates(hubs)...)
}

// isInOtherZone reports whether a group belongs to another zone.
func (n *Node) isInOtherZone(group string) bool { return zoneOfGroup(group) != n.settings.Zone }

// dropRejectedOtherZoneGroups gives up the groups of other zones that have lost an upstream to a
// higher token, or of which no upstream has accepted this instance within orphanTrialTime.
func (n *Node) dropRejectedOtherZoneGroups() {
	var dropped []*ownedGroup
	n.mu.Lock()
	for _, g := range n.ownedGroupsLocked() {
		fenced, accepted := g.FencedAt()
		trialOver := clock.Since(g.takenAt) >= orphanTrialTime
		if g.handingOver || !n.isInOtherZone(g.Name) || fenced.IsZero() && (accepted || !trialOver) {
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

// assignedOwners returns the instance that should own each group of the own zone, and each group
// of another zone that this instance owns. The latter should be owned by a live instance of that
// zone; the name is empty if there is none. n.mu is held.
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
