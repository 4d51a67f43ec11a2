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

// TestOwnerKilled kills the owner of the only zone under work: the other
// instance takes the upstreams over, and no task has two runs at once.
func TestOwnerKilled(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
	owner := cluster.owner("a/0")
	id := cluster.newJobID()
	lost := cluster.submitAsync(cluster.other(owner), id, 4, 500)
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	cluster.kill(owner)
	if status := <-lost; status != http.StatusGatewayTimeout {
		t.Errorf("the job of the lost owner was answered %d", status)
	}
	left := cluster.owner("a/0")
	if status, body := cluster.submit(left, id, 4, 20); status != http.StatusOK {
		t.Errorf("the same job again: %d %q", status, body)
	}
}

// TestCoordinatorKilled kills the instance that took a job: its tasks are
// stopped long before its customer sends the job again.
func TestCoordinatorKilled(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
	owner := cluster.owner("a/0")
	coordinator := cluster.other(owner)
	id := cluster.newJobID()
	cut := cluster.submitAsync(coordinator, id, 4, 5000)
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	cluster.kill(coordinator)
	<-cut
	cluster.waitUntil("its tasks are stopped", func() bool { return !cluster.runs.IsRunning(id) })
	if status, body := cluster.submit(owner, id, 4, 20); status != http.StatusOK {
		t.Errorf("the same job again: %d %q", status, body)
	}
}

// TestCustomerLeaves breaks a customer's connection: the job is stopped.
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
	cluster.waitUntil("its tasks are stopped", func() bool { return !cluster.runs.IsRunning(id) })
}

// TestSentAgain sends a job again to the same and to another instance while it
// runs.
func TestSentAgain(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
	id := cluster.newJobID()
	first := cluster.submitAsync("a-1", id, 2, 400)
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	again := cluster.submitAsync("a-1", id, 2, 400)
	if a, b := <-first, <-again; a != http.StatusOK || b != http.StatusOK {
		t.Errorf("the same job twice at one instance: %d, %d", a, b)
	}
	if starts := cluster.runs.Starts(); starts != 2 {
		t.Errorf("2 tasks were started %d times", starts)
	}
	id = cluster.newJobID()
	first = cluster.submitAsync("a-1", id, 2, 400)
	cluster.waitUntil("the job runs", func() bool { return cluster.runs.IsRunning(id) })
	again = cluster.submitAsync("a-2", id, 2, 100)
	if a, b := <-first, <-again; a != http.StatusGatewayTimeout || b != http.StatusOK {
		t.Errorf("the same job at two instances: %d, %d", a, b)
	}
}

// TestUpstreamTroubles lets upstreams fail in each way; jobs go elsewhere.
func TestUpstreamTroubles(t *testing.T) {
	for name, trouble := range map[string]func(*standin.Upstream){
		"silent": func(u *standin.Upstream) { u.SetFault(standin.NoAnswer) },
		"busy":   func(u *standin.Upstream) { u.SetFault(standin.Unavailable) },
		"reset":  func(u *standin.Upstream) { u.SetFault(standin.ConnectionReset) },
		"stalls": func(u *standin.Upstream) { u.WithModel(func(c *standin.UpstreamModel) { c.Stalled = true }) },
		"slow":   func(u *standin.Upstream) { u.WithModel(func(c *standin.UpstreamModel) { c.SlowdownFactor = 20 }) },
		"fails":  func(u *standin.Upstream) { u.WithModel(func(c *standin.UpstreamModel) { c.Failing = true }) },
		"late":   func(u *standin.Upstream) { u.DelayOrders(0.3, 2*time.Second) },
		"gone":   func(u *standin.Upstream) { u.Close() },
		"drains": func(u *standin.Upstream) { u.Drain() },
	} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, []string{"a"}, 3, "a-1")
			cluster.mustComplete("a-1", 6, 30)
			trouble(cluster.upstreams[0])
			for range 3 {
				cluster.mustComplete("a-1", 3, 60)
			}
		})
	}
}

// TestStoreAway serves without the store, and takes a configuration from a peer
// that still reaches it.
func TestStoreAway(t *testing.T) {
	for name, trouble := range map[string]standin.Fault{"silent": standin.NoAnswer, "busy": standin.Unavailable, "reset": standin.ConnectionReset} {
		t.Run(name, func(t *testing.T) {
			cluster := newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
			cluster.store.SetFault(trouble, 0)
			cluster.mustComplete("a-1", 2, 20)
			cluster.kill(cluster.owner("a/0"))
			left := cluster.owner("a/0")
			cluster.mustComplete(left, 2, 20)
			cluster.store.SetFault(standin.NoFault, 0)
			cluster.configure(2, "/checks/", "/more/")
			cluster.waitUntil("the new route is there", func() bool {
				return cluster.status("GET", cluster.nodes[left].settings.CustomerAddress, "/more/") == http.StatusOK
			})
		})
	}
}

