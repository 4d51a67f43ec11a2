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
	in        fleet.Instance
	self      fate.Incarnation
	log       *slog.Logger
	answers   atomic.Uint64 // to jobs that were complete in time
	decisions *decisionLog
	metrics   *metrics.Set
	store     *platform.Store
	calls     *platform.Upstreams
	mesh      *inner.Mesh
	directory *directory.Directory // of upstreams; its lock is taken last
	refusals  entryRefusals
	router    *router
	ingress   *ingress.Coordinator
	server    *ingress.Server
	config    atomic.Pointer[fleet.Config]
	leaving   atomic.Bool
	unserved  atomic.Bool               // customers cannot be served: their listener ended with an error
	ends      atomic.Pointer[time.Time] // of jobs in a planned stop; nil without one
	began     time.Time
	stop      context.Context
	cancel    context.CancelFunc
	running   sync.WaitGroup
	conns     connset.Set   // of customers and of the platform's questions
	listener  net.Listener  // of peers
	public    net.Listener  // of customers
	ready     net.Listener  // of the platform's question
	figures   net.Listener  // of metrics
	sink      *logging.Sink // of the log; nil where it is written otherwise

	listed chan struct{} // closed once the instances have been read

	updating sync.Mutex // held while groups are given their upstreams; taken before mu

	mu      sync.Mutex // guards what follows
	table   *membership.Table
	heard   map[string]*inner.Presence // by instance
	groups  map[string]*held
	highest uint64                 // fencing token heard of
	dialing map[string]bool        // instances that are being connected to
	dials   map[string]dialOutcome // of the addresses of peers
	absent  map[string]time.Time   // when a connection to an instance was refused last
	// registered holds the zones of the instances that the store lists now.
	registered map[string]string
	peersRead  bool // the instances have been read once; listed is closed then
	// unstaffed holds since when a zone has no instance, and orphanRetry when
	// its groups may be tried again.
	unstaffed, orphanRetry map[string]time.Time
	alone                  time.Time // since when no peer is heard
	// groupCounts is how many groups each availability zone has.
	groupCounts map[string]int
	// lastCount is how many upstreams the own zone had when that changed last.
	lastCount   int
	lastCountAt time.Time
	configAsk   configAsk
	// upstreamAsks counts the peers that were asked for upstreams.
	upstreamAsks int
	counting     bool      // the number of groups is being written
	toldFar      time.Time // when far neighbours heard last
	relayed      time.Time // when spokes heard last of owners in other zones
	around       *membership.Neighbours
	sought       *membership.Neighbours // as around, if nobody were lost
	basis        neighbourBasis         // what both follow from
	parted       map[string]bool        // instances that were told that neither needs the other
	taken        time.Time              // when the last group was taken
	suspended    time.Duration          // of this machine, as noticed last
	leaps        uint                   // how often a token had to be raised beyond the time
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
		in: in, self: fate.Incarnation(in.Name + "." + uuid.NewString()[:8]), log: do.MustInvoke[*slog.Logger](i),
		metrics: do.MustInvoke[*metrics.Set](i), store: do.MustInvoke[*platform.Store](i), calls: platform.NewUpstreams(), directory: directory.New(),
		began: clock.Now(), listed: make(chan struct{}),
		table: membership.NewTable(silence), around: &membership.Neighbours{IsHub: true, HubCount: 1}, sought: &membership.Neighbours{}, parted: map[string]bool{}, heard: map[string]*inner.Presence{},
		groups: map[string]*held{}, dialing: map[string]bool{}, absent: map[string]time.Time{}, dials: map[string]dialOutcome{}, registered: map[string]string{}, unstaffed: map[string]time.Time{}, orphanRetry: map[string]time.Time{}, groupCounts: map[string]int{},
	}
	n.decisions = newDecisionLog(n.log)
	n.stop, n.cancel = context.WithCancel(context.Background())
	if err := n.listen(); err != nil {
		return nil, err
	}
	n.router = newRouter(n)
	n.ingress = ingress.NewCoordinator(in.Zone, n.router)
	n.server = ingress.NewServer(n.ingress, n.config.Load, n.stopping, n)
	n.mesh = inner.NewMesh(inner.Config{
		Fleet: fleetName, Self: n.self, Region: in.Region, Zone: in.Zone, Address: n.in.PeerAddress,
		Directory: n, Handler: n, Met: n.met, Dial: n.dial, DialTimeout: dialTimeout, Count: n.metrics.CountSent, QueueOnly: true,
		Shared: true, Silence: n.silenceOf, Clock: n.clockMs,
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
		{"peer address", &n.in.PeerAddress, &n.listener},
		{"customer address", &n.in.CustomerAddress, &n.public},
		{"readiness address", &n.in.ReadinessAddress, &n.ready},
		{"metrics address", &n.in.MetricsAddress, &n.figures},
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
	for _, l := range []net.Listener{n.public, n.ready, n.figures, n.listener} {
		_ = l.Close() // a second close changes nothing
	}
	n.conns.Close()
	n.store.Close()
	n.calls.Close()
	n.mesh.Close()
	n.mu.Lock()
	groups := n.ownedGroups()
	clear(n.groups)
	n.mu.Unlock()
	for _, g := range groups {
		g.Close()
	}
	n.ingress.Abandon()
	n.running.Wait()
}

// Run starts the instance and returns at once.
func (n *Node) Run() {
	if err := clock.System.Err(); err != nil {
		event.ClockBlind.Log(n.log, slog.String("error", err.Error()))
	}
	n.running.Go(func() { n.mesh.Serve(n.listener) })
	n.running.Go(n.followOperators)
	n.running.Go(n.followUpstreams)
	n.running.Go(n.followPeers)
	n.running.Go(n.register)
	n.running.Go(n.beat)
	n.serve("customers", n.serveCustomers)
	n.serve("metrics", func() error { return fasthttp.Serve(n.conns.Listener(n.figures), n.tellMetrics) })
	n.serve("readiness", func() error { return fasthttp.Serve(n.conns.Listener(n.ready), n.readiness) })
	event.NodeStarted.Log(n.log, slog.String("incarnation", string(n.self)), slog.String("zone", n.in.Zone),
		slog.String("customers", n.in.CustomerAddress), slog.Bool("first_start", n.in.FirstStart))
}

// serveCustomers serves until the instance ends. An instance that cannot is not ready.
func (n *Node) serveCustomers() error {
	err := n.server.Serve(n.conns.Listener(n.public))
	n.unserved.Store(err != nil)
	return err
}

func (n *Node) serve(what string, serve func() error) {
	n.running.Go(func() {
		if err := serve(); err != nil && !errors.Is(err, net.ErrClosed) && n.stop.Err() == nil {
			event.ServeFailed.Log(n.log, slog.String("listener", what), slog.String("error", err.Error()))
		}
	})
}

// tellMetrics answers with the counters and histograms of this instance, and
// what it knows of groups.
func (n *Node) tellMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; charset=utf-8")
	n.gauges(ctx)
	if err := n.metrics.WriteText(ctx); err != nil {
		event.ServeFailed.Log(n.log, slog.String("listener", "metrics"), slog.String("error", err.Error()))
	}
}

