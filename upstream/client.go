// Package upstream speaks to upstreams: it starts tasks under leases, and asks
// after leases whose answer was lost.
//
// No request is ever sent twice here. An error of type Unreachable proves that
// no byte of a start left this process; Lost says that it may have arrived.
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

// StartRequest is the message that starts a task.
type StartRequest struct {
	Lease       string
	LeaseMs     int64
	Incarnation string // of the upstream, where it is known
	Service     string
	Task        *fate.Task
	Trace       string
	Timeout     time.Duration // how long to wait for the end on this connection
}

// StartReply is an upstream's answer to a start.
type StartReply struct {
	State   api.LeaseState // finished, failed, stopped or refused
	Refusal api.Refusal
	Body    []byte // the result, or the text of the failure
}

// Client speaks to one upstream.
type Client struct {
	ID      string
	Address string
	tasks   *fasthttp.HostClient
	control *fasthttp.HostClient
}

const (
	dialTimeout    = 500 * time.Millisecond
	controlTimeout = time.Second
	connWait       = 50 * time.Millisecond // for a connection to be free
	controlConns   = 16
	// idleConn is shorter than what servers keep idle connections for, so that
	// a start is rarely written to one that is being closed.
	idleConn  = 4 * time.Second
	ioBuffer  = 8 << 10
	maxResult = 16 << 20
)

// notSent marks an error from before the first byte was written.
type notSent struct{ cause error }

func (e *notSent) Error() string { return e.cause.Error() }
func (e *notSent) Unwrap() error { return e.cause }

// DialFunc opens a connection to an upstream. Tests cut and delay here.
type DialFunc func(address string) (net.Conn, error)

// NewClient returns a client of the upstream id at address that opens at most
// connections for tasks. A nil dial is TCP.
func NewClient(id, address string, connections int, dial DialFunc) *Client {
	if dial == nil {
		dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) }
	}
	provable := func(address string) (net.Conn, error) {
		conn, err := dial(address)
		if err != nil {
			return nil, &notSent{err}
		}
		return conn, nil
	}
	return &Client{
		ID: id, Address: address,
		tasks:   hostClient(address, connections, provable),
		control: hostClient(address, controlConns, provable),
	}
}

func hostClient(address string, connections int, dial fasthttp.DialFunc) *fasthttp.HostClient {
	return &fasthttp.HostClient{
		Addr:                          address,
		Dial:                          dial,
		MaxConns:                      connections,
		MaxConnWaitTimeout:            connWait,
		MaxIdleConnDuration:           idleConn,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:      true,
		DisableHeaderNamesNormalizing: true,
		DisablePathNormalizing:        true,
		ReadBufferSize:                ioBuffer,
		WriteBufferSize:               ioBuffer,
		MaxResponseBodySize:           maxResult,
	}
}

// CloseIdleConnections closes the idle connections.
func (c *Client) CloseIdleConnections() {
	c.tasks.CloseIdleConnections()
	c.control.CloseIdleConnections()
}

// Start starts a task and waits for its end.
func (c *Client) Start(s *StartRequest) (StartReply, error) {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	s.write(req, c.Address)
	if err := c.tasks.Do(req, res); err != nil {
		c.tasks.CloseIdleConnections() // others to a lost upstream are dead as well
		return StartReply{}, classify(c.ID, err)
	}
	return readReply(c.ID, res)
}

