package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/failure"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// PlatformFaults are the faults of the platform; all may change at any time.
type PlatformFaults struct {
	Down        atomic.Bool  // calls die unanswered and have no effect
	SlowMs      atomic.Int64 // every call takes this much longer
	DropAnswers atomic.Bool  // writes take effect, and their answer is lost
	ListLagMs   atomic.Int64 // how old the list of instances is
}

// Platform is a stand-in for the platform's key-value service and its list of
// instances.
type Platform struct {
	Faults   PlatformFaults
	listener net.Listener
	server   *fasthttp.Server
	done     chan struct{}
	reads    atomic.Int64
	writes   atomic.Int64

	mu        sync.Mutex
	values    map[string]api.KVEntry
	leaseOf   map[string]string // key to lease
	leases    map[string]time.Time
	changed   chan struct{} // closed and replaced at each write
	instances map[string]api.PlatformInstance
	history   []listing // the lists of the past, for the lag
}

type listing struct {
	at        time.Time
	instances []api.PlatformInstance
}

// StartPlatform makes a platform and serves it on listen; empty is any port of
// the loopback.
func StartPlatform(listen string) (*Platform, error) {
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, failure.Unreachable.Wrap(err, "the platform cannot listen")
	}
	p := &Platform{
		listener: listener, done: make(chan struct{}), changed: make(chan struct{}),
		values: map[string]api.KVEntry{}, leaseOf: map[string]string{}, leases: map[string]time.Time{},
		instances: map[string]api.PlatformInstance{},
	}
	p.server = &fasthttp.Server{Handler: p.serve, NoDefaultServerHeader: true, CloseOnShutdown: true}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Address returns the host and port that the platform listens on.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Close ends the platform.
func (p *Platform) Close() {
	select {
	case <-p.done:
		return
	default:
		close(p.done)
	}
	_ = p.listener.Close()
	_ = p.server.Shutdown()
}

// Calls returns the number of reads, watches among them, and of writes so far.
func (p *Platform) Calls() (reads, writes int64) { return p.reads.Load(), p.writes.Load() }

// PutInstance puts an instance on the list, or changes it.
func (p *Platform) PutInstance(i api.PlatformInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[i.ID] = i
	p.remember()
}

// RemoveInstance takes an instance off the list.
func (p *Platform) RemoveInstance(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, id)
	p.remember()
}

func (p *Platform) remember() {
	now := listing{at: time.Now()}
	for _, i := range p.instances {
		now.instances = append(now.instances, i)
	}
	p.history = append(p.history, now)
}

func (p *Platform) serve(ctx *fasthttp.RequestCtx) {
	read := ctx.IsGet()
	if read {
		p.reads.Add(1)
	} else {
		p.writes.Add(1)
	}
	if ms := p.Faults.SlowMs.Load(); ms > 0 {
		time.Sleep(time.Duration(ms) * time.Millisecond)
	}
	if p.Faults.Down.Load() {
		drop(ctx)
		return
	}
	p.route(ctx)
	if !read && p.Faults.DropAnswers.Load() {
		drop(ctx)
	}
}

func (p *Platform) route(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case api.PathKV:
		p.serveKV(ctx)
	case api.PathPlatformLeases:
		p.serveLeases(ctx)
	case api.PathPlatformInstance:
		writeJSON(ctx, api.PlatformInstances{Instances: p.listed()})
	default:
		ctx.SetStatusCode(http.StatusNotFound)
	}
}

// listed returns the list as it was ListLagMs ago.
func (p *Platform) listed() []api.PlatformInstance {
	asOf := time.Now().Add(-time.Duration(p.Faults.ListLagMs.Load()) * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.history) - 1; i >= 0; i-- {
		if !p.history[i].at.After(asOf) {
			return p.history[i].instances
		}
	}
	return nil
}

func (p *Platform) serveKV(ctx *fasthttp.RequestCtx) {
	if ctx.IsGet() {
		args := ctx.QueryArgs()
		wait := time.Duration(args.GetUintOrZero("wait_ms")) * time.Millisecond
		writeJSON(ctx, p.watch(string(args.Peek("key")), uint64(args.GetUintOrZero("after")), wait))
		return
	}
	var w api.KVWrite
	if err := json.Unmarshal(ctx.PostBody(), &w); err != nil {
		ctx.SetStatusCode(http.StatusBadRequest)
		return
	}
	entry, swapped := p.swap(w)
	if !swapped {
		ctx.SetStatusCode(http.StatusConflict)
	}
	writeJSON(ctx, entry)
}

// watch returns the entry of key once its version is above after, or as it is
// when wait is over.
func (p *Platform) watch(key string, after uint64, wait time.Duration) api.KVEntry {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		p.expire()
		entry := p.values[key]
		changed := p.changed
		p.mu.Unlock()
		entry.Key = key
		if entry.Version > after || wait == 0 {
			return entry
		}
		select {
		case <-changed:
		case <-timer.C:
			return entry
		case <-p.done:
			return entry
		}
	}
}

func (p *Platform) swap(w api.KVWrite) (api.KVEntry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.expire()
	entry := p.values[w.Key]
	if entry.Version != w.Expect {
		entry.Key = w.Key
		return entry, false
	}
	entry = api.KVEntry{Key: w.Key, Value: w.Value, Version: w.Expect + 1}
	p.values[w.Key] = entry
	p.leaseOf[w.Key] = w.Lease
	close(p.changed)
	p.changed = make(chan struct{})
	return entry, true
}

// expire removes the keys of leases that ended.
func (p *Platform) expire() {
	now := time.Now()
	for key, id := range p.leaseOf {
		if id != "" && p.leases[id].Before(now) {
			delete(p.values, key)
			delete(p.leaseOf, key)
		}
	}
}

func (p *Platform) serveLeases(ctx *fasthttp.RequestCtx) {
	var l api.KVLease
	if err := json.Unmarshal(ctx.PostBody(), &l); err != nil {
		ctx.SetStatusCode(http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.IsDelete() {
		delete(p.leases, l.ID)
		writeJSON(ctx, l)
		return
	}
	if ctx.IsPost() {
		l.ID = uuid.NewString()
	} else if p.leases[l.ID].Before(time.Now()) {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	p.leases[l.ID] = time.Now().Add(time.Duration(l.TTLMs) * time.Millisecond)
	writeJSON(ctx, l)
}
