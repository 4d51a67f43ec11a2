package schedule

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"

	"github.com/samber/lo"
)

// lapsedTask is a pool with the upstreams u1 and u2, in which the leases of one of the two have
// lapsed while it ran a task, so that the task has been started on the other one. A third
// upstream, u3, has not reported yet.
type lapsedTask struct {
	t     *testing.T
	pool  *Pool
	now   time.Time
	key   JobKey
	first Start // on the upstream that became silent
	next  Start // on the other one
}

const lapsedCoordinator = "home"

func newLapsedTask(t *testing.T) *lapsedTask {
	s := &lapsedTask{t: t, pool: NewPool(DefaultConfig, 1), now: startTime, key: JobKey{Coordinator: lapsedCoordinator, ID: "j"}}
	capacity := fleet.Resources{MilliCPU: 1000}
	s.pool.SetUpstreams(s.now, []fleet.Upstream{
		{ID: "u1", StartedUnixMs: 1, Service: "s", Capacity: capacity, LargestCapacity: capacity},
		{ID: "u2", StartedUnixMs: 1, Service: "s", Capacity: capacity, LargestCapacity: capacity},
		{ID: "u3", StartedUnixMs: 1, Service: "s", Capacity: capacity, LargestCapacity: capacity},
	})
	s.report("u1")
	s.report("u2")
	s.first = s.acknowledgeStart(s.offer(s.key))
	s.report(s.first.Upstream.ID, s.first.Order.Run)
	s.next = s.runSilentUntilLapse()
	return s
}

// offer offers a job with one task that needs a whole upstream.
func (s *lapsedTask) offer(key JobKey) Effects {
	return s.pool.Offer(s.now, Offer{
		Key: key, Service: "s", Route: "r", Tasks: []int{0}, Demand: fleet.Resources{MilliCPU: 1000}, Estimate: 3 * time.Second, MaxAttempts: 3,
		Stretch: 2, Slack: time.Second, Timeout: 20 * time.Second, MayQueue: true, AliveAt: s.now,
	})
}

// acknowledgeStart acknowledges the only start of the effects and returns it.
func (s *lapsedTask) acknowledgeStart(e Effects) Start {
	s.t.Helper()
	if len(e.Starts) != 1 {
		s.t.Fatalf("%d runs are started, want 1", len(e.Starts))
	}
	s.pool.HandleStartResponse(s.now, e.Starts[0].Upstream.Incarnation(), e.Starts[0].Order.Run, fleet.NotRefused, nil)
	return e.Starts[0]
}

// runSilentUntilLapse lets the upstream of the first run be silent until the task starts elsewhere.
func (s *lapsedTask) runSilentUntilLapse() Start {
	s.t.Helper()
	silent := s.first.Upstream.ID
	for range 100 {
		s.now = s.now.Add(20 * time.Millisecond)
		s.pool.RenewCoordinator(lapsedCoordinator, s.now)
		s.pool.HandleHoldResponse(s.now, fleet.UpstreamIncarnation{ID: silent, StartedUnixMs: 1}, s.now, fleet.Report{}, failure.Lost.New("no response"))
		s.report(otherUpstream(silent))
		if e := s.pool.Tick(s.now); len(e.Starts) > 0 {
			return s.acknowledgeStart(e)
		}
	}
	s.t.Fatal("the task is not started again")
	return Start{}
}

func otherUpstream(id string) string {
	if id == "u1" {
		return "u2"
	}
	return "u1"
}

// report lets an upstream report that it executes the given runs, in response to a request sent now.
func (s *lapsedTask) report(id string, running ...fleet.Run) Effects {
	return s.reportGiven(id, s.now, running...)
}

// reportGiven lets a report arrive now that was requested and given at an earlier time.
func (s *lapsedTask) reportGiven(id string, at time.Time, running ...fleet.Run) Effects {
	tasks := lo.Map(running, func(r fleet.Run, _ int) fleet.RunningTask { return fleet.RunningTask{Run: r} })
	r := fleet.Report{StartedUnixMs: 1, ClockMs: at.Sub(startTime).Milliseconds(), Running: tasks}
	return s.pool.HandleHoldResponse(s.now, fleet.UpstreamIncarnation{ID: id, StartedUnixMs: 1}, at, r, nil)
}

// reportLapsedRun lets a report of the silent upstream arrive that it gave just before its leases
// lapsed, and that lists its run.
func (s *lapsedTask) reportLapsedRun() Effects {
	return s.reportGiven(s.first.Upstream.ID, s.now.Add(-100*time.Millisecond), s.first.Order.Run)
}

// otherRuns are ways in which another run of the task is reported while the present one goes on, and
// which is then gone. Each returns the upstream that reports it.
var otherRuns = map[string]func(s *lapsedTask) (upstream string, run fleet.Run){
	"lapsed": func(s *lapsedTask) (string, fleet.Run) {
		s.reportLapsedRun()
		return s.first.Upstream.ID, s.first.Order.Run
	},
	"of a former owner": func(s *lapsedTask) (string, fleet.Run) {
		former := fleet.Run{Task: s.first.Order.Run.Task, Number: 9}
		s.report("u3", former)
		return "u3", former
	},
}

// forEachOtherRun runs a test with each of otherRuns. The other run is reported, and is gone.
func forEachOtherRun(t *testing.T, test func(t *testing.T, s *lapsedTask)) {
	for name, report := range otherRuns {
		t.Run(name, func(t *testing.T) {
			s := newLapsedTask(t)
			upstream, run := report(s)
			for range 3 { // until nothing is known of the other run any more
				s.now = s.now.Add(20 * time.Millisecond)
				s.pool.HandleStopResponse(s.now, fleet.UpstreamIncarnation{ID: upstream, StartedUnixMs: 1}, run, nil)
				s.now = s.now.Add(20 * time.Millisecond)
				s.report(upstream)
				s.report(s.next.Upstream.ID, s.next.Order.Run)
			}
			test(t, s)
		})
	}
}

