package node

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// TestOwnerKilled kills the owner of the only group while a job runs, and submits the job again.
// The other instance must take over the upstreams and complete the job, and no task may have two
// runs at once, which the cluster checks when it is closed. Its runs are not adopted.
func TestOwnerKilled(t *testing.T) {
	withoutAdoption(t, true, true)
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
	owner := cluster.owner("a/0")
	id := cluster.newJobID()
	response := cluster.submitAsync(cluster.other(owner), id, 4, 500)
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	cluster.kill(owner)
	if status := <-response; status != http.StatusGatewayTimeout {
		t.Errorf("the job on the killed owner got status %d", status)
	}
	remaining := cluster.owner("a/0")
	if status, body := cluster.submit(remaining, id, 4, 20); status != http.StatusOK {
		t.Errorf("the resubmitted job got status %d, body %q", status, body)
	}
}

// TestCoordinatorKilled kills the instance that coordinates a job. The owner must stop the tasks
// of the job, so that they do not run when its customer submits it again.
func TestCoordinatorKilled(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
	owner := cluster.owner("a/0")
	coordinator := cluster.other(owner)
	id := cluster.newJobID()
	response := cluster.submitAsync(coordinator, id, 4, 5000)
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	cluster.kill(coordinator)
	<-response
	cluster.waitUntil("the tasks of the job are stopped", func() bool { return !cluster.runs.IsRunning(id) })
	if status, body := cluster.submit(owner, id, 4, 20); status != http.StatusOK {
		t.Errorf("the resubmitted job got status %d, body %q", status, body)
	}
}

// TestCustomerLeaves closes the connection of a customer while its job runs. The tasks must be
// stopped.
func TestCustomerLeaves(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	id := cluster.newJobID()
	conn, err := net.Dial("tcp", cluster.nodes["a-1"].settings.CustomerAddress)
	if err != nil {
		t.Fatal(err)
	}
	body := jobBody(2, 5000)
	if _, err := fmt.Fprintf(conn, "POST /checks/%s HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
		t.Fatal(err)
	}
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	cluster.waitUntil("the tasks of the job are stopped", func() bool { return !cluster.runs.IsRunning(id) })
}

// TestSentAgain submits a running job again. On the same instance, both requests get the result
// of one execution. On another instance, the new execution replaces the first one.
func TestSentAgain(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
	id := cluster.newJobID()
	first := cluster.submitAsync("a-1", id, 2, 400)
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	again := cluster.submitAsync("a-1", id, 2, 400)
	if a, b := <-first, <-again; a != http.StatusOK || b != http.StatusOK {
		t.Errorf("a job submitted twice to one instance got status %d and status %d, want 200 twice", a, b)
	}
	if starts := cluster.runs.Starts(); starts != 2 {
		t.Errorf("2 tasks were started %d times", starts)
	}
	id = cluster.newJobID()
	first = cluster.submitAsync("a-1", id, 2, 400)
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	again = cluster.submitAsync("a-2", id, 2, 100)
	if a, b := <-first, <-again; a != http.StatusGatewayTimeout || b != http.StatusOK {
		t.Errorf("a job submitted to two instances got status %d and then status %d, want 504 and 200", a, b)
	}
}

// TestUpstreamTroubles makes one of three upstreams fail in various ways. Jobs must still be
// completed.
func TestUpstreamTroubles(t *testing.T) {
	for name, fail := range map[string]func(*standin.Upstream){
		"silent": func(u *standin.Upstream) { u.SetFault(standin.NoAnswer) },
		"busy":   func(u *standin.Upstream) { u.SetFault(standin.Unavailable) },
		"reset":  func(u *standin.Upstream) { u.SetFault(standin.ConnectionReset) },
		"stalls": func(u *standin.Upstream) { u.WithModel(func(c *standin.UpstreamModel) { c.RunsStalled = true }) },
		"slow":   func(u *standin.Upstream) { u.WithModel(func(c *standin.UpstreamModel) { c.SlowdownFactor = 20 }) },
		"fails":  func(u *standin.Upstream) { u.WithModel(func(c *standin.UpstreamModel) { c.Failing = true }) },
		"late":   func(u *standin.Upstream) { u.DelayOrders(0.3, 2*time.Second) },
		"gone":   func(u *standin.Upstream) { u.Close() },
		"drains": func(u *standin.Upstream) { u.Drain() },
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, []string{"a"}, 3, "a-1")
			cluster.mustComplete("a-1", 6, 30)
			fail(cluster.upstreams[0])
			for range 3 {
				cluster.mustComplete("a-1", 3, 60)
			}
		})
	}
}

// TestStoreAway kills the owner of the group while the store is unavailable. Jobs must be completed
// before and after the kill, and a new configuration must be applied once the store is available
// again.
func TestStoreAway(t *testing.T) {
	for name, fault := range map[string]standin.Fault{"silent": standin.NoAnswer, "busy": standin.Unavailable, "reset": standin.ConnectionReset} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
			cluster.store.SetFault(fault, 0)
			cluster.mustComplete("a-1", 2, 20)
			cluster.kill(cluster.owner("a/0"))
			remaining := cluster.owner("a/0")
			cluster.mustComplete(remaining, 2, 20)
			cluster.store.SetFault(standin.NoFault, 0)
			cluster.configure(2, "/checks/", "/more/")
			cluster.waitUntil("the new route is served", func() bool {
				return cluster.status("GET", cluster.nodes[remaining].settings.CustomerAddress, "/more/") == http.StatusOK
			})
		})
	}
}

