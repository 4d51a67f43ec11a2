// Package dispatch runs the decisions of fate and placement: it carries the
// permits to witnesses, the requests for places to brokers, the starts to
// upstreams, and the answers to whoever waits for them.
//
// State is in shards, each under its own lock: one per permit log, one per log
// witnessed, one per pool brokered. No lock is held over I/O.
package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/metrics"
	"github.com/sedgehatch/sedgehatch/placement"
	"github.com/sedgehatch/sedgehatch/tracing"
	"github.com/sedgehatch/sedgehatch/upstream"
)

// Peers carries frames to other instances; inner.Mesh does.
type Peers interface {
	TrySend(peer fate.Incarnation, f *inner.Frame) error
	CallAsync(peer fate.Incarnation, f *inner.Frame, done func(*inner.Frame, error)) error
	Call(ctx context.Context, peer fate.Incarnation, f *inner.Frame) (*inner.Frame, error)
}

// Config is what a Dispatcher needs to know. Zero values get the defaults.
type Config struct {
	Self   fate.Incarnation
	Region string
	Zone   string
	Rack   string
	Shards int // logs that take sessions side by side, per scope
	// Retention bounds the answers that are kept, per log.
	Retention fate.Retention
	// RotateLogsAfter is how long a log takes sessions before the next one does.
	RotateLogsAfter time.Duration
	// LeaseDuration is how long an upstream may run a task without a renewal.
	LeaseDuration time.Duration
	// UpstreamLostAfter is how long an upstream may be silent about a lease before its
	// task's outcome is unknown.
	UpstreamLostAfter time.Duration
	// WitnessTimeout is how long a witness, or a home asked by its witness, may
	// be silent before it is taken for lost.
	WitnessTimeout time.Duration
	// ResultAppendDelay is how long results may wait for the next append.
	ResultAppendDelay time.Duration
	// ReleaseDelay is how long free places may wait for company on their way
	// back to a broker where nobody waits for them.
	ReleaseDelay time.Duration
	// GrantDelay is how long places that came back wait for others before they are
	// granted together.
	GrantDelay   time.Duration
	Broker       placement.BrokerConfig
	Placement    PlacementMode
	DialUpstream upstream.DialFunc
	Metrics      *metrics.Set
	Tracer       *tracing.Tracer
	Log          *slog.Logger
}

// PlacementMode is how entries share upstreams. All but PlacementBroker are there to be
// compared with.
type PlacementMode string

// The ways to share upstreams.
const (
	// PlacementBroker has one broker for each pool, that knows its slots exactly.
	PlacementBroker PlacementMode = "broker"
	// PlacementStatic gives each entry upstreams of its own.
	PlacementStatic PlacementMode = "static"
	// PlacementGuess has each entry place on all upstreams as if it were alone.
	PlacementGuess PlacementMode = "guess"
	// PlacementProbe asks two upstreams drawn at random for each task, and takes
	// the first that is free.
	PlacementProbe PlacementMode = "probe"
)

// Defaults of Config.
const (
	DefaultShards            = 4
	DefaultRotateLogsAfter   = 10 * time.Minute
	DefaultLeaseDuration     = 10 * time.Second
	DefaultUpstreamLostAfter = 5 * time.Second
	DefaultWitnessTimeout    = 1500 * time.Millisecond
	DefaultResultAppendDelay = 300 * time.Millisecond
	DefaultReleaseDelay      = 40 * time.Millisecond
	DefaultGrantDelay        = 3 * time.Millisecond
)

// DefaultRetention is the retention of one log.
var DefaultRetention = fate.Retention{MaxBytes: 8 << 20, MaxCount: 20000, MaxAgeMs: (10 * time.Minute).Milliseconds()}

