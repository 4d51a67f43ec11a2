package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/dispatch"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/tracing"

	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// detectFailuresFast shortens the timeouts after which lost instances and
// upstreams are detected. If the environment variable SEDGE_DEBUG is set, it also
// makes the cluster log to standard error.
func detectFailuresFast(s *ClusterSpec) {
	if os.Getenv("SEDGE_DEBUG") != "" {
		s.Logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	s.Membership = membership.Config{SuspectMs: 300, DeadMs: 600}
	s.Dispatch = dispatch.Config{WitnessTimeout: 300 * time.Millisecond, UpstreamLostAfter: time.Second}
}

// sleepJob returns a job of n tasks. Each task sleeps and then has its index as the
// result.
func sleepJob(n int, sleep time.Duration) client.Job {
	job := client.Job{Service: "desk", Deadline: 20 * time.Second}
	for i := range n {
		job.Tasks = append(job.Tasks, sleepTask(sleep, fmt.Sprint(i)))
	}
	return job
}

func newClient(t *testing.T, c *Cluster) *client.Client {
	t.Helper()
	cl, err := c.Client("desk")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cl.Close)
	return cl
}

func prepare(t *testing.T, cl *client.Client, job client.Job) *client.Submission {
	t.Helper()
	s, err := cl.Prepare(context.Background(), job)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// homeAndWitness returns the names of the entry instances that are the home and
// the witness of a submission.
func homeAndWitness(t *testing.T, s *client.Submission) (home, witness string) {
	t.Helper()
	log, err := s.Key().Session.Log()
	if err != nil {
		t.Fatal(err)
	}
	return log.Home.Instance(), log.Witness.Instance()
}

// waitFor calls ok until it returns true, and fails the test after 10 s.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited too long for %s", what)
		}
	}
}

// startCount returns how many task starts the upstreams recorded for a job.
func (c *Cluster) startCount(key fate.Key) int {
	return len(c.Recorder.StartsByPrefix(key.String() + "/"))
}

func checkNoDuplicateStarts(t *testing.T, c *Cluster) {
	t.Helper()
	if _, duplicates := c.Recorder.Starts(); len(duplicates) > 0 {
		t.Errorf("tasks started more than once: %v", duplicates)
	}
}

func requireComplete(t *testing.T, answer api.Answer, err error, n int) {
	t.Helper()
	if err != nil || answer.Fate != fate.Complete || len(answer.Tasks) != n {
		t.Fatalf("answer %s %s with %d tasks, error %v; want the fate complete with the results of all tasks", answer.Fate, answer.Reason, len(answer.Tasks), err)
	}
	for i := range answer.Tasks {
		if string(answer.Tasks[i].Result) != fmt.Sprint(i) {
			t.Fatalf("task %d has result %s, want its index", i, answer.Tasks[i].Result)
		}
	}
}

// callResult is what SendTo returned for a submission to an entry instance.
type callResult struct {
	answer api.Answer
	err    error
}

// submitInBackground submits to the entry instance at the address entry, and
// returns a channel that will receive the result.
func submitInBackground(s *client.Submission, entry string) chan callResult {
	done := make(chan callResult, 1)
	go func() {
		answer, err := s.SendTo(context.Background(), entry)
		done <- callResult{answer, err}
	}()
	return done
}

func TestHomeLostWhileTasksRun(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(20, 300*time.Millisecond))
	home, witness := homeAndWitness(t, s)
	result := submitInBackground(s, c.Node(home).CallerAddress())
	waitFor(t, "every task to start", func() bool { return c.startCount(s.Key()) == 20 })
	c.KillEntry(home)
	if got := <-result; got.err == nil {
		t.Error("the killed home answered")
	}
	answer, err := s.SendTo(context.Background(), c.Node(witness).CallerAddress())
	requireComplete(t, answer, err, 20)
	checkNoDuplicateStarts(t, c)
}

