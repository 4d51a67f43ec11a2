package clock

import (
	"errors"
	"testing"
	"time"
)

// machine simulates the clocks of a machine: a monotonic clock that stops while the machine
// is suspended, a wall clock that may step, and a boot-time clock that includes suspended
// time.
type machine struct {
	monotonic, wall, boot time.Duration
	bootErr               error
}

func (m *machine) run(d time.Duration)      { m.monotonic += d; m.wall += d; m.boot += d }
func (m *machine) suspend(d time.Duration)  { m.wall += d; m.boot += d }
func (m *machine) stepWall(d time.Duration) { m.wall += d }

// TestSuspendedTimeCounts checks that the clock includes suspended time and is not affected
// by steps of the wall clock.
func TestSuspendedTimeCounts(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(m *machine, now func())
		want time.Duration
	}{
		{"not suspended", func(m *machine, _ func()) { m.run(3 * time.Second) }, 3 * time.Second},
		{"suspended once", func(m *machine, _ func()) { m.run(time.Second); m.suspend(3 * time.Second) }, 4 * time.Second},
		{"suspended twice", func(m *machine, now func()) {
			m.suspend(3 * time.Second)
			now()
			m.run(time.Millisecond)
			m.suspend(2 * time.Second)
		}, 5*time.Second + time.Millisecond},
		{"shortest suspension that matters", func(m *machine, _ func()) { m.suspend(50 * time.Millisecond) }, 50 * time.Millisecond},
		{"wall clock steps forward", func(m *machine, _ func()) { m.run(time.Second); m.stepWall(2 * time.Second) }, time.Second},
		{"wall clock steps back", func(m *machine, _ func()) { m.run(time.Second); m.stepWall(-2 * time.Second) }, time.Second},
		{"a step hides a suspension for at most checkInterval", func(m *machine, now func()) {
			m.suspend(2 * time.Second)
			m.stepWall(-2 * time.Second)
			now()
			m.run(checkInterval + time.Millisecond)
		}, 3*time.Second + time.Millisecond},
	} {
		m := &machine{}
		clock := newClock(m)
		before := clock.Now()
		c.do(m, func() { clock.Now() })
		if got := clock.Now().Sub(before); got != c.want {
			t.Errorf("%s: the clock advanced by %v, want %v", c.name, got, c.want)
		}
	}
}

// TestSuspendedMissesNothing checks that Suspended counts each suspension at once, also one that is
// too short for Now to notice, or that a step of the wall clock hides.
func TestSuspendedMissesNothing(t *testing.T) {
	m := &machine{}
	clock := newClock(m)
	m.suspend(time.Millisecond)
	if got := clock.Suspended(); got != time.Millisecond {
		t.Errorf("%v after a suspension of 1ms", got)
	}
	m.suspend(time.Second)
	m.stepWall(-time.Second)
	if got := clock.Suspended(); got != time.Second+time.Millisecond {
		t.Errorf("%v after another suspension of 1s, which a step of the wall clock hides; want 1.001s", got)
	}
}

// newClock returns a Clock that reads the clocks of m.
func newClock(m *machine) *Clock {
	return New(time.Unix(1000, 0), func() Reading { return Reading{m.monotonic, m.wall} }, func() (time.Duration, error) { return m.boot, m.bootErr })
}

// TestNoBootClock checks that if the boot-time clock cannot be read, the clock advances with
// the monotonic clock and Err returns the error.
func TestNoBootClock(t *testing.T) {
	m := &machine{bootErr: errors.New("none")}
	clock := newClock(m)
	before := clock.Now()
	m.run(2 * time.Second)
	if got := clock.Now().Sub(before); got != 2*time.Second || clock.Err() == nil {
		t.Errorf("the clock advanced by %v, want 2s; Err returns %v, want an error", got, clock.Err())
	}
}

// TestSystem checks that System can read the boot-time clock of this machine and that it does
// not run backwards.
func TestSystem(t *testing.T) {
	before := Now()
	if System.Err() != nil || Since(before) < 0 || Until(before) > 0 {
		t.Error(System.Err())
	}
}
