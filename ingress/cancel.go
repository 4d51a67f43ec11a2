package ingress

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// A customer may send the cancellation of a job to any instance. The instance ends the job if it
// coordinates it, and in any case has the other instances end what they have of it: another one may
// coordinate the job, or a former submission of it. All of them remember the cancellation for some
// time, because the job itself, or an offer of it, may still be on the way.

// Canceller cancels jobs on other instances.
type Canceller interface {
	// CancelElsewhere has the other instances end what they have of a job, and refuse to run it
	// from then on. It waits until the result is known, for about a second at most.
	CancelElsewhere(job string) CancelResult
	// NotifyCancelled does the same without waiting, for a job that was open on this instance.
	NotifyCancelled(job string)
}

// CancelResult is the result of a cancellation on other instances.
type CancelResult int

const (
	// CancelUnproved means that tasks of the job may be running, or may start, in a group whose
	// owner has not replied.
	CancelUnproved CancelResult = iota
	// CancelFound means that some instance had the job, or tasks of it, and has ended them.
	CancelFound
	// CancelNoJob means that no group has tasks of the job, and none will start any.
	CancelNoJob
)

// reasonCancelled is the reason of jobs that their customers have cancelled.
const reasonCancelled = "cancelled"

const (
	// cancellationMemory is the least time for which a cancellation is remembered, unless
	// there are very many. It is longer than customers usually wait for a response, so that a
	// submission that was sent before the cancellation has arrived or been given up by then.
	cancellationMemory = 10 * time.Second
	// maxCancellations limits the cancellations that are remembered, to a few megabytes.
	maxCancellations = 32_768
)

// cancelledJobs remembers the jobs that were cancelled lately. Its lock is taken after all others.
type cancelledJobs struct {
	mu             sync.Mutex
	recent, former map[string]struct{} // cancelled since rotatedAt, and in the period before
	rotatedAt      time.Time
}

func (c *cancelledJobs) add(id string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	if len(c.recent) >= maxCancellations/2 {
		c.former, c.recent, c.rotatedAt = c.recent, nil, now
	}
	if c.recent == nil {
		c.recent = map[string]struct{}{}
	}
	c.recent[id] = struct{}{}
}

func (c *cancelledJobs) has(id string, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	_, recent := c.recent[id]
	_, former := c.former[id]
	return recent || former
}

// rotate drops the cancellations of the period before the last one. The lock must be held.
func (c *cancelledJobs) rotate(now time.Time) {
	switch periods := now.Sub(c.rotatedAt) / cancellationMemory; {
	case periods == 0:
		return
	case periods == 1:
		c.former = c.recent
	default:
		c.former = nil
	}
	c.recent, c.rotatedAt = nil, now
}

// IsCancelled reports whether a job was cancelled lately, on this or another instance.
func (c *Coordinator) IsCancelled(id string) bool { return c.cancelled.has(id, c.clock.Now()) }

// Cancel ends a job with the verdict Failed, and reports whether it was open here. The job is not
// run again for cancellationMemory.
func (c *Coordinator) Cancel(id string) bool {
	// Remembered first: a job that is being created is either found below or not created.
	c.cancelled.add(id, c.clock.Now())
	s := c.shard(id)
	s.mu.Lock()
	j := s.jobs[id]
	s.mu.Unlock()
	if j == nil {
		return false
	}
	j.settle(Failed, reasonCancelled)
	return true
}

// handleCancel responds 200 if the job was open on some instance, 410 if no instance has it, and 503
// if neither can be told. After a 200 or 410, no task of the job starts any more.
func (s *Server) handleCancel(ctx *fasthttp.RequestCtx, id string) {
	if s.coordinator.Cancel(id) {
		s.canceller.NotifyCancelled(id)
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	switch s.canceller.CancelElsewhere(id) {
	case CancelFound:
		ctx.SetStatusCode(fasthttp.StatusOK)
	case CancelNoJob:
		ctx.SetStatusCode(fasthttp.StatusGone)
	default:
		writeUnavailable(ctx, "an instance that may run the job cannot be reached", minRetryAfter)
	}
}
