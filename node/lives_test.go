package node

import (
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// TestUpstreamStartsAgain: upstreams crash under work and start again under their ids, the
// second time while they drain. Their work is done by others or by the next lives, and
// those are used as if they were new.
func TestUpstreamStartsAgain(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
	for round := range 3 {
		for i, u := range cluster.upstreams {
			served := cluster.submitAsync("a-1", cluster.newJobID(), 2, 300)
			cluster.waitUntil("work is under way", func() bool { return cluster.runningTasks() > 0 })
			if round == 1 {
				u.Drain()
			}
			u.Crash()
			u.Restart()
			if status := <-served; status != http.StatusOK {
				t.Fatalf("round %d, upstream %d: the job is answered %d", round, i, status)
			}
		}
		cluster.waitUntil("all places are used", func() bool {
			status, _ := cluster.submit("a-2", cluster.newJobID(), 2*len(cluster.upstreams), 10)
			return status == http.StatusOK
		})
	}
}

// TestRoomShrinks: the room of the only upstream shrinks to that of one task. Four tasks run
// there one after the other; it grows again, and two run at once.
func TestRoomShrinks(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	knows := func(capacity int64) {
		cluster.waitUntil("the owner knows the room", func() bool {
			groups := cluster.nodes["a-1"].ownedGroups()
			return len(groups) == 1 && groups[0].Load().Capacity == capacity
		})
	}
	for _, capacity := range []int64{taskSize, 2 * taskSize} {
		cluster.upstreams[0].Resize(fleet.Resources{MilliCPU: capacity, MemoryMB: 1000}, 0)
		knows(capacity)
		cluster.waitUntil("four tasks are served", func() bool {
			status, _ := cluster.submit("a-1", cluster.newJobID(), 4, 20)
			return status == http.StatusOK
		})
	}
}

// TestTaskCrashesUpstreams: a task crashes each upstream that starts it, while others run
// there. Its job is answered as failed after three crashes at the most; what ran beside it
// is done, and the upstreams are used again.
func TestTaskCrashesUpstreams(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 3, "a-1", "a-2", "b-1")
	bad := cluster.newJobID()
	var crashes atomic.Int32
	for _, u := range cluster.upstreams {
		u.WithModel(func(c *standin.UpstreamModel) {
			c.ShouldCrash = func(r fleet.Run) bool {
				if r.Task.Job != bad {
					return false
				}
				crashes.Add(1)
				return true
			}
		})
	}
	beside := cluster.submitAsync("a-1", cluster.newJobID(), 4, 400)
	cluster.waitUntil("others are at work", func() bool { return cluster.runningTasks() == 4 })
	status, body := cluster.submit("a-1", bad, 1, 300)
	if status != http.StatusOK || !strings.Contains(body, "failed") || crashes.Load() > 3 {
		t.Errorf("answered %d %s after %d crashes", status, body, crashes.Load())
	}
	if status := <-beside; status != http.StatusOK {
		t.Errorf("what ran beside it is answered %d", status)
	}
	cluster.waitUntil("all upstreams are used", func() bool {
		status, _ := cluster.submit("a-2", cluster.newJobID(), 6, 10)
		return status == http.StatusOK
	})
}
