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

// Recorder records the responses of a Server for logs and metrics.
type Recorder interface {
	RecordResponse(r Record)
}

// Record describes the response to one submitted job.
type Record struct {
	Job, Route string
	Status     int // HTTP status code
	Response
	Took          time.Duration // from reading the request to the response
	Timeout       time.Duration // how long the customer waits, as stated in its request
	Objective     time.Duration // latency objective of the job; 0 if it was rejected at once
	Late          bool          // Took exceeds Objective
	Tasks         int           // number of tasks of the job
	ConfigVersion uint64        // version of the configuration under which the job was handled
}

// ShutdownStatus reports whether a planned shutdown of the instance is under way, and how
// much time is left for jobs until the instance exits. Customers keep sending jobs on their
// open connections during a shutdown. The instance accepts those jobs that can complete in
// the time that is left, and closes each connection after a response.
type ShutdownStatus func() (left time.Duration, stopping bool)

// ConfigSource returns the current configuration, or nil if none has been received yet.
type ConfigSource func() *fleet.Config

const (
	// defaultTimeout is how long a customer waits that does not state a timeout.
	defaultTimeout = 5 * time.Second
	// responseMargin is how long before the customer's deadline a job is timed out, so that
	// the response still arrives in time. It may take up to a round trip.
	responseMargin = 30 * time.Millisecond
	// maxBodyBytes is the maximum size of a request body. The configuration can only set a
	// lower limit.
	maxBodyBytes = 1 << 20
	// readBufferBytes is the size of the read buffer, and so the maximum size of the header
	// of a request.
	readBufferBytes = 16 << 10
	// idleTimeout is how long a customer's connection may be idle before it is closed.
	idleTimeout = 2 * time.Minute
)

// Server is the HTTP server for customers.
type Server struct {
	coordinator    *Coordinator
	canceller      Canceller
	config         ConfigSource
	recorder       Recorder
	shutdownStatus ShutdownStatus
	http           *fasthttp.Server
}

// NewServer returns a Server that is not serving yet. Call Serve to start it.
func NewServer(coordinator *Coordinator, canceller Canceller, config ConfigSource, shutdownStatus ShutdownStatus, recorder Recorder) *Server {
	s := &Server{coordinator: coordinator, canceller: canceller, config: config, recorder: recorder, shutdownStatus: shutdownStatus}
	s.http = &fasthttp.Server{
		Handler: s.handleAndClose, MaxRequestBodySize: maxBodyBytes, ReadBufferSize: readBufferBytes, IdleTimeout: idleTimeout,
		NoDefaultServerHeader: true, NoDefaultDate: true, NoDefaultContentType: true,
		DisablePreParseMultipartForm: true, CloseOnShutdown: true,
	}
	return s
}

// Serve serves the connections that l accepts until l is closed. If the operating system
// cannot report whether the peer has closed a connection, Serve returns an Internal error and
// serves nothing. Otherwise a job could run here for a customer that has disconnected and
// sent the job to another instance.
func (s *Server) Serve(l net.Listener) error {
	watched, err := newWatchedListener(l, s.coordinator.clock.Suspended)
	if err != nil {
		return err
	}
	return s.http.Serve(watched)
}

// handleAndClose handles a request. It closes the connection afterwards if the instance is shutting
// down, or if the machine has been suspended since the customer connected: then each further job
// on it would be rejected.
func (s *Server) handleAndClose(ctx *fasthttp.RequestCtx) {
	s.handle(ctx)
	_, stopping := s.shutdownStatus()
	if stopping || suspendedSince(suspendedBefore(ctx.Conn()), s.coordinator.clock.Suspended()) {
		ctx.SetConnectionClose()
	}
}

func (s *Server) handle(ctx *fasthttp.RequestCtx) {
	config := s.config()
	if config == nil {
		writeUnavailable(ctx, "no configuration yet", minRetryAfter)
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
		s.handleQueue(ctx, route)
		return
	}
	if err := platform.ValidateJobID(id); err != nil {
		writeError(ctx, err)
		return
	}
	s.handleJob(ctx, config, route, strings.Clone(id))
}

func (s *Server) handleJob(ctx *fasthttp.RequestCtx, config *fleet.Config, route *fleet.Route, id string) {
	switch {
	case ctx.IsPost():
		s.handleSubmit(ctx, config, route, id)
	case ctx.IsGet():
		s.handleState(ctx, id)
	case ctx.IsDelete():
		s.handleCancel(ctx, id)
	default:
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
	}
}

// handleQueue responds to a GET request for the path prefix of a route with the number of
// jobs of the route that are waiting here.
func (s *Server) handleQueue(ctx *fasthttp.RequestCtx, route *fleet.Route) {
	if !ctx.IsGet() {
		ctx.SetStatusCode(fasthttp.StatusMethodNotAllowed)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, platform.EncodeWaiting(s.coordinator.WaitingJobs(route.Name)))
}

