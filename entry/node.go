// Package entry implements an instance that runs jobs for callers. It serves the HTTP
// interface of callers and operators, exchanges messages with other instances over the
// protocol of package inner, and reads the list of instances and the settings from the
// platform. The jobs themselves are run by package dispatch.
//
// An incarnation is one run of an instance's process. Instances send each other heartbeats;
// a peer is another instance as known from its heartbeats and the platform's list. A planned
// shutdown drains an instance: it is leaving while its jobs end. Seeds are configured
// addresses of other instances, for the time during which the platform is unavailable.
package entry

import (
	"context"
	"log/slog"
	"net"
	"slices"
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

// Hooks replace the parts of an instance that connect to other processes, so that tests can
// interrupt and delay connections. Nil dialers use plain TCP.
type Hooks struct {
	DialInner    inner.DialFunc
	DialUpstream func(address string) (net.Conn, error)
	DialPlatform func(address string) (net.Conn, error)
	// Tracer replaces the tracer described by the configuration.
	Tracer *tracing.Tracer
}

// Node is an instance that runs jobs for callers.
type Node struct {
	cfg            Config
	incarnation    fate.Incarnation
	log            *slog.Logger
	metrics        *metrics.Set
	tracer         *tracing.Tracer
	platform       *kv.Client
	mesh           *inner.Mesh
	dispatch       *dispatch.Dispatcher
	app            *fiber.App
	callerListener net.Listener
	callerConns    connset.Set // open connections of callers
	innerListener  net.Listener

	mu               sync.Mutex // guards table and instances
	table            *membership.Table
	instances        []api.PlatformInstance // the last list received, or nil
	viewChanged      chan struct{}          // signals that the dispatcher needs a new view
	settings         atomic.Pointer[appliedSettings]
	leaving          atomic.Bool
	fetchingSettings atomic.Bool  // whether a fetch of another instance's settings is running
	inFlight         atomic.Int64 // calls of callers that are not answered yet
	jobsInFlight     inFlightCounts
	ctx              context.Context // cancelled by Kill
	cancel           context.CancelFunc
	goroutines       sync.WaitGroup
	closeOnce        sync.Once
}

// appliedSettings is the revision of the settings that is in force on this instance.
type appliedSettings struct {
	received bool // false until settings are received from the platform or another instance
	revision uint64
	value    string // as stored on the platform; sent to instances that have an older revision
	tree     *settings.Tree
}

// New creates an instance and opens its listeners. Run starts it.
func New(cfg Config, hooks Hooks, log *slog.Logger) (*Node, error) {
	injector := do.New()
	do.ProvideValue(injector, cfg)
	do.ProvideValue(injector, hooks)
	do.ProvideValue(injector, log)
	provide(injector)
	return do.Invoke[*Node](injector)
}

// provide registers the constructors of the parts of a Node.
func provide(i do.Injector) {
	do.ProvideValue(i, metrics.NewSet())
	do.Provide(i, newTracer)
	do.Provide(i, newPlatformClient)
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

func newPlatformClient(i do.Injector) (*kv.Client, error) {
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
		incarnation: fate.Incarnation(cfg.Instance + "." + uuid.NewString()[:8]),
		tracer:      tracer, platform: do.MustInvoke[*kv.Client](i),
		table: membership.NewTable(cfg.Membership), viewChanged: make(chan struct{}, 1),
	}
	n.log = n.log.With(slog.String("instance", cfg.Instance))
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.settings.Store(&appliedSettings{tree: settings.Empty()})
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.mesh = inner.NewMesh(inner.Config{
		Fleet: cfg.Fleet, Self: n.incarnation, Region: cfg.Region, Zone: cfg.Zone, Rack: cfg.Rack,
		Address: n.innerListener.Addr().String(), Resolver: n, Handler: n, OnHello: n.handleHello,
		Dial: hooks.DialInner, CountSent: n.metrics.CountSent,
	})
	n.dispatch = dispatch.New(n.dispatchConfig(hooks), n.mesh)
	n.app = n.newApp()
	return n, nil
}

func (n *Node) dispatchConfig(hooks Hooks) dispatch.Config {
	c := n.cfg.Dispatch
	c.Self, c.Region, c.Zone, c.Rack = n.incarnation, n.cfg.Region, n.cfg.Zone, n.cfg.Rack
	c.Metrics, c.Tracer, c.Log = n.metrics, n.tracer, n.log
	c.DialUpstream = hooks.DialUpstream
	return c
}

func (n *Node) listen() error {
	var err error
	if n.callerListener, err = net.Listen("tcp", n.cfg.ListenCallers); err != nil {
		return failure.Field(failure.InvalidInput, "listen.callers", "cannot listen: %v", err)
	}
	if n.innerListener, err = net.Listen("tcp", n.cfg.ListenInner); err != nil {
		_ = n.callerListener.Close()
		return failure.Field(failure.InvalidInput, "listen.inner", "cannot listen: %v", err)
	}
	return nil
}

// Incarnation returns the incarnation of this instance.
func (n *Node) Incarnation() fate.Incarnation { return n.incarnation }

// Metrics returns the counters of this instance.
func (n *Node) Metrics() *metrics.Set { return n.metrics }

// CallerAddress returns the address of the listener for callers.
func (n *Node) CallerAddress() string { return n.callerListener.Addr().String() }

// Instance returns the entry of this instance for the platform's list.
func (n *Node) Instance() api.PlatformInstance {
	return api.PlatformInstance{
		ID: n.cfg.Instance, Role: api.RoleEntry, Address: n.innerListener.Addr().String(),
		CallerAddress: n.CallerAddress(), Region: n.cfg.Region, Zone: n.cfg.Zone, Rack: n.cfg.Rack,
	}
}

// Run starts the instance and returns at once. Stop or Kill ends it.
func (n *Node) Run() {
	n.dispatch.Run()
	n.goroutines.Go(func() { n.mesh.Serve(n.innerListener) })
	n.goroutines.Go(n.pollInstances)
	n.goroutines.Go(n.runHeartbeats)
	n.goroutines.Go(n.updateViews)
	n.goroutines.Go(n.watchSettings)
	n.goroutines.Go(n.bootstrapFromSeeds)
	n.goroutines.Go(func() {
		if err := n.app.Listener(n.callerConns.Listener(n.callerListener)); err != nil && n.ctx.Err() == nil {
			event.ServeFailed.Log(n.log, slog.String("error", err.Error()))
		}
	})
	event.Started.Log(n.log, slog.String("incarnation", string(n.incarnation)), slog.String("callers", n.CallerAddress()), slog.String("zone", n.cfg.Zone))
}

// drainPollInterval is how often a planned shutdown checks whether all jobs have ended.
const drainPollInterval = 10 * time.Millisecond

// Stop performs a planned shutdown. The instance refuses new sessions and jobs, notifies the
// other instances, waits until it is idle, and ends. Stop returns false if ctx was cancelled
// or the configured DrainTimeout passed before the instance was idle.
func (n *Node) Stop(ctx context.Context) bool {
	event.Draining.Log(n.log, slog.Int("jobs", n.dispatch.ActiveJobs()))
	n.leaving.Store(true)
	n.dispatch.Drain()
	n.requestViewUpdate()
	n.broadcastHeartbeat()
	ctx, cancel := context.WithTimeout(ctx, n.cfg.DrainTimeout)
	defer cancel()
	n.awaitHeartbeats(ctx)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	drained := true
	for drained && !n.isIdle() {
		select {
		case <-ctx.Done():
			drained = false
		case <-ticker.C:
		}
	}
	if drained {
		n.dispatch.ReleaseWitnesses()
		event.Drained.Log(n.log)
	} else {
		event.DrainTimeout.Log(n.log, slog.Int("jobs", n.dispatch.ActiveJobs()))
	}
	n.Kill()
	return drained
}

// awaitHeartbeats waits for two heartbeat intervals, during which the other instances learn
// that this one is leaving.
func (n *Node) awaitHeartbeats(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(2 * n.cfg.HeartbeatInterval):
	}
}