// The home of a job is killed while tasks of the job wait for slots: the job has 120
// tasks, and the cluster has 48 slots. The witness must start the remaining tasks.
func TestHomeLostWhileTasksWait(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(120, 200*time.Millisecond))
	home, witness := homeAndWitness(t, s)
	submitInBackground(s, c.Node(home).CallerAddress())
	waitFor(t, "some tasks to start", func() bool { return c.startCount(s.Key()) >= 48 })
	c.KillEntry(home)
	answer, err := s.SendTo(context.Background(), c.Node(witness).CallerAddress())
	requireComplete(t, answer, err, 120)
	checkNoDuplicateStarts(t, c)
}

// A job may be resubmitted to any entry instance, at any time. All instances must
// give the same answer, and no task may be started again.
func TestResubmissionAnywhere(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(10, 100*time.Millisecond))
	home, _ := homeAndWitness(t, s)
	first := submitInBackground(s, c.Node(home).CallerAddress())
	waitFor(t, "a start", func() bool { return c.startCount(s.Key()) > 0 })
	for _, address := range c.CallerAddresses() {
		answer, err := s.SendTo(context.Background(), address)
		requireComplete(t, answer, err, 10)
	}
	if got := <-first; got.err != nil {
		t.Error(got.err)
	}
	if n := c.startCount(s.Key()); n != 10 {
		t.Errorf("%d starts, want 10", n)
	}
}

func TestWitnessLost(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(10, 300*time.Millisecond))
	home, witness := homeAndWitness(t, s)
	first := submitInBackground(s, c.Node(home).CallerAddress())
	waitFor(t, "every task to start", func() bool { return c.startCount(s.Key()) == 10 })
	c.KillEntry(witness)
	got := <-first
	requireComplete(t, got.answer, got.err, 10)
	answer, err := cl.Do(context.Background(), sleepJob(5, time.Millisecond))
	requireComplete(t, answer, err, 5)
	checkNoDuplicateStarts(t, c)
}

func TestHomeAndWitnessLost(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(10, 200*time.Millisecond))
	home, witness := homeAndWitness(t, s)
	submitInBackground(s, c.Node(home).CallerAddress())
	waitFor(t, "every task to start", func() bool { return c.startCount(s.Key()) == 10 })
	c.KillEntry(home)
	c.KillEntry(witness)
	answer, err := s.SendTo(context.Background(), c.CallerAddresses()[0])
	if err != nil || answer.Fate != fate.Unknown {
		t.Errorf("answer %s, error %v, want the fate unknown", answer.Fate, err)
	}
	checkNoDuplicateStarts(t, c)
}

// If a job never reached its witness, no task of it can have started. The answer
// must say that the job was not run, and the job can be submitted again.
func TestNotRunIsProved(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(3, time.Millisecond))
	home, _ := homeAndWitness(t, s)
	c.KillEntry(home)
	answer, err := s.SendTo(context.Background(), c.CallerAddresses()[0])
	if err != nil || answer.Fate != fate.NotRun {
		t.Fatalf("answer %s, error %v, want the fate not_run", answer.Fate, err)
	}
	if n := c.startCount(s.Key()); n != 0 {
		t.Errorf("%d starts of a job that was reported as not run", n)
	}
	resubmitted, err := cl.Do(context.Background(), sleepJob(3, time.Millisecond))
	requireComplete(t, resubmitted, err, 3)
}

func TestCancel(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(200, 300*time.Millisecond))
	home, _ := homeAndWitness(t, s)
	done := submitInBackground(s, c.Node(home).CallerAddress())
	waitFor(t, "a start", func() bool { return c.startCount(s.Key()) > 0 })
	answer, err := cl.Cancel(context.Background(), s.Key())
	if err != nil || answer.Fate != fate.Failed || answer.Reason != fate.ReasonCancelled {
		t.Fatalf("answer %s %s, error %v, want the fate failed and the reason cancelled", answer.Fate, answer.Reason, err)
	}
	if got := <-done; got.answer.Fate != fate.Failed {
		t.Errorf("the caller of the cancelled job got the fate %s, want failed", got.answer.Fate)
	}
	next, err := cl.Do(context.Background(), sleepJob(48, time.Millisecond))
	requireComplete(t, next, err, 48)
	if n := c.startCount(s.Key()); n > 60 {
		t.Errorf("%d tasks of a cancelled job started, want at most 60 of 200", n)
	}
}

