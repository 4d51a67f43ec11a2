package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// results collects what the customers observe, and the violations of invariants.
type results struct {
	mu                sync.Mutex
	responseCounts    map[string]int // by kind of response, as in Report.Responses
	violations        []string
	submitted         map[string]bool      // jobs that customers have sent, by job ID
	refusedAt         map[string]time.Time // when the customer received the refusal of a job, by job ID
	recentlyCompleted []bool               // for each of the last recoveryWindow requests, whether its job completed
}

// recoveryWindow is the number of most recent requests that decide whether the installation
// has recovered from the faults.
const recoveryWindow = 40

func newResults() *results {
	return &results{responseCounts: map[string]int{}, submitted: map[string]bool{}, refusedAt: map[string]time.Time{}}
}

// countResponse counts a request that has ended. Response is its key in Report.Responses.
func (r *results) countResponse(response string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.responseCounts[response]++
	r.recentlyCompleted = append(r.recentlyCompleted, response == "completed")
	if len(r.recentlyCompleted) > recoveryWindow {
		r.recentlyCompleted = r.recentlyCompleted[1:]
	}
}

func (r *results) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

// recovered reports whether at least 90% of the last recoveryWindow requests led to a completed
// job.
func (r *results) recovered() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	good := 0
	for _, ok := range r.recentlyCompleted {
		if ok {
			good++
		}
	}
	return len(r.recentlyCompleted) == recoveryWindow && good >= recoveryWindow*9/10
}

// clearRecent makes recovered ignore all requests so far.
func (r *results) clearRecent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recentlyCompleted = nil
}

const (
	// resendDelay is how long a customer waits before it sends a job again if the request ended
	// without a final response.
	resendDelay = 1300 * time.Millisecond
	// customerTimeout is how long a customer waits for a response.
	customerTimeout = 4 * time.Second
	// maxSends is the maximum number of requests for one job.
	maxSends = 3
	// disconnectShare is the share of requests after which the customer disconnects early,
	// without waiting for customerTimeout. Of the remaining requests that are sent to a paused
	// instance, disconnectPausedShare is the share after which the customer does so.
	disconnectShare       = 0.05
	disconnectPausedShare = 0.5
)

// customer sends one job after the other. It keeps its connections open between jobs.
type customer struct {
	index        int
	rng          *rand.Rand
	installation *installation
	results      *results
	http         *http.Client
}

// run sends jobs until ctx is cancelled.
func (c *customer) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c.runJob(ctx, fmt.Sprintf("%08x%08x", c.index+1, n))
		pause(ctx, time.Duration(c.rng.IntN(60))*time.Millisecond)
	}
}

// pause waits for d, or until ctx is cancelled.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runJob sends a job, up to maxSends times, until it receives a final response. It checks the
// response against the recorded runs of the job: a completed job must have run in full, and a
// refused one not at all.
func (c *customer) runJob(ctx context.Context, id string) {
	c.results.mu.Lock()
	c.results.submitted[id] = true
	c.results.mu.Unlock()
	if c.installation.cfg.Cancellations && c.rng.Float64() < cancelShare {
		c.runCancelled(ctx, id)
		return
	}
	job := standin.Job{ID: id, Tasks: 1 + c.rng.IntN(6), MilliCPU: taskCPU, TaskDuration: time.Duration(10+c.rng.IntN(300)) * time.Millisecond}
	mayHaveRun := false // an earlier request ended without a final response
	for range maxSends {
		disconnect := c.rng.Float64() < disconnectShare
		sent := time.Now()
		status, response, unread := c.send(ctx, job, disconnect)
		switch {
		case ctx.Err() != nil:
			return
		case unread:
			c.results.countResponse("unread")
			continue // no instance has read the request, so the job can be sent again at once
		case status == http.StatusOK && response == `{"State":"completed"}`:
			c.results.countResponse("completed")
			if done := c.installation.tracker.DoneTasks(id); done != job.Tasks {
				c.results.addViolation("job %s was reported as completed, but %d of %d tasks are done", id, done, job.Tasks)
			}
			return
		case status == http.StatusOK:
			c.results.countResponse("failed")
			return
		case status == http.StatusServiceUnavailable || status == http.StatusNotFound:
			// Both are refusals. An instance responds 404 if its configuration has no route for
			// the job, before it offers any task.
			c.results.countResponse(fmt.Sprint(status, " ", response))
			if started := c.installation.tracker.LastJobStart(id); !mayHaveRun && !started.IsZero() {
				c.results.addViolation("job %s was refused with status %d when sent at %v, but a task of it was started at %v", id, status, sent, started)
			}
			c.results.recordRefusal(id)
			return
		default:
			c.results.countResponse(fmt.Sprint(status))
			mayHaveRun = true
		}
		pause(ctx, resendDelay)
	}
}

// recordRefusal records that a job is refused now. None of its tasks may start from now on.
func (r *results) recordRefusal(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedAt[id] = time.Now()
}

// send sends a job to a random instance. If disconnect is set, the customer disconnects early. If
// there is no response, the status is 0, and unread reports whether the instance was paused from
// before the request until after the disconnect and so cannot have read the request.
func (c *customer) send(ctx context.Context, job standin.Job, disconnect bool) (status int, response string, unread bool) {
	timeout := customerTimeout
	shortenTimeout := func() { timeout = time.Duration(20+c.rng.IntN(100)) * time.Millisecond }
	if disconnect {
		shortenTimeout()
	}
	p := c.installation.processes[c.rng.IntN(len(c.installation.processes))]
	signals, paused := p.pauseState()
	if paused && !disconnect && c.rng.Float64() < disconnectPausedShare {
		shortenTimeout()
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := standin.NewRequest(ctx, http.MethodPost, p.customerAddress(), host, routePrefix(0)+job.ID, job.Body(), customerTimeout)
	if err != nil {
		return 0, "", false
	}
	res, err := c.http.Do(req)
	if err != nil {
		signalsNow, pausedNow := p.pauseState()
		return 0, "", paused && pausedNow && signalsNow == signals
	}
	defer func() { _ = res.Body.Close() }() // an error does not matter after the body has been read
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, "", false
	}
	return res.StatusCode, string(raw), false
}
