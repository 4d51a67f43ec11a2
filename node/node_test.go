package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// installation is instances, upstreams and a store on loopback.
type installation struct {
	t         *testing.T
	store     *standin.Store
	ledger    *standin.Ledger
	upstreams []*standin.Upstream
	nodes     map[string]*Node
	mu        sync.Mutex
	nextJob   int
}

// patience bounds how long a test waits for something to become true.
const patience = 20 * time.Second

func newInstallation(t *testing.T, zones []string, upstreamsPerZone int, instances ...string) *installation {
	t.Helper()
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in := &installation{t: t, store: store, ledger: standin.NewLedger(), nodes: map[string]*Node{}}
	t.Cleanup(in.close)
	in.configure(1, "/checks/")
	for _, zone := range zones {
		for i := range upstreamsPerZone {
			in.addUpstream(fmt.Sprintf("u-%s-%d", zone, i), zone)
		}
	}
	for _, name := range instances {
		in.start(name)
	}
	for _, name := range instances {
		in.until(name+" is ready", func() bool {
			return in.status("GET", in.nodes[name].in.ReadinessAddress, "/readiness") == http.StatusOK
		})
	}
	in.until("every zone has an owner", func() bool {
		return len(in.nodes[instances[0]].router.Loads()) == len(zones)*membership.GroupCount(upstreamsPerZone)
	})
	return in
}

func (in *installation) close() {
	for _, n := range in.nodes {
		n.Close()
	}
	for _, u := range in.upstreams {
		u.Close()
	}
	in.store.Close()
	for _, b := range in.ledger.Broken() {
		in.t.Error(b)
	}
}

// configure puts a version of the configuration into the store.
func (in *installation) configure(version int, prefixes ...string) {
	var routes []standin.Route
	for _, prefix := range prefixes {
		routes = append(routes, standin.Route{Name: "r" + prefix, Host: "desk.example", Prefix: prefix, Service: "desk", MaxAttempts: 3})
	}
	if err := in.store.Configure(version, routes); err != nil {
		in.t.Fatal(err)
	}
}

// taskSize is what a task of these tests asks for; upstreams hold two.
const taskSize = 7000

func (in *installation) addUpstream(id, zone string) *standin.Upstream {
	u, err := standin.NewUpstream(standin.UpstreamConfig{
		ID: id, Service: "desk", Zone: zone, Address: "127.0.0.1:0", Capacity: fleet.Demand{MilliCPU: 16000, MemoryMB: 1000},
		Takes:  standin.TakesOf,
		Demand: func(string) fleet.Demand { return fleet.Demand{MilliCPU: taskSize} },
	}, in.store, in.ledger)
	if err != nil {
		in.t.Fatal(err)
	}
	in.upstreams = append(in.upstreams, u)
	return u
}

// zoneOfInstance is the part of an instance's name before the dash.
func zoneOfInstance(name string) string { zone, _, _ := strings.Cut(name, "-"); return zone }

func (in *installation) settings(name string) fleet.Instance {
	return fleet.Instance{
		Name: name, Zone: zoneOfInstance(name), Region: "r", CPUShare: 0.4,
		CustomerAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", MetricsAddress: "127.0.0.1:0",
		StoreAddress: in.store.Address,
		Timing: fleet.Timing{
			MaxTaskLease: time.Second, Grace: 6 * time.Second, FenceSettle: 3 * time.Second,
		},
	}
}

func (in *installation) start(name string) *Node {
	in.t.Helper()
	out := io.Discard
	if os.Getenv("SEDGEHATCH_TEST_LOG") != "" {
		out = os.Stderr
	}
	n, err := New(in.settings(name), slog.New(slog.NewJSONHandler(out, nil)).With(slog.String("instance", name)))
	if err != nil {
		in.t.Fatal(err)
	}
	in.nodes[name] = n
	n.Run()
	return n
}

// kill ends an instance at once.
func (in *installation) kill(name string) {
	in.nodes[name].Close()
	delete(in.nodes, name)
}

// owner returns the name of the instance that owns a group.
func (in *installation) owner(group string) string {
	in.t.Helper()
	name := ""
	in.until("group "+group+" has an owner", func() bool {
		for _, n := range in.nodes {
			n.mu.Lock()
			owns := n.groups[group] != nil
			n.mu.Unlock()
			if owns {
				name = n.in.Name
				return true
			}
		}
		return false
	})
	return name
}

// other returns an instance that is not the one given.
func (in *installation) other(than string) string {
	for name := range in.nodes {
		if name != than {
			return name
		}
	}
	in.t.Fatal("there is only one instance")
	return ""
}

