package node

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/membership"

	"github.com/samber/lo"
)

// newLargeTestCluster returns a cluster with a zone that is large enough to have spokes, and a
// small zone. It also returns the hubs and spokes of the large zone.
func newLargeTestCluster(t *testing.T) (cluster *testCluster, hubs, spokes []string) {
	t.Helper()
	var names []string
	for i := range 16 {
		names = append(names, fmt.Sprintf("a-%02d", i))
	}
	cluster = newTestCluster(t, []string{"a", "b"}, 2, append(names, "b-1")...)
	cluster.describe = func() string { return describeZone(cluster, names) }
	cluster.waitUntil("the instances of the large zone agree on its hubs", func() bool {
		hubs, spokes = nil, nil
		for _, name := range names {
			n := cluster.nodes[name]
			n.mu.Lock()
			hub, count := n.neighbours.IsHub, n.neighbours.HubCount
			n.mu.Unlock()
			if hub {
				hubs = append(hubs, name)
			} else {
				spokes = append(spokes, name)
			}
			if count != 8 {
				return false
			}
		}
		return len(hubs) == 8
	})
	return cluster, hubs, spokes
}

// TestLargeZone checks that spokes exchange no heartbeats with each other. They must still know
// the owners in their own zone and in other zones, and complete jobs on the upstreams of both.
func TestLargeZone(t *testing.T) {
	cluster, _, spokes := newLargeTestCluster(t)
	first := cluster.nodes[spokes[0]]
	cluster.waitUntil("no other spoke and no other zone exchanges heartbeats with the spoke", func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		for _, other := range spokes[1:] {
			if first.peers.State(other) != membership.Listed {
				return false
			}
		}
		return first.peers.State("b-1") == membership.Listed
	})
	cluster.waitUntil("the owner of the other zone is known", func() bool { return len(first.router.Loads()) == 2 })
	cluster.mustComplete(spokes[0], 2, 20)
	cluster.mustComplete(spokes[0], 6, 20)
	cluster.waitUntil("the owner of the other zone is a neighbour", func() bool { return first.isNeighbour("b-1") })
	cluster.mustComplete("b-1", 6, 20)
}

// TestLargeZoneLosses kills the owner of the large zone's group while a job runs, and then a
// spoke that coordinates a job. In both cases the tasks must be stopped. Runs are not adopted.
func TestLargeZoneLosses(t *testing.T) {
	withoutAdoption(t, true, true)
	cluster, _, spokes := newLargeTestCluster(t)
	owner := cluster.owner("a/0")
	cluster.waitUntil("the coordinator knows the owner of its zone", func() bool {
		return slices.ContainsFunc(cluster.nodes[spokes[0]].router.Loads(), func(l ingress.OwnerLoad) bool { return l.Group == "a/0" && l.Free > 0 })
	})
	id := cluster.newJobID()
	response := cluster.submitAsync(spokes[0], id, 2, 5000) // runs in the coordinator's own zone first
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	cluster.kill(owner)
	if status := <-response; status != http.StatusGatewayTimeout {
		t.Errorf("the job on the killed owner got status %d", status)
	}
	cluster.waitUntil("the tasks of the job are stopped", func() bool { return !cluster.runs.IsRunning(id) })
	cluster.waitUntil("a job is completed again", func() bool {
		status, _ := cluster.submit(spokes[0], cluster.newJobID(), 2, 10)
		return status == http.StatusOK
	})
	id = cluster.newJobID()
	lostResponse := cluster.submitAsync(spokes[1], id, 4, 5000) // some of its tasks run in the other zone
	cluster.waitUntil("the job runs", func() bool {
		select {
		case status := <-lostResponse: // not all upstreams have accepted the next owner yet
			if status != http.StatusServiceUnavailable {
				t.Fatalf("the job got status %d before it ran", status)
			}
			id = cluster.newJobID()
			lostResponse = cluster.submitAsync(spokes[1], id, 4, 5000)
		default:
		}
		return cluster.runs.IsRunning(id)
	})
	cluster.kill(spokes[1])
	<-lostResponse
	cluster.waitUntil("the tasks of the job are stopped", func() bool { return !cluster.runs.IsRunning(id) })
}

// TestLargeZoneConfig checks that a spoke that does not reach the store gets a new version of
// the configuration from the hubs.
func TestLargeZoneConfig(t *testing.T) {
	cluster, _, spokes := newLargeTestCluster(t)
	n := cluster.nodes[spokes[0]]
	n.store.Close()
	cluster.configure(2, "/checks/")
	cluster.waitUntil("the version is applied", func() bool { return n.config.Load().Version == 2 })
}

