// Package node puts an instance on the users' platform together: customers come
// in through ingress, owned groups of upstreams run in owner, peers are reached
// by the inner protocol, and the platform's store is followed.
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
	"github.com/sedgehatch/sedgehatch/schedule"

	"github.com/google/uuid"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"github.com/valyala/fasthttp"
)

// fleetName keeps instances of other products from joining.
const fleetName = "sedgehatch"

// Node is one instance.
type Node struct {
	settings               fleet.Instance
	self                   fate.Incarnation
	log                    *slog.Logger
	onTimeAnswers          atomic.Uint64 // to jobs that were complete in time
	decisions              *decisionLog
	metrics                *metrics.Set
	store                  *platform.Store
	upstreamClient         *platform.UpstreamClient
	mesh                   *inner.Mesh
	directory              *directory.Directory // of upstreams; its lock is taken last
	refusals               entryRefusals
	router                 *router
	ingress                *ingress.Coordinator
	server                 *ingress.Server
	config                 atomic.Pointer[fleet.Config]
	leaving                atomic.Bool
	customerListenerFailed atomic.Bool               // customers cannot be served: their listener ended with an error
	drainDeadline          atomic.Pointer[time.Time] // of jobs in a planned stop; nil without one
	startedAt              time.Time
	ctx                    context.Context
	cancel                 context.CancelFunc
	goroutines             sync.WaitGroup
	conns                  connset.Set   // of customers and of the platform's questions
	peerListener           net.Listener  // of peers
	customerListener       net.Listener  // of customers
	readinessListener      net.Listener  // of the platform's question
	metricsListener        net.Listener  // of metrics
	logSink                *logging.Sink // of the log; nil where it is written otherwise

	peerListReady chan struct{} // closed once the instances have been read

	updateMu sync.Mutex // held while groups are given their upstreams; taken before mu

	mu            sync.Mutex // guards what follows
	peers         *membership.Table
	lastHeartbeat map[string]*inner.Presence // by instance
	groups        map[string]*ownedGroup
	highestToken  uint64                 // fencing token heard of
	dialing       map[string]bool        // instances that are being connected to
	dialOutcomes  map[string]dialOutcome // of the addresses of peers
	refusedAt     map[string]time.Time   // when a connection to an instance was refused last
	// registeredZones holds the zones of the instances that the store lists now.
	registeredZones map[string]string
	peerListRead    bool // the instances have been read once; listed is closed then
	// emptySince holds since when a zone has no instance, and orphanRetryAt when
	// its groups may be tried again.
	emptySince, orphanRetryAt map[string]time.Time
	isolatedSince             time.Time // since when no peer is heard
	// groupCounts is how many groups each availability zone has.
	groupCounts map[string]int
	// lastUpstreamCount is how many upstreams the own zone had when that changed last.
	lastUpstreamCount      int
	upstreamCountChangedAt time.Time
	configRequests         configRequests
	// upstreamRequests counts the peers that were asked for upstreams.
	upstreamRequests     int
	creatingGroupCount   bool      // the number of groups is being written
	lastFarHeartbeat     time.Time // when far neighbours heard last
	lastRelay            time.Time // when spokes heard last of owners in other zones
	neighbours           *membership.Neighbours
	neighboursIfAllAlive *membership.Neighbours // as around, if nobody were lost
	neighbourInputs      neighbourInputs        // what both follow from
	finalHeartbeatSent   map[string]bool        // instances that were told that neither needs the other
	lastTakenAt          time.Time              // when the last group was taken
	suspendedTotal       time.Duration          // of this machine, as noticed last
	incrementDoublings   uint                   // how often a token had to be raised beyond the time
}

// New makes an instance and its listeners. Run starts it.
func New(in fleet.Instance, log *slog.Logger) (*Node, error) {
	injector := do.New()
	do.ProvideValue(injector, in)
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
		if kind != "watch" { // which waits for changes
			counters.Latencies.Observe("store_"+kind, took)
		}
	}), nil
}

