// Package standin emulates the systems that sedgehatch works with: upstreams, which
// run tasks, and the platform, which offers a key-value store and a list of
// instances. Both implement the interfaces that package api defines, over TCP, and
// can inject faults. The upstreams record every start of a task.
//
// An upstream runs each task under a lease, which identifies one attempt to run the
// task. It has a number of slots, each of which is room for one task.
package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/failure"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"
)

// TaskPayload is the task payload that an emulated upstream understands.
type TaskPayload struct {
	SleepUs int64           `json:"sleep_us,omitempty"` // actual run time in microseconds
	Fail    bool            `json:"fail,omitempty"`     // the task fails at once
	Echo    json.RawMessage `json:"echo,omitempty"`     // returned as the result
}

// UpstreamFaults are the faults that one upstream injects. They may be changed at
// any time.
type UpstreamFaults struct {
	FailAll        atomic.Bool  // every task fails at once
	DropStarts     atomic.Bool  // the connection of each start is closed, and the task is not started
	DropAnswers    atomic.Bool  // the connection of each start is closed, but the task is started
	SlowdownFactor atomic.Int64 // all run times are multiplied by it if it is above 1
	Leaving        atomic.Bool  // new starts are refused
	DropNonStarts  atomic.Bool  // the connections of all requests except starts are closed without an answer
}

// UpstreamConfig configures an upstream.
type UpstreamConfig struct {
	Info     api.UpstreamInfo
	Recorder *StartRecorder
	Listen   string        // host and port; empty means a free port of the loopback interface
	UsageLag time.Duration // maximum age of usage reports: each is served until it is this old
}

// Upstream emulates an upstream that runs tasks.
type Upstream struct {
	Faults   UpstreamFaults
	cfg      UpstreamConfig
	listener net.Listener
	server   *fasthttp.Server
	done     chan struct{}

	mu          sync.Mutex
	leases      map[string]*lease
	running     int
	usage       map[string]*api.ServiceUsage // by service
	lastUsage   api.Usage                    // last usage report
	lastUsageAt time.Time                    // when lastUsage was made
}

type lease struct {
	info          api.LeaseInfo
	taskEnded     chan struct{} // closed when the task has ended
	stopRequested chan struct{} // closed when the task has to stop
	expiresAt     time.Time     // not enforced: a task keeps running after its lease has expired
	stopped       bool          // whether stopRequested is closed
}

// StartUpstream starts an upstream. It gets a random incarnation and a recorder of its own if
// cfg has none.
func StartUpstream(cfg UpstreamConfig) (*Upstream, error) {
	if cfg.Listen == "" {
		cfg.Listen = "127.0.0.1:0"
	}
	if cfg.Info.Incarnation == "" {
		cfg.Info.Incarnation = uuid.NewString()
	}
	if cfg.Recorder == nil {
		cfg.Recorder = NewStartRecorder()
	}
	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return nil, failure.Unreachable.Wrap(err, "upstream %s cannot listen", cfg.Info.ID)
	}
	u := &Upstream{
		cfg: cfg, listener: listener, done: make(chan struct{}),
		leases: map[string]*lease{}, usage: map[string]*api.ServiceUsage{},
	}
	u.server = &fasthttp.Server{
		Handler: u.serve, NoDefaultServerHeader: true, NoDefaultDate: true,
		MaxRequestBodySize: api.MaxBody, CloseOnShutdown: true,
	}
	go func() { _ = u.server.Serve(listener) }()
	return u, nil
}

// Address returns the host and port that the upstream listens on.
func (u *Upstream) Address() string { return u.listener.Addr().String() }

// Instance describes the upstream as the platform's list of instances does.
func (u *Upstream) Instance() api.PlatformInstance {
	i := u.cfg.Info
	return api.PlatformInstance{
		ID: i.ID, Role: api.RoleUpstream, Address: u.Address(), Zone: i.Zone, Rack: i.Rack,
		CPU: i.CPU, MemoryMB: i.MemoryMB, Accelerators: i.Accelerators, Slots: i.Slots, Connections: i.Connections,
	}
}

// Running returns the number of tasks that are running.
func (u *Upstream) Running() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

// Close ends the upstream abruptly, along with its running tasks.
func (u *Upstream) Close() {
	u.mu.Lock()
	select {
	case <-u.done:
		u.mu.Unlock()
		return
	default:
		close(u.done)
	}
	u.mu.Unlock()
	_ = u.listener.Close()
	_ = u.server.Shutdown()
}

