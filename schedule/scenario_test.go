package schedule

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"

	"github.com/cockroachdb/datadriven"
	"github.com/samber/lo"
)

// scenario drives a pool by the commands of a file in testdata.
type scenario struct {
	pool *Pool
	now  time.Time
	seq  map[string]uint64
}

// TestScenarios runs the tables of testdata: each command is one input, its
// output what the pool decided. testdata/README tells the commands.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		cfg := DefaultConfig
		cfg.RemoteFactor = 2
		s := &scenario{pool: NewPool(cfg, 7), now: epochZero, seq: map[string]uint64{}}
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			return s.run(t, d)
		})
	})
}

func (s *scenario) run(t *testing.T, d *datadriven.TestData) string {
	arg := func(key, fallback string) string {
		for _, a := range d.CmdArgs {
			if a.Key == key && len(a.Vals) > 0 {
				return strings.Join(a.Vals, ",")
			}
			if a.Key == key {
				return "yes"
			}
		}
		return fallback
	}
	first := ""
	if len(d.CmdArgs) > 0 {
		first = d.CmdArgs[0].Key
	}
	switch d.Cmd {
	case "upstreams":
		added, effects := s.pool.SetUpstreams(s.now, s.upstreams(t, d.Input))
		return "new: " + strings.Join(added, " ") + "\n" + text(effects)
	case "offer":
		return text(s.pool.Offer(s.now, s.offer(t, first, arg)))
	case "withdraw":
		return text(s.pool.Withdraw(s.now, JobKey{"home", first, 0}, "left"))
	case "ack":
		return text(s.pool.HandleStartResponse(s.now, s.life(first, arg), runOf(t, arg("run", "")), refusals[arg("refused", "")], errs[arg("error", "")]))
	case "stopped":
		return text(s.pool.HandleStopResponse(s.now, s.life(first, arg), runOf(t, arg("run", "")), errs[arg("error", "")]))
	case "report":
		return text(s.pool.HandleHoldResponse(s.now, s.life(first, arg), s.now, s.report(t, first, arg), errs[arg("error", "")]))
	case "hold":
		_, o, _ := s.pool.HoldOrder(s.now, first)
		return fmt.Sprintf("lease %d ms, wait %d ms\n", max(o.LeaseUntilMs-s.clock(), 0), o.WaitMs)
	case "renew":
		s.pool.RenewCoordinator(first, s.now.Add(-duration(t, arg("alive", "0s"))))
		return ""
	case "wait":
		s.now = s.now.Add(duration(t, first))
		return ""
	case "tick":
		s.now = s.now.Add(duration(t, first))
		return text(s.pool.Tick(s.now))
	case "drain":
		return text(s.pool.Drain(s.now)) + "released: " + strings.Join(s.pool.Release(), " ") + "\n"
	case "release":
		return "released: " + strings.Join(s.pool.Release(), " ") + fmt.Sprintf(", idle %v\n", s.pool.Idle())
	case "load":
		return fmt.Sprintf("%+v\n", s.pool.Load(s.now))
	default:
		t.Fatalf("no command %s", d.Cmd)
		return ""
	}
}

var errs = map[string]error{
	"": nil, "lost": failure.Lost.New("x"), "gone": failure.Gone.New("x"), "fenced": failure.Conflict.New("x"),
}

var refusals = map[string]fleet.Refusal{
	"": fleet.NotRefused, "room": fleet.RefusedNoRoom, "old": fleet.RefusedOldRun, "fence": fleet.RefusedFence,
	"late": fleet.RefusedLate, "unhealthy": fleet.RefusedUnhealthy,
}

// life is the life of an upstream that a call was made to: born, or the one that the
// pool knows.
func (s *scenario) life(id string, arg func(string, string) string) fleet.UpstreamIncarnation {
	born, err := strconv.ParseInt(arg("born", "0"), 10, 64)
	if u := s.pool.upstreams[id]; err == nil && born == 0 && u != nil {
		return u.Incarnation()
	}
	return fleet.UpstreamIncarnation{ID: id, StartedUnixMs: born}
}

func (s *scenario) clock() int64 { return s.now.Sub(epochZero).Milliseconds() }

