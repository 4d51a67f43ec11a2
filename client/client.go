// Package client is the Go client library for callers. It opens sessions, submits each job
// under a key, resubmits the job under the same key if an answer is lost, and returns the
// job's fate: its final outcome. A job that may have run is never run again without the
// caller's knowledge.
//
// A session is opened at one instance, the home of the session's jobs. The key of a job consists
// of its session, a sequence number within the session, and a generation. Any instance can be
// asked for the fate of any key.
package client

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/tracing"

	"github.com/cenkalti/backoff/v5"
	"github.com/valyala/fasthttp"
)

// Config configures a Client. Zero values mean the defaults.
type Config struct {
	// Entries are the addresses, with ports, of instances or of a load balancer in
	// front of them.
	Entries []string
	// Caller is the name of the caller who submits the jobs.
	Caller string
	// CallTimeout is the maximum duration of a call. Calls that wait for a job may take
	// longer by the deadline of the job.
	CallTimeout time.Duration
	// MaxConns is the maximum number of connections to each address.
	MaxConns int
	// Dial opens a connection; nil means TCP. Tests replace it to cut and delay
	// connections.
	Dial   func(address string) (net.Conn, error)
	Tracer *tracing.Tracer
}

// Defaults of Config.
const (
	DefaultCallTimeout = 3 * time.Second
	DefaultMaxConns    = 512
	defaultDeadline    = 30 * time.Second // assumed for the timeouts of calls if a job has no deadline
)

// Job describes the work to submit.
type Job struct {
	Service    string
	Repeatable bool
	// Deadline is the time from the acceptance of the job until the job must be complete;
	// 0 means the default of the service.
	Deadline time.Duration
	Tasks    []api.Task
}

// Client submits jobs for one caller. It is safe for concurrent use.
type Client struct {
	cfg         Config
	http        *fasthttp.Client
	rotation    atomic.Uint64
	resendCount atomic.Int64

	mu      sync.Mutex
	session *session
}

// session is an open session. The instance that opened it is the home of the session's jobs:
// it accepts the jobs and starts their tasks.
type session struct {
	token    fate.Session
	home     string
	expires  time.Time
	sequence atomic.Uint64
}

