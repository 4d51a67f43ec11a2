// Package node assembles an instance that runs on the users' platform from other packages:
// ingress serves its customers, owner runs the groups of upstreams that it owns, inner carries
// its messages to other instances, and platform reads and watches the platform's store.
//
// These are the central terms:
//   - Peers are the other instances. Neighbours are the peers with which an instance exchanges
//     heartbeats.
//   - Upstreams are the processes that run tasks. A group is a fixed part of the upstreams of an
//     availability zone.
//   - The coordinator of a job is the instance that accepted it from a customer. It sends owners
//     offers: requests to run some tasks of the job.
//   - The owner of a group is the instance that alone may start tasks on its upstreams. Its claim,
//     a part of its heartbeats, tells the peers so.
//   - A fencing token is the number under which an instance owns a group. It rises with each
//     change of the owner, and upstreams refuse orders under a lower token than they have seen.
//   - A coordinator has a lease with each owner that runs tasks for it. Without renewals, the owner
//     stops those tasks.
//   - Hubs are the instances of a zone that may own its groups; in a small zone all are. In a large
//     zone the others, the spokes, exchange heartbeats only with the hubs of their zone.
package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/connset"
	"github.com/sedgehatch/sedgehatch/directory"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/logging"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/metrics"
	"github.com/sedgehatch/sedgehatch/platform"

	"github.com/google/uuid"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"
)

// fleetName identifies the fleet in the handshake between instances, so that instances of
// other products are rejected.
const fleetName = "sedgehatch"

// Node is one instance of sedgehatch.
type Node struct {
	settings               fleet.Instance
	self                   fate.Incarnation
	log                    *slog.Logger
	onTimeResponses        atomic.Uint64 // number of completed jobs answered within their objective; selects samples for the log
	decisions              *decisionLog
	metrics                *metrics.Set
	store                  *platform.Store
	upstreamClient         *platform.UpstreamClient
	mesh                   *inner.Mesh
	directory              *directory.Directory // of upstreams and zones; its lock is taken after all others
	invalidEntries         invalidEntries
	speeds                 *speedTable
	router                 *router
	ingress                *ingress.Coordinator
	server                 *ingress.Server
	config                 atomic.Pointer[fleet.Config]
	shuttingDown           atomic.Bool
	cancelLimiter          *rate.Limiter
	cancelsRelayed         atomic.Uint32             // selects the hub that passes the next cancellation on
	customerListenerFailed atomic.Bool               // the server for customers has ended with an error
	drainDeadline          atomic.Pointer[time.Time] // when a planned shutdown ends; nil while none is under way
	startedAt              time.Time
	ctx                    context.Context
	cancel                 context.CancelFunc
	goroutines             sync.WaitGroup
	conns                  connset.Set   // of customers, readiness probes and metrics scrapes
	peerListener           net.Listener  // for connections of peers
	customerListener       net.Listener  // for connections of customers
	readinessListener      net.Listener  // for readiness probes of the platform
	metricsListener        net.Listener  // for metrics scrapes
	logSink                *logging.Sink // writes the log; nil if the log is written by other means

	peerListReady chan struct{} // closed once the list of instances has been read for the first time

	updateMu sync.Mutex // held by updateGroups; locked before mu

	mu            sync.Mutex // guards the fields below
	peers         *membership.Table
	lastHeartbeat map[string]*inner.Presence // by name of the instance
	groups        map[string]*ownedGroup
	highestToken  uint64                 // highest fencing token seen on any instance
	dialing       map[string]bool        // instances to which contactPeer is sending a heartbeat
	dialOutcomes  map[string]dialOutcome // result of the last dial, by address of the peer
	refusedAt     map[string]time.Time   // when an instance last refused a connection, by name
	// registeredZones holds the zone of each instance that the store lists, by name.
	registeredZones map[string]string
	peerListRead    bool // the list of instances has been read at least once; peerListReady is then closed
	// emptySince holds, by zone, since when the zone has had no instance. orphanRetryAt
	// holds, by zone, when this instance may again try to take the groups of such a zone.
	emptySince, orphanRetryAt map[string]time.Time
	isolatedSince             time.Time // since when this instance has been isolated; zero while a peer is alive
	// groupCounts holds the number of groups of each availability zone.
	groupCounts map[string]int
	// lastUpstreamCount is the number of upstreams in the own zone when they were last
	// counted, and upstreamCountChangedAt is when that number last changed.
	lastUpstreamCount      int
	upstreamCountChangedAt time.Time
	configRequests         configRequests
	// upstreamRequests counts the requests to peers for the list of upstreams. It
	// selects which peer is asked next.
	upstreamRequests     int
	lastUpstreamRequest  time.Time // when refreshUpstreams last requested upstreams
	upstreamsReadAt      time.Time // when the upstreams were last read from the store; zero before the first time
	creatingGroupCount   bool      // a goroutine is writing the own zone's number of groups to the store
	lastFarHeartbeat     time.Time // when the last heartbeats were sent to far neighbours
	lastRelay            time.Time // when owners in other zones were last relayed to the spokes
	neighbours           *membership.Neighbours
	neighboursIfAllAlive *membership.Neighbours // what neighbours would be if all known instances were alive
	neighbourInputs      neighbourInputs        // what neighbours and neighboursIfAllAlive were computed from
	finalHeartbeatSent   map[string]bool        // peers that were sent a last heartbeat because neither side needs the other
	lastTakenAt          time.Time              // when this instance last took a group
	suspendedTotal       time.Duration          // total time for which the machine has been suspended, as last detected
	incrementDoublings   uint                   // number of doublings of tokenIncrement at its next use
}

