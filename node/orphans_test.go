package node

import (
	"net/http"
	"testing"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// TestOrphanedZone loses the only instance of a zone for good: its upstreams are
// owned from another zone, and go back to the next instance of their own.
func TestOrphanedZone(t *testing.T) {
	in := newInstallation(t, []string{"a", "b"}, 2, "a-1", "b-1")
	in.kill("b-1")
	in.until("an instance of the other zone owns the group", func() bool {
		a := in.nodes["a-1"]
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.groups["b/0"] != nil
	})
	in.until("both zones' upstreams work", func() bool {
		status, _ := in.submit("a-1", in.newID(), 8, 200) // four fit into one zone
		return status == http.StatusOK
	})
	in.start("b-1")
	in.until("the group has gone back", func() bool {
		b := in.nodes["b-1"]
		b.mu.Lock()
		defer b.mu.Unlock()
		return b.groups["b/0"] != nil
	})
	in.until("nobody else owns it", func() bool {
		a := in.nodes["a-1"]
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.groups["b/0"] == nil
	})
	in.until("work is done in both zones", func() bool {
		status, _ := in.submit("b-1", in.newID(), 8, 200)
		return status == http.StatusOK
	})
}

// TestOrphanedZoneUnreachable: where the upstreams of a zone without instances
// do not answer, their group is given up again, and service goes on.
func TestOrphanedZoneUnreachable(t *testing.T) {
	in := newInstallation(t, []string{"a", "b"}, 1, "a-1", "b-1")
	a := in.nodes["a-1"]
	in.upstreams[1].SetFault(standin.NoAnswer)
	in.kill("b-1")
	in.until("the group is tried", func() bool { a.mu.Lock(); defer a.mu.Unlock(); return a.groups["b/0"] != nil })
	in.want("a-1", 2, 20)
	in.until("the group is given up", func() bool {
		a.mu.Lock()
		defer a.mu.Unlock()
		return a.groups["b/0"] == nil && !a.orphanRetryAt["b"].IsZero()
	})
	in.want("a-1", 2, 20)
}