func (u *Upstream) serve(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	if u.isClosed() {
		dropConnection(ctx)
		return
	}
	if path != api.PathTasks && u.Faults.DropNonStarts.Load() {
		dropConnection(ctx)
		return
	}
	switch path {
	case api.PathTasks:
		u.serveStart(ctx)
	case api.PathLease:
		u.serveLookup(ctx)
	case api.PathStop:
		u.serveStop(ctx)
	case api.PathRenew:
		u.serveRenew(ctx)
	case api.PathCheckpoint, api.PathThrottle:
		u.serveNoOp(ctx)
	case api.PathUsage:
		writeJSON(ctx, u.usageReport())
	case api.PathInfo:
		info := u.cfg.Info
		info.Leaving = u.Faults.Leaving.Load()
		writeJSON(ctx, info)
	default:
		ctx.SetStatusCode(http.StatusNotFound)
	}
}

// dropConnection closes the connection of a request without sending an answer.
func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(http.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

func refuse(ctx *fasthttp.RequestCtx, status int, refusal api.Refusal) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(api.HeaderState, string(api.LeaseRefused))
	ctx.Response.Header.Set(api.HeaderRefusal, string(refusal))
}

func (u *Upstream) serveStart(ctx *fasthttp.RequestCtx) {
	if u.Faults.DropStarts.Load() {
		dropConnection(ctx)
		return
	}
	var payload TaskPayload
	if body := ctx.PostBody(); len(body) > 0 && json.Unmarshal(body, &payload) != nil {
		refuse(ctx, http.StatusBadRequest, api.RefusedBadRequest)
		return
	}
	id := string(ctx.Request.Header.Peek(api.HeaderLease))
	service := string(ctx.Request.Header.Peek(api.HeaderService))
	l, refusal := u.createLease(id, string(ctx.Request.Header.Peek(api.HeaderIncarnation)), parseLeaseDuration(ctx.Request.Header.Peek(api.HeaderLeaseMs)))
	if l == nil {
		refuse(ctx, http.StatusConflict, refusal)
		return
	}
	u.cfg.Recorder.record(id, u.cfg.Info.ID, string(ctx.Request.Header.Peek(api.HeaderTrace)))
	if u.Faults.DropAnswers.Load() {
		go u.runTask(l, service, payload)
		dropConnection(ctx)
		return
	}
	u.runTask(l, service, payload)
	if u.isClosed() {
		dropConnection(ctx)
		return
	}
	ctx.Response.Header.Set(api.HeaderState, string(l.info.State))
	ctx.SetContentType("application/json")
	if l.info.State == api.LeaseFinished {
		ctx.SetBody(l.info.Result)
	} else {
		ctx.SetBodyString(l.info.Error)
	}
}

// isClosed reports whether Close has been called.
func (u *Upstream) isClosed() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

// parseLeaseDuration parses a positive number of milliseconds. For any other text, it
// returns 10 s.
func parseLeaseDuration(text []byte) time.Duration {
	ms, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || ms <= 0 {
		ms = 10000
	}
	return time.Duration(ms) * time.Millisecond
}

// createLease creates the lease of a start. If the start has to be refused, it returns
// nil and the reason.
func (u *Upstream) createLease(id, incarnation string, duration time.Duration) (*lease, api.Refusal) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if existing := u.leases[id]; existing != nil {
		if existing.info.State == api.LeaseBarred {
			return nil, api.RefusedBarred
		}
		return nil, api.RefusedDuplicate
	}
	switch {
	case id == "":
		return nil, api.RefusedBadRequest
	case incarnation != "" && incarnation != u.cfg.Info.Incarnation:
		return nil, api.RefusedIncarnation
	case u.Faults.Leaving.Load():
		return nil, api.RefusedLeaving
	case u.running >= u.cfg.Info.Slots:
		return nil, api.RefusedNoSlot
	}
	l := &lease{
		info:      api.LeaseInfo{Lease: id, State: api.LeaseRunning},
		taskEnded: make(chan struct{}), stopRequested: make(chan struct{}), expiresAt: time.Now().Add(duration),
	}
	u.leases[id] = l
	u.running++
	return l, ""
}

// runTask emulates a task until the task finishes, fails or is stopped, and then ends
// the lease.
func (u *Upstream) runTask(l *lease, service string, payload TaskPayload) {
	startTime := time.Now()
	duration := time.Duration(payload.SleepUs) * time.Microsecond
	if factor := u.Faults.SlowdownFactor.Load(); factor > 1 {
		duration *= time.Duration(factor)
	}
	state, text := api.LeaseFinished, ""
	switch {
	case u.Faults.FailAll.Load():
		state, text = api.LeaseFailed, "this upstream fails every task"
	case payload.Fail:
		state, text = api.LeaseFailed, "the task's payload requests a failure"
	case duration > 0 && !u.sleepUnlessStopped(l, duration):
		state, text = api.LeaseStopped, "stopped"
	}
	u.endLease(l, service, state, text, payload.Echo, time.Since(startTime))
}

// sleepUnlessStopped waits for duration and returns true. If the task is stopped or the
// upstream is closed before that, it returns false at once.
func (u *Upstream) sleepUnlessStopped(l *lease, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.stopRequested:
		return false
	case <-u.done:
		return false
	}
}

