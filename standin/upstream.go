// Package standin holds small fakes of what sedgehatch meets: upstreams and
// the platform. They speak the real protocols over TCP, with faults to switch
// on, and the upstreams record every start.
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

// TaskPayload is the payload that a stand-in upstream understands.
type TaskPayload struct {
	SleepUs int64           `json:"sleep_us,omitempty"` // the true run time, microseconds
	Fail    bool            `json:"fail,omitempty"`
	Echo    json.RawMessage `json:"echo,omitempty"` // comes back as the result
}

// UpstreamFaults are the faults of one upstream; all may change at any time.
type UpstreamFaults struct {
	FailAll        atomic.Bool  // every task fails at once
	DropStarts     atomic.Bool  // connections die before the start takes effect
	DropAnswers    atomic.Bool  // connections die after it took effect
	SlowdownFactor atomic.Int64 // run times are multiplied by this, when above 1
	Leaving        atomic.Bool  // new starts are refused
	DropLeaseCalls atomic.Bool  // lookups and stops die unanswered
}

// UpstreamConfig describes an upstream.
type UpstreamConfig struct {
	Info     api.UpstreamInfo
	Recorder *StartRecorder
	Listen   string        // host and port; empty is any port of the loopback
	UsageLag time.Duration // how old usage reports are
}

// Upstream is a stand-in for a worker.
type Upstream struct {
	Faults   UpstreamFaults
	cfg      UpstreamConfig
	listener net.Listener
	server   *fasthttp.Server
	done     chan struct{}

	mu      sync.Mutex
	leases  map[string]*lease
	running int
	usage   map[string]*api.ServiceUsage
	lagged  api.Usage
	lagAt   time.Time
}

type lease struct {
	info    api.LeaseInfo
	over    chan struct{} // closed at the end
	stop    chan struct{}
	until   time.Time // what was promised; a task that outlives it runs on
	stopped bool
}

// StartUpstream makes an upstream and serves it.
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

// Instance returns the upstream as it stands in the platform's list.
func (u *Upstream) Instance() api.PlatformInstance {
	i := u.cfg.Info
	return api.PlatformInstance{
		ID: i.ID, Role: api.RoleUpstream, Address: u.Address(), Zone: i.Zone, Rack: i.Rack,
		CPU: i.CPU, MemoryMB: i.MemoryMB, Accelerators: i.Accelerators, Slots: i.Slots, Connections: i.Connections,
	}
}

// Running returns how many tasks run now.
func (u *Upstream) Running() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.running
}

