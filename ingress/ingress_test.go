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

// TestChoose checks the choice of an owner with the default policy, for a coordinator in zone a.
func TestChoose(t *testing.T) {
	groupLoad := func(group string, free, waiting int) OwnerLoad {
		return OwnerLoad{Group: group, Zone: group[:1], Free: free, Waiting: waiting, Capacity: 100}
	}
	fullGroup := func(group string) OwnerLoad { return groupLoad(group, 0, 0) }
	for name, c := range map[string]struct {
		loads []OwnerLoad
		tried []string
		tasks int
		begun bool
		want  Choice
		found bool
	}{
		"no owners":               {nil, nil, 1, false, Choice{}, false},
		"own zone first":          {[]OwnerLoad{groupLoad("a/0", 1, 0), groupLoad("b/0", 9, 0)}, nil, 1, false, Choice{Group: "a/0", AllOrNothing: true}, true},
		"most free elsewhere":     {[]OwnerLoad{groupLoad("a/0", 0, 3), groupLoad("b/0", 2, 0), groupLoad("c/0", 5, 0)}, nil, 1, false, Choice{Group: "c/0", AllOrNothing: true}, true},
		"skips tried groups":      {[]OwnerLoad{groupLoad("a/0", 5, 0), groupLoad("b/0", 2, 0)}, []string{"a/0"}, 1, false, Choice{Group: "b/0", AllOrNothing: true}, true},
		"shortest queue":          {[]OwnerLoad{groupLoad("a/0", 0, 9), groupLoad("b/0", 0, 3)}, nil, 1, false, Choice{Group: "b/0", MayQueue: true}, true},
		"prefers the own queue":   {[]OwnerLoad{groupLoad("a/0", 0, 4), groupLoad("b/0", 0, 3)}, nil, 1, false, Choice{Group: "a/0", MayQueue: true}, true},
		"no upstreams":            {[]OwnerLoad{{Group: "a/0", Zone: "a"}}, nil, 1, false, Choice{}, false},
		"whole elsewhere":         {[]OwnerLoad{groupLoad("a/0", 3, 0), groupLoad("b/0", 4, 0)}, nil, 4, false, Choice{Group: "b/0", AllOrNothing: true}, true},
		"split if all of it fits": {[]OwnerLoad{groupLoad("a/0", 2, 0), groupLoad("b/0", 3, 0)}, nil, 5, false, Choice{Group: "a/0"}, true},
		"queued whole":            {[]OwnerLoad{groupLoad("a/0", 2, 0), fullGroup("b/0")}, nil, 5, false, Choice{Group: "a/0", MayQueue: true}, true},
		"a begun job is split":    {[]OwnerLoad{groupLoad("a/0", 2, 0), fullGroup("b/0")}, nil, 5, true, Choice{Group: "a/0"}, true},
	} {
		tried := map[string]bool{}
		for _, g := range c.tried {
			tried[g] = true
		}
		if got, found := DefaultPolicy.choose(c.loads, "a", tried, c.tasks, c.begun); got != c.want || found != c.found {
			t.Errorf("%s: choice %+v, found %v; want %+v, found %v", name, got, found, c.want, c.found)
		}
	}
}

// fakeOwners implements Owners with fixed loads and an offer function set by each test.
type fakeOwners struct {
	mu        sync.Mutex
	loads     []OwnerLoad
	offer     func(group string, o schedule.Offer, callbacks owner.OfferCallbacks) error
	withdrawn []schedule.JobKey
}

func (f *fakeOwners) Loads() []OwnerLoad {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.loads
}

func (f *fakeOwners) Offer(group string, o schedule.Offer, callbacks owner.OfferCallbacks) error {
	return f.offer(group, o, callbacks)
}

func (f *fakeOwners) Withdraw(_ string, key schedule.JobKey, _ string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.withdrawn = append(f.withdrawn, key)
}

func newRequest(tasks int) Request {
	return Request{
		Job:     &fleet.Job{ID: "0000000000000001", Ephemeral: true, Steps: []fleet.Step{{Count: tasks, Estimate: 10 * time.Millisecond}}},
		Route:   &fleet.Route{Name: "r", Stretch: 1.6, Slack: 20 * time.Millisecond, MaxAttempts: 2},
		Timeout: time.Minute,
	}
}