// New returns an instance with open listeners. Run starts it.
func New(settings fleet.Instance, log *slog.Logger) (*Node, error) {
	injector := do.New()
	do.ProvideValue(injector, settings)
	do.ProvideValue(injector, log)
	do.ProvideValue(injector, metrics.NewSet())
	do.Provide(injector, newStore)
	do.Provide(injector, newNode)
	return do.Invoke[*Node](injector)
}

func newStore(i do.Injector) (*platform.Store, error) {
	counters := do.MustInvoke[*metrics.Set](i)
	return platform.NewStore(do.MustInvoke[fleet.Instance](i).StoreAddress, func(kind string, status int, took time.Duration) {
		counters.CountSent("store_" + kind)
		counters.Add("store_"+kind+"_"+strconv.Itoa(status), 1)
		if kind != "watch" { // a watch is a long poll: its latency says nothing about the store
			counters.Latencies.Observe("store_"+kind, took)
		}
	}), nil
}

func newNode(i do.Injector) (*Node, error) {
	settings := do.MustInvoke[fleet.Instance](i)
	n := &Node{
		settings: settings, self: fate.Incarnation(settings.Name + "." + uuid.NewString()[:8]), log: do.MustInvoke[*slog.Logger](i),
		metrics: do.MustInvoke[*metrics.Set](i), store: do.MustInvoke[*platform.Store](i), upstreamClient: platform.NewUpstreamClient(), directory: directory.New(), speeds: newSpeedTable(),
		startedAt: clock.Now(), peerListReady: make(chan struct{}),
		peers: membership.NewTable(silenceLimits), neighbours: &membership.Neighbours{IsHub: true, HubCount: 1}, neighboursIfAllAlive: &membership.Neighbours{}, finalHeartbeatSent: map[string]bool{}, lastHeartbeat: map[string]*inner.Presence{},
		groups: map[string]*ownedGroup{}, dialing: map[string]bool{}, refusedAt: map[string]time.Time{}, dialOutcomes: map[string]dialOutcome{}, registeredZones: map[string]string{}, emptySince: map[string]time.Time{}, orphanRetryAt: map[string]time.Time{}, groupCounts: map[string]int{},
	}
	n.decisions = newDecisionLog(n.log)
	n.cancelLimiter = newCancelLimiter()
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.router = newRouter(n)
	n.ingress = ingress.NewCoordinator(settings.Zone, n.router)
	n.server = ingress.NewServer(n.ingress, n, n.config.Load, n.shutdownStatus, n)
	n.mesh = inner.NewMesh(inner.Config{
		Fleet: fleetName, Self: n.self, Region: settings.Region, Zone: settings.Zone, Address: n.settings.PeerAddress,
		Resolver: n, Handler: n, OnHello: n.handleHello, Dial: n.dial, DialTimeout: dialTimeout, CountSent: n.metrics.CountSent, QueueOnly: true,
		ShareConnections: true, SilenceTimeout: n.silenceLimit, ClockMs: n.clockMs,
	})
	return n, nil
}

// listen opens the listeners. It replaces the addresses in the settings by the actual ones: tests
// ask for port 0, which selects a free port.
func (n *Node) listen() error {
	for _, l := range []struct {
		field    string
		address  *string
		listener *net.Listener
	}{
		{"peer address", &n.settings.PeerAddress, &n.peerListener},
		{"customer address", &n.settings.CustomerAddress, &n.customerListener},
		{"readiness address", &n.settings.ReadinessAddress, &n.readinessListener},
		{"metrics address", &n.settings.MetricsAddress, &n.metricsListener},
	} {
		var err error
		if *l.listener, err = net.Listen("tcp4", *l.address); err != nil {
			return failure.Field(failure.InvalidInput, l.field, "cannot listen: %v", err)
		}
		*l.address = (*l.listener).Addr().String()
	}
	return nil
}