func (u *Upstream) endLease(l *lease, service string, state api.LeaseState, text string, result json.RawMessage, ran time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	l.info.State = state
	l.info.Error = text
	if state == api.LeaseFinished {
		l.info.Result = result
		if len(result) == 0 {
			l.info.Result = json.RawMessage("null")
		}
	}
	close(l.taskEnded)
	u.recordUsage(service, state, ran)
}

// recordUsage adds a task that has ended to the usage figures of its service. u.mu
// must be held.
func (u *Upstream) recordUsage(service string, state api.LeaseState, ran time.Duration) {
	s := u.usage[service]
	if s == nil {
		s = &api.ServiceUsage{Service: service, CPU: 1, MemoryMB: 128}
		u.usage[service] = s
	}
	if state != api.LeaseFinished {
		s.Failed++
		return
	}
	s.Finished++
	s.RunMs += (float64(ran.Microseconds())/1000 - s.RunMs) / float64(s.Finished)
}

func (u *Upstream) usageReport() api.Usage {
	u.mu.Lock()
	defer u.mu.Unlock()
	if age := time.Since(u.lastUsageAt); age < u.cfg.UsageLag {
		report := u.lastUsage
		report.AgeMs = age.Milliseconds()
		return report
	}
	usage := api.Usage{Running: u.running}
	for _, s := range u.usage {
		usage.Services = append(usage.Services, *s)
	}
	u.lastUsage, u.lastUsageAt = usage, time.Now()
	return usage
}

func (u *Upstream) findLease(ctx *fasthttp.RequestCtx) (string, *lease) {
	id := string(ctx.QueryArgs().Peek("id"))
	u.mu.Lock()
	defer u.mu.Unlock()
	return id, u.leases[id]
}

// writeLease answers a request with the current state of a lease.
func (u *Upstream) writeLease(ctx *fasthttp.RequestCtx, l *lease) {
	u.mu.Lock()
	info := l.info
	u.mu.Unlock()
	writeJSON(ctx, info)
}

func (u *Upstream) serveLookup(ctx *fasthttp.RequestCtx) {
	id, l := u.findLease(ctx)
	if l == nil {
		writeJSON(ctx, api.LeaseInfo{Lease: id, State: api.LeaseNeverSeen})
		return
	}
	if wait := ctx.QueryArgs().GetUintOrZero("wait_ms"); wait > 0 {
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-l.taskEnded:
		case <-timer.C:
		case <-u.done:
		}
	}
	u.writeLease(ctx, l)
}

// serveStop stops the tasks of all leases that the request names, waits until the tasks
// have ended, and answers with the states of the leases in the order of the request. With
// api.QueryOnlyUnseen it stops no task and does not wait.
func (u *Upstream) serveStop(ctx *fasthttp.RequestCtx) {
	onlyUnseen := ctx.QueryArgs().GetBool(api.QueryOnlyUnseen)
	var leases []*lease
	for _, id := range ctx.QueryArgs().PeekMulti("id") {
		leases = append(leases, u.stopLease(string(id), onlyUnseen))
	}
	infos := make([]api.LeaseInfo, 0, len(leases))
	for _, l := range leases {
		if !onlyUnseen {
			select {
			case <-l.taskEnded:
			case <-u.done:
				dropConnection(ctx)
				return
			}
		}
		u.mu.Lock()
		infos = append(infos, l.info)
		u.mu.Unlock()
	}
	writeJSON(ctx, infos)
}

// stopLease requests that the task of a lease stops, if it is running and onlyUnseen is not set.
// If no start under the lease has arrived yet, it bars the lease: a later start is refused.
func (u *Upstream) stopLease(id string, onlyUnseen bool) *lease {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.leases[id]
	if l == nil {
		l = &lease{info: api.LeaseInfo{Lease: id, State: api.LeaseBarred}, taskEnded: make(chan struct{})}
		close(l.taskEnded)
		u.leases[id] = l
	}
	if l.info.State == api.LeaseRunning && !l.stopped && !onlyUnseen {
		l.stopped = true
		close(l.stopRequested)
	}
	return l
}

func (u *Upstream) serveRenew(ctx *fasthttp.RequestCtx) {
	_, l := u.findLease(ctx)
	if l == nil {
		u.serveLookup(ctx)
		return
	}
	u.mu.Lock()
	l.expiresAt = time.Now().Add(parseLeaseDuration(ctx.QueryArgs().Peek("lease_ms")))
	u.mu.Unlock()
	u.writeLease(ctx, l)
}

// serveNoOp answers a request for a checkpoint or a throttle with the state of the
// lease. Neither request has an effect on emulated tasks.
func (u *Upstream) serveNoOp(ctx *fasthttp.RequestCtx) { u.serveLookup(ctx) }
