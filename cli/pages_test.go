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

// pages have the commands that TestPages runs.
var pages = []string{"README.md", "docs/OPERATIONS.md"}

var (
	commandLine = regexp.MustCompile(`(?m)^    ((?:sedgehatchd?|go run|go test) .*)$`)
	remark      = regexp.MustCompile(`\s+# .*$`)
)

// documented returns the commands of the pages, as written.
func documented(t *testing.T) []string {
	t.Helper()
	var commands []string
	for _, page := range pages {
		text, err := os.ReadFile(page)
		if err != nil {
			t.Fatal(err)
		}
		for _, line := range commandLine.FindAllStringSubmatch(string(text), -1) {
			commands = append(commands, strings.Split(remark.ReplaceAllString(line[1], ""), "; ")...)
		}
	}
	return lo.Uniq(commands)
}

// words splits a command as a shell does that knows blanks and double quotes only.
func words(t *testing.T, command string) []string {
	t.Helper()
	r := csv.NewReader(strings.NewReader(command))
	r.Comma = ' '
	fields, err := r.Read()
	if err != nil {
		t.Fatalf("%s: %v", command, err)
	}
	return fields
}

// added are the arguments with which commands that take long are cut short.
var added = []struct {
	prefix string
	args   []string
}{
	{"go run ./cmd/sedgehatch soak", []string{"--seeds", "1", "--length", "1s"}},
	{"sedgehatch lab", []string{"--seeds", "1"}},
	{"sedgehatch bench", []string{"--seconds", "0.2"}},
}

// runsItself is left out: it would run this test.
const runsItself = "go test ./..."

// patience bounds how long a daemon takes until it serves.
const patience = 20 * time.Second

// site is what the commands of the pages meet.
type site struct {
	t        *testing.T
	bin, dir string
	env      []string
	cluster  *experiment.Cluster
	store    *standin.Store
	// stands replaces words of the pages that stand for something.
	stands map[string]string
}

