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
	submitted         map[string]bool      // by job ID
	refusedAt         map[string]time.Time // when the customer received the refusal, by job ID
	recentlyCompleted []bool               // whether the job completed, for each of the last responses
}

// recoveryWindow is the number of most recent responses that decide whether the installation
// has recovered.
const recoveryWindow = 40

func newResults() *results {
	return &results{responseCounts: map[string]int{}, submitted: map[string]bool{}, refusedAt: map[string]time.Time{}}
}

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

// recovered reports whether at least 90% of the last recoveryWindow responses were for
// completed jobs.
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

func (r *results) clearRecent() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.recentlyCompleted = nil
}

const (
	// resendDelay is how long a customer waits before it resends a job for which it has
	// not received a final response.
	resendDelay = 1300 * time.Millisecond
	// customerTimeout is how long a customer waits for a response.
	customerTimeout = 4 * time.Second
	// maxSends is the maximum number of times that a job is sent.
	maxSends = 3
	// disconnectShare is the share of requests that customers abort early, and
	// disconnectPausedShare that of the other requests to a paused instance.
	disconnectShare       = 0.05
	disconnectPausedShare = 0.5
)

// customer sends one job after the other and keeps connections open between jobs.
type customer struct {
	index        int
	rng          *rand.Rand
	installation *installation
	results      *results
	http         *http.Client
}

func (c *customer) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c.runJob(ctx, fmt.Sprintf("%08x%08x", c.index+1, n))
		pause(ctx, time.Duration(c.rng.IntN(60))*time.Millisecond)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// runJob sends a job until it receives a final response, and checks that response against
// the runs of the job.
func (c *customer) runJob(ctx context.Context, id string) {
	c.results.mu.Lock()
	c.results.submitted[id] = true
	c.results.mu.Unlock()
	job := standin.Job{ID: id, Tasks: 1 + c.rng.IntN(6), MilliCPU: taskCPU, TaskDuration: time.Duration(10+c.rng.IntN(300)) * time.Millisecond}
	mayHaveRun := false
	for range maxSends {
		disconnect := c.rng.Float64() < disconnectShare
		sent := time.Now()
		status, response, unread := c.send(ctx, job, disconnect)
		switch {
		case ctx.Err() != nil:
			return
		case unread:
			c.results.countResponse("unread")
			continue // no instance has read the request, so it is resent at once
		case status == http.StatusOK && response == `{"State":"completed"}`:
			c.results.countResponse("completed")
			if done := c.installation.tracker.DoneTasks(id); done != job.Tasks {
				c.results.addViolation("%s is answered completed, %d of %d tasks are done", id, done, job.Tasks)
			}
			return
		case status == http.StatusOK:
			c.results.countResponse("failed")
			return
		case status == http.StatusServiceUnavailable || status == http.StatusNotFound:
			c.results.countResponse(fmt.Sprint(status, " ", response))
			if started := c.installation.tracker.LastJobStart(id); !mayHaveRun && !started.IsZero() {
				c.results.addViolation("%s is answered %d at %v, and began at %v", id, status, sent, started)
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

// recordRefusal records that a job was refused. None of its tasks may start after that.
func (r *results) recordRefusal(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refusedAt[id] = time.Now()
}

// send sends a job to a random instance. If disconnect is set, it aborts the request early.
// The status is 0 if there was no response. Unread is set if, in addition, the instance was
// paused during the whole request and so cannot have read it.
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
	defer func() { _ = res.Body.Close() }() // an error does not matter after reading
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, "", false
	}
	return res.StatusCode, string(raw), false
}