func TestNeverFits(t *testing.T) {
	c := newTestCluster(t, nil)
	cl := newClient(t, c)
	job := sleepJob(2, time.Millisecond)
	job.Tasks[1].CPU = 1000
	answer, err := cl.Do(context.Background(), job)
	if err != nil || answer.Fate != fate.NotRun || answer.Reason != fate.ReasonNeverFits {
		t.Errorf("answer %s %s, error %v, want the fate not_run and the reason never_fits", answer.Fate, answer.Reason, err)
	}
	if starts, _ := c.Recorder.Starts(); starts != 0 {
		t.Errorf("%d starts of a job that fits no upstream", starts)
	}
}

func TestLargestJob(t *testing.T) {
	c := newTestCluster(t, nil)
	cl := newClient(t, c)
	answer, err := cl.Do(context.Background(), sleepJob(api.MaxTasks, time.Millisecond))
	requireComplete(t, answer, err, api.MaxTasks)
	_, err = cl.Do(context.Background(), sleepJob(api.MaxTasks+1, 0))
	if !failure.Is(err, failure.TooLarge) || failure.FieldOf(err) != "tasks" {
		t.Errorf("error for a job with too many tasks: %v, want TooLarge in the field tasks", err)
	}
	_, err = cl.Do(context.Background(), client.Job{Service: "desk"})
	if !failure.Is(err, failure.InvalidInput) || failure.FieldOf(err) != "tasks" {
		t.Errorf("error for a job without tasks: %v, want InvalidInput in the field tasks", err)
	}
	if starts, _ := c.Recorder.Starts(); starts != api.MaxTasks {
		t.Errorf("%d starts, want only those of the valid job", starts)
	}
}

func TestDeadline(t *testing.T) {
	c := newTestCluster(t, nil)
	cl := newClient(t, c)
	var answer api.Answer
	// On a busy machine, a short deadline may pass before any task has started. If
	// the answer says so, it must be true, and the loop tries a longer deadline.
	for deadline := 200 * time.Millisecond; deadline < longTask; deadline *= 2 {
		job := sleepJob(4, longTask)
		job.Deadline = deadline
		for i := range job.Tasks {
			job.Tasks[i].RunMs = 10 // declared run time, far below the actual one
		}
		before, _ := c.Recorder.Starts()
		var err error
		if answer, err = cl.Do(context.Background(), job); err != nil {
			t.Fatal(err)
		}
		if answer.Fate != fate.NotRun {
			break
		}
		if started, _ := c.Recorder.Starts(); answer.Reason != fate.ReasonDeadline || started != before {
			t.Fatalf("answer %s %s after %d starts, want the reason deadline and no starts", answer.Fate, answer.Reason, started-before)
		}
	}
	if answer.Fate != fate.Failed || answer.Reason != fate.ReasonDeadline {
		t.Fatalf("answer %s %s, want the fate failed and the reason deadline", answer.Fate, answer.Reason)
	}
	if !strings.HasPrefix(string(answer.Tasks[0].State), string(fate.TaskUnknown)) {
		t.Errorf("task state %s, want unknown", answer.Tasks[0].State)
	}
}

// longTask is how long the tasks in TestDeadline run: longer than every deadline in
// that test, so that no job completes.
const longTask = 5 * time.Second

// An upstream may answer after the lease of a task has expired. If the task ran only
// once, its result must still be used, and the task must not be started again.
func TestAnswerAfterTheLease(t *testing.T) {
	c := newTestCluster(t, func(s *ClusterSpec) {
		detectFailuresFast(s)
		s.Dispatch.LeaseDuration = 20 * time.Millisecond
	})
	job := sleepJob(4, 200*time.Millisecond)
	for i := range job.Tasks {
		job.Tasks[i].RunMs = 1
	}
	for _, u := range c.Upstreams {
		u.Faults.DropNonStarts.Store(true) // leases cannot be renewed, so they expire
	}
	answer, err := newClient(t, c).Do(context.Background(), job)
	requireComplete(t, answer, err, 4)
	checkNoDuplicateStarts(t, c)
}

