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

// testCluster is instances, upstreams and a store on loopback.
type testCluster struct {
	t         *testing.T
	store     *standin.Store
	runs      *standin.RunTracker
	upstreams []*standin.Upstream
	nodes     map[string]*Node
	// describe tells more where a test waits in vain; it may be nil.
	describe func() string
	mu       sync.Mutex
	nextJob  int
}

// waitLimit bounds how long a test waits for something to become true.
const waitLimit = 20 * time.Second

func newTestCluster(t *testing.T, zones []string, upstreamsPerZone int, instances ...string) *testCluster {
	t.Helper()
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	in := &testCluster{t: t, store: store, runs: standin.NewRunTracker(), nodes: map[string]*Node{}}
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
		in.waitUntil(name+" is ready", func() bool {
			return in.status("GET", in.nodes[name].settings.ReadinessAddress, "/readiness") == http.StatusOK
		})
	}
	in.waitUntil("every zone has an owner", func() bool {
		return len(in.nodes[instances[0]].router.Loads()) == len(zones)*membership.GroupCount(upstreamsPerZone, len(instances), 0)
	})
	return in
}

func (cluster *testCluster) close() {
	for _, n := range cluster.nodes {
		n.Close()
	}
	for _, u := range cluster.upstreams {
		u.Close()
	}
	cluster.store.Close()
	for _, b := range cluster.runs.Violations() {
		cluster.t.Error(b)
	}
}

// configure puts a version of the configuration into the store.
func (cluster *testCluster) configure(version int, prefixes ...string) {
	var routes []standin.Route
	for _, prefix := range prefixes {
		routes = append(routes, standin.Route{Name: "r" + prefix, Host: "desk.example", Prefix: prefix, Service: "desk", MaxAttempts: 3})
	}
	if err := cluster.store.Configure(version, routes); err != nil {
		cluster.t.Fatal(err)
	}
}

// taskSize is what a task of these tests asks for; upstreams hold two.
const taskSize = 7000

func (cluster *testCluster) addUpstream(id, zone string) *standin.Upstream {
	u, err := standin.NewUpstream(standin.UpstreamConfig{
		ID: id, Service: "desk", Zone: zone, Address: "127.0.0.1:0", Capacity: fleet.Resources{MilliCPU: 16000, MemoryMB: 1000},
		TaskDuration: standin.SpecDuration,
		Demand:       func(string) fleet.Resources { return fleet.Resources{MilliCPU: taskSize} }, ReportsStartTime: true,
	}, cluster.store, cluster.runs)
	if err != nil {
		cluster.t.Fatal(err)
	}
	cluster.upstreams = append(cluster.upstreams, u)
	return u
}

// zoneOfInstance is the part of an instance's name before the dash.
func zoneOfInstance(name string) string { zone, _, _ := strings.Cut(name, "-"); return zone }

func (cluster *testCluster) settings(name string) fleet.Instance {
	return fleet.Instance{
		Name: name, Zone: zoneOfInstance(name), Region: "r", CPUShare: 0.4,
		CustomerAddress: "127.0.0.1:0", ReadinessAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0", MetricsAddress: "127.0.0.1:0",
		StoreAddress: cluster.store.Address,
		Timing: fleet.Timing{
			MaxTaskLease: time.Second, Grace: 6 * time.Second, MinOwnershipInterval: 3 * time.Second,
		},
	}
}

func (cluster *testCluster) start(name string) *Node {
	cluster.t.Helper()
	return cluster.startWithCPUShare(name, cluster.settings(name).CPUShare)
}

// startWithCPUShare starts an instance with a share of a processor.
func (cluster *testCluster) startWithCPUShare(name string, share float64) *Node {
	cluster.t.Helper()
	settings := cluster.settings(name)
	settings.CPUShare = share
	return cluster.startWithSettings(settings)
}

// startWithSeed starts an instance whose settings name where another listens.
func (cluster *testCluster) startWithSeed(name, other string) *Node {
	cluster.t.Helper()
	settings := cluster.settings(name)
	settings.SeedPeers = []string{cluster.nodes[other].settings.PeerAddress}
	return cluster.startWithSettings(settings)
}

