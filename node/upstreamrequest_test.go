package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/platform/standin"
	"github.com/sedgehatch/sedgehatch/soak"
)

// startBehindProxy starts an instance that reaches the store through a proxy.
func (cluster *testCluster) startBehindProxy(name string) (*Node, *soak.Proxy) {
	cluster.t.Helper()
	proxy, err := soak.NewProxy(cluster.store.Address)
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.t.Cleanup(proxy.Close)
	settings := cluster.settings(name)
	settings.StoreAddress = proxy.Address
	return cluster.startWithSettings(settings), proxy
}

// waitUntilOneTask waits until an instance knows that an upstream has a capacity of one task.
func (cluster *testCluster) waitUntilOneTask(name, upstream string) {
	cluster.t.Helper()
	cluster.waitUntil(name+" knows that "+upstream+" has shrunk", func() bool {
		u, _ := cluster.nodes[name].directory.Lookup(upstream)
		return u.Capacity.MilliCPU == taskSize
	})
}

// TestShrunkWhilePeerWasAway guards against an owner that goes by a former capacity: the store does
// not serve it, and its only peer was not running when the capacity changed, so that the peer has
// no change to report. The same must hold for the next change while the first one is still
// reported, and for a peer that learns of it while both are running.
func TestShrunkWhilePeerWasAway(t *testing.T) {
	for _, mode := range map[string]soak.Mode{"silent": soak.Hold, "reset": soak.Reset} {
		cluster := newTestCluster(t, []string{"b"}, 1, "b-1")
		shrinking := cluster.addUpstream("u-a-0", "a")
		owner, store := cluster.startBehindProxy("a-1")
		cluster.waitUntil("a-1 owns the group of its zone", func() bool {
			groups := owner.ownedGroups()
			return len(groups) == 1 && groups[0].Name == "a/0"
		})
		cluster.waitUntil("the groups are completely owned", func() bool { return len(owner.router.Loads()) == 2 })
		cluster.kill("b-1")
		store.SetMode(mode)
		shrinking.Resize(fleet.Resources{MilliCPU: taskSize, MemoryMB: 1000}, 0)
		cluster.start("b-1")
		cluster.waitUntilOneTask("b-1", "u-a-0")
		cluster.waitUntilOneTask("a-1", "u-a-0")
		cluster.waitUntil("the group has the new capacity", func() bool {
			groups := owner.ownedGroups()
			return len(groups) > 0 && groups[0].Load().Capacity == taskSize
		})
	}
}

// TestUpstreamsForOwner checks which upstreams an instance provides to a peer: those of the
// requested groups, and only if it has read the list more recently than the peer.
func TestUpstreamsForOwner(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 3, "a-1")
	cluster.addUpstream("u-b-0", "b")
	n := cluster.nodes["a-1"]
	cluster.waitUntil("the upstreams are read", func() bool { return n.upstreamListAge() < time.Minute })
	ask := func(request *inner.UpstreamsRequest) (upstreams int, err error) {
		n.replyWithUpstreams(request, func(f *inner.Frame) {
			upstreams = len(f.GetUpstreamsReply().GetUpstreams())
			if p := f.GetProblem(); p != nil {
				err = inner.ToError(p)
			}
		})
		return upstreams, err
	}
	for name, c := range map[string]struct {
		request *inner.UpstreamsRequest
		want    int
	}{
		"a zone":              {&inner.UpstreamsRequest{Zone: "a"}, 3},
		"a group of the zone": {&inner.UpstreamsRequest{Zone: "a", Groups: []string{"a/0"}, AgeMs: 60_000}, 3},
		"another group":       {&inner.UpstreamsRequest{Zone: "a", Groups: []string{"a/1"}, AgeMs: 60_000}, 0},
	} {
		if got, err := ask(c.request); got != c.want || err != nil {
			t.Errorf("%s: %d upstreams, error %v; want %d", name, got, err, c.want)
		}
	}
	cluster.store.SetFault(standin.ConnectionReset, 0)
	cluster.waitUntil("a peer with a newer list gets none", func() bool {
		got, err := ask(&inner.UpstreamsRequest{Zone: "a", Groups: []string{"a/0"}, AgeMs: 1})
		return got == 0 && failure.Is(err, failure.NotFound)
	})
}

// TestReplacedWithoutStore shuts down the instances of a zone as planned, one after the other, and
// starts a new one for each, while the store is unavailable. Each new instance must get the
// upstreams from a peer that knows them, and jobs must be completed all the time.
func TestReplacedWithoutStore(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
	cluster.store.SetFault(standin.ConnectionReset, 0)
	for _, name := range []string{"a-1", "a-2"} {
		other := map[string]string{"a-1": "a-2", "a-2": "a-1"}[name]
		old := cluster.nodes[name]
		delete(cluster.nodes, name)
		stopped := make(chan struct{})
		go func() { old.Stop(); old.Close(); close(stopped) }()
		cluster.waitUntil(other+" completes a job alone", func() bool {
			status, _ := cluster.submit(other, cluster.newJobID(), 1, 10)
			return status == http.StatusOK
		})
		<-stopped
		cluster.startWithSeed(name, other)
		cluster.waitUntil(name+" knows the upstreams", func() bool { return cluster.nodes[name].directory.Synced() })
		cluster.waitUntil(name+" completes a job", func() bool {
			status, _ := cluster.submit(name, cluster.newJobID(), 2, 10)
			return status == http.StatusOK
		})
	}
	if cluster.store.Calls("kv-range") == 0 {
		t.Error("no instance tried to read from the store")
	}
}
