package soak

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
)

// TestEndMeetsStart guards against a run that hangs: one fault ends a program while another
// starts it again, and waits for the end of the wrong one.
func TestEndMeetsStart(t *testing.T) {
	p := sleeper(t)
	const rounds, faults = 3000, 4
	for range rounds {
		var ended sync.WaitGroup
		for range faults {
			ended.Go(func() { p.end(syscall.SIGKILL) })
			ended.Go(func() {
				if err := p.start(); err != nil {
					t.Error(err)
				}
			})
		}
		ended.Wait()
	}
	p.end(syscall.SIGKILL)
}

// TestPausedStandsStill: a program counts as paused only once it stands still. Customers
// take it from there that a request was not read, and send it again at once.
func TestPausedStandsStill(t *testing.T) {
	p := sleeper(t)
	if err := p.start(); err != nil {
		t.Fatal(err)
	}
	const rounds = 2000
	running := 0
	for range rounds {
		cmd, _ := p.signal(syscall.SIGSTOP)
		stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", cmd.Process.Pid))
		if err != nil {
			t.Fatal(err)
		}
		if _, state, _ := strings.Cut(string(stat), ") "); !strings.HasPrefix(state, "T") {
			running++
		}
		p.signal(syscall.SIGCONT)
	}
	if running > 0 {
		t.Errorf("paused %d times, and running still %d times", rounds, running)
	}
	p.end(syscall.SIGKILL)
}

// sleeper returns a process whose program does nothing.
func sleeper(t *testing.T) *process {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	store, err := NewProxy("127.0.0.1:1") // the program does not use it
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return &process{name: "p", ip: "127.0.0.1", zone: "z", store: store, dir: dir, daemon: program}
}
