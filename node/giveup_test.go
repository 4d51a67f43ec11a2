package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// A customer that gives up leaves nothing at work, whatever becomes of the owner
// that started its tasks, or of the orders that are under way.

// longTaskMs is how long the tasks of these customers would work: longer than a test.
const longTaskMs = 60_000

// submitAndLeave submits a job on a connection of its own; leave closes it.
func (cluster *testCluster) submitAndLeave(name, id string, tasks int) (leave func()) {
	cluster.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	req, err := standin.NewRequest(ctx, "POST", cluster.nodes[name].settings.CustomerAddress, "desk.example", "/checks/"+id, jobBody(tasks, longTaskMs), waitLimit)
	if err != nil {
		cluster.t.Fatal(err)
	}
	answered := make(chan struct{})
	go func() {
		defer close(answered)
		client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		if res, err := client.Do(req); err == nil {
			_ = res.Body.Close()
		}
	}()
	return func() { cancel(); <-answered }
}

// checkJobStopped waits until no task of a job runs, serves another job on the same
// upstreams, and checks that no task of the first has begun since.
func (cluster *testCluster) checkJobStopped(id, through string) {
	cluster.t.Helper()
	cluster.waitUntil("nothing of the job runs", func() bool { return !cluster.runs.IsRunning(id) })
	last := cluster.runs.LastJobStart(id)
	cluster.waitUntil("the group has room", func() bool {
		loads := cluster.nodes[through].router.Loads()
		return len(loads) == 1 && loads[0].Capacity > 0
	})
	cluster.mustComplete(through, 2, 20)
	if cluster.runs.IsRunning(id) || cluster.runs.LastJobStart(id).After(last) {
		cluster.t.Error("a task of it has begun after its customer had left")
	}
}

// newOwnerAndCoordinator returns an installation with the owner of its only group, and a
// coordinator beside it.
func newOwnerAndCoordinator(t *testing.T) (cluster *testCluster, owner, coordinator string) {
	cluster = newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
	owner = cluster.owner("a/0")
	return cluster, owner, cluster.other(owner)
}

func TestNothingRunsForNobody(t *testing.T) {
	t.Run("its owner is cut off", func(t *testing.T) {
		cluster, _, coordinator := newOwnerAndCoordinator(t)
		id := cluster.newJobID()
		leave := cluster.submitAndLeave(coordinator, id, 2)
		cluster.waitUntil("it runs", func() bool { return cluster.runs.IsRunning(id) })
		cluster.blackholePeerConnections()
		leave()
		cluster.checkJobStopped(id, coordinator)
	})
	t.Run("its owner is removed", func(t *testing.T) {
		cluster, owner, coordinator := newOwnerAndCoordinator(t)
		id := cluster.newJobID()
		leave := cluster.submitAndLeave(coordinator, id, 2)
		cluster.waitUntil("it runs", func() bool { return cluster.runs.IsRunning(id) })
		cluster.kill(owner)
		leave()
		cluster.waitUntil("another owns the group", func() bool { return cluster.owner("a/0") == coordinator })
		cluster.checkJobStopped(id, coordinator)
	})
	t.Run("its owner and its coordinator are one, and removed", func(t *testing.T) {
		cluster, owner, other := newOwnerAndCoordinator(t)
		id := cluster.newJobID()
		leave := cluster.submitAndLeave(owner, id, 2)
		cluster.waitUntil("it runs", func() bool { return cluster.runs.IsRunning(id) })
		cluster.kill(owner)
		leave()
		cluster.waitUntil("another owns the group", func() bool { return cluster.owner("a/0") == other })
		cluster.checkJobStopped(id, other)
	})
	t.Run("the orders to start are carried out late", func(t *testing.T) {
		cluster, _, coordinator := newOwnerAndCoordinator(t)
		cluster.delayOrders(1, 300*time.Millisecond)
		id := cluster.newJobID()
		leave := cluster.submitAndLeave(coordinator, id, 2)
		cluster.waitUntil("it runs", func() bool { return cluster.runs.IsRunning(id) })
		leave()
		cluster.delayOrders(0, 0)
		cluster.checkJobStopped(id, coordinator)
	})
	t.Run("the orders are under way when it leaves and its owner is removed", func(t *testing.T) {
		cluster, owner, coordinator := newOwnerAndCoordinator(t)
		cluster.delayOrders(1, 300*time.Millisecond)
		id := cluster.newJobID()
		leave := cluster.submitAndLeave(coordinator, id, 2)
		cluster.waitUntil("the job is open", func() bool { return cluster.nodes[coordinator].ingress.OpenJobs() == 1 })
		leave()
		cluster.kill(owner)
		cluster.delayOrders(0, 0)
		cluster.waitUntil("another owns the group", func() bool { return cluster.owner("a/0") == coordinator })
		cluster.checkJobStopped(id, coordinator)
	})
}

// delayOrders makes a share of the orders to all upstreams be carried out late, and
// not answered.
func (cluster *testCluster) delayOrders(share float64, late time.Duration) {
	for _, u := range cluster.upstreams {
		u.DelayOrders(share, late)
	}
}
