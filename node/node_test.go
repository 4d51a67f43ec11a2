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

// testCluster is a set of instances with emulated upstreams and an emulated store, all on
// the loopback interface.
type testCluster struct {
	t         *testing.T
	store     *standin.Store
	runs      *standin.RunTracker
	upstreams []*standin.Upstream
	nodes     map[string]*Node
	// describe returns details for the message when waitUntil times out. It may be nil.
	describe func() string
	mu       sync.Mutex
	nextJob  int
}

// waitLimit is the time limit of waitUntil.
const waitLimit = 20 * time.Second

// newTestCluster starts a cluster and waits until all instances are ready and all groups have
// an owner.
func newTestCluster(t *testing.T, zones []string, upstreamsPerZone int, instances ...string) *testCluster {
	t.Helper()
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	cluster := &testCluster{t: t, store: store, runs: standin.NewRunTracker(), nodes: map[string]*Node{}}
	t.Cleanup(cluster.close)
	cluster.configure(1, "/checks/")
	for _, zone := range zones {
		for i := range upstreamsPerZone {
			cluster.addUpstream(fmt.Sprintf("u-%s-%d", zone, i), zone)
		}
	}
	for _, name := range instances {
		cluster.start(name)
	}
	for _, name := range instances {
		cluster.waitUntil(name+" is ready", func() bool {
			return cluster.status("GET", cluster.nodes[name].settings.ReadinessAddress, "/readiness") == http.StatusOK
		})
	}
	cluster.waitUntil("every group has an owner", func() bool {
		return len(cluster.nodes[instances[0]].router.Loads()) == len(zones)*membership.GroupCount(upstreamsPerZone, len(instances), 0)
	})
	return cluster
}

// close stops the cluster, and fails the test if the runs of the upstreams have violated an
// invariant.
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

// configure writes a version of the configuration, with a route for each prefix, to the store.
func (cluster *testCluster) configure(version int, prefixes ...string) {
	var routes []standin.Route
	for _, prefix := range prefixes {
		routes = append(routes, standin.Route{Name: "r" + prefix, Host: "desk.example", Prefix: prefix, Service: "desk", MaxAttempts: 3})
	}
	if err := cluster.store.Configure(version, routes); err != nil {
		cluster.t.Fatal(err)
	}
}

// taskSize is the CPU demand of each task of these tests, in thousandths of a core. An upstream
// has the capacity for two of them.
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

// zoneOfInstance returns the zone of an instance, which is its name up to the first dash.
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

// startWithCPUShare starts an instance with a CPU share.
func (cluster *testCluster) startWithCPUShare(name string, cpuShare float64) *Node {
	cluster.t.Helper()
	settings := cluster.settings(name)
	settings.CPUShare = cpuShare
	return cluster.startWithSettings(settings)
}

// startWithSeed starts an instance that has another one as its seed peer.
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

// blackholePeerConnections makes the open connections between instances drop all data from now
// on. New connections work.
func (cluster *testCluster) blackholePeerConnections() {
	for _, n := range cluster.nodes {
		n.peerListener.(*standin.BlackholeListener).BlackholeOpenConnections()
	}
}

// kill ends an instance without a planned shutdown.
func (cluster *testCluster) kill(name string) {
	cluster.nodes[name].Close()
	delete(cluster.nodes, name)
}

// owner returns the name of an instance that owns a group. It waits until there is one.
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

// other returns the name of some other instance.
func (cluster *testCluster) other(name string) string {
	for candidate := range cluster.nodes {
		if candidate != name {
			return candidate
		}
	}
	cluster.t.Fatal("there is only one instance")
	return ""
}

// waitUntil waits until a condition holds, and fails the test if it does not within waitLimit.
func (cluster *testCluster) waitUntil(what string, condition func() bool) {
	cluster.t.Helper()
	deadline := time.Now().Add(waitLimit)
	for !condition() {
		if time.Now().After(deadline) {
			details := ""
			if cluster.describe != nil {
				details = "\n" + cluster.describe()
			}
			cluster.t.Fatalf("timed out waiting until %s%s", what, details)
		}
		time.Sleep(2 * time.Millisecond)
	}
}

func (cluster *testCluster) status(method, address, path string) int {
	status, _ := cluster.call(method, address, path, nil)
	return status
}

// call makes an HTTP request and returns the status and body of the response, or 0 if there is
// none.
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

// submit submits a job of tasks that run for ms milliseconds each to an instance, and returns
// the response.
func (cluster *testCluster) submit(name, id string, tasks, ms int) (int, string) {
	return cluster.call("POST", cluster.nodes[name].settings.CustomerAddress, "/checks/"+id, jobBody(tasks, ms))
}

// submitAsync submits a job in the background and returns a channel that receives the status
// of the response.
func (cluster *testCluster) submitAsync(name, id string, tasks, ms int) <-chan int {
	result := make(chan int, 1)
	address := cluster.nodes[name].settings.CustomerAddress
	go func() {
		status, _ := cluster.call("POST", address, "/checks/"+id, jobBody(tasks, ms))
		result <- status
	}()
	return result
}

// mustComplete submits a job to an instance, and fails the test if it is not completed.
func (cluster *testCluster) mustComplete(name string, tasks, ms int) {
	cluster.t.Helper()
	if status, body := cluster.submit(name, cluster.newJobID(), tasks, ms); status != http.StatusOK || body != `{"State":"completed"}` {
		cluster.t.Fatalf("%s responded %d %q", name, status, body)
	}
}

// TestCalm submits jobs to all instances while nothing fails. Some of the jobs have more tasks
// than one zone can run at once.
func TestCalm(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	for name := range cluster.nodes {
		cluster.mustComplete(name, 1, 20)
		cluster.mustComplete(name, 6, 20)
		cluster.mustComplete(name, 20, 10)
	}
}

// TestAnswers checks the responses to invalid jobs, to jobs that are valid but not supported, and
// to the other methods of the interface.
func TestAnswers(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	address := cluster.nodes["a-1"].settings.CustomerAddress
	durable := standin.Job{Tasks: 1, MilliCPU: 100, TaskDuration: time.Millisecond, Durable: true}.Body()
	oversized := standin.Job{Tasks: 1, MilliCPU: 99000, TaskDuration: 10 * time.Millisecond}.Body()
	for _, c := range []struct {
		method, path string
		body         []byte
		status       int
		answer       string
	}{
		{"POST", "/none/0000000000000001", durable, 404, ""},
		{"POST", "/checks/0000000000000001", durable, 503, "not offered: kept_job"},
		{"POST", "/checks/0000000000000002", oversized, 200, `{"State":"failed"}`},
		{"POST", "/checks/xyz", durable, 400, "id: is not 16 hex digits"},
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