// stopsPresentRun reports whether effects contain a stop of the present run.
func (s *lapsedTask) stopsPresentRun(e Effects) bool {
	return lo.ContainsBy(e.Stops, func(stop Stop) bool {
		return stop.Run == s.next.Order.Run && stop.Upstream.ID == s.next.Upstream.ID
	})
}

// TestLapsedRunIsNotTracked guards against an upstream that is idle while the pool stops a run there
// that a late report lists and whose lease has lapsed.
func TestLapsedRunIsNotTracked(t *testing.T) {
	s := newLapsedTask(t)
	if e := s.reportLapsedRun(); len(e.Stops) > 0 {
		t.Errorf("the lapsed run is stopped: %+v", e.Stops)
	}
	if e := s.offer(JobKey{Coordinator: lapsedCoordinator, ID: "other job"}); len(e.Starts) != 1 || e.Starts[0].Upstream.ID != s.first.Upstream.ID {
		t.Errorf("%d runs start, want one on %s: %+v", len(e.Starts), s.first.Upstream.ID, e.Starts)
	}
}

// TestRunStoppedAfterLateReport guards against a run that goes on after its job was withdrawn,
// because another run of its task was listed meanwhile.
func TestRunStoppedAfterLateReport(t *testing.T) {
	forEachOtherRun(t, func(t *testing.T, s *lapsedTask) {
		if e := s.pool.Withdraw(s.now, s.key, "left"); !s.stopsPresentRun(e) {
			t.Errorf("the withdrawal of the job does not stop %v on %s: %+v", s.next.Order.Run, s.next.Upstream.ID, e.Stops)
		}
	})
}

// TestNoSecondRunAfterLateReport guards against two runs of a task at once: the job is submitted
// again while the present run goes on, after another run was listed.
func TestNoSecondRunAfterLateReport(t *testing.T) {
	forEachOtherRun(t, func(t *testing.T, s *lapsedTask) {
		s.pool.Withdraw(s.now, s.key, "left")
		again := s.offer(JobKey{Coordinator: "other", ID: s.key.ID})
		if len(again.Starts) > 0 {
			t.Errorf("%v starts on %s while %v runs on %s", again.Starts[0].Order.Run, again.Starts[0].Upstream.ID, s.next.Order.Run, s.next.Upstream.ID)
		}
	})
}

// TestNoRenewalAfterLateReport guards against a run whose leases are renewed for ever: nobody
// wants it any more, its stop is lost, and its coordinator has other jobs.
func TestNoRenewalAfterLateReport(t *testing.T) {
	forEachOtherRun(t, func(t *testing.T, s *lapsedTask) {
		s.offer(JobKey{Coordinator: lapsedCoordinator, ID: "other job"})
		s.offer(JobKey{Coordinator: lapsedCoordinator, ID: "third job"})
		s.pool.Withdraw(s.now, s.key, "left")
		s.now = s.now.Add(DefaultConfig.CoordinatorStaleAfter + time.Millisecond)
		s.pool.RenewCoordinator(lapsedCoordinator, s.now)
		if _, o, _ := s.pool.HoldOrder(s.now, s.next.Upstream.ID); o.LeaseUntilMs > 0 {
			t.Errorf("the leases of %s are renewed although nobody wants %v", s.next.Upstream.ID, s.next.Order.Run)
		}
	})
}

// TestLateReportRetractsNoSuspicion guards against a task that crashes one upstream after the other:
// only a report from after the lapse shows that the upstream had not crashed under the task.
func TestLateReportRetractsNoSuspicion(t *testing.T) {
	s := newLapsedTask(t)
	task := s.first.Order.Run.Task
	s.reportLapsedRun()
	if !s.pool.isSuspectTask(task) {
		t.Errorf("%v is no suspect any more after a report from before the lapse", task)
	}
	s.report(s.first.Upstream.ID)
	if s.pool.isSuspectTask(task) {
		t.Errorf("%v is still a suspect after a report from after the lapse", task)
	}
}

// TestFormerLeaseOutlastsSilence guards against two runs of a task at once: a run of a former owner
// goes on until the lease lapses that the former owner granted, also on an upstream that becomes
// silent right after its first report.
func TestFormerLeaseOutlastsSilence(t *testing.T) {
	s := &lapsedTask{t: t, pool: NewPool(DefaultConfig, 2), now: startTime}
	capacity := fleet.Resources{MilliCPU: 1000}
	s.pool.SetUpstreams(s.now, []fleet.Upstream{
		{ID: "u1", StartedUnixMs: 1, Service: "s", Capacity: capacity, LargestCapacity: capacity},
		{ID: "u2", StartedUnixMs: 1, Service: "s", Capacity: capacity, LargestCapacity: capacity},
	})
	s.report("u1", fleet.Run{Task: fleet.TaskRef{Job: "j"}, Number: 1})
	s.report("u2")
	accepted := s.now
	s.first.Upstream.ID = "u1"
	s.offer(JobKey{Coordinator: lapsedCoordinator, ID: "j"})
	s.runSilentUntilLapse()
	if lapse := accepted.Add(time.Duration(float64(DefaultConfig.Lease) / minClockRate)); s.now.Before(lapse) {
		t.Errorf("the task starts elsewhere %v after the first report, before a lease granted then has lapsed on a slow clock", s.now.Sub(accepted))
	}
}
