package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sedgehatch/sedgehatch/failure"
)

// TestSoakDaemon checks that the daemon is found by its given path or in the PATH, and is built
// in a checkout. Outside of a checkout, the error must say how to provide the daemon.
func TestSoakDaemon(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, daemonName)
	if err := os.WriteFile(program, []byte("#!/bin/sh\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	if found, cleanup, err := findDaemon(program); err != nil || found != program {
		t.Errorf("given path: %q, %v", found, err)
	} else {
		cleanup()
	}
	if _, _, err := findDaemon(filepath.Join(dir, "none")); failure.FieldOf(err) != "daemon" {
		t.Errorf("given path that does not exist: %v", err)
	}
	before := os.Getenv("PATH")
	t.Setenv("PATH", dir+string(os.PathListSeparator)+before)
	if found, cleanup, err := findDaemon(""); err != nil || found != program {
		t.Errorf("in the PATH: %q, %v", found, err)
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
		t.Errorf("outside of a checkout: %v", err)
	}
}
