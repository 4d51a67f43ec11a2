package ingress

import (
	"testing"
	"time"
)

// TestReturnPlan: who was refused first comes back first, and no second takes
// more than its part of what is served.
func TestReturnPlan(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var r retryPlan
	for range 100 * int(rateTimeConstant.Seconds()) * 5 { // long enough for a steady rate of 100 a second
		now = now.Add(10 * time.Millisecond)
		r.recordCompletion(now)
	}
	if rate := r.decayedRate(now); rate < 95 || rate > 105 {
		t.Fatalf("a rate of %.1f a second, want 100", rate)
	}
	places := int(retryShare * r.decayedRate(now))
	counts := map[time.Duration]int{}
	last := time.Duration(0)
	for range 3 * places {
		after := r.nextRetryAfter(now)
		if after < last {
			t.Errorf("%v after %v: a later customer comes back before an earlier one", after, last)
		}
		last = after
		counts[after]++
	}
	for _, after := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		if counts[after] != places {
			t.Errorf("%d come back after %v, want %d", counts[after], after, places)
		}
	}
	now = now.Add(2 * time.Second)
	if after := r.nextRetryAfter(now); after != 2*time.Second {
		t.Errorf("two seconds later the next customer comes back after %v, want 2s", after)
	}
}

// TestReturnPlanBounds: nobody waits longer than the plan reaches, and a plan
// that has seen nothing served still takes one customer a second.
func TestReturnPlanBounds(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var r retryPlan
	for i := range 2 * planSeconds {
		want := min(time.Duration(i+1), planSeconds) * time.Second
		if after := r.nextRetryAfter(now); after != want {
			t.Fatalf("customer %d comes back after %v, want %v", i, after, want)
		}
	}
	if after := r.nextRetryAfter(now.Add(time.Hour)); after != time.Second {
		t.Errorf("an hour later: %v", after)
	}
}

// stillClock is a clock that stands.
type stillClock struct{}

func (stillClock) Now() time.Time { return time.Unix(1_000_000, 0) }

func (stillClock) AfterFunc(time.Duration, func()) {}

// TestRetryAfter: only a refusal for the load is spread.
func TestRetryAfter(t *testing.T) {
	c := NewSimulatedCoordinator("a", &owners{}, stillClock{}, DefaultPolicy)
	for range 3 {
		if after := c.retryAfter(NotRun, noneReachable); after != minRetryAfter {
			t.Errorf("no owner: %v", after)
		}
	}
	if first, second := c.retryAfter(NotRun, noCapacityInTime), c.retryAfter(NotRun, noCapacityInTime); first != time.Second || second != 2*time.Second {
		t.Errorf("crowded: %v, %v", first, second)
	}
	if after := c.retryAfter(NotRun, allGroupsClosed); after != closedRetryAfter {
		t.Errorf("closed: %v", after)
	}
	for _, v := range []Verdict{Completed, Failed, Unknown, CustomerLeft} {
		if after := c.retryAfter(v, noCapacityInTime); after != 0 {
			t.Errorf("%s: %v", v, after)
		}
	}
}
