package node

import (
	"maps"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// Spokes receive heartbeats only from the hubs of their zone and from active owners. The hubs
// relay to them which other instances own groups, and the load of those groups: the owners in
// other zones, and spokes of the own zone that were hubs when they took a group.

// ownersToRelay returns the owners that this instance relays to the spokes of its zone, or nil if
// no relay is due. Each hub relays a share of the owners.
func (n *Node) ownersToRelay() []*inner.RemoteOwner {
	n.mu.Lock()
	neighbours := n.neighbours
	due := len(neighbours.Spokes) > 0 && clock.Since(n.lastRelay) >= relayInterval
	if due {
		n.lastRelay = clock.Now()
	}
	n.mu.Unlock()
	if !due {
		return nil
	}
	var share []*inner.RemoteOwner
	for i, o := range n.router.ownersToRelay(neighbours.Spokes) {
		if i%neighbours.HubCount == neighbours.Rank {
			share = append(share, o)
		}
	}
	return share
}

// ownersToRelay returns the owners in other zones, and those among the spokes of the own zone, that
// have sent heartbeats to this instance themselves, ordered by group.
func (r *router) ownersToRelay(spokes map[string]bool) []*inner.RemoteOwner {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*inner.RemoteOwner
	for _, group := range slices.Sorted(maps.Keys(r.peerOwners)) {
		v := r.peerOwners[group]
		if v.relayed || zoneOfGroup(group) == r.node.settings.Zone && !spokes[v.peer.Instance()] {
			continue
		}
		list = append(list, &inner.RemoteOwner{
			Claim: loadToProto(group, v.token, schedule.Load{
				Free: v.load.Free, Waiting: v.load.Waiting, Capacity: v.load.Capacity, Closed: v.load.Closed, Waits: v.load.Waits,
			}),
			Incarnation: string(v.peer), AgeMs: uint32(clock.Since(v.reportedAt).Milliseconds()),
		})
	}
	return list
}

// handleRelayedOwners records the owners in other zones that a hub relays, unless a newer
// report is known, and removes relayed owners that no hub has reported for
// relayedOwnerExpiry.
func (r *router) handleRelayedOwners(owners []*inner.RemoteOwner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range owners {
		c := o.GetClaim()
		reportedAt := clock.Now().Add(-time.Duration(o.GetAgeMs()) * time.Millisecond)
		v := r.peerOwners[c.GetGroup()]
		if v != nil && (v.token > c.GetToken() || v.reportedAt.After(reportedAt)) {
			continue
		}
		r.peerOwners[c.GetGroup()] = &peerOwner{
			peer: fate.Incarnation(o.GetIncarnation()), token: c.GetToken(), load: ownerLoad(c.GetGroup(), c.GetToken(), loadFromProto(c)), reportedAt: reportedAt, relayed: true,
		}
	}
	for group, v := range r.peerOwners {
		if v.relayed && clock.Since(v.reportedAt) > relayedOwnerExpiry {
			delete(r.peerOwners, group)
		}
	}
}
