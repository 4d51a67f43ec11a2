package placement

// HealthConfig configures when upstreams are ejected, which means that they get no tasks
// for some time.
type HealthConfig struct {
	// FailuresToEject is the minimum number of consecutive failed tasks before an
	// upstream is ejected. If tasks of the service often fail, it takes more.
	FailuresToEject int
	// MaxEjected is the maximum share of the upstreams of a pool that are ejected at
	// the same time.
	MaxEjected float64
	// FirstEjectionMs is the duration of the first ejection. It doubles with each
	// further one, up to MaxEjectionMs.
	FirstEjectionMs, MaxEjectionMs int64
	// SlowFactor is how many times slower than its pool an upstream must be to count as
	// slow. A slow upstream gets a task only as a probe, or if waiting for another
	// upstream would take longer.
	SlowFactor float64
}

// DefaultHealthConfig is the HealthConfig of DefaultBrokerConfig.
var DefaultHealthConfig = HealthConfig{FailuresToEject: 2, MaxEjected: 0.34, FirstEjectionMs: 5000, MaxEjectionMs: 60000, SlowFactor: 2}

// health is what a broker knows about the failures and the speed of one upstream.
type health struct {
	consecutiveFailures  int
	pace                 pace
	slowdown             float64 // speed of the pool divided by its own: 1 if equal, 0 if unknown
	ejected              bool
	probeAfterMs         int64 // Unix milliseconds; from then on an ejected upstream may get a probe
	consecutiveEjections int   // without a success in between
	lastFailureMs        int64 // Unix milliseconds
	suspected            bool  // gets one task at a time until one succeeds
	lastProbeMs          int64 // Unix milliseconds, when it last got a task while slow
}

// poolRunSmoothing is the weight of a new sample in the mean run time of the pool's tasks.
const poolRunSmoothing = 0.1

// slowProbeIntervalMs is how often an idle slow upstream gets a task as a probe of whether
// it is still slow.
const slowProbeIntervalMs = 2000

// pace compares how many tasks should have ended on an upstream with how many did. It
// detects upstreams on which no task ends as well as slow ones, and does so before any task
// has ended.
type pace struct {
	expectedEnds float64
	ends         float64
	updatedMs    int64 // Unix milliseconds, up to which expectedEnds is counted
}

const (
	// paceWindow is the number of expected ends above which both counters are halved,
	// so that old ends lose weight.
	paceWindow = 32
	// pacePrior is added to both counters, so that a pace with few ends is close to the
	// expected one.
	pacePrior = 3
)

// advance adds the ends expected between the last call and now on usedSlots slots with
// tasks that run for meanMs on average.
func (p *pace) advance(usedSlots int, meanMs float64, now int64) {
	if p.updatedMs > 0 && now > p.updatedMs {
		p.expectedEnds += float64(usedSlots) * float64(now-p.updatedMs) / max(meanMs, 1)
	}
	p.updatedMs = max(now, p.updatedMs)
	if p.expectedEnds > paceWindow {
		p.expectedEnds /= 2
		p.ends /= 2
	}
}

// slowdown returns the ratio of the expected ends to the actual ones.
func (p *pace) slowdown() float64 { return (p.expectedEnds + pacePrior) / (p.ends + pacePrior) }

// isSlow reports whether the upstream is so much slower than its pool that it counts as
// slow.
func (h *health) isSlow(cfg *HealthConfig) bool {
	return h.slowdown >= cfg.SlowFactor
}

// maxReportDelayMs is how long after the end of a task its home may report it.
const maxReportDelayMs = 60

// recordSuccess records that a task has succeeded after runMs. This ends an ejection,
// unless the task had started before the last failure.
func (h *health) recordSuccess(now int64, runMs float64) {
	if now-int64(runMs)-maxReportDelayMs < h.lastFailureMs {
		return
	}
	h.consecutiveFailures = 0
	h.suspected = false
	h.ejected = false
	h.consecutiveEjections = 0
}

// eject ejects the upstream, or prolongs its ejection.
func (h *health) eject(now int64, cfg *HealthConfig) {
	h.ejected = true
	length := min(cfg.FirstEjectionMs<<min(h.consecutiveEjections, 16), cfg.MaxEjectionMs)
	h.consecutiveEjections++
	h.probeAfterMs = now + length
}
