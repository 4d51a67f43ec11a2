// Package clock provides the clock for leases, ages and other intervals on which decisions
// depend. It includes the time during which the machine is suspended, unlike the monotonic
// clock of Go's time package, and it is not affected by steps of the wall clock.
package clock

import (
	"sync"
	"time"
)

const (
	// maxDrift is the change in the difference between the wall clock and the monotonic
	// clock above which the boot-time clock is read. A suspension changes the difference
	// by its length. The shortest suspension that matters is a small fraction of the
	// shortest lease, which is 0.5 s.
	maxDrift = 5 * time.Millisecond
	// checkInterval is the interval at which the boot-time clock is read in any case,
	// because a step of the wall clock may hide a suspension.
	checkInterval = time.Second
)

// Reading is a reading of a machine's clocks, each counted from its own starting point.
type Reading struct {
	Monotonic time.Duration // stops while the machine is suspended
	Wall      time.Duration // may step
}

// Clock is a monotonic clock that includes suspended time. It is safe for concurrent use.
type Clock struct {
	readClocks    func() Reading
	readBootTime  func() (time.Duration, error) // time since the machine started, including suspended time
	start         time.Time
	firstReading  Reading
	firstBootTime time.Duration // result of the first call of readBootTime

	mu        sync.Mutex // guards the fields below
	suspended time.Duration
	lastCheck Reading // at the last call of readBootTime
	err       error
}

// New returns a clock that starts at the time start and is based on the given clocks of a
// machine.
func New(start time.Time, readClocks func() Reading, readBootTime func() (time.Duration, error)) *Clock {
	c := &Clock{readClocks: readClocks, readBootTime: readBootTime, start: start.Round(0), firstReading: readClocks()}
	c.firstBootTime, c.err = readBootTime()
	c.lastCheck = c.firstReading
	return c
}

// Now returns the time. Only differences between such times are meaningful; they do not
// correspond to the wall clock.
func (c *Clock) Now() time.Time {
	r := c.readClocks()
	return c.start.Add(r.Monotonic - c.firstReading.Monotonic + c.suspendedUntil(r))
}

// suspendedUntil returns how long the machine was suspended between the start of the clock
// and a reading.
func (c *Clock) suspendedUntil(r Reading) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := r.Monotonic - c.lastCheck.Monotonic
	drift := r.Wall - c.lastCheck.Wall - elapsed
	if drift.Abs() > maxDrift || elapsed > checkInterval {
		c.lastCheck = r
		c.measureSuspension()
	}
	return c.suspended
}

// measureSuspension updates c.suspended from the boot-time clock. The caller must hold c.mu.
func (c *Clock) measureSuspension() {
	bootTime, err := c.readBootTime()
	c.err = err
	if err != nil {
		return // use the monotonic clock alone; Err reports the error
	}
	// The monotonic clock is read last, so that time passing between the two readings is
	// not counted as suspended.
	monotonic := c.readClocks().Monotonic - c.firstReading.Monotonic
	c.suspended = max(c.suspended, bootTime-c.firstBootTime-monotonic)
}

// Suspended returns how long the machine was suspended since the clock was created.
func (c *Clock) Suspended() time.Duration {
	c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}

// Err returns the error of the last attempt to read the boot-time clock. If it is not nil,
// suspended time since then is not included.
func (c *Clock) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// System is the clock of the machine on which the process runs.
var System = newSystem()

func newSystem() *Clock {
	start := time.Now()
	return New(start, func() Reading {
		now := time.Now()
		return Reading{Monotonic: now.Sub(start), Wall: now.Round(0).Sub(start.Round(0))}
	}, sinceBoot)
}

// Now returns the time of System.
func Now() time.Time { return System.Now() }

// Since returns the time elapsed since t, which is a time returned by Now.
func Since(t time.Time) time.Duration { return System.Now().Sub(t) }

// Until returns the time that remains until t, which is on the same clock as Now.
func Until(t time.Time) time.Duration { return t.Sub(System.Now()) }

// Suspended returns how long the machine was suspended since the process started.
func Suspended() time.Duration { return System.Suspended() }

// WallClock returns the time of the wall clock, which may step and differs between machines.
func WallClock() time.Time { return time.Now() }