func newNode(i do.Injector) (*Node, error) {
	in := do.MustInvoke[fleet.Instance](i)
	n := &Node{
		settings: in, self: fate.Incarnation(in.Name + "." + uuid.NewString()[:8]), log: do.MustInvoke[*slog.Logger](i),
		metrics: do.MustInvoke[*metrics.Set](i), store: do.MustInvoke[*platform.Store](i), upstreamClient: platform.NewUpstreamClient(), directory: directory.New(),
		startedAt: clock.Now(), peerListReady: make(chan struct{}),
		peers: membership.NewTable(silenceLimits), neighbours: &membership.Neighbours{IsHub: true, HubCount: 1}, neighboursIfAllAlive: &membership.Neighbours{}, finalHeartbeatSent: map[string]bool{}, lastHeartbeat: map[string]*inner.Presence{},
		groups: map[string]*ownedGroup{}, dialing: map[string]bool{}, refusedAt: map[string]time.Time{}, dialOutcomes: map[string]dialOutcome{}, registeredZones: map[string]string{}, emptySince: map[string]time.Time{}, orphanRetryAt: map[string]time.Time{}, groupCounts: map[string]int{},
	}
	n.decisions = newDecisionLog(n.log)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.router = newRouter(n)
	n.ingress = ingress.NewCoordinator(in.Zone, n.router)
	n.server = ingress.NewServer(n.ingress, n.config.Load, n.shutdownStatus, n)
	n.mesh = inner.NewMesh(inner.Config{
		Fleet: fleetName, Self: n.self, Region: in.Region, Zone: in.Zone, Address: n.settings.PeerAddress,
		Resolver: n, Handler: n, OnHello: n.handleHello, Dial: n.dial, DialTimeout: dialTimeout, CountSent: n.metrics.CountSent, QueueOnly: true,
		ShareConnections: true, SilenceTimeout: n.silenceLimit, ClockMs: n.clockMs,
	})
	return n, nil
}

// listen opens the listeners. Port 0 picks one, for tests.
func (n *Node) listen() error {
	for _, l := range []struct {
		field   string
		address *string
		into    *net.Listener
	}{
		{"peer address", &n.settings.PeerAddress, &n.peerListener},
		{"customer address", &n.settings.CustomerAddress, &n.customerListener},
		{"readiness address", &n.settings.ReadinessAddress, &n.readinessListener},
		{"metrics address", &n.settings.MetricsAddress, &n.metricsListener},
	} {
		var err error
		if *l.into, err = net.Listen("tcp4", *l.address); err != nil {
			return failure.Field(failure.InvalidInput, l.field, "cannot listen: %v", err)
		}
		*l.address = (*l.into).Addr().String()
	}
	return nil
}

// Close ends the instance at once: what is open is cut off.
func (n *Node) Close() {
	n.cancel()
	for _, l := range []net.Listener{n.customerListener, n.readinessListener, n.metricsListener, n.peerListener} {
		_ = l.Close() // a second close changes nothing
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

// serveCustomers serves until the instance ends. An instance that cannot is not ready.
func (n *Node) serveCustomers() error {
	err := n.server.Serve(n.conns.Listener(n.customerListener))
	n.customerListenerFailed.Store(err != nil)
	return err
}

func (n *Node) serve(what string, serve func() error) {
	n.goroutines.Go(func() {
		if err := serve(); err != nil && !errors.Is(err, net.ErrClosed) && n.ctx.Err() == nil {
			event.ServeFailed.Log(n.log, slog.String("listener", what), slog.String("error", err.Error()))
		}
	})
}

// serveMetrics answers with the counters and histograms of this instance, and
// what it knows of groups.
func (n *Node) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	n.writeGauges(ctx)
	if err := n.metrics.WriteText(ctx); err != nil {
		event.ServeFailed.Log(n.log, slog.String("listener", "metrics"), slog.String("error", err.Error()))
	}
}

// writeGauges writes the state of this instance.
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
	if n.logSink != nil {
		dropped, refused := n.logSink.Dropped()
		for _, class := range slices.Sorted(maps.Keys(dropped)) {
			fmt.Fprintf(w, "sedgehatch_log_dropped{class=%q} %d\n", class, dropped[class])
		}
		fmt.Fprintf(w, "sedgehatch_log_refused %d\n", refused)
	}
}

