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

// tally is what customers saw.
type tally struct {
	mu        sync.Mutex
	answers   map[string]int
	broken    []string
	submitted map[string]bool
	cancelled map[string]time.Time
	lately    []bool // the last answers: whether the job was complete
}

// window is how many answers tell whether the installation has recovered.
const window = 40

func newTally() *tally {
	return &tally{answers: map[string]int{}, submitted: map[string]bool{}, cancelled: map[string]time.Time{}}
}

func (t *tally) add(answer string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.answers[answer]++
	t.lately = append(t.lately, answer == "completed")
	if len(t.lately) > window {
		t.lately = t.lately[1:]
	}
}

func (t *tally) breaks(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.broken = append(t.broken, fmt.Sprintf(format, args...))
}

// recovered reports whether the last answers were nearly all complete.
func (t *tally) recovered() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	good := 0
	for _, ok := range t.lately {
		if ok {
			good++
		}
	}
	return len(t.lately) == window && good >= window*9/10
}

func (t *tally) forget() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lately = nil
}

const (
	// resendAfter is how long a customer waits before it sends a job again
	// whose answer it did not get.
	resendAfter = 1300 * time.Millisecond
	// deadline is how long a customer waits for an answer.
	deadline = 4 * time.Second
	// sendings bounds how often one job is sent.
	sendings = 3
	// leaveShare of the customers' requests are broken off early, and leaveStillShare of
	// those to an instance that stands still.
	leaveShare      = 0.05
	leaveStillShare = 0.5
)

// customer sends one job after the other until ctx ends. It keeps connections
// open from job to job.
type customer struct {
	number int
	rng    *rand.Rand
	in     *installation
	tally  *tally
	http   *http.Client
}

func (c *customer) run(ctx context.Context) {
	defer c.http.CloseIdleConnections()
	for n := 0; ctx.Err() == nil; n++ {
		c.job(ctx, fmt.Sprintf("%08x%08x", c.number+1, n))
		pause(ctx, time.Duration(c.rng.IntN(60))*time.Millisecond)
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// job sends one job until it is answered.
func (c *customer) job(ctx context.Context, id string) {
	c.tally.mu.Lock()
	c.tally.submitted[id] = true
	c.tally.mu.Unlock()
	job := standin.Job{ID: id, Tasks: 1 + c.rng.IntN(6), MilliCPU: taskCPU, TaskDuration: time.Duration(10+c.rng.IntN(300)) * time.Millisecond}
	maybeRun := false
	for range sendings {
		leaves := c.rng.Float64() < leaveShare
		sent := time.Now()
		status, answer, unread := c.send(ctx, job, leaves)
		switch {
		case ctx.Err() != nil:
			return
		case unread:
			c.tally.add("unread")
			continue // nobody has read it: it is sent again at once
		case status == http.StatusOK && answer == `{"State":"completed"}`:
			c.tally.add("completed")
			if done := c.in.ledger.DoneTasks(id); done != job.Tasks {
				c.tally.breaks("%s is answered completed, %d of %d tasks are done", id, done, job.Tasks)
			}
			return
		case status == http.StatusOK:
			c.tally.add("failed")
			return
		case status == http.StatusServiceUnavailable || status == http.StatusNotFound:
			c.tally.add(fmt.Sprint(status, " ", answer))
			if began := c.in.ledger.LastJobStart(id); !maybeRun && !began.IsZero() {
				c.tally.breaks("%s is answered %d at %v, and began at %v", id, status, sent, began)
			}
			c.tally.refused(id)
			return
		default:
			c.tally.add(fmt.Sprint(status))
			maybeRun = true
		}
		pause(ctx, resendAfter)
	}
}

// refused notes a job that was never run: nothing of it may begin later.
func (t *tally) refused(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancelled[id] = time.Now()
}

// send sends a job to an instance that is picked at random. The status is 0
// without an answer; unread is set where the instance stood still all the while.
func (c *customer) send(ctx context.Context, job standin.Job, leaves bool) (status int, answer string, unread bool) {
	limit := deadline
	soon := func() { limit = time.Duration(20+c.rng.IntN(100)) * time.Millisecond }
	if leaves {
		soon()
	}
	p := c.in.processes[c.rng.IntN(len(c.in.processes))]
	number, still := p.stillness()
	if still && !leaves && c.rng.Float64() < leaveStillShare {
		soon()
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	req, err := standin.NewRequest(ctx, http.MethodPost, p.customers(), host, prefix(0)+job.ID, job.Body(), deadline)
	if err != nil {
		return 0, "", false
	}
	res, err := c.http.Do(req)
	if err != nil {
		now, paused := p.stillness()
		return 0, "", still && paused && now == number
	}
	defer func() { _ = res.Body.Close() }() // it has been read
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, "", false
	}
	return res.StatusCode, string(raw), false
}
