package node

import (
	"fmt"
	"testing"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/membership"
)

// newStartingFleet returns the instances of a fleet, all of which have just started and have read
// the list of instances. Five instances of each zone are large.
func newStartingFleet(zones, instances int) []*Node {
	listings := map[string]membership.Listing{}
	for i := range instances {
		zone := fmt.Sprintf("%c", 'a'+i%zones)
		share := 0.2
		if i/zones < 5 {
			share = 0.8
		}
		name := fmt.Sprintf("%s-%d", zone, i)
		listings[name] = membership.Listing{Instance: name, Zone: zone, CPUShare: share, Address: name}
	}
	var fleet []*Node
	for name, l := range listings {
		n := newIdleNode(name, l.Zone)
		n.settings.CPUShare = l.CPUShare
		for i := range zones {
			n.groupCounts[fmt.Sprintf("%c", 'a'+i)] = 4
		}
		n.setPeerList(listings)
		fleet = append(fleet, n)
	}
	return fleet
}

// TestReadersDoNotGrow starts all instances at once, as after a loss of power. No task starts
// before the owners have read the entries of all upstreams, and each other instance that reads
// them takes bandwidth of the store away from the owners. Therefore only the large instances,
// which may own groups, may read the entries, however many instances the fleet has.
func TestReadersDoNotGrow(t *testing.T) {
	const zones, largeOfZone = 6, 5
	for _, instances := range []int{100, 300, 1000} {
		readers, rareWatchers := 0, 0
		for _, n := range newStartingFleet(zones, instances) {
			n.startedAt = clock.Now()
			if n.upstreamFollowMode() != followNothing {
				readers++
			}
			if n.peerWatchWait() == spokeWatchWait {
				rareWatchers++
			}
		}
		if readers != zones*largeOfZone {
			t.Errorf("%d of %d instances read the upstreams at the start, want %d", readers, instances, zones*largeOfZone)
		}
		if rareWatchers > 0 {
			t.Errorf("%d of %d instances use long watches before they have received heartbeats, want none", rareWatchers, instances)
		}
	}
}

// TestReadersWithoutList checks that an instance whose store does not respond tries to read the
// upstreams after it has waited for the list of instances.
func TestReadersWithoutList(t *testing.T) {
	n := newIdleNode("a-1", "a")
	n.awaitPeerList()
	if n.upstreamFollowMode() != followContinuously {
		t.Error("the instance does not read the upstreams")
	}
}

// TestSpokesWatchRarely checks that a spoke with heartbeats from several hubs uses long watches,
// and one with heartbeats from few hubs does not.
func TestSpokesWatchRarely(t *testing.T) {
	cluster, hubs, spokes := newLargeTestCluster(t)
	spoke := cluster.nodes[spokes[0]]
	cluster.waitUntil("the spoke uses long watches", func() bool {
		return spoke.peerWatchWait() == spokeWatchWait && spoke.configWatchWait() == spokeWatchWait
	})
	if hub := cluster.nodes[hubs[0]]; hub.peerWatchWait() != hubPeerWatchWait {
		t.Error("a hub uses a long watch on the list of instances")
	}
	for _, name := range hubs[2:] {
		cluster.kill(name)
	}
	cluster.waitUntil("the spoke uses short watches or has become a hub", func() bool {
		return spoke.configWatchWait() == shortConfigWatchWait || spoke.upstreamFollowMode() != followNothing
	})
}
