package soak

import (
	"io"
	"net"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"
)

// regressions maps seeds with which a soak run has failed to the cause of the failure.
var regressions = map[uint64]string{
	4010: "the check of drained upstreams counted the time in which the store was unavailable",
}

// evacuationSeed is a seed with an evacuation among the first faults, so that a short run has one.
const evacuationSeed = 3

// restartSeed is a seed with both a restart and a resize of an upstream among the first faults, so
// that a short run has both.
const restartSeed = 5

// unevenSeed is a seed with the loss of an instance and a drain among the first faults.
const unevenSeed = 7

// cancellationSeed is a seed with a pause, a kill and a planned stop of instances among the first
// faults.
const cancellationSeed = 11

// buildDaemon builds the daemon and returns the path of the executable.
func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sedgehatchd")
	build := exec.Command("go", "build", "-o", path, "../cmd/sedgehatchd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("cannot build the daemon: %v: %s", err, out)
	}
	return path
}

// TestShort is a short soak run with each of several seeds: seed 1 and those in regressions.
func TestShort(t *testing.T) {
	daemon := buildDaemon(t)
	seeds := []uint64{1}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		report, err := Run(t.Context(), Config{
			Daemon: daemon, Dir: t.TempDir(), Seed: seed, InjectionTime: 4 * time.Second, Zones: 2, Instances: 2, Upstreams: 3, Customers: 6,
		})
		if err != nil {
			t.Fatal(err)
		}
		if report.Faults == 0 || report.Responses["completed"] == 0 {
			t.Errorf("seed %d: no faults were injected or no jobs completed: %+v", seed, report)
		}
		for _, b := range report.Violations {
			t.Errorf("seed %d (%s): %s", seed, regressions[seed], b)
		}
	}
}

// TestEvacuations is a short soak run whose faults include evacuations of zones.
func TestEvacuations(t *testing.T) {
	report, err := Run(t.Context(), Config{
		Daemon: buildDaemon(t), Dir: t.TempDir(), Seed: evacuationSeed, InjectionTime: 4 * time.Second, Zones: 2, Instances: 2, Upstreams: 3, Customers: 6,
		Evacuations: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Evacuations == 0 || report.Responses["completed"] == 0 {
		t.Errorf("no zones were evacuated or no jobs completed: %+v", report)
	}
	for _, b := range report.Violations {
		t.Error(b)
	}
}

// TestLives is a short soak run whose faults include upstreams that crash and restart under the
// same ID, and upstreams whose capacity is reduced for some time.
func TestLives(t *testing.T) {
	report, err := Run(t.Context(), Config{
		Daemon: buildDaemon(t), Dir: t.TempDir(), Seed: restartSeed, InjectionTime: 4 * time.Second, Zones: 2, Instances: 2, Upstreams: 3, Customers: 6,
		RestartsAndResizes: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Responses["completed"] == 0 {
		t.Errorf("no jobs completed: %+v", report)
	}
	for _, b := range report.Violations {
		t.Error(b)
	}
}

// TestUneven is a short soak run with upstreams of different speed. Those that are drained leave
// soon, and say so, while some of their tasks still run.
func TestUneven(t *testing.T) {
	report, err := Run(t.Context(), Config{
		Daemon: buildDaemon(t), Dir: t.TempDir(), Seed: unevenSeed, InjectionTime: 4 * time.Second, Zones: 2, Instances: 2, Upstreams: 3, Customers: 8,
		Uneven: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Responses["completed"] == 0 {
		t.Errorf("no jobs completed: %+v", report)
	}
	for _, b := range report.Violations {
		t.Error(b)
	}
}

// TestCancellations is a short soak run whose customers cancel jobs at any instance, while faults are
// injected. It guards against tasks that run on after the acknowledgement.
func TestCancellations(t *testing.T) {
	report, err := Run(t.Context(), Config{
		Daemon: buildDaemon(t), Dir: t.TempDir(), Seed: cancellationSeed, InjectionTime: 6 * time.Second, Zones: 2, Instances: 2, Upstreams: 4, Customers: 8,
		RestartsAndResizes: true, Cancellations: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Responses["completed"] == 0 || report.Responses["cancellation 200"] == 0 {
		t.Errorf("no jobs completed or none were cancelled: %+v", report)
	}
	for _, b := range report.Violations {
		t.Error(b)
	}
}

// TestEndTwice guards against the restart of a daemon that is still running. If two overlapping
// faults terminate the same daemon, both calls of terminate must return only after it has exited,
// because each fault then restarts it.
func TestEndTwice(t *testing.T) {
	sleeper, err := exec.LookPath("sleep")
	if err != nil {
		t.Fatal(err)
	}
	p := &process{name: "p", cmd: exec.Command(sleeper, "60"), ended: make(chan struct{})}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(p.ended)
	}()
	p.signal(syscall.SIGSTOP)
	var both sync.WaitGroup
	for range 2 {
		both.Go(func() {
			p.terminate(syscall.SIGKILL)
			if cmd.ProcessState == nil {
				t.Error("terminate returned before the process exited")
			}
		})
	}
	both.Wait()
}

// TestOutages checks how overlapping outages of the store are recorded.
func TestOutages(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	var o outages
	o.begin(at(1))
	o.begin(at(2))
	if o.end(at(3)) {
		t.Error("end returned true while another outage was in progress")
	}
	if away := o.overlap(at(0), at(4)); away != 3*time.Second {
		t.Errorf("overlap with an outage in progress: %v, want 3 s", away)
	}
	if !o.end(at(5)) {
		t.Error("end returned false for the last outage in progress")
	}
	for name, c := range map[string]struct{ from, to, want int }{
		"whole outage": {0, 9, 4}, "start of the outage": {0, 2, 1}, "end of the outage": {4, 9, 1}, "within the outage": {2, 3, 1}, "before the outage": {0, 1, 0}, "after the outage": {6, 9, 0},
	} {
		if away := o.overlap(at(c.from), at(c.to)); away != time.Duration(c.want)*time.Second {
			t.Errorf("%s: overlap %v, want %d s", name, away, c.want)
		}
	}
}

// TestProxy checks each mode of the proxy with an echo server.
func TestProxy(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	p, err := NewProxy(l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	echo := func() bool {
		c, err := net.Dial("tcp4", p.Address)
		if err != nil {
			return false
		}
		defer func() { _ = c.Close() }()
		return echoes(c)
	}
	p.SetMode(Forward)
	open, err := net.Dial("tcp4", p.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = open.Close() }()
	if !echoes(open) {
		t.Error("an open connection does not echo in mode Forward")
	}
	p.BlackholeOpenConnections()
	if echoes(open) {
		t.Error("a connection echoes after BlackholeOpenConnections")
	}
	if !echo() {
		t.Error("a new connection does not echo after BlackholeOpenConnections")
	}
	// Hold comes last, so that the deferred Close is also tested while the proxy holds data.
	for _, c := range []struct {
		mode Mode
		want bool
	}{{Forward, true}, {Delay, true}, {HoldResponses, false}, {Reset, false}, {Hold, false}} {
		p.SetMode(c.mode)
		if got := echo(); got != c.want {
			t.Errorf("mode %d: echo received: %v, want %v", c.mode, got, c.want)
		}
	}
}

// echoes reports whether a byte sent on the connection comes back within 300 ms.
func echoes(c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}