func (in *installation) until(what string, true_ func() bool) {
	in.t.Helper()
	deadline := time.Now().Add(patience)
	for !true_() {
		if time.Now().After(deadline) {
			in.t.Fatalf("it never became true that %s", what)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (in *installation) status(method, address, path string) int {
	status, _ := in.call(method, address, path, nil)
	return status
}

// call makes one call and returns its status, 0 without an answer.
func (in *installation) call(method, address, path string, body []byte) (int, string) {
	req, err := standin.NewRequest(context.Background(), method, address, "desk.example", path, body, 8*time.Second)
	if err != nil {
		in.t.Error(err)
		return 0, ""
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: patience}
	res, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, ""
	}
	return res.StatusCode, string(raw)
}

func (in *installation) newID() string {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.nextJob++
	return fmt.Sprintf("%016x", in.nextJob)
}

func jobBody(tasks, ms int) []byte {
	return standin.Job{Tasks: tasks, MilliCPU: taskSize, Takes: time.Duration(ms) * time.Millisecond}.Body()
}

// submit hands a job to an instance and returns the answer.
func (in *installation) submit(name, id string, tasks, ms int) (int, string) {
	return in.call("POST", in.nodes[name].in.CustomerAddress, "/checks/"+id, jobBody(tasks, ms))
}

// background submits a job and returns a channel with the status.
func (in *installation) background(name, id string, tasks, ms int) <-chan int {
	answer := make(chan int, 1)
	address := in.nodes[name].in.CustomerAddress
	go func() {
		status, _ := in.call("POST", address, "/checks/"+id, jobBody(tasks, ms))
		answer <- status
	}()
	return answer
}

func (in *installation) want(name string, tasks, ms int) {
	in.t.Helper()
	if status, body := in.submit(name, in.newID(), tasks, ms); status != http.StatusOK || body != `{"State":"completed"}` {
		in.t.Fatalf("%s answered %d %q", name, status, body)
	}
}

// TestCalm serves jobs of both zones, also one that is wider than its own zone.
func TestCalm(t *testing.T) {
	in := newInstallation(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	for name := range in.nodes {
		in.want(name, 1, 20)
		in.want(name, 6, 20)
		in.want(name, 20, 10)
	}
}

// TestAnswers checks what is not a job, and what is not offered.
func TestAnswers(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 1, "a-1")
	address := in.nodes["a-1"].in.CustomerAddress
	kept := []byte(`{"TaskSpec":"1","Steps":[{"Count":1,"Cpu":100}]}`)
	huge := []byte(`{"TaskSpec":"1","BestEffort":true,"Steps":[{"Count":1,"Cpu":99000,"EstimatedMs":10}]}`)
	for _, c := range []struct {
		method, path string
		body         []byte
		status       int
		answer       string
	}{
		{"POST", "/none/0000000000000001", kept, 404, ""},
		{"POST", "/checks/0000000000000001", kept, 503, "not offered: kept_job"},
		{"POST", "/checks/0000000000000002", huge, 200, `{"State":"failed"}`},
		{"POST", "/checks/xyz", kept, 400, "id: is not 16 hex digits"},
		{"POST", "/checks/0000000000000003", []byte("{"), 400, "body: is not a job: unexpected end of JSON input"},
		{"POST", "/checks/0000000000000003", bytes.Repeat([]byte(" "), 2001), 413, "body: has 2001 bytes, over 2000"},
		{"GET", "/checks/0000000000000004", nil, 410, ""},
		{"DELETE", "/checks/0000000000000004", nil, 410, ""},
		{"GET", "/checks/", nil, 200, `{"Waiting":0}`},
		{"GET", "/none/", nil, 404, ""},
		{"PUT", "/checks/0000000000000004", nil, 405, ""},
	} {
		if status, answer := in.call(c.method, address, c.path, c.body); status != c.status || answer != c.answer {
			t.Errorf("%s %s: %d %q, want %d %q", c.method, c.path, status, answer, c.status, c.answer)
		}
	}
}

// TestOwnerKilled kills the owner of the only zone under work: the other
// instance takes the upstreams over, and no task has two runs at once.
func TestOwnerKilled(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 2, "a-1", "a-2")
	owner := in.owner("a/0")
	id := in.newID()
	lost := in.background(in.other(owner), id, 4, 500)
	in.until("the job runs", func() bool { return in.ledger.Runs(id) })
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
	in.until("the job runs", func() bool { return in.ledger.Runs(id) })
	in.kill(coordinator)
	<-cut
	in.until("its tasks are stopped", func() bool { return !in.ledger.Runs(id) })
	if status, body := in.submit(owner, id, 4, 20); status != http.StatusOK {
		t.Errorf("the same job again: %d %q", status, body)
	}
}

// TestCustomerLeaves breaks a customer's connection: the job is stopped.
func TestCustomerLeaves(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 1, "a-1")
	id := in.newID()
	conn, err := net.Dial("tcp", in.nodes["a-1"].in.CustomerAddress)
	if err != nil {
		t.Fatal(err)
	}
	body := jobBody(2, 5000)
	if _, err := fmt.Fprintf(conn, "POST /checks/%s HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body); err != nil {
		t.Fatal(err)
	}
	in.until("the job runs", func() bool { return in.ledger.Runs(id) })
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	in.until("its tasks are stopped", func() bool { return !in.ledger.Runs(id) })
}

