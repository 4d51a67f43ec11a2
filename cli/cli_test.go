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

func file(t *testing.T, text string) string {
	t.Helper()
	name := filepath.Join(t.TempDir(), "job.json")
	if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return name
}

// TestExitCodes holds that each fate ends with its own code.
func TestExitCodes(t *testing.T) {
	c := startFleet(t)
	entry := "--entry=" + c.CallerAddresses()[0]
	for _, job := range []struct {
		text string
		code int
		fate fate.Kind
	}{
		{`{"service":"desk","tasks":[{"payload":{"echo":1}}]}`, ExitComplete, fate.Complete},
		{`{"service":"desk","tasks":[{"payload":{"fail":true}}]}`, ExitFailed, fate.Failed},
		{`{"service":"desk","tasks":[{"cpu":1000}]}`, ExitNotRun, fate.NotRun},
	} {
		code, out, errOut := run("submit", entry, "--json", file(t, job.text))
		var a api.Answer
		if err := json.Unmarshal([]byte(out), &a); err != nil || code != job.code || a.Fate != job.fate {
			t.Errorf("%s: code %d, %s %s %v", job.text, code, out, errOut, err)
		}
	}
	for _, bad := range [][]string{
		{"submit", entry, file(t, `{"service":"desk","tasks":[]}`)},
		{"submit", entry, file(t, `{"service":"desk","job":1}`)},
		{"submit", entry},
		{"bench"},
		{"settings", "set", "planet", "witness", "zone"},
	} {
		if code, _, errOut := run(bad...); code != ExitUsage || errOut == "" {
			t.Errorf("%v: code %d, %s", bad, code, errOut)
		}
	}
	if code, _, _ := run("instances", "--entry=127.0.0.1:1"); code != ExitError {
		t.Errorf("code %d without an entry", code)
	}
}

func TestSettingsCommands(t *testing.T) {
	c := startFleet(t)
	at := []string{"--platform=" + c.Platform.Address()}
	change := append(at, "--entry="+c.CallerAddresses()[0])
	do := func(want int, contains string, args ...string) {
		t.Helper()
		code, out, errOut := run(args...)
		if code != want || !strings.Contains(out+errOut, contains) {
			t.Errorf("%v: code %d\n%s%s", args, code, out, errOut)
		}
	}
	command := func(name string, flags []string, args ...string) []string {
		return append(append([]string{"settings", name}, flags...), args...)
	}
	do(ExitComplete, "in force on every entry", command("set", change, "zone a", "deadline_ms", "5000")...)
	do(ExitComplete, "from zone a", command("explain", at, "--zone=a")...)
	do(ExitComplete, "5000", command("get", at, "--zone=a", "deadline_ms")...)
	do(ExitUsage, "allowed: 1 to 600000", command("set", change, "zone a", "deadline_ms", "soon")...)
	do(ExitConflict, "revision 1 is in force", command("set", append(change, "--base=7"), "fleet", "witness", "none")...)
	do(ExitComplete, "(every service", command("set", change, "fleet", "witness", "region")...)
	do(ExitComplete, "witness: region -> (inherited)", command("rollback", change, "1")...)
	do(ExitComplete, "3 ", command("history", at)...)
	tree := file(t, "[service desk]\nweight = 9\n")
	do(ExitComplete, "weight: (inherited) -> 9", command("diff", at, tree)...)
	do(ExitComplete, "is right", "settings", "validate", tree)
	do(ExitUsage, "is no setting", "settings", "validate", file(t, "[fleet]\ncolour = red\n"))
	do(ExitComplete, "revision 4 accepted", command("apply", change, tree)...)
}
