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
	in := newInstallation(t, []string{"a"}, 2, "a-1", "a-2")
	owner := in.owner("a/0")
	id := in.newID()
	lost := in.background(in.other(owner), id, 4, 500)
	in.until("the job runs", func() bool { return in.ledger.IsRunning(id) })
	in.kill(owner)
	if status := <-lost; status != http.StatusGatewayTimeout {
		t.Errorf("the job of the lost owner was answered %d", status)
	}
	left := in.owner("a/0")
	if status, body := in.submit(left, id, 4, 20); status != http.StatusOK {
		t.Errorf("the same job again: %d %q", status, body)
	}
}

// TestCoordinatorKilled kills the instance that took a job: its tasks are
// stopped long before its customer sends the job again.
func TestCoordinatorKilled(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 2, "a-1", "a-2")
	owner := in.owner("a/0")
	coordinator := in.other(owner)
	id := in.newID()
	cut := in.background(coordinator, id, 4, 5000)
	in.until("the job runs", func() bool { return in.ledger.IsRunning(id) })
	in.kill(coordinator)
	<-cut
	in.until("its tasks are stopped", func() bool { return !in.ledger.IsRunning(id) })
	if status, body := in.submit(owner, id, 4, 20); status != http.StatusOK {
		t.Errorf("the same job again: %d %q", status, body)
	}
}

// TestCustomerLeaves breaks a customer's connection: the job is stopped.
func TestCustomerLeaves(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 1, "a-1")
	id := in.newID()
	conn, err := net.Dial("tcp", in.nodes["a-1"].settings.CustomerAddress)
	if err != nil {
		t.Fatal(err)
	}
	body := jobBody(2, 5000)
	if _, err := fmt.Fprintf(conn, "POST /checks/%s HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
		t.Fatal(err)
	}
	in.until("the job runs", func() bool { return in.ledger.IsRunning(id) })
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	in.until("its tasks are stopped", func() bool { return !in.ledger.IsRunning(id) })
}

// TestSentAgain sends a job again to the same and to another instance while it
// runs.
func TestSentAgain(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 2, "a-1", "a-2")
	id := in.newID()
	first := in.background("a-1", id, 2, 400)
	in.until("the job runs", func() bool { return in.ledger.IsRunning(id) })
	again := in.background("a-1", id, 2, 400)
	if a, b := <-first, <-again; a != http.StatusOK || b != http.StatusOK {
		t.Errorf("the same job twice at one instance: %d, %d", a, b)
	}
	if starts := in.ledger.Starts(); starts != 2 {
		t.Errorf("2 tasks were started %d times", starts)
	}
	id = in.newID()
	first = in.background("a-1", id, 2, 400)
	in.until("the job runs", func() bool { return in.ledger.IsRunning(id) })
	again = in.background("a-2", id, 2, 100)
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
			in := newInstallation(t, []string{"a"}, 3, "a-1")
			in.want("a-1", 6, 30)
			trouble(in.upstreams[0])
			for range 3 {
				in.want("a-1", 3, 60)
			}
		})
	}
}

// TestStoreAway serves without the store, and takes a configuration from a peer
// that still reaches it.
func TestStoreAway(t *testing.T) {
	for name, trouble := range map[string]standin.Fault{"silent": standin.NoAnswer, "busy": standin.Unavailable, "reset": standin.ConnectionReset} {
		t.Run(name, func(t *testing.T) {
			in := newInstallation(t, []string{"a"}, 2, "a-1", "a-2")
			in.store.SetFault(trouble, 0)
			in.want("a-1", 2, 20)
			in.kill(in.owner("a/0"))
			left := in.owner("a/0")
			in.want(left, 2, 20)
			in.store.SetFault(standin.NoFault, 0)
			in.configure(2, "/checks/", "/more/")
			in.until("the new route is there", func() bool {
				return in.status("GET", in.nodes[left].settings.CustomerAddress, "/more/") == http.StatusOK
			})
		})
	}
}