// describeZone returns the neighbours of the instances of a zone, and the states of their
// peers.
func describeZone(cluster *testCluster, names []string) string {
	var b strings.Builder
	for _, name := range names {
		n := cluster.nodes[name]
		if n == nil {
			continue // it was killed
		}
		n.mu.Lock()
		fmt.Fprintf(&b, "%s: hub %v of %d, near %d, far %d;", name, n.neighbours.IsHub, n.neighbours.HubCount, len(n.neighbours.Near), len(n.neighbours.Far))
		states := map[membership.State]int{}
		for p := range n.peers.All() {
			states[p.State]++
		}
		fmt.Fprintf(&b, " %v, refusing %d\n", states, len(n.refusedAt))
		n.mu.Unlock()
	}
	return b.String()
}

// TestInUse checks which instances are active owners. An instance with an open offer is one,
// however long ago the offer was sent. An instance without one is an active owner for
// activeOwnerPeriod after the last offer was sent to it.
func TestInUse(t *testing.T) {
	r := newRouter(nil)
	now := clock.Now()
	r.openOffers[offerKey{group: "b/0"}] = &openOffer{peer: "long"}
	r.lastOfferAt["long"] = now.Add(-2 * activeOwnerPeriod)
	r.lastOfferAt["lately"] = now.Add(-activeOwnerPeriod / 2)
	r.lastOfferAt["before"] = now.Add(-2 * activeOwnerPeriod)
	active := r.activeOwners()
	for name, want := range map[string]bool{"long": true, "lately": true, "before": false} {
		if active[name] != want {
			t.Errorf("%s is an active owner: %v", name, active[name])
		}
	}
}

// TestStandbyReadsUpstreams checks that a standby instance, which owns no group because another one
// is larger, does not read each change of the upstreams. When it becomes their owner, it must read
// them all.
func TestStandbyReadsUpstreams(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1")
	cluster.startWithCPUShare("a-2", 0.1)
	small := cluster.nodes["a-2"]
	cluster.waitUntil("the smaller instance is a standby", func() bool { return small.upstreamFollowMode() == followPeriodically })
	if cluster.nodes["a-1"].upstreamFollowMode() != followContinuously {
		t.Error("the owner reads the upstreams only from time to time")
	}
	cluster.waitUntil("the smaller instance has read the upstreams", func() bool { return small.knowsUpstream("u-a-1") })
	cluster.addUpstream("u-a-new", "a")
	cluster.waitUntil("the owner knows the new upstream", func() bool { return cluster.nodes["a-1"].knowsUpstream("u-a-new") })
	if small.knowsUpstream("u-a-new") {
		t.Error("the standby instance has read the new upstream too")
	}
	cluster.kill("a-1")
	cluster.waitUntil("the smaller instance owns the group", func() bool { return cluster.owner("a/0") == "a-2" })
	cluster.waitUntil("the smaller instance knows the new upstream", func() bool { return small.knowsUpstream("u-a-new") })
	cluster.mustComplete("a-2", 2, 20)
}

func (n *Node) knowsUpstream(upstream string) bool {
	_, found := n.directory.Lookup(upstream)
	return found
}

// TestNeighboursAreKept checks that the neighbours are computed again if and only if their inputs
// have changed.
func TestNeighboursAreKept(t *testing.T) {
	n := newIdleNode("a-1", "a")
	listings := map[string]membership.Listing{}
	for i := range 40 {
		name := fmt.Sprintf("%c-%d", 'a'+i%2, i+1)
		listings[name] = membership.Listing{Instance: name, Zone: zoneOfInstance(name), CPUShare: 0.4, Address: name}
	}
	check := func(what string, change func(), want bool) {
		t.Helper()
		before := n.neighbours
		change()
		n.updateNeighboursLocked(n.router.activeOwners())
		if (n.neighbours != before) != want {
			t.Errorf("%s: the neighbours are computed again: %v, want %v", what, !want, want)
		}
	}
	check("instances are listed", func() { n.peers.SetListed(lo.Values(listings)) }, true)
	check("nothing changes", func() {}, false)
	check("a heartbeat arrives", func() { n.peers.RecordHeartbeat("a-3.1", membership.Heartbeat{}, 1) }, false)
	check("an instance is dead", func() { n.peers.MarkEnded("a-3.1") }, true)
	check("an instance refuses a connection", func() { n.refusedAt["a-5"] = clock.Now() }, true)
	check("the number of groups of a zone is set", func() { n.groupCounts["a"] = 30 }, true)
	check("an owner becomes active", func() { n.router.lastOfferAt["b-2"] = clock.Now() }, true)
	check("the same owner is active", func() { n.router.lastOfferAt["b-2"] = clock.Now() }, false)
}
