package owner

import (
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"

	"golang.org/x/time/rate"
)

// A call to an upstream has two time limits:
//   - It is overdue when its response takes much longer than recent responses did. The pool is
//     told that the call is lost, so that it can act early. The call itself goes on, and its
//     response is still processed if it arrives later.
//   - It times out much later. Only then are the call and its connection given up.

const (
	// timeoutFactor is the ratio of a call's timeout to the time after which it is overdue.
	// The timeout is at least minCallTimeout and at most maxCallTimeout. Waiting longer is
	// useless, because by then the lease in the order has expired and the upstream refuses
	// the order.
	timeoutFactor  = 4
	minCallTimeout = 150 * time.Millisecond
	maxCallTimeout = time.Second
	// closeBurst is for how many upstreams the idle connections may be closed at once, and
	// closeRate for how many per second after that. The burst covers all upstreams of a
	// group, because a network fault tends to break many connections together. If calls are
	// still overdue afterwards, the cause is a saturated network link or CPU, and opening new
	// connections would only add load.
	closeBurst = 128
	closeRate  = rate.Limit(4)
)

// errOverdue is the error that the pool receives for an overdue call.
var errOverdue = failure.Lost.New("no answer in time")

// callTimeouts returns the time limits of a start or stop. OverdueAfter does not include the
// delay in the queue of the network link, because each start has its own; timeout does.
func (g *Group) callTimeouts() (overdueAfter, timeout time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	overdueAfter = g.rtt.overdueAfter(now)
	return overdueAfter, callTimeout(overdueAfter) + g.pool.LinkDelay(now)
}

// callTimeout returns the timeout of a call, without the delay in the queue of the network link,
// given the time after which the call is overdue.
func callTimeout(overdueAfter time.Duration) time.Duration {
	return min(max(timeoutFactor*overdueAfter, minCallTimeout), maxCallTimeout)
}

// holdTimeouts returns the time limits of a hold, both with the delay in the queue of the network
// link. OverdueAfter counts from the start of the call, and timeout from the end of the delay
// that the order allows the upstream (WaitMs). An order without such a delay is overdue sooner,
// so that it can be repeated before a lease expires.
func (g *Group) holdTimeouts(order fleet.HoldOrder) (overdueAfter, timeout time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	minOverdue := minPollOverdue
	if order.WaitMs > 0 {
		minOverdue = minLongPollOverdue
	}
	now := clock.Now()
	startOverdueAfter := g.rtt.overdueAfter(now)
	linkDelay := g.pool.LinkDelay(now)
	overdueAfter = max(holdOverdueFactor*startOverdueAfter, minOverdue) + linkDelay
	wait := time.Duration(order.WaitMs) * time.Millisecond
	return wait + overdueAfter, max(overdueAfter, callTimeout(startOverdueAfter)+linkDelay)
}

// handleOverdue reports an overdue call to the observer. Within the rate limit, it also closes the
// idle connections to the upstream, because the network may silently drop their packets, too.
func (g *Group) handleOverdue(kind string, u fleet.Upstream) {
	g.observer.CallOverdue(kind)
	if g.closeLimiter.Allow() {
		g.client.CloseIdleConnections(u)
	}
}

// await makes a call and returns its response. If there is none within overdueAfter, it returns
// false, and passes the response to onLate when it arrives.
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
