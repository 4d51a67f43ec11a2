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

// regressions are the seeds that ever failed, each with its cause.
var regressions = map[uint64]string{
	4010: "the check counted the time in which the store answered nobody",
}

// evacuatingSeed draws evacuations early.
const evacuatingSeed = 3

// livesSeed draws both early.
const livesSeed = 5

func buildDaemon(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sedgehatchd")
	build := exec.Command("go", "build", "-o", path, "../cmd/sedgehatchd")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	return path
}

// TestShort is a short run of one seed; those that ever failed run with it.
func TestShort(t *testing.T) {
	daemon := buildDaemon(t)
	seeds := []uint64{1}
	for seed := range regressions {
		seeds = append(seeds, seed)
	}
	for _, seed := range seeds {
		report, err := Run(t.Context(), Config{
			Daemon: daemon, Dir: t.TempDir(), Seed: seed, Length: 4 * time.Second, Zones: 2, Instances: 2, Upstreams: 3, Customers: 6,
		})
		if err != nil {
			t.Fatal(err)
		}
		if report.Faults == 0 || report.Answers["completed"] == 0 {
			t.Errorf("seed %d: %+v", seed, report)
		}
		for _, b := range report.Broken {
			t.Errorf("seed %d (%s): %s", seed, regressions[seed], b)
		}
	}
}

// TestEvacuations is a short run of a seed that evacuates zones among other faults.
func TestEvacuations(t *testing.T) {
	report, err := Run(t.Context(), Config{
		Daemon: buildDaemon(t), Dir: t.TempDir(), Seed: evacuatingSeed, Length: 4 * time.Second, Zones: 2, Instances: 2, Upstreams: 3, Customers: 6,
		Evacuations: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Evacuations == 0 || report.Answers["completed"] == 0 {
		t.Errorf("%+v", report)
	}
	for _, b := range report.Broken {
		t.Error(b)
	}
}

// TestLives is a short run of a seed in which upstreams start again under their ids and
// change their room, among other faults.
func TestLives(t *testing.T) {
	report, err := Run(t.Context(), Config{
		Daemon: buildDaemon(t), Dir: t.TempDir(), Seed: livesSeed, Length: 4 * time.Second, Zones: 2, Instances: 2, Upstreams: 3, Customers: 6,
		Lives: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Answers["completed"] == 0 {
		t.Errorf("%+v", report)
	}
	for _, b := range report.Broken {
		t.Error(b)
	}
}

// TestEndTwice ends one program from two sides, as overlapping faults do: it is
// gone before another is started.
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
			p.end(syscall.SIGKILL)
			if cmd.ProcessState == nil {
				t.Error("the program counts as ended and has not")
			}
		})
	}
	both.Wait()
}

// TestOutages: only the time in which the store answers nobody is left out.
func TestOutages(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(1000+s), 0) }
	var o outages
	o.begin(at(1))
	o.begin(at(2))
	if o.end(at(3)) {
		t.Error("the store is there again while another outage lasts")
	}
	if away := o.within(at(0), at(4)); away != 3*time.Second {
		t.Errorf("%v of an outage that lasts", away)
	}
	if !o.end(at(5)) {
		t.Error("the last outage has ended, and the store is not there")
	}
	for name, c := range map[string]struct{ from, to, want int }{
		"all of it": {0, 9, 4}, "its begin": {0, 2, 1}, "its end": {4, 9, 1}, "within it": {2, 3, 1}, "before": {0, 1, 0}, "after": {6, 9, 0},
	} {
		if away := o.within(at(c.from), at(c.to)); away != time.Duration(c.want)*time.Second {
			t.Errorf("%s: %v, want %d s", name, away, c.want)
		}
	}
}

// TestProxy checks each mode against an echo.
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
	p.Set(Pass)
	open, err := net.Dial("tcp4", p.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = open.Close() }()
	if !echoes(open) {
		t.Error("an open connection does not echo")
	}
	p.SilenceOpen()
	if echoes(open) {
		t.Error("a connection that went silent echoes")
	}
	if !echo() {
		t.Error("a new connection does not echo beside a silent one")
	}
	// Silence goes last: a proxy that holds bytes for ever must still close.
	for _, c := range []struct {
		mode Mode
		want bool
	}{{Pass, true}, {Delay, true}, {OneWay, false}, {Refuse, false}, {Silence, false}} {
		p.Set(c.mode)
		if got := echo(); got != c.want {
			t.Errorf("mode %d: an echo %v, want %v", c.mode, got, c.want)
		}
	}
}

// echoes reports whether a byte comes back soon.
func echoes(c net.Conn) bool {
	_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_, err := io.ReadFull(c, make([]byte, 1))
	return err == nil
}
