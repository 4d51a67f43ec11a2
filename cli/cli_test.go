package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/experiment"
	"github.com/sedgehatch/sedgehatch/fate"
)

func run(args ...string) (code int, out, errOut string) {
	var o, e bytes.Buffer
	code = Run(context.Background(), append([]string{"sedgehatch"}, args...), &o, &e)
	return code, o.String(), e.String()
}

func startFleet(t *testing.T) *experiment.Cluster {
	t.Helper()
	c, err := experiment.StartCluster(experiment.ClusterSpec{Zones: []experiment.ZoneSpec{{Name: "a", Entries: 2, Upstreams: 2}}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func writeTempFile(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// TestExitCodes checks the exit code of each fate, of invalid input and of an unreachable
// instance.
func TestExitCodes(t *testing.T) {
	c := startFleet(t)
	entry := "--entry=" + c.CallerAddresses()[0]
	for _, test := range []struct {
		text string
		code int
		fate fate.Kind
	}{
		{`{"service":"desk","tasks":[{"payload":{"echo":1}}]}`, ExitComplete, fate.Complete},
		{`{"service":"desk","tasks":[{"payload":{"fail":true}}]}`, ExitFailed, fate.Failed},
		{`{"service":"desk","tasks":[{"cpu":1000}]}`, ExitNotRun, fate.NotRun},
	} {
		code, out, errOut := run("submit", entry, "--json", writeTempFile(t, test.text))
		var a api.Answer
		if err := json.Unmarshal([]byte(out), &a); err != nil || code != test.code || a.Fate != test.fate {
			t.Errorf("%s: exit code %d, output %s %s, decoding error %v", test.text, code, out, errOut, err)
		}
	}
	for _, args := range [][]string{
		{"submit", entry, writeTempFile(t, `{"service":"desk","tasks":[]}`)},
		{"submit", entry, writeTempFile(t, `{"service":"desk","job":1}`)},
		{"submit", entry},
		{"bench"},
		{"settings", "set", "planet", "witness", "zone"},
	} {
		if code, _, errOut := run(args...); code != ExitUsage || errOut == "" {
			t.Errorf("invalid command %v: exit code %d, error output %q", args, code, errOut)
		}
	}
	if code, _, _ := run("instances", "--entry=127.0.0.1:1"); code != ExitError {
		t.Errorf("unreachable instance: exit code %d, want 1", code)
	}
}

func TestSettingsCommands(t *testing.T) {
	c := startFleet(t)
	platformFlag := []string{"--platform=" + c.Platform.Address()}
	changeFlags := append(platformFlag, "--entry="+c.CallerAddresses()[0])
	expect := func(want int, contains string, args ...string) {
		t.Helper()
		code, out, errOut := run(args...)
		if code != want || !strings.Contains(out+errOut, contains) {
			t.Errorf("%v: unexpected exit code %d or output:\n%s%s", args, code, out, errOut)
		}
	}
	command := func(name string, flags []string, args ...string) []string {
		return append(append([]string{"settings", name}, flags...), args...)
	}
	expect(ExitComplete, "in force on every entry", command("set", changeFlags, "zone a", "deadline_ms", "5000")...)
	expect(ExitComplete, "from zone a", command("explain", platformFlag, "--zone=a")...)
	expect(ExitComplete, "5000", command("get", platformFlag, "--zone=a", "deadline_ms")...)
	expect(ExitUsage, "allowed: 1 to 600000", command("set", changeFlags, "zone a", "deadline_ms", "soon")...)
	expect(ExitConflict, "revision 1 is in force", command("set", append(changeFlags, "--base=7"), "fleet", "witness", "none")...)
	expect(ExitComplete, "(every service", command("set", changeFlags, "fleet", "witness", "region")...)
	expect(ExitComplete, "witness: region -> (inherited)", command("rollback", changeFlags, "1")...)
	expect(ExitComplete, "3 ", command("history", platformFlag)...)
	tree := writeTempFile(t, "[service desk]\nweight = 9\n")
	expect(ExitComplete, "weight: (inherited) -> 9", command("diff", platformFlag, tree)...)
	expect(ExitComplete, "is right", "settings", "validate", tree)
	expect(ExitUsage, "is no setting", "settings", "validate", writeTempFile(t, "[fleet]\ncolour = red\n"))
	expect(ExitComplete, "revision 4 accepted", command("apply", changeFlags, tree)...)
}
