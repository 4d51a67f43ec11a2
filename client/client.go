// Package client is the callers' library. It opens sessions, submits jobs
// under keys, resubmits when an answer is lost, and tells the fate of each job
// as the system proves it: what may have run is never run again behind the
// caller's back.
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

// Config is what a Client needs to know. Zero values get the defaults.
type Config struct {
	// Entries are hosts and ports of entries, or of the balancer before them.
	Entries []string
	// Caller names who submits.
	Caller string
	// CallTimeout bounds one call beyond the deadline of its job.
	CallTimeout time.Duration
	// MaxConns bounds the connections to each entry.
	MaxConns int
	// Dial opens a connection; nil is TCP. Tests cut and delay here.
	Dial   func(address string) (net.Conn, error)
	Tracer *tracing.Tracer
}

// Defaults of Config.
const (
	DefaultCallTimeout = 3 * time.Second
	DefaultMaxConns    = 512
	defaultDeadline    = 30 * time.Second
)

// Job is the work of one submission.
type Job struct {
	Service    string
	Repeatable bool
	// Deadline bounds the job from its acceptance on; zero is the service's.
	Deadline time.Duration
	Tasks    []api.Task
}

// Client submits jobs for one caller. It is safe for concurrent use.
type Client struct {
	cfg     Config
	http    *fasthttp.Client
	turn    atomic.Uint64
	resends atomic.Int64

	mu      sync.Mutex
	session *session
}

// session is an open session and the entry that opened it, which is the home
// of its jobs.
type session struct {
	token    fate.Session
	home     string
	expires  time.Time
	sequence atomic.Uint64
}

