// Package clock tells the time that leases, ages and doubts are measured with. It goes on
// while the machine is suspended, which the steady clock of Go's time package does not, and
// it does not follow steps of the time of day.
package clock

import (
	"sync"
	"time"
)

const (
	// mostDrift is how far the time of day and the steady clock may come apart before the
	// system is asked: a suspension moves them apart by its length, and the shortest one
	// that matters is a small part of the shortest lease, which is .5 s.
	mostDrift = 5 * time.Millisecond
	// askEvery is how often the system is asked in any case: a step of the time of day may
	// hide a suspension.
	askEvery = time.Second
)

// Reading is what a machine's clocks show, each since a moment of its own.
type Reading struct {
	Monotonic time.Duration // stands while the machine is suspended
	Wall      time.Duration // the time of day, which may step
}

// Clock is a steady clock that counts suspended time. It is safe for concurrent use.
type Clock struct {
	read  func() Reading
	boot  func() (time.Duration, error) // since the machine started, suspended time included
	began time.Time
	first Reading
	// bootAt is what boot showed first.
	bootAt time.Duration

	mu        sync.Mutex // guards what follows
	suspended time.Duration
	asked     Reading // when the system was asked last
	err       error
}

// New returns a clock on the clocks of a machine. It shows began first.
func New(began time.Time, read func() Reading, boot func() (time.Duration, error)) *Clock {
	c := &Clock{read: read, boot: boot, began: began.Round(0), first: read()}
	c.bootAt, c.err = boot()
	c.asked = c.first
	return c
}

// Now returns the time. Only differences between such times mean something: they are no
// times of day.
func (c *Clock) Now() time.Time {
	r := c.read()
	return c.began.Add(r.Monotonic - c.first.Monotonic + c.suspendedAt(r))
}

// suspendedAt returns for how long the machine was suspended until a reading.
func (c *Clock) suspendedAt(r Reading) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := r.Monotonic - c.asked.Monotonic
	drift := r.Wall - c.asked.Wall - passed
	if drift.Abs() > mostDrift || passed > askEvery {
		c.asked = r
		c.ask()
	}
	return c.suspended
}

// ask asks the system for how long the machine was suspended. The lock is held.
func (c *Clock) ask() {
	boot, err := c.boot()
	c.err = err
	if err != nil {
		return // the steady clock is the best that there is; Err tells
	}
	// The steady clock is read last: what passes between the two readings counts for
	// neither.
	steady := c.read().Monotonic - c.first.Monotonic
	c.suspended = max(c.suspended, boot-c.bootAt-steady)
}

// Suspended returns for how long the machine was suspended since the clock began.
func (c *Clock) Suspended() time.Duration {
	c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.suspended
}

// Err returns why the system does not tell suspended time, nil where it does.
func (c *Clock) Err() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

// System is the clock of this machine.
var System = newSystem()

func newSystem() *Clock {
	began := time.Now()
	return New(began, func() Reading {
		now := time.Now()
		return Reading{Monotonic: now.Sub(began), Wall: now.Round(0).Sub(began.Round(0))}
	}, sinceBoot)
}

// Now returns the time of this machine's clock.
func Now() time.Time { return System.Now() }

// Since returns how long ago a time of Now was.
func Since(t time.Time) time.Duration { return System.Now().Sub(t) }

// Until returns how long it is until a time of Now.
func Until(t time.Time) time.Duration { return t.Sub(System.Now()) }

// Suspended returns for how long this machine was suspended since the process began.
func Suspended() time.Duration { return System.Suspended() }

// WallClock returns the time of day, which may step and differs between machines.
func WallClock() time.Time { return time.Now() }