func (s *StartRequest) write(req *fasthttp.Request, address string) {
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

// classify tells what a failed exchange proves.
func classify(id string, err error) error {
	var early *notSent
	switch {
	case asNotSent(err, &early):
		return failure.Unreachable.Wrap(err, "upstream %s cannot be reached", id)
	case err == fasthttp.ErrNoFreeConns:
		return failure.Unreachable.Wrap(err, "every connection to upstream %s is in use", id)
	default:
		return failure.Lost.Wrap(err, "the answer of upstream %s was lost", id)
	}
}

func asNotSent(err error, target **notSent) bool {
	for err != nil {
		if e, ok := err.(*notSent); ok {
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

// readReply takes only what the protocol knows: any other answer says nothing
// of whether the task started.
func readReply(id string, res *fasthttp.Response) (StartReply, error) {
	r := StartReply{State: api.LeaseState(res.Header.Peek(api.HeaderState)), Refusal: api.Refusal(res.Header.Peek(api.HeaderRefusal))}
	switch r.State {
	case api.LeaseFinished, api.LeaseFailed, api.LeaseStopped:
		r.Body = append([]byte(nil), res.Body()...)
		return r, nil
	case api.LeaseRefused:
		return r, nil
	default:
		return StartReply{}, failure.Lost.New("upstream %s answered status %d without a state", id, res.StatusCode())
	}
}

// Lookup asks after a lease, and waits up to wait for its end.
func (c *Client) Lookup(lease string, wait time.Duration) (api.LeaseInfo, error) {
	query := url.Values{"id": {lease}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var info api.LeaseInfo
	err := c.exchange(fasthttp.MethodGet, api.PathLease, query, wait+controlTimeout, &info)
	return info, err
}

// Stop stops the tasks of leases, in one message. One that was never seen is
// barred: a start of it that is still on its way will be refused.
func (c *Client) Stop(leases ...string) ([]api.LeaseInfo, error) {
	var infos []api.LeaseInfo
	err := c.exchange(fasthttp.MethodPost, api.PathStop, url.Values{"id": leases}, controlTimeout, &infos)
	if err == nil && len(infos) != len(leases) {
		err = failure.Protocol.New("upstream %s answered %d of %d leases", c.ID, len(infos), len(leases))
	}
	return infos, err
}

// Renew extends a lease.
func (c *Client) Renew(lease string, leaseMs int64) (api.LeaseInfo, error) {
	return c.change(api.PathRenew, url.Values{"id": {lease}, "lease_ms": {strconv.FormatInt(leaseMs, 10)}})
}

// Checkpoint makes the upstream save a task's progress.
func (c *Client) Checkpoint(lease string) (api.LeaseInfo, error) {
	return c.change(api.PathCheckpoint, url.Values{"id": {lease}})
}

// Throttle limits a task to a share of its cores, within 0 and 1.
func (c *Client) Throttle(lease string, share float64) (api.LeaseInfo, error) {
	return c.change(api.PathThrottle, url.Values{"id": {lease}, "share": {strconv.FormatFloat(share, 'g', -1, 64)}})
}

// Usage returns the upstream's report of what its tasks used.
func (c *Client) Usage() (api.Usage, error) {
	var usage api.Usage
	err := c.exchange(fasthttp.MethodGet, api.PathUsage, nil, controlTimeout, &usage)
	return usage, err
}

// Info returns what the upstream says of itself.
func (c *Client) Info() (api.UpstreamInfo, error) {
	var info api.UpstreamInfo
	err := c.exchange(fasthttp.MethodGet, api.PathInfo, nil, controlTimeout, &info)
	return info, err
}

// change makes a call that changes one lease.
func (c *Client) change(path string, query url.Values) (api.LeaseInfo, error) {
	var info api.LeaseInfo
	err := c.exchange(fasthttp.MethodPost, path, query, controlTimeout, &info)
	return info, err
}

func (c *Client) exchange(method, path string, query url.Values, timeout time.Duration, into any) error {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.Address + path + "?" + query.Encode())
	req.SetTimeout(timeout)
	if err := c.control.Do(req, res); err != nil {
		return classify(c.ID, err)
	}
	if res.StatusCode() != http.StatusOK {
		return failure.Refused.New("upstream %s answered status %d", c.ID, res.StatusCode())
	}
	if err := json.Unmarshal(res.Body(), into); err != nil {
		return failure.Protocol.Wrap(err, "upstream %s sent no JSON", c.ID)
	}
	return nil
}
