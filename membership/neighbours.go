package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// In a small availability zone all instances are hubs. In a larger zone only some are, so
// that the number of heartbeats does not grow with the square of the number of instances:
//   - A hub exchanges heartbeats with all instances of its zone and with the hubs of other
//     zones, and relays what it has received. Only hubs may own groups.
//   - A spoke, which is any other instance, exchanges heartbeats only with the hubs of its
//     zone.

const (
	// maxFullMeshZone is the largest size of a zone, in instances, in which all instances
	// are hubs.
	maxFullMeshZone = 12
	// minHubs is the smallest number of hubs in a larger zone. Hubs must remain if several
	// of them fail at the same time.
	minHubs = 8
	// A larger zone has one hub per groupsPerHub groups, but at least minHubs. The large
	// instances own about so many groups each in installations that have grown.
	groupsPerHub = 2
)

// Member describes an instance to NeighboursOf.
type Member struct {
	Name     string
	Zone     string
	CPUShare float64 // fraction of a core; 0 if unknown
}

// Neighbours are the instances with which an instance exchanges heartbeats.
type Neighbours struct {
	IsHub bool            // whether the instance itself is a hub
	Near  map[string]bool // the other hubs of its zone, if the instance is a hub; empty otherwise
	Far   map[string]bool // all other neighbours; heartbeats to them are sent less often
	// Spokes are the spokes of its zone, if the instance is a hub. They are also in Far.
	Spokes map[string]bool
	// Rank is the position of the instance among the hubs of its zone, counted from 0. It
	// is -1 for a spoke. HubCount is the number of hubs in the zone.
	Rank, HubCount int
}

// Has reports whether an instance is a neighbour.
func (n *Neighbours) Has(name string) bool { return n.Near[name] || n.Far[name] }

// NeighboursOf returns the neighbours of self, which are chosen among others. The map groups
// holds the number of groups in each zone.
func NeighboursOf(self Member, others []Member, groups map[string]int) Neighbours {
	zones := lo.GroupBy(append(slices.Clone(others), self), func(m Member) string { return m.Zone })
	n := Neighbours{Near: map[string]bool{}, Far: map[string]bool{}, Spokes: map[string]bool{}}
	ownHubs := hubsOf(zones[self.Zone], groups[self.Zone])
	n.HubCount = len(ownHubs)
	n.Rank = slices.IndexFunc(ownHubs, func(m Member) bool { return m.Name == self.Name })
	n.IsHub = n.Rank >= 0
	if !n.IsHub {
		for _, m := range ownHubs {
			n.Far[m.Name] = true
		}
		return n
	}
	n.addOwnZone(self, ownHubs, zones[self.Zone])
	for zone, members := range zones {
		if zone == self.Zone {
			continue
		}
		for _, m := range hubsOf(members, groups[zone]) {
			n.Far[m.Name] = true
		}
	}
	return n
}

// addOwnZone adds the neighbours that the hub self has in its own zone, given the hubs and all
// members of the zone.
func (n *Neighbours) addOwnZone(self Member, hubs, members []Member) {
	for _, m := range hubs {
		if m.Name != self.Name {
			n.Near[m.Name] = true
		}
	}
	for _, m := range members {
		if m.Name != self.Name && !n.Near[m.Name] {
			n.Far[m.Name] = true
			n.Spokes[m.Name] = true
		}
	}
}

// hubsOf returns the hubs of a zone: the members with the largest CPU shares. Between members
// with equal shares a hash of their names decides, so that few hubs change when instances join
// or leave.
func hubsOf(members []Member, groups int) []Member {
	ranked := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	if len(ranked) <= maxFullMeshZone {
		return ranked
	}
	needed := (groups + groupsPerHub - 1) / groupsPerHub
	return ranked[:min(max(needed, minHubs), len(ranked))]
}
