package main

import (
	"fmt"
	"net/http"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

const (
	cancelTaskCPU  = 4000
	cancelTask     = 9 * time.Second // as in the project's soak run
	cancelDeadline = 12 * time.Second

	storeResponse = 4 * time.Millisecond // of the store of a small deployment

	cancelTimeout = 3000 * time.Millisecond // cancel_ms of a small deployment
	stopTimeout   = 50 * time.Millisecond   // StopTimeoutMs
	// calmAfterCancel is how long after its acknowledgement a cancellation is checked. The freeze is
	// then over for longer than ContactMs.
	calmAfterCancel = cancelTimeout + stopTimeout + contact
)

// cancelAndCheck cancels a job and waits until calmAfterCancel after the acknowledgement. If a task of
// the job runs even then, it returns a description of that violation.
func (b *bench) cancelAndCheck(c *customer, i *instance, job standin.Job) (violation string) {
	if !c.cancel(i, job) {
		return ""
	}
	ackedAt := time.Now()
	time.Sleep(calmAfterCancel)
	if !b.tracker.IsRunning(job.ID) {
		return ""
	}
	return fmt.Sprintf("a task of job %s runs %v after its cancellation was acknowledged", job.ID, time.Since(ackedAt).Round(time.Millisecond))
}

// cancel sends the cancellation of a job to an instance, and reports whether it is acknowledged. If
// the instance asks for it, the cancellation is sent again.
func (c *customer) cancel(i *instance, job standin.Job) bool {
	for {
		c.bench.recordf("the cancellation of job %s is sent to %s", job.ID, i.name)
		a := c.do(http.MethodDelete, i, job.ID, nil, cancelDeadline)
		c.bench.recordf("the cancellation of job %s is answered %d", job.ID, a.status)
		if a.status == http.StatusOK || a.status == http.StatusGone {
			return true
		}
		if a.retryAfter == 0 {
			return false
		}
		time.Sleep(a.retryAfter)
	}
}