func newSite(t *testing.T) *site {
	s := &site{t: t, bin: t.TempDir(), dir: t.TempDir(), cluster: startFleet(t)}
	store, err := standin.NewStore("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	s.store = store
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
	if out, err := exec.Command("go", "build", "-o", s.bin+"/", "./cmd/...").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	s.env = append(os.Environ(),
		"PATH="+s.bin+string(os.PathListSeparator)+os.Getenv("PATH"),
		"SEDGEHATCH_ENTRY="+s.cluster.CallerAddresses()[0], "SEDGEHATCH_PLATFORM="+s.cluster.Platform.Address(),
		"SEDGEHATCH_CONFIG="+s.write("settings.json", s.platformSettings()),
	)
	job := s.write("job.json", `{"service":"desk","deadline_ms":5000,"tasks":[{"cpu":1,"run_ms":20,"payload":{}}]}`)
	log := s.write("instance.log", `{"time":"2026-04-04T22:12:01.000Z","level":"INFO","msg":"job_late","instance":"i-1","job":"9f953c2a5b2e7396","took_ms":210,"objective_ms":190}`)
	s.stands = map[string]string{
		"job.json": job, "instance.log": log, "instance-1.log": log, "instance-2.log": log, "ID": "9f953c2a5b2e7396",
		"entry.ini": s.write("entry.ini", s.entrySettings()), "rules.png": filepath.Join(s.dir, "rules.png"),
		"FILE": s.write("tree.ini", "[service desk]\nweight = 9\n"), "S": s.session(job),
	}
	return s
}

func (s *site) write(name, text string) string {
	s.t.Helper()
	path := filepath.Join(s.dir, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		s.t.Fatal(err)
	}
	return path
}

// Ports of the daemons, under those that the system gives away.
const (
	customersPort = 18161
	readinessPort = 18167
	peersPort     = 17720
	callersPort   = 17400
	innerPort     = 17500
)

// daemonIP is an address of the loopback that no other process uses: a port that was free
// a moment ago may be taken.
func daemonIP() string {
	const hosts = 254
	pid := os.Getpid()
	return fmt.Sprintf("127.88.%d.%d", pid/hosts%hosts, 1+pid%hosts)
}

func (s *site) platformSettings() string {
	s.t.Helper()
	raw, err := standin.Settings(standin.Process{
		Name: "a-1", IP: daemonIP(), Zone: "a", CustomersPort: customersPort, ReadinessPort: readinessPort, PeersPort: peersPort,
		Store: s.store.Address, FirstStart: true,
	})
	if err != nil {
		s.t.Fatal(err)
	}
	return string(raw)
}

func (s *site) entrySettings() string {
	return fmt.Sprintf("[instance]\nfleet = alone\nname = e\nregion = r\nzone = a\nrack = r1\n"+
		"[listen]\ncallers = %[1]s:%[2]d\ninner = %[1]s:%[3]d\n[platform]\naddress = %[4]s\n", daemonIP(), callersPort, innerPort, s.cluster.Platform.Address())
}

// session submits a job, and returns the session that it was submitted in.
func (s *site) session(job string) string {
	s.t.Helper()
	code, out := s.run("sedgehatch", "submit", "--json", job)
	var answer api.Answer
	if err := json.Unmarshal([]byte(out), &answer); err != nil || code != ExitComplete {
		s.t.Fatalf("exit %d, %s, %v", code, out, err)
	}
	return string(answer.Session)
}

func (s *site) command(args ...string) (*exec.Cmd, *bytes.Buffer) {
	program := args[0]
	if strings.HasPrefix(program, "sedgehatch") {
		program = filepath.Join(s.bin, program)
	}
	out := &bytes.Buffer{}
	cmd := exec.Command(program, args[1:]...)
	cmd.Env, cmd.Stdout, cmd.Stderr = s.env, out, out
	return cmd, out
}

func (s *site) run(args ...string) (code int, out string) {
	cmd, text := s.command(args...)
	_ = cmd.Run() // its exit code is looked at
	return cmd.ProcessState.ExitCode(), text.String()
}

// serves runs a daemon until it answers, and returns how it ends as planned.
func (s *site) serves(answers func() bool, args ...string) (code int, out string) {
	s.t.Helper()
	cmd, text := s.command(args...)
	if err := cmd.Start(); err != nil {
		s.t.Fatal(err)
	}
	ended := make(chan struct{})
	go func() {
		_ = cmd.Wait() // its exit code is looked at
		close(ended)
	}()
	late := time.After(patience)
	for !answers() {
		select {
		case <-ended:
			return cmd.ProcessState.ExitCode(), text.String()
		case <-late:
			_ = cmd.Process.Kill()
			<-ended
			s.t.Fatalf("it does not serve: %s", text)
		case <-time.After(10 * time.Millisecond):
		}
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	<-ended
	return cmd.ProcessState.ExitCode(), text.String()
}

// ready reports whether the daemon on the platform takes customers.
func (s *site) ready() bool {
	var settings struct{ Listen struct{ Readiness string } }
	raw, err := os.ReadFile(filepath.Join(s.dir, "settings.json"))
	if err != nil || json.Unmarshal(raw, &settings) != nil {
		s.t.Fatalf("settings %s: %v", raw, err)
	}
	res, err := http.Get("http://" + settings.Listen.Readiness + "/readiness")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// listens reports whether the entry of entry.ini takes callers.
func (s *site) listens() bool {
	address := regexp.MustCompile(`callers = (\S+)`).FindStringSubmatch(s.entryFile())[1]
	c, err := net.Dial("tcp4", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

func (s *site) entryFile() string {
	raw, err := os.ReadFile(filepath.Join(s.dir, "entry.ini"))
	if err != nil {
		s.t.Fatal(err)
	}
	return string(raw)
}

// revision is the number of the settings in force.
func (s *site) revision() string {
	s.t.Helper()
	_, out := s.run("sedgehatch", "settings", "history", "--limit", "1")
	fields := strings.Fields(regexp.MustCompile(`(?m)^\d+ .*$`).FindString(out))
	if len(fields) == 0 {
		s.t.Fatalf("no revision in %s", out)
	}
	return fields[0]
}

// arguments are those of a command of the pages, for this site.
func (s *site) arguments(command string) []string {
	args := words(s.t, command)
	for i, word := range args {
		if by, stands := s.stands[word]; stands {
			args[i] = by
		}
		if i > 0 && args[i-1] == "--base" {
			args[i] = s.revision()
		}
		if i > 0 && args[i-1] == "rollback" {
			args[i] = "1"
		}
	}
	for _, a := range added {
		if strings.HasPrefix(command, a.prefix) {
			args = append(args, a.args...)
		}
	}
	return args
}

// TestPages runs every command that README and OPERATIONS show, as written there: by the
// programs built from this checkout, in its root. What stands for a file, a session or a
// revision is replaced, and what takes long is cut short.
func TestPages(t *testing.T) {
	t.Chdir("..")
	s := newSite(t)
	commands := documented(t)
	if len(commands) < 20 {
		t.Fatalf("only %d commands are found: %q", len(commands), commands)
	}
	for _, command := range commands {
		if command == runsItself {
			continue
		}
		t.Run(command, func(t *testing.T) {
			s.t = t
			var code int
			var out string
			switch args := s.arguments(command); command {
			case "sedgehatchd platform":
				code, out = s.serves(s.ready, args...)
			case "sedgehatchd --config entry.ini":
				code, out = s.serves(s.listens, args...)
			default:
				code, out = s.run(args...)
			}
			if code != ExitComplete {
				t.Errorf("exit %d: %s", code, out)
			}
		})
	}
}
