// Package dispatch carries out the decisions of packages fate and placement: it
// sends permits to witnesses, requests for slots to brokers, starts to upstreams
// and answers to waiting callers.
//
// An instance has three roles: it is the home of some permit logs, the witness of
// others, and the broker of some pools. The terms are:
//
//   - A permit log is the record of the task starts and results of some jobs. A
//     permit is the entry that must be in the log before a task starts.
//   - The home of a log is the instance that accepts its jobs and runs them.
//   - The witness of a log is the instance that holds a copy of it, to which the
//     home sends appends. When the home is lost, the witness seals the log, which
//     means that it accepts no more appends, and takes the open jobs over.
//   - The fate of a submission is its final outcome. It is committed once callers
//     may receive it.
//   - A slot is the capacity of an upstream to run one task.
//   - A broker is the instance that grants the slots of one pool of upstreams to
//     the homes that request them.
//   - A ticket is a request for slots that is not completely granted yet.
//   - A lease identifies one start of a task at an upstream. To bar a lease is to
//     make the upstream refuse every start under it from then on.
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
	// Shards is the number of permit logs, for each witness scope, in which sessions
	// are opened at the same time. Sessions are spread evenly over them.
	Shards int
	// Retention limits the answers that each log keeps for later queries.
	Retention fate.Retention
	// RotateLogsAfter is how long sessions are opened in a log before the next log
	// replaces it.
	RotateLogsAfter time.Duration
	// LeaseDuration is how long an upstream may run a task without a renewal of its
	// lease, in addition to the declared run time of the task.
	LeaseDuration time.Duration
	// UpstreamLostAfter is how long an upstream may leave lookups of a lease
	// unanswered before the outcome of the task counts as unknown.
	UpstreamLostAfter time.Duration
	// WitnessTimeout is how long the home and the witness of a log wait for an answer
	// of the other before they consider it lost.
	WitnessTimeout time.Duration
	// ResultAppendDelay is how long task results wait to be sent to the witness
	// together with a permit or a decided fate. After that they are sent alone.
	ResultAppendDelay time.Duration
	// ReleaseDelay is how long a home collects free slots before it releases them to
	// their broker in one message. It does not wait while tasks are queued there.
	ReleaseDelay time.Duration
	// GrantDelay is how long a broker collects released slots before it grants them.
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
	// PlacementStatic assigns each upstream to one instance, which alone uses it.
	PlacementStatic PlacementMode = "static"
	// PlacementGuess makes each instance its own broker for all pools, as if it were
	// the only instance. Upstreams refuse the tasks for which they have no slot.
	PlacementGuess PlacementMode = "guess"
	// PlacementProbe requests a slot at two random upstreams for each task, uses the
	// one that is granted first and withdraws the other request.
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

// DefaultRetention limits the answers of one log if Config.Retention is not set.
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
	// Shares holds, by service, which part of the fleet's slots the service may use.
	Shares map[string]placement.Share
}

// ConfiguredTuning returns the values that the instance was started with.
func (d *Dispatcher) ConfiguredTuning() Tuning {
	return Tuning{Retention: d.cfg.Retention, MaxQueued: d.cfg.Broker.MaxQueued, ReleaseDelay: d.cfg.ReleaseDelay}
}

// SetTuning puts t in force, also at the brokers that are already running.
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

// New returns a dispatcher that has no view of the fleet yet and is not running.
// SetView gives it a view, and Run starts it.
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

// tickInterval is the interval of the periodic work, such as resends of appends,
// reports to brokers and the eviction of answers.
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

// WitnessTimeout returns the value of Config.WitnessTimeout that is in force.
func (d *Dispatcher) WitnessTimeout() time.Duration { return d.cfg.WitnessTimeout }

// Close stops the dispatcher without waiting for open jobs. The witnesses of their
// logs take these jobs over.
func (d *Dispatcher) Close() {
	d.cancel()
	d.slots.close()
	d.upstreams.close()
	d.background.Wait()
}

// ActiveJobs returns the number of submissions that this instance runs, including
// those that it has taken over: their fates are not committed yet.
func (d *Dispatcher) ActiveJobs() int { return d.homeLogs.active() }

// Load returns the numbers of free slots and queued tasks in the pools that this
// instance is the broker of.
func (d *Dispatcher) Load() (free, queued int) { return d.brokers.load() }

// Drain makes the instance refuse new sessions and jobs, and new logs as their witness.
// Accepted jobs continue; ActiveJobs returns zero when all of them have ended.
func (d *Dispatcher) Drain() {
	d.draining.Store(true)
	for _, l := range d.homeLogs.all() {
		if l.id.Witness != "" {
			l.close()
		}
	}
}

// ReleaseWitnesses releases the witnesses that are not needed any more, and waits for their
// replies, but at most WitnessTimeout. It is called when the instance has drained, so that a
// witness that is shutting down as well does not have to find out that this instance has ended.
func (d *Dispatcher) ReleaseWitnesses() {
	ctx, cancel := context.WithTimeout(d.ctx, d.cfg.WitnessTimeout)
	defer cancel()
	var calls sync.WaitGroup
	for _, l := range d.homeLogs.all() {
		l.mu.Lock()
		due := l.canReleaseWitness()
		l.mu.Unlock()
		if due {
			calls.Go(func() { l.handleReleaseReply(d.peers.Call(ctx, l.id.Witness, l.releaseFrame())) })
		}
	}
	calls.Wait()
}

func millis(t time.Time) int64 { return t.UnixMilli() }

func nowMs() int64 { return millis(time.Now()) }
