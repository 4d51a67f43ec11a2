package node

import (
	"net/http"
	"testing"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// TestOrphanedZone loses the only instance of a zone for good: its upstreams are
// owned from another zone, and go back to the next instance of their own.
func TestOrphanedZone(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "b-1")
	cluster.kill("b-1")
	cluster.waitUntil("an instance of the other zone owns the group", func() bool {
		a := cluster.nodes["a-1"]
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.groups["b/0"] != nil
	})
	cluster.waitUntil("both zones' upstreams work", func() bool {
		status, _ := cluster.submit("a-1", cluster.newJobID(), 8, 200) // four fit into one zone
		return status == http.StatusOK
	})
	cluster.start("b-1")
	cluster.waitUntil("the group has gone back", func() bool {
		b := cluster.nodes["b-1"]
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.groups["b/0"] != nil
	})
	cluster.waitUntil("nobody else owns it", func() bool {
		a := cluster.nodes["a-1"]
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.groups["b/0"] == nil
	})
	cluster.waitUntil("work is done in both zones", func() bool {
		status, _ := cluster.submit("b-1", cluster.newJobID(), 8, 200)
		return status == http.StatusOK
	})
}

// TestOrphanedZoneUnreachable: where the upstreams of a zone without instances
// do not answer, their group is given up again, and service goes on.
func TestOrphanedZoneUnreachable(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 1, "a-1", "b-1")
	a := cluster.nodes["a-1"]
	cluster.upstreams[1].SetFault(standin.NoAnswer)
	cluster.kill("b-1")
	cluster.waitUntil("the group is tried", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.groups["b/0"] != nil })
	cluster.mustComplete("a-1", 2, 20)
	cluster.waitUntil("the group is given up", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.groups["b/0"] == nil && !a.orphanRetryAt["b"].IsZero()
	})
	cluster.mustComplete("a-1", 2, 20)
}
