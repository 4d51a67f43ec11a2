package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sedgehatch/sedgehatch/failure"
)

// TestSoakDaemon checks that findDaemon finds the daemon by a given path or in the PATH, and
// otherwise builds it if the working directory is a checkout. If it is not, the error must say how
// to provide the daemon.
func TestSoakDaemon(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, daemonName)
	if err := os.WriteFile(program, []byte("#!/bin/sh\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	if found, cleanup, err := findDaemon(program); err != nil || found != program {
		t.Errorf("given path: found %q, error %v", found, err)
	} else {
		cleanup()
	}
	if _, _, err := findDaemon(filepath.Join(dir, "none")); failure.FieldOf(err) != "daemon" {
		t.Errorf("given path that does not exist: error %v, want one of field daemon", err)
	}
	before := os.Getenv("PATH")
	t.Setenv("PATH", dir+string(os.PathListSeparator)+before)
	if found, cleanup, err := findDaemon(""); err != nil || found != program {
		t.Errorf("in the PATH: found %q, error %v", found, err)
	} else {
		cleanup()
	}
	t.Setenv("PATH", before)
	t.Chdir("..")
	built, cleanup, err := findDaemon("")
	if err != nil {
		t.Fatalf("in a checkout: %v", err)
	}
	if _, err := os.Stat(built); err != nil {
		t.Errorf("the daemon was not built: %v", err)
	}
	cleanup()
	if _, err := os.Stat(built); err == nil {
		t.Error("cleanup did not remove the daemon")
	}
	t.Chdir(t.TempDir())
	if _, _, err := findDaemon(""); failure.FieldOf(err) != "daemon" || !strings.Contains(failure.Text(err), "run this in a checkout") {
		t.Errorf("outside of a checkout: error %v, want one that says how to provide the daemon", err)
	}
}
