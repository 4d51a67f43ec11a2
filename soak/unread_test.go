package soak

import (
	"bufio"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

const (
	// unreadSeed draws the jobs and which instance is held up.
	unreadSeed   = 7
	unreadRounds = 12
	unreadJobs   = 3 // a round
	// unreadTakes is how long a task works: longer than a held-up instance needs to read
	// what it missed, so that what it starts would run beside the other.
	unreadTakes = 400 * time.Millisecond
)

// TestReadBehindReset guards against two runs of one task at once by real processes: an
// instance is held up with requests in its accept queue, their connections are reset, the
// same jobs run by way of another instance, and then the first goes on and reads them.
func TestReadBehindReset(t *testing.T) {
	in, err := newInstallation(Config{Daemon: buildDaemon(t), Dir: t.TempDir(), Seed: unreadSeed, Zones: 2, Instances: 1, Upstreams: 3})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(in.close)
	if err := in.start(); err != nil {
		t.Fatal(err)
	}
	if !in.waitReady() {
		t.Fatalf("the installation is not ready after %v", readyLimit)
	}
	rng := rand.New(rand.NewPCG(unreadSeed, 1))
	sent := map[string]int{} // jobs that were sent to each instance and not read, by its name
	for round := range unreadRounds {
		held := rng.IntN(len(in.processes))
		sent[in.processes[held].name] += unreadJobs
		readBehindReset(t, in, rng, round, in.processes[held], in.processes[1-held])
	}
	for _, broken := range in.ledger.Violations() {
		t.Error(broken)
	}
	for _, p := range in.processes {
		waitUntil(t, fmt.Sprintf("%s tells of %d requests read behind the end of their connections", p.name, sent[p.name]),
			func() bool { return countUnread(t, p) == sent[p.name] })
	}
}

// readBehindReset plays one round, and returns once all jobs are answered and nothing runs.
func readBehindReset(t *testing.T, in *installation, rng *rand.Rand, round int, held, other *process) {
	var jobs []standin.Job
	for i := range unreadJobs {
		id := fmt.Sprintf("%08x%08x", round+1, i)
		jobs = append(jobs, standin.Job{ID: id, Tasks: 1 + rng.IntN(2), MilliCPU: taskCPU, TaskDuration: unreadTakes})
	}
	held.signal(syscall.SIGSTOP)
	for _, j := range jobs {
		conn := sendJob(t, held, j)
		if err := errors.Join(conn.SetLinger(0), conn.Close()); err != nil { // a reset
			t.Fatal(err)
		}
	}
	var answered sync.WaitGroup
	for _, j := range jobs {
		conn := sendJob(t, other, j)
		answered.Go(func() {
			defer func() { _ = conn.Close() }()
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || res.StatusCode != http.StatusOK {
				t.Errorf("%s by way of %s: %v, %v", j.ID, other.name, res, err)
			}
		})
	}
	for _, j := range jobs {
		waitUntil(t, j.ID+" runs", func() bool { return in.ledger.IsRunning(j.ID) })
	}
	held.signal(syscall.SIGCONT)
	answered.Wait()
	for _, j := range jobs {
		waitUntil(t, j.ID+" is over", func() bool { return !in.ledger.IsRunning(j.ID) })
		if done := in.ledger.DoneTasks(j.ID); done != j.Tasks {
			t.Errorf("%s: %d of %d tasks are done", j.ID, done, j.Tasks)
		}
	}
}

// sendJob sends a job without waiting for its answer.
func sendJob(t *testing.T, to *process, job standin.Job) *net.TCPConn {
	t.Helper()
	req, err := standin.NewRequest(t.Context(), http.MethodPost, to.customers(), host, prefix(0)+job.ID, job.Body(), deadline)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp4", to.customers())
	if err != nil {
		t.Fatal(err)
	}
	if err := req.Write(conn); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

// countUnread counts the requests that an instance says to have read behind the end of
// their connections.
func countUnread(t *testing.T, p *process) int {
	t.Helper()
	log, err := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Count(string(log), "the customer left before its request was read")
}

// waitUntil waits for a condition, and fails the test where it does not come.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(recoverLimit); !holds(); time.Sleep(silencePoll) {
		if time.Now().After(limit) {
			t.Fatalf("not after %v: %s", recoverLimit, what)
		}
	}
}
