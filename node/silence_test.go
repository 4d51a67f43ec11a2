package node

import (
	"net/http"
	"testing"
	"time"
)

// tokenOf returns the fencing token under which a group is owned.
func (cluster *testCluster) tokenOf(group string) uint64 {
	n := cluster.nodes[cluster.owner(group)]
	n.mu.Lock()
	defer n.mu.Unlock()
	if g := n.groups[group]; g != nil {
		return g.Token
	}
	return 0
}

// TestPeerConnectionsGoSilent makes the open connections between instances drop all data, while
// new ones work. No group may change its owner, since no peer is lost. A job with an open offer on
// such a connection has an unknown result, which its customer must be told soon.
func TestPeerConnectionsGoSilent(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	owner := cluster.owner("a/0")
	token, otherZoneToken := cluster.tokenOf("a/0"), cluster.tokenOf("b/0")
	coordinator := "a-1"
	if owner == coordinator {
		coordinator = "a-2"
	}
	id := cluster.newJobID()
	began := time.Now()
	response := cluster.submitAsync(coordinator, id, 2, 5000)
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	cluster.blackholePeerConnections()
	if status := <-response; status != http.StatusGatewayTimeout {
		t.Errorf("a job over a silent connection got status %d", status)
	}
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("a job over a silent connection got a response after %v", took)
	}
	cluster.waitUntil("the tasks of the job are stopped", func() bool { return !cluster.runs.IsRunning(id) })
	for name := range cluster.nodes {
		cluster.waitUntil(name+" has fresh loads of every owner", func() bool {
			loads := cluster.nodes[name].router.Loads()
			return len(loads) == 2 && loads[0].Age < maxLoadAge && loads[1].Age < maxLoadAge
		})
		cluster.mustComplete(name, 2, 20)
		cluster.mustComplete(name, 6, 20)
	}
	if cluster.tokenOf("a/0") != token || cluster.tokenOf("b/0") != otherZoneToken {
		t.Error("a group is owned under another token: it was taken again")
	}
}

// TestStoreConnectionsGoSilent makes every open connection to the store drop all data. A new
// version of the configuration must still be applied soon.
func TestStoreConnectionsGoSilent(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1")
	cluster.store.BlackholeOpenConnections()
	cluster.configure(2, "/checks/", "/more/")
	began := time.Now()
	cluster.waitUntil("the next version is applied", func() bool { return cluster.nodes["a-1"].config.Load().Version == 2 })
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("the next version was applied after %v", took)
	}
}

// TestUpstreamConnectionsGoSilent makes every open connection to an upstream drop all data. Jobs
// must still be completed.
func TestUpstreamConnectionsGoSilent(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	for range 3 {
		cluster.mustComplete("a-1", 2, 20)
	}
	for range 3 {
		cluster.upstreams[0].BlackholeOpenConnections()
		cluster.mustComplete("a-1", 2, 20)
	}
}

// TestZoneCutHeals makes two instances consider each other dead, as after a partition between
// their zones. They must find each other again, since they can reach each other.
func TestZoneCutHeals(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "b-1")
	a, b := cluster.nodes["a-1"], cluster.nodes["b-1"]
	markLost := func(n *Node, peer string) {
		n.mu.Lock()
		p := n.lastHeartbeat[peer]
		n.mu.Unlock()
		if p == nil {
			t.Fatalf("%s has no heartbeat of %s", n.settings.Name, peer)
		}
		n.mu.Lock()
		n.peers.Tick(n.uptimeMs() + time.Hour.Milliseconds())
		n.mu.Unlock()
		n.mesh.CloseConnections(cluster.nodes[peer].self)
	}
	markLost(a, "b-1")
	markLost(b, "a-1")
	for _, n := range []*Node{a, b} {
		cluster.waitUntil(n.settings.Name+" knows every owner", func() bool { return len(n.router.Loads()) == 2 })
	}
	cluster.waitUntil("the instances are neighbours", func() bool { return a.isNeighbour("b-1") && b.isNeighbour("a-1") })
}
