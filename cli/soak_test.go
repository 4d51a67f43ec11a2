package cli

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sedgehatch/sedgehatch/failure"
)

// TestSoakDaemon finds the daemon where it is named, in the path, or by building it in
// a checkout; elsewhere the error tells how to get one.
func TestSoakDaemon(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, daemonProgram)
	if err := os.WriteFile(program, []byte("#!/bin/sh\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	if found, cleanup, err := soakDaemon(program); err != nil || found != program {
		t.Errorf("named: %q, %v", found, err)
	} else {
		cleanup()
	}
	if _, _, err := soakDaemon(filepath.Join(dir, "none")); failure.FieldOf(err) != "daemon" {
		t.Errorf("named and not there: %v", err)
	}
	before := os.Getenv("PATH")
	t.Setenv("PATH", dir+string(os.PathListSeparator)+before)
	if found, cleanup, err := soakDaemon(""); err != nil || found != program {
		t.Errorf("in the path: %q, %v", found, err)
	} else {
		cleanup()
	}
	t.Setenv("PATH", before)
	t.Chdir("..")
	built, cleanup, err := soakDaemon("")
	if err != nil {
		t.Fatalf("in a checkout: %v", err)
	}
	if _, err := os.Stat(built); err != nil {
		t.Errorf("it was not built: %v", err)
	}
	cleanup()
	if _, err := os.Stat(built); err == nil {
		t.Error("what was built stays")
	}
	t.Chdir(t.TempDir())
	if _, _, err := soakDaemon(""); failure.FieldOf(err) != "daemon" || !strings.Contains(failure.Text(err), "run this in a checkout") {
		t.Errorf("elsewhere: %v", err)
	}
}
