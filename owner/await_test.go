package owner

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestAwait checks that a response is delivered exactly once: as the result of await if it
// arrives in time, and otherwise to onLate.
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
					t.Errorf("response %d, in time %v; a response in time must be 7", response, inTime)
				}
				if waited := time.Since(began); waited > c.overdueAfter {
					t.Errorf("await returned only after %v, when the call had been overdue for some time", waited)
				}
				time.Sleep(2 * time.Minute)
				if (lateSum.Load() == 7) == c.inTime {
					t.Errorf("the sum of the late responses is %d, want 7 if the response was late and 0 otherwise", lateSum.Load())
				}
			})
		})
	}
}

// TestOverdueFollowsAnswers checks that the time after which a call is overdue adapts to recent
// response times. It must rise after a late response, and drop again after many fast ones.
func TestOverdueFollowsAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	var rtt rttEstimator
	if rtt.overdueAfter(now) != initialOverdueAfter {
		t.Errorf("calls are overdue after %v before any response, want initialOverdueAfter", rtt.overdueAfter(now))
	}
	respondFast := func(n int) {
		for range n {
			now = now.Add(10 * time.Millisecond)
			rtt.observe(now, time.Millisecond, true)
		}
	}
	respondFast(50)
	if rtt.overdueAfter(now) != minOverdueAfter {
		t.Errorf("calls are overdue after %v on a healthy network, want minOverdueAfter", rtt.overdueAfter(now))
	}
	rtt.observe(now, 0, false)
	if rtt.overdueAfter(now) != minOverdueAfter {
		t.Errorf("calls are overdue after %v when one call was lost, want minOverdueAfter", rtt.overdueAfter(now))
	}
	rtt.observe(now, 200*time.Millisecond, true)
	if rtt.overdueAfter(now) < 200*time.Millisecond {
		t.Errorf("calls are overdue after %v when a response has just taken 200 ms", rtt.overdueAfter(now))
	}
	respondFast(10)
	if rtt.overdueAfter(now) < 200*time.Millisecond {
		t.Errorf("calls are overdue after %v when a response took 200 ms a moment ago", rtt.overdueAfter(now))
	}
	respondFast(2000)
	if rtt.overdueAfter(now) != minOverdueAfter {
		t.Errorf("calls are overdue after %v long after the response that took 200 ms, want minOverdueAfter", rtt.overdueAfter(now))
	}
	for range 20 {
		rtt.observe(now, time.Hour, true)
	}
	if rtt.overdueAfter(now) != maxOverdueAfter {
		t.Errorf("calls are overdue after %v when responses took an hour, want maxOverdueAfter", rtt.overdueAfter(now))
	}
}