// TestConfigFromPeer starts an instance that never reaches the store: its peer
// tells it the configuration, and later versions.
func TestConfigFromPeer(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 1, "a-1")
	dead, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(dead.Close)
	dead.SetFault(standin.Unavailable, 0)
	settings := in.settings("a-2")
	settings.StoreAddress = dead.Address
	settings.SeedPeers = []string{in.nodes["a-1"].settings.PeerAddress}
	n, err := New(settings, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	in.nodes["a-2"] = n
	n.Run()
	in.until("the configuration has come from the peer", func() bool { c := n.config.Load(); return c != nil && c.Version == 1 })
	in.until("the owner is known", func() bool { return len(n.router.Loads()) == 1 })
	in.want("a-2", 1, 10)
	in.configure(7, "/checks/")
	in.until("the next version has come", func() bool { return n.config.Load().Version == 7 })
	n.applyConfig(in.nodes["a-1"].config.Load().Raw, "test")
	in.configure(3, "/checks/") // an older one, written late
	in.want("a-2", 1, 10)
	if v := n.config.Load().Version; v != 7 {
		t.Errorf("version %d is in force after version 7", v)
	}
}

// TestHistoryForgotten makes the store forget its history: everything is read
// again, and what was removed meanwhile is gone.
func TestHistoryForgotten(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 2, "a-1")
	in.store.SetFault(standin.Unavailable, 0)
	in.upstreams[0].Close()
	in.store.DropHistory()
	in.configure(5, "/checks/")
	in.store.SetFault(standin.NoFault, 0)
	n := in.nodes["a-1"]
	in.until("the configuration is read again", func() bool { return n.config.Load().Version == 5 })
	in.until("the upstream is gone", func() bool {
		return n.directory.CountInZone("a") == 1
	})
	in.want("a-1", 2, 10)
}

// TestPlannedStop stops the owner of the zone under work: nothing is cut off,
// and the other instance owns the zone afterwards.
func TestPlannedStop(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 3, "a-1", "a-2")
	owner := in.owner("a/0")
	other := in.other(owner)
	var running []<-chan int
	for _, name := range []string{owner, other} {
		running = append(running, in.background(name, in.newID(), 2, 600))
	}
	in.until("the jobs run", func() bool { return in.ledger.Starts() == 4 })
	stopped := make(chan bool, 1)
	go func() { stopped <- in.nodes[owner].Stop() }()
	in.until("it is not ready", func() bool {
		return in.status("GET", in.nodes[owner].settings.ReadinessAddress, "/readiness") == http.StatusServiceUnavailable
	})
	running = append(running, in.background(owner, in.newID(), 1, 30))
	for i, answer := range running {
		if status := <-answer; status != http.StatusOK {
			t.Errorf("job %d was answered %d in a planned stop", i, status)
		}
	}
	if !<-stopped {
		t.Error("the stop ended with work in flight")
	}
	in.kill(owner)
	in.want(other, 2, 20)
}

// TestFencedByStranger lets somebody unknown take an upstream with a higher
// token: it is left alone, and taken back after the settling time.
func TestFencedByStranger(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 1, "a-1")
	n := in.nodes["a-1"]
	n.mu.Lock()
	token := n.groups["a/0"].Token
	n.mu.Unlock()
	in.upstreams[0].WithModel(func(c *standin.UpstreamModel) { c.Hold(time.Now(), fleet.HoldOrder{Token: token + 1}) })
	in.until("the group is owned under a higher token", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.groups["a/0"] != nil && n.groups["a/0"].Token > token
	})
	in.until("work is done again", func() bool { status, _ := in.submit("a-1", in.newID(), 1, 10); return status == http.StatusOK })
}

// TestHeardWithoutOwnConnection starts an instance whose peers cannot connect to
// it: they answer on its connections, and it does not take a group of theirs.
func TestHeardWithoutOwnConnection(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 1, "a-1")
	settings := in.settings("a-2")
	n, err := New(settings, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	in.nodes["a-2"] = n
	_ = n.peerListener.Close() // nobody reaches it
	n.Run()
	in.until("it hears its peer", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		_, claim := n.claimOf("a/0", false)
		return claim != nil
	})
	in.want("a-2", 1, 10)
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.groups) > 0 {
		t.Error("it has taken the group of its peer")
	}
}

// TestStaleToken lets every upstream remember a token of an owner that is gone,
// far ahead of the clock: the group is taken within a few attempts.
func TestStaleToken(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 1, "a-1")
	in.kill("a-1")
	ahead := membership.NextToken(time.Now().Add(100*time.Second).UnixMilli(), 0, "gone")
	in.upstreams[0].WithModel(func(c *standin.UpstreamModel) { c.Hold(time.Now(), fleet.HoldOrder{Token: ahead}) })
	in.start("a-1")
	in.until("work is done again", func() bool { status, _ := in.submit("a-1", in.newID(), 1, 10); return status == http.StatusOK })
}
