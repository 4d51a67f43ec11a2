package soak

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform"
	"github.com/sedgehatch/sedgehatch/platform/standin"

	"golang.org/x/sys/unix"
)

// Config holds the parameters of a soak run.
type Config struct {
	Daemon        string        // path of the daemon's executable
	Dir           string        // directory for settings files and logs
	Seed          uint64        // determines the sequence of faults and jobs
	InjectionTime time.Duration // how long new faults are injected
	Zones         int           // number of availability zones
	Instances     int           // number of instances per zone
	Upstreams     int           // number of upstreams per zone
	Customers     int           // number of customers that send jobs at the same time
	// Evacuations adds evacuations of zones to the faults. It is optional because the choice
	// of faults for a seed depends on it: a seed that was recorded without evacuations gives
	// the same faults only without them.
	Evacuations bool
	// RestartsAndResizes adds two kinds of faults: an upstream crashes and restarts under the
	// same ID, and the capacity of an upstream is reduced for some time. It is optional for
	// the same reason as Evacuations.
	RestartsAndResizes bool
	// Uneven makes upstreams differ in speed for good, and makes those that are drained say that
	// they leave soon, and leave then. It is optional for the same reason as Evacuations.
	Uneven bool
	// Cancellations makes customers cancel some of their jobs, at any instance. It is optional for
	// the same reason as Evacuations.
	Cancellations bool
}

const (
	// taskCPU is the CPU demand of a task, and upstreamCPU the CPU capacity of an upstream, in
	// thousandths of a core. Three tasks fit on an upstream at the same time.
	taskCPU     = 6000
	upstreamCPU = 20000
	// upstreamMemory is the memory of an upstream in megabytes.
	upstreamMemory = 1000
	// customerPort, readinessPort and peerPort are the ports on which each instance serves
	// customers, readiness checks and other instances. They are the same for all instances,
	// which have different loopback addresses.
	customerPort  = 18161
	readinessPort = 18167
	peerPort      = 17720
	// networkCount is the number of loopback networks, which differ in the third octet of their
	// addresses. Each soak run uses one of them, so it limits the number of concurrent soak
	// runs on a machine.
	networkCount = 250
)

// process is one instance: a daemon process that can be stopped and restarted.
type process struct {
	name, ip, zone string
	store          *Proxy
	dir            string
	daemon         string

	mu          sync.Mutex
	cmd         *exec.Cmd     // nil while the daemon is not running
	ended       chan struct{} // closed once cmd has exited
	paused      bool          // stopped by SIGSTOP
	signalCount int           // number of signals sent so far
	starts      int           // number of times that the daemon has been started
}

func (p *process) customerAddress() string { return p.ip + ":" + strconv.Itoa(customerPort) }

// writeSettings writes the settings file that the daemon reads when it starts.
func (p *process) writeSettings() error {
	raw, err := standin.Settings(standin.Process{
		Name: p.name, IP: p.ip, Zone: p.zone, CustomersPort: customerPort, ReadinessPort: readinessPort, PeersPort: peerPort,
		Store: p.store.Address, FirstStart: p.starts == 0,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, p.name+".json"), raw, 0o600)
}

// start starts the daemon unless it is running.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	if err := p.writeSettings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the daemon has its own descriptor
	cmd := exec.Command(p.daemon, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+filepath.Join(p.dir, p.name+".json"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.paused = cmd, ended, false
	p.starts++
	go func() {
		_ = cmd.Wait() // the exit status does not matter
		close(ended)
	}()
	return nil
}

// signal sends signals to the daemon and returns the daemon's command and a channel that is closed
// once the daemon has exited. If the daemon is not running, it sends nothing and returns nil. After
// SIGSTOP, it waits until no thread of the daemon runs any more.
func (p *process) signal(signals ...syscall.Signal) (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil, nil
	}
	for _, s := range signals {
		p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
		p.signalCount++
		_ = p.cmd.Process.Signal(s) // fails only if the process has just exited
		if s == syscall.SIGSTOP {
			waitStopped(p.cmd.Process.Pid)
		}
	}
	return p.cmd, p.ended
}

// waitStopped waits until a child process that was sent SIGSTOP has stopped, or has exited. This
// takes time because the threads of the process continue for a while after the signal, on a busy
// machine for milliseconds.
func waitStopped(pid int) {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return // any other error means that the process has exited and Wait has collected it
		}
	}
}

// pauseState reports whether the daemon is paused, and how many signals it has been sent. If two
// calls both report a pause and the same number of signals, the daemon has not run between them.
func (p *process) pauseState() (signals int, paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.signalCount, p.cmd != nil && p.paused
}

// terminate makes the daemon exit by sending it a signal, and waits until it has exited. A paused
// daemon is resumed first, because it would not handle the signal. Several goroutines may
// terminate the same daemon at the same time.
func (p *process) terminate(signal syscall.Signal) {
	cmd, ended := p.signal(syscall.SIGCONT, signal)
	if cmd == nil {
		return
	}
	<-ended
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == cmd {
		p.cmd = nil
	}
}

