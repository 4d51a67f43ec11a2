package node

import (
	"net/http"
	"testing"
	"time"
)

// tokenOf returns the fencing token of a group's owner.
func (cluster *testCluster) tokenOf(group string) uint64 {
	n := cluster.nodes[cluster.owner(group)]
	n.mu.Lock()
	defer n.mu.Unlock()
	if g := n.groups[group]; g != nil {
		return g.Token
	}
	return 0
}

// TestPeerConnectionsGoSilent: the open connections between instances go silent
// while new ones work. No peer is taken for lost, no group changes hands, and a
// job whose answer was under way there is answered soon.
func TestPeerConnectionsGoSilent(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	owner := cluster.owner("a/0")
	token, away := cluster.tokenOf("a/0"), cluster.tokenOf("b/0")
	coordinator := "a-1"
	if owner == coordinator {
		coordinator = "a-2"
	}
	id := cluster.newJobID()
	began := time.Now()
	lost := cluster.submitAsync(coordinator, id, 2, 5000)
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	cluster.blackholePeerConnections()
	if status := <-lost; status != http.StatusGatewayTimeout {
		t.Errorf("a job over a silent connection was answered %d", status)
	}
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("a job over a silent connection was answered after %v", took)
	}
	cluster.waitUntil("its tasks are stopped", func() bool { return !cluster.runs.IsRunning(id) })
	for name := range cluster.nodes {
		cluster.waitUntil(name+" hears every owner", func() bool {
			loads := cluster.nodes[name].router.Loads()
			return len(loads) == 2 && loads[0].Age < maxLoadAge && loads[1].Age < maxLoadAge
		})
		cluster.mustComplete(name, 2, 20)
		cluster.mustComplete(name, 6, 20)
	}
	if cluster.tokenOf("a/0") != token || cluster.tokenOf("b/0") != away {
		t.Error("a group has changed hands")
	}
}

// TestStoreConnectionsGoSilent: a new version is in force soon though every open
// connection to the store has gone silent.
func TestStoreConnectionsGoSilent(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1")
	cluster.store.BlackholeOpen()
	cluster.configure(2, "/checks/", "/more/")
	began := time.Now()
	cluster.waitUntil("the next version is in force", func() bool { return cluster.nodes["a-1"].config.Load().Version == 2 })
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
}

// TestUpstreamConnectionsGoSilent: jobs go on though every open connection to an
// upstream has gone silent.
func TestUpstreamConnectionsGoSilent(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	for range 3 {
		cluster.mustComplete("a-1", 2, 20)
	}
	for range 3 {
		cluster.upstreams[0].BlackholeOpen()
		cluster.mustComplete("a-1", 2, 20)
	}
}

// TestZoneCutHeals: instances that took each other for lost find each other once
// they can be reached again.
func TestZoneCutHeals(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "b-1")
	a, b := cluster.nodes["a-1"], cluster.nodes["b-1"]
	lost := func(n *Node, peer string) {
		n.mu.Lock()
		p := n.lastHeartbeat[peer]
		n.mu.Unlock()
		if p == nil {
			t.Fatalf("%s has never heard %s", n.settings.Name, peer)
		}
		n.mu.Lock()
		n.peers.Tick(n.uptimeMs() + time.Hour.Milliseconds())
		n.mu.Unlock()
		n.mesh.Sever(cluster.nodes[peer].self)
	}
	lost(a, "b-1")
	lost(b, "a-1")
	for _, n := range []*Node{a, b} {
		cluster.waitUntil(n.settings.Name+" hears every owner", func() bool { return len(n.router.Loads()) == 2 })
	}
	cluster.waitUntil("they are neighbours", func() bool { return a.isNeighbour("b-1") && b.isNeighbour("a-1") })
}
