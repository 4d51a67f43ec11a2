// Package upstream is the client of the upstreams' HTTP interface. It starts tasks under
// leases, and looks up, renews and stops those leases.
//
// A lease identifies one attempt to run a task on an upstream. It expires after a given time
// unless it is renewed. An incarnation is one run of an upstream process.
//
// The client sends every request at most once. An error of type Unreachable means that no
// byte of the request was sent. An error of type Lost means that the upstream may have
// received the request.
package upstream

import (
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"encoding/json"

	"github.com/valyala/fasthttp"
)

// StartRequest is a request to start a task.
type StartRequest struct {
	Lease       string
	LeaseMs     int64  // duration of the lease in milliseconds
	Incarnation string // incarnation of the upstream; any other refuses the start; "" means any
	Service     string
	Task        *fate.Task
	Trace       string
	Timeout     time.Duration // how long to wait for the reply, which the upstream sends when the task ends
}

// StartReply is the answer of an upstream to a StartRequest.
type StartReply struct {
	State   api.LeaseState // finished, failed, stopped or refused
	Refusal api.Refusal
	Body    []byte // result of the task, or the text of its error
}

// Client is a client of one upstream.
type Client struct {
	ID            string
	Address       string
	taskClient    *fasthttp.HostClient
	controlClient *fasthttp.HostClient
}

const (
	dialTimeout     = 500 * time.Millisecond
	controlTimeout  = time.Second
	freeConnTimeout = 50 * time.Millisecond // how long to wait for a connection if all are in use
	maxControlConns = 16
	// maxIdleConnTime is how long an idle connection is kept. It is shorter than the time
	// after which servers close idle connections, so that a request is rarely sent on a
	// connection that the server is closing and thereby lost.
	maxIdleConnTime = 4 * time.Second
	bufferBytes     = 8 << 10
	maxResultBytes  = 16 << 20
)

// notSentError wraps an error that occurred before the first byte of a request was sent.
type notSentError struct{ cause error }

func (e *notSentError) Error() string { return e.cause.Error() }
func (e *notSentError) Unwrap() error { return e.cause }

// DialFunc opens a connection to an upstream. Tests replace it to cut and delay
// connections.
type DialFunc func(address string) (net.Conn, error)

// NewClient returns a client of the upstream id at address. It opens at most the given number
// of connections for starting tasks, and up to maxControlConns others for all other requests.
// If dial is nil, it uses TCP.
func NewClient(id, address string, connections int, dial DialFunc) *Client {
	if dial == nil {
		dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) }
	}
	dialMarkingErrors := func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, &notSentError{err}
		}
		return conn, nil
	}
	return &Client{
		ID: id, Address: address,
		taskClient:    newHostClient(address, connections, dialMarkingErrors),
		controlClient: newHostClient(address, maxControlConns, dialMarkingErrors),
	}
}

func newHostClient(address string, connections int, dial fasthttp.DialFunc) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          dial,
		MaxConns:                      connections,
		MaxConnWaitTimeout:            freeConnTimeout,
		MaxIdleConnDuration:           maxIdleConnTime,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
		ReadBufferSize:                bufferBytes,
		WriteBufferSize:               bufferBytes,
		MaxResponseBodySize:           maxResultBytes,
	}
}

// Close closes the idle connections. Requests in progress are not interrupted.
func (c *Client) Close() {
	c.taskClient.CloseIdleConnections()
	c.controlClient.CloseIdleConnections()
}

// Start starts a task and waits until it ends or the upstream refuses to start it. The error is
// Unreachable if no byte was sent, or Lost if the task may have started.
func (c *Client) Start(s *StartRequest) (StartReply, error) {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	s.encode(req, c.Address)
	if err := c.taskClient.Do(req, res); err != nil {
		c.taskClient.CloseIdleConnections() // if the upstream is lost, its other connections are broken too
		return StartReply{}, classify(c.ID, err)
	}
	return readReply(c.ID, res)
}

func (s *StartRequest) encode(req *fasthttp.Request, address string) {
	req.Header.DisableNormalizing()
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + api.PathTasks)
	req.SetTimeout(s.Timeout)
	h := &req.Header
	h.Set(api.HeaderLease, s.Lease)
	h.Set(api.HeaderLeaseMs, strconv.FormatInt(s.LeaseMs, 10))
	h.Set(api.HeaderService, s.Service)
	h.SetContentType("application/json")
	if s.Incarnation != "" {
		h.Set(api.HeaderIncarnation, s.Incarnation)
	}
	if s.Trace != "" {
		h.Set(api.HeaderTrace, s.Trace)
	}
	if t := s.Task; t.CPU > 0 {
		h.Set(api.HeaderCPU, strconv.FormatFloat(t.CPU, 'g', -1, 64))
	}
	if t := s.Task; t.MemoryMB > 0 {
		h.Set(api.HeaderMemoryMB, strconv.FormatUint(t.MemoryMB, 10))
	}
	if t := s.Task; t.Accelerators > 0 {
		h.Set(api.HeaderAccelerators, strconv.FormatUint(uint64(t.Accelerators), 10))
	}
	req.SetBodyRaw(s.Task.Payload)
}

// classify returns the typed error for a failed request: Unreachable if no byte of the request
// was sent, and otherwise Lost.
func classify(id string, err error) error {
	var notSent *notSentError
	switch {
	case findNotSent(err, &notSent):
		return failure.Unreachable.Wrap(err, "cannot connect to upstream %s", id)
	case err == fasthttp.ErrNoFreeConns:
		return failure.Unreachable.Wrap(err, "all connections to upstream %s are in use", id)
	default:
		return failure.Lost.Wrap(err, "no valid answer from upstream %s", id)
	}
}

