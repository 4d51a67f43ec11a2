package node

import (
	"net/http"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/metrics"
	"github.com/sedgehatch/sedgehatch/platform/standin"

	"github.com/samber/lo"
)

// TestLeavingUpstream makes the upstream that runs a task drain, and say that it leaves before the
// task can end. The task must start on the other upstream before that, and be completed.
func TestLeavingUpstream(t *testing.T) {
	const taskMs, notice = 2500, 1200 * time.Millisecond
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1")
	cluster.waitUntil("both upstreams are used", func() bool {
		cluster.mustComplete("a-1", 4, 20)
		return lo.EveryBy(cluster.upstreams, func(u *standin.Upstream) bool { return !cluster.runs.LastUpstreamStart(u.ID).IsZero() })
	})
	submitted := time.Now()
	response := cluster.submitAsync("a-1", cluster.newJobID(), 1, taskMs)
	cluster.waitUntil("the task runs", func() bool { return cluster.runningTasks() == 1 })
	leaving, other := cluster.upstreams[0], cluster.upstreams[1]
	if cluster.runs.LastUpstreamStart(other.ID).After(submitted) {
		leaving, other = other, leaving
	}
	leavesAt := time.Now().Add(notice)
	leaving.DrainUntil(leavesAt)
	cluster.waitUntil("the task has moved", func() bool { return cluster.runs.LastUpstreamStart(other.ID).After(submitted) })
	if at := cluster.runs.LastUpstreamStart(other.ID); at.After(leavesAt) {
		t.Errorf("the task moved %v after its upstream left", at.Sub(leavesAt))
	}
	time.Sleep(time.Until(leavesAt))
	leaving.Close()
	if status := <-response; status != http.StatusOK {
		t.Errorf("the job got status %d", status)
	}
	if moved := metrics.Values(cluster.nodes["a-1"].metrics.Counts)["runs_moved_leaving"]; moved != 1 {
		t.Errorf("%d runs were counted as moved, want 1", moved)
	}
}