// Close ends the instance at once: it closes all connections and abandons open jobs.
func (n *Node) Close() {
	n.cancel()
	for _, l := range []net.Listener{n.customerListener, n.readinessListener, n.metricsListener, n.peerListener} {
		_ = l.Close() // closing twice is harmless
	}
	n.conns.Close()
	n.store.Close()
	n.upstreamClient.Close()
	n.mesh.Close()
	n.mu.Lock()
	groups := n.ownedGroupsLocked()
	clear(n.groups)
	n.mu.Unlock()
	for _, g := range groups {
		g.Close()
	}
	n.ingress.Abandon()
	n.goroutines.Wait()
}

// Run starts the instance and returns at once.
func (n *Node) Run() {
	if err := clock.System.Err(); err != nil {
		event.ClockBlind.Log(n.log, slog.String("error", err.Error()))
	}
	n.goroutines.Go(func() { n.mesh.Serve(n.peerListener) })
	n.goroutines.Go(n.followOperators)
	n.goroutines.Go(n.followUpstreams)
	n.goroutines.Go(n.followPeers)
	n.goroutines.Go(n.keepRegistered)
	n.goroutines.Go(n.heartbeatLoop)
	n.serve("customers", n.serveCustomers)
	n.serve("metrics", func() error { return fasthttp.Serve(n.conns.Listener(n.metricsListener), n.serveMetrics) })
	n.serve("readiness", func() error { return fasthttp.Serve(n.conns.Listener(n.readinessListener), n.serveReadiness) })
	event.NodeStarted.Log(n.log, slog.String("incarnation", string(n.self)), slog.String("zone", n.settings.Zone),
		slog.String("customers", n.settings.CustomerAddress), slog.Bool("first_start", n.settings.FirstStart))
}

// serveCustomers serves customers until the instance ends. If that fails, the instance
// reports that it is not ready.
func (n *Node) serveCustomers() error {
	err := n.server.Serve(n.conns.Listener(n.customerListener))
	n.customerListenerFailed.Store(err != nil)
	return err
}

// serve runs a server in the background and logs the error if it ends before the instance
// does.
func (n *Node) serve(listener string, serve func() error) {
	n.goroutines.Go(func() {
		if err := serve(); err != nil && !errors.Is(err, net.ErrClosed) && n.ctx.Err() == nil {
			event.ServeFailed.Log(n.log, slog.String("listener", listener), slog.String("error", err.Error()))
		}
	})
}

// serveMetrics responds with the gauges, counters and histograms of this instance.
func (n *Node) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	n.writeGauges(ctx)
	if err := n.metrics.WriteText(ctx); err != nil {
		event.ServeFailed.Log(n.log, slog.String("listener", "metrics"), slog.String("error", err.Error()))
	}
}

// writeGauges writes the gauges that describe the current state of this instance and of the
// groups that it can offer jobs to.
func (n *Node) writeGauges(w io.Writer) {
	version := uint64(0)
	if c := n.config.Load(); c != nil {
		version = c.Version
	}
	fmt.Fprintf(w, "sedgehatch_config_version %d\nsedgehatch_open_jobs %d\n", version, n.ingress.OpenJobs())
	n.mu.Lock()
	near, far := len(n.neighbours.Near), len(n.neighbours.Far)
	n.mu.Unlock()
	fmt.Fprintf(w, "sedgehatch_neighbours{kind=\"near\"} %d\nsedgehatch_neighbours{kind=\"far\"} %d\n", near, far)
	for _, l := range n.router.Loads() {
		fmt.Fprintf(w, "sedgehatch_group_free{group=%q} %d\nsedgehatch_group_waiting{group=%q} %d\nsedgehatch_group_age_ms{group=%q} %d\n",
			l.Group, l.Free, l.Group, l.Waiting, l.Group, l.Age.Milliseconds())
	}
	n.writeZoneGauges(w)
	n.writeTrafficGauges(w)
	n.writeSpeedGauges(w)
	if n.logSink != nil {
		dropped, refused := n.logSink.Dropped()
		for _, class := range slices.Sorted(maps.Keys(dropped)) {
			fmt.Fprintf(w, "sedgehatch_log_dropped{class=%q} %d\n", class, dropped[class])
		}
		fmt.Fprintf(w, "sedgehatch_log_refused %d\n", refused)
	}
}

