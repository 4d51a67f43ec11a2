// Package entry puts one entry instance together: callers come in over HTTP,
// peers over the inner protocol, and the platform is watched.
package entry

import (
	"context"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/connset"
	"github.com/sedgehatch/sedgehatch/dispatch"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/kv"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/metrics"
	"github.com/sedgehatch/sedgehatch/settings"
	"github.com/sedgehatch/sedgehatch/tracing"

	"github.com/gofiber/fiber/v2"
	"github.com/google/uuid"
	"github.com/samber/do/v2"
)

// Hooks replace what reaches the outside. Tests cut and delay there; the zero
// value is plain TCP.
type Hooks struct {
	DialInner    inner.DialFunc
	DialUpstream func(address string) (net.Conn, error)
	DialPlatform func(address string) (net.Conn, error)
	// Tracer replaces the one that the configuration asks for.
	Tracer *tracing.Tracer
}

// Node is one entry instance.
type Node struct {
	cfg      Config
	self     fate.Incarnation
	log      *slog.Logger
	metrics  *metrics.Set
	tracer   *tracing.Tracer
	platform *kv.Client
	mesh     *inner.Mesh
	dispatch *dispatch.Dispatcher
	app      *fiber.App
	callers  net.Listener
	conns    connset.Set // of callers
	inner    net.Listener

	mu          sync.Mutex // guards table and listed
	table       *membership.Table
	listed      []api.PlatformInstance
	viewChanged chan struct{}
	settings    atomic.Pointer[applied]
	leaving     atomic.Bool
	learning    atomic.Bool  // settings are being fetched from a peer
	inFlight    atomic.Int64 // calls of callers that wait for an answer
	flights     flights
	stop        context.Context
	cancel      context.CancelFunc
	running     sync.WaitGroup
	closeOnce   sync.Once
}

// applied is a revision of the settings that is in force here.
type applied struct {
	known    bool // false until the platform or a peer has told any
	revision uint64
	value    string // as the platform holds it, for peers that are behind
	tree     *settings.Tree
}

// New makes an entry instance and its listeners. Run starts it.
func New(cfg Config, hooks Hooks, log *slog.Logger) (*Node, error) {
	injector := do.New()
	do.ProvideValue(injector, cfg)
	do.ProvideValue(injector, hooks)
	do.ProvideValue(injector, log)
	provide(injector)
	return do.Invoke[*Node](injector)
}

// provide registers how each part of a node is made.
func provide(i do.Injector) {
	do.ProvideValue(i, metrics.NewSet())
	do.Provide(i, newTracer)
	do.Provide(i, newPlatform)
	do.Provide(i, newNode)
}

func newTracer(i do.Injector) (*tracing.Tracer, error) {
	if hooks := do.MustInvoke[Hooks](i); hooks.Tracer != nil {
		return hooks.Tracer, nil
	}
	cfg := do.MustInvoke[Config](i)
	cfg.Tracing.Service = "sedgehatchd/" + cfg.Instance
	return tracing.New(context.Background(), cfg.Tracing)
}

func newPlatform(i do.Injector) (*kv.Client, error) {
	counters := do.MustInvoke[*metrics.Set](i)
	return kv.NewClient(do.MustInvoke[Config](i).PlatformAddress, do.MustInvoke[Hooks](i).DialPlatform, counters.CountSent), nil
}

func newNode(i do.Injector) (*Node, error) {
	cfg := do.MustInvoke[Config](i)
	hooks := do.MustInvoke[Hooks](i)
	tracer, err := do.Invoke[*tracing.Tracer](i)
	if err != nil {
		return nil, err
	}
	n := &Node{
		cfg: cfg, log: do.MustInvoke[*slog.Logger](i), metrics: do.MustInvoke[*metrics.Set](i),
		self:   fate.Incarnation(cfg.Instance + "." + uuid.NewString()[:8]),
		tracer: tracer, platform: do.MustInvoke[*kv.Client](i),
		table: membership.NewTable(cfg.Membership), viewChanged: make(chan struct{}, 1),
	}
	n.log = n.log.With(slog.String("instance", cfg.Instance))
	n.stop, n.cancel = context.WithCancel(context.Background())
	n.settings.Store(&applied{tree: settings.Empty()})
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.mesh = inner.NewMesh(inner.Config{
		Fleet: cfg.Fleet, Self: n.self, Region: cfg.Region, Zone: cfg.Zone, Rack: cfg.Rack,
		Address: n.inner.Addr().String(), Resolver: n, Handler: n, OnHello: n.met,
		Dial: hooks.DialInner, CountSent: n.metrics.CountSent,
	})
	n.dispatch = dispatch.New(n.dispatchConfig(hooks), n.mesh)
	n.app = n.newApp()
	return n, nil
}