// A caller closes its connection while its job runs. The job must complete
// nevertheless, and a resubmission must get the answer.
func TestCallerHangsUp(t *testing.T) {
	c := newTestCluster(t, detectFailuresFast)
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(4, 100*time.Millisecond))
	home, _ := homeAndWitness(t, s)
	conn, err := net.Dial("tcp", c.Node(home).CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(api.Submission{Session: s.Key().Session, Sequence: 1, Attempt: 1, Service: "desk", DeadlineMs: 20000, Tasks: sleepJob(4, 100*time.Millisecond).Tasks})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n%s", api.PathJobs, len(body), body)
	waitFor(t, "every task to start", func() bool { return c.startCount(s.Key()) == 4 })
	_ = conn.Close()
	answer, err := s.SendTo(context.Background(), c.CallerAddresses()[0])
	requireComplete(t, answer, err, 4)
	if n := c.startCount(s.Key()); n != 4 {
		t.Errorf("%d starts, want 4", n)
	}
}

// A request that is truncated or too large must be refused with a problem document
// that names the field at fault. A valid request with an unknown session must be
// answered. None of them may start a task.
func TestBadRequests(t *testing.T) {
	c := newTestCluster(t, nil)
	address := c.CallerAddresses()[0]
	for name, r := range map[string]struct {
		body          string
		status        int
		code, inField string
	}{
		"cut off":       {`{"session":"a.1~~1~c.1","tasks":[{"payload"`, http.StatusBadRequest, "invalid_input", "tasks[0].payload"},
		"too large":     {`{"session":"` + strings.Repeat("x", api.MaxBody) + `"}`, http.StatusRequestEntityTooLarge, "too_large", "body"},
		"other session": {`{"session":"a.1~~1~c.1","sequence":1,"attempt":1,"service":"desk","tasks":[{}]}`, http.StatusOK, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			res, err := http.Post("http://"+address+api.PathJobs, "application/json", strings.NewReader(r.body))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = res.Body.Close() }()
			var p api.Problem
			if err := json.NewDecoder(res.Body).Decode(&p); err != nil {
				t.Fatal(err)
			}
			if res.StatusCode != r.status || p.Code != r.code || p.Field != r.inField {
				t.Errorf("wrong status or problem: status %d, problem %+v", res.StatusCode, p)
			}
			if r.status != http.StatusOK && res.Header.Get("Content-Type") != api.ContentProblem {
				t.Errorf("content type %s of a problem document", res.Header.Get("Content-Type"))
			}
		})
	}
	if starts, _ := c.Recorder.Starts(); starts != 0 {
		t.Errorf("%d starts, want none", starts)
	}
}

// One trace must cover all hops of a job: the caller, the entry instance that was
// called, the home, and each task on an upstream.
func TestOneTraceAcrossHops(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	tracer := tracing.FromExporter(spans, tracing.Config{Ratio: 1, Service: "test"})
	c := newTestCluster(t, func(s *ClusterSpec) { s.Tracer = tracer })
	cl := newClient(t, c)
	s := prepare(t, cl, sleepJob(3, time.Millisecond))
	home, _ := homeAndWitness(t, s)
	other := c.Names()[0]
	if other == home {
		other = c.Names()[1]
	}
	answer, err := s.SendTo(context.Background(), c.Node(other).CallerAddress())
	requireComplete(t, answer, err, 3)
	if err := tracer.Flush(context.Background()); err != nil {
		t.Fatal(err)
	}
	names, traces := map[string]int{}, map[string]bool{}
	for _, span := range spans.GetSpans() {
		names[span.Name]++
		traces[span.SpanContext.TraceID().String()] = true
	}
	want := map[string]int{"caller": 1, "entry": 1, "forward": 1, "home": 1, "upstream": 3}
	if !maps.Equal(names, want) || len(traces) != 1 {
		t.Errorf("wrong spans, or not one trace: spans %v in %d traces", names, len(traces))
	}
	for _, start := range c.Recorder.StartsByPrefix(s.Key().String() + "/") {
		if len(start.Trace) < 36 || !traces[start.Trace[3:35]] {
			t.Errorf("an upstream received the trace %q, which is not that of the job", start.Trace)
		}
	}
}
