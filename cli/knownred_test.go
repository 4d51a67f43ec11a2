package cli

import (
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
)

// TestKnownRedEntries checks that the list of known failures takes no entry that leaves something out.
func TestKnownRedEntries(t *testing.T) {
	const entry = `TestX, cause: go test ./x -run TestX (no seed; 2 of 16 plays at load 4: 503), issue 45`
	for name, c := range map[string]struct {
		lines   []string
		missing string // what the check says that the entry lacks; "" if it is complete
	}{
		"none":       {nil, ""},
		"a comment":  {[]string{"# no entry", ""}, ""},
		"complete":   {[]string{entry}, ""},
		"a finding":  {[]string{strings.Replace(entry, "TestX, ", "bench finding, ", 1)}, ""},
		"with seed":  {[]string{strings.Replace(entry, "no seed", "seed 17", 1)}, ""},
		"five":       {[]string{entry, entry, entry, entry, entry}, ""},
		"no test":    {[]string{strings.Replace(entry, "TestX, ", "", 1)}, "test or finding"},
		"no command": {[]string{strings.Replace(entry, "go test ./x -run TestX", "", 1)}, "command"},
		"no seed":    {[]string{strings.Replace(entry, "no seed; ", "", 1)}, "seed"},
		"no count":   {[]string{strings.Replace(entry, "2 of 16 plays", "plays", 1)}, "count"},
		"no issue":   {[]string{strings.Replace(entry, ", issue 45", "", 1)}, "issue"},
		"the last":   {[]string{entry, strings.Replace(entry, ", issue 45", "", 1)}, "issue"},
	} {
		file := filepath.Join(t.TempDir(), "list")
		if err := os.WriteFile(file, []byte(strings.Join(c.lines, "\n")+"\n"), 0o600); err != nil {
			t.Fatal(err)
		}
		cmd := exec.Command("../.ci/known-red", file)
		var problems strings.Builder
		cmd.Stderr = &problems
		_, err := cmd.Output()
		if (err != nil) != (c.missing != "") || !strings.Contains(problems.String(), c.missing) || c.missing == "" && problems.Len() > 0 {
			t.Errorf("%s: error %v, problems %q, want one with %q", name, err, problems.String(), c.missing)
		}
	}
	if out, err := exec.Command("../.ci/known-red", "../KNOWN-RED.txt").CombinedOutput(); err != nil {
		t.Errorf("KNOWN-RED.txt: %v\n%s", err, out)
	}
}