// TestSentAgain sends a job again to the same and to another instance while it
// runs.
func TestSentAgain(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 2, "a-1", "a-2")
	id := in.newID()
	first := in.background("a-1", id, 2, 400)
	in.until("the job runs", func() bool { return in.ledger.Runs(id) })
	again := in.background("a-1", id, 2, 400)
	if a, b := <-first, <-again; a != http.StatusOK || b != http.StatusOK {
		t.Errorf("the same job twice at one instance: %d, %d", a, b)
	}
	if starts := in.ledger.Starts(); starts != 2 {
		t.Errorf("2 tasks were started %d times", starts)
	}
	id = in.newID()
	first = in.background("a-1", id, 2, 400)
	in.until("the job runs", func() bool { return in.ledger.Runs(id) })
	again = in.background("a-2", id, 2, 100)
	if a, b := <-first, <-again; a != http.StatusGatewayTimeout || b != http.StatusOK {
		t.Errorf("the same job at two instances: %d, %d", a, b)
	}
}

// TestUpstreamTroubles lets upstreams fail in each way; jobs go elsewhere.
func TestUpstreamTroubles(t *testing.T) {
	for name, trouble := range map[string]func(*standin.Upstream){
		"silent": func(u *standin.Upstream) { u.SetTrouble(standin.Silent) },
		"busy":   func(u *standin.Upstream) { u.SetTrouble(standin.Busy) },
		"reset":  func(u *standin.Upstream) { u.SetTrouble(standin.Reset) },
		"stalls": func(u *standin.Upstream) { u.Change(func(c *standin.Core) { c.Stalls = true }) },
		"slow":   func(u *standin.Upstream) { u.Change(func(c *standin.Core) { c.Slow = 20 }) },
		"fails":  func(u *standin.Upstream) { u.Change(func(c *standin.Core) { c.Fails = true }) },
		"late":   func(u *standin.Upstream) { u.Delay(0.3, 2*time.Second) },
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
	for name, trouble := range map[string]standin.Trouble{"silent": standin.Silent, "busy": standin.Busy, "reset": standin.Reset} {
		t.Run(name, func(t *testing.T) {
			in := newInstallation(t, []string{"a"}, 2, "a-1", "a-2")
			in.store.SetTrouble(trouble, 0)
			in.want("a-1", 2, 20)
			in.kill(in.owner("a/0"))
			left := in.owner("a/0")
			in.want(left, 2, 20)
			in.store.SetTrouble(standin.Fine, 0)
			in.configure(2, "/checks/", "/more/")
			in.until("the new route is there", func() bool {
				return in.status("GET", in.nodes[left].in.CustomerAddress, "/more/") == http.StatusOK
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
	dead.SetTrouble(standin.Busy, 0)
	settings := in.settings("a-2")
	settings.StoreAddress = dead.Address
	settings.SeedPeers = []string{in.nodes["a-1"].in.PeerAddress}
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
	n.takeConfig(in.nodes["a-1"].config.Load().Raw, "test")
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
	in.store.SetTrouble(standin.Busy, 0)
	in.upstreams[0].Close()
	in.store.Forget()
	in.configure(5, "/checks/")
	in.store.SetTrouble(standin.Fine, 0)
	n := in.nodes["a-1"]
	in.until("the configuration is read again", func() bool { return n.config.Load().Version == 5 })
	in.until("the upstream is gone", func() bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.upstreams) == 1
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
		return in.status("GET", in.nodes[owner].in.ReadinessAddress, "/readiness") == http.StatusServiceUnavailable
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
	in.upstreams[0].Change(func(c *standin.Core) { c.Hold(time.Now(), fleet.HoldOrder{Token: token + 1}) })
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
	_ = n.listener.Close() // nobody reaches it
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
	in.upstreams[0].Change(func(c *standin.Core) { c.Hold(time.Now(), fleet.HoldOrder{Token: ahead}) })
	in.start("a-1")
	in.until("work is done again", func() bool { status, _ := in.submit("a-1", in.newID(), 1, 10); return status == http.StatusOK })
}
