package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// The case: many customers cancel jobs, one after the other, at an instance whose process has been
// killed and starts again. For a moment the instance answers that there is no such job, and the jobs
// go on.

const (
	cancelTaskCPU   = 4000
	cancelUpstreams = 8
	cancelInstances = 6
	cancelTask      = 9 * time.Second // as in the project's soak run
	cancelDeadline  = 12 * time.Second
	cancelJobs      = 160
	cancelInterval  = time.Millisecond // between two cancellations

	storeResponse = 4 * time.Millisecond // of the store of a small deployment

	cancelMs      = 3000 * time.Millisecond // cancel_ms of a small deployment
	stopTimeoutMs = 50 * time.Millisecond   // StopTimeoutMs
	// calmAfterCancel is how long after its acknowledgement a cancellation is checked. The kill is
	// then longer ago than twice ContactMs.
	calmAfterCancel = cancelMs + stopTimeoutMs + contact
)

func runRestart(b *bench) ([]string, error) {
	if err := b.configure(1); err != nil {
		return nil, err
	}
	b.store.SetFault(standin.NoFault, storeResponse)
	for n := range cancelUpstreams {
		if _, err := b.addUpstream(fmt.Sprintf("u%d", n+1), fmt.Sprintf("z%d", n%2), largeKind, cancelTaskCPU, nil); err != nil {
			return nil, err
		}
	}
	for n := range cancelInstances {
		if _, err := b.addInstance(fmt.Sprintf("z%d-%d", n%2, n/2), fmt.Sprintf("z%d", n%2)); err != nil {
			return nil, err
		}
	}
	if err := b.waitReady(); err != nil {
		return nil, err
	}
	time.Sleep(warmUp)
	restarted, others := b.instances[cancelInstances-1], b.instances[:cancelInstances-1]
	var customers, cancels sync.WaitGroup
	jobs := make([]standin.Job, cancelJobs)
	for n := range jobs {
		jobs[n] = standin.Job{ID: fmt.Sprintf("%016x", n+1), Tasks: 1, MilliCPU: cancelTaskCPU, TaskDuration: cancelTask}
		customers.Go(func() {
			c := b.newCustomer()
			defer c.http.CloseIdleConnections()
			c.submit(others[n%len(others)], jobs[n], cancelDeadline)
		})
	}
	time.Sleep(time.Second)
	if b.trouble {
		restarted.kill()
		if err := restarted.start(); err != nil {
			return nil, err
		}
	}
	var mu sync.Mutex
	var violations []string
	for _, job := range jobs {
		time.Sleep(cancelInterval)
		cancels.Go(func() {
			c := b.newCustomer()
			defer c.http.CloseIdleConnections()
			if v := b.cancelAndCheck(c, restarted, job); v != "" {
				mu.Lock()
				defer mu.Unlock()
				violations = append(violations, v)
			}
		})
	}
	cancels.Wait()
	customers.Wait()
	return violations, nil
}

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