// findNotSent reports whether err or an error that it wraps is a notSentError, and if so,
// stores the notSentError in target.
func findNotSent(err error, target **notSentError) bool {
	for err != nil {
		if e, ok := err.(*notSentError); ok {
			*target = e
			return true
		}
		u, ok := err.(interface{ Unwrap() error })
		if !ok {
			return false
		}
		err = u.Unwrap()
	}
	return false
}

// readReply returns the reply in res. The error is Lost if res has no valid lease state, because
// such a response does not tell whether the task has started.
func readReply(id string, res *fasthttp.Response) (StartReply, error) {
	r := StartReply{State: api.LeaseState(res.Header.Peek(api.HeaderState)), Refusal: api.Refusal(res.Header.Peek(api.HeaderRefusal))}
	switch r.State {
	case api.LeaseFinished, api.LeaseFailed, api.LeaseStopped:
		r.Body = append([]byte(nil), res.Body()...)
		return r, nil
	case api.LeaseRefused:
		return r, nil
	default:
		return StartReply{}, failure.Lost.New("upstream %s answered with status %d and no valid lease state", id, res.StatusCode())
	}
}

// Lookup returns the state of a lease. If the task is still running, the upstream first waits
// until the task ends or the time wait has passed.
func (c *Client) Lookup(lease string, wait time.Duration) (api.LeaseInfo, error) {
	query := url.Values{"id": {lease}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var info api.LeaseInfo
	err := c.callControl(fasthttp.MethodGet, api.PathLease, query, wait+controlTimeout, &info)
	return info, err
}

// Stop stops the tasks of several leases in one request and returns the states of the leases,
// in the same order. A lease that the upstream has never seen becomes barred: if the start
// under this lease arrives later, the upstream refuses it.
func (c *Client) Stop(leases ...string) ([]api.LeaseInfo, error) {
	var infos []api.LeaseInfo
	err := c.callControl(fasthttp.MethodPost, api.PathStop, url.Values{"id": leases}, controlTimeout, &infos)
	if err == nil && len(infos) != len(leases) {
		err = failure.Protocol.New("upstream %s answered for %d of %d leases", c.ID, len(infos), len(leases))
	}
	return infos, err
}

// Bar bars a lease that the upstream has never seen, and returns the state of the lease. Unlike
// Stop, it does not stop the task if the start has arrived meanwhile.
func (c *Client) Bar(lease string) (api.LeaseInfo, error) {
	var infos []api.LeaseInfo
	err := c.callControl(fasthttp.MethodPost, api.PathStop, url.Values{"id": {lease}, api.QueryOnlyUnseen: {"1"}}, controlTimeout, &infos)
	if err != nil {
		return api.LeaseInfo{}, err
	}
	if len(infos) != 1 {
		return api.LeaseInfo{}, failure.Protocol.New("upstream %s answered for %d of 1 leases", c.ID, len(infos))
	}
	return infos[0], nil
}

// Renew makes a lease last for another leaseMs milliseconds from now on.
func (c *Client) Renew(lease string, leaseMs int64) (api.LeaseInfo, error) {
	return c.changeLease(api.PathRenew, url.Values{"id": {lease}, "lease_ms": {strconv.FormatInt(leaseMs, 10)}})
}

// Checkpoint makes the upstream save the progress of a task.
func (c *Client) Checkpoint(lease string) (api.LeaseInfo, error) {
	return c.changeLease(api.PathCheckpoint, url.Values{"id": {lease}})
}

// Throttle limits a task to a share of its cores, from 0 to 1.
func (c *Client) Throttle(lease string, share float64) (api.LeaseInfo, error) {
	return c.changeLease(api.PathThrottle, url.Values{"id": {lease}, "share": {strconv.FormatFloat(share, 'g', -1, 64)}})
}

// Usage returns the upstream's report of the resources that its tasks have used.
func (c *Client) Usage() (api.Usage, error) {
	var usage api.Usage
	err := c.callControl(fasthttp.MethodGet, api.PathUsage, nil, controlTimeout, &usage)
	return usage, err
}

// Info returns the upstream's description of itself.
func (c *Client) Info() (api.UpstreamInfo, error) {
	var info api.UpstreamInfo
	err := c.callControl(fasthttp.MethodGet, api.PathInfo, nil, controlTimeout, &info)
	return info, err
}

// changeLease makes a request that changes one lease, and returns the state of the lease.
func (c *Client) changeLease(path string, query url.Values) (api.LeaseInfo, error) {
	var info api.LeaseInfo
	err := c.callControl(fasthttp.MethodPost, path, query, controlTimeout, &info)
	return info, err
}

// callControl makes a request other than a start and decodes the answer into the value that
// into points to.
func (c *Client) callControl(method, path string, query url.Values, timeout time.Duration, into any) error {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.Address + path + "?" + query.Encode())
	req.SetTimeout(timeout)
	if err := c.controlClient.Do(req, res); err != nil {
		return classify(c.ID, err)
	}
	if res.StatusCode() != http.StatusOK {
		return failure.Refused.New("upstream %s answered with status %d", c.ID, res.StatusCode())
	}
	if err := json.Unmarshal(res.Body(), into); err != nil {
		return failure.Protocol.Wrap(err, "the answer of upstream %s is not the expected JSON", c.ID)
	}
	return nil
}