func (cluster *testCluster) startWithSettings(settings fleet.Instance) *Node {
	cluster.t.Helper()
	name := settings.Name
	out := io.Discard
	if os.Getenv("SEDGEHATCH_TEST_LOG") != "" {
		out = os.Stderr
	}
	n, err := New(settings, slog.New(slog.NewJSONHandler(out, nil)).With(slog.String("instance", name)))
	if err != nil {
		cluster.t.Fatal(err)
	}
	n.peerListener = standin.NewBlackholeListener(n.peerListener)
	cluster.nodes[name] = n
	n.Run()
	return n
}

// blackholePeerConnections makes the open connections between instances go silent for good;
// new ones work.
func (cluster *testCluster) blackholePeerConnections() {
	for _, n := range cluster.nodes {
		n.peerListener.(*standin.BlackholeListener).BlackholeOpen()
	}
}

// kill ends an instance at once.
func (cluster *testCluster) kill(name string) {
	cluster.nodes[name].Close()
	delete(cluster.nodes, name)
}

// owner returns the name of the instance that owns a group.
func (cluster *testCluster) owner(group string) string {
	cluster.t.Helper()
	name := ""
	cluster.waitUntil("group "+group+" has an owner", func() bool {
		for _, n := range cluster.nodes {
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
func (cluster *testCluster) other(than string) string {
	for name := range cluster.nodes {
		if name != than {
			return name
		}
	}
	cluster.t.Fatal("there is only one instance")
	return ""
}

func (cluster *testCluster) waitUntil(what string, condition func() bool) {
	cluster.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			more := ""
			if cluster.describe != nil {
				more = "\n" + cluster.describe()
			}
			cluster.t.Fatalf("it never became true that %s%s", what, more)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (cluster *testCluster) status(method, address, path string) int {
	status, _ := cluster.call(method, address, path, nil)
	return status
}

// call makes one call and returns its status, 0 without an answer.
func (cluster *testCluster) call(method, address, path string, body []byte) (int, string) {
	req, err := standin.NewRequest(context.Background(), method, address, "desk.example", path, body, 8*time.Second)
	if err != nil {
		cluster.t.Error(err)
		return 0, ""
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: waitLimit}
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

func (cluster *testCluster) newJobID() string {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	cluster.nextJob++
	return fmt.Sprintf("%016x", cluster.nextJob)
}

func jobBody(tasks, ms int) []byte {
	return standin.Job{Tasks: tasks, MilliCPU: taskSize, TaskDuration: time.Duration(ms) * time.Millisecond}.Body()
}

// submit hands a job to an instance and returns the answer.
func (cluster *testCluster) submit(name, id string, tasks, ms int) (int, string) {
	return cluster.call("POST", cluster.nodes[name].settings.CustomerAddress, "/checks/"+id, jobBody(tasks, ms))
}

// background submits a job and returns a channel with the status.
func (cluster *testCluster) background(name, id string, tasks, ms int) <-chan int {
	answer := make(chan int, 1)
	address := cluster.nodes[name].settings.CustomerAddress
	go func() {
		status, _ := cluster.call("POST", address, "/checks/"+id, jobBody(tasks, ms))
		answer <- status
	}()
	return answer
}

func (cluster *testCluster) mustComplete(name string, tasks, ms int) {
	cluster.t.Helper()
	if status, body := cluster.submit(name, cluster.newJobID(), tasks, ms); status != http.StatusOK || body != `{"State":"completed"}` {
		cluster.t.Fatalf("%s answered %d %q", name, status, body)
	}
}

// TestCalm serves jobs of both zones, also one that is wider than its own zone.
func TestCalm(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	for name := range cluster.nodes {
		cluster.mustComplete(name, 1, 20)
		cluster.mustComplete(name, 6, 20)
		cluster.mustComplete(name, 20, 10)
	}
}

// TestAnswers checks what is not a job, and what is not offered.
func TestAnswers(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	address := cluster.nodes["a-1"].settings.CustomerAddress
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
		if status, answer := cluster.call(c.method, address, c.path, c.body); status != c.status || answer != c.answer {
			t.Errorf("%s %s: %d %q, want %d %q", c.method, c.path, status, answer, c.status, c.answer)
		}
	}
}
