package owner

import (
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"

	"golang.org/x/time/rate"
)

// A call has two time limits. It is overdue if its response takes longer than recent
// responses have taken, and is then treated as lost. It times out much later, because a
// timeout closes the connection, and a late response is still valid and is processed.

const (
	// timeoutFactor is the ratio of a call's timeout to the time after which it is overdue.
	// The timeout is at least minCallTimeout, and at most maxCallTimeout because an upstream
	// does not carry out an order after the lease that the order grants has expired.
	timeoutFactor  = 4
	minCallTimeout = 150 * time.Millisecond
	maxCallTimeout = time.Second
	// closeBurst is the number of upstreams whose idle connections may be closed in a burst;
	// it covers at least all upstreams of a group, because connections tend to go silent
	// together. closeRate is how many may be closed per second after that. If calls stay
	// overdue, the network link or the CPU is saturated, and new connections only add load.
	closeBurst = 128
	closeRate  = rate.Limit(4)
)

// errOverdue is reported to the pool for a call that is overdue.
var errOverdue = failure.Lost.New("no answer in time")

// callTimeouts returns the time after which a start or stop is overdue, without the delay of
// the network link, and its timeout, with that delay.
func (g *Group) callTimeouts() (overdueAfter, timeout time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	overdueAfter = g.rtt.timeout(now)
	return overdueAfter, callTimeout(overdueAfter) + g.pool.LinkDelay(now)
}

// callTimeout returns the timeout of a call, without the delay of the network link.
func callTimeout(overdueAfter time.Duration) time.Duration {
	return min(max(timeoutFactor*overdueAfter, minCallTimeout), maxCallTimeout)
}

// holdTimeouts returns the time after which a hold is overdue, and its timeout, which counts
// from the end of the order's wait. Both include the delay of the network link. A poll is
// overdue sooner than a long poll, so that it is repeated before a lease expires.
func (g *Group) holdTimeouts(order fleet.HoldOrder) (overdueAfter, timeout time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	minOverdue := minPollOverdue
	if order.WaitMs > 0 {
		minOverdue = minLongPollOverdue
	}
	now := clock.Now()
	rttTimeout := g.rtt.timeout(now)
	linkDelay := g.pool.LinkDelay(now)
	overdueAfter = max(holdOverdueFactor*rttTimeout, minOverdue) + linkDelay
	wait := time.Duration(order.WaitMs) * time.Millisecond
	return wait + overdueAfter, max(overdueAfter, callTimeout(rttTimeout)+linkDelay)
}

// handleOverdue reports an overdue call and, within the rate limit, closes the idle
// connections to its upstream: they may have gone silent as well.
func (g *Group) handleOverdue(kind string, u fleet.Upstream) {
	g.observer.CallOverdue(kind)
	if g.closeLimiter.Allow() {
		g.client.CloseIdleConnections(u)
	}
}

// await makes a call and returns its response, or false once the call is overdue. A
// response that arrives later is passed to onLate.
func await[T any](overdueAfter time.Duration, call func() T, onLate func(T)) (response T, inTime bool) {
	var mu sync.Mutex
	responses, abandoned := make(chan T, 1), false
	go func() {
		r := call()
		mu.Lock()
		if !abandoned {
			responses <- r
			mu.Unlock()
			return
		}
		mu.Unlock()
		onLate(r)
	}()
	timer := time.NewTimer(overdueAfter)
	defer timer.Stop()
	select {
	case response = <-responses:
		return response, true
	case <-timer.C:
	}
	mu.Lock()
	defer mu.Unlock()
	select {
	case response = <-responses:
		return response, true
	default:
		abandoned = true
		return response, false
	}
}
