// Package kv speaks to the key-value service of the product's own interface, with its list
// of instances. A write whose answer is lost has error type Lost: it may have
// taken effect, so the writer has to read back.
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

// Client speaks to one platform.
type Client struct {
	address string
	http    *fasthttp.Client
	timeout time.Duration
	count   func(kind string)
	conns   *connset.Set
}

const (
	defaultTimeout = 2 * time.Second
	dialTimeout    = time.Second
)

// NewClient returns a client of the platform at address. Count counts each
// call and may be nil. A nil dial is TCP.
func NewClient(address string, dial func(string) (net.Conn, error), count func(kind string)) *Client {
	if dial == nil {
		dial = func(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, dialTimeout) }
	}
	if count == nil {
		count = func(string) {}
	}
	conns := &connset.Set{}
	return &Client{
		address: address, timeout: defaultTimeout, count: count, conns: conns,
		http: &fasthttp.Client{
			Dial:                      conns.Dial(dial),
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// Close closes every connection, so that a waiting watch ends.
func (c *Client) Close() { c.conns.Close() }

// Get returns the entry of key; its version is zero where there is none.
func (c *Client) Get(key string) (api.KVEntry, error) {
	return c.read(url.Values{"key": {key}}, c.timeout)
}

// Watch returns the entry of key once its version is above after, or as it is
// when wait is over.
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

// CompareAndSwap writes w if the version is as expected. The error is Conflict where it
// is not, with the entry as it stands; Lost where the effect is not known.
func (c *Client) CompareAndSwap(w api.KVWrite) (api.KVEntry, error) {
	var entry api.KVEntry
	status, err := c.do(fasthttp.MethodPut, api.PathKV, w, c.timeout, &entry)
	if err == nil && status == http.StatusConflict {
		err = failure.Conflict.New("%s is at version %d, not %d", w.Key, entry.Version, w.Expect)
	}
	return entry, err
}

// GrantLease makes a lease of the given length.
func (c *Client) GrantLease(ttl time.Duration) (api.KVLease, error) {
	var l api.KVLease
	_, err := c.do(fasthttp.MethodPost, api.PathPlatformLeases, api.KVLease{TTLMs: ttl.Milliseconds()}, c.timeout, &l)
	return l, err
}

// RenewLease extends a lease by its length. The error is NotFound when it lapsed.
func (c *Client) RenewLease(l api.KVLease) error {
	status, err := c.do(fasthttp.MethodPut, api.PathPlatformLeases, l, c.timeout, &l)
	if err == nil && status == http.StatusNotFound {
		return failure.NotFound.New("lease %s has lapsed", l.ID)
	}
	return err
}

// Instances returns the list of live and leaving instances, which lags.
func (c *Client) Instances() ([]api.PlatformInstance, error) {
	var list api.PlatformInstances
	_, err := c.do(fasthttp.MethodGet, api.PathPlatformInstance, nil, c.timeout, &list)
	return list.Instances, err
}

func (c *Client) do(method, path string, body any, timeout time.Duration, into any) (int, error) {
	req := fasthttp.AcquireRequest()
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + c.address + path)
	req.SetTimeout(timeout)
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			return 0, failure.Internal.Wrap(err, "a call does not encode")
		}
		req.SetBody(raw)
	}
	c.count("platform")
	if err := c.http.Do(req, res); err != nil {
		return 0, failure.Lost.Wrap(err, "the platform does not answer")
	}
	switch status := res.StatusCode(); status {
	case http.StatusNotFound:
		return status, nil
	case http.StatusOK, http.StatusConflict:
		if err := json.Unmarshal(res.Body(), into); err != nil {
			return status, failure.Protocol.Wrap(err, "the platform sent no JSON")
		}
		return status, nil
	default:
		return status, failure.Refused.New("the platform answered status %d", status)
	}
}
