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

// Config describes a run.
type Config struct {
	Daemon    string // the program
	Dir       string // for settings and logs
	Seed      uint64
	Length    time.Duration // of the faults
	Zones     int
	Instances int // of each availability zone
	Upstreams int // of each availability zone
	Customers int
	// Evacuations adds evacuations of availability zones to the faults. Seeds that
	// were kept before do without: they would play other faults.
	Evacuations bool
	// Lives adds upstreams that crash and start again under their ids, and whose room
	// shrinks and grows; as Evacuations.
	Lives bool
}

const (
	// taskCPU is what a task asks for, and upstreamCPU what an upstream has,
	// thousandths of a core.
	taskCPU     = 6000
	upstreamCPU = 20000
	// upstreamMemory is what an upstream has, megabytes.
	upstreamMemory = 1000
	// customersPort and the next ones are the same for all instances: each has
	// an address of loopback of its own.
	customersPort = 18161
	readinessPort = 18167
	peersPort     = 17720
	// networks is how many runs may go on at once on one machine.
	networks = 250
)

// process is one instance: a program that is started, stopped and started again.
type process struct {
	name, ip, zone string
	store          *Proxy
	dir            string
	daemon         string

	mu     sync.Mutex
	cmd    *exec.Cmd     // nil while the program does not run
	ended  chan struct{} // closed once cmd has ended
	paused bool
	pauses int // signals that paused it or let it go on
	life   int
}

func (p *process) customers() string { return p.ip + ":" + strconv.Itoa(customersPort) }

// settings writes the settings file of the process.
func (p *process) settings() error {
	raw, err := standin.Settings(standin.Process{
		Name: p.name, IP: p.ip, Zone: p.zone, CustomersPort: customersPort, ReadinessPort: readinessPort, PeersPort: peersPort,
		Store: p.store.Address, FirstStart: p.life == 0,
	})
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(p.dir, p.name+".json"), raw, 0o600)
}

// start starts the program, unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		return nil
	}
	if err := p.settings(); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the program has it
	cmd := exec.Command(p.daemon, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+filepath.Join(p.dir, p.name+".json"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended, p.paused = cmd, ended, false
	p.life++
	go func() {
		_ = cmd.Wait() // however it ended
		close(ended)
	}()
	return nil
}

// signal sends signals to the program, if it runs, and returns the one that got them and
// what tells of its end.
func (p *process) signal(signals ...syscall.Signal) (*exec.Cmd, <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return nil, nil
	}
	for _, s := range signals {
		p.paused = s == syscall.SIGSTOP || p.paused && s != syscall.SIGCONT
		p.pauses++
		_ = p.cmd.Process.Signal(s) // one that has just ended needs none
		if s == syscall.SIGSTOP {
			awaitStop(p.cmd.Process.Pid)
		}
	}
	return p.cmd, p.ended
}

// awaitStop waits until a child stands still, or has ended. Its threads run on for a while
// after the signal was sent, for milliseconds on a busy machine.
func awaitStop(pid int) {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED|unix.WEXITED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return // any other error tells that it has ended and was waited for
		}
	}
}

// stillness tells whether a process stands still, and which time it is: one that is the
// same later has not run meanwhile.
func (p *process) stillness() (number int, paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses, p.cmd != nil && p.paused
}

// end waits until the program has ended, after a signal that makes it. Several
// may end the same program at once.
func (p *process) end(s syscall.Signal) {
	cmd, ended := p.signal(syscall.SIGCONT, s)
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

// installation is the whole: processes, upstreams, the store, and proxies
// between them.
type installation struct {
	cfg       Config
	rng       *rand.Rand
	store     *standin.Store
	ledger    *standin.RunTracker
	processes []*process
	network   int          // of the addresses of the processes
	claim     net.Listener // keeps other runs from the same network
	version   int
	extra     int // routes beyond the first
	outages   outages

	mu        sync.Mutex
	upstreams []*upstream
	born      int
	evacuated map[string]bool // zones
	// evacuations is how many there were.
	evacuations int
}

type upstream struct {
	*standin.Upstream
	proxy   *Proxy
	zone    string
	drained time.Time
	claimed bool // a fault is at it that another must not undo
}

func newInstallation(cfg Config) (*installation, error) {
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	in := &installation{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, 2)), store: store, ledger: standin.NewRunTracker(), evacuated: map[string]bool{}}
	if err := in.configure(); err != nil {
		return nil, err
	}
	if err := in.claimNetwork(); err != nil {
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
				name: fmt.Sprintf("%s-%d", zone, i), ip: fmt.Sprintf("127.%d.%d.%d", firstNet+z, in.network, 10+i), zone: zone,
				store: proxy, dir: cfg.Dir, daemon: cfg.Daemon,
			}
			in.processes = append(in.processes, p)
		}
	}
	return in, nil
}

// firstNet is the second number of the addresses of the first availability zone.
const firstNet = 20

// claimNetwork picks addresses of loopback that no other run uses.
func (in *installation) claimNetwork() error {
	var err error
	for i := range networks {
		in.network = (os.Getpid() + i) % networks
		address := fmt.Sprintf("127.%d.%d.9:%d", firstNet, in.network, peersPort)
		if in.claim, err = net.Listen("tcp4", address); err == nil {
			return nil
		}
	}
	return err
}

// configure writes the next version: the first route always, others come and go.
func (in *installation) configure() error {
	in.version += 1 + in.rng.IntN(3)
	in.extra = in.rng.IntN(3)
	var routes []standin.Route
	for i := range 1 + in.extra {
		routes = append(routes, standin.Route{Name: fmt.Sprintf("r%d", i), Host: host, Prefix: prefix(i), Service: "desk", MaxAttempts: 4})
	}
	return in.store.Configure(in.version, routes)
}

const host = "desk.example"

func prefix(route int) string { return fmt.Sprintf("/q%d/", route) }

func (in *installation) addUpstream(zone string) error {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.born++
	u, err := standin.NewUpstream(standin.UpstreamConfig{
		ID: fmt.Sprintf("u%d", in.born), Service: "desk", Zone: zone, Address: "127.0.0.1:0",
		Capacity: fleet.Resources{MilliCPU: upstreamCPU, MemoryMB: upstreamMemory}, Unregistered: true,
		TaskDuration: standin.SpecDuration,
		Demand:       func(string) fleet.Resources { return fleet.Resources{MilliCPU: taskCPU} }, ReportsStartTime: in.cfg.Lives,
	}, in.store, in.ledger)
	if err != nil {
		return err
	}
	proxy, err := NewProxy(u.Address)
	if err != nil {
		return err
	}
	u.RegisterAt(proxy.Address)
	in.upstreams = append(in.upstreams, &upstream{Upstream: u, proxy: proxy, zone: zone})
	return nil
}

// close ends everything that the run started.
func (in *installation) close() {
	var ended sync.WaitGroup
	for _, p := range in.processes {
		ended.Go(func() { p.end(syscall.SIGKILL); p.store.Close() })
	}
	ended.Wait()
	for _, u := range in.upstreams {
		u.proxy.Close()
		u.Close()
	}
	in.store.Close()
	_ = in.claim.Close() // nothing was accepted on it
}
