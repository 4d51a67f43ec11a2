package ingress

import (
	"fmt"
	"maps"
	"sync"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

func TestChoose(t *testing.T) {
	load := func(group string, free, waiting int) OwnerLoad {
		return OwnerLoad{Group: group, Zone: group[:1], Free: free, Waiting: waiting, Capacity: 100}
	}
	full := func(group string) OwnerLoad { return load(group, 0, 0) }
	for name, c := range map[string]struct {
		loads []OwnerLoad
		tried []string
		tasks int
		begun bool
		want  Choice
		found bool
	}{
		"nobody":                     {nil, nil, 1, false, Choice{}, false},
		"own zone first":             {[]OwnerLoad{load("a/0", 1, 0), load("b/0", 9, 0)}, nil, 1, false, Choice{Group: "a/0", AllOrNothing: true}, true},
		"most room away":             {[]OwnerLoad{load("a/0", 0, 3), load("b/0", 2, 0), load("c/0", 5, 0)}, nil, 1, false, Choice{Group: "c/0", AllOrNothing: true}, true},
		"not the same again":         {[]OwnerLoad{load("a/0", 5, 0), load("b/0", 2, 0)}, []string{"a/0"}, 1, false, Choice{Group: "b/0", AllOrNothing: true}, true},
		"shortest queue":             {[]OwnerLoad{load("a/0", 0, 9), load("b/0", 0, 3)}, nil, 1, false, Choice{Group: "b/0", MayQueue: true}, true},
		"own queue is near":          {[]OwnerLoad{load("a/0", 0, 4), load("b/0", 0, 3)}, nil, 1, false, Choice{Group: "a/0", MayQueue: true}, true},
		"no upstreams":               {[]OwnerLoad{{Group: "a/0", Zone: "a"}}, nil, 1, false, Choice{}, false},
		"whole elsewhere":            {[]OwnerLoad{load("a/0", 3, 0), load("b/0", 4, 0)}, nil, 4, false, Choice{Group: "b/0", AllOrNothing: true}, true},
		"split where all fits":       {[]OwnerLoad{load("a/0", 2, 0), load("b/0", 3, 0)}, nil, 5, false, Choice{Group: "a/0"}, true},
		"waits whole":                {[]OwnerLoad{load("a/0", 2, 0), full("b/0")}, nil, 5, false, Choice{Group: "a/0", MayQueue: true}, true},
		"the rest takes what it can": {[]OwnerLoad{load("a/0", 2, 0), full("b/0")}, nil, 5, true, Choice{Group: "a/0"}, true},
	} {
		tried := map[string]bool{}
		for _, g := range c.tried {
			tried[g] = true
		}
		if got, found := DefaultPolicy.choose(c.loads, "a", tried, c.tasks, c.begun); got != c.want || found != c.found {
			t.Errorf("%s: %+v %v, want %+v %v", name, got, found, c.want, c.found)
		}
	}
}

// owners is a fleet that does as each test scripts it.
type owners struct {
	mu        sync.Mutex
	loads     []OwnerLoad
	offer     func(group string, o schedule.Offer, answer owner.OfferCallbacks) error
	withdrawn []schedule.JobKey
}

func (f *owners) Loads() []OwnerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads
}

func (f *owners) Offer(group string, o schedule.Offer, answer owner.OfferCallbacks) error {
	return f.offer(group, o, answer)
}

func (f *owners) Withdraw(_ string, key schedule.JobKey, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withdrawn = append(f.withdrawn, key)
}

func request(tasks int) Request {
	return Request{
		Job:     &fleet.Job{ID: "0000000000000001", Ephemeral: true, Steps: []fleet.Step{{Count: tasks, Estimate: 10 * time.Millisecond}}},
		Route:   &fleet.Route{Name: "r", Stretch: 1.6, Slack: 20 * time.Millisecond, MaxAttempts: 2},
		Timeout: time.Minute,
	}
}

func twoZones() []OwnerLoad {
	return []OwnerLoad{{Group: "a/0", Zone: "a", Free: 2, Capacity: 9}, {Group: "b/0", Zone: "b", Free: 2, Capacity: 9}}
}

func end(answer owner.OfferCallbacks, r schedule.Result) { answer.OfferEnded(r, schedule.Load{}) }