// gauges writes the state of this instance.
func (n *Node) gauges(w io.Writer) {
	version := uint64(0)
	if c := n.config.Load(); c != nil {
		version = c.Version
	}
	fmt.Fprintf(w, "sedgehatch_config_version %d\nsedgehatch_open_jobs %d\n", version, n.ingress.Open())
	n.mu.Lock()
	near, far := len(n.around.Near), len(n.around.Far)
	n.mu.Unlock()
	fmt.Fprintf(w, "sedgehatch_neighbours{kind=\"near\"} %d\nsedgehatch_neighbours{kind=\"far\"} %d\n", near, far)
	for _, l := range n.router.Loads() {
		fmt.Fprintf(w, "sedgehatch_group_free{group=%q} %d\nsedgehatch_group_waiting{group=%q} %d\nsedgehatch_group_age_ms{group=%q} %d\n",
			l.Group, l.Free, l.Group, l.Waiting, l.Group, l.Age.Milliseconds())
	}
	n.zoneGauges(w)
	n.linkGauges(w)
	if n.sink != nil {
		dropped, refused := n.sink.Dropped()
		for _, class := range slices.Sorted(maps.Keys(dropped)) {
			fmt.Fprintf(w, "sedgehatch_log_dropped{class=%q} %d\n", class, dropped[class])
		}
		fmt.Fprintf(w, "sedgehatch_log_refused %d\n", refused)
	}
}

