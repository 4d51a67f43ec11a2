package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform"
	"github.com/sedgehatch/sedgehatch/platform/standin"
	"github.com/sedgehatch/sedgehatch/soak"
)

const (
	// daemon and daemonRole are the command of the deploy file.
	daemon     = "target/sedgehatchd"
	daemonRole = "platform"

	host    = "desk.example"
	prefix  = "/desk/"
	service = "desk"

	// The ports of an instance. Each instance has a loopback address of its own.
	customersPort = 18161
	readinessPort = 18167
	peersPort     = 17720
	metricsPort   = 9464

	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	// restartDelay is the delay after which the platform starts a process again that has ended.
	restartDelay = time.Second
)

// instance is a daemon process, which the platform starts again whenever it ends.
type instance struct {
	name, ip, zone string
	d              *deployment
	store          *soak.Proxy // through which the instance reaches the store

	mu       sync.Mutex
	process  *os.Process // nil while the daemon does not run
	starts   int
	ownEnds  int  // how often the process has ended by itself
	expected bool // the next end has been ordered by the case
	removed  bool // the daemon is not started again
	ended    chan struct{}
}

func (i *instance) address() string { return net.JoinHostPort(i.ip, strconv.Itoa(customersPort)) }

// deployment is a small deployment: a store, upstreams and instances in one or more availability
// zones, on loopback addresses.
type deployment struct {
	record    *record
	dir       string
	store     *standin.Store
	tracker   *standin.RunTracker
	instances []*instance
	upstreams []*standin.Upstream
	zoneOf    map[string]string // availability zone by upstream
	version   int
	// reservation keeps other cases from using the same addresses.
	reservation net.Listener
	wait        sync.WaitGroup // for the goroutines that watch processes
}

// shape is the size of a deployment: the number of its availability zones, and of the instances and
// upstreams of each zone.
type shape struct{ zones, instances, upstreams int }

// Each upstream is as large as those of the deployment vacoas-hatch.
var capacity = fleet.Resources{MilliCPU: 64_000, MemoryMB: 131_072}

