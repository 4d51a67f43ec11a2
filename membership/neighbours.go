package membership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// In a small availability zone every instance exchanges heartbeats with each
// other. A larger one has hubs: they may own groups, hear all instances of the
// zone and the hubs of other zones, and pass on what they know. The others hear
// only the hubs of their zone, so that what an instance sends does not grow with
// the square of the fleet.

const (
	// smallZone is how many instances a zone may have in which all are hubs.
	smallZone = 12
	// minHubs is how many hubs a larger zone has at least: several may be lost
	// at once.
	minHubs = 8
	// groupsPerHub is how many groups a hub is expected to own: about as many as
	// the large instances of the grown sites do.
	groupsPerHub = 2
)

// Member is an instance that may be a neighbour.
type Member struct {
	Name     string
	Zone     string
	CPUShare float64 // of a processor; 0 if not known
}

// Neighbours are the instances that one exchanges heartbeats with.
type Neighbours struct {
	IsHub bool            // the instance itself is a hub
	Near  map[string]bool // hubs of the same zone, for a hub
	Far   map[string]bool // the others
	// Spokes are the instances of the own zone that are no hubs, for a hub.
	Spokes map[string]bool
	// Rank is the place of a hub among those of its zone, from 0, and HubCount how
	// many there are.
	Rank, HubCount int
}

// Has reports whether an instance is a neighbour.
func (n *Neighbours) Has(name string) bool { return n.Near[name] || n.Far[name] }

// NeighboursOf returns the neighbours of an instance among others. Groups is how many
// groups each zone has.
func NeighboursOf(self Member, others []Member, groups map[string]int) Neighbours {
	zones := lo.GroupBy(append(slices.Clone(others), self), func(m Member) string { return m.Zone })
	n := Neighbours{Near: map[string]bool{}, Far: map[string]bool{}, Spokes: map[string]bool{}}
	own := hubsOf(zones[self.Zone], groups[self.Zone])
	n.HubCount = len(own)
	n.Rank = slices.IndexFunc(own, func(m Member) bool { return m.Name == self.Name })
	n.IsHub = n.Rank >= 0
	if !n.IsHub {
		for _, m := range own {
			n.Far[m.Name] = true
		}
		return n
	}
	n.addZone(self, own, zones[self.Zone])
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

// addZone adds the instances of a hub's own zone.
func (n *Neighbours) addZone(self Member, hubs, members []Member) {
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

// hubsOf returns the hubs of a zone: the largest instances, those of one size in
// an order that hardly changes as instances come and go.
func hubsOf(members []Member, groups int) []Member {
	ranked := slices.SortedFunc(slices.Values(members), func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.CPUShare, a.CPUShare), cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), cmp.Compare(a.Name, b.Name))
	})
	if len(ranked) <= smallZone {
		return ranked
	}
	needed := (groups + groupsPerHub - 1) / groupsPerHub
	return ranked[:min(max(needed, minHubs), len(ranked))]
}
