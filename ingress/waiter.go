package ingress

import (
	"time"

	"github.com/samber/lo"
)

// waiter is a customer connection that waits for the response to a job. A job has several
// waiters if the customer has sent the same job again while it was open here. The job goes
// on until the last waiter is detached: as long as a connection is open, the customer does
// not send the job to another instance.
type waiter struct {
	disconnected    func() bool   // Request.Disconnected
	suspendedBefore time.Duration // Request.SuspendedBefore
	deadline        time.Time     // when the customer stops waiting

	// The fields below are guarded by the job's lock.
	checked  bool // disconnected has been called at least once
	detached bool // this waiter has timed out or disconnected and needs no response any more
}

const (
	reasonDisconnected = "the customer has left"
	// reasonDisconnectedUnread is for a request that was read only after its connection had
	// ended, because the instance was paused. The customer may have sent the job to another
	// instance since.
	reasonDisconnectedUnread = "the customer left before its request was read"
	reasonTimedOut           = "the customer's deadline has passed"
	reasonSuspended          = "the machine was suspended while the customer was connected"
)

// addWaiter adds a connection that waits for the response. It returns nil if the job
// already has a verdict.
func (j *openJob) addWaiter(r Request) *waiter {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.settled {
		return nil
	}
	w := &waiter{disconnected: r.Disconnected, suspendedBefore: r.SuspendedBefore, deadline: j.coordinator.clock.Now().Add(r.Timeout)}
	j.waiters = append(j.waiters, w)
	j.deadline = lo.Latest(j.deadline, w.deadline)
	return w
}

// awaitResponse waits until the job has a verdict, the customer disconnects or the timeout
// passes, and returns the response to send on the waiter's connection.
func (j *openJob) awaitResponse(w *waiter, disconnected <-chan struct{}, timeout time.Duration) Response {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-j.done:
		return j.response
	case <-disconnected:
		return j.detach(w, CustomerLeft, reasonDisconnected)
	case <-timer.C:
		return j.timeOut(w)
	}
}

// timeOut detaches a waiter whose customer's timeout has passed.
func (j *openJob) timeOut(w *waiter) Response { return j.detach(w, Unknown, reasonTimedOut) }

// detach marks a waiter as no longer waiting, and returns the response for its connection. If
// it is the last waiter of the job, the job is settled with the given verdict.
func (j *openJob) detach(w *waiter, v Verdict, reason string) Response {
	j.mu.Lock()
	w.detached = true
	last := lo.EveryBy(j.waiters, func(other *waiter) bool { return other.detached })
	j.mu.Unlock()
	if !last {
		return Response{Verdict: v, Reason: reason}
	}
	j.settle(v, reason)
	<-j.done
	return j.response
}

// detachTimedOut detaches the waiters whose deadlines have passed.
func (j *openJob) detachTimedOut(now time.Time) {
	j.mu.Lock()
	timedOut := lo.Filter(j.waiters, func(w *waiter, _ int) bool { return !w.detached && now.After(w.deadline) })
	j.mu.Unlock()
	for _, w := range timedOut {
		j.timeOut(w)
	}
}

// detachDisconnected detaches the waiters whose connections the customer has closed, as far as
// the operating system knows now, and those that were connected before the machine was last
// suspended. SuspendedTotal is a result of Clock.Suspended from before the call.
func (j *openJob) detachDisconnected(suspendedTotal time.Duration) {
	j.mu.Lock()
	attached := lo.Filter(j.waiters, func(w *waiter, _ int) bool { return !w.detached && w.disconnected != nil })
	reasons := lo.Map(attached, func(w *waiter, _ int) string { return w.markChecked() })
	j.mu.Unlock()
	for i, w := range attached {
		switch {
		case w.disconnected():
			j.detach(w, CustomerLeft, reasons[i])
		case suspendedSince(w.suspendedBefore, suspendedTotal):
			j.detach(w, Unknown, reasonSuspended)
		}
	}
}

// markChecked records that disconnected is about to be called, and returns the reason to
// report if the connection turns out to have ended. If it has ended by the first check, the
// request was read too late. The job's lock must be held.
func (w *waiter) markChecked() string {
	first := !w.checked
	w.checked = true
	if first {
		return reasonDisconnectedUnread
	}
	return reasonDisconnected
}