// newDeployment starts a deployment and waits until all of its instances are ready.
func newDeployment(r *record, s shape, demand func(spec string) fleet.Resources) (*deployment, error) {
	dir, err := os.MkdirTemp("", "sedgehatch-review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, dir: dir, tracker: standin.NewRunTracker(), zoneOf: map[string]string{}}
	d.closeOnSignal()
	if d.store, err = standin.NewStore("127.0.0.1:0"); err != nil {
		return d, err
	}
	if err := d.configure(); err != nil {
		return d, err
	}
	for z := range s.zones {
		for i := range s.upstreams {
			if err := d.addUpstream(fmt.Sprintf("u%d-%d", z, i), fmt.Sprintf("z%d", z), demand); err != nil {
				return d, err
			}
		}
	}
	network, err := d.reserveNetwork(s)
	if err != nil {
		return d, err
	}
	for z := range s.zones {
		for i := range s.instances {
			in := &instance{name: fmt.Sprintf("z%d-%d", z, i), zone: fmt.Sprintf("z%d", z), ip: instanceIP(network, z, i), d: d}
			if in.store, err = soak.NewProxy(d.store.Address); err != nil {
				return d, err
			}
			d.instances = append(d.instances, in)
			if err := in.start(); err != nil {
				return d, err
			}
		}
	}
	return d, d.waitReady()
}

// configure writes the next version of the configuration.
func (d *deployment) configure() error {
	d.version++
	d.record.add("operator writes configuration %d", d.version)
	return d.store.Configure(d.version, []standin.Route{{Name: "desk", Host: host, Prefix: prefix, Service: service, MaxAttempts: 4}})
}

// addUpstream starts an upstream whose starts and ends are written to the record.
func (d *deployment) addUpstream(id, zone string, demand func(spec string) fleet.Resources) error {
	u, err := standin.NewUpstream(standin.UpstreamConfig{
		ID: id, Service: service, Zone: zone, Address: "127.0.0.1:0", Capacity: capacity,
		TaskDuration: standin.SpecDuration, Demand: demand,
	}, d.store, d.tracker)
	if err != nil {
		return err
	}
	u.WithModel(func(m *standin.UpstreamModel) {
		onStart, onEnd := m.OnStart, m.OnEnd
		m.OnStart = func(r fleet.Run) {
			d.record.add("upstream %s starts %s.%d run %d", id, r.Task.Job, r.Task.Index, r.Number)
			onStart(r)
		}
		m.OnEnd = func(r fleet.Run, end fleet.End) {
			d.record.add("upstream %s ends %s.%d run %d: %s", id, r.Task.Job, r.Task.Index, r.Number, end)
			onEnd(r, end)
		}
	})
	d.upstreams = append(d.upstreams, u)
	d.zoneOf[id] = zone
	return nil
}

func instanceIP(network, zone, i int) string {
	return fmt.Sprintf("127.%d.%d.%d", 40+zone, network, 10+i)
}

// reserveNetwork returns the third octet of addresses on which the ports of all instances are free.
// It reserves the network against other cases by listening on one of its addresses.
func (d *deployment) reserveNetwork(s shape) (int, error) {
	const networks = 250
	for n := range networks {
		network := (os.Getpid() + n) % networks
		reservation, err := net.Listen("tcp4", fmt.Sprintf("127.40.%d.9:%d", network, peersPort))
		if err != nil {
			continue // another case uses it
		}
		free := true
		for z := range s.zones {
			for i := range s.instances {
				free = free && portsFree(instanceIP(network, z, i))
			}
		}
		if free {
			d.reservation = reservation
			return network, nil
		}
		_ = reservation.Close() // it has accepted no connections
	}
	return 0, errors.New("no loopback network is free")
}

func portsFree(ip string) bool {
	for _, port := range []int{customersPort, readinessPort, peersPort, metricsPort} {
		l, err := net.Listen("tcp4", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = l.Close() // the port is free, which is all that matters
	}
	return true
}

// writeSettings writes the settings file in the form of the platform's pages.
func (i *instance) writeSettings() (path string, err error) {
	address := func(port int) string { return net.JoinHostPort(i.ip, strconv.Itoa(port)) }
	raw, err := json.Marshal(map[string]any{
		"Node": i.name, "Role": "entry", "MachineClass": "frontend", "Ip": i.ip, "Zone": i.zone, "Region": "r",
		"Listen":        map[string]string{"Frontend": address(customersPort), "Readiness": address(readinessPort)},
		"InternalPorts": []int{peersPort, peersPort + 15}, "Seeds": []string{}, "Bootstrap": i.starts == 0,
		"Limits":   map[string]any{"CpuShare": 0.4, "Cores": 1, "MemoryMb": 284, "FileDescriptors": 4100, "LinkMbps": 1000.0, "DiskMb": 0},
		"Orders":   "call",
		"Bounds":   map[string]any{"GraceS": 6, "MaxHoldMs": 1000, "LeaseMs": 3000, "RemoteFactor": 3},
		"platform": map[string]any{"Address": i.store.Address, "form": "kv", "MinTtlMs": 1000},
	})
	if err != nil {
		return "", err
	}
	path = filepath.Join(i.d.dir, i.name+".json")
	return path, os.WriteFile(path, raw, 0o600)
}

// start starts the daemon, and a goroutine that starts it again when it has ended. It does nothing
// after remove.
func (i *instance) start() error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.removed {
		return nil
	}
	path, err := i.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(i.d.dir, i.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the daemon has its own descriptor
	cmd := exec.Command(daemon, daemonRole)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	i.starts++
	i.process, i.expected, i.ended = cmd.Process, false, make(chan struct{})
	i.d.record.add("instance %s starts", i.name)
	ended := i.ended
	i.d.wait.Go(func() {
		state, _ := cmd.Process.Wait()
		close(ended)
		i.handleEnd(state)
	})
	return nil
}

// handleEnd records the end of the process and starts it again after restartDelay.
func (i *instance) handleEnd(state *os.ProcessState) {
	i.mu.Lock()
	i.process = nil
	if !i.expected {
		i.ownEnds++
		i.d.record.add("instance %s ends by itself, for the %d. time: %v", i.name, i.ownEnds, state)
	}
	removed := i.removed
	i.mu.Unlock()
	if removed {
		return
	}
	time.Sleep(restartDelay)
	if err := i.start(); err != nil {
		i.d.record.add("instance %s cannot be started: %v", i.name, err)
	}
}

// remove kills the daemon for good.
func (i *instance) remove() {
	i.mu.Lock()
	i.removed, i.expected = true, true
	if i.process != nil {
		_ = i.process.Signal(syscall.SIGKILL) // fails only if the process has just ended
	}
	i.mu.Unlock()
}

// waitReady waits until all instances respond to readiness probes with 200.
func (d *deployment) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, i := range d.instances {
		for !i.isReady() {
			if time.Now().After(deadline) {
				return fmt.Errorf("instance %s is not ready %v after the start", i.name, readyTimeout)
			}
			time.Sleep(pollInterval)
		}
	}
	d.record.add("all instances are ready")
	return nil
}

func (i *instance) isReady() bool {
	res, err := http.Get("http://" + net.JoinHostPort(i.ip, strconv.Itoa(readinessPort)) + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close() // the body is not used
	return res.StatusCode == http.StatusOK
}

// closeOnSignal makes SIGINT and SIGTERM end everything that the case has started, and then the case.
func (d *deployment) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		d.close()
		os.Exit(exitNotRun)
	}()
}

// close ends all processes and stand-ins, and removes the temporary folder.
func (d *deployment) close() {
	for _, i := range d.instances {
		i.remove()
	}
	d.wait.Wait()
	for _, i := range d.instances {
		i.store.Close()
	}
	for _, u := range d.upstreams {
		u.Close()
	}
	if d.store != nil {
		d.store.Close()
	}
	if d.reservation != nil {
		_ = d.reservation.Close() // it has accepted no connections
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir) // a leftover in the temporary folder is harmless
	}
}
