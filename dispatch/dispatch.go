// Package dispatch carries out the decisions of packages fate and placement: it
// sends permits to witnesses, requests for slots to brokers, starts to upstreams
// and answers to waiting callers.
//
// An instance has three roles. It is the home of the permit logs in which it
// accepts jobs, the witness of logs of other instances, and the broker of pools:
// a broker grants the slots of the upstreams of its pool to the homes that request
// them. A ticket is one request for slots.
//
// State is sharded, with one lock for each permit log, each witnessed log and
// each pool that the instance is the broker of. No lock is held during I/O.
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

// Peers sends frames to other instances. It is implemented by inner.Mesh.
type Peers interface {
	TrySend(peer fate.Incarnation, f *inner.Frame) error
	CallAsync(peer fate.Incarnation, f *inner.Frame, done func(*inner.Frame, error)) error
	Call(ctx context.Context, peer fate.Incarnation, f *inner.Frame) (*inner.Frame, error)
}

// Config configures a Dispatcher. Zero values are replaced by the defaults.
type Config struct {
	Self   fate.Incarnation
	Region string
	Zone   string
	Rack   string
	Shards int // number of logs that accept sessions at the same time, per witness scope
	// Retention limits the answers kept, per log.
	Retention fate.Retention
	// RotateLogsAfter is how long a log accepts new sessions before the next log
	// replaces it.
	RotateLogsAfter time.Duration
	// LeaseDuration is how long an upstream may run a task without a renewal.
	LeaseDuration time.Duration
	// UpstreamLostAfter is how long an upstream may leave requests about a lease
	// unanswered before the outcome of the task counts as unknown.
	UpstreamLostAfter time.Duration
	// WitnessTimeout is how long a witness, or a home contacted by its witness, may
	// leave requests unanswered before it is considered lost.
	WitnessTimeout time.Duration
	// ResultAppendDelay is how long task results may wait to be sent in one append
	// with a permit or verdict.
	ResultAppendDelay time.Duration
	// ReleaseDelay is how long free slots may wait to be released to their broker
	// together with others, as long as no task is queued there.
	ReleaseDelay time.Duration
	// GrantDelay is how long released slots wait to be granted together with others.
	GrantDelay   time.Duration
	Broker       placement.BrokerConfig
	Placement    PlacementMode
	DialUpstream upstream.DialFunc
	Metrics      *metrics.Set
	Tracer       *tracing.Tracer
	Log          *slog.Logger
}

// PlacementMode is the way in which instances share upstreams. Modes other than
// PlacementBroker exist for comparison in experiments.
type PlacementMode string

// The placement modes.
const (
	// PlacementBroker uses one broker per pool, which tracks the slots of the pool
	// exactly.
	PlacementBroker PlacementMode = "broker"
	// PlacementStatic gives each instance upstreams of its own.
	PlacementStatic PlacementMode = "static"
	// PlacementGuess lets each instance use all upstreams as if it were the only
	// instance.
	PlacementGuess PlacementMode = "guess"
	// PlacementProbe requests a slot of two random upstreams for each task, and
	// uses the first one granted.
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

func (c *Config) setDefaults() {
	setDefault := func(d *time.Duration, v time.Duration) {
		if *d == 0 {
			*d = v
		}
	}
	setDefault(&c.RotateLogsAfter, DefaultRotateLogsAfter)
	setDefault(&c.LeaseDuration, DefaultLeaseDuration)
	setDefault(&c.UpstreamLostAfter, DefaultUpstreamLostAfter)
	setDefault(&c.WitnessTimeout, DefaultWitnessTimeout)
	setDefault(&c.ResultAppendDelay, DefaultResultAppendDelay)
	setDefault(&c.ReleaseDelay, DefaultReleaseDelay)
	setDefault(&c.GrantDelay, DefaultGrantDelay)
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

// Tuning holds the settings that operators can change while an instance runs.
type Tuning struct {
	Retention    fate.Retention
	MaxQueued    int // tasks that may be queued at a broker, per pool
	ReleaseDelay time.Duration
	// Shares holds the shares of the fleet by service.
	Shares map[string]placement.Share
}

// ConfiguredTuning returns the values that the instance was started with.
func (d *Dispatcher) ConfiguredTuning() Tuning {
	return Tuning{Retention: d.cfg.Retention, MaxQueued: d.cfg.Broker.MaxQueued, ReleaseDelay: d.cfg.ReleaseDelay}
}

// SetTuning applies t.
func (d *Dispatcher) SetTuning(t Tuning) {
	d.tuning.Store(&t)
	d.brokers.applyView(d.view.Load())
}

// Dispatcher runs the jobs of one instance, in its roles as home, witness and
// broker.
type Dispatcher struct {
	cfg         Config
	peers       Peers
	view        atomic.Pointer[View]
	upstreams   upstreamClients
	homeLogs    homeLogs
	witnessLogs witnessLogs
	slots       slots
	brokers     brokers
	draining    atomic.Bool
	tuning      atomic.Pointer[Tuning]

	ctx        context.Context
	cancel     context.CancelFunc
	background sync.WaitGroup
}

// New returns a dispatcher without a view of the fleet. It has to be given one
// with SetView, and started with Run.
func New(cfg Config, peers Peers) *Dispatcher {
	cfg.setDefaults()
	d := &Dispatcher{cfg: cfg, peers: peers}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.view.Store(&View{OtherInstances: -1})
	tuning := d.ConfiguredTuning()
	d.tuning.Store(&tuning)
	d.upstreams.init(d)
	d.homeLogs.init(d)
	d.witnessLogs.init(d)
	d.slots.init(d)
	d.brokers.init(d)
	return d
}

// tickInterval is the interval of the periodic work, such as resends, syncs with
// brokers and the eviction of answers.
const tickInterval = 50 * time.Millisecond

// Run starts the periodic work, which continues until Close.
func (d *Dispatcher) Run() {
	d.background.Go(func() {
		ticker := time.NewTicker(tickInterval)
		defer ticker.Stop()
		for {
			select {
			case <-d.ctx.Done():
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
	d.homeLogs.tick(now)
	d.witnessLogs.tick(now)
}

// Close stops the dispatcher immediately. Open jobs are left to the witnesses.
func (d *Dispatcher) Close() {
	d.cancel()
	d.slots.close()
	d.upstreams.close()
	d.background.Wait()
}

// ActiveJobs returns the number of submissions with this instance as home whose
// fate is not committed.
func (d *Dispatcher) ActiveJobs() int { return d.homeLogs.active() }

// Load returns the numbers of free slots and queued tasks in the pools that this
// instance is the broker of.
func (d *Dispatcher) Load() (free, queued int) { return d.brokers.load() }

// Drain makes the instance accept no new sessions and jobs. Accepted jobs
// continue; ActiveJobs returns zero once none is left.
func (d *Dispatcher) Drain() { d.draining.Store(true) }

func millis(t time.Time) int64 { return t.UnixMilli() }

func nowMs() int64 { return millis(time.Now()) }