func duration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func number(t *testing.T, text string) int {
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

func (s *scenario) upstreams(t *testing.T, input string) []fleet.Upstream {
	var list []fleet.Upstream
	for line := range strings.Lines(input) {
		fields := strings.Fields(line)
		list = append(list, fleet.Upstream{
			ID: fields[0], Service: "s", Capacity: fleet.Resources{MilliCPU: int64(number(t, fields[1]))}, LargestCapacity: s.largest(fields[0], int64(number(t, fields[1]))),
			Draining: slices.Contains(fields[2:], "draining"), Closed: slices.Contains(fields[2:], "closed"),
			StartedUnixMs: int64(number(t, fieldOf(fields[2:], "born", "0"))), Rack: fieldOf(fields[2:], "rack", ""),
		})
	}
	return list
}

// largest returns the largest capacity that an upstream has had so far.
func (s *scenario) largest(id string, cpu int64) fleet.Resources {
	now := fleet.Resources{MilliCPU: cpu}
	if u := s.pool.upstreams[id]; u != nil {
		return now.Max(u.LargestCapacity)
	}
	return now
}

// fieldOf reads key=value among fields.
func fieldOf(fields []string, key, fallback string) string {
	for _, f := range fields {
		if value, is := strings.CutPrefix(f, key+"="); is {
			return value
		}
	}
	return fallback
}

func (s *scenario) offer(t *testing.T, id string, arg func(string, string) string) Offer {
	o := Offer{
		Key: JobKey{arg("from", "home"), id, 0}, Service: "s", Route: "r" + arg("est", "100ms"), Demand: fleet.Resources{MilliCPU: int64(number(t, arg("cpu", "8000")))},
		Estimate: duration(t, arg("est", "100ms")), Priority: number(t, arg("priority", "0")), MaxAttempts: number(t, arg("attempts", "2")),
		Stretch: 1.6, Slack: duration(t, arg("slack", "60ms")), Timeout: duration(t, arg("patience", "5s")), MayQueue: arg("queue", "") != "", Begun: arg("begun", "") != "",
		AllOrNothing: arg("whole", "") != "", History: map[int]TaskHistory{}, Rack: arg("rack", ""), MaxPerUpstream: number(t, arg("most", "0")),
	}
	if ago := arg("alive", ""); ago != "" {
		o.AliveAt = s.now.Add(-duration(t, ago))
	}
	for _, part := range strings.FieldsFunc(arg("past", ""), func(c rune) bool { return c == ',' }) {
		var task int
		var had TaskHistory
		if n, err := fmt.Sscanf(part, "%d:%d:%d:%d", &task, &had.LastRun, &had.FailedRuns, &had.Crashes); n < 3 {
			t.Fatal(err)
		}
		o.History[task] = had
	}
	for i := range number(t, arg("tasks", "1")) {
		o.Tasks = append(o.Tasks, i)
	}
	return o
}

// runOf reads job.task#number.
func runOf(t *testing.T, text string) fleet.Run {
	task, run, _ := strings.Cut(text, "#")
	job, index, _ := strings.Cut(task, ".")
	return fleet.Run{Task: fleet.TaskRef{Job: job, Index: number(t, index)}, Number: uint32(number(t, run))}
}

func (s *scenario) report(t *testing.T, upstream string, arg func(string, string) string) fleet.Report {
	r := fleet.Report{ClockMs: s.clock(), StartedUnixMs: int64(number(t, arg("says", "0")))}
	if r.StartedUnixMs == 0 {
		r.StartedUnixMs = s.life(upstream, arg).StartedUnixMs
	}
	if arg("counts", "") == "anew" {
		s.seq[upstream] = 0
	}
	for _, part := range strings.FieldsFunc(arg("running", ""), func(c rune) bool { return c == ',' }) {
		run, percent, _ := strings.Cut(part, ":")
		r.Running = append(r.Running, fleet.RunningTask{Run: runOf(t, run), Percent: number(t, percent)})
	}
	for _, part := range strings.FieldsFunc(arg("ended", ""), func(c rune) bool { return c == ',' }) {
		run, how, _ := strings.Cut(part, ":")
		s.seq[upstream]++
		r.Ended = append(r.Ended, fleet.EndedRun{Sequence: s.seq[upstream], Run: runOf(t, run), End: fleet.End(how)})
	}
	return r
}

func runText(r fleet.Run) string { return fmt.Sprintf("%s.%d#%d", r.Task.Job, r.Task.Index, r.Number) }

// pastText words what returned tasks take along.
func pastText(past map[int]TaskHistory) string {
	if len(past) == 0 {
		return ""
	}
	words := lo.MapValues(past, func(p TaskHistory, _ int) string {
		if p.Crashes > 0 {
			return fmt.Sprintf("{%d %d crashed %d}", p.LastRun, p.FailedRuns, p.Crashes)
		}
		return fmt.Sprintf("{%d %d}", p.LastRun, p.FailedRuns)
	})
	return fmt.Sprintf(", past %v", words)
}

// text words effects, in order.
func text(e Effects) string {
	var b strings.Builder
	for _, s := range e.Starts {
		fmt.Fprintf(&b, "start %s on %s\n", runText(s.Order.Run), s.Upstream.ID)
	}
	for _, s := range e.Stops {
		fmt.Fprintf(&b, "stop %s on %s\n", runText(s.Run), s.Upstream.ID)
	}
	for _, id := range e.Polls {
		fmt.Fprintf(&b, "look at %s\n", id)
	}
	for _, r := range e.Returns {
		fmt.Fprintf(&b, "%s returns %v%s\n", r.Key.ID, r.Returned, pastText(r.History))
	}
	for _, r := range e.Results {
		fmt.Fprintf(&b, "%s ends %s: done %v, returned %v, begun %v%s\n", r.Key.ID, r.Outcome, r.Done, r.Returned, r.Begun, pastText(r.History))
	}
	for _, d := range e.Decisions {
		switch d.Kind {
		case DecidedRetry, DecidedStop:
			fmt.Fprintf(&b, "  because %s.%d: %s\n", d.Job, d.Task, d.Reason)
		case DecidedEject, DecidedReadmit, DecidedSilent, DecidedResponding, DecidedGone, DecidedFenced:
			fmt.Fprintf(&b, "  %s %s: %s\n", [...]string{"", "", "", "", "", "doubts", "trusts", "silent", "heard", "gone", "fenced"}[d.Kind], d.Upstream, d.Reason)
		}
	}
	if b.Len() == 0 {
		return "nothing\n"
	}
	return b.String()
}

// TestLapseWaitsForSlowClocks: a lease of 700 ms on a clock that runs 2% slow
// lasts 714 ms; before that nothing of it may start again.
func TestLapseWaitsForSlowClocks(t *testing.T) {
	u := &upstream{clockMs: 5000, clockReadAt: epochZero, maxLeaseUntilMs: 5700}
	lease, rate := 700*time.Millisecond, 0.98
	real := time.Duration(float64(lease) / rate)
	if lapsed := u.leasesLapseAt(); lapsed.Sub(epochZero) < real {
		t.Errorf("the lease counts as lapsed after %v, it lasts %v", lapsed.Sub(epochZero), real)
	}
}