func twoZoneLoads() []OwnerLoad {
	return []OwnerLoad{{Group: "a/0", Zone: "a", Free: 2, Capacity: 9}, {Group: "b/0", Zone: "b", Free: 2, Capacity: 9}}
}

func endOffer(callbacks owner.OfferCallbacks, r schedule.Result) {
	callbacks.OfferEnded(r, schedule.Load{})
}

// TestRun checks the verdict on a job of three tasks for each way in which its offers can end.
func TestRun(t *testing.T) {
	for name, c := range map[string]struct {
		loads []OwnerLoad
		offer func(group string, o schedule.Offer, callbacks owner.OfferCallbacks) error
		want  Verdict
		begun bool
	}{
		"completed by one owner": {twoZoneLoads(), func(_ string, o schedule.Offer, cb owner.OfferCallbacks) error {
			endOffer(cb, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks, Begun: true})
			return nil
		}, Completed, true},
		"partly returned": {twoZoneLoads(), func(group string, o schedule.Offer, cb owner.OfferCallbacks) error {
			if group == "a/0" {
				cb.TasksReturned(schedule.Result{Returned: o.Tasks[1:]}, schedule.Load{})
				endOffer(cb, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks[:1], Begun: true})
				return nil
			}
			endOffer(cb, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks, Begun: true})
			return nil
		}, Completed, true},
		"offer ends before its tasks are returned": {twoZoneLoads(), func(group string, o schedule.Offer, cb owner.OfferCallbacks) error {
			if group == "a/0" {
				endOffer(cb, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks[:1], Begun: true})
				return nil
			}
			endOffer(cb, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks, Begun: true})
			return nil
		}, Completed, true},
		"a task fails": {twoZoneLoads(), func(_ string, o schedule.Offer, cb owner.OfferCallbacks) error {
			endOffer(cb, schedule.Result{Outcome: schedule.Failed, Begun: true})
			return nil
		}, Failed, true},
		"the owner is lost": {twoZoneLoads(), func(_ string, o schedule.Offer, cb owner.OfferCallbacks) error {
			endOffer(cb, schedule.Result{Outcome: schedule.Unknown, Begun: true})
			return nil
		}, Unknown, true},
		"expired before it began": {twoZoneLoads(), func(_ string, o schedule.Offer, cb owner.OfferCallbacks) error {
			endOffer(cb, schedule.Result{Outcome: schedule.Expired, Returned: o.Tasks})
			return nil
		}, NotRun, false},
		"expired after it began": {twoZoneLoads(), func(_ string, o schedule.Offer, cb owner.OfferCallbacks) error {
			endOffer(cb, schedule.Result{Outcome: schedule.Expired, Begun: true})
			return nil
		}, Unknown, true},
		"no capacity in time here, but elsewhere": {twoZoneLoads(), func(group string, o schedule.Offer, cb owner.OfferCallbacks) error {
			if group == "a/0" {
				endOffer(cb, schedule.Result{Outcome: schedule.Expired, Returned: o.Tasks})
				return nil
			}
			endOffer(cb, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks, Begun: true})
			return nil
		}, Completed, true},
		"begun, and no capacity in time for the rest": {twoZoneLoads(), func(group string, o schedule.Offer, cb owner.OfferCallbacks) error {
			if group == "a/0" && len(o.Tasks) == 3 {
				cb.TasksReturned(schedule.Result{Returned: o.Tasks[1:]}, schedule.Load{})
				return nil
			}
			endOffer(cb, schedule.Result{Outcome: schedule.Expired, Returned: o.Tasks})
			return nil
		}, Unknown, true},
		"too large for all groups": {twoZoneLoads(), func(_ string, o schedule.Offer, cb owner.OfferCallbacks) error {
			endOffer(cb, schedule.Result{Outcome: schedule.NeverFits, Returned: o.Tasks})
			return nil
		}, Failed, false},
		"too large for one group, the other unreachable": {twoZoneLoads(), func(group string, o schedule.Offer, cb owner.OfferCallbacks) error {
			if group == "b/0" {
				return failure.Unreachable.New("partitioned")
			}
			endOffer(cb, schedule.Result{Outcome: schedule.NeverFits, Returned: o.Tasks})
			return nil
		}, NotRun, false},
		"no owners": {nil, nil, NotRun, false},
		"no owner reachable": {twoZoneLoads(), func(string, schedule.Offer, owner.OfferCallbacks) error {
			return failure.Unreachable.New("partitioned")
		}, NotRun, false},
	} {
		t.Run(name, func(t *testing.T) {
			coordinator := NewCoordinator("a", &fakeOwners{loads: c.loads, offer: c.offer})
			got := coordinator.Run(newRequest(3), nil)
			if got.Verdict != c.want || got.Begun != c.begun {
				t.Errorf("response %+v, want verdict %s, begun %v", got, c.want, c.begun)
			}
			if coordinator.OpenJobs() != 0 {
				t.Error("the job is still open")
			}
		})
	}
}

