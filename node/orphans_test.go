package node

import (
	"net/http"
	"testing"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// TestOrphanedZone kills the only instance of a zone. An instance of another zone must take over
// the upstreams, and hand them over when the zone has an instance again.
func TestOrphanedZone(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "b-1")
	cluster.kill("b-1")
	cluster.waitUntil("an instance of the other zone owns the group", func() bool {
		a := cluster.nodes["a-1"]
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.groups["b/0"] != nil
	})
	cluster.waitUntil("a job that needs the upstreams of both zones is completed", func() bool {
		status, _ := cluster.submit("a-1", cluster.newJobID(), 8, 200) // one zone has the capacity for four tasks
		return status == http.StatusOK
	})
	cluster.start("b-1")
	cluster.waitUntil("the new instance of the zone owns the group", func() bool {
		b := cluster.nodes["b-1"]
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.groups["b/0"] != nil
	})
	cluster.waitUntil("the instance of the other zone does not own the group", func() bool {
		a := cluster.nodes["a-1"]
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.groups["b/0"] == nil
	})
	cluster.waitUntil("a job submitted to the new instance is completed", func() bool {
		status, _ := cluster.submit("b-1", cluster.newJobID(), 8, 200)
		return status == http.StatusOK
	})
}

// TestOrphanedZoneUnreachable kills the only instance of a zone whose upstreams do not respond.
// An instance of another zone takes their group and must give it up again, and must complete
// jobs in its own zone all the time.
func TestOrphanedZoneUnreachable(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 1, "a-1", "b-1")
	a := cluster.nodes["a-1"]
	cluster.upstreams[1].SetFault(standin.NoAnswer)
	cluster.kill("b-1")
	cluster.waitUntil("the group is taken", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.groups["b/0"] != nil })
	cluster.mustComplete("a-1", 2, 20)
	cluster.waitUntil("the group is given up", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.groups["b/0"] == nil && !a.orphanRetryAt["b"].IsZero()
	})
	cluster.mustComplete("a-1", 2, 20)
}
