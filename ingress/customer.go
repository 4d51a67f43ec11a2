package ingress

import (
	"time"

	"github.com/samber/lo"
)

// customer is one connection on which the answer to a job is awaited. There are several
// where the customer has sent its job again while it is open here. The job goes on until
// the last of them has ended: the customer may send it to another instance then.
type customer struct {
	hasLeft func() bool // as in Request
	until   time.Time   // it stops waiting

	// What follows is guarded by the lock of its job.
	asked bool // whether it has left, at least once
	gone  bool
}

const (
	reasonLeft = "the customer has left"
	// reasonLeftUnread tells of a request that lay unread until after its connection had
	// ended: the instance was held up, and the customer may have been served elsewhere.
	reasonLeftUnread = "the customer left before its request was read"
	reasonDeadline   = "the customer's deadline has passed"
)

// attach adds a connection that waits for the verdict. It returns nil once there is one.
func (p *pending) attach(r Request) *customer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settled {
		return nil
	}
	me := &customer{hasLeft: r.Disconnected, until: p.c.clock.Now().Add(r.Timeout)}
	p.customers = append(p.customers, me)
	p.until = lo.Latest(p.until, me.until)
	return me
}

// await returns the verdict, or what a connection is told that no longer waits for it.
func (p *pending) await(me *customer, left <-chan struct{}, patience time.Duration) Response {
	timer := time.NewTimer(patience)
	defer timer.Stop()
	select {
	case <-p.decided:
		return p.answer
	case <-left:
		return p.drop(me, CustomerLeft, reasonLeft)
	case <-timer.C:
		return p.timeUp(me)
	}
}

// timeUp takes the end of a customer's patience.
func (p *pending) timeUp(me *customer) Response { return p.drop(me, Unknown, reasonDeadline) }

// drop takes the news that a connection does not wait any more. The job gets its verdict
// with the last.
func (p *pending) drop(me *customer, v Verdict, reason string) Response {
	p.mu.Lock()
	me.gone = true
	last := lo.EveryBy(p.customers, func(c *customer) bool { return c.gone })
	p.mu.Unlock()
	if !last {
		return Response{Verdict: v, Reason: reason}
	}
	p.settle(v, reason)
	<-p.decided
	return p.answer
}

// dropOverdue drops the connections whose customers do not wait any more by now.
func (p *pending) dropOverdue(now time.Time) {
	p.mu.Lock()
	overdue := lo.Filter(p.customers, func(c *customer, _ int) bool { return !c.gone && now.After(c.until) })
	p.mu.Unlock()
	for _, c := range overdue {
		p.timeUp(c)
	}
}

// dropLeft drops the connections that have ended, as far as the system knows now.
func (p *pending) dropLeft() {
	p.mu.Lock()
	waiting := lo.Filter(p.customers, func(c *customer, _ int) bool { return !c.gone && c.hasLeft != nil })
	reasons := lo.Map(waiting, func(c *customer, _ int) string { return c.ask() })
	p.mu.Unlock()
	for i, c := range waiting {
		if c.hasLeft() {
			p.drop(c, CustomerLeft, reasons[i])
		}
	}
}

// ask notes that a connection is asked whether it has ended, and returns the reason to
// give where it has. The lock of its job is held.
func (c *customer) ask() string {
	first := !c.asked
	c.asked = true
	if first {
		return reasonLeftUnread
	}
	return reasonLeft
}
