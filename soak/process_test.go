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

// TestEndMeetsStart guards against a deadlock when one fault terminates a daemon while another one
// restarts it. Terminate must wait for the exit of the process that it has signalled. If it waited
// for the restarted one instead, it would never return.
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
// Customers depend on this. They send a job again at once if the instance was paused during the
// whole first request, because they assume that it has not read that request.
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
		t.Errorf("of %d times that signal returned after SIGSTOP, the process was still running %d times", rounds, running)
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
	store, err := NewProxy("127.0.0.1:1") // not used, because the program only sleeps
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	return &process{name: "p", ip: "127.0.0.1", zone: "z", store: store, dir: dir, daemon: program}
}