// TestConfigFromPeer starts an instance that never reaches the store: its peer
// tells it the configuration, and later versions.
func TestConfigFromPeer(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	dead, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(dead.Close)
	dead.SetFault(standin.Unavailable, 0)
	settings := cluster.settings("a-2")
	settings.StoreAddress = dead.Address
	settings.SeedPeers = []string{cluster.nodes["a-1"].settings.PeerAddress}
	n, err := New(settings, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	cluster.nodes["a-2"] = n
	n.Run()
	cluster.waitUntil("the configuration has come from the peer", func() bool { c := n.config.Load(); return c != nil && c.Version == 1 })
	cluster.waitUntil("the owner is known", func() bool { return len(n.router.Loads()) == 1 })
	cluster.mustComplete("a-2", 1, 10)
	cluster.configure(7, "/checks/")
	cluster.waitUntil("the next version has come", func() bool { return n.config.Load().Version == 7 })
	n.applyConfig(cluster.nodes["a-1"].config.Load().Raw, "test")
	cluster.configure(3, "/checks/") // an older one, written late
	cluster.mustComplete("a-2", 1, 10)
	if v := n.config.Load().Version; v != 7 {
		t.Errorf("version %d is in force after version 7", v)
	}
}

// TestHistoryForgotten makes the store forget its history: everything is read
// again, and what was removed meanwhile is gone.
func TestHistoryForgotten(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1")
	cluster.store.SetFault(standin.Unavailable, 0)
	cluster.upstreams[0].Close()
	cluster.store.DropHistory()
	cluster.configure(5, "/checks/")
	cluster.store.SetFault(standin.NoFault, 0)
	n := cluster.nodes["a-1"]
	cluster.waitUntil("the configuration is read again", func() bool { return n.config.Load().Version == 5 })
	cluster.waitUntil("the upstream is gone", func() bool {
		return n.directory.CountInZone("a") == 1
	})
	cluster.mustComplete("a-1", 2, 10)
}

// TestPlannedStop stops the owner of the zone under work: nothing is cut off,
// and the other instance owns the zone afterwards.
func TestPlannedStop(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 3, "a-1", "a-2")
	owner := cluster.owner("a/0")
	other := cluster.other(owner)
	var running []<-chan int
	for _, name := range []string{owner, other} {
		running = append(running, cluster.submitAsync(name, cluster.newJobID(), 2, 600))
	}
	cluster.waitUntil("the jobs run", func() bool { return cluster.runs.Starts() == 4 })
	stopped := make(chan bool, 1)
	go func() { stopped <- cluster.nodes[owner].Stop() }()
	cluster.waitUntil("it is not ready", func() bool {
		return cluster.status("GET", cluster.nodes[owner].settings.ReadinessAddress, "/readiness") == http.StatusServiceUnavailable
	})
	running = append(running, cluster.submitAsync(owner, cluster.newJobID(), 1, 30))
	for i, answer := range running {
		if status := <-answer; status != http.StatusOK {
			t.Errorf("job %d was answered %d in a planned stop", i, status)
		}
	}
	if !<-stopped {
		t.Error("the stop ended with work in flight")
	}
	cluster.kill(owner)
	cluster.mustComplete(other, 2, 20)
}

// TestFencedByStranger lets somebody unknown take an upstream with a higher
// token: it is left alone, and taken back after the settling time.
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
	cluster.waitUntil("work is done again", func() bool {
		status, _ := cluster.submit("a-1", cluster.newJobID(), 1, 10)
		return status == http.StatusOK
	})
}

// TestHeardWithoutOwnConnection starts an instance whose peers cannot connect to
// it: they answer on its connections, and it does not take a group of theirs.
func TestHeardWithoutOwnConnection(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	settings := cluster.settings("a-2")
	n, err := New(settings, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	cluster.nodes["a-2"] = n
	_ = n.peerListener.Close() // nobody reaches it
	n.Run()
	cluster.waitUntil("it hears its peer", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		_, claim := n.claimOf("a/0", false)
		return claim != nil
	})
	cluster.mustComplete("a-2", 1, 10)
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.groups) > 0 {
		t.Error("it has taken the group of its peer")
	}
}

// TestStaleToken lets every upstream remember a token of an owner that is gone,
// far ahead of the clock: the group is taken within a few attempts.
func TestStaleToken(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	cluster.kill("a-1")
	ahead := membership.NextToken(time.Now().Add(100*time.Second).UnixMilli(), 0, "gone")
	cluster.upstreams[0].WithModel(func(c *standin.UpstreamModel) { c.Hold(time.Now(), fleet.HoldOrder{Token: ahead}) })
	cluster.start("a-1")
	cluster.waitUntil("work is done again", func() bool {
		status, _ := cluster.submit("a-1", cluster.newJobID(), 1, 10)
		return status == http.StatusOK
	})
}
