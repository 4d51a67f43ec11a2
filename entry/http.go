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

// Timeouts of the callers' connections.
const (
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
)

// mostRead bounds what is read of a request, in bytes. It is more than what is
// allowed, so that a request that is somewhat too large is read to its end and
// told so: one that is cut off while its caller writes may see only a reset.
const mostRead = 2 * api.MaxBody

func (n *Node) newApp() *fiber.App {
	app := fiber.New(fiber.Config{
		DisableStartupMessage: true,
		BodyLimit:             mostRead,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		DisableDefaultDate:    true,
		Immutable:             true, // strings outlive their request here
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

// sendError answers with a problem document.
func (n *Node) sendError(c *fiber.Ctx, err error) error {
	var fromFiber *fiber.Error
	if e, ok := err.(*fiber.Error); ok {
		fromFiber = e
	}
	p := api.NewProblem(err)
	if fromFiber != nil {
		p = problemOfStatus(fromFiber)
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

// problemOfStatus types the errors that fiber finds itself.
func problemOfStatus(e *fiber.Error) *api.Problem {
	switch e.Code {
	case http.StatusRequestEntityTooLarge:
		return api.NewProblem(failure.Field(failure.TooLarge, "body", "is over %d bytes", api.MaxBody))
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		p := api.NewProblem(failure.Field(failure.NotFound, "path", "%s", e.Message))
		p.Status = e.Code
		return p
	default:
		return api.NewProblem(failure.Field(failure.InvalidInput, "body", "%s", e.Message))
	}
}

func (n *Node) postSession(c *fiber.Ctx) error {
	var open api.OpenSession
	if err := api.Decode(c.Body(), &open); err != nil {
		return err
	}
	if err := api.CheckName("caller", open.Caller); err != nil {
		return err
	}
	if err := n.needSettings(); err != nil {
		return err
	}
	scope := n.settings.Load().tree.Get(n.path("", open.Caller), settings.KeyWitness).Text
	session, life, err := n.dispatch.OpenSession(open.Caller, placement.WitnessScope(scope))
	if err != nil {
		return err
	}
	n.metrics.CountSent("session")
	return c.JSON(api.SessionOpened{Session: session, ExpiresInMs: life.Milliseconds(), Entry: n.cfg.Instance})
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
	if err := n.needSettings(); err != nil {
		return err
	}
	tree := n.settings.Load().tree
	path := n.path(s.Service, s.Session.Caller())
	release, err := n.flights.enter(tree, path, s.Attempt)
	if err != nil {
		return err
	}
	defer release()
	return n.run(c, &s, uint32(tree.Int(path, settings.KeyDeadlineMs)), tree.Float(path, settings.KeyTraceRatio))
}

// run submits a checked job and answers with what is known of it in the end.
func (n *Node) run(c *fiber.Ctx, s *api.Submission, defaultDeadlineMs uint32, traceRatio float64) error {
	now := time.Now()
	job := s.Job(now.UnixMilli(), defaultDeadlineMs)
	span := n.tracer.Start(traceOf(c, traceRatio), "entry")
	defer span.End()
	job.Trace = span.Traceparent()
	wait := time.UnixMilli(job.DeadlineMs).Sub(now) + answerGrace
	if s.WaitMs != nil {
		wait = min(wait, time.Duration(*s.WaitMs)*time.Millisecond)
	}
	r, err := n.dispatch.Submit(n.stop, dispatch.Request{
		Key: s.Key(), Job: job, Attempt: s.Attempt, Wait: wait, Trace: span.Traceparent(),
	})
	if err != nil {
		return err
	}
	n.metrics.CountSent("answer")
	return sendAnswer(c, &r)
}

// answerGrace is how much longer than to its deadline a call waits for the
// fate that the deadline brings.
const answerGrace = 2 * time.Second

// traceOf returns the caller's trace context, or "" for none.
func traceOf(c *fiber.Ctx, ratio float64) string {
	if given := c.Get(api.HeaderTrace); given != "" || ratio == 0 || rand.Float64() >= ratio {
		return given
	}
	return ""
}

// sendAnswer answers 200 with a fate, or 202 while there is none.
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

// keyOf reads the key of a job from the query.
func keyOf(c *fiber.Ctx) (fate.Key, error) {
	key := fate.Key{Session: fate.Session(c.Query("session"))}
	if _, err := key.Session.Log(); err != nil {
		return key, err
	}
	sequence, err := strconv.ParseUint(c.Query("sequence"), 10, 64)
	if err != nil || sequence == 0 {
		return key, failure.Field(failure.InvalidInput, "sequence", "is a number from 1 on")
	}
	generation, err := strconv.ParseUint(c.Query("generation", "0"), 10, 32)
	if err != nil {
		return key, failure.Field(failure.InvalidInput, "generation", "is a number from 0 on")
	}
	key.Sequence, key.Generation = sequence, uint32(generation)
	return key, nil
}

func (n *Node) getJob(c *fiber.Ctx) error {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	key, err := keyOf(c)
	if err != nil {
		return err
	}
	wait, err := strconv.ParseUint(c.Query("wait_ms", "0"), 10, 32)
	if err != nil || wait > api.MaxDeadlineMs {
		return failure.Field(failure.InvalidInput, "wait_ms", "is a number from 0 to %d", api.MaxDeadlineMs)
	}
	n.metrics.CountSent("poll")
	r, err := n.dispatch.Submit(n.stop, dispatch.Request{Key: key, Wait: time.Duration(wait) * time.Millisecond})
	if err != nil {
		return err
	}
	return sendAnswer(c, &r)
}

func (n *Node) deleteJob(c *fiber.Ctx) error {
	n.inFlight.Add(1)
	defer n.inFlight.Add(-1)
	key, err := keyOf(c)
	if err != nil {
		return err
	}
	n.metrics.CountSent("cancel")
	r, err := n.dispatch.Cancel(n.stop, key)
	if err != nil {
		return err
	}
	return sendAnswer(c, &r)
}

func (n *Node) getInstances(c *fiber.Ctx) error {
	free, queued := n.dispatch.Load()
	list := []api.InstanceStatus{{
		Instance: n.cfg.Instance, Incarnation: string(n.self), Zone: n.cfg.Zone, Role: api.RoleEntry,
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

func (n *Node) state() string {
	if n.leaving.Load() {
		return "leaving"
	}
	return "alive"
}

func (n *Node) getStatus(c *fiber.Ctx) error {
	return c.JSON(api.Status{
		Instance: n.cfg.Instance, Incarnation: string(n.self), Fleet: n.cfg.Fleet, Zone: n.cfg.Zone,
		Leaving: n.leaving.Load(), ActiveJobs: n.dispatch.ActiveJobs(), Messages: metrics.Values(n.metrics.Messages),
	})
}

// flights counts the calls in flight of each service and caller.
type flights struct {
	mu     sync.Mutex
	counts map[settings.Node]int64
}

// enter counts a call in, or refuses it when its service or its caller has as
// many in flight as the settings allow. A resubmission is never refused: its
// answer may be there already.
func (f *flights) enter(tree *settings.Tree, path settings.Path, attempt uint32) (release func(), err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.counts == nil {
		f.counts = map[settings.Node]int64{}
	}
	byService := settings.Node{Level: settings.LevelService, Name: path.Service}
	byCaller := settings.Node{Level: settings.LevelCaller, Name: path.Caller}
	above := path
	above.Caller = ""
	if attempt <= 1 {
		if limit := tree.Int(above, settings.KeyMaxInFlight); limit > 0 && f.counts[byService] >= limit {
			return nil, overLimit("service", path.Service, limit)
		}
		own := tree.Get(path, settings.KeyMaxInFlight)
		if limit := tree.Int(path, settings.KeyMaxInFlight); own.From == byCaller && limit > 0 && f.counts[byCaller] >= limit {
			return nil, overLimit("caller", path.Caller, limit)
		}
	}
	f.counts[byService]++
	f.counts[byCaller]++
	return func() { f.leave(byService, byCaller) }, nil
}

func overLimit(field, name string, limit int64) error {
	return failure.Field(failure.Overloaded, field, "%s has %d jobs in flight at this entry, as many as it may", name, limit)
}

func (f *flights) leave(nodes ...settings.Node) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, node := range nodes {
		f.counts[node]--
		if f.counts[node] <= 0 {
			delete(f.counts, node)
		}
	}
}