// isIdle reports whether no job depends on this instance any more: it has no calls in flight
// and no active jobs, and no other instance needs it as the witness of a permit log (the record
// of task starts), of which the witness keeps a copy.
func (n *Node) isIdle() bool {
	return n.inFlight.Load() == 0 && n.dispatch.ActiveJobs() == 0 && !n.isNeededAsWitness()
}

// silentHomeTimeout is the time, in multiples of the witness timeout, after which a home that
// sends no heartbeats needs its witness no more. A home that stood still for a while, or that this
// instance has not heard because it stood still itself, is heard before that.
const silentHomeTimeout = 10

// isNeededAsWitness reports whether an instance that may still be running has not released this
// one as the witness of a log.
func (n *Node) isNeededAsWitness() bool {
	homes := n.dispatch.WitnessedHomes()
	silenceMs := silentHomeTimeout * n.dispatch.WitnessTimeout().Milliseconds()
	now := time.Now().UnixMilli()
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.ContainsFunc(homes, func(home fate.Incarnation) bool { return n.table.MayBeRunning(home, now, silenceMs) })
}

// Kill ends the instance at once, like a crash.
func (n *Node) Kill() {
	n.closeOnce.Do(func() {
		_ = n.callerListener.Close()
		n.callerConns.Close()
		n.cancel()
		n.platform.Close()
		_ = n.innerListener.Close()
		n.dispatch.Close()
		n.mesh.Close()
		_ = n.app.ShutdownWithTimeout(shutdownTimeout)
		n.goroutines.Wait()
		flush, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		_ = n.tracer.Close(flush)
	})
}

// shutdownTimeout limits how long Kill waits for the HTTP server to end, and then again for
// the last spans to be exported.
const shutdownTimeout = time.Second
