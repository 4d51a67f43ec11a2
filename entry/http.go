package entry

import (
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/dispatch"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/metrics"
	"github.com/sedgehatch/sedgehatch/placement"
	"github.com/sedgehatch/sedgehatch/settings"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/expvar"
)

// Timeouts of callers' connections.
const (
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
)

// maxBodyRead is the maximum size, in bytes, up to which a request body is read. It exceeds
// the allowed size api.MaxBody, so that a body that is somewhat too large is read to its end
// before the error is sent. Otherwise the caller, still sending the body, might see a reset
// of the connection instead of the error.
const maxBodyRead = 2 * api.MaxBody

func (n *Node) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             maxBodyRead,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		DisableDefaultDate:    true,
		Immutable:             true, // strings of a request are used after it has been answered
		ErrorHandler:          n.sendError,
	})
	app.Use(expvar.New())
	app.Post(api.PathSessions, n.postSession)
	app.Post(api.PathJobs, n.postJob)
	app.Get(api.PathJobs, n.getJob)
	app.Delete(api.PathJobs, n.deleteJob)
	app.Get(api.PathInstances, n.getInstances)
	app.Get(api.PathStatus, n.getStatus)
	return app
}

// sendError answers a request with the problem document for err.
func (n *Node) sendError(c *fiber.Ctx, err error) error {
	var fromFiber *fiber.Error
	if e, ok := err.(*fiber.Error); ok {
		fromFiber = e
	}
	p := api.NewProblem(err)
	if fromFiber != nil {
		p = problemFromFiber(fromFiber)
	}
	n.metrics.Add("problem_"+p.Code, 1)
	c.Status(p.Status)
	body, encodeErr := json.Marshal(p)
	if encodeErr != nil {
		return encodeErr
	}
	c.Set(fiber.HeaderContentType, api.ContentProblem)
	return c.Send(body)
}

// problemFromFiber returns the problem document for an error of the HTTP framework, fiber.
func problemFromFiber(e *fiber.Error) *api.Problem {
	switch e.Code {
	case http.StatusRequestEntityTooLarge:
		return api.NewProblem(failure.Field(failure.TooLarge, "body", "is larger than %d bytes", api.MaxBody))
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		p := api.NewProblem(failure.Field(failure.NotFound, "path", "%s", e.Message))
		p.Status = e.Code
		return p
	default:
		return api.NewProblem(failure.Field(failure.InvalidInput, "body", "%s", e.Message))
	}
}

func (n *Node) postSession(c *fiber.Ctx) error {
	var request api.OpenSession
	if err := api.Decode(c.Body(), &request); err != nil {
		return err
	}
	if err := api.CheckName("caller", request.Caller); err != nil {
		return err
	}
	if err := n.requireSettings(); err != nil {
		return err
	}
	scope := n.settings.Load().tree.Get(n.settingsPath("", request.Caller), settings.KeyWitness).Text
	session, expiresIn, err := n.dispatch.OpenSession(request.Caller, placement.WitnessScope(scope))
	if err != nil {
		return err
	}
	n.metrics.CountSent("session")
	return c.JSON(api.SessionOpened{Session: session, ExpiresInMs: expiresIn.Milliseconds(), Entry: n.cfg.Instance})
}

func (n *Node) postJob(c *fiber.Ctx) error {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	var s api.Submission
	if err := api.Decode(c.Body(), &s); err != nil {
		return err
	}
	if err := s.Check(); err != nil {
		return err
	}
	n.metrics.CountSent("submit")
	if err := n.requireSettings(); err != nil {
		return err
	}
	tree := n.settings.Load().tree
	path := n.settingsPath(s.Service, s.Session.Caller())
	release, err := n.jobsInFlight.admit(tree, path, s.Attempt)
	if err != nil {
		return err
	}
	defer release()
	return n.submit(c, &s, uint32(tree.Int(path, settings.KeyDeadlineMs)), tree.Float(path, settings.KeyTraceRatio))
}

// submit submits a valid job, waits for its outcome, and answers the request. If the caller
// wants to wait for less time than the job takes, the answer is the progress of the job.
func (n *Node) submit(c *fiber.Ctx, s *api.Submission, defaultDeadlineMs uint32, traceRatio float64) error {
	now := time.Now()
	job := s.Job(now.UnixMilli(), defaultDeadlineMs)
	span := n.tracer.Start(callerTrace(c, traceRatio), "entry")
	defer span.End()
	job.Trace = span.Traceparent()
	wait := time.UnixMilli(job.DeadlineMs).Sub(now) + answerGrace
	if s.WaitMs != nil {
		wait = min(wait, time.Duration(*s.WaitMs)*time.Millisecond)
	}
	r, err := n.dispatch.Submit(n.ctx, dispatch.Request{
		Key: s.Key(), Job: job, Attempt: s.Attempt, Wait: wait, Trace: span.Traceparent(),
	})
	if err != nil {
		return err
	}
	n.metrics.CountSent("answer")
	return sendAnswer(c, &r)
}

// answerGrace is how long a request waits for the outcome beyond the deadline of its job.
// The outcome of a job that misses its deadline is determined only after the deadline.
const answerGrace = 2 * time.Second

// callerTrace returns the trace context that the caller has sent, or "" if it has sent none.
// The result is the same for every value of ratio.
func callerTrace(c *fiber.Ctx, ratio float64) string {
	if given := c.Get(api.HeaderTrace); given != "" || ratio == 0 || rand.Float64() >= ratio {
		return given
	}
	return ""
}

