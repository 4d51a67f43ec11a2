package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
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
)

const (
	daemon = "target/sedgehatchd" // with the argument platform, the command of the deploy file

	customersPort = 18161
	readinessPort = 18167
	peersPort     = 17720

	// networkCount is the number of loopback networks to choose from, so that several cases can
	// run on a machine at the same time.
	networkCount = 200
	firstOctets  = "127.60."

	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond

	host        = "desk.example"
	routePrefix = "/q/"
	service     = "desk"
	memoryMB    = 131072 // of each upstream
)

// bench is one small installation: the emulated store and upstreams, and the processes of the
// instances.
type bench struct {
	trouble bool // the disruption takes place
	// withoutStartTimes is set if upstreams do not report the start times of their incarnations.
	withoutStartTimes bool
	started           time.Time
	dir               string
	network           int
	reservation       net.Listener // keeps other cases from using the same network
	store             *standin.Store
	tracker           *standin.RunTracker
	instances         []*instance
	upstreams         []*upstream

	mu     sync.Mutex
	record *os.File
}

// newBench starts an empty installation that writes its record to a file.
func newBench(recordPath string, trouble bool) (*bench, error) {
	b := &bench{trouble: trouble, started: time.Now(), tracker: standin.NewRunTracker()}
	var err error
	if b.record, err = os.Create(recordPath); err != nil {
		return nil, err
	}
	if b.dir, err = os.MkdirTemp("", "review-case-"); err != nil {
		return nil, err
	}
	for i := range networkCount {
		b.network = (os.Getpid() + i) % networkCount
		if b.reservation, err = net.Listen("tcp4", net.JoinHostPort(b.ip(9), strconv.Itoa(peersPort))); err == nil {
			break
		}
	}
	if err != nil {
		return nil, err
	}
	if b.store, err = standin.NewStore("127.0.0.1:0"); err != nil {
		return nil, err
	}
	return b, nil
}

// ip returns an address of the network of this case.
func (b *bench) ip(last int) string { return fmt.Sprintf("%s%d.%d", firstOctets, b.network, last) }

// recordf writes a line with the time since the start of the case to the record.
func (b *bench) recordf(format string, args ...any) {
	line := fmt.Sprintf("%8.3f s  ", time.Since(b.started).Seconds()) + fmt.Sprintf(format, args...)
	b.mu.Lock()
	defer b.mu.Unlock()
	fmt.Fprintln(b.record, line)
}

// closeOnSignal ends the case and its processes when this process is told to end.
func (b *bench) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	<-signals
	b.close()
	os.Exit(exitNotRun)
}

// close ends all processes and stand-ins.
func (b *bench) close() {
	for _, i := range b.instances {
		i.kill()
	}
	for _, u := range b.upstreams {
		u.Close()
	}
	b.store.Close()
	_ = b.reservation.Close()
	_ = os.RemoveAll(b.dir)
}

// configure writes a version of the configuration with one route.
func (b *bench) configure(version int) error {
	b.recordf("the operator writes version %d of the configuration", version)
	return b.store.Configure(version, []standin.Route{{Name: "r", Host: host, Prefix: routePrefix, Service: service, MaxAttempts: 4}})
}

// upstream is an emulated upstream with an account of what it runs.
type upstream struct {
	*standin.Upstream
	bench  *bench
	zone   string
	demand int64                // of each task, in thousandths of a core; 0 if it differs
	onOver func(o overCapacity) // called for each start that brings the upstream over its capacity; may be nil

	mu          sync.Mutex
	capacity    int64 // of the present incarnation, in thousandths of a core
	running     map[fleet.Run]bool
	restartedAt time.Time         // start of the present incarnation
	onStart     func(r fleet.Run) // called for each run that starts; may be nil
}

// overCapacity describes a start that brought an upstream over its capacity.
type overCapacity struct {
	upstream       string
	run            fleet.Run
	used, capacity int64
	age            time.Duration // of the incarnation
}

// use returns a text about the use of the capacity, or "" if the demand of the tasks is not known.
func (o overCapacity) use() string {
	if o.used == 0 {
		return ""
	}
	return fmt.Sprintf(": %d of %d in use", o.used, o.capacity)
}

