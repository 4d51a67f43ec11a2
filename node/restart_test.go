package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// TestRestartOfAll kills all instances at once while tasks run, and starts all of them at once
// while each call to the store takes 400 ms. Every instance must complete jobs, and each group must
// have one owner. No task may have two runs at once, which the cluster checks when it is closed.
func TestRestartOfAll(t *testing.T) {
	names := []string{"a-1", "a-2", "a-3", "a-4", "b-1", "b-2", "b-3"}
	cluster := newTestCluster(t, []string{"a", "b"}, 3, names...)
	for _, name := range names {
		cluster.submitAsync(name, cluster.newJobID(), 2, 300)
	}
	cluster.waitUntil("tasks run", func() bool { return cluster.runningTasks() > 0 })
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
		cluster.waitUntil(name+" completes a job", func() bool {
			status, _ := cluster.submit(name, cluster.newJobID(), 1, 10)
			return status == http.StatusOK
		})
	}
	for _, group := range []string{"a/0", "b/0"} {
		cluster.waitUntil(group+" has one owner", func() bool { return len(cluster.owners(group)) == 1 })
	}
}

// runningTasks returns the number of tasks that run on all upstreams.
func (cluster *testCluster) runningTasks() int {
	count := 0
	for _, u := range cluster.upstreams {
		u.WithModel(func(c *standin.UpstreamModel) { count += len(c.Running()) })
	}
	return count
}

// owners returns the names of the instances that own a group.
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
