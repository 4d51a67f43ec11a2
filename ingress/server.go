package ingress

import (
	"math"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform"

	"github.com/valyala/fasthttp"
)

// Recorder is told each answer.
type Recorder interface {
	RecordResponse(a Record)
}

// Record is one answer to a customer.
type Record struct {
	Job, Route string
	Status     int
	Response
	Took          time.Duration
	Timeout       time.Duration // the customer's deadline when it sent the request
	Objective     time.Duration // by the customer's own estimate
	Late          bool
	Tasks         int
	ConfigVersion uint64
}

// ShutdownStatus tells whether a planned stop of the instance is under way, and how
// long jobs may still take then. Draining instances go on taking jobs that can
// end in time: customers go on using connections that are open. Each is closed
// after its answer.
type ShutdownStatus func() (left time.Duration, stopping bool)

// ConfigSource returns the configuration in force, nil before there is one.
type ConfigSource func() *fleet.Config

const (
	// defaultPatience is taken where a customer does not say how long it waits.
	defaultPatience = 5 * time.Second
	// answerMargin is how much earlier than the customer's deadline the
	// answer is given: it takes a round trip to arrive.
	answerMargin = 30 * time.Millisecond
	// mostBody bounds what is read of a request, in bytes.
	mostBody = 1 << 20
	// readBuffer holds the header of a request, in bytes.
	readBuffer = 16 << 10
	// idleTimeout is how long a customer's connection may be unused.
	idleTimeout = 2 * time.Minute
)

// Server answers customers.
type Server struct {
	coordinator *Coordinator
	config      ConfigSource
	record      Recorder
	stopping    ShutdownStatus
	http        *fasthttp.Server
}

// NewServer returns a server that is not listening yet.
func NewServer(c *Coordinator, config ConfigSource, stopping ShutdownStatus, record Recorder) *Server {
	s := &Server{coordinator: c, config: config, record: record, stopping: stopping}
	s.http = &fasthttp.Server{
		Handler: s.handle, MaxRequestBodySize: mostBody, ReadBufferSize: readBuffer, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, CloseOnShutdown: true,
	}
	return s
}

// Serve takes customers from l until it is closed. The error is Internal, and nothing is
// served, where the end of its connections could not be noticed: a job would then be run
// for a customer that has sent it again elsewhere.
func (s *Server) Serve(l net.Listener) error {
	watched, err := newWatchedListener(l)
	if err != nil {
		return err
	}
	return s.http.Serve(watched)
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	if _, stopping := s.stopping(); stopping {
		ctx.SetConnectionClose()
	}
	config := s.config()
	if config == nil {
		refuse(ctx, "no configuration yet", soonest)
		return
	}
	path := string(ctx.Path())
	route := config.Match(string(ctx.Host()), path)
	if route == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	id := strings.TrimPrefix(path, route.PathPrefix)
	if id == "" {
		s.queue(ctx, route)
		return
	}
	if err := platform.ParseJobID(id); err != nil {
		problem(ctx, err)
		return
	}
	s.job(ctx, config, route, strings.Clone(id))
}

