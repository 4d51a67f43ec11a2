package ingress

import (
	"testing"
	"time"
)

// TestRetryPlan checks that customers are told to retry in the order in which they were
// rejected, and that the number of retries per second is retryShare of the completion rate.
func TestRetryPlan(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var r retryPlan
	for range 100 * int(rateTimeConstant.Seconds()) * 5 { // long enough for a steady rate of 100 a second
		now = now.Add(10 * time.Millisecond)
		r.recordCompletion(now)
	}
	if rate := r.decayedRate(now); rate < 95 || rate > 105 {
		t.Fatalf("completion rate of %.1f per second, want 100", rate)
	}
	slots := int(retryShare * r.decayedRate(now))
	retries := map[time.Duration]int{}
	last := time.Duration(0)
	for range 3 * slots {
		after := r.nextRetryAfter(now)
		if after < last {
			t.Errorf("a customer is told to retry after %v, the one rejected before it after %v", after, last)
		}
		last = after
		retries[after]++
	}
	for _, after := range []time.Duration{time.Second, 2 * time.Second, 3 * time.Second} {
		if retries[after] != slots {
			t.Errorf("%d retries after %v, want %d", retries[after], after, slots)
		}
	}
	now = now.Add(2 * time.Second)
	if after := r.nextRetryAfter(now); after != 2*time.Second {
		t.Errorf("two seconds later, with one planned second still full, the next customer retries after %v, want 2s", after)
	}
}

// TestRetryPlanBounds checks that no customer is told to wait longer than planSeconds, and that
// one retry is assigned to each second even if no jobs are being completed.
func TestRetryPlanBounds(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var r retryPlan
	for i := range 2 * planSeconds {
		want := min(time.Duration(i+1), planSeconds) * time.Second
		if after := r.nextRetryAfter(now); after != want {
			t.Fatalf("customer %d retries after %v, want %v", i, after, want)
		}
	}
	if after := r.nextRetryAfter(now.Add(time.Hour)); after != time.Second {
		t.Errorf("an hour later a customer retries after %v, want 1s", after)
	}
}

// stoppedClock is a Clock whose time never advances and whose timers never fire.
type stoppedClock struct{}

func (stoppedClock) Now() time.Time { return time.Unix(1_000_000, 0) }

func (stoppedClock) AfterFunc(time.Duration, func()) {}

func (stoppedClock) Suspended() time.Duration { return 0 }

// TestRetryAfter checks that retries are spread over time only after rejections for lack of
// capacity, and that only rejected customers are told to retry.
func TestRetryAfter(t *testing.T) {
	c := NewSimulatedCoordinator("a", &fakeOwners{}, stoppedClock{}, DefaultPolicy, alwaysHalf)
	for range 3 {
		if after := c.retryAfter(NotRun, noneReachable); after != minRetryAfter {
			t.Errorf("no owner reachable: retry after %v, want minRetryAfter each time", after)
		}
	}
	if first, second := c.retryAfter(NotRun, noCapacityInTime), c.retryAfter(NotRun, noCapacityInTime); first != time.Second || second != 2*time.Second {
		t.Errorf("no capacity in time: retries after %v and %v, want 1s and 2s", first, second)
	}
	if after := c.retryAfter(NotRun, allGroupsClosed); after != closedRetryAfter {
		t.Errorf("all groups closed: retry after %v, want closedRetryAfter", after)
	}
	for _, v := range []Verdict{Completed, Failed, Unknown, CustomerLeft} {
		if after := c.retryAfter(v, noCapacityInTime); after != 0 {
			t.Errorf("verdict %s: retry after %v, want 0", v, after)
		}
	}
}
