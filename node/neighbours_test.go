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

// newLargeTestCluster has a zone in which not all instances are hubs, and a small
// one beside it.
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

// TestLargeZone: instances that are no hubs do not hear each other, know the
// owners of their own and of other zones, and serve with both.
func TestLargeZone(t *testing.T) {
	cluster, _, spokes := newLargeTestCluster(t)
	first := cluster.nodes[spokes[0]]
	cluster.waitUntil("no spoke hears another", func() bool {
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
	cluster.waitUntil("its connection to the owner of the other zone is in use", func() bool { return first.isNeighbour("b-1") })
	cluster.mustComplete("b-1", 6, 20)
}

// TestLargeZoneLosses loses the owner of the large zone, then a coordinator that
// is no hub.
func TestLargeZoneLosses(t *testing.T) {
	cluster, _, spokes := newLargeTestCluster(t)
	owner := cluster.owner("a/0")
	cluster.waitUntil("the coordinator knows the owner of its zone", func() bool {
		return slices.ContainsFunc(cluster.nodes[spokes[0]].router.Loads(), func(l ingress.OwnerLoad) bool { return l.Group == "a/0" && l.Free > 0 })
	})
	id := cluster.newJobID()
	lost := cluster.submitAsync(spokes[0], id, 2, 5000) // its own zone goes first
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	cluster.kill(owner)
	if status := <-lost; status != http.StatusGatewayTimeout {
		t.Errorf("the job of the lost owner was answered %d", status)
	}
	cluster.waitUntil("the job's tasks are stopped", func() bool { return !cluster.runs.IsRunning(id) })
	cluster.waitUntil("work is done again", func() bool {
		status, _ := cluster.submit(spokes[0], cluster.newJobID(), 2, 10)
		return status == http.StatusOK
	})
	id = cluster.newJobID()
	cut := cluster.submitAsync(spokes[1], id, 4, 5000) // some of it in the other zone
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	cluster.kill(spokes[1])
	<-cut
	cluster.waitUntil("its tasks are stopped", func() bool { return !cluster.runs.IsRunning(id) })
}

// TestLargeZoneConfig: an instance that is no hub and does not reach the store
// hears of a version from the hubs.
func TestLargeZoneConfig(t *testing.T) {
	cluster, _, spokes := newLargeTestCluster(t)
	n := cluster.nodes[spokes[0]]
	n.store.Close()
	cluster.configure(2, "/checks/")
	cluster.waitUntil("the version has come", func() bool { return n.config.Load().Version == 2 })
}

// describeZone tells what the instances of a zone believe of each other.
func describeZone(cluster *testCluster, names []string) string {
	var b strings.Builder
	for _, name := range names {
		n := cluster.nodes[name]
		n.mu.Lock()
		fmt.Fprintf(&b, "%s: hub %v of %d, near %d, far %d;", name, n.neighbours.IsHub, n.neighbours.HubCount, len(n.neighbours.Near), len(n.neighbours.Far))
		states := map[membership.State]int{}
		for p := range n.peers.All() {
			states[p.State]++
		}
		fmt.Fprintf(&b, " %v, absent %d\n", states, len(n.refusedAt))
		n.mu.Unlock()
	}
	return b.String()
}

// TestInUse: an instance that still has an offer is a neighbour, however long ago
// it was sent; one whose offers have ended is one for a while.
func TestInUse(t *testing.T) {
	r := newRouter(nil)
	now := clock.Now()
	r.openOffers[offerKey{group: "b/0"}] = &openOffer{peer: "long"}
	r.lastOfferAt["long"] = now.Add(-2 * activeOwnerPeriod)
	r.lastOfferAt["lately"] = now.Add(-activeOwnerPeriod / 2)
	r.lastOfferAt["before"] = now.Add(-2 * activeOwnerPeriod)
	used := r.activeOwners()
	for name, want := range map[string]bool{"long": true, "lately": true, "before": false} {
		if used[name] != want {
			t.Errorf("%s in use: %v", name, used[name])
		}
	}
}

// TestStandbyReadsUpstreams: an instance that stands by for a larger one does not
// read each change of the upstreams, but reads them all when it has to own them.
func TestStandbyReadsUpstreams(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1")
	cluster.startWithCPUShare("a-2", 0.1)
	small := cluster.nodes["a-2"]
	cluster.waitUntil("the smaller one stands by", func() bool { return small.upstreamFollowMode() == followPeriodically })
	if cluster.nodes["a-1"].upstreamFollowMode() != followContinuously {
		t.Error("the owner reads the upstreams only from time to time")
	}
	cluster.waitUntil("it has read them", func() bool { return small.knowsUpstream("u-a-1") })
	cluster.addUpstream("u-a-new", "a")
	cluster.waitUntil("the owner knows the new one", func() bool { return cluster.nodes["a-1"].knowsUpstream("u-a-new") })
	if small.knowsUpstream("u-a-new") {
		t.Error("the smaller one has read it too")
	}
	cluster.kill("a-1")
	cluster.waitUntil("the smaller one owns the group", func() bool { return cluster.owner("a/0") == "a-2" })
	cluster.waitUntil("it knows the new one", func() bool { return small.knowsUpstream("u-a-new") })
	cluster.mustComplete("a-2", 2, 20)
}

// knowsUpstream reports whether an instance knowsUpstream an upstream.
func (n *Node) knowsUpstream(upstream string) bool {
	_, known := n.directory.Lookup(upstream)
	return known
}

// TestNeighboursAreKept: who the neighbours are is worked out when what they follow
// from changes, and not in each beat.
func TestNeighboursAreKept(t *testing.T) {
	n := newIdleNode("a-1", "a")
	known := map[string]membership.Listing{}
	for i := range 40 {
		name := fmt.Sprintf("%c-%d", 'a'+i%2, i+1)
		known[name] = membership.Listing{Instance: name, Zone: zoneOfInstance(name), CPUShare: 0.4, Address: name}
	}
	change := func(what string, input func(), want bool) {
		t.Helper()
		before := n.neighbours
		input()
		n.updateNeighboursLocked(n.router.activeOwners())
		if (n.neighbours != before) != want {
			t.Errorf("%s: worked out anew %v, want %v", what, !want, want)
		}
	}
	change("instances are listed", func() { n.peers.SetListed(lo.Values(known)) }, true)
	change("nothing", func() {}, false)
	change("a heartbeat", func() { n.peers.RecordHeartbeat("a-3.1", membership.Heartbeat{}, 1) }, false)
	change("an instance is lost", func() { n.peers.MarkEnded("a-3.1") }, true)
	change("another does not run", func() { n.refusedAt["a-5"] = clock.Now() }, true)
	change("the groups of a zone are counted", func() { n.groupCounts["a"] = 30 }, true)
	change("an owner is in use", func() { n.router.lastOfferAt["b-2"] = clock.Now() }, true)
	change("it still is", func() { n.router.lastOfferAt["b-2"] = clock.Now() }, false)
}
