// Package kv is a client of the platform, the system on which the fleet runs, through the
// interface that package api defines: a key-value service and a list of instances.
//
// An entry is a key with its value and version. Each write of a key increases its version, and
// a key that does not exist has version zero. A key can be tied to a lease, which its owner
// renews; when the lease ends, the key is deleted. If the error of a write is Lost, the write
// may have taken effect, and the caller has to read the entry to find out.
package kv

import (
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/connset"
	"github.com/sedgehatch/sedgehatch/failure"

	"github.com/valyala/fasthttp"
)

// Client is a client of one platform. It sends each request at most once.
type Client struct {
	address   string
	http      *fasthttp.Client
	timeout   time.Duration
	countCall func(kind string)
	conns     *connset.Set
}

const (
	defaultTimeout = 2 * time.Second
	dialTimeout    = time.Second
)

// NewClient returns a client of the platform at address. dial opens the connections; nil means
// TCP. count is called with the kind of message for each request; it may be nil.
func NewClient(address string, dial func(string) (net.Conn, error), count func(kind string)) *Client {
	if dial == nil {
		dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) }
	}
	if count == nil {
		count = func(string) {}
	}
	conns := &connset.Set{}
	return &Client{
		address: address, timeout: defaultTimeout, countCall: count, conns: conns,
		http: &fasthttp.Client{
			Dial:                      conns.Dial(dial),
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// Close closes all connections. A pending Watch then returns the error Lost.
func (c *Client) Close() { c.conns.Close() }

// Get returns the entry of key. The version of the entry is zero if the key does not exist.
func (c *Client) Get(key string) (api.KVEntry, error) {
	return c.read(url.Values{"key": {key}}, c.timeout)
}

// Watch waits until the version of key is higher than after or wait has passed, and returns
// the entry of key.
func (c *Client) Watch(key string, after uint64, wait time.Duration) (api.KVEntry, error) {
	query := url.Values{
		"key": {key}, "after": {strconv.FormatUint(after, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return c.read(query, wait+c.timeout)
}

func (c *Client) read(query url.Values, timeout time.Duration) (api.KVEntry, error) {
	var entry api.KVEntry
	_, err := c.do(fasthttp.MethodGet, api.PathKV+"?"+query.Encode(), nil, timeout, &entry)
	return entry, err
}

// CompareAndSwap writes w if the key has the version w.Expect, and returns the new entry.
// If the key has another version, it returns the current entry and the error Conflict. If the
// error is Lost, the write may have taken effect.
func (c *Client) CompareAndSwap(w api.KVWrite) (api.KVEntry, error) {
	var entry api.KVEntry
	status, err := c.do(fasthttp.MethodPut, api.PathKV, w, c.timeout, &entry)
	if err == nil && status == http.StatusConflict {
		err = failure.Conflict.New("%s has version %d, want %d", w.Key, entry.Version, w.Expect)
	}
	return entry, err
}

// GrantLease creates a lease, to which keys can be tied. The lease ends after ttl unless it is
// renewed.
func (c *Client) GrantLease(ttl time.Duration) (api.KVLease, error) {
	var lease api.KVLease
	_, err := c.do(fasthttp.MethodPost, api.PathPlatformLeases, api.KVLease{TTLMs: ttl.Milliseconds()}, c.timeout, &lease)
	return lease, err
}

// RenewLease makes a lease last for its TTL from now on. The error is NotFound if the lease has
// expired.
func (c *Client) RenewLease(lease api.KVLease) error {
	status, err := c.do(fasthttp.MethodPut, api.PathPlatformLeases, lease, c.timeout, &lease)
	if err == nil && status == http.StatusNotFound {
		return failure.NotFound.New("lease %s has expired", lease.ID)
	}
	return err
}

// Instances returns the platform's list of instances, including those that are shutting down.
// The list may be out of date.
func (c *Client) Instances() ([]api.PlatformInstance, error) {
	var list api.PlatformInstances
	_, err := c.do(fasthttp.MethodGet, api.PathPlatformInstance, nil, c.timeout, &list)
	return list.Instances, err
}

// do sends a request and returns the status of the response. It decodes the body into result
// if the status is 200 or 409. The statuses 404 and 409 are not errors here: the caller has to
// check for them. Every other status except 200 is the error Refused.
func (c *Client) do(method, path string, body any, timeout time.Duration, result any) (int, error) {
	req := fasthttp.AcquireRequest()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	req.SetTimeout(timeout)
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, failure.Internal.Wrap(err, "cannot encode the request body")
		}
		req.SetBody(raw)
	}
	c.countCall("platform")
	if err := c.http.Do(req, resp); err != nil {
		return 0, failure.Lost.Wrap(err, "no response from the platform")
	}
	switch status := resp.StatusCode(); status {
	case http.StatusNotFound:
		return status, nil
	case http.StatusOK, http.StatusConflict:
		if err := json.Unmarshal(resp.Body(), result); err != nil {
			return status, failure.Protocol.Wrap(err, "the response of the platform is not valid JSON")
		}
		return status, nil
	default:
		return status, failure.Refused.New("the platform responded with status %d", status)
	}
}