// New returns a client. The error is InvalidInput.
func New(cfg Config) (*Client, error) {
	if len(cfg.Entries) == 0 {
		return nil, failure.Field(failure.InvalidInput, "entries", "names no entry")
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

// Resends returns how many calls were made again.
func (c *Client) Resends() int64 { return c.resends.Load() }

// entry returns the next entry in turn.
func (c *Client) entry() string {
	return c.cfg.Entries[c.turn.Add(1)%uint64(len(c.cfg.Entries))]
}

// open returns a session that takes new jobs.
func (c *Client) open(ctx context.Context) (*session, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.session; s != nil && time.Now().Before(s.expires) {
		return s, nil
	}
	var err error
	for range 2 * len(c.cfg.Entries) {
		home := c.entry()
		var opened api.SessionOpened
		if err = c.call(ctx, home, http.MethodPost, api.PathSessions, api.OpenSession{Caller: c.cfg.Caller}, "", c.cfg.CallTimeout, &opened); err == nil {
			const margin = 0.8 // of the session's life
			life := time.Duration(margin*float64(opened.ExpiresInMs)) * time.Millisecond
			c.session = &session{token: opened.Session, home: home, expires: time.Now().Add(life)}
			return c.session, nil
		}
		if failure.Is(err, failure.InvalidInput) || ctx.Err() != nil {
			break
		}
	}
	return nil, err
}

// Leave makes the next job open another session than s has.
func (c *Client) Leave(s *Submission) { c.leave(s.s) }

// leave makes the next job open another session.
func (c *Client) leave(s *session) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.session == s {
		c.session = nil
	}
}

// Submission is a job under its key. Submit may be called again after an
// error, and then joins what runs or learns what it became.
type Submission struct {
	c        *Client
	s        *session
	request  api.Submission // but for the attempt
	attempts atomic.Uint32
	deadline time.Duration
}

// Prepare gives a job its key.
func (c *Client) Prepare(ctx context.Context, job Job) (*Submission, error) {
	s, err := c.open(ctx)
	if err != nil {
		return nil, err
	}
	deadline := job.Deadline
	if deadline == 0 {
		deadline = defaultDeadline
	}
	return &Submission{c: c, s: s, deadline: deadline, request: api.Submission{
		Session: s.token, Sequence: s.sequence.Add(1), Service: job.Service, Repeatable: job.Repeatable,
		DeadlineMs: uint32(job.Deadline.Milliseconds()), Tasks: job.Tasks,
	}}, nil
}

// Key returns the key of the submission.
func (s *Submission) Key() fate.Key { return s.request.Key() }

// SendTo makes one call to one entry, as the next attempt under the key.
func (s *Submission) SendTo(ctx context.Context, entry string) (api.Answer, error) {
	request := s.request
	request.Attempt = s.attempts.Add(1)
	if request.Attempt > 1 {
		s.c.resends.Add(1)
	}
	span := s.c.cfg.Tracer.Start("", "caller")
	defer span.End()
	var answer api.Answer
	err := s.c.call(ctx, entry, http.MethodPost, api.PathJobs, &request, span.Traceparent(), s.deadline+s.c.cfg.CallTimeout, &answer)
	return answer, err
}

// Submit sends the job to its home, and to other entries when that does not
// answer, until its fate is known. The error is typed, and means that the fate
// was not learned; Submit may be called again.
func (s *Submission) Submit(ctx context.Context) (api.Answer, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 20 * time.Millisecond
	pause.MaxInterval = 500 * time.Millisecond
	began := time.Now()
	entry := s.s.home
	for {
		answer, err := s.SendTo(ctx, entry)
		if err == nil && answer.Fate.Final() {
			return answer, nil
		}
		if err != nil && !again(err) {
			return answer, err
		}
		if err != nil {
			s.c.leave(s.s) // its home may be lost: new jobs go elsewhere
		}
		if time.Since(began) > s.deadline+s.c.cfg.CallTimeout {
			return answer, failure.Timeout.New("the fate of %s was not learned in time", s.Key())
		}
		entry = s.c.entry()
		select {
		case <-ctx.Done():
			return answer, failure.Timeout.New("the caller stopped waiting")
		case <-time.After(pause.NextBackOff()):
		}
	}
}

// again reports whether a call that ended with err may be made again under the
// same key: only where no answer came.
func again(err error) bool {
	return failure.Is(err, failure.Lost) || failure.Is(err, failure.Unreachable) || failure.Is(err, failure.Timeout)
}

// maxRekeys bounds how often one job is given a new key.
const maxRekeys = 8

// Do runs a job and returns its fate. A job that provably did not run because
// its home or session ended is given a new key and sent again; one that may
// have run is not.
func (c *Client) Do(ctx context.Context, job Job) (api.Answer, error) {
	var answer api.Answer
	for range maxRekeys {
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
		c.leave(s.s)
	}
	return answer, nil
}

// HomeEnded reports whether a job was not run only for where it was sent: it
// may be sent again under a new key, also where it is not repeatable.
func HomeEnded(a *api.Answer) bool {
	switch a.Reason {
	case fate.ReasonNeverReachedWitness, fate.ReasonWitnessLost, fate.ReasonStopping, fate.ReasonHomeLost:
		return a.Fate == fate.NotRun
	default:
		return false
	}
}

// State asks any entry what is known of a job.
func (c *Client) State(ctx context.Context, key fate.Key, wait time.Duration) (api.Answer, error) {
	var answer api.Answer
	query := keyQuery(key)
	query.Set("wait_ms", strconv.FormatInt(wait.Milliseconds(), 10))
	err := c.call(ctx, c.entry(), http.MethodGet, api.PathJobs+"?"+query.Encode(), nil, "", wait+c.cfg.CallTimeout, &answer)
	return answer, err
}

// Cancel ends a job early and returns what is then known of it.
func (c *Client) Cancel(ctx context.Context, key fate.Key) (api.Answer, error) {
	var answer api.Answer
	err := c.call(ctx, c.entry(), http.MethodDelete, api.PathJobs+"?"+keyQuery(key).Encode(), nil, "", 2*c.cfg.CallTimeout, &answer)
	return answer, err
}

func keyQuery(key fate.Key) url.Values {
	return url.Values{
		"session":    {string(key.Session)},
		"sequence":   {strconv.FormatUint(key.Sequence, 10)},
		"generation": {strconv.FormatUint(uint64(key.Generation), 10)},
	}
}

// Instances returns the entries as one of them sees them.
func (c *Client) Instances(ctx context.Context) ([]api.InstanceStatus, error) {
	var list []api.InstanceStatus
	err := c.call(ctx, c.entry(), http.MethodGet, api.PathInstances, nil, "", c.cfg.CallTimeout, &list)
	return list, err
}

// call makes one call, and never twice. The error is Lost where no whole
// answer came, and else the type of the problem that the entry answered.
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
			return failure.Field(failure.InvalidInput, "body", "does not encode: %v", err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(raw)
	}
	if err := c.http.Do(req, res); err != nil {
		c.http.CloseIdleConnections() // others to a lost entry are dead as well
		return failure.Lost.Wrap(err, "entry %s gave no answer", entry)
	}
	return read(entry, res, into)
}

func read(entry string, res *fasthttp.Response, into any) error {
	switch res.StatusCode() {
	case http.StatusOK, http.StatusAccepted:
		if err := json.Unmarshal(res.Body(), into); err != nil {
			return failure.Lost.Wrap(err, "the answer of entry %s is cut off", entry)
		}
		return nil
	}
	var p api.Problem
	if err := json.Unmarshal(res.Body(), &p); err != nil || p.Code == "" {
		return failure.Lost.New("entry %s answered status %d", entry, res.StatusCode())
	}
	return p.Err()
}
