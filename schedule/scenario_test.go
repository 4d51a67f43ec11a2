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
	pool         *Pool
	now          time.Time
	endSequences map[string]uint64
}

// TestScenarios runs the files in testdata/scenarios. Each command is an input to the pool, and
// the expected output below it shows what the pool does. testdata/README describes the commands.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		cfg := DefaultConfig
		cfg.RemoteFactor = 2
		s := &scenario{pool: NewPool(cfg, 7), now: startTime, endSequences: map[string]uint64{}}
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
	case "policy":
		s.pool.cfg.Policy.AdoptRuns = arg("adopt", "on") == "on"
		s.pool.cfg.EndedOwner = uint64(parseInt(t, arg("ended", "0")))
		return ""
	case "upstreams":
		added, effects := s.pool.SetUpstreams(s.now, s.upstreams(t, d.Input))
		return "new: " + strings.Join(added, " ") + "\n" + formatEffects(effects)
	case "offer":
		return formatEffects(s.pool.Offer(s.now, s.offer(t, first, arg)))
	case "withdraw":
		return formatEffects(s.pool.Withdraw(s.now, JobKey{"home", first, 0}, "left"))
	case "ack":
		return formatEffects(s.pool.HandleStartResponse(s.now, s.incarnation(first, arg), parseRun(t, arg("run", "")), refusals[arg("refused", "")], errs[arg("error", "")]))
	case "stopped":
		return formatEffects(s.pool.HandleStopResponse(s.now, s.incarnation(first, arg), parseRun(t, arg("run", "")), errs[arg("error", "")]))
	case "report":
		return formatEffects(s.pool.HandleHoldResponse(s.now, s.incarnation(first, arg), s.now, s.report(t, first, arg), errs[arg("error", "")]))
	case "hold":
		_, o, _ := s.pool.HoldOrder(s.now, first)
		return fmt.Sprintf("lease %d ms, wait %d ms\n", max(o.LeaseUntilMs-s.clock(), 0), o.WaitMs)
	case "renew":
		s.pool.RenewCoordinator(first, s.now.Add(-parseDuration(t, arg("alive", "0s"))))
		return ""
	case "wait":
		s.now = s.now.Add(parseDuration(t, first))
		return ""
	case "tick":
		s.now = s.now.Add(parseDuration(t, first))
		return formatEffects(s.pool.Tick(s.now))
	case "drain":
		return formatEffects(s.pool.Drain(s.now)) + "released: " + strings.Join(s.pool.Release(), " ") + "\n"
	case "release":
		return "released: " + strings.Join(s.pool.Release(), " ") + fmt.Sprintf(", idle %v\n", s.pool.Idle())
	case "load":
		return fmt.Sprintf("%+v\n", s.pool.Load(s.now))
	default:
		t.Fatalf("unknown command %s", d.Cmd)
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

// incarnation returns the incarnation of an upstream that a call was made to. Its start time is
// the argument born; without that argument it is the incarnation that the pool tracks.
func (s *scenario) incarnation(id string, arg func(string, string) string) fleet.UpstreamIncarnation {
	born, err := strconv.ParseInt(arg("born", "0"), 10, 64)
	if u := s.pool.upstreams[id]; err == nil && born == 0 && u != nil {
		return u.Incarnation()
	}
	return fleet.UpstreamIncarnation{ID: id, StartedUnixMs: born}
}

func (s *scenario) clock() int64 { return s.now.Sub(startTime).Milliseconds() }

func parseDuration(t *testing.T, text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return d
}

func parseInt(t *testing.T, text string) int {
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
			ID: fields[0], Service: "s", Capacity: fleet.Resources{MilliCPU: int64(parseInt(t, fields[1]))}, LargestCapacity: s.largestCapacity(fields[0], int64(parseInt(t, fields[1]))),
			Draining: slices.Contains(fields[2:], "draining"), Closed: slices.Contains(fields[2:], "closed"),
			StartedUnixMs: int64(parseInt(t, fieldValue(fields[2:], "born", "0"))), Rack: fieldValue(fields[2:], "rack", ""),
			LeavesAt: s.leavingTime(t, fieldValue(fields[2:], "leaves", "")),
		})
	}
	return list
}

// largestCapacity returns the larger of an upstream's present CPU capacity, cpu, and the largest
// one that it has had before.
func (s *scenario) largestCapacity(id string, cpu int64) fleet.Resources {
	now := fleet.Resources{MilliCPU: cpu}
	if u := s.pool.upstreams[id]; u != nil {
		return now.Max(u.LargestCapacity)
	}
	return now
}

// leavingTime returns the time after the given duration from now, or the zero time without one.
func (s *scenario) leavingTime(t *testing.T, after string) time.Time {
	if after == "" {
		return time.Time{}
	}
	return s.now.Add(parseDuration(t, after))
}

// fieldValue returns the value of the field key=value, or fallback if there is none.
func fieldValue(fields []string, key, fallback string) string {
	for _, f := range fields {
		if value, found := strings.CutPrefix(f, key+"="); found {
			return value
		}
	}
	return fallback
}