// Close ends the upstream abruptly: running tasks die with it.
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
	if u.ended() {
		drop(ctx)
		return
	}
	if path != api.PathTasks && u.Faults.DropLeaseCalls.Load() {
		drop(ctx)
		return
	}
	switch path {
	case api.PathTasks:
		u.start(ctx)
	case api.PathLease:
		u.lookup(ctx)
	case api.PathStop:
		u.stopLeases(ctx)
	case api.PathRenew:
		u.renew(ctx)
	case api.PathCheckpoint, api.PathThrottle:
		u.touch(ctx)
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

// drop closes the connection without an answer.
func drop(ctx *fasthttp.RequestCtx) {
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

func refuse(ctx *fasthttp.RequestCtx, status int, why api.Refusal) {
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(api.HeaderState, string(api.LeaseRefused))
	ctx.Response.Header.Set(api.HeaderRefusal, string(why))
}

func (u *Upstream) start(ctx *fasthttp.RequestCtx) {
	if u.Faults.DropStarts.Load() {
		drop(ctx)
		return
	}
	var work TaskPayload
	if body := ctx.PostBody(); len(body) > 0 && json.Unmarshal(body, &work) != nil {
		refuse(ctx, http.StatusBadRequest, api.RefusedBadRequest)
		return
	}
	id := string(ctx.Request.Header.Peek(api.HeaderLease))
	service := string(ctx.Request.Header.Peek(api.HeaderService))
	l, why := u.admit(id, string(ctx.Request.Header.Peek(api.HeaderIncarnation)), leaseTime(ctx.Request.Header.Peek(api.HeaderLeaseMs)))
	if l == nil {
		refuse(ctx, http.StatusConflict, why)
		return
	}
	u.cfg.Recorder.started(id, u.cfg.Info.ID, string(ctx.Request.Header.Peek(api.HeaderTrace)))
	if u.Faults.DropAnswers.Load() {
		go u.run(l, service, work)
		drop(ctx)
		return
	}
	u.run(l, service, work)
	if u.ended() {
		drop(ctx)
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

// ended reports whether the upstream has vanished.
func (u *Upstream) ended() bool {
	select {
	case <-u.done:
		return true
	default:
		return false
	}
}

func leaseTime(text []byte) time.Duration {
	ms, err := strconv.ParseInt(string(text), 10, 64)
	if err != nil || ms <= 0 {
		ms = 10000
	}
	return time.Duration(ms) * time.Millisecond
}

// admit makes the lease of a start, or says why there is none.
func (u *Upstream) admit(id, incarnation string, length time.Duration) (*lease, api.Refusal) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if known := u.leases[id]; known != nil {
		if known.info.State == api.LeaseBarred {
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
		info: api.LeaseInfo{Lease: id, State: api.LeaseRunning},
		over: make(chan struct{}), stop: make(chan struct{}), until: time.Now().Add(length),
	}
	u.leases[id] = l
	u.running++
	return l, ""
}

// run runs a task to its end.
func (u *Upstream) run(l *lease, service string, work TaskPayload) {
	began := time.Now()
	length := time.Duration(work.SleepUs) * time.Microsecond
	if factor := u.Faults.SlowdownFactor.Load(); factor > 1 {
		length *= time.Duration(factor)
	}
	state, text := api.LeaseFinished, ""
	switch {
	case u.Faults.FailAll.Load():
		state, text = api.LeaseFailed, "this upstream fails every task"
	case work.Fail:
		state, text = api.LeaseFailed, "the task was told to fail"
	case length > 0 && !u.sleep(l, length):
		state, text = api.LeaseStopped, "stopped"
	}
	u.end(l, service, state, text, work.Echo, time.Since(began))
}

// sleep waits for length, or reports false when the task was stopped.
func (u *Upstream) sleep(l *lease, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-l.stop:
		return false
	case <-u.done:
		return false
	}
}

func (u *Upstream) end(l *lease, service string, state api.LeaseState, text string, result json.RawMessage, ran time.Duration) {
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
	close(l.over)
	u.account(service, state, ran)
}

func (u *Upstream) account(service string, state api.LeaseState, ran time.Duration) {
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
	if age := time.Since(u.lagAt); age < u.cfg.UsageLag {
		report := u.lagged
		report.AgeMs = age.Milliseconds()
		return report
	}
	now := api.Usage{Running: u.running}
	for _, s := range u.usage {
		now.Services = append(now.Services, *s)
	}
	u.lagged, u.lagAt = now, time.Now()
	return now
}

func (u *Upstream) find(ctx *fasthttp.RequestCtx) (string, *lease) {
	id := string(ctx.QueryArgs().Peek("id"))
	u.mu.Lock()
	defer u.mu.Unlock()
	return id, u.leases[id]
}

// answer tells of a lease as it is now.
func (u *Upstream) answer(ctx *fasthttp.RequestCtx, l *lease) {
	u.mu.Lock()
	info := l.info
	u.mu.Unlock()
	writeJSON(ctx, info)
}

func (u *Upstream) lookup(ctx *fasthttp.RequestCtx) {
	id, l := u.find(ctx)
	if l == nil {
		writeJSON(ctx, api.LeaseInfo{Lease: id, State: api.LeaseNeverSeen})
		return
	}
	if wait := ctx.QueryArgs().GetUintOrZero("wait_ms"); wait > 0 {
		timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-l.over:
		case <-timer.C:
		case <-u.done:
		}
	}
	u.answer(ctx, l)
}

// stopLeases stops every lease that is named, and answers for each in turn.
func (u *Upstream) stopLeases(ctx *fasthttp.RequestCtx) {
	var leases []*lease
	for _, id := range ctx.QueryArgs().PeekMulti("id") {
		leases = append(leases, u.stopOne(string(id)))
	}
	infos := make([]api.LeaseInfo, 0, len(leases))
	for _, l := range leases {
		select {
		case <-l.over:
		case <-u.done:
			drop(ctx)
			return
		}
		u.mu.Lock()
		infos = append(infos, l.info)
		u.mu.Unlock()
	}
	writeJSON(ctx, infos)
}

// stopOne stops a running lease, and bars one that was never seen.
func (u *Upstream) stopOne(id string) *lease {
	u.mu.Lock()
	defer u.mu.Unlock()
	l := u.leases[id]
	if l == nil {
		l = &lease{info: api.LeaseInfo{Lease: id, State: api.LeaseBarred}, over: make(chan struct{})}
		close(l.over)
		u.leases[id] = l
	}
	if l.info.State == api.LeaseRunning && !l.stopped {
		l.stopped = true
		close(l.stop)
	}
	return l
}

func (u *Upstream) renew(ctx *fasthttp.RequestCtx) {
	_, l := u.find(ctx)
	if l == nil {
		u.lookup(ctx)
		return
	}
	u.mu.Lock()
	l.until = time.Now().Add(leaseTime(ctx.QueryArgs().Peek("lease_ms")))
	u.mu.Unlock()
	u.answer(ctx, l)
}

// touch answers a checkpoint or a throttle, which change nothing here.
func (u *Upstream) touch(ctx *fasthttp.RequestCtx) { u.lookup(ctx) }