// installation consists of the instances, the emulated store and upstreams, and the proxies
// between them: each instance connects to the store through a proxy of its own, and all instances
// connect to an upstream through the proxy of that upstream.
type installation struct {
	cfg           Config
	rng           *rand.Rand
	store         *standin.Store
	tracker       *standin.RunTracker
	processes     []*process
	network       int          // third octet of the addresses of the instances
	reservation   net.Listener // keeps other soak runs from using the same network
	configVersion int
	extraRoutes   int // number of routes in the configuration besides the first one
	outages       outages

	mu             sync.Mutex
	upstreams      []*upstream
	upstreamCount  int // number of upstreams created so far
	evacuatedZones map[string]bool
	evacuations    int // number of evacuations so far
}

type upstream struct {
	*standin.Upstream
	proxy     *Proxy
	zone      string
	drainedAt time.Time // when its drain began; zero if it has not been drained
	reserved  bool      // a fault has crashed or resized it; no other fault may do so at the same time
}

// newInstallation starts the store, the proxies and the upstreams of an installation. The daemons
// of its instances are not started yet.
func newInstallation(cfg Config) (*installation, error) {
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	in := &installation{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2)), store: store, tracker: standin.NewRunTracker(), evacuatedZones: map[string]bool{}}
	if err := in.configure(); err != nil {
		return nil, err
	}
	if err := in.reserveNetwork(); err != nil {
		return nil, err
	}
	for z := range cfg.Zones {
		zone := fmt.Sprintf("z%d", z)
		for range cfg.Upstreams {
			if err := in.addUpstream(zone); err != nil {
				return nil, err
			}
		}
		for i := range cfg.Instances {
			proxy, err := NewProxy(store.Address)
			if err != nil {
				return nil, err
			}
			p := &process{
				name: fmt.Sprintf("%s-%d", zone, i), ip: fmt.Sprintf("127.%d.%d.%d", firstZoneOctet+z, in.network, 10+i), zone: zone,
				store: proxy, dir: cfg.Dir, daemon: cfg.Daemon,
			}
			in.processes = append(in.processes, p)
		}
	}
	return in, nil
}

// firstZoneOctet is the second octet of the addresses of the instances in the first zone. Each
// further zone uses the next number.
const firstZoneOctet = 20

// reserveNetwork selects a network of loopback addresses that no other soak run uses, and reserves
// it by listening on one of its addresses.
func (in *installation) reserveNetwork() error {
	var err error
	for i := range networkCount {
		in.network = (os.Getpid() + i) % networkCount
		address := fmt.Sprintf("127.%d.%d.9:%d", firstZoneOctet, in.network, peerPort)
		if in.reservation, err = net.Listen("tcp4", address); err == nil {
			return nil
		}
	}
	return err
}

// configure writes the next version of the configuration to the store. The first route, to which
// customers send their jobs, stays the same; the number of further routes is random.
func (in *installation) configure() error {
	in.configVersion += 1 + in.rng.IntN(3)
	in.extraRoutes = in.rng.IntN(3)
	var routes []standin.Route
	for i := range 1 + in.extraRoutes {
		routes = append(routes, standin.Route{Name: fmt.Sprintf("r%d", i), Host: host, Prefix: routePrefix(i), Service: "desk", MaxAttempts: 4})
	}
	return in.store.Configure(in.configVersion, routes)
}

const host = "desk.example"

// speedFactors are the factors by which tasks take longer on the upstreams, by turns, if
// Config.Uneven is set. They are small, so that the customers of a soak run still find room.
var speedFactors = [...]float64{1, 1.3, 1.6}

func routePrefix(route int) string { return fmt.Sprintf("/q%d/", route) }

// addUpstream starts an upstream behind a proxy and enters it in the store.
func (in *installation) addUpstream(zone string) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.upstreamCount++
	u, err := standin.NewUpstream(standin.UpstreamConfig{
		ID: fmt.Sprintf("u%d", in.upstreamCount), Service: "desk", Zone: zone, Address: "127.0.0.1:0",
		Capacity: fleet.Resources{MilliCPU: upstreamCPU, MemoryMB: upstreamMemory}, Unregistered: true,
		TaskDuration: standin.SpecDuration,
		Demand:       func(string) fleet.Resources { return fleet.Resources{MilliCPU: taskCPU} }, ReportsStartTime: in.cfg.RestartsAndResizes,
	}, in.store, in.tracker)
	if err != nil {
		return err
	}
	proxy, err := NewProxy(u.Address)
	if err != nil {
		return err
	}
	if in.cfg.Uneven {
		factor := speedFactors[in.upstreamCount%len(speedFactors)]
		u.WithModel(func(m *standin.UpstreamModel) { m.SlowdownFactor = factor })
	}
	u.RegisterAt(proxy.Address)
	in.upstreams = append(in.upstreams, &upstream{Upstream: u, proxy: proxy, zone: zone})
	return nil
}

// close stops all processes, proxies and upstreams of the installation, and the store.
func (in *installation) close() {
	var ended sync.WaitGroup
	for _, p := range in.processes {
		ended.Go(func() { p.terminate(syscall.SIGKILL); p.store.Close() })
	}
	ended.Wait()
	for _, u := range in.upstreams {
		u.proxy.Close()
		u.Close()
	}
	in.store.Close()
	_ = in.reservation.Close() // an error does not matter: the listener has accepted no connections
}
