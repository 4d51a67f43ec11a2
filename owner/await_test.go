package owner

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestAwait checks that a response is delivered exactly once, either as the result of await
// or to onLate.
func TestAwait(t *testing.T) {
	for name, c := range map[string]struct {
		duration, overdueAfter time.Duration
		inTime                 bool
	}{
		"in time":   {10 * time.Millisecond, 20 * time.Millisecond, true},
		"late":      {300 * time.Millisecond, 20 * time.Millisecond, false},
		"at once":   {0, 20 * time.Millisecond, true},
		"very late": {time.Minute, 20 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var lateSum atomic.Int64 // sum of the late responses
				began := time.Now()
				response, inTime := await(c.overdueAfter, func() int { time.Sleep(c.duration); return 7 }, func(late int) { lateSum.Add(int64(late)) })
				if inTime != c.inTime || inTime && response != 7 {
					t.Errorf("response %d, in time %v", response, inTime)
				}
				if waited := time.Since(began); waited > c.overdueAfter {
					t.Errorf("await returned after %v", waited)
				}
				time.Sleep(2 * time.Minute)
				if (lateSum.Load() == 7) == c.inTime {
					t.Errorf("the sum of the late responses is %d", lateSum.Load())
				}
			})
		})
	}
}

// TestOverdueFollowsAnswers checks that the time after which a call is overdue follows recent
// response times, including those of late responses, and drops again when responses are fast.
func TestOverdueFollowsAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	var rtt rttEstimator
	if rtt.timeout(now) != initialTimeout {
		t.Errorf("timeout %v before any response", rtt.timeout(now))
	}
	respondFast := func(n int) {
		for range n {
			now = now.Add(10 * time.Millisecond)
			rtt.observe(now, time.Millisecond, true)
		}
	}
	respondFast(50)
	if rtt.timeout(now) != minTimeout {
		t.Errorf("timeout %v on a healthy network", rtt.timeout(now))
	}
	rtt.observe(now, 0, false)
	if rtt.timeout(now) != minTimeout {
		t.Errorf("timeout %v after a lost call", rtt.timeout(now))
	}
	rtt.observe(now, 200*time.Millisecond, true)
	if rtt.timeout(now) < 200*time.Millisecond {
		t.Errorf("timeout %v after a response that took 200 ms", rtt.timeout(now))
	}
	respondFast(10)
	if rtt.timeout(now) < 200*time.Millisecond {
		t.Errorf("timeout %v shortly after a response that took 200 ms", rtt.timeout(now))
	}
	respondFast(2000)
	if rtt.timeout(now) != minTimeout {
		t.Errorf("timeout %v long after the response that took 200 ms", rtt.timeout(now))
	}
	for range 20 {
		rtt.observe(now, time.Hour, true)
	}
	if rtt.timeout(now) != maxTimeout {
		t.Errorf("timeout %v after responses that took an hour", rtt.timeout(now))
	}
}
