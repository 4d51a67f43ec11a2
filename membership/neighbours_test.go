package membership

import (
	"fmt"
	"testing"

	"github.com/sedgehatch/sedgehatch/fate"
)

// zoneOf returns the members of a zone, as many as count. The first of them, as many as large,
// have a large CPU share.
func zoneOf(zone string, count, large int) []Member {
	var list []Member
	for i := range count {
		m := Member{Name: fmt.Sprintf("%s-%d", zone, i), Zone: zone, CPUShare: 0.2}
		if i < large {
			m.CPUShare = 0.8
		}
		list = append(list, m)
	}
	return list
}

func without(list []Member, name string) []Member {
	var rest []Member
	for _, m := range list {
		if m.Name != name {
			rest = append(rest, m)
		}
	}
	return rest
}

// TestNeighboursSmall checks that in small zones all instances exchange heartbeats with each
// other.
func TestNeighboursSmall(t *testing.T) {
	all := append(zoneOf("a", 12, 2), zoneOf("b", 3, 0)...)
	for _, m := range all {
		n := NeighboursOf(m, without(all, m.Name), nil)
		if !n.IsHub || len(n.Near)+len(n.Far) != len(all)-1 || len(n.Spokes) > 0 {
			t.Errorf("%s is not a hub with all other instances as neighbours and no spokes: %+v", m.Name, n)
		}
		for name := range n.Near {
			if name[0] != m.Name[0] {
				t.Errorf("%s is a near neighbour of %s although their zones differ", name, m.Name)
			}
		}
	}
}

// TestNeighboursLarge checks the neighbours in a fleet of 4 zones with 75 instances and 34
// groups each. Each zone must have 17 hubs, one for two groups, all of them large instances, and
// if one instance is a neighbour of another, that one must be its neighbour too.
func TestNeighboursLarge(t *testing.T) {
	var all []Member
	groups := map[string]int{}
	for _, zone := range []string{"a", "b", "c", "d"} {
		all = append(all, zoneOf(zone, 75, 20)...)
		groups[zone] = 34
	}
	neighbours := map[string]Neighbours{}
	for _, m := range all {
		neighbours[m.Name] = NeighboursOf(m, without(all, m.Name), groups)
	}
	hubs := 0
	for _, m := range all {
		n := neighbours[m.Name]
		if n.HubCount != 17 {
			t.Fatalf("zone %s has %d hubs, want 17", m.Zone, n.HubCount)
		}
		if n.IsHub {
			hubs++
			if m.CPUShare < 0.8 {
				t.Errorf("%s is a hub although it is small", m.Name)
			}
			if len(n.Near) != 16 || len(n.Spokes) != 75-17 || len(n.Far) != 75-17+3*17 {
				t.Errorf("hub %s has %d near and %d far neighbours, want 16 and 109, of which 58 are spokes", m.Name, len(n.Near), len(n.Far))
			}
		} else if len(n.Near)+len(n.Far) != 17 {
			t.Errorf("spoke %s has %d neighbours, want the 17 hubs of its zone", m.Name, len(n.Near)+len(n.Far))
		}
		for _, o := range all {
			other := neighbours[o.Name]
			if n.Has(o.Name) != other.Has(m.Name) || n.Near[o.Name] != other.Near[m.Name] {
				t.Errorf("%s and %s disagree on whether they are neighbours, or near ones", m.Name, o.Name)
			}
		}
	}
	if hubs != 4*17 {
		t.Errorf("the fleet has %d hubs, want 17 in each of the 4 zones", hubs)
	}
}

// TestHubLost checks that when a hub is lost, the other hubs of its zone remain hubs and one
// instance becomes a hub in its place.
func TestHubLost(t *testing.T) {
	all := zoneOf("a", 40, 0)
	before := hubsOf(all, 0)
	after := hubsOf(without(all, before[3].Name), 0)
	kept := 0
	for _, b := range before {
		for _, a := range after {
			if a.Name == b.Name {
				kept++
			}
		}
	}
	if len(before) != minHubs || len(after) != minHubs || kept != minHubs-1 {
		t.Errorf("%d hubs before one is lost, %d after, %d of them in both; want 8, 8 and 7", len(before), len(after), kept)
	}
}

// TestMutuallyUnneededPeers lets four peers stop sending heartbeats. It checks that the peer with
// which heartbeats are needed in neither direction becomes Listed instead of Dead, and that a dead
// peer that is not a neighbour becomes Listed again after relistDeadMs.
func TestMutuallyUnneededPeers(t *testing.T) {
	table := NewTable(Config{SuspectMs: 100, DeadMs: 300, FarFactor: 2})
	table.SetListed([]Listing{{Instance: "near"}, {Instance: "far"}, {Instance: "unneeded"}, {Instance: "needing"}})
	table.SetNeighbours(&Neighbours{Near: map[string]bool{"near": true}, Far: map[string]bool{"far": true}})
	for _, incarnation := range []string{"near.1", "far.1", "unneeded.1", "needing.1"} {
		table.RecordHeartbeat(fate.Incarnation(incarnation), Heartbeat{Unwanted: incarnation == "unneeded.1"}, 0)
	}
	for _, step := range []struct {
		at   int64
		want map[string]State
	}{
		{150, map[string]State{"near": Suspect, "far": Alive, "unneeded": Alive, "needing": Alive}},
		{250, map[string]State{"near": Suspect, "far": Suspect, "unneeded": Listed, "needing": Suspect}},
		{350, map[string]State{"near": Dead, "far": Suspect, "unneeded": Listed, "needing": Suspect}},
		{650, map[string]State{"near": Dead, "far": Dead, "unneeded": Listed, "needing": Dead}},
		{relistDeadMs, map[string]State{"near": Dead, "far": Dead, "unneeded": Listed, "needing": Listed}},
	} {
		table.Tick(step.at)
		for name, want := range step.want {
			if got := table.State(name); got != want {
				t.Errorf("at %d ms the peer %s is %s, want %s", step.at, name, got, want)
			}
		}
	}
}
