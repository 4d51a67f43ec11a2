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

// quick makes failures be noticed soon.
func quick(s *ClusterSpec) {
	if os.Getenv("SEDGE_DEBUG") != "" {
		s.Logger = slog.New(slog.NewTextHandler(os.Stderr, nil))
	}
	s.Membership = membership.Config{SuspectMs: 300, DeadMs: 600}
	s.Dispatch = dispatch.Config{WitnessTimeout: 300 * time.Millisecond, UpstreamLostAfter: time.Second}
}

func tasks(n int, sleep time.Duration) client.Job {
	job := client.Job{Service: "desk", Deadline: 20 * time.Second}
	for i := range n {
		job.Tasks = append(job.Tasks, work(sleep, fmt.Sprint(i)))
	}
	return job
}

func callers(t *testing.T, c *Cluster) *client.Client {
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

// homeOf returns the names of the home and the witness of a submission.
func homeOf(t *testing.T, s *client.Submission) (home, witness string) {
	t.Helper()
	log, err := s.Key().Session.Log()
	if err != nil {
		t.Fatal(err)
	}
	return log.Home.Instance(), log.Witness.Instance()
}

// await polls for a condition of the test's own making.
func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("waited too long for %s", what)
		}
	}
}

func (c *Cluster) startsOf(key fate.Key) int {
	return len(c.Recorder.StartsByPrefix(key.String() + "/"))
}

func checkStarts(t *testing.T, c *Cluster) {
	t.Helper()
	if _, twice := c.Recorder.Starts(); len(twice) > 0 {
		t.Errorf("started twice: %v", twice)
	}
}

func wantComplete(t *testing.T, answer api.Answer, err error, n int) {
	t.Helper()
	if err != nil || answer.Fate != fate.Complete || len(answer.Tasks) != n {
		t.Fatalf("answer %s %s with %d tasks, %v", answer.Fate, answer.Reason, len(answer.Tasks), err)
	}
	for i := range answer.Tasks {
		if string(answer.Tasks[i].Result) != fmt.Sprint(i) {
			t.Fatalf("task %d has result %s", i, answer.Tasks[i].Result)
		}
	}
}

// told is what came of a call.
type told struct {
	answer api.Answer
	err    error
}

// background submits to one entry, and returns where its answer will come.
func background(s *client.Submission, entry string) chan told {
	done := make(chan told, 1)
	go func() {
		answer, err := s.SendTo(context.Background(), entry)
		done <- told{answer, err}
	}()
	return done
}

func TestHomeLostWhileTasksRun(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	s := prepare(t, cl, tasks(20, 300*time.Millisecond))
	home, witness := homeOf(t, s)
	lost := background(s, c.Node(home).CallerAddress())
	await(t, "every task to start", func() bool { return c.startsOf(s.Key()) == 20 })
	c.KillEntry(home)
	if got := <-lost; got.err == nil {
		t.Error("the lost home answered")
	}
	answer, err := s.SendTo(context.Background(), c.Node(witness).CallerAddress())
	wantComplete(t, answer, err, 20)
	checkStarts(t, c)
}

// More tasks than slots: the witness starts those that its home had not.
func TestHomeLostWhileTasksWait(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	s := prepare(t, cl, tasks(120, 200*time.Millisecond))
	home, witness := homeOf(t, s)
	background(s, c.Node(home).CallerAddress())
	await(t, "some tasks to start", func() bool { return c.startsOf(s.Key()) >= 48 })
	c.KillEntry(home)
	answer, err := s.SendTo(context.Background(), c.Node(witness).CallerAddress())
	wantComplete(t, answer, err, 120)
	checkStarts(t, c)
}

// A resubmission may reach any entry, at any moment; each gets the same answer.
func TestResubmissionAnywhere(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	s := prepare(t, cl, tasks(10, 100*time.Millisecond))
	home, _ := homeOf(t, s)
	first := background(s, c.Node(home).CallerAddress())
	await(t, "a start", func() bool { return c.startsOf(s.Key()) > 0 })
	for _, address := range c.CallerAddresses() {
		answer, err := s.SendTo(context.Background(), address)
		wantComplete(t, answer, err, 10)
	}
	if got := <-first; got.err != nil {
		t.Error(got.err)
	}
	if n := c.startsOf(s.Key()); n != 10 {
		t.Errorf("%d starts", n)
	}
}

