package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

const (
	service     = "desk"
	host        = "desk.example"
	routePrefix = "/q0/"

	customerPort  = 18161
	readinessPort = 18167
	peerPort      = 17720

	// firstNetworkOctet is the second octet of the instances' addresses. The third one differs
	// between runs at the same time.
	firstNetworkOctet = 60
	networkCount      = 250

	taskMilliCPU     = 6000
	upstreamMilliCPU = 64000
	upstreamMemoryMB = 131072

	readyTimeout = 20 * time.Second
	pollInterval = 10 * time.Millisecond
)

// zoneSize is the number of instances and upstreams of an availability zone.
type zoneSize struct{ instances, upstreams int }

// instance is one process of the product.
type instance struct {
	name, ip, zone string
	dir            string
	store          string // address of the store
	starts         int

	mu    sync.Mutex
	cmd   *exec.Cmd
	ended chan struct{} // closed once cmd has exited
}

func (p *instance) customerAddress() string { return p.ip + ":" + strconv.Itoa(customerPort) }

// start starts the process with the command of the deploy file.
func (p *instance) start() error {
	settings, err := standin.Settings(standin.Process{
		Name: p.name, IP: p.ip, Zone: p.zone, CustomersPort: customerPort, ReadinessPort: readinessPort, PeersPort: peerPort,
		Store: p.store, FirstStart: p.starts == 0,
	})
	if err != nil {
		return err
	}
	file := filepath.Join(p.dir, p.name+".json")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	cmd := exec.Command("target/sedgehatchd", "platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.ended = cmd, ended
	p.starts++
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait() // the exit status is read from cmd.ProcessState
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process, unless it has exited.
func (p *instance) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s) // fails only if the process has exited
	}
}

// exited returns a channel that is closed once the process has exited.
func (p *instance) exited() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// kill ends the process at once and waits until it has exited.
func (p *instance) kill() {
	p.mu.Lock()
	started := p.cmd != nil
	p.mu.Unlock()
	if started {
		p.signal(syscall.SIGKILL)
		<-p.exited()
	}
}

// ready reports whether the readiness check of the process succeeds.
func (p *instance) ready() bool {
	probe := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := probe.Get(fmt.Sprintf("http://%s:%d/readiness", p.ip, readinessPort))
	if err != nil {
		return false
	}
	_ = res.Body.Close() // the body is not used
	return res.StatusCode == http.StatusOK
}

// installation is a small deployment: a store, upstreams, and processes of the product.
type installation struct {
	dir         string
	store       *standin.Store
	tracker     *standin.RunTracker
	upstreams   map[string][]*standin.Upstream // by zone
	instances   map[string][]*instance         // by zone
	reservation net.Listener
}

// newInstallation starts the store and the upstreams. The processes are started by startAll.
func newInstallation(zones map[string]zoneSize) (*installation, error) {
	dir, err := os.MkdirTemp("", "case")
	if err != nil {
		return nil, err
	}
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	in := &installation{
		dir: dir, store: store, tracker: standin.NewRunTracker(),
		upstreams: map[string][]*standin.Upstream{}, instances: map[string][]*instance{},
	}
	if err := in.configure(1); err != nil {
		return nil, err
	}
	network, err := in.reserveNetwork()
	if err != nil {
		return nil, err
	}
	for z, zone := range sortedZones(zones) {
		for i := range zones[zone].upstreams {
			u, err := standin.NewUpstream(standin.UpstreamConfig{
				ID: fmt.Sprintf("%s-u%d", zone, i), Service: service, Zone: zone, Address: "127.0.0.1:0",
				Capacity:     fleet.Resources{MilliCPU: upstreamMilliCPU, MemoryMB: upstreamMemoryMB},
				TaskDuration: standin.SpecDuration,
				Demand:       func(string) fleet.Resources { return fleet.Resources{MilliCPU: taskMilliCPU} },
			}, store, in.tracker)
			if err != nil {
				return nil, err
			}
			in.upstreams[zone] = append(in.upstreams[zone], u)
		}
		for i := range zones[zone].instances {
			in.instances[zone] = append(in.instances[zone], &instance{
				name: fmt.Sprintf("%s-%d", zone, i), zone: zone, dir: dir, store: store.Address,
				ip: fmt.Sprintf("127.%d.%d.%d", firstNetworkOctet+z, network, 10+i),
			})
		}
	}
	return in, nil
}

func sortedZones(zones map[string]zoneSize) []string {
	var names []string
	for zone := range zones {
		names = append(names, zone)
	}
	slices.Sort(names)
	return names
}

// configure writes a version of the configuration with one route.
func (in *installation) configure(version int) error {
	return in.store.Configure(version, []standin.Route{{Name: "r0", Host: host, Prefix: routePrefix, Service: service, MaxAttempts: 4}})
}

// reserveNetwork selects loopback addresses that no other run of a case uses.
func (in *installation) reserveNetwork() (int, error) {
	var err error
	for i := range networkCount {
		network := (os.Getpid() + i) % networkCount
		in.reservation, err = net.Listen("tcp4", fmt.Sprintf("127.%d.%d.9:%d", firstNetworkOctet, network, peerPort))
		if err == nil {
			return network, nil
		}
	}
	return 0, err
}

// all returns the processes of all zones.
func (in *installation) all() []*instance {
	var list []*instance
	for _, zone := range in.instances {
		list = append(list, zone...)
	}
	slices.SortFunc(list, func(a, b *instance) int { return strings.Compare(a.name, b.name) })
	return list
}

// startAll starts all processes and waits until they are ready. From then on a signal ends them with
// this program.
func (in *installation) startAll() error {
	go in.closeOnSignal()
	for _, p := range in.all() {
		if err := p.start(); err != nil {
			return err
		}
	}
	for _, p := range in.all() {
		if err := waitReady(p); err != nil {
			return err
		}
	}
	return nil
}

func waitReady(p *instance) error {
	for deadline := time.Now().Add(readyTimeout); !p.ready(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return fmt.Errorf("instance %s is not ready after %v", p.name, readyTimeout)
		}
	}
	return nil
}

// closeOnSignal ends the play and its processes when this program is told to end.
func (in *installation) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	in.close()
	os.Exit(exitFailed)
}

// close ends all processes and stand-ins.
func (in *installation) close() {
	for _, p := range in.all() {
		p.kill()
	}
	for _, zone := range in.upstreams {
		for _, u := range zone {
			u.Close()
		}
	}
	in.store.Close()
	_ = in.reservation.Close() // it has accepted no connections
	_ = os.RemoveAll(in.dir)   // what is left is in a temporary folder
}

// newCustomer returns a client that keeps its connection open between requests.
func newCustomer() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, MaxConnsPerHost: 1}}
}

// call sends a request of a customer and returns the status and body of the response.
func call(customer *http.Client, method string, p *instance, id string, body []byte, timeout time.Duration) (int, string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := standin.NewRequest(ctx, method, p.customerAddress(), host, routePrefix+id, body, timeout)
	if err != nil {
		return 0, "", err
	}
	return do(customer, req)
}

// do sends a request and returns the status and body of the response.
func do(customer *http.Client, req *http.Request) (int, string, error) {
	res, err := customer.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = res.Body.Close() }() // an error does not matter after the body has been read
	raw, err := io.ReadAll(res.Body)
	return res.StatusCode, string(raw), err
}
