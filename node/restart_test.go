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
	cluster := newTestCluster(t, []string{"a", "b"}, 3, names...)
	for _, name := range names {
		cluster.submitAsync(name, cluster.newJobID(), 2, 300)
	}
	cluster.waitUntil("work is under way", func() bool { return cluster.runningTasks() > 0 })
	for _, name := range names {
		cluster.kill(name)
	}
	cluster.store.SetFault(standin.NoFault, 400*time.Millisecond)
	for _, name := range names {
		cluster.start(name)
	}
	for _, name := range names {
		cluster.waitUntil(name+" is ready", func() bool {
			return cluster.status("GET", cluster.nodes[name].settings.ReadinessAddress, "/readiness") == http.StatusOK
		})
		cluster.waitUntil(name+" serves", func() bool {
			status, _ := cluster.submit(name, cluster.newJobID(), 1, 10)
			return status == http.StatusOK
		})
	}
	for _, group := range []string{"a/0", "b/0"} {
		cluster.waitUntil(group+" has one owner", func() bool { return len(cluster.owners(group)) == 1 })
	}
}

// runningTasks returns how many tasks run.
func (cluster *testCluster) runningTasks() int {
	count := 0
	for _, u := range cluster.upstreams {
		u.WithModel(func(c *standin.UpstreamModel) { count += len(c.Running()) })
	}
	return count
}

// owners returns the instances that own a group.
func (cluster *testCluster) owners(group string) []string {
	var owners []string
	for name, n := range cluster.nodes {
		n.mu.Lock()
		if n.groups[group] != nil {
			owners = append(owners, name)
		}
		n.mu.Unlock()
	}
	return owners
}
