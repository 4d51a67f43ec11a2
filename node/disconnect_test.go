package node

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// longTaskMs is the duration in milliseconds of tasks that must be stopped. It is longer than any
// test, so that they cannot end by themselves.
const longTaskMs = 60_000

// submitWithDisconnect submits a job on a new connection. It returns a function that closes the
// connection.
func (cluster *testCluster) submitWithDisconnect(name, id string, tasks int) (disconnect func()) {
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

// checkJobStopped waits until no task of a job runs. Then it runs another job on the same
// upstreams, and checks that no task of the first job has started meanwhile.
func (cluster *testCluster) checkJobStopped(id, instance string) {
	cluster.t.Helper()
	cluster.waitUntil("no task of the job runs", func() bool { return !cluster.runs.IsRunning(id) })
	last := cluster.runs.LastJobStart(id)
	cluster.waitUntil("the group has capacity", func() bool {
		loads := cluster.nodes[instance].router.Loads()
		return len(loads) == 1 && loads[0].Capacity > 0
	})
	cluster.mustComplete(instance, 2, 20)
	if cluster.runs.IsRunning(id) || cluster.runs.LastJobStart(id).After(last) {
		cluster.t.Error("a task of the job has started after its customer had disconnected")
	}
}

// newOwnerAndCoordinator returns a cluster of two instances, with the names of the owner of its
// only group and of the other instance.
func newOwnerAndCoordinator(t *testing.T) (cluster *testCluster, owner, coordinator string) {
	cluster = newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
	owner = cluster.owner("a/0")
	return cluster, owner, cluster.other(owner)
}

// TestNoRunAfterCustomerDisconnects checks that soon after the customer of a job has disconnected
// none of its tasks runs or starts any more. This must hold even if the owner is partitioned or
// lost at that time, and if orders to upstreams are still under way. Otherwise a task could run
// twice when the customer submits the job again.
func TestNoRunAfterCustomerDisconnects(t *testing.T) {
	t.Run("owner partitioned", func(t *testing.T) {
		cluster, _, coordinator := newOwnerAndCoordinator(t)
		id := cluster.newJobID()
		disconnect := cluster.submitWithDisconnect(coordinator, id, 2)
		cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
		cluster.blackholePeerConnections()
		disconnect()
		cluster.checkJobStopped(id, coordinator)
	})
	t.Run("owner killed", func(t *testing.T) {
		cluster, owner, coordinator := newOwnerAndCoordinator(t)
		id := cluster.newJobID()
		disconnect := cluster.submitWithDisconnect(coordinator, id, 2)
		cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
		cluster.kill(owner)
		disconnect()
		cluster.waitUntil("the other instance owns the group", func() bool { return cluster.owner("a/0") == coordinator })
		cluster.checkJobStopped(id, coordinator)
	})
	t.Run("coordinator killed that owns the group itself", func(t *testing.T) {
		cluster, owner, other := newOwnerAndCoordinator(t)
		id := cluster.newJobID()
		disconnect := cluster.submitWithDisconnect(owner, id, 2)
		cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
		cluster.kill(owner)
		disconnect()
		cluster.waitUntil("the other instance owns the group", func() bool { return cluster.owner("a/0") == other })
		cluster.checkJobStopped(id, other)
	})
	t.Run("start orders executed late", func(t *testing.T) {
		cluster, _, coordinator := newOwnerAndCoordinator(t)
		cluster.delayOrders(1, 300*time.Millisecond)
		id := cluster.newJobID()
		disconnect := cluster.submitWithDisconnect(coordinator, id, 2)
		cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
		disconnect()
		cluster.delayOrders(0, 0)
		cluster.checkJobStopped(id, coordinator)
	})
	t.Run("owner killed while start orders are under way", func(t *testing.T) {
		cluster, owner, coordinator := newOwnerAndCoordinator(t)
		cluster.delayOrders(1, 300*time.Millisecond)
		id := cluster.newJobID()
		disconnect := cluster.submitWithDisconnect(coordinator, id, 2)
		cluster.waitUntil("the job is open", func() bool { return cluster.nodes[coordinator].ingress.OpenJobs() == 1 })
		disconnect()
		cluster.kill(owner)
		cluster.delayOrders(0, 0)
		cluster.waitUntil("the other instance owns the group", func() bool { return cluster.owner("a/0") == coordinator })
		cluster.checkJobStopped(id, coordinator)
	})
}

// delayOrders makes all upstreams execute a share of their orders late. They do not respond to the
// orders that they execute late.
func (cluster *testCluster) delayOrders(share float64, late time.Duration) {
	for _, u := range cluster.upstreams {
		u.DelayOrders(share, late)
	}
}