// TestRun runs a job against owners that answer in each way.
func TestRun(t *testing.T) {
	for name, c := range map[string]struct {
		loads []OwnerLoad
		offer func(group string, o schedule.Offer, answer owner.OfferCallbacks) error
		want  Verdict
		begun bool
	}{
		"done at once": {twoZones(), func(_ string, o schedule.Offer, a owner.OfferCallbacks) error {
			end(a, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks, Begun: true})
			return nil
		}, Completed, true},
		"half elsewhere": {twoZones(), func(group string, o schedule.Offer, a owner.OfferCallbacks) error {
			if group == "a/0" {
				a.TasksReturned(schedule.Result{Returned: o.Tasks[1:]}, schedule.Load{})
				end(a, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks[:1], Begun: true})
				return nil
			}
			end(a, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks, Begun: true})
			return nil
		}, Completed, true},
		"the return overtaken by the end": {twoZones(), func(group string, o schedule.Offer, a owner.OfferCallbacks) error {
			if group == "a/0" {
				end(a, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks[:1], Begun: true})
				return nil
			}
			end(a, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks, Begun: true})
			return nil
		}, Completed, true},
		"a task fails": {twoZones(), func(_ string, o schedule.Offer, a owner.OfferCallbacks) error {
			end(a, schedule.Result{Outcome: schedule.Failed, Begun: true})
			return nil
		}, Failed, true},
		"the owner is lost": {twoZones(), func(_ string, o schedule.Offer, a owner.OfferCallbacks) error {
			end(a, schedule.Result{Outcome: schedule.Unknown, Begun: true})
			return nil
		}, Unknown, true},
		"expired before it began": {twoZones(), func(_ string, o schedule.Offer, a owner.OfferCallbacks) error {
			end(a, schedule.Result{Outcome: schedule.Expired, Returned: o.Tasks})
			return nil
		}, NotRun, false},
		"expired after it began": {twoZones(), func(_ string, o schedule.Offer, a owner.OfferCallbacks) error {
			end(a, schedule.Result{Outcome: schedule.Expired, Begun: true})
			return nil
		}, Unknown, true},
		"no room in time here, but elsewhere": {twoZones(), func(group string, o schedule.Offer, a owner.OfferCallbacks) error {
			if group == "a/0" {
				end(a, schedule.Result{Outcome: schedule.Expired, Returned: o.Tasks})
				return nil
			}
			end(a, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks, Begun: true})
			return nil
		}, Completed, true},
		"begun, and no room in time for the rest": {twoZones(), func(group string, o schedule.Offer, a owner.OfferCallbacks) error {
			if group == "a/0" && len(o.Tasks) == 3 {
				a.TasksReturned(schedule.Result{Returned: o.Tasks[1:]}, schedule.Load{})
				return nil
			}
			end(a, schedule.Result{Outcome: schedule.Expired, Returned: o.Tasks})
			return nil
		}, Unknown, true},
		"too large for all": {twoZones(), func(_ string, o schedule.Offer, a owner.OfferCallbacks) error {
			end(a, schedule.Result{Outcome: schedule.NeverFits, Returned: o.Tasks})
			return nil
		}, Failed, false},
		"too large for one, the other cannot be reached": {twoZones(), func(group string, o schedule.Offer, a owner.OfferCallbacks) error {
			if group == "b/0" {
				return failure.Unreachable.New("cut")
			}
			end(a, schedule.Result{Outcome: schedule.NeverFits, Returned: o.Tasks})
			return nil
		}, NotRun, false},
		"nobody": {nil, nil, NotRun, false},
		"nobody can be reached": {twoZones(), func(string, schedule.Offer, owner.OfferCallbacks) error {
			return failure.Unreachable.New("cut")
		}, NotRun, false},
	} {
		t.Run(name, func(t *testing.T) {
			coordinator := NewCoordinator("a", &owners{loads: c.loads, offer: c.offer})
			a := coordinator.Run(request(3), nil)
			if a.Verdict != c.want || a.Begun != c.begun {
				t.Errorf("%+v, want %s, begun %v", a, c.want, c.begun)
			}
			if coordinator.OpenJobs() != 0 {
				t.Error("the job stays open")
			}
		})
	}
}

// TestCustomerGone withdraws what is offered when the customer leaves, and not
// when the same job has been sent again here.
func TestCustomerGone(t *testing.T) {
	offered := make(chan owner.OfferCallbacks, 1)
	f := &owners{loads: twoZones(), offer: func(_ string, _ schedule.Offer, a owner.OfferCallbacks) error { offered <- a; return nil }}
	c := NewCoordinator("a", f)
	left := make(chan struct{})
	verdict := make(chan Response, 1)
	go func() { verdict <- c.Run(request(1), left) }()
	<-offered
	if state, open := c.State("0000000000000001"); !open || state != fleet.StateRunning {
		t.Errorf("the job is %s, open %v", state, open)
	}
	close(left)
	if a := <-verdict; a.Verdict != CustomerLeft {
		t.Errorf("%+v", a)
	}
	if len(f.withdrawn) != 1 {
		t.Errorf("%d offers were withdrawn", len(f.withdrawn))
	}
}

func TestCancel(t *testing.T) {
	offered := make(chan struct{}, 1)
	f := &owners{loads: twoZones(), offer: func(string, schedule.Offer, owner.OfferCallbacks) error { offered <- struct{}{}; return nil }}
	c := NewCoordinator("a", f)
	verdict := make(chan Response, 1)
	go func() { verdict <- c.Run(request(1), nil) }()
	<-offered
	if !c.Cancel("0000000000000001") || c.Cancel("0000000000000002") {
		t.Error("only the open job can be cancelled")
	}
	if a := <-verdict; a.Verdict != Failed || len(f.withdrawn) != 1 {
		t.Errorf("%+v, %d withdrawn", a, len(f.withdrawn))
	}
}

