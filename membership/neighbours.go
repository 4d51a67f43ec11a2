package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// In a small availability zone every instance exchanges heartbeats with every other
// instance. In a larger zone some instances are hubs. Only hubs may own groups. A hub
// exchanges heartbeats with all instances of its zone and with the hubs of other zones, and
// relays what it has received. The other instances, the spokes, exchange heartbeats only
// with the hubs of their zone, so that the number of heartbeats does not grow with the
// square of the number of instances.

const (
	// maxFullMeshZone is the largest number of instances in a zone for which all of them
	// are hubs.
	maxFullMeshZone = 12
	// minHubs is the smallest number of hubs of a larger zone. Several hubs may fail at
	// the same time.
	minHubs = 8
	// groupsPerHub is the number of groups that a hub is expected to own: about as many
	// as the large instances own in installations that have grown.
	groupsPerHub = 2
)

// Member is an instance that NeighboursOf considers.
type Member struct {
	Name     string
	Zone     string
	CPUShare float64 // fraction of a core; 0 if unknown
}

// Neighbours are the instances with which an instance exchanges heartbeats.
type Neighbours struct {
	IsHub bool            // whether the instance itself is a hub
	Near  map[string]bool // if the instance is a hub, the other hubs of its zone
	Far   map[string]bool // all other neighbours
	// Spokes are the instances of a hub's zone that are not hubs. They are also in Far.
	Spokes map[string]bool
	// Rank is the position of a hub among the hubs of its zone, from 0; it is -1 for
	// other instances. HubCount is the number of hubs of the zone.
	Rank, HubCount int
}

// Has reports whether an instance is a neighbour.
func (n *Neighbours) Has(name string) bool { return n.Near[name] || n.Far[name] }

// NeighboursOf returns the neighbours of self among others. The map groups holds the number
// of groups of each zone.
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

// addOwnZone adds the instances in the zone of a hub.
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

// hubsOf returns the hubs of a zone: the instances with the largest CPU shares. Among equal
// ones a hash of the name decides, so that few hubs change as instances join and leave.
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
