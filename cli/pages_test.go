package cli

import (
	"bytes"
	"encoding/csv"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/experiment"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"

	"github.com/samber/lo"
)

// pages lists the documentation pages whose commands TestPages runs.
var pages = []string{"README.md", "docs/OPERATIONS.md"}

var (
	commandLine     = regexp.MustCompile(`(?m)^    ((?:sedgehatchd?|go run|go test) .*)$`)
	trailingComment = regexp.MustCompile(`\s+# .*$`)
)

// documentedCommands returns the commands in the pages, without trailing comments.
func documentedCommands(t *testing.T) []string {
	t.Helper()
	var commands []string
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range commandLine.FindAllStringSubmatch(string(text), -1) {
			commands = append(commands, strings.Split(trailingComment.ReplaceAllString(line[1], ""), "; ")...)
		}
	}
	return lo.Uniq(commands)
}

// splitCommand splits a command into words as a shell does. Of the shell's syntax it supports only
// blanks and double quotes.
func splitCommand(t *testing.T, command string) []string {
	t.Helper()
	r := csv.NewReader(strings.NewReader(command))
	r.Comma = ' '
	fields, err := r.Read()
	if err != nil {
		t.Fatalf("%s: %v", command, err)
	}
	return fields
}

// extraArgs holds arguments that shorten commands that would take long. They are added to the
// commands that start with the prefix.
var extraArgs = []struct {
	prefix string
	args   []string
}{
	{"go run ./cmd/sedgehatch soak", []string{"--seeds", "1", "--length", "1s"}},
	{"sedgehatch lab", []string{"--seeds", "1"}},
	{"sedgehatch bench", []string{"--seconds", "0.2"}},
}

// testCommand is not run because it would run this test.
const testCommand = "go test ./..."

// startTimeout is the maximum time until a daemon is ready.
const startTimeout = 20 * time.Second

// pageTest is the environment in which the commands in the pages run.
type pageTest struct {
	t           *testing.T
	binDir, dir string
	env         []string
	cluster     *experiment.Cluster
	store       *standin.Store
	// placeholders maps words in the pages, such as file names, to their values in this
	// environment.
	placeholders map[string]string
}

func newPageTest(t *testing.T) *pageTest {
	p := &pageTest{t: t, binDir: t.TempDir(), dir: t.TempDir(), cluster: startFleet(t)}
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	p.store = store
	if err := store.Configure(1, []standin.Route{{Name: "r", Host: "desk.example", Prefix: "/checks/", Service: "desk", MaxAttempts: 3}}); err != nil {
		t.Fatal(err)
	}
	upstream, err := standin.NewUpstream(standin.UpstreamConfig{
		ID: "u", Service: "desk", Zone: "a", Address: "127.0.0.1:0", Capacity: fleet.Resources{MilliCPU: 16000, MemoryMB: 1000},
		TaskDuration: standin.SpecDuration, Demand: func(string) fleet.Resources { return fleet.Resources{MilliCPU: 1000} },
	}, store, standin.NewRunTracker())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upstream.Close)
	if out, err := exec.Command("go", "build", "-o", p.binDir+"/", "./cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	p.env = append(os.Environ(),
		"PATH="+p.binDir+string(os.PathListSeparator)+os.Getenv("PATH"),
		"SEDGEHATCH_ENTRY="+p.cluster.CallerAddresses()[0], "SEDGEHATCH_PLATFORM="+p.cluster.Platform.Address(),
		"SEDGEHATCH_CONFIG="+p.write("settings.json", p.platformSettings()),
	)
	job := p.write("job.json", `{"service":"desk","deadline_ms":5000,"tasks":[{"cpu":1,"run_ms":20,"payload":{}}]}`)
	log := p.write("instance.log", `{"time":"2026-04-04T22:12:01.000Z","level":"INFO","msg":"job_late","instance":"i-1","job":"9f953c2a5b2e7396","took_ms":210,"objective_ms":190}`)
	p.placeholders = map[string]string{
		"job.json": job, "instance.log": log, "instance-1.log": log, "instance-2.log": log, "ID": "9f953c2a5b2e7396",
		"entry.ini": p.write("entry.ini", p.instanceConfig()), "rules.png": filepath.Join(p.dir, "rules.png"),
		"FILE": p.write("tree.ini", "[service desk]\nweight = 9\n"), "S": p.submitJob(job),
	}
	return p
}

func (p *pageTest) write(name, text string) string {
	p.t.Helper()
	path := filepath.Join(p.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		p.t.Fatal(err)
	}
	return path
}

// Ports of the daemons, below the range of ephemeral ports.
const (
	customerPort  = 18161
	readinessPort = 18167
	peerPort      = 17720
	callerPort    = 17400
	innerPort     = 17500
)

// daemonIP returns a loopback address derived from the process ID, so that no other run of this
// test uses it. Choosing free ports instead would be a race: another process could take them
// before the daemon listens.
func daemonIP() string {
	const hosts = 254
	pid := os.Getpid()
	return fmt.Sprintf("127.88.%d.%d", pid/hosts%hosts, 1+pid%hosts)
}

func (p *pageTest) platformSettings() string {
	p.t.Helper()
	raw, err := standin.Settings(standin.Process{
		Name: "a-1", IP: daemonIP(), Zone: "a", CustomersPort: customerPort, ReadinessPort: readinessPort, PeersPort: peerPort,
		Store: p.store.Address, FirstStart: true,
	})
	if err != nil {
		p.t.Fatal(err)
	}
	return string(raw)
}

