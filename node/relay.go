package node

import (
	"maps"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// Hubs pass on what they hear of owners in other availability zones to the
// instances of their own that hear none of them.

// ownersToRelay returns what this instance tells the spokes of its zone of owners in
// others: each hub tells a part.
func (n *Node) ownersToRelay() []*inner.RemoteOwner {
	n.mu.Lock()
	around := n.neighbours
	due := len(around.Spokes) > 0 && clock.Since(n.lastRelay) >= relayInterval
	if due {
		n.lastRelay = clock.Now()
	}
	n.mu.Unlock()
	if !due {
		return nil
	}
	var mine []*inner.RemoteOwner
	for i, o := range n.router.ownersInOtherZones() {
		if i%around.HubCount == around.Rank {
			mine = append(mine, o)
		}
	}
	return mine
}

// ownersInOtherZones returns what is known of owners in other availability zones at
// first hand, by group.
func (r *router) ownersInOtherZones() []*inner.RemoteOwner {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*inner.RemoteOwner
	for _, group := range slices.Sorted(maps.Keys(r.peerOwners)) {
		v := r.peerOwners[group]
		if v.relayed || zoneOfGroup(group) == r.node.settings.Zone {
			continue
		}
		list = append(list, &inner.RemoteOwner{
			Claim: &inner.Claim{
				Group: group, Token: v.token, Free: uint32(max(v.load.Free, 0)), Waiting: uint32(v.load.Waiting), Capacity: v.load.Capacity, Closed: v.load.Closed,
			},
			Incarnation: string(v.peer), AgeMs: uint32(clock.Since(v.reportedAt).Milliseconds()),
		})
	}
	return list
}

// handleRelayedOwners takes what a hub passes on of owners in other availability zones. What
// this instance heard itself lately goes before it.
func (r *router) handleRelayedOwners(owners []*inner.RemoteOwner) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range owners {
		c := o.GetClaim()
		heard := clock.Now().Add(-time.Duration(o.GetAgeMs()) * time.Millisecond)
		v := r.peerOwners[c.GetGroup()]
		if v != nil && (v.token > c.GetToken() || v.reportedAt.After(heard)) {
			continue
		}
		r.peerOwners[c.GetGroup()] = &peerOwner{
			peer: fate.Incarnation(o.GetIncarnation()), token: c.GetToken(), load: ownerLoad(c.GetGroup(), loadFromProto(c)), reportedAt: heard, relayed: true,
		}
	}
	for group, v := range r.peerOwners {
		if v.relayed && clock.Since(v.reportedAt) > relayedOwnerExpiry {
			delete(r.peerOwners, group)
		}
	}
}
