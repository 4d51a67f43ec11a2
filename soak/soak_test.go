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
var regressions = map[uint64]string{}

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
	for mode, want := range map[Mode]bool{Pass: true, Delay: true, Silence: false, OneWay: false, Refuse: false} {
		p.Set(mode)
		if got := echo(); got != want {
			t.Errorf("mode %d: an echo %v, want %v", mode, got, want)
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
