package node

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log/slog"
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
	ledger    *standin.RunTracker
	upstreams []*standin.Upstream
	nodes     map[string]*Node
	// describe tells more where a test waits in vain; it may be nil.
	describe func() string
	mu       sync.Mutex
	nextJob  int
}

// patience bounds how long a test waits for something to become true.
const patience = 20 * time.Second

func newInstallation(t *testing.T, zones []string, upstreamsPerZone int, instances ...string) *installation {
	t.Helper()
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in := &installation{t: t, store: store, ledger: standin.NewRunTracker(), nodes: map[string]*Node{}}
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
			return in.status("GET", in.nodes[name].settings.ReadinessAddress, "/readiness") == http.StatusOK
		})
	}
	in.until("every zone has an owner", func() bool {
		return len(in.nodes[instances[0]].router.Loads()) == len(zones)*membership.GroupCount(upstreamsPerZone, len(instances), 0)
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
	for _, b := range in.ledger.Violations() {
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
		ID: id, Service: "desk", Zone: zone, Address: "127.0.0.1:0", Capacity: fleet.Resources{MilliCPU: 16000, MemoryMB: 1000},
		TaskDuration: standin.SpecDuration,
		Demand:       func(string) fleet.Resources { return fleet.Resources{MilliCPU: taskSize} }, ReportsStartTime: true,
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
			MaxTaskLease: time.Second, Grace: 6 * time.Second, MinOwnershipInterval: 3 * time.Second,
		},
	}
}

func (in *installation) start(name string) *Node {
	in.t.Helper()
	return in.startSized(name, in.settings(name).CPUShare)
}

// startSized starts an instance with a share of a processor.
func (in *installation) startSized(name string, share float64) *Node {
	in.t.Helper()
	settings := in.settings(name)
	settings.CPUShare = share
	return in.startWith(settings)
}

// startKnowing starts an instance whose settings name where another listens.
func (in *installation) startKnowing(name, other string) *Node {
	in.t.Helper()
	settings := in.settings(name)
	settings.SeedPeers = []string{in.nodes[other].settings.PeerAddress}
	return in.startWith(settings)
}

func (in *installation) startWith(settings fleet.Instance) *Node {
	in.t.Helper()
	name := settings.Name
	out := io.Discard
	if os.Getenv("SEDGEHATCH_TEST_LOG") != "" {
		out = os.Stderr
	}
	n, err := New(settings, slog.New(slog.NewJSONHandler(out, nil)).With(slog.String("instance", name)))
	if err != nil {
		in.t.Fatal(err)
	}
	n.peerListener = standin.NewBlackholeListener(n.peerListener)
	in.nodes[name] = n
	n.Run()
	return n
}

// silencePeers makes the open connections between instances go silent for good;
// new ones work.
func (in *installation) silencePeers() {
	for _, n := range in.nodes {
		n.peerListener.(*standin.BlackholeListener).BlackholeOpen()
	}
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
				name = n.settings.Name
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
			more := ""
			if in.describe != nil {
				more = "\n" + in.describe()
			}
			in.t.Fatalf("it never became true that %s%s", what, more)
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
	return standin.Job{Tasks: tasks, MilliCPU: taskSize, TaskDuration: time.Duration(ms) * time.Millisecond}.Body()
}

// submit hands a job to an instance and returns the answer.
func (in *installation) submit(name, id string, tasks, ms int) (int, string) {
	return in.call("POST", in.nodes[name].settings.CustomerAddress, "/checks/"+id, jobBody(tasks, ms))
}

// background submits a job and returns a channel with the status.
func (in *installation) background(name, id string, tasks, ms int) <-chan int {
	answer := make(chan int, 1)
	address := in.nodes[name].settings.CustomerAddress
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
	address := in.nodes["a-1"].settings.CustomerAddress
	kept := standin.Job{Tasks: 1, MilliCPU: 100, TaskDuration: time.Millisecond, Durable: true}.Body()
	huge := standin.Job{Tasks: 1, MilliCPU: 99000, TaskDuration: 10 * time.Millisecond}.Body()
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