func (n *Node) dispatchConfig(hooks Hooks) dispatch.Config {
	c := n.cfg.Dispatch
	c.Self, c.Region, c.Zone, c.Rack = n.self, n.cfg.Region, n.cfg.Zone, n.cfg.Rack
	c.Metrics, c.Tracer, c.Log = n.metrics, n.tracer, n.log
	c.DialUpstream = hooks.DialUpstream
	return c
}

func (n *Node) listen() error {
	var err error
	if n.callers, err = net.Listen("tcp", n.cfg.ListenCallers); err != nil {
		return failure.Field(failure.InvalidInput, "listen.callers", "cannot listen: %v", err)
	}
	if n.inner, err = net.Listen("tcp", n.cfg.ListenInner); err != nil {
		_ = n.callers.Close()
		return failure.Field(failure.InvalidInput, "listen.inner", "cannot listen: %v", err)
	}
	return nil
}

// Incarnation returns the incarnation of this instance.
func (n *Node) Incarnation() fate.Incarnation { return n.self }

// Metrics returns the counters of this instance.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// CallerAddress returns where callers are taken.
func (n *Node) CallerAddress() string { return n.callers.Addr().String() }

// Instance returns this instance as the platform lists it.
func (n *Node) Instance() api.PlatformInstance {
	return api.PlatformInstance{
		ID: n.cfg.Instance, Role: api.RoleEntry, Address: n.inner.Addr().String(),
		CallerAddress: n.CallerAddress(), Region: n.cfg.Region, Zone: n.cfg.Zone, Rack: n.cfg.Rack,
	}
}

// Run starts the instance. It returns at once; Stop or Kill ends it.
func (n *Node) Run() {
	n.dispatch.Run()
	n.running.Go(func() { n.mesh.Serve(n.inner) })
	n.running.Go(n.pollInstances)
	n.running.Go(n.heartbeats)
	n.running.Go(n.keepView)
	n.running.Go(n.watchSettings)
	n.running.Go(n.startFromPeers)
	n.running.Go(func() {
		if err := n.app.Listener(n.conns.Listener(n.callers)); err != nil && n.stop.Err() == nil {
			event.ServeFailed.Log(n.log, slog.String("error", err.Error()))
		}
	})
	event.Started.Log(n.log, slog.String("incarnation", string(n.self)), slog.String("callers", n.CallerAddress()), slog.String("zone", n.cfg.Zone))
}

// drainPoll is how often a planned stop looks whether anything is in flight.
const drainPoll = 10 * time.Millisecond

// Stop is a planned stop: no new sessions and jobs, peers are told, what is in
// flight ends, then the instance does. It reports false when its grace, or
// ctx, ended first.
func (n *Node) Stop(ctx context.Context) bool {
	event.Draining.Log(n.log, slog.Int("jobs", n.dispatch.ActiveJobs()))
	n.leaving.Store(true)
	n.dispatch.Drain()
	n.updateView()
	n.beat()
	ctx, cancel := context.WithTimeout(ctx, n.cfg.DrainTimeout)
	defer cancel()
	n.settle(ctx)
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	drained := true
	for drained && !n.idle() {
		select {
		case <-ctx.Done():
			drained = false
		case <-ticker.C:
		}
	}
	if drained {
		event.Drained.Log(n.log)
	} else {
		event.DrainTimeout.Log(n.log, slog.Int("jobs", n.dispatch.ActiveJobs()))
	}
	n.Kill()
	return drained
}

// settle gives peers two heartbeats' time to hear that this instance leaves,
// before they may find it gone.
func (n *Node) settle(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(2 * n.cfg.HeartbeatInterval):
	}
}

// idle reports whether nobody needs this instance any more: no caller, no job,
// and no home that has it as witness.
func (n *Node) idle() bool {
	return n.inFlight.Load() == 0 && n.dispatch.ActiveJobs() == 0 && n.dispatch.WitnessedJobs() == 0
}

// Kill ends the instance at once, as its death would.
func (n *Node) Kill() {
	n.closeOnce.Do(func() {
		_ = n.callers.Close()
		n.conns.Close()
		n.cancel()
		n.platform.Close()
		_ = n.inner.Close()
		n.dispatch.Close()
		n.mesh.Close()
		_ = n.app.ShutdownWithTimeout(shutdownTimeout)
		n.running.Wait()
		flush, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = n.tracer.Close(flush)
	})
}

const shutdownTimeout = time.Second