func (s *Server) handleState(ctx *fasthttp.RequestCtx, id string) {
	state, isOpen := s.coordinator.State(id)
	if !isOpen {
		ctx.SetStatusCode(fasthttp.StatusGone)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, platform.EncodeState(state))
}

func (s *Server) handleSubmit(ctx *fasthttp.RequestCtx, config *fleet.Config, route *fleet.Route, id string) {
	receivedAt := clock.Now()
	job, err := parseJob(config, id, ctx.PostBody())
	if err != nil {
		writeError(ctx, err)
		s.recordResponse(Record{Job: id, Response: Response{Verdict: NotRun, Reason: failure.Text(err)}}, config, route, ctx, receivedAt)
		return
	}
	record := Record{Job: id, Tasks: job.Steps[0].Count}
	if reason := s.rejectReason(job, route); reason != "" {
		writeUnavailable(ctx, reason, minRetryAfter)
		record.Response = Response{Verdict: NotRun, Reason: reason}
		s.recordResponse(record, config, route, ctx, receivedAt)
		return
	}
	timeout := platform.ParseDeadline(string(ctx.Request.Header.Peek(platform.HeaderDeadline)))
	if timeout == 0 {
		timeout = defaultTimeout
	}
	disconnected, stopWatching := watchDisconnect(ctx.Conn())
	request := Request{Job: job, Route: route, Timeout: timeout - responseMargin, Disconnected: disconnectCheck(ctx.Conn()), SuspendedBefore: suspendedBefore(ctx.Conn())}
	record.Objective, record.Timeout = request.Objective(), timeout
	record.Response = s.coordinator.Run(request, disconnected)
	stopWatching()
	writeResponse(ctx, record.Response)
	s.recordResponse(record, config, route, ctx, receivedAt)
}

// parseJob decodes the body of a job. It returns a TooLarge error if the body exceeds the
// limit in the configuration.
func parseJob(config *fleet.Config, id string, body []byte) (*fleet.Job, error) {
	if config.MaxBodyBytes > 0 && len(body) > config.MaxBodyBytes {
		return nil, failure.Field(failure.TooLarge, "body", "has %d bytes, over %d", len(body), config.MaxBodyBytes)
	}
	return platform.ParseJob(id, body)
}

// rejectReason returns why a job must be rejected before any offer is made, or "" if the job
// is acceptable.
func (s *Server) rejectReason(job *fleet.Job, route *fleet.Route) string {
	switch {
	case s.shutsDownBefore(job, route):
		return "this instance ends"
	case route.Advised:
		return "not offered: advice"
	case job.Unsupported != "":
		return "not offered: " + job.Unsupported
	default:
		return ""
	}
}

// shutsDownBefore reports whether the instance will exit, in a planned shutdown, before the
// latency objective of a job has passed. A job with enough time is accepted, which saves its
// customer from having to send it to another instance.
func (s *Server) shutsDownBefore(job *fleet.Job, route *fleet.Route) bool {
	left, stopping := s.shutdownStatus()
	return stopping && left < objective(job, route)
}

func (s *Server) recordResponse(r Record, config *fleet.Config, route *fleet.Route, ctx *fasthttp.RequestCtx, receivedAt time.Time) {
	r.Route, r.Status = route.Name, ctx.Response.StatusCode()
	r.Took, r.ConfigVersion = clock.Since(receivedAt), config.Version
	r.Late = r.Objective > 0 && r.Took > r.Objective
	s.recorder.RecordResponse(r)
}

// writeResponse writes the HTTP response for a verdict. CustomerLeft and Unknown result in
// status 504.
func writeResponse(ctx *fasthttp.RequestCtx, r Response) {
	switch r.Verdict {
	case Completed:
		writeJSON(ctx, fasthttp.StatusOK, platform.EncodeState(fleet.StateCompleted))
	case Failed:
		writeJSON(ctx, fasthttp.StatusOK, platform.EncodeState(fleet.StateFailed))
	case NotRun:
		writeUnavailable(ctx, r.Reason, r.RetryAfter)
	default:
		ctx.SetStatusCode(fasthttp.StatusGatewayTimeout)
	}
}

// writeUnavailable responds with status 503, and with the time after which the customer should send
// the request again. To a submission it means that no task of the job has run or will run.
func writeUnavailable(ctx *fasthttp.RequestCtx, reason string, retryAfter time.Duration) {
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.Itoa(int(math.Ceil(retryAfter.Seconds()))))
	writeText(ctx, fasthttp.StatusServiceUnavailable, reason)
}

// writeError responds to an invalid request, with status 413 for a TooLarge error and 400 for
// all others.
func writeError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	if failure.Is(err, failure.TooLarge) {
		status = fasthttp.StatusRequestEntityTooLarge
	}
	writeText(ctx, status, failure.FieldOf(err)+": "+failure.Text(err))
}

// writeText writes a response in plain text. Unlike ctx.Error, it keeps the headers already set.
func writeText(ctx *fasthttp.RequestCtx, status int, text string) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("text/plain; charset=utf-8")
	ctx.SetBodyString(text)
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, body []byte) {
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}