// writeTrafficGauges writes what this instance has sent and read, by whom it speaks to, and
// what the calls to its upstreams wait for.
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
		waits := g.CallDelays()
		fmt.Fprintf(w, "sedgehatch_group_overdue_ms{group=%q} %d\nsedgehatch_group_link_wait_ms{group=%q} %d\n",
			g.Name, waits.OverdueAfter.Milliseconds(), g.Name, waits.LinkWait.Milliseconds())
	}
}

// serveReadiness answers whether customers should be sent here.
func (n *Node) serveReadiness(ctx *fasthttp.RequestCtx) {
	if n.isReady() {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func (n *Node) isReady() bool {
	return !n.leaving.Load() && !n.customerListenerFailed.Load() && n.config.Load() != nil && len(n.router.Loads()) > 0
}

// shutdownStatus implements ingress.ShutdownStatus.
func (n *Node) shutdownStatus() (left time.Duration, stopping bool) {
	ends := n.drainDeadline.Load()
	if ends == nil {
		return 0, false
	}
	return clock.Until(*ends), true
}

// Stop is a planned stop: customers are sent elsewhere, owned groups go to
// others, and what is open is finished. It reports false where the grace ended
// first.
func (n *Node) Stop() bool {
	began := clock.Now()
	limit := n.settings.Timing.Grace - graceMargin
	n.drainDeadline.Store(lo.ToPtr(began.Add(limit)))
	n.leaving.Store(true)
	event.NodeDraining.Log(n.log, slog.Int("jobs", n.ingress.OpenJobs()))
	n.handOverForShutdown(0, limit)
	n.tick()
	drained := false
	for !drained && clock.Since(began) < limit {
		time.Sleep(drainPollInterval)
		n.handOverForShutdown(clock.Since(began), limit)
		n.releaseAndNotifyPeers()
		n.mu.Lock()
		owns := len(n.groups)
		n.mu.Unlock()
		drained = n.ingress.OpenJobs() == 0 && owns == 0 && clock.Since(began) >= minDrainTime
	}
	n.drainDeadline.Store(&began) // no job is taken any more
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

// handleHello takes what a peer says of itself when a connection opens. One that is not
// heard yet is answered with a connection the other way.
func (n *Node) handleHello(h *inner.Hello) {
	name := fate.Incarnation(h.GetIncarnation()).Instance()
	n.mu.Lock()
	n.peers.ApplyHello(membership.Listing{Instance: name, Address: h.GetAddress(), Region: h.GetRegion(), Zone: h.GetZone()})
	n.mu.Unlock()
	n.router.recordPeerClock(fate.Incarnation(h.GetIncarnation()), h.GetClockMs())
	n.contactPeer(name)
}

// DecisionMade implements owner.Observer.
func (n *Node) DecisionMade(group string, token uint64, d schedule.Decision) {
	n.decisions.record(group, token, d)
}

// CallEnded implements owner.Observer.
func (n *Node) CallEnded(kind string, err error, took time.Duration) {
	n.metrics.CountSent(kind)
	if err != nil {
		n.metrics.CountWasted(kind)
		n.metrics.Add(kind+"_"+failure.Code(err), 1)
		return
	}
	if kind != "hold" { // which waits for as long as it is told to
		n.metrics.Latencies.Observe("upstream_"+kind, took)
	}
}

// CallOverdue implements owner.Observer.
func (n *Node) CallOverdue(kind string) { n.metrics.Add(kind+"_overdue", 1) }

// RecordResponse implements ingress.Recorder.
func (n *Node) RecordResponse(r ingress.Record) {
	n.metrics.Add("answer_"+r.Route+"_"+string(r.Verdict), 1)
	if r.Verdict != ingress.Completed {
		n.metrics.Add("cause_"+string(r.Verdict)+": "+r.Reason, 1)
	} else if r.Late {
		n.metrics.Add("answer_"+r.Route+"_late", 1)
	}
	n.metrics.Latencies.Observe("request_"+string(r.Verdict), r.Took)
	n.logAnswer(r)
}