// TestConfigFromPeer starts an instance whose store never serves a request. The instance must get
// the configuration and later versions from its peer, and must not go back to an older version.
func TestConfigFromPeer(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	deadStore, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(deadStore.Close)
	deadStore.SetFault(standin.Unavailable, 0)
	settings := cluster.settings("a-2")
	settings.StoreAddress = deadStore.Address
	settings.SeedPeers = []string{cluster.nodes["a-1"].settings.PeerAddress}
	n, err := New(settings, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	cluster.nodes["a-2"] = n
	n.Run()
	cluster.waitUntil("the configuration of the peer is applied", func() bool { c := n.config.Load(); return c != nil && c.Version == 1 })
	cluster.waitUntil("the owner is known", func() bool { return len(n.router.Loads()) == 1 })
	cluster.mustComplete("a-2", 1, 10)
	cluster.configure(7, "/checks/")
	cluster.waitUntil("the next version is applied", func() bool { return n.config.Load().Version == 7 })
	n.applyConfig(cluster.nodes["a-1"].config.Load().Raw, "test")
	cluster.configure(3, "/checks/") // an older version that is written late
	cluster.mustComplete("a-2", 1, 10)
	if v := n.config.Load().Version; v != 7 {
		t.Errorf("version %d was applied after version 7", v)
	}
}

// TestHistoryForgotten makes the store drop its history, so that watches fail. The instance must
// read all keys again, and notice that an upstream has been removed meanwhile.
func TestHistoryForgotten(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1")
	cluster.store.SetFault(standin.Unavailable, 0)
	cluster.upstreams[0].Close()
	cluster.store.DropRevisionHistory()
	cluster.configure(5, "/checks/")
	cluster.store.SetFault(standin.NoFault, 0)
	n := cluster.nodes["a-1"]
	cluster.waitUntil("the configuration is read again", func() bool { return n.config.Load().Version == 5 })
	cluster.waitUntil("the upstream is removed", func() bool {
		return n.directory.CountInZone("a") == 1
	})
	cluster.mustComplete("a-1", 2, 10)
}

// TestPlannedStop begins a planned shutdown of the owner of the only group while jobs run. All jobs
// must be completed, and the other instance must complete a job afterwards.
func TestPlannedStop(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 3, "a-1", "a-2")
	owner := cluster.owner("a/0")
	other := cluster.other(owner)
	var responses []<-chan int
	for _, name := range []string{owner, other} {
		responses = append(responses, cluster.submitAsync(name, cluster.newJobID(), 2, 600))
	}
	cluster.waitUntil("the jobs run", func() bool { return cluster.runs.Starts() == 4 })
	stopped := make(chan bool, 1)
	go func() { stopped <- cluster.nodes[owner].Stop() }()
	cluster.waitUntil("the instance is not ready", func() bool {
		return cluster.status("GET", cluster.nodes[owner].settings.ReadinessAddress, "/readiness") == http.StatusServiceUnavailable
	})
	responses = append(responses, cluster.submitAsync(owner, cluster.newJobID(), 1, 30))
	for i, answer := range responses {
		if status := <-answer; status != http.StatusOK {
			t.Errorf("job %d got status %d in a planned shutdown", i, status)
		}
	}
	if !<-stopped {
		t.Error("the planned shutdown ended with work in flight")
	}
	cluster.kill(owner)
	cluster.mustComplete(other, 2, 20)
}

// TestFencedByStranger makes an upstream accept a fencing token that no instance has issued and
// that is higher than its owner's. The owner must give up the group after the minimum ownership
// interval, and take it again under a token that is higher still.
func TestFencedByStranger(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	n := cluster.nodes["a-1"]
	n.mu.Lock()
	token := n.groups["a/0"].Token
	n.mu.Unlock()
	cluster.upstreams[0].WithModel(func(c *standin.UpstreamModel) { c.Hold(time.Now(), fleet.HoldOrder{Token: token + 1}) })
	cluster.waitUntil("the group is owned under a higher token", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.groups["a/0"] != nil && n.groups["a/0"].Token > token
	})
	cluster.waitUntil("a job is completed again", func() bool {
		status, _ := cluster.submit("a-1", cluster.newJobID(), 1, 10)
		return status == http.StatusOK
	})
}

// TestHeardWithoutOwnConnection starts an instance that accepts no connections. Its peer must send
// it heartbeats on the connection that the instance opens. Otherwise the instance would not know
// the peer's claim on the group, and would take the group.
func TestHeardWithoutOwnConnection(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	settings := cluster.settings("a-2")
	n, err := New(settings, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	cluster.nodes["a-2"] = n
	_ = n.peerListener.Close() // peers cannot connect
	n.Run()
	cluster.waitUntil("the peer's claim has arrived", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		_, claim := n.claimOf("a/0", false)
		return claim != nil
	})
	cluster.mustComplete("a-2", 1, 10)
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.groups) > 0 {
		t.Error("the instance has taken the group of its peer")
	}
}

// TestStaleToken makes the upstream remember the token of an owner that does not exist any more.
// The time in that token is 100 s ahead of the clock. A new owner must reach a higher token within
// a few attempts.
func TestStaleToken(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	cluster.kill("a-1")
	staleToken := membership.NextToken(time.Now().Add(100*time.Second).UnixMilli(), 0, "gone")
	cluster.upstreams[0].WithModel(func(c *standin.UpstreamModel) { c.Hold(time.Now(), fleet.HoldOrder{Token: staleToken}) })
	cluster.start("a-1")
	cluster.waitUntil("a job is completed again", func() bool {
		status, _ := cluster.submit("a-1", cluster.newJobID(), 1, 10)
		return status == http.StatusOK
	})
}
