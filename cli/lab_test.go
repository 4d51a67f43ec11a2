package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sedgehatch/sedgehatch/lab"
)

// TestLabRefusesBadInput checks that the error for an invalid flag names the flag.
func TestLabRefusesBadInput(t *testing.T) {
	for flag, value := range map[string]string{
		"seeds": "0", "load": "-1", "share": "1.5", "returns": "-1", "trouble": "weather", "without": "NoSuchRule",
		"coordinators": "0", "views": "-1s", "shift": "1.5", "added": "1", "zones": "65", "speeds": "0", "lead": "-1s",
	} {
		code, _, errOut := run("lab", "--seeds", "1", "--"+flag, value)
		if code != ExitUsage || !strings.Contains(errOut, flag+":") {
			t.Errorf("--%s %s: exit code %d, error output %q", flag, value, code, errOut)
		}
	}
	if code, _, errOut := run("lab", "--seeds", "1", "--plot", "x.png"); code != ExitUsage || !strings.Contains(errOut, "plot:") {
		t.Errorf("plot of a single variant: exit code %d, error output %q", code, errOut)
	}
}

// TestLabOutput checks the table, the JSON output and the plot.
func TestLabOutput(t *testing.T) {
	plot := filepath.Join(t.TempDir(), "rules.png")
	args := []string{"lab", "--seeds", "2", "--load", "0.6", "--trouble", "none", "--without", "WholeJobs+RejectEarly", "--plot", plot}
	code, table, errOut := run(args...)
	if code != ExitComplete || !strings.Contains(table, "product") || !strings.Contains(table, "without WholeJobs,RejectEarly") {
		t.Fatalf("table output: exit code %d, output %q, error output %q", code, table, errOut)
	}
	if info, err := os.Stat(plot); err != nil || info.Size() == 0 {
		t.Errorf("the plot is missing or empty: %v", err)
	}
	_, text, _ := run(append(args, "--json")...)
	var rows []lab.Row
	if err := json.Unmarshal([]byte(text), &rows); err != nil || len(rows) != 2 {
		t.Fatalf("JSON output: got %d rows, want 2; decoding error %v: %s", len(rows), err, text)
	}
	if code, _, errOut := run("lab", "--seeds", "1", "--load", "0.6", "--trouble", "none", "--json"); code != ExitComplete {
		t.Errorf("single seed: exit code %d, error output %q", code, errOut)
	}
	if w := rows[0].Metrics.Worth; w <= 0.5 || w > 1 {
		t.Errorf("worth %f, want more than 0.5 and at most 1", w)
	}
}
