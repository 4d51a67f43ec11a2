package owner

import (
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"

	"golang.org/x/time/rate"
)

// A call is overdue when its answer takes longer than the answers before it, and
// is given up much later: to give it up costs its connection, and an answer that
// comes late is still true.

const (
	// limitTimeouts is how many times longer than until it is overdue a call may
	// take before it is given up, between minLimit and maxLimit: an order is not
	// carried out after the lease that it grants.
	limitTimeouts = 4
	minLimit      = 150 * time.Millisecond
	maxLimit      = time.Second
	// distrustBurst is of how many upstreams the connections may be closed at
	// once, all of a group's at least, and distrustRate how many a second from
	// then on. Connections that go silent do so together; where calls are overdue
	// for long, it is the link or the processor, and new connections make it worse.
	distrustBurst = 128
	distrustRate  = rate.Limit(4)
)

// errOverdue stands for an answer that has not come yet.
var errOverdue = failure.Lost.New("no answer in time")

// timeouts returns when a call is overdue and when it is given up.
func (g *Group) timeouts() (overdue, limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	overdue = g.rtt.timeout(now)
	return overdue, limitOf(overdue) + g.pool.LinkDelay(now)
}

func limitOf(overdue time.Duration) time.Duration {
	return min(max(limitTimeouts*overdue, minLimit), maxLimit)
}

// reportTimeouts are the timeouts of a report. One that is due at once is asked
// for again soon: a lease may run out.
func (g *Group) reportTimeouts(order fleet.HoldOrder) (overdue, limit time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	least := lookOverdue
	if order.WaitMs > 0 {
		least = holdOverdue
	}
	now := clock.Now()
	answers := g.rtt.timeout(now)
	queued := g.pool.LinkDelay(now)
	overdue = max(reportTimeouts*answers, least) + queued
	wait := time.Duration(order.WaitMs) * time.Millisecond
	return wait + overdue, max(overdue, limitOf(answers)+queued)
}

// unanswered takes a call to an upstream that is overdue: the connections that were
// open beside it may have gone silent with it.
func (g *Group) unanswered(kind string, u fleet.Upstream) {
	g.seen.CallOverdue(kind)
	if g.distrust.Allow() {
		g.calls.CloseIdleConnections(u)
	}
}

// await makes a call and returns its answer, or false once it is overdue. Late is
// called with the answer that comes after that.
func await[T any](overdue time.Duration, call func() T, late func(T)) (answer T, inTime bool) {
	var mu sync.Mutex
	answered, left := make(chan T, 1), false
	go func() {
		a := call()
		mu.Lock()
		if !left {
			answered <- a
			mu.Unlock()
			return
		}
		mu.Unlock()
		late(a)
	}()
	timer := time.NewTimer(overdue)
	defer timer.Stop()
	select {
	case answer = <-answered:
		return answer, true
	case <-timer.C:
	}
	mu.Lock()
	defer mu.Unlock()
	select {
	case answer = <-answered:
		return answer, true
	default:
		left = true
		return answer, false
	}
}