func (s *scenario) offer(t *testing.T, id string, arg func(string, string) string) Offer {
	o := Offer{
		Key: JobKey{arg("from", "home"), id, 0}, Service: "s", Route: "r" + arg("est", "100ms"), Demand: fleet.Resources{MilliCPU: int64(parseInt(t, arg("cpu", "8000")))},
		Estimate: parseDuration(t, arg("est", "100ms")), Priority: parseInt(t, arg("priority", "0")), MaxAttempts: parseInt(t, arg("attempts", "2")),
		Stretch: 1.6, Slack: parseDuration(t, arg("slack", "60ms")), Timeout: parseDuration(t, arg("patience", "5s")), MayQueue: arg("queue", "") != "", Begun: arg("begun", "") != "",
		AllOrNothing: arg("whole", "") != "", History: map[int]TaskHistory{}, Rack: arg("rack", ""), MaxPerUpstream: parseInt(t, arg("most", "0")),
	}
	o.AdoptFrom = uint64(parseInt(t, arg("adopt", "0")))
	if aliveFor := arg("alive", ""); aliveFor != "" {
		o.AliveAt = s.now.Add(-parseDuration(t, aliveFor))
	}
	for _, part := range strings.FieldsFunc(arg("past", ""), func(c rune) bool { return c == ',' }) {
		var task int
		var history TaskHistory
		if n, err := fmt.Sscanf(part, "%d:%d:%d:%d", &task, &history.LastRun, &history.FailedRuns, &history.Crashes); n < 3 {
			t.Fatal(err)
		}
		o.History[task] = history
	}
	for i := range parseInt(t, arg("tasks", "1")) {
		o.Tasks = append(o.Tasks, i)
	}
	return o
}

// parseRun parses a run in the form job.task#number.
func parseRun(t *testing.T, text string) fleet.Run {
	task, run, _ := strings.Cut(text, "#")
	job, index, _ := strings.Cut(task, ".")
	return fleet.Run{Task: fleet.TaskRef{Job: job, Index: parseInt(t, index)}, Number: uint32(parseInt(t, run))}
}

func (s *scenario) report(t *testing.T, upstream string, arg func(string, string) string) fleet.Report {
	r := fleet.Report{ClockMs: s.clock(), StartedUnixMs: int64(parseInt(t, arg("says", "0")))}
	if r.StartedUnixMs == 0 {
		r.StartedUnixMs = s.incarnation(upstream, arg).StartedUnixMs
	}
	if arg("counts", "") == "anew" {
		s.endSequences[upstream] = 0
	}
	for _, part := range strings.FieldsFunc(arg("running", ""), func(c rune) bool { return c == ',' }) {
		run, percent, _ := strings.Cut(part, ":")
		r.Running = append(r.Running, fleet.RunningTask{Run: parseRun(t, run), Percent: parseInt(t, percent)})
	}
	for _, part := range strings.FieldsFunc(arg("ended", ""), func(c rune) bool { return c == ',' }) {
		run, how, _ := strings.Cut(part, ":")
		s.endSequences[upstream]++
		r.Ended = append(r.Ended, fleet.EndedRun{Sequence: s.endSequences[upstream], Run: parseRun(t, run), End: fleet.End(how)})
	}
	return r
}

func formatRun(r fleet.Run) string {
	return fmt.Sprintf("%s.%d#%d", r.Task.Job, r.Task.Index, r.Number)
}

// formatHistory returns the histories of returned tasks as text: the number of the last run, the
// number of failed runs, and the number of crashes if there were any.
func formatHistory(histories map[int]TaskHistory) string {
	if len(histories) == 0 {
		return ""
	}
	words := lo.MapValues(histories, func(p TaskHistory, _ int) string {
		if p.Crashes > 0 {
			return fmt.Sprintf("{%d %d crashed %d}", p.LastRun, p.FailedRuns, p.Crashes)
		}
		return fmt.Sprintf("{%d %d}", p.LastRun, p.FailedRuns)
	})
	return fmt.Sprintf(", past %v", words)
}

// formatEffects returns the effects of an input as text, with one line per effect.
func formatEffects(e Effects) string {
	var b strings.Builder
	for _, s := range e.Starts {
		fmt.Fprintf(&b, "start %s on %s\n", formatRun(s.Order.Run), s.Upstream.ID)
	}
	for _, s := range e.Stops {
		fmt.Fprintf(&b, "stop %s on %s\n", formatRun(s.Run), s.Upstream.ID)
	}
	for _, id := range e.Polls {
		fmt.Fprintf(&b, "look at %s\n", id)
	}
	for _, r := range e.Returns {
		fmt.Fprintf(&b, "%s returns %v%s\n", r.Key.ID, r.Returned, formatHistory(r.History))
	}
	for _, r := range e.Results {
		fmt.Fprintf(&b, "%s ends %s: done %v, returned %v, begun %v%s\n", r.Key.ID, r.Outcome, r.Done, r.Returned, r.Begun, formatHistory(r.History))
	}
	for _, d := range e.Decisions {
		switch d.Kind {
		case DecidedAdopt:
			fmt.Fprintf(&b, "  adopts %s.%d#%d on %s: %s\n", d.Job, d.Task, d.Run, d.Upstream, d.Reason)
		case DecidedAdoptFailed:
			fmt.Fprintf(&b, "  cannot adopt %d of %s: %s\n", d.Task, d.Job, d.Reason)
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

// TestLapseWaitsForSlowClocks checks that the pool does not assume too early that a lease has
// lapsed. On a clock that runs 2% slow a lease of 700 ms lasts 714 ms, and until then the tasks
// must not start on another upstream.
func TestLapseWaitsForSlowClocks(t *testing.T) {
	u := &upstream{clockMs: 5000, clockReadAt: startTime, maxLeaseUntilMs: 5700}
	lease, rate := 700*time.Millisecond, 0.98
	real := time.Duration(float64(lease) / rate)
	if lapsed := u.leasesLapseAt(); lapsed.Sub(startTime) < real {
		t.Errorf("the pool assumes that the lease has lapsed after %v, but it lasts %v", lapsed.Sub(startTime), real)
	}
}
