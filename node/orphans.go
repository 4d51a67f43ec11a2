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
	// orphanAfter is how long a zone must have no instance, beyond the time in
	// which its entries in the store lapse: a restart takes less.
	orphanAfter = 2 * time.Second
	// orphanTrial is how long the upstreams of such a zone have to accept this
	// instance: the whole zone may be cut off, with owners of its own.
	orphanTrial = 5 * time.Second
	// orphanPause is how long they are left alone after that, or after another
	// owner has fenced this instance there.
	orphanPause = 15 * time.Second
)

// staffed reports whether an availability zone has an instance, as far as this
// one can tell. The lock is held.
func (n *Node) staffed(zone string) bool {
	if !n.peersRead {
		return true // the store has not told yet
	}
	for _, z := range n.registered {
		if z == zone {
			return true
		}
	}
	return len(n.liveIn(zone)) > 0
}

// liveIn returns the instances of a zone that are heard. The lock is held.
func (n *Node) liveIn(zone string) []membership.Peer {
	return n.table.Filter(func(p membership.Peer) bool {
		return p.Zone == zone && p.State != membership.Dead && p.State != membership.Listed
	})
}

// orphaned returns the groups of zones that have had no instance for a while.
// The lock is held.
func (n *Node) orphaned() []string {
	var groups []string
	for zone, count := range n.groupCounts {
		if n.staffed(zone) || zone == n.in.Zone {
			delete(n.unstaffed, zone)
			continue
		}
		if n.unstaffed[zone].IsZero() {
			n.unstaffed[zone] = clock.Now()
		}
		if clock.Since(n.unstaffed[zone]) < orphanAfter || clock.Now().Before(n.orphanRetry[zone]) {
			continue
		}
		groups = append(groups, groupsOf(zone, count)...)
	}
	return groups
}

// foreignCandidates returns the instances of all zones that may own orphaned
// groups. The lock is held.
func (n *Node) foreignCandidates() []membership.Candidate {
	list := []membership.Candidate{{Name: n.in.Name, CPUShare: n.in.CPUShare}}
	hubs := n.table.Filter(func(p membership.Peer) bool {
		return n.sought.Has(p.Instance) && !n.sought.Spokes[p.Instance]
	})
	return append(list, n.candidatesOf(hubs)...)
}

// isForeign reports whether a group belongs to another zone.
func (n *Node) isForeign(group string) bool { return zoneOf(group) != n.in.Zone }

// dropForeign gives up the groups of other zones whose upstreams do not accept
// this instance.
func (n *Node) dropForeign() {
	var dropped []*held
	n.mu.Lock()
	for _, g := range n.ownedGroups() {
		fenced, joined := g.FencedAt()
		tried := clock.Since(g.since) >= orphanTrial
		if g.handing || !n.isForeign(g.Name) || fenced.IsZero() && (joined || !tried) {
			continue
		}
		n.orphanRetry[zoneOf(g.Name)] = clock.Now().Add(orphanPause)
		event.GroupLost.Log(n.log, slog.String("group", g.Name), slog.Uint64("token", g.Token), slog.Bool("fenced", !fenced.IsZero()),
			slog.Bool("joined", joined), slog.String("to", "unknown"))
		delete(n.groups, g.Name)
		dropped = append(dropped, g)
	}
	n.mu.Unlock()
	for _, g := range dropped {
		g.Close()
	}
}

// rightfulOwners returns the owner that each owned group should have: of foreign groups
// an instance of their own zone, once there is one. The lock is held.
func (n *Node) rightfulOwners() map[string]string {
	owners := membership.Assign(n.zoneGroups(), n.candidates())
	if owners == nil {
		owners = map[string]string{}
	}
	for group := range n.groups {
		zone := zoneOf(group)
		if zone == n.in.Zone {
			continue
		}
		home := n.candidatesOf(n.liveIn(zone))
		owners[group] = membership.Assign(groupsOf(zone, n.groupCounts[zone]), home)[group]
	}
	return owners
}