// New returns a client. The error is of type InvalidInput if cfg is invalid.
func New(cfg Config) (*Client, error) {
	if len(cfg.Entries) == 0 {
		return nil, failure.Field(failure.InvalidInput, "entries", "must have at least one address")
	}
	if err := api.CheckName("caller", cfg.Caller); err != nil {
		return nil, err
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.MaxConns == 0 {
		cfg.MaxConns = DefaultMaxConns
	}
	if cfg.Tracer == nil {
		cfg.Tracer = tracing.Disabled()
	}
	if cfg.Dial == nil {
		cfg.Dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
	}
	return &Client{cfg: cfg, http: &fasthttp.Client{
		Dial: cfg.Dial, MaxConnsPerHost: cfg.MaxConns, MaxIdemponentCallAttempts: 1,
		RetryIfErr:          func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxIdleConnDuration: 30 * time.Second, NoDefaultUserAgentHeader: true,
	}}, nil
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Resends returns the number of calls so far that submitted a job again under the same key.
func (c *Client) Resends() int64 { return c.resendCount.Load() }

// nextEntry returns the next of the configured addresses, in rotation.
func (c *Client) nextEntry() string {
	return c.cfg.Entries[c.rotation.Add(1)%uint64(len(c.cfg.Entries))]
}

// openSession returns the current session, or opens one if there is none that accepts new
// jobs.
func (c *Client) openSession(ctx context.Context) (*session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.session; s != nil && time.Now().Before(s.expires) {
		return s, nil
	}
	var err error
	for range 2 * len(c.cfg.Entries) {
		home := c.nextEntry()
		var opened api.SessionOpened
		if err = c.call(ctx, home, http.MethodPost, api.PathSessions, api.OpenSession{Caller: c.cfg.Caller}, "", c.cfg.CallTimeout, &opened); err == nil {
			const margin = 0.8 // share of the session's lifetime during which it is used for new jobs
			duration := time.Duration(margin*float64(opened.ExpiresInMs)) * time.Millisecond
			c.session = &session{token: opened.Session, home: home, expires: time.Now().Add(duration)}
			return c.session, nil
		}
		if failure.Is(err, failure.InvalidInput) || ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// Leave makes the client stop using the session of s for new jobs. If that is the current
// session, the client opens a new one for the next job.
func (c *Client) Leave(s *Submission) { c.dropSession(s.session) }

// dropSession makes the client open a new session for the next job if s is the current one.
func (c *Client) dropSession(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == s {
		c.session = nil
	}
}

// Submission is a job with its key. Submit can be called again after an error: it waits until
// the job has ended, and returns the fate of the job.
type Submission struct {
	client   *Client
	session  *session
	request  api.Submission // without the attempt number
	attempts atomic.Uint32
	deadline time.Duration
}

// Prepare assigns a key to a job. It opens a session if there is none.
func (c *Client) Prepare(ctx context.Context, job Job) (*Submission, error) {
	s, err := c.openSession(ctx)
	if err != nil {
		return nil, err
	}
	deadline := job.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	return &Submission{client: c, session: s, deadline: deadline, request: api.Submission{
		Session: s.token, Sequence: s.sequence.Add(1), Service: job.Service, Repeatable: job.Repeatable,
		DeadlineMs: uint32(job.Deadline.Milliseconds()), Tasks: job.Tasks,
	}}, nil
}

// Key returns the key of the submission.
func (s *Submission) Key() fate.Key { return s.request.Key() }

// SendTo submits the job to the instance at the address entry, in one call without retries.
// The call counts as the next attempt under the key.
func (s *Submission) SendTo(ctx context.Context, entry string) (api.Answer, error) {
	request := s.request
	request.Attempt = s.attempts.Add(1)
	if request.Attempt > 1 {
		s.client.resendCount.Add(1)
	}
	span := s.client.cfg.Tracer.Start("", "caller")
	defer span.End()
	var answer api.Answer
	err := s.client.call(ctx, entry, http.MethodPost, api.PathJobs, &request, span.Traceparent(), s.deadline+s.client.cfg.CallTimeout, &answer)
	return answer, err
}

// Submit sends the job to its home, and to other instances if the home does not answer, until
// the fate of the job is known. It returns an error if an instance refuses the request, if ctx
// ends, or if the fate is not known when the deadline and CallTimeout have passed. After the
// last two errors, the job may have run, and Submit can be called again.
func (s *Submission) Submit(ctx context.Context) (api.Answer, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 20 * time.Millisecond
	pause.MaxInterval = 500 * time.Millisecond
	start := time.Now()
	entry := s.session.home
	for {
		answer, err := s.SendTo(ctx, entry)
		if err == nil && answer.Fate.Final() {
			return answer, nil
		}
		if err != nil && !mayRetry(err) {
			return answer, err
		}
		if err != nil {
			s.client.dropSession(s.session) // the home of the session may be lost, so new jobs need another session
		}
		if time.Since(start) > s.deadline+s.client.cfg.CallTimeout {
			return answer, failure.Timeout.New("the outcome of job %s was not received in time", s.Key())
		}
		entry = s.client.nextEntry()
		select {
		case <-ctx.Done():
			return answer, failure.Timeout.New("the caller stopped waiting")
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// mayRetry reports whether Submit tries again, under the same key, after a call that returned
// err. It does so if no complete answer was received, or if the instance answered that another
// instance could not be reached or did not reply in time.
func mayRetry(err error) bool {
	return failure.Is(err, failure.Lost) || failure.Is(err, failure.Unreachable) || failure.Is(err, failure.Timeout)
}

// maxKeysPerJob is the maximum number of keys under which Do submits a job. After that, Do
// returns the last answer.
const maxKeysPerJob = 8

// Do submits a job and returns its fate. If it is certain that the job did not run, because its
// home or its session ended, Do submits the job again under a new key. A job that may have run
// is not submitted under a new key.
func (c *Client) Do(ctx context.Context, job Job) (api.Answer, error) {
	var answer api.Answer
	for range maxKeysPerJob {
		s, err := c.Prepare(ctx, job)
		if err != nil {
			return answer, err
		}
		answer, err = s.Submit(ctx)
		switch {
		case failure.Is(err, failure.SessionEnded), failure.Is(err, failure.Stopping):
		case err != nil:
			return answer, err
		case HomeEnded(&answer):
		default:
			return answer, nil
		}
		c.dropSession(s.session)
	}
	return answer, nil
}

// HomeEnded reports whether the job with the answer a was not run, for the sole reason that the
// instances responsible for it were lost or shut down. Such a job can be submitted again under
// a new key, even if it is not repeatable.
func HomeEnded(a *api.Answer) bool {
	switch a.Reason {
	case fate.ReasonNeverReachedWitness, fate.ReasonWitnessLost, fate.ReasonStopping, fate.ReasonHomeLost:
		return a.Fate == fate.NotRun
	default:
		return false
	}
}

// State returns what is known of a job. It asks one of the instances, which answers when the
// fate of the job is known or the time wait has passed.
func (c *Client) State(ctx context.Context, key fate.Key, wait time.Duration) (api.Answer, error) {
	var answer api.Answer
	query := keyQuery(key)
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	err := c.call(ctx, c.nextEntry(), http.MethodGet, api.PathJobs+"?"+query.Encode(), nil, "", wait+c.cfg.CallTimeout, &answer)
	return answer, err
}

// Cancel ends a job early and returns what is known of the job afterwards.
func (c *Client) Cancel(ctx context.Context, key fate.Key) (api.Answer, error) {
	var answer api.Answer
	err := c.call(ctx, c.nextEntry(), http.MethodDelete, api.PathJobs+"?"+keyQuery(key).Encode(), nil, "", 2*c.cfg.CallTimeout, &answer)
	return answer, err
}

func keyQuery(key fate.Key) url.Values {
	return url.Values{
		"session":    {string(key.Session)},
		"sequence":   {strconv.FormatUint(key.Sequence, 10)},
		"generation": {strconv.FormatUint(uint64(key.Generation), 10)},
	}
}

// Instances returns the instances and their states, as seen by the instance that answers.
func (c *Client) Instances(ctx context.Context) ([]api.InstanceStatus, error) {
	var list []api.InstanceStatus
	err := c.call(ctx, c.nextEntry(), http.MethodGet, api.PathInstances, nil, "", c.cfg.CallTimeout, &list)
	return list, err
}

// call sends one request, at most once, and decodes the answer into the value that into points
// to. The error is of type Timeout if ctx ended before the call, and Lost if no complete answer
// was received. If the instance answered with a problem document, the error has its type.
func (c *Client) call(ctx context.Context, entry, method, path string, body any, trace string, timeout time.Duration, into any) error {
	if ctx.Err() != nil {
		return failure.Timeout.New("the caller stopped waiting")
	}
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + entry + path)
	req.SetTimeout(timeout)
	if trace != "" {
		req.Header.Set(api.HeaderTrace, trace)
	}
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return failure.Field(failure.InvalidInput, "body", "cannot be encoded as JSON: %v", err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(raw)
	}
	if err := c.http.Do(req, res); err != nil {
		c.http.CloseIdleConnections() // if the instance is lost, its other connections are broken too
		return failure.Lost.Wrap(err, "no answer from instance %s", entry)
	}
	return readAnswer(entry, res, into)
}

func readAnswer(entry string, res *fasthttp.Response, into any) error {
	switch res.StatusCode() {
	case http.StatusOK, http.StatusAccepted:
		if err := json.Unmarshal(res.Body(), into); err != nil {
			return failure.Lost.Wrap(err, "the answer of instance %s is incomplete", entry)
		}
		return nil
	}
	var p api.Problem
	if err := json.Unmarshal(res.Body(), &p); err != nil || p.Code == "" {
		return failure.Lost.New("instance %s answered with status %d", entry, res.StatusCode())
	}
	return p.Err()
}
