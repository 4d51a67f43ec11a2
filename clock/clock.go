// Package clock provides the clock for leases, ages and other intervals on which decisions
// depend. Unlike the monotonic clock of Go's time package, this clock does not stop while the
// machine is suspended, and unlike the wall clock it makes no steps.
//
// Three clocks of the machine are used: the monotonic clock, which stops during a suspension;
// the wall clock, which does not, but may step; and the boot-time clock, the time since the
// machine started, which has neither fault but takes a system call to read.
package clock

import (
	"sync"
	"time"
)

const (
	// If the difference between the wall clock and the monotonic clock has changed by more
	// than maxDrift since the last check, the boot-time clock is read, because a suspension
	// changes the difference by its length. A shorter suspension does not matter: the
	// shortest lease is 0.5 s, which is 100 times as long.
	maxDrift = 5 * time.Millisecond
	// checkInterval is the interval at which the boot-time clock is read in any case. If the
	// wall clock steps back after a suspension, it may take that long to notice the suspension.
	checkInterval = time.Second
)

// Reading is a reading of a machine's monotonic clock and wall clock. Each of them counts from
// a starting point of its own.
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
	lastCheck Reading // reading of the other clocks when readBootTime was last called
	err       error   // of the last call of readBootTime
}

// New returns a clock that is based on the given clocks of a machine. Its first reading is the
// time start.
func New(start time.Time, readClocks func() Reading, readBootTime func() (time.Duration, error)) *Clock {
	c := &Clock{readClocks: readClocks, readBootTime: readBootTime, start: start.Round(0), firstReading: readClocks()}
	c.firstBootTime, c.err = readBootTime()
	c.lastCheck = c.firstReading
	return c
}

// Now returns the time on c. Only differences between such times are meaningful, because c may
// differ from the wall clock by any amount.
func (c *Clock) Now() time.Time {
	r := c.readClocks()
	return c.start.Add(r.Monotonic - c.firstReading.Monotonic + c.suspendedUntil(r))
}

// suspendedUntil returns how long the machine has been suspended between the creation of c and
// the reading r.
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
		return // c goes on without the suspensions from now on; Err returns the error
	}
	// The monotonic clock is read after the boot-time clock, so that the time that passes
	// between the two readings is not taken for a suspension.
	monotonic := c.readClocks().Monotonic - c.firstReading.Monotonic
	c.suspended = max(c.suspended, bootTime-c.firstBootTime-monotonic)
}

// Suspended returns how long the machine has been suspended in all since c was created. It reads
// the boot-time clock at each call, and so misses no suspension, however short. After one, the
// result may still grow a little, by the time that passed between the readings of two clocks.
func (c *Clock) Suspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastCheck = c.readClocks()
	c.measureSuspension()
	return c.suspended
}

// Err returns the error of the last attempt to read the boot-time clock. While it is not nil, c
// stops during suspensions, as the monotonic clock does.
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

// Since returns the time elapsed since t, which must be a time on the same clock as Now.
func Since(t time.Time) time.Duration { return System.Now().Sub(t) }

// Until returns the time that remains until t, which must be a time on the same clock as Now.
func Until(t time.Time) time.Duration { return t.Sub(System.Now()) }

// Suspended returns how long the machine has been suspended in all since the process started.
func Suspended() time.Duration { return System.Suspended() }

// WallClock returns the time of the wall clock. It may step, and it differs between machines.
func WallClock() time.Time { return time.Now() }
