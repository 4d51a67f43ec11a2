package owner

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"
)

// TestAwait: an answer is told once, in time or late.
func TestAwait(t *testing.T) {
	for name, c := range map[string]struct {
		takes, overdue time.Duration
		inTime         bool
	}{
		"in time":   {10 * time.Millisecond, 20 * time.Millisecond, true},
		"late":      {300 * time.Millisecond, 20 * time.Millisecond, false},
		"at once":   {0, 20 * time.Millisecond, true},
		"very late": {time.Minute, 20 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var late atomic.Int64 // the sum of late answers
				began := time.Now()
				answer, inTime := await(c.overdue, func() int { time.Sleep(c.takes); return 7 }, func(answer int) { late.Add(int64(answer)) })
				if inTime != c.inTime || inTime && answer != 7 {
					t.Errorf("%d, in time %v", answer, inTime)
				}
				if waited := time.Since(began); waited > c.overdue {
					t.Errorf("it waited for %v", waited)
				}
				time.Sleep(2 * time.Minute)
				if (late.Load() == 7) == c.inTime {
					t.Errorf("the late answers add up to %d", late.Load())
				}
			})
		})
	}
}

// TestOverdueFollowsAnswers: what answers took lately decides when the next is
// overdue, late ones included; it falls again once they come soon.
func TestOverdueFollowsAnswers(t *testing.T) {
	now := time.Unix(1000, 0)
	var r roundTrip
	if r.timeout(now) != firstTimeout {
		t.Errorf("%v before any answer", r.timeout(now))
	}
	soon := func(n int) {
		for range n {
			now = now.Add(10 * time.Millisecond)
			r.learn(now, time.Millisecond, true)
		}
	}
	soon(50)
	if r.timeout(now) != minTimeout {
		t.Errorf("%v on a sound network", r.timeout(now))
	}
	r.learn(now, 0, false)
	if r.timeout(now) != minTimeout {
		t.Errorf("%v after one that was lost", r.timeout(now))
	}
	r.learn(now, 200*time.Millisecond, true)
	if r.timeout(now) < 200*time.Millisecond {
		t.Errorf("%v after an answer that took 200 ms", r.timeout(now))
	}
	soon(10)
	if r.timeout(now) < 200*time.Millisecond {
		t.Errorf("%v soon after an answer that took 200 ms", r.timeout(now))
	}
	soon(2000)
	if r.timeout(now) != minTimeout {
		t.Errorf("%v long after it", r.timeout(now))
	}
	for range 20 {
		r.learn(now, time.Hour, true)
	}
	if r.timeout(now) != maxTimeout {
		t.Errorf("%v at the most", r.timeout(now))
	}
}