// TestCustomerGone checks that the open offers of a job are withdrawn when its customer
// disconnects.
func TestCustomerGone(t *testing.T) {
	offered := make(chan owner.OfferCallbacks, 1)
	f := &fakeOwners{loads: twoZoneLoads(), offer: func(_ string, _ schedule.Offer, cb owner.OfferCallbacks) error { offered <- cb; return nil }}
	c := NewCoordinator("a", f)
	disconnected := make(chan struct{})
	response := make(chan Response, 1)
	go func() { response <- c.Run(newRequest(1), disconnected) }()
	<-offered
	if state, open := c.State("0000000000000001"); !open || state != fleet.StateRunning {
		t.Errorf("the job is %s, open %v; want running, open true", state, open)
	}
	close(disconnected)
	if got := <-response; got.Verdict != CustomerLeft {
		t.Errorf("response %+v, want verdict left", got)
	}
	if len(f.withdrawn) != 1 {
		t.Errorf("%d offers were withdrawn, want 1", len(f.withdrawn))
	}
}

// TestCancel checks that cancelling an open job ends it as failed and withdraws its offer.
func TestCancel(t *testing.T) {
	offered := make(chan struct{}, 1)
	f := &fakeOwners{loads: twoZoneLoads(), offer: func(string, schedule.Offer, owner.OfferCallbacks) error { offered <- struct{}{}; return nil }}
	c := NewCoordinator("a", f)
	response := make(chan Response, 1)
	go func() { response <- c.Run(newRequest(1), nil) }()
	<-offered
	if !c.Cancel("0000000000000001") || c.Cancel("0000000000000002") {
		t.Error("Cancel did not report the first job as open and the second one as unknown")
	}
	if got := <-response; got.Verdict != Failed || len(f.withdrawn) != 1 {
		t.Errorf("response %+v, %d offers withdrawn; want verdict failed, 1 withdrawn", got, len(f.withdrawn))
	}
}

// TestStopping checks that during a planned shutdown a job is accepted only if its latency
// objective is no longer than the time left until the instance exits.
func TestStopping(t *testing.T) {
	short := newRequest(1)
	short.Job.Steps[0].Estimate = 50 * time.Millisecond
	objective50ms := objective(short.Job, short.Route)
	for name, c := range map[string]struct {
		left     time.Duration
		stopping bool
		estimate time.Duration
		rejected bool
	}{
		"no shutdown":                  {0, false, time.Second, false},
		"a short job, enough time":     {time.Second, true, 50 * time.Millisecond, false},
		"a long job, too little time":  {time.Second, true, time.Second, true},
		"a long job, enough time":      {5 * time.Second, true, time.Second, false},
		"a short job, too little time": {50 * time.Millisecond, true, 50 * time.Millisecond, true},
		"exactly enough time":          {objective50ms, true, 50 * time.Millisecond, false},
		"a millisecond too little":     {objective50ms - time.Millisecond, true, 50 * time.Millisecond, true},
		"after the shutdown time":      {-time.Second, true, 0, true},
	} {
		r := newRequest(1)
		r.Job.Steps[0].Estimate = c.estimate
		s := &Server{shutdownStatus: func() (time.Duration, bool) { return c.left, c.stopping }}
		if reason := s.rejectReason(r.Job, r.Route); (reason != "") != c.rejected {
			t.Errorf("%s: unexpected reason to reject the job %q, which is empty if it is accepted", name, reason)
		}
	}
}

