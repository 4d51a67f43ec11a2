package clock

import (
	"errors"
	"testing"
	"time"
)

// machine is a machine in virtual time: a steady clock that stands while it is suspended,
// a time of day that may step, and a clock since its start.
type machine struct {
	steady, day, boot time.Duration
	noBoot            error
}

func (m *machine) runs(d time.Duration)      { m.steady += d; m.day += d; m.boot += d }
func (m *machine) suspended(d time.Duration) { m.day += d; m.boot += d }
func (m *machine) stepped(d time.Duration)   { m.day += d }

// TestSuspendedTimeCounts: a clock goes on while the machine is suspended, whatever the
// time of day does.
func TestSuspendedTimeCounts(t *testing.T) {
	for _, c := range []struct {
		what string
		do   func(m *machine, now func())
		want time.Duration
	}{
		{"it runs", func(m *machine, _ func()) { m.runs(3 * time.Second) }, 3 * time.Second},
		{"it is suspended", func(m *machine, _ func()) { m.runs(time.Second); m.suspended(3 * time.Second) }, 4 * time.Second},
		{"twice", func(m *machine, now func()) {
			m.suspended(3 * time.Second)
			now()
			m.runs(time.Millisecond)
			m.suspended(2 * time.Second)
		}, 5*time.Second + time.Millisecond},
		{"for as little as matters", func(m *machine, _ func()) { m.suspended(50 * time.Millisecond) }, 50 * time.Millisecond},
		{"the time of day steps ahead", func(m *machine, _ func()) { m.runs(time.Second); m.stepped(2 * time.Second) }, time.Second},
		{"it steps back", func(m *machine, _ func()) { m.runs(time.Second); m.stepped(-2 * time.Second) }, time.Second},
		{"a step hides a suspension for a second at most", func(m *machine, now func()) {
			m.suspended(2 * time.Second)
			m.stepped(-2 * time.Second)
			now()
			m.runs(askEvery + time.Millisecond)
		}, 3*time.Second + time.Millisecond},
	} {
		m := &machine{}
		clock := newOn(m)
		before := clock.Now()
		c.do(m, func() { clock.Now() })
		if got := clock.Now().Sub(before); got != c.want {
			t.Errorf("%s: %v, want %v", c.what, got, c.want)
		}
	}
}

// newOn returns the clock of a machine.
func newOn(m *machine) *Clock {
	return New(time.Unix(1000, 0), func() Reading { return Reading{m.steady, m.day} }, func() (time.Duration, error) { return m.boot, m.noBoot })
}

// TestNoBootClock: without a clock that counts suspended time the steady clock is used,
// and the error is told.
func TestNoBootClock(t *testing.T) {
	m := &machine{noBoot: errors.New("none")}
	clock := newOn(m)
	before := clock.Now()
	m.runs(2 * time.Second)
	if got := clock.Now().Sub(before); got != 2*time.Second || clock.Err() == nil {
		t.Errorf("%v, error %v", got, clock.Err())
	}
}

// TestSystem: this machine tells suspended time.
func TestSystem(t *testing.T) {
	before := Now()
	if System.Err() != nil || Since(before) < 0 || Until(before) > 0 {
		t.Error(System.Err())
	}
}
