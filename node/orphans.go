package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/membership"
)

// A zone without any instance is called orphaned here, and so are its groups. They are
// owned by instances of other zones until the zone has an instance again. A group of
// another zone is called foreign.

const (
	// orphanDelay is how long a zone must have had no instance, counted from when the
	// entries of its instances in the store have expired, before its groups may be
	// taken. A restart of an instance takes less.
	orphanDelay = 2 * time.Second
	// orphanTrialTime is how long this instance waits until an upstream of an orphaned
	// zone accepts it as the owner. If none does, the whole zone may be partitioned from
	// this instance and still have owners of its own.
	orphanTrialTime = 5 * time.Second
	// orphanRetryDelay is the pause before the next attempt to own the groups of a zone
	// whose upstreams did not accept this instance, or where a higher token has fenced it.
	orphanRetryDelay = 15 * time.Second
)

// zoneHasInstance reports whether an availability zone has an instance that is listed in the
// store or sends heartbeats. It is true while the list has not been read. n.mu is held.
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

// orphanedGroups returns the groups of all zones that have been orphaned for orphanDelay and
// in which no failed attempt is too recent. n.mu is held.
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

// dropRejectedOtherZoneGroups gives up the foreign groups whose upstreams have not accepted
// this instance within orphanTrialTime, or follow a higher token.
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

// assignedOwners returns the instance that should own each group of the own zone and each
// group that this instance owns. A foreign group should be owned by an instance of its own
// zone, if there is one. n.mu is held.
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