// writeTrafficGauges writes the bytes that this instance has received from and sent to customers,
// the store and upstreams, the bytes that it has sent to peers, and the delays of its calls to the
// upstreams that it owns.
func (n *Node) writeTrafficGauges(w io.Writer) {
	for _, l := range []struct {
		with  string
		bytes func() (read, wrote int64)
	}{{"customers", n.conns.Bytes}, {"store", n.store.Bytes}, {"upstreams", n.upstreamClient.Bytes}} {
		read, wrote := l.bytes()
		fmt.Fprintf(w, "sedgehatch_bytes{with=%q,way=\"in\"} %d\nsedgehatch_bytes{with=%q,way=\"out\"} %d\n", l.with, read, l.with, wrote)
	}
	fmt.Fprintf(w, "sedgehatch_bytes{with=\"peers\",way=\"out\"} %d\nsedgehatch_link_bytes_per_s %.0f\n", n.mesh.SentBytes(), n.settings.LinkRate)
	for _, g := range n.ownedGroups() {
		delays := g.CallDelays()
		fmt.Fprintf(w, "sedgehatch_group_overdue_ms{group=%q} %d\nsedgehatch_group_link_wait_ms{group=%q} %d\n",
			g.Name, delays.OverdueAfter.Milliseconds(), g.Name, delays.LinkDelay.Milliseconds())
	}
}

// serveReadiness responds 200 if the platform should send customers to this instance, and
// 503 otherwise.
func (n *Node) serveReadiness(ctx *fasthttp.RequestCtx) {
	if n.isReady() {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func (n *Node) isReady() bool {
	return !n.shuttingDown.Load() && !n.customerListenerFailed.Load() && n.config.Load() != nil && len(n.router.Loads()) > 0
}

// shutdownStatus implements ingress.ShutdownStatus.
func (n *Node) shutdownStatus() (remaining time.Duration, shuttingDown bool) {
	deadline := n.drainDeadline.Load()
	if deadline == nil {
		return 0, false
	}
	return clock.Until(*deadline), true
}

// Stop carries out a planned shutdown: the instance reports that it is not ready, hands its
// groups over to other instances and finishes the open jobs. It returns false if the grace
// period ended first.
func (n *Node) Stop() bool {
	began := clock.Now()
	limit := n.settings.Timing.Grace - graceMargin
	n.drainDeadline.Store(lo.ToPtr(began.Add(limit)))
	n.shuttingDown.Store(true)
	event.NodeDraining.Log(n.log, slog.Int("jobs", n.ingress.OpenJobs()))
	n.handOverForShutdown(0, limit)
	n.tick()
	drained := false
	for !drained && clock.Since(began) < limit {
		time.Sleep(drainPollInterval)
		n.handOverForShutdown(clock.Since(began), limit)
		n.releaseAndNotifyPeers()
		n.mu.Lock()
		owned := len(n.groups)
		n.mu.Unlock()
		drained = n.ingress.OpenJobs() == 0 && owned == 0 && clock.Since(began) >= minDrainTime
	}
	n.drainDeadline.Store(&began) // no time remains, so that no further job is accepted
	jobs := n.ingress.OpenJobs()
	n.ingress.Abandon()
	time.Sleep(responseFlushTime)
	event.NodeStopped.Log(n.log, slog.Bool("drained", drained), slog.Int("jobs", jobs),
		slog.Duration("took", clock.Since(began)))
	return drained
}

// Address implements inner.AddressResolver.
func (n *Node) Address(instance string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.Address(instance)
}

// handleHello records the address and zone that a peer sends when a connection opens, and
// sends the peer a heartbeat.
func (n *Node) handleHello(h *inner.Hello) {
	name := fate.Incarnation(h.GetIncarnation()).Instance()
	n.mu.Lock()
	n.peers.ApplyHello(membership.Listing{Instance: name, Address: h.GetAddress(), Region: h.GetRegion(), Zone: h.GetZone()})
	n.mu.Unlock()
	n.router.recordPeerClock(fate.Incarnation(h.GetIncarnation()), h.GetClockMs())
	n.contactPeer(name)
}

// CallEnded implements owner.Observer.
func (n *Node) CallEnded(kind string, err error, took time.Duration) {
	n.metrics.CountSent(kind)
	if err != nil {
		n.metrics.CountWasted(kind)
		n.metrics.Add(kind+"_"+failure.Code(err), 1)
		return
	}
	if kind != "hold" { // a hold is a long poll: its latency says nothing about the upstream
		n.metrics.Latencies.Observe("upstream_"+kind, took)
	}
}

// CallOverdue implements owner.Observer.
func (n *Node) CallOverdue(kind string) { n.metrics.Add(kind+"_overdue", 1) }