// TestStopping: in a planned stop a job is taken while it can end before.
func TestStopping(t *testing.T) {
	short := request(1)
	short.Job.Steps[0].Estimate = 50 * time.Millisecond
	r50 := objective(short.Job, short.Route)
	for name, c := range map[string]struct {
		left     time.Duration
		stopping bool
		estimate time.Duration
		refused  bool
	}{
		"no stop":                  {0, false, time.Second, false},
		"a short job, time enough": {time.Second, true, 50 * time.Millisecond, false},
		"a long job, not enough":   {time.Second, true, time.Second, true},
		"a long job, time enough":  {5 * time.Second, true, time.Second, false},
		"a short job at the end":   {50 * time.Millisecond, true, 50 * time.Millisecond, true},
		"in time by just as much":  {r50, true, 50 * time.Millisecond, false},
		"late by a millisecond":    {r50 - time.Millisecond, true, 50 * time.Millisecond, true},
		"after the end":            {-time.Second, true, 0, true},
	} {
		r := request(1)
		r.Job.Steps[0].Estimate = c.estimate
		s := &Server{shutdownStatus: func() (time.Duration, bool) { return c.left, c.stopping }}
		if reason := s.rejectReason(r.Job, r.Route); (reason != "") != c.refused {
			t.Errorf("%s: %q", name, reason)
		}
	}
}

// TestCrowdIsToldSoon: a crowd comes to a fleet of 12 groups that are all full. A
// job is offered to two of them and refused: each offer carries the whole job over
// two links, and the queues of the others were longer.
func TestCrowdIsToldSoon(t *testing.T) {
	var loads []OwnerLoad
	for i := range 12 {
		loads = append(loads, OwnerLoad{Group: fmt.Sprintf("z%d/0", i), Zone: fmt.Sprintf("z%d", i), Waiting: 10 * (i + 1), Capacity: 640_000})
	}
	asked := 0
	coordinator := NewCoordinator("z11", &owners{loads: loads, offer: func(_ string, o schedule.Offer, a owner.OfferCallbacks) error {
		asked++
		a.OfferEnded(schedule.Result{Key: o.Key, Outcome: schedule.Expired, Returned: o.Tasks}, schedule.Load{})
		return nil
	}})
	a := coordinator.Run(request(3), nil)
	if a.Verdict != NotRun || a.RetryAfter == 0 {
		t.Errorf("%+v, want not run and word of when to come back", a)
	}
	if asked != maxOwnersWithoutCapacity {
		t.Errorf("%d owners were asked", asked)
	}
}

// TestEvacuatedAll: where operators have evacuated every availability zone, a job is
// rejected at once with word of when to come back, and offered to nobody.
func TestEvacuatedAll(t *testing.T) {
	closed := []OwnerLoad{{Group: "a/0", Zone: "a", Closed: true}, {Group: "b/0", Zone: "b", Closed: true}}
	c := NewSimulatedCoordinator("a", &owners{loads: closed, offer: func(group string, _ schedule.Offer, _ owner.OfferCallbacks) error {
		t.Errorf("a job is offered to %s", group)
		return nil
	}}, stillClock{}, DefaultPolicy)
	var answers []Response
	c.Start(request(2), func(a Response) { answers = append(answers, a) })
	if len(answers) != 1 || answers[0].Verdict != NotRun || answers[0].RetryAfter != closedRetryAfter {
		t.Errorf("%+v, want one rejection to come back after %v", answers, closedRetryAfter)
	}
}

// TestBegunJobMoves: the zone of a half begun job is evacuated. The task that waited,
// and the one whose run failed, go to the other zone with their past, and the job is
// complete.
func TestBegunJobMoves(t *testing.T) {
	moved := map[int]schedule.TaskHistory{}
	f := &owners{loads: twoZones()}
	f.offer = func(group string, o schedule.Offer, a owner.OfferCallbacks) error {
		if group == "b/0" {
			if !o.Begun {
				t.Errorf("tasks %v are offered as if nothing of their job had begun", o.Tasks)
			}
			maps.Copy(moved, o.History)
			end(a, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks, Begun: true})
			return nil
		}
		f.loads[0] = OwnerLoad{Group: "a/0", Zone: "a", Closed: true}
		past := map[int]schedule.TaskHistory{2: {LastRun: 1, FailedRuns: 1}}
		a.TasksReturned(schedule.Result{Returned: []int{1}, Begun: true}, schedule.Load{})
		end(a, schedule.Result{Outcome: schedule.Completed, Done: []int{0}, Returned: []int{2}, History: past, Begun: true})
		return nil
	}
	a := NewCoordinator("a", f).Run(request(3), nil)
	if a.Verdict != Completed || !a.Begun {
		t.Errorf("%+v", a)
	}
	if len(moved) != 1 || moved[2] != (schedule.TaskHistory{LastRun: 1, FailedRuns: 1}) {
		t.Errorf("they take %v along", moved)
	}
}