func TestWitnessLost(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	s := prepare(t, cl, tasks(10, 300*time.Millisecond))
	home, witness := homeOf(t, s)
	first := background(s, c.Node(home).CallerAddress())
	await(t, "every task to start", func() bool { return c.startsOf(s.Key()) == 10 })
	c.KillEntry(witness)
	got := <-first
	wantComplete(t, got.answer, got.err, 10)
	answer, err := cl.Do(context.Background(), tasks(5, time.Millisecond))
	wantComplete(t, answer, err, 5)
	checkStarts(t, c)
}

func TestHomeAndWitnessLost(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	s := prepare(t, cl, tasks(10, 200*time.Millisecond))
	home, witness := homeOf(t, s)
	background(s, c.Node(home).CallerAddress())
	await(t, "every task to start", func() bool { return c.startsOf(s.Key()) == 10 })
	c.KillEntry(home)
	c.KillEntry(witness)
	answer, err := s.SendTo(context.Background(), c.CallerAddresses()[0])
	if err != nil || answer.Fate != fate.Unknown {
		t.Errorf("answer %s, %v", answer.Fate, err)
	}
	checkStarts(t, c)
}

// A job that never reached the witness is proved not run.
func TestNotRunIsProved(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	s := prepare(t, cl, tasks(3, time.Millisecond))
	home, _ := homeOf(t, s)
	c.KillEntry(home)
	answer, err := s.SendTo(context.Background(), c.CallerAddresses()[0])
	if err != nil || answer.Fate != fate.NotRun {
		t.Fatalf("answer %s, %v", answer.Fate, err)
	}
	if n := c.startsOf(s.Key()); n != 0 {
		t.Errorf("%d starts of a job that was told not run", n)
	}
	whole, err := cl.Do(context.Background(), tasks(3, time.Millisecond))
	wantComplete(t, whole, err, 3)
}

func TestCancel(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	s := prepare(t, cl, tasks(200, 300*time.Millisecond))
	home, _ := homeOf(t, s)
	done := background(s, c.Node(home).CallerAddress())
	await(t, "a start", func() bool { return c.startsOf(s.Key()) > 0 })
	answer, err := cl.Cancel(context.Background(), s.Key())
	if err != nil || answer.Fate != fate.Failed || answer.Reason != fate.ReasonCancelled {
		t.Fatalf("answer %s %s, %v", answer.Fate, answer.Reason, err)
	}
	if got := <-done; got.answer.Fate != fate.Failed {
		t.Errorf("the caller was told %s", got.answer.Fate)
	}
	whole, err := cl.Do(context.Background(), tasks(48, time.Millisecond))
	wantComplete(t, whole, err, 48)
	if n := c.startsOf(s.Key()); n > 60 {
		t.Errorf("%d tasks of a cancelled job started", n)
	}
}

func TestNeverFits(t *testing.T) {
	c := small(t, nil)
	cl := callers(t, c)
	job := tasks(2, time.Millisecond)
	job.Tasks[1].CPU = 1000
	answer, err := cl.Do(context.Background(), job)
	if err != nil || answer.Fate != fate.NotRun || answer.Reason != fate.ReasonNeverFits {
		t.Errorf("answer %s %s, %v", answer.Fate, answer.Reason, err)
	}
	if starts, _ := c.Recorder.Starts(); starts != 0 {
		t.Errorf("%d starts", starts)
	}
}

func TestLargestJob(t *testing.T) {
	c := small(t, nil)
	cl := callers(t, c)
	answer, err := cl.Do(context.Background(), tasks(api.MaxTasks, time.Millisecond))
	wantComplete(t, answer, err, api.MaxTasks)
	_, err = cl.Do(context.Background(), tasks(api.MaxTasks+1, 0))
	if !failure.Is(err, failure.TooLarge) || failure.FieldOf(err) != "tasks" {
		t.Errorf("error %v", err)
	}
	_, err = cl.Do(context.Background(), client.Job{Service: "desk"})
	if !failure.Is(err, failure.InvalidInput) || failure.FieldOf(err) != "tasks" {
		t.Errorf("error %v", err)
	}
	if starts, _ := c.Recorder.Starts(); starts != api.MaxTasks {
		t.Errorf("%d starts", starts)
	}
}

