package node

import (
	"testing"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/membership"
)

// TestBetterOwner checks that a hub hands over a group only to a much larger instance, or to one
// that owns at least two groups fewer. That the group is assigned to the other instance is not
// enough.
func TestBetterOwner(t *testing.T) {
	for name, c := range map[string]struct {
		share    float64
		claims   int
		own      int
		assigned int
		want     bool
	}{
		"the only group, equal sizes":       {0.4, 0, 1, 0, false},
		"the only group, much larger":       {0.8, 0, 1, 0, true},
		"four groups, the peer has none":    {0.4, 0, 4, 2, true},
		"three groups, the peer has one":    {0.4, 1, 3, 2, true},
		"two groups each":                   {0.4, 2, 2, 2, false},
		"one more than the peer":            {0.4, 1, 2, 1, false},
		"as many as assigned, not more":     {0.4, 0, 2, 2, false},
		"much larger, and owns many itself": {0.8, 3, 1, 0, true},
	} {
		n := &Node{settings: fleet.Instance{Name: "self", CPUShare: 0.4}, neighbours: &membership.Neighbours{IsHub: true}, groups: map[string]*ownedGroup{}, lastHeartbeat: map[string]*inner.Presence{}}
		for i := range c.own {
			n.groups[groupName("a", i)] = &ownedGroup{}
		}
		owners := map[string]string{}
		for i := range c.assigned {
			owners[groupName("a", i)] = "self"
		}
		p := &inner.Presence{Share: c.share}
		for range c.claims {
			p.Claims = append(p.Claims, &inner.Claim{})
		}
		n.lastHeartbeat["peer"] = p
		if got := n.isBetterOwner("peer", owners); got != c.want {
			t.Errorf("%s: isBetterOwner returned %v, want the opposite", name, got)
		}
	}
}
