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

// PlatformFaults are the faults that a Platform injects. They may be changed at
// any time.
type PlatformFaults struct {
	Down        atomic.Bool  // requests have no effect, and their connections are closed without an answer
	SlowMs      atomic.Int64 // delay before every request is handled, in milliseconds
	DropAnswers atomic.Bool  // writes take effect, but their connections are closed without an answer
	ListLagMs   atomic.Int64 // age of the list of instances that is served, in milliseconds
}

// Platform emulates the platform's key-value service and its list of instances.
type Platform struct {
	Faults   PlatformFaults
	listener net.Listener
	server   *fasthttp.Server
	done     chan struct{}
	reads    atomic.Int64
	writes   atomic.Int64

	mu          sync.Mutex
	values      map[string]api.KVEntry
	leaseOf     map[string]string               // lease ID by key; empty for a key without a lease
	leaseExpiry map[string]time.Time            // end of each lease, by lease ID
	changed     chan struct{}                   // closed and replaced at each write
	instances   map[string]api.PlatformInstance // the list of instances, by ID
	snapshots   []instanceSnapshot              // the list after each change, to serve it with the age ListLagMs
}

// instanceSnapshot is the list of instances after a change, and the time of the change.
type instanceSnapshot struct {
	at        time.Time
	instances []api.PlatformInstance
}

// StartPlatform starts a platform that listens on the given host and port, or on a
// free port of the loopback interface if listen is empty.
func StartPlatform(listen string) (*Platform, error) {
	if listen == "" {
		listen = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, failure.Unreachable.Wrap(err, "the platform stand-in cannot listen")
	}
	p := &Platform{
		listener: listener, done: make(chan struct{}), changed: make(chan struct{}),
		values: map[string]api.KVEntry{}, leaseOf: map[string]string{}, leaseExpiry: map[string]time.Time{},
		instances: map[string]api.PlatformInstance{},
	}
	p.server = &fasthttp.Server{Handler: p.serve, NoDefaultServerHeader: true, CloseOnShutdown: true}
	go func() { _ = p.server.Serve(listener) }()
	return p, nil
}

// Address returns the host and port that the platform listens on.
func (p *Platform) Address() string { return p.listener.Addr().String() }

// Close stops the platform.
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

// Calls returns how many reads and writes the platform has received so far. Watches
// count as reads.
func (p *Platform) Calls() (reads, writes int64) { return p.reads.Load(), p.writes.Load() }

// PutInstance adds an instance to the list, or replaces the one with the same ID.
func (p *Platform) PutInstance(i api.PlatformInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[i.ID] = i
	p.takeSnapshot()
}

// RemoveInstance removes an instance from the list.
func (p *Platform) RemoveInstance(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, id)
	p.takeSnapshot()
}

// takeSnapshot adds the current list of instances to p.snapshots. p.mu must be held.
func (p *Platform) takeSnapshot() {
	snapshot := instanceSnapshot{at: time.Now()}
	for _, i := range p.instances {
		snapshot.instances = append(snapshot.instances, i)
	}
	p.snapshots = append(p.snapshots, snapshot)
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
		dropConnection(ctx)
		return
	}
	p.route(ctx)
	if !read && p.Faults.DropAnswers.Load() {
		dropConnection(ctx)
	}
}

func (p *Platform) route(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case api.PathKV:
		p.serveKV(ctx)
	case api.PathPlatformLeases:
		p.serveLeases(ctx)
	case api.PathPlatformInstance:
		writeJSON(ctx, api.PlatformInstances{Instances: p.laggedInstances()})
	default:
		ctx.SetStatusCode(http.StatusNotFound)
	}
}

// laggedInstances returns the list of instances as it was ListLagMs milliseconds ago.
func (p *Platform) laggedInstances() []api.PlatformInstance {
	asOf := time.Now().Add(-time.Duration(p.Faults.ListLagMs.Load()) * time.Millisecond)
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.snapshots) - 1; i >= 0; i-- {
		if !p.snapshots[i].at.After(asOf) {
			return p.snapshots[i].instances
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
	entry, swapped := p.compareAndSwap(w)
	if !swapped {
		ctx.SetStatusCode(http.StatusConflict)
	}
	writeJSON(ctx, entry)
}

// watch waits until the version of key is above after, wait has passed, or the
// platform is closed. It returns the entry of key as it is then.
func (p *Platform) watch(key string, after uint64, wait time.Duration) api.KVEntry {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		p.mu.Lock()
		p.removeExpired()
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

// compareAndSwap writes w if the key has the version that w expects, and returns the
// new entry and true. Otherwise it returns the current entry and false.
func (p *Platform) compareAndSwap(w api.KVWrite) (api.KVEntry, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.removeExpired()
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

// removeExpired removes the keys whose leases have expired or were revoked. p.mu must
// be held.
func (p *Platform) removeExpired() {
	now := time.Now()
	for key, id := range p.leaseOf {
		if id != "" && p.leaseExpiry[id].Before(now) {
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
		delete(p.leaseExpiry, l.ID)
		writeJSON(ctx, l)
		return
	}
	if ctx.IsPost() {
		l.ID = uuid.NewString()
	} else if p.leaseExpiry[l.ID].Before(time.Now()) {
		ctx.SetStatusCode(http.StatusNotFound)
		return
	}
	p.leaseExpiry[l.ID] = time.Now().Add(time.Duration(l.TTLMs) * time.Millisecond)
	writeJSON(ctx, l)
}