func TestDeadline(t *testing.T) {
	c := small(t, nil)
	cl := callers(t, c)
	var answer api.Answer
	// Where the machine is busy a short deadline passes before anything has started.
	// Then "not run" has to be true, and a longer one is tried.
	for deadline := 200 * time.Millisecond; deadline < longTask; deadline *= 2 {
		job := tasks(4, longTask)
		job.Deadline = deadline
		for i := range job.Tasks {
			job.Tasks[i].RunMs = 10 // declared far off
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
			t.Fatalf("answer %s %s with %d starts", answer.Fate, answer.Reason, started-before)
		}
	}
	if answer.Fate != fate.Failed || answer.Reason != fate.ReasonDeadline {
		t.Fatalf("answer %s %s", answer.Fate, answer.Reason)
	}
	if !strings.HasPrefix(string(answer.Tasks[0].State), string(fate.TaskUnknown)) {
		t.Errorf("task state %s", answer.Tasks[0].State)
	}
}

// longTask is how long the tasks of TestDeadline work: beyond any deadline in it.
const longTask = 5 * time.Second

// An upstream may answer after its lease has ended: the task ran once, and its
// result is as good.
func TestAnswerAfterTheLease(t *testing.T) {
	c := small(t, func(s *ClusterSpec) {
		quick(s)
		s.Dispatch.LeaseDuration = 20 * time.Millisecond
	})
	job := tasks(4, 200*time.Millisecond)
	for i := range job.Tasks {
		job.Tasks[i].RunMs = 1
	}
	for _, u := range c.Upstreams {
		u.Faults.DropLeaseCalls.Store(true) // renewals die too
	}
	answer, err := callers(t, c).Do(context.Background(), job)
	wantComplete(t, answer, err, 4)
	checkStarts(t, c)
}

// A caller that hangs up takes nothing with it: the job ends, and a
// resubmission gets its answer.
func TestCallerHangsUp(t *testing.T) {
	c := small(t, quick)
	cl := callers(t, c)
	s := prepare(t, cl, tasks(4, 100*time.Millisecond))
	home, _ := homeOf(t, s)
	conn, err := net.Dial("tcp", c.Node(home).CallerAddress())
	if err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(api.Submission{Session: s.Key().Session, Sequence: 1, Attempt: 1, Service: "desk", DeadlineMs: 20000, Tasks: tasks(4, 100*time.Millisecond).Tasks})
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: e\r\nContent-Length: %d\r\n\r\n%s", api.PathJobs, len(body), body)
	await(t, "every task to start", func() bool { return c.startsOf(s.Key()) == 4 })
	_ = conn.Close()
	answer, err := s.SendTo(context.Background(), c.CallerAddresses()[0])
	wantComplete(t, answer, err, 4)
	if n := c.startsOf(s.Key()); n != 4 {
		t.Errorf("%d starts", n)
	}
}

// A request that is cut off, or too large, is refused with a problem that
// names its field, and starts nothing.
func TestBadRequests(t *testing.T) {
	c := small(t, nil)
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
				t.Errorf("status %d, problem %+v", res.StatusCode, p)
			}
			if r.status != http.StatusOK && res.Header.Get("Content-Type") != api.ContentProblem {
				t.Errorf("content type %s", res.Header.Get("Content-Type"))
			}
		})
	}
	if starts, _ := c.Recorder.Starts(); starts != 0 {
		t.Errorf("%d starts", starts)
	}
}

// One trace spans the caller, the entry that was called, the home and each
// upstream, across processes.
func TestOneTraceAcrossHops(t *testing.T) {
	spans := tracetest.NewInMemoryExporter()
	tracer := tracing.FromExporter(spans, tracing.Config{Ratio: 1, Service: "test"})
	c := small(t, func(s *ClusterSpec) { s.Tracer = tracer })
	cl := callers(t, c)
	s := prepare(t, cl, tasks(3, time.Millisecond))
	home, _ := homeOf(t, s)
	other := c.Names()[0]
	if other == home {
		other = c.Names()[1]
	}
	answer, err := s.SendTo(context.Background(), c.Node(other).CallerAddress())
	wantComplete(t, answer, err, 3)
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
		t.Errorf("spans %v in %d traces", names, len(traces))
	}
	for _, start := range c.Recorder.StartsByPrefix(s.Key().String() + "/") {
		if len(start.Trace) < 36 || !traces[start.Trace[3:35]] {
			t.Errorf("the upstream got trace %q", start.Trace)
		}
	}
}
