package node

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// TestUpstreamStartsAgain crashes upstreams while tasks run there and restarts them under the same
// ids. In the second of three rounds they are draining when they crash. The jobs must be completed
// on other upstreams or on the new incarnations, and the new incarnations must be used like new
// upstreams.
func TestUpstreamStartsAgain(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
	for round := range 3 {
		for i, u := range cluster.upstreams {
			response := cluster.submitAsync("a-1", cluster.newJobID(), 2, 300)
			cluster.waitUntil("tasks run", func() bool { return cluster.runningTasks() > 0 })
			if round == 1 {
				u.Drain()
			}
			u.Crash()
			u.Restart()
			if status := <-response; status != http.StatusOK {
				t.Fatalf("round %d, upstream %d: the job got status %d", round, i, status)
			}
		}
		cluster.waitUntil("a job that needs all upstreams is completed", func() bool {
			status, _ := cluster.submit("a-2", cluster.newJobID(), 2*len(cluster.upstreams), 10)
			return status == http.StatusOK
		})
	}
}

// TestRoomShrinks reduces the capacity of the only upstream to one task and increases it to two
// again. The owner must learn the capacity each time, and complete a job of four tasks.
func TestRoomShrinks(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	waitUntilCapacity := func(capacity int64) {
		cluster.waitUntil("the owner knows the capacity", func() bool {
			groups := cluster.nodes["a-1"].ownedGroups()
			return len(groups) == 1 && groups[0].Load().Capacity == capacity
		})
	}
	for _, capacity := range []int64{taskSize, 2 * taskSize} {
		cluster.upstreams[0].Resize(fleet.Resources{MilliCPU: capacity, MemoryMB: 1000}, 0)
		waitUntilCapacity(capacity)
		cluster.waitUntil("a job of four tasks is completed", func() bool {
			status, _ := cluster.submit("a-1", cluster.newJobID(), 4, 20)
			return status == http.StatusOK
		})
	}
}

// TestTaskCrashesUpstreams submits a job whose task crashes each upstream that starts it, while
// tasks of another job run there. The job must fail after at most three crashes, the other job
// must be completed, and the upstreams must be used again.
func TestTaskCrashesUpstreams(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 3, "a-1", "a-2", "b-1")
	crashingJob := cluster.newJobID()
	var crashes atomic.Int32
	for _, u := range cluster.upstreams {
		u.WithModel(func(c *standin.UpstreamModel) {
			c.ShouldCrash = func(r fleet.Run) bool {
				if r.Task.Job != crashingJob {
					return false
				}
				crashes.Add(1)
				return true
			}
		})
	}
	otherResponse := cluster.submitAsync("a-1", cluster.newJobID(), 4, 400)
	cluster.waitUntil("tasks of the other job run", func() bool { return cluster.runningTasks() == 4 })
	status, body := cluster.submit("a-1", crashingJob, 1, 300)
	if status != http.StatusOK || !strings.Contains(body, "failed") || crashes.Load() > 3 {
		t.Errorf("the crashing job got status %d, body %s, after %d crashes", status, body, crashes.Load())
	}
	if status := <-otherResponse; status != http.StatusOK {
		t.Errorf("the other job got status %d", status)
	}
	cluster.waitUntil("a job that needs all upstreams is completed", func() bool {
		status, _ := cluster.submit("a-2", cluster.newJobID(), 6, 10)
		return status == http.StatusOK
	})
}