// sendAnswer answers a request with status 200 and the outcome of the job, or with status
// 202 and the progress if the job has not ended.
func sendAnswer(c *fiber.Ctx, r *dispatch.Result) error {
	answer := api.FromFate(&r.Answer)
	answer.Done, answer.Total, answer.RetryAfterMs = r.Done, r.Total, r.RetryAfterMs
	if r.RetryAfterMs > 0 {
		seconds := (r.RetryAfterMs + 999) / 1000
		c.Set(fiber.HeaderRetryAfter, strconv.Itoa(int(seconds)))
	}
	if !r.Answer.Kind.Final() {
		c.Status(http.StatusAccepted)
	}
	return c.JSON(answer)
}

// parseKey returns the key of the submission that the query parameters identify.
func parseKey(c *fiber.Ctx) (fate.Key, error) {
	key := fate.Key{Session: fate.Session(c.Query("session"))}
	if _, err := key.Session.Log(); err != nil {
		return key, err
	}
	sequence, err := strconv.ParseUint(c.Query("sequence"), 10, 64)
	if err != nil || sequence == 0 {
		return key, failure.Field(failure.InvalidInput, "sequence", "must be an integer of at least 1")
	}
	generation, err := strconv.ParseUint(c.Query("generation", "0"), 10, 32)
	if err != nil {
		return key, failure.Field(failure.InvalidInput, "generation", "must be an integer of at least 0")
	}
	key.Sequence, key.Generation = sequence, uint32(generation)
	return key, nil
}

func (n *Node) getJob(c *fiber.Ctx) error {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	key, err := parseKey(c)
	if err != nil {
		return err
	}
	wait, err := strconv.ParseUint(c.Query("wait_ms", "0"), 10, 32)
	if err != nil || wait > api.MaxDeadlineMs {
		return failure.Field(failure.InvalidInput, "wait_ms", "must be an integer from 0 to %d", api.MaxDeadlineMs)
	}
	n.metrics.CountSent("poll")
	r, err := n.dispatch.Submit(n.ctx, dispatch.Request{Key: key, Wait: time.Duration(wait) * time.Millisecond})
	if err != nil {
		return err
	}
	return sendAnswer(c, &r)
}

func (n *Node) deleteJob(c *fiber.Ctx) error {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	key, err := parseKey(c)
	if err != nil {
		return err
	}
	n.metrics.CountSent("cancel")
	r, err := n.dispatch.Cancel(n.ctx, key)
	if err != nil {
		return err
	}
	return sendAnswer(c, &r)
}

func (n *Node) getInstances(c *fiber.Ctx) error {
	free, queued := n.dispatch.Load()
	list := []api.InstanceStatus{{
		Instance: n.cfg.Instance, Incarnation: string(n.incarnation), Zone: n.cfg.Zone, Role: api.RoleEntry,
		State: n.state(), ActiveJobs: uint64(n.dispatch.ActiveJobs()), Revision: n.Revision(),
		FreeSlots: uint64(free), QueuedTasks: uint64(queued),
	}}
	for _, p := range n.Peers() {
		list = append(list, api.InstanceStatus{
			Instance: p.Instance, Incarnation: string(p.Incarnation), Zone: p.Zone, Role: api.RoleEntry,
			State: string(p.State), ActiveJobs: p.Heartbeat.ActiveJobs, Revision: p.Heartbeat.Revision,
			FreeSlots: p.Heartbeat.FreeSlots, QueuedTasks: p.Heartbeat.QueuedTasks,
		})
	}
	return c.JSON(list)
}

// state returns the state of this instance, as listed to callers.
func (n *Node) state() string {
	if n.leaving.Load() {
		return "leaving"
	}
	return "alive"
}

func (n *Node) getStatus(c *fiber.Ctx) error {
	return c.JSON(api.Status{
		Instance: n.cfg.Instance, Incarnation: string(n.incarnation), Fleet: n.cfg.Fleet, Zone: n.cfg.Zone,
		Leaving: n.leaving.Load(), ActiveJobs: n.dispatch.ActiveJobs(), Messages: metrics.Values(n.metrics.Messages),
	})
}

// inFlightCounts counts the submissions in flight, by service and by caller.
type inFlightCounts struct {
	mu     sync.Mutex
	counts map[settings.Node]int64
}

// admit counts a submission until release is called. It returns an Overloaded error if the
// service or the caller has as many submissions in flight as the settings allow it. A
// resubmission is never refused, because its answer may already exist.
func (f *inFlightCounts) admit(tree *settings.Tree, path settings.Path, attempt uint32) (release func(), err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[settings.Node]int64{}
	}
	byService := settings.Node{Level: settings.LevelService, Name: path.Service}
	byCaller := settings.Node{Level: settings.LevelCaller, Name: path.Caller}
	servicePath := path
	servicePath.Caller = ""
	if attempt <= 1 {
		if limit := tree.Int(servicePath, settings.KeyMaxInFlight); limit > 0 && f.counts[byService] >= limit {
			return nil, overLimit("service", path.Service, limit)
		}
		callerLimit := tree.Get(path, settings.KeyMaxInFlight)
		if limit := tree.Int(path, settings.KeyMaxInFlight); callerLimit.From == byCaller && limit > 0 && f.counts[byCaller] >= limit {
			return nil, overLimit("caller", path.Caller, limit)
		}
	}
	f.counts[byService]++
	f.counts[byCaller]++
	return func() { f.release(byService, byCaller) }, nil
}

func overLimit(field, name string, limit int64) error {
	return failure.Field(failure.Overloaded, field, "%s has reached its limit of %d jobs in flight at this instance", name, limit)
}

// release removes a submission from the counts of its service and caller.
func (f *inFlightCounts) release(nodes ...settings.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, node := range nodes {
		f.counts[node]--
		if f.counts[node] <= 0 {
			delete(f.counts, node)
		}
	}
}