// addUpstream starts an upstream and writes its entry.
func (b *bench) addUpstream(id, zone string, capacity, demand int64, onOver func(overCapacity)) (*upstream, error) {
	u, err := b.newUpstream(id, zone, capacity, demand, onOver)
	if err == nil {
		u.RegisterAt(u.Address)
	}
	return u, err
}

// newUpstream is like addUpstream, but the upstream has no entry yet.
func (b *bench) newUpstream(id, zone string, capacity, demand int64, onOver func(overCapacity)) (*upstream, error) {
	u := &upstream{bench: b, zone: zone, demand: demand, onOver: onOver, capacity: capacity, running: map[fleet.Run]bool{}, restartedAt: time.Now()}
	var err error
	u.Upstream, err = standin.NewUpstream(standin.UpstreamConfig{
		ID: id, Service: service, Zone: zone, Address: "127.0.0.1:0", Capacity: fleet.Resources{MilliCPU: capacity, MemoryMB: memoryMB}, Unregistered: true,
		TaskDuration: standin.SpecDuration, Demand: func(string) fleet.Resources { return fleet.Resources{MilliCPU: demand, MemoryMB: 1} }, ReportsStartTime: !b.withoutStartTimes,
	}, b.store, b.tracker)
	if err != nil {
		return nil, err
	}
	u.WithModel(func(m *standin.UpstreamModel) {
		trackStart, trackEnd := m.OnStart, m.OnEnd
		m.OnStart = func(r fleet.Run) { trackStart(r); u.recordStart(r) }
		m.OnEnd = func(r fleet.Run, end fleet.End) { trackEnd(r, end); u.recordEnd(r, end) }
	})
	b.upstreams = append(b.upstreams, u)
	return u, nil
}

// setOnStart sets a function that is called for each run that starts from now on.
func (u *upstream) setOnStart(f func(r fleet.Run)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.onStart = f
}

func (u *upstream) recordStart(r fleet.Run) {
	u.mu.Lock()
	u.running[r] = true
	o := overCapacity{u.ID, r, int64(len(u.running)) * u.demand, u.capacity, time.Since(u.restartedAt)}
	onStart := u.onStart
	u.mu.Unlock()
	u.bench.recordf("%s starts run %d of task %s.%d%s", u.ID, r.Number, r.Task.Job, r.Task.Index, o.use())
	if o.used > o.capacity && u.onOver != nil {
		u.onOver(o)
	}
	if onStart != nil {
		onStart(r)
	}
}

func (u *upstream) recordEnd(r fleet.Run, end fleet.End) {
	u.mu.Lock()
	delete(u.running, r)
	u.mu.Unlock()
	u.bench.recordf("%s ends run %d of task %s.%d: %s", u.ID, r.Number, r.Task.Job, r.Task.Index, end)
}

// crash ends the incarnation. The next one has the given capacity.
func (u *upstream) crash(nextCapacity int64) {
	u.bench.recordf("%s crashes", u.ID)
	u.Crash()
	u.mu.Lock()
	u.running, u.capacity = map[fleet.Run]bool{}, nextCapacity
	u.mu.Unlock()
	u.WithModel(func(m *standin.UpstreamModel) { m.Capacity.MilliCPU = nextCapacity })
}

// restart starts the next incarnation under the same ID.
func (u *upstream) restart() {
	u.mu.Lock()
	u.restartedAt = time.Now()
	capacity := u.capacity
	u.mu.Unlock()
	u.bench.recordf("%s starts again under its ID, with a capacity of %d", u.ID, capacity)
	u.Restart()
}

// instance is one process of the daemon.
type instance struct {
	bench          *bench
	name, ip, zone string

	mu     sync.Mutex
	cmd    *exec.Cmd // nil while no process runs
	ended  chan struct{}
	starts int
}

// addInstance adds an instance and starts its process.
func (b *bench) addInstance(name, zone string) (*instance, error) {
	i := &instance{bench: b, name: name, ip: b.ip(10 + len(b.instances)), zone: zone}
	b.instances = append(b.instances, i)
	return i, i.start()
}

func (i *instance) logPath() string { return filepath.Join(i.bench.dir, i.name+".log") }

// log returns what the processes of the instance have written.
func (i *instance) log() (string, error) {
	raw, err := os.ReadFile(i.logPath())
	return string(raw), err
}

func (i *instance) settingsPath() string { return filepath.Join(i.bench.dir, i.name+".json") }

