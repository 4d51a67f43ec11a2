package node

import (
	"net/http"
	"testing"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// TestReplacedWithoutStore: the store does not answer while all instances of an availability
// zone are replaced in turn, each by a planned stop. A new one learns the upstreams from one
// that has read them, and the zone is served all the while.
func TestReplacedWithoutStore(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 2, "a-1", "a-2")
	in.store.SetFault(standin.ConnectionReset, 0)
	for _, name := range []string{"a-1", "a-2"} {
		other := map[string]string{"a-1": "a-2", "a-2": "a-1"}[name]
		old := in.nodes[name]
		delete(in.nodes, name)
		stopped := make(chan struct{})
		go func() { old.Stop(); old.Close(); close(stopped) }()
		in.until(other+" serves alone", func() bool { status, _ := in.submit(other, in.newID(), 1, 10); return status == http.StatusOK })
		<-stopped
		in.startKnowing(name, other)
		in.until(name+" knows the upstreams", func() bool { return in.nodes[name].directory.Synced() })
		in.until(name+" serves", func() bool { status, _ := in.submit(name, in.newID(), 2, 10); return status == http.StatusOK })
	}
	if in.store.Calls("kv-range") == 0 {
		t.Error("the store was not asked")
	}
}
