package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// TestRestartOfAll loses all instances at once with work under way, and starts all
// at once again while each call to the store takes long: each group has one owner
// again, every instance serves, and no task has two runs at once (the ledger of the
// installation).
func TestRestartOfAll(t *testing.T) {
	names := []string{"a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3"}
	in := newInstallation(t, []string{"a", "b"}, 3, names...)
	for _, name := range names {
		in.background(name, in.newID(), 2, 300)
	}
	in.until("work is under way", func() bool { return in.running() > 0 })
	for _, name := range names {
		in.kill(name)
	}
	in.store.SetFault(standin.NoFault, 400*time.Millisecond)
	for _, name := range names {
		in.start(name)
	}
	for _, name := range names {
		in.until(name+" is ready", func() bool {
			return in.status("GET", in.nodes[name].settings.ReadinessAddress, "/readiness") == http.StatusOK
		})
		in.until(name+" serves", func() bool { status, _ := in.submit(name, in.newID(), 1, 10); return status == http.StatusOK })
	}
	for _, group := range []string{"a/0", "b/0"} {
		in.until(group+" has one owner", func() bool { return len(in.owners(group)) == 1 })
	}
}

// running returns how many tasks run.
func (in *installation) running() int {
	count := 0
	for _, u := range in.upstreams {
		u.WithModel(func(c *standin.UpstreamModel) { count += len(c.Running()) })
	}
	return count
}

// owners returns the instances that own a group.
func (in *installation) owners(group string) []string {
	var owners []string
	for name, n := range in.nodes {
		n.mu.Lock()
		if n.groups[group] != nil {
			owners = append(owners, name)
		}
		n.mu.Unlock()
	}
	return owners
}
