package node

import (
	"net/http"
	"testing"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

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
