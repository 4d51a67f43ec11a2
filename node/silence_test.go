package node

import (
	"net/http"
	"testing"
	"time"
)

// tokenOf returns the fencing token of a group's owner.
func (in *installation) tokenOf(group string) uint64 {
	n := in.nodes[in.owner(group)]
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
	in := newInstallation(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	owner := in.owner("a/0")
	token, away := in.tokenOf("a/0"), in.tokenOf("b/0")
	coordinator := "a-1"
	if owner == coordinator {
		coordinator = "a-2"
	}
	id := in.newID()
	began := time.Now()
	lost := in.background(coordinator, id, 2, 5000)
	in.until("the job runs", func() bool { return in.ledger.IsRunning(id) })
	in.silencePeers()
	if status := <-lost; status != http.StatusGatewayTimeout {
		t.Errorf("a job over a silent connection was answered %d", status)
	}
	if took := time.Since(began); took > 4*time.Second {
		t.Errorf("a job over a silent connection was answered after %v", took)
	}
	in.until("its tasks are stopped", func() bool { return !in.ledger.IsRunning(id) })
	for name := range in.nodes {
		in.until(name+" hears every owner", func() bool {
			loads := in.nodes[name].router.Loads()
			return len(loads) == 2 && loads[0].Age < maxLoadAge && loads[1].Age < maxLoadAge
		})
		in.want(name, 2, 20)
		in.want(name, 6, 20)
	}
	if in.tokenOf("a/0") != token || in.tokenOf("b/0") != away {
		t.Error("a group has changed hands")
	}
}

// TestStoreConnectionsGoSilent: a new version is in force soon though every open
// connection to the store has gone silent.
func TestStoreConnectionsGoSilent(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 2, "a-1")
	in.store.BlackholeOpen()
	in.configure(2, "/checks/", "/more/")
	began := time.Now()
	in.until("the next version is in force", func() bool { return in.nodes["a-1"].config.Load().Version == 2 })
	if took := time.Since(began); took > 5*time.Second {
		t.Errorf("it took %v", took)
	}
}

// TestUpstreamConnectionsGoSilent: jobs go on though every open connection to an
// upstream has gone silent.
func TestUpstreamConnectionsGoSilent(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 1, "a-1")
	for range 3 {
		in.want("a-1", 2, 20)
	}
	for range 3 {
		in.upstreams[0].BlackholeOpen()
		in.want("a-1", 2, 20)
	}
}

// TestZoneCutHeals: instances that took each other for lost find each other once
// they can be reached again.
func TestZoneCutHeals(t *testing.T) {
	in := newInstallation(t, []string{"a", "b"}, 2, "a-1", "b-1")
	a, b := in.nodes["a-1"], in.nodes["b-1"]
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
		n.mesh.CloseConnections(in.nodes[peer].self)
	}
	lost(a, "b-1")
	lost(b, "a-1")
	for _, n := range []*Node{a, b} {
		in.until(n.settings.Name+" hears every owner", func() bool { return len(n.router.Loads()) == 2 })
	}
	in.until("they are neighbours", func() bool { return a.isNeighbour("b-1") && b.isNeighbour("a-1") })
}
