package soak

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

const (
	// cancelShare is the share of the jobs that customers cancel, if Config.Cancellations is set.
	cancelShare = 0.25
	// cancelledTask is the duration of the tasks of these jobs. It is longer than maxRunAfterCancel
	// after any cancellation, so that a task that runs on shows.
	cancelledTask = 9 * time.Second
	// maxCancelDelay is the longest time from the submission of a job to its cancellation.
	maxCancelDelay = 400 * time.Millisecond
	// maxCancels is how often a customer sends a cancellation that is not acknowledged.
	maxCancels = 3
	// maxRunAfterCancel is how long after the acknowledgement of its cancellation a task of a job
	// may run: the 3 s that the platform allows, and the time in which an upstream stops a run.
	maxRunAfterCancel = 3*time.Second + 50*time.Millisecond
)

// runCancelled sends a job to one instance and its cancellation to another one, or by chance the
// same. It checks that no task of the job runs later than maxRunAfterCancel after the
// acknowledgement.
func (c *customer) runCancelled(ctx context.Context, id string) {
	job := standin.Job{ID: id, Tasks: 1 + c.rng.IntN(3), MilliCPU: taskCPU, TaskDuration: cancelledTask}
	delay := time.Duration(c.rng.Int64N(int64(maxCancelDelay)))
	submission, leave := context.WithTimeout(ctx, cancelledTask)
	defer leave()
	responded := make(chan struct{})
	address := c.randomInstance().customerAddress()
	go func() {
		defer close(responded)
		c.request(submission, http.MethodPost, address, job)
	}()
	pause(ctx, delay)
	acknowledged := false
	for range maxCancels {
		status := c.request(ctx, http.MethodDelete, c.randomInstance().customerAddress(), job)
		c.results.countCancellation(status)
		if acknowledged = status == http.StatusOK || status == http.StatusGone; acknowledged {
			break
		}
		pause(ctx, resendDelay)
	}
	if acknowledged {
		pause(ctx, maxRunAfterCancel+refusalTolerance)
		if ctx.Err() == nil && c.installation.tracker.IsRunning(id) {
			c.results.addViolation("a task of job %s runs %v after its cancellation was acknowledged", id, maxRunAfterCancel)
		}
	}
	leave()
	<-responded
}

// countCancellation counts the response to a cancellation, or its lack if status is 0. Unlike
// countResponse it leaves out whether the installation has recovered.
func (r *results) countCancellation(status int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responseCounts[fmt.Sprint("cancellation ", status)]++
}

func (c *customer) randomInstance() *process {
	return c.installation.processes[c.rng.IntN(len(c.installation.processes))]
}

// request sends a request about a job on a connection of its own, and returns the status of the
// response, or 0 if there was none.
func (c *customer) request(ctx context.Context, method, address string, job standin.Job) int {
	var body []byte
	if method == http.MethodPost {
		body = job.Body()
	}
	req, err := standin.NewRequest(ctx, method, address, host, routePrefix(0)+job.ID, body, cancelledTask)
	if err != nil {
		return 0
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: cancelledTask}
	if method == http.MethodDelete {
		client.Timeout = customerTimeout
	}
	res, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = res.Body.Close() // the body is not used
	return res.StatusCode
}