// TestOverloadRejectedAfterFewOffers checks that a job is rejected after
// maxOwnersWithoutCapacity offers if all 12 groups of a fleet are full. Further offers would
// be wasted: the remaining groups have longer queues, and each offer sends the whole job over
// two network links.
func TestOverloadRejectedAfterFewOffers(t *testing.T) {
	var loads []OwnerLoad
	for i := range 12 {
		loads = append(loads, OwnerLoad{Group: fmt.Sprintf("z%d/0", i), Zone: fmt.Sprintf("z%d", i), Waiting: 10 * (i + 1), Capacity: 640_000})
	}
	offers := 0
	coordinator := NewCoordinator("z11", &fakeOwners{loads: loads, offer: func(_ string, o schedule.Offer, cb owner.OfferCallbacks) error {
		offers++
		cb.OfferEnded(schedule.Result{Key: o.Key, Outcome: schedule.Expired, Returned: o.Tasks}, schedule.Load{})
		return nil
	}})
	got := coordinator.Run(newRequest(3), nil)
	if got.Verdict != NotRun || got.RetryAfter == 0 {
		t.Errorf("response %+v, want verdict not_run and a time to retry after", got)
	}
	if offers != maxOwnersWithoutCapacity {
		t.Errorf("the job was offered %d times, want maxOwnersWithoutCapacity", offers)
	}
}

// TestEvacuatedAll checks the response to a job if operators have evacuated every availability
// zone: it is rejected at once without having been offered, and the customer is told to retry
// after closedRetryAfter.
func TestEvacuatedAll(t *testing.T) {
	closed := []OwnerLoad{{Group: "a/0", Zone: "a", Closed: true}, {Group: "b/0", Zone: "b", Closed: true}}
	c := NewSimulatedCoordinator("a", &fakeOwners{loads: closed, offer: func(group string, _ schedule.Offer, _ owner.OfferCallbacks) error {
		t.Errorf("the job was offered to %s", group)
		return nil
	}}, stoppedClock{}, DefaultPolicy, alwaysHalf)
	var responses []Response
	c.Start(newRequest(2), func(r Response) { responses = append(responses, r) })
	if len(responses) != 1 || responses[0].Verdict != NotRun || responses[0].RetryAfter != closedRetryAfter {
		t.Errorf("responses %+v, want one rejection with a retry after %v", responses, closedRetryAfter)
	}
}

// TestBegunJobMoves checks that a job completes if its zone is evacuated after some of its
// tasks have begun. A task that was still waiting and a task whose run has failed must be
// offered to the other zone, the failed one with the history of its runs.
func TestBegunJobMoves(t *testing.T) {
	moved := map[int]schedule.TaskHistory{}
	f := &fakeOwners{loads: twoZoneLoads()}
	f.offer = func(group string, o schedule.Offer, cb owner.OfferCallbacks) error {
		if group == "b/0" {
			if !o.Begun {
				t.Errorf("Begun is not set in the offer of tasks %v, although their job has begun", o.Tasks)
			}
			maps.Copy(moved, o.History)
			endOffer(cb, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks, Begun: true})
			return nil
		}
		f.loads[0] = OwnerLoad{Group: "a/0", Zone: "a", Closed: true}
		history := map[int]schedule.TaskHistory{2: {LastRun: 1, FailedRuns: 1}}
		cb.TasksReturned(schedule.Result{Returned: []int{1}, Begun: true}, schedule.Load{})
		endOffer(cb, schedule.Result{Outcome: schedule.Completed, Done: []int{0}, Returned: []int{2}, History: history, Begun: true})
		return nil
	}
	got := NewCoordinator("a", f).Run(newRequest(3), nil)
	if got.Verdict != Completed || !got.Begun {
		t.Errorf("response %+v, want verdict completed, begun true", got)
	}
	if len(moved) != 1 || moved[2] != (schedule.TaskHistory{LastRun: 1, FailedRuns: 1}) {
		t.Errorf("the tasks were offered with histories %v, want one failed run of task 2", moved)
	}
}