func (c *Config) fill() {
	or := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	or(&c.RotateLogsAfter, DefaultRotateLogsAfter)
	or(&c.LeaseDuration, DefaultLeaseDuration)
	or(&c.UpstreamLostAfter, DefaultUpstreamLostAfter)
	or(&c.WitnessTimeout, DefaultWitnessTimeout)
	or(&c.ResultAppendDelay, DefaultResultAppendDelay)
	or(&c.ReleaseDelay, DefaultReleaseDelay)
	or(&c.GrantDelay, DefaultGrantDelay)
	if c.Placement == "" {
		c.Placement = PlacementBroker
	}
	if c.Shards == 0 {
		c.Shards = DefaultShards
	}
	if c.Retention == (fate.Retention{}) {
		c.Retention = DefaultRetention
	}
	if c.Broker == (placement.BrokerConfig{}) {
		c.Broker = placement.DefaultBrokerConfig
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewSet()
	}
	if c.Tracer == nil {
		c.Tracer = tracing.Disabled()
	}
}

// Tuning is what operators may change while an instance runs.
type Tuning struct {
	Retention    fate.Retention
	MaxQueued    int
	ReleaseDelay time.Duration
	// Shares are the parts of services in the fleet.
	Shares map[string]placement.Share
}

// ConfiguredTuning returns the tuning that the instance was configured with.
func (d *Dispatcher) ConfiguredTuning() Tuning {
	return Tuning{Retention: d.cfg.Retention, MaxQueued: d.cfg.Broker.MaxQueued, ReleaseDelay: d.cfg.ReleaseDelay}
}

// SetTuning puts t in force.
func (d *Dispatcher) SetTuning(t Tuning) {
	d.tuning.Store(&t)
	d.brokers.rebind(d.view.Load())
}

// Dispatcher is one instance's share of the fleet's work: home, witness and
// broker at once.
type Dispatcher struct {
	cfg       Config
	peers     Peers
	view      atomic.Pointer[View]
	upstreams upstreams
	homes     homes
	witnesses witnesses
	slots     slots
	brokers   brokers
	leaving   atomic.Bool
	tuning    atomic.Pointer[Tuning]

	stop    context.Context
	cancel  context.CancelFunc
	running sync.WaitGroup
}

// New returns a dispatcher that knows nobody yet; Run makes it work.
func New(cfg Config, peers Peers) *Dispatcher {
	cfg.fill()
	d := &Dispatcher{cfg: cfg, peers: peers}
	d.stop, d.cancel = context.WithCancel(context.Background())
	d.view.Store(&View{OtherInstances: -1})
	tuned := d.ConfiguredTuning()
	d.tuning.Store(&tuned)
	d.upstreams.init(d)
	d.homes.init(d)
	d.witnesses.init(d)
	d.slots.init(d)
	d.brokers.init(d)
	return d
}

// tickEvery is how often time passes for brokers and answers.
const tickEvery = 50 * time.Millisecond

// Run lets time pass until Close.
func (d *Dispatcher) Run() {
	d.running.Go(func() {
		ticker := time.NewTicker(tickEvery)
		defer ticker.Stop()
		for {
			select {
			case <-d.stop.Done():
				return
			case now := <-ticker.C:
				d.tick(now)
			}
		}
	})
}

func (d *Dispatcher) tick(now time.Time) {
	d.brokers.tick(now)
	d.slots.tick(now)
	d.homes.tick(now)
	d.witnesses.tick(now)
}

// Close ends everything at once. What is in flight is left to the witnesses.
func (d *Dispatcher) Close() {
	d.cancel()
	d.slots.close()
	d.upstreams.close()
	d.running.Wait()
}

// ActiveJobs returns the number of submissions that this instance is home to and
// that have no fate yet.
func (d *Dispatcher) ActiveJobs() int { return d.homes.active() }

// Load returns the free slots and the queued tasks of the pools that this
// instance brokers.
func (d *Dispatcher) Load() (free, queued int) { return d.brokers.load() }

// Drain makes the instance take no new sessions and jobs. Those that it has go
// on; Active tells when none is left.
func (d *Dispatcher) Drain() { d.leaving.Store(true) }

func millis(t time.Time) int64 { return t.UnixMilli() }

func nowMs() int64 { return millis(time.Now()) }
