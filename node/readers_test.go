package node

import (
	"fmt"
	"testing"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/membership"
)

// newStartingFleet returns the instances of a fleet that have just started and read the list of
// all. Each availability zone has five large ones.
func newStartingFleet(zones, instances int) []*Node {
	known := map[string]membership.Listing{}
	for i := range instances {
		zone := fmt.Sprintf("%c", 'a'+i%zones)
		share := 0.2
		if i/zones < 5 {
			share = 0.8
		}
		name := fmt.Sprintf("%s-%d", zone, i)
		known[name] = membership.Listing{Instance: name, Zone: zone, CPUShare: share, Address: name}
	}
	var fleet []*Node
	for name, l := range known {
		n := newIdleNode(name, l.Zone)
		n.settings.CPUShare = l.CPUShare
		for i := range zones {
			n.groupCounts[fmt.Sprintf("%c", 'a'+i)] = 4
		}
		n.setPeerList(known)
		fleet = append(fleet, n)
	}
	return fleet
}

// TestReadersDoNotGrow: all instances start at once, as after a loss of power. The entries of
// all upstreams go over the store's link once for each instance that reads them, and nothing
// starts before its owner has. So only those read them that may own groups, however many
// instances there are.
func TestReadersDoNotGrow(t *testing.T) {
	const zones, largeOfZone = 6, 5
	for _, instances := range []int{100, 300, 1000} {
		readers, rare := 0, 0
		for _, n := range newStartingFleet(zones, instances) {
			n.startedAt = clock.Now()
			if n.upstreamFollowMode() != followNothing {
				readers++
			}
			if n.peerWatchWait() == spokeWatchWait {
				rare++
			}
		}
		if readers != zones*largeOfZone {
			t.Errorf("%d of %d instances read the upstreams at the start, want %d", readers, instances, zones*largeOfZone)
		}
		if rare > 0 {
			t.Errorf("%d of %d instances watch the store rarely before they hear anybody", rare, instances)
		}
	}
}

// TestReadersWithoutList: an instance whose store does not answer reads the upstreams once it
// has waited for the list of instances.
func TestReadersWithoutList(t *testing.T) {
	n := newIdleNode("a-1", "a")
	n.awaitPeerList()
	if n.upstreamFollowMode() != followContinuously {
		t.Error("it does not read the upstreams")
	}
}

// TestSpokesWatchRarely: an instance that hears several hubs leaves its watches open for
// long, one that hears few does not.
func TestSpokesWatchRarely(t *testing.T) {
	cluster, hubs, spokes := newLargeTestCluster(t)
	spoke := cluster.nodes[spokes[0]]
	cluster.waitUntil("the spoke hears hubs", func() bool {
		return spoke.peerWatchWait() == spokeWatchWait && spoke.configWatchWait() == spokeWatchWait
	})
	if hub := cluster.nodes[hubs[0]]; hub.peerWatchWait() != hubPeerWatchWait {
		t.Error("a hub watches the list of instances rarely")
	}
	for _, name := range hubs[2:] {
		cluster.kill(name)
	}
	cluster.waitUntil("it watches closely", func() bool {
		return spoke.configWatchWait() == shortConfigWatchWait || spoke.upstreamFollowMode() != followNothing
	})
}