// start starts the process of the instance.
func (i *instance) start() error {
	raw, err := standin.Settings(standin.Process{
		Name: i.name, IP: i.ip, Zone: i.zone, CustomersPort: customersPort, ReadinessPort: readinessPort, PeersPort: peersPort,
		Store: i.bench.store.Address, FirstStart: i.starts == 0,
	})
	if err != nil {
		return err
	}
	if err := os.WriteFile(i.settingsPath(), raw, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(i.logPath(), os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has its own descriptor
	i.mu.Lock()
	defer i.mu.Unlock()
	cmd := exec.Command(daemon, "platform")
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+i.settingsPath())
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	i.starts++
	ended := make(chan struct{})
	i.cmd, i.ended = cmd, ended
	i.bench.recordf("%s is started", i.name)
	go func() {
		_ = cmd.Wait() // the exit status does not matter
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process of the instance.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.cmd != nil {
		i.bench.recordf("%s gets signal %v", i.name, s)
		_ = i.cmd.Process.Signal(s) // fails only if the process has ended
	}
}

// kill ends the process of the instance at once, and waits until it has ended.
func (i *instance) kill() {
	i.mu.Lock()
	cmd, ended := i.cmd, i.ended
	i.cmd = nil
	i.mu.Unlock()
	if cmd == nil {
		return
	}
	i.bench.recordf("%s is killed", i.name)
	_ = cmd.Process.Kill() // fails only if the process has ended
	<-ended
}

// waitReady waits until all instances report that they are ready for customers.
func (b *bench) waitReady() error {
	for _, i := range b.instances {
		if err := i.waitReady(); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until the instance reports that it is ready for customers.
func (i *instance) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for time.Now().Before(deadline) {
		res, err := http.Get(fmt.Sprintf("http://%s:%d%s", i.ip, readinessPort, platform.ReadinessPath))
		if err == nil {
			_ = res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(pollInterval)
	}
	return errors.New(i.name + " does not get ready")
}

// answer is the response to a request; the status is 0 if there was none.
type answer struct {
	status     int
	body       string
	retryAfter time.Duration
}

// customer sends requests on a connection of its own to each instance.
type customer struct {
	bench *bench
	http  http.Client
}

func (b *bench) newCustomer() *customer {
	return &customer{bench: b, http: http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}}
}

// submit sends a job to an instance and waits for the response.
func (c *customer) submit(i *instance, job standin.Job, timeout time.Duration) answer {
	c.bench.recordf("job %s is sent to %s", job.ID, i.name)
	a := c.do(http.MethodPost, i, job.ID, job.Body(), timeout)
	c.bench.recordf("job %s is answered %d %s", job.ID, a.status, a.body)
	return a
}

// do sends a request about a job to an instance.
func (c *customer) do(method string, i *instance, job string, body []byte, timeout time.Duration) answer {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	req, err := standin.NewRequest(ctx, method, net.JoinHostPort(i.ip, strconv.Itoa(customersPort)), host, routePrefix+job, body, timeout)
	if err != nil {
		return answer{}
	}
	res, err := c.http.Do(req)
	if err != nil {
		return answer{}
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return answer{}
	}
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After")) // 0 if there is none
	return answer{res.StatusCode, string(bytes.TrimSpace(raw)), time.Duration(seconds) * time.Second}
}

// jobShape is what the jobs of a customer have in common.
type jobShape struct {
	tasks, milliCPU int
	duration        time.Duration // of a task
}

// customerDeadline is how long customers wait for a response.
const customerDeadline = 1500 * time.Millisecond

// sendJobs sends one job after the other to the instances in turn, until stop is closed. After a
// rejection it waits as long as the response asks for.
func (b *bench) sendJobs(user int, stop <-chan struct{}, shape jobShape) {
	c := b.newCustomer()
	defer c.http.CloseIdleConnections()
	for n := 0; ; n++ {
		job := standin.Job{ID: fmt.Sprintf("%08x%08x", user+1, n), Tasks: shape.tasks, MilliCPU: shape.milliCPU, TaskDuration: shape.duration}
		a := c.submit(b.instances[(user+n)%len(b.instances)], job, customerDeadline)
		select {
		case <-stop:
			return
		case <-time.After(a.retryAfter):
		}
	}
}