func (p *pageTest) instanceConfig() string {
	return fmt.Sprintf("[instance]\nfleet = alone\nname = e\nregion = r\nzone = a\nrack = r1\n"+
		"[listen]\ncallers = %[1]s:%[2]d\ninner = %[1]s:%[3]d\n[platform]\naddress = %[4]s\n", daemonIP(), callerPort, innerPort, p.cluster.Platform.Address())
}

// submitJob submits a job and returns the session in which it was submitted.
func (p *pageTest) submitJob(job string) string {
	p.t.Helper()
	code, out := p.run("sedgehatch", "submit", "--json", job)
	var answer api.Answer
	if err := json.Unmarshal([]byte(out), &answer); err != nil || code != ExitComplete {
		p.t.Fatalf("submitting a job: exit code %d, output %s, decoding error %v", code, out, err)
	}
	return string(answer.Session)
}

func (p *pageTest) command(args ...string) (*exec.Cmd, *bytes.Buffer) {
	program := args[0]
	if strings.HasPrefix(program, "sedgehatch") {
		program = filepath.Join(p.binDir, program)
	}
	out := &bytes.Buffer{}
	cmd := exec.Command(program, args[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = p.env, out, out
	return cmd, out
}

func (p *pageTest) run(args ...string) (code int, out string) {
	cmd, text := p.command(args...)
	_ = cmd.Run() // the exit code is returned below
	return cmd.ProcessState.ExitCode(), text.String()
}

// runDaemon starts a daemon, waits until it is ready, and shuts it down with SIGTERM. It returns
// the exit code and the output.
func (p *pageTest) runDaemon(isReady func() bool, args ...string) (code int, out string) {
	p.t.Helper()
	cmd, text := p.command(args...)
	if err := cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the exit code is returned below
		close(ended)
	}()
	timeout := time.After(startTimeout)
	for !isReady() {
		select {
		case <-ended:
			return cmd.ProcessState.ExitCode(), text.String()
		case <-timeout:
			_ = cmd.Process.Kill()
			<-ended
			p.t.Fatalf("the daemon did not become ready in time; its output: %s", text)
		case <-time.After(10 * time.Millisecond):
		}
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	<-ended
	return cmd.ProcessState.ExitCode(), text.String()
}

// platformDaemonReady reports whether the daemon on the emulated platform accepts customers.
func (p *pageTest) platformDaemonReady() bool {
	var settings struct{ Listen struct{ Readiness string } }
	raw, err := os.ReadFile(filepath.Join(p.dir, "settings.json"))
	if err != nil || json.Unmarshal(raw, &settings) != nil {
		p.t.Fatalf("cannot read or decode the settings file %s: %v", raw, err)
	}
	res, err := http.Get("http://" + settings.Listen.Readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// instanceListens reports whether the daemon configured by entry.ini accepts callers.
func (p *pageTest) instanceListens() bool {
	address := regexp.MustCompile(`callers = (\S+)`).FindStringSubmatch(p.instanceConfigFile())[1]
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

func (p *pageTest) instanceConfigFile() string {
	raw, err := os.ReadFile(filepath.Join(p.dir, "entry.ini"))
	if err != nil {
		p.t.Fatal(err)
	}
	return string(raw)
}

// currentRevision returns the number of the revision of settings in force.
func (p *pageTest) currentRevision() string {
	p.t.Helper()
	_, out := p.run("sedgehatch", "settings", "history", "--limit", "1")
	fields := strings.Fields(regexp.MustCompile(`(?m)^\d+ .*$`).FindString(out))
	if len(fields) == 0 {
		p.t.Fatalf("the command settings history printed no revision: %s", out)
	}
	return fields[0]
}

// commandArgs returns the words of a command in the pages, with the placeholders replaced and
// extraArgs added.
func (p *pageTest) commandArgs(command string) []string {
	args := splitCommand(p.t, command)
	for i, word := range args {
		if value, isPlaceholder := p.placeholders[word]; isPlaceholder {
			args[i] = value
		}
		if i > 0 && args[i-1] == "--base" {
			args[i] = p.currentRevision()
		}
		if i > 0 && args[i-1] == "rollback" {
			args[i] = "1"
		}
	}
	for _, a := range extraArgs {
		if strings.HasPrefix(command, a.prefix) {
			args = append(args, a.args...)
		}
	}
	return args
}

// TestPages runs every command in the pages, in the root directory of this checkout and with the
// programs built from it. Each command must succeed. It is run as written, except that placeholders
// for files, sessions and revisions are replaced, and that extraArgs shorten long commands.
func TestPages(t *testing.T) {
	t.Chdir("..")
	p := newPageTest(t)
	commands := documentedCommands(t)
	if len(commands) < 20 {
		t.Fatalf("found only %d commands: %q", len(commands), commands)
	}
	for _, command := range commands {
		if command == testCommand {
			continue
		}
		t.Run(command, func(t *testing.T) {
			p.t = t
			var code int
			var out string
			switch args := p.commandArgs(command); command {
			case "sedgehatchd platform":
				code, out = p.runDaemon(p.platformDaemonReady, args...)
			case "sedgehatchd --config entry.ini":
				code, out = p.runDaemon(p.instanceListens, args...)
			default:
				code, out = p.run(args...)
			}
			if code != ExitComplete {
				t.Errorf("exit code %d, output: %s", code, out)
			}
		})
	}
}
