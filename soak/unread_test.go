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
	// unreadSeed determines the jobs, and which instance is paused in each round.
	unreadSeed   = 7
	unreadRounds = 12
	jobsPerRound = 3
	// unreadTaskDuration is longer than a resumed instance takes to read the requests that
	// arrived during its pause. If it started their tasks, these runs would therefore overlap
	// with those that the other instance has started.
	unreadTaskDuration = 400 * time.Millisecond
)

// TestReadBehindReset guards against two concurrent runs of the same task, with real processes. In
// each round:
//  1. An instance is paused. Jobs are sent to it, and their connections are reset.
//  2. The same jobs are sent to the other instance, which runs them.
//  3. The first instance is resumed and reads the old requests. It must not run the jobs.
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
		t.Fatalf("not all instances are ready %v after the start", readyTimeout)
	}
	rng := rand.New(rand.NewPCG(unreadSeed, 1))
	sent := map[string]int{} // number of requests sent to each instance while it was paused, by name
	for round := range unreadRounds {
		paused := rng.IntN(len(in.processes))
		sent[in.processes[paused].name] += jobsPerRound
		readBehindReset(t, in, rng, round, in.processes[paused], in.processes[1-paused])
	}
	for _, violation := range in.tracker.Violations() {
		t.Error(violation)
	}
	for _, p := range in.processes {
		waitUntil(t, fmt.Sprintf("%s logs %d requests that it read after the customer had disconnected", p.name, sent[p.name]),
			func() bool { return countUnreadRequests(t, p) == sent[p.name] })
	}
}

// readBehindReset carries out one round of TestReadBehindReset. It returns once all jobs have
// responses and all runs have ended.
func readBehindReset(t *testing.T, in *installation, rng *rand.Rand, round int, paused, other *process) {
	var jobs []standin.Job
	for i := range jobsPerRound {
		id := fmt.Sprintf("%08x%08x", round+1, i)
		jobs = append(jobs, standin.Job{ID: id, Tasks: 1 + rng.IntN(2), MilliCPU: taskCPU, TaskDuration: unreadTaskDuration})
	}
	paused.signal(syscall.SIGSTOP)
	for _, j := range jobs {
		conn := sendJob(t, paused, j)
		if err := errors.Join(conn.SetLinger(0), conn.Close()); err != nil { // closes with a reset
			t.Fatal(err)
		}
	}
	var responses sync.WaitGroup
	for _, j := range jobs {
		conn := sendJob(t, other, j)
		responses.Go(func() {
			defer func() { _ = conn.Close() }()
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil || res.StatusCode != http.StatusOK {
				t.Errorf("job %s sent to %s: response %v, error %v; want status 200", j.ID, other.name, res, err)
			}
		})
	}
	for _, j := range jobs {
		waitUntil(t, j.ID+" runs", func() bool { return in.tracker.IsRunning(j.ID) })
	}
	paused.signal(syscall.SIGCONT)
	responses.Wait()
	for _, j := range jobs {
		waitUntil(t, j.ID+" has ended", func() bool { return !in.tracker.IsRunning(j.ID) })
		if done := in.tracker.DoneTasks(j.ID); done != j.Tasks {
			t.Errorf("%s: %d of %d tasks are done", j.ID, done, j.Tasks)
		}
	}
}

// sendJob sends a job to an instance and returns the connection, without waiting for the response.
func sendJob(t *testing.T, to *process, job standin.Job) *net.TCPConn {
	t.Helper()
	req, err := standin.NewRequest(t.Context(), http.MethodPost, to.customerAddress(), host, routePrefix(0)+job.ID, job.Body(), customerTimeout)
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp4", to.customerAddress())
	if err != nil {
		t.Fatal(err)
	}
	if err := req.Write(conn); err != nil {
		t.Fatal(err)
	}
	return conn.(*net.TCPConn)
}

// countUnreadRequests returns how many requests an instance has read only after the customer had
// disconnected, according to its log.
func countUnreadRequests(t *testing.T, p *process) int {
	t.Helper()
	log, err := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	if err != nil {
		t.Fatal(err)
	}
	return strings.Count(string(log), "the customer left before its request was read")
}

// waitUntil waits until a condition holds. It fails the test if that takes longer than
// recoveryTimeout, with a message that describes the condition as what.
func waitUntil(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for limit := time.Now().Add(recoveryTimeout); !holds(); time.Sleep(pollInterval) {
		if time.Now().After(limit) {
			t.Fatalf("this is still not true after %v: %s", recoveryTimeout, what)
		}
	}
}
