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

// TestEndMeetsStart guards against a deadlock when a fault terminates a daemon while another
// fault restarts it: terminate must wait for the process that it has signalled, not for the
// new one.
func TestEndMeetsStart(t *testing.T) {
	p := newSleepProcess(t)
	const rounds, faults = 3000, 4
	for range rounds {
		var ended sync.WaitGroup
		for range faults {
			ended.Go(func() { p.terminate(syscall.SIGKILL) })
			ended.Go(func() {
				if err := p.start(); err != nil {
					t.Error(err)
				}
			})
		}
		ended.Wait()
	}
	p.terminate(syscall.SIGKILL)
}

// TestPausedStandsStill checks that signal returns only after a paused process has stopped.
// Customers rely on it: they resend a request at once if the instance was paused all the
// time, because it cannot have read the request.
func TestPausedStandsStill(t *testing.T) {
	p := newSleepProcess(t)
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
		t.Errorf("paused %d times, still running after %d of them", rounds, running)
	}
	p.terminate(syscall.SIGKILL)
}

// newSleepProcess returns a process whose program only sleeps.
func newSleepProcess(t *testing.T) *process {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\nexec sleep 600\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	store, err := NewProxy("127.0.0.1:1") // the program does not connect to it
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return &process{name: "p", ip: "127.0.0.1", zone: "z", store: store, dir: dir, daemon: program}
}