// linkGauges writes what this instance has sent and read, by whom it speaks to, and
// what the calls to its upstreams wait for.
func (n *Node) linkGauges(w io.Writer) {
	for _, l := range []struct {
		with  string
		bytes func() (read, wrote int64)
	}{{"customers", n.conns.Bytes}, {"store", n.store.Bytes}, {"upstreams", n.calls.Bytes}} {
		read, wrote := l.bytes()
		fmt.Fprintf(w, "sedgehatch_bytes{with=%q,way=\"in\"} %d\nsedgehatch_bytes{with=%q,way=\"out\"} %d\n", l.with, read, l.with, wrote)
	}
	fmt.Fprintf(w, "sedgehatch_bytes{with=\"peers\",way=\"out\"} %d\nsedgehatch_link_bytes_per_s %.0f\n", n.mesh.Sent(), n.in.LinkRate)
	for _, g := range n.owned() {
		waits := g.Waits()
		fmt.Fprintf(w, "sedgehatch_group_overdue_ms{group=%q} %d\nsedgehatch_group_link_wait_ms{group=%q} %d\n",
			g.Name, waits.Overdue.Milliseconds(), g.Name, waits.Link.Milliseconds())
	}
}

// readiness answers whether customers should be sent here.
func (n *Node) readiness(ctx *fasthttp.RequestCtx) {
	if n.isReady() {
		ctx.SetStatusCode(fasthttp.StatusOK)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
}

func (n *Node) isReady() bool {
	return !n.leaving.Load() && !n.unserved.Load() && n.config.Load() != nil && len(n.router.Loads()) > 0
}

// stopping implements ingress.Stopping.
func (n *Node) stopping() (left time.Duration, stopping bool) {
	ends := n.ends.Load()
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
	limit := n.in.Timing.Grace - graceMargin
	n.ends.Store(lo.ToPtr(began.Add(limit)))
	n.leaving.Store(true)
	event.NodeDraining.Log(n.log, slog.Int("jobs", n.ingress.Open()))
	n.handOver(0, limit)
	n.tick()
	drained := false
	for !drained && clock.Since(began) < limit {
		time.Sleep(drainPoll)
		n.handOver(clock.Since(began), limit)
		n.release()
		n.mu.Lock()
		owns := len(n.groups)
		n.mu.Unlock()
		drained = n.ingress.Open() == 0 && owns == 0 && clock.Since(began) >= minDrain
	}
	n.ends.Store(&began) // no job is taken any more
	jobs := n.ingress.Open()
	n.ingress.Abandon()
	time.Sleep(flushTime)
	event.NodeStopped.Log(n.log, slog.Bool("drained", drained), slog.Int("jobs", jobs),
		slog.Duration("took", clock.Since(began)))
	return drained
}

// Address implements inner.Directory.
func (n *Node) Address(instance string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Address(instance)
}

// met takes what a peer says of itself when a connection opens. One that is not
// heard yet is answered with a connection the other way.
func (n *Node) met(h *inner.Hello) {
	name := fate.Incarnation(h.GetIncarnation()).Instance()
	n.mu.Lock()
	n.table.ApplyHello(membership.Listing{Instance: name, Address: h.GetAddress(), Region: h.GetRegion(), Zone: h.GetZone()})
	n.mu.Unlock()
	n.router.heardClock(fate.Incarnation(h.GetIncarnation()), h.GetClockMs())
	n.introduce(name)
}

// Decided implements owner.Observer.
func (n *Node) Decided(group string, token uint64, d schedule.Decision) {
	n.decisions.decided(group, token, d)
}

// Called implements owner.Observer.
func (n *Node) Called(kind string, err error, took time.Duration) {
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

// Overdue implements owner.Observer.
func (n *Node) Overdue(kind string) { n.metrics.Add(kind+"_overdue", 1) }

// Answered implements ingress.Recorder.
func (n *Node) Answered(r ingress.Record) {
	n.metrics.Add("answer_"+r.Route+"_"+string(r.Verdict), 1)
	if r.Verdict != ingress.Completed {
		n.metrics.Add("cause_"+string(r.Verdict)+": "+r.Reason, 1)
	} else if r.Late {
		n.metrics.Add("answer_"+r.Route+"_late", 1)
	}
	n.metrics.Latencies.Observe("request_"+string(r.Verdict), r.Took)
	n.logAnswer(r)
}