func (s *Server) job(ctx *fasthttp.RequestCtx, config *fleet.Config, route *fleet.Route, id string) {
	switch {
	case ctx.IsPost():
		s.submit(ctx, config, route, id)
	case ctx.IsGet():
		s.state(ctx, id)
	case ctx.IsDelete():
		s.cancel(ctx, id)
	default:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

// queue answers how many jobs of a route wait.
func (s *Server) queue(ctx *fasthttp.RequestCtx, route *fleet.Route) {
	if !ctx.IsGet() {
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	sendJSON(ctx, fasthttp.StatusOK, platform.EncodeWaiting(s.coordinator.WaitingJobs(route.Name)))
}

func (s *Server) state(ctx *fasthttp.RequestCtx, id string) {
	state, open := s.coordinator.State(id)
	if !open {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	sendJSON(ctx, fasthttp.StatusOK, platform.EncodeState(state))
}

func (s *Server) cancel(ctx *fasthttp.RequestCtx, id string) {
	if !s.coordinator.Cancel(id) {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusOK)
}

func (s *Server) submit(ctx *fasthttp.RequestCtx, config *fleet.Config, route *fleet.Route, id string) {
	began := clock.Now()
	job, err := parse(config, id, ctx.PostBody())
	if err != nil {
		problem(ctx, err)
		s.answered(Record{Job: id, Response: Response{Verdict: NotRun, Reason: failure.Text(err)}}, config, route, ctx, began)
		return
	}
	record := Record{Job: id, Tasks: job.Steps[0].Count}
	if reason := s.declines(job, route); reason != "" {
		refuse(ctx, reason, soonest)
		record.Response = Response{Verdict: NotRun, Reason: reason}
		s.answered(record, config, route, ctx, began)
		return
	}
	patience := platform.ParseDeadline(string(ctx.Request.Header.Peek(platform.HeaderDeadline)))
	if patience == 0 {
		patience = defaultPatience
	}
	left, stop := watch(ctx.Conn())
	request := Request{Job: job, Route: route, Timeout: patience - answerMargin, Disconnected: hasLeft(ctx.Conn())}
	record.Objective, record.Timeout = request.Objective(), patience
	record.Response = s.coordinator.Run(request, left)
	stop()
	respond(ctx, record.Response)
	s.answered(record, config, route, ctx, began)
}

// parse decodes a job that is not larger than the configuration allows.
func parse(config *fleet.Config, id string, body []byte) (*fleet.Job, error) {
	if config.MaxBodyBytes > 0 && len(body) > config.MaxBodyBytes {
		return nil, failure.Field(failure.TooLarge, "body", "has %d bytes, over %d", len(body), config.MaxBodyBytes)
	}
	return platform.ParseJob(id, body)
}

// declines tells why a job is not taken at all, or "".
func (s *Server) declines(job *fleet.Job, route *fleet.Route) string {
	switch {
	case s.endsBefore(job, route):
		return "this instance ends"
	case route.Advised:
		return "not offered: advice"
	case job.Unsupported != "":
		return "not offered: " + job.Unsupported
	default:
		return ""
	}
}

// endsBefore reports whether a planned stop ends before a job could be in time, by what
// its customer estimates. One that could is taken: its customer would have to go elsewhere
// otherwise.
func (s *Server) endsBefore(job *fleet.Job, route *fleet.Route) bool {
	left, stopping := s.stopping()
	return stopping && left < objective(job, route)
}

func (s *Server) answered(r Record, config *fleet.Config, route *fleet.Route, ctx *fasthttp.RequestCtx, began time.Time) {
	r.Route, r.Status = route.Name, ctx.Response.StatusCode()
	r.Took, r.ConfigVersion = clock.Since(began), config.Version
	r.Late = r.Objective > 0 && r.Took > r.Objective
	s.record.RecordResponse(r)
}

// respond writes the answer for a verdict.
func respond(ctx *fasthttp.RequestCtx, a Response) {
	switch a.Verdict {
	case Completed:
		sendJSON(ctx, fasthttp.StatusOK, platform.EncodeState(fleet.StateCompleted))
	case Failed:
		sendJSON(ctx, fasthttp.StatusOK, platform.EncodeState(fleet.StateFailed))
	case NotRun:
		refuse(ctx, a.Reason, a.RetryAfter)
	default:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

// refuse answers that nothing has run or will, and when to come back.
func refuse(ctx *fasthttp.RequestCtx, reason string, after time.Duration) {
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(after.Seconds()))))
	ctx.Error(reason, fasthttp.StatusServiceUnavailable)
}

// problem answers a request that is wrong.
func problem(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if failure.Is(err, failure.TooLarge) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	ctx.Error(failure.FieldOf(err)+": "+failure.Text(err), status)
}

func sendJSON(ctx *fasthttp.RequestCtx, status int, body []byte) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
