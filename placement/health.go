package placement

// HealthConfig configures when upstreams count as slow and when they are ejected. An ejected
// upstream gets no tasks for some time, and then a single one as a probe.
type HealthConfig struct {
	// FailuresToEject is the minimum number of consecutive failed tasks before an
	// upstream is ejected. For a service whose tasks often fail, more are needed.
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
	slowdown             float64 // speed of the pool divided by that of the upstream; 0 if unknown
	ejected              bool
	probeAfterMs         int64 // Unix milliseconds; from then on an ejected upstream may get a probe
	consecutiveEjections int   // without a success in between
	lastFailureMs        int64 // Unix milliseconds
	suspected            bool  // gets one task at a time until one succeeds
	lastProbeMs          int64 // Unix milliseconds; when it last got a task while it counted as slow
}

// poolRunSmoothing is the weight of a new sample in the mean run time of the pool's tasks.
const poolRunSmoothing = 0.1

// slowProbeIntervalMs is the minimum time between two tasks that an idle slow upstream gets
// only to find out whether it is still slow.
const slowProbeIntervalMs = 2000

// pace compares the number of tasks that have ended on an upstream with the number that
// should have ended by now. It detects slow upstreams before their first task ends, and also
// upstreams on which no task ends at all.
type pace struct {
	expectedEnds float64 // number of tasks that should have ended
	ends         float64 // number of tasks that have ended
	updatedMs    int64   // Unix milliseconds; time up to which expectedEnds is counted
}

const (
	// paceWindow is the value of expectedEnds above which both counters are halved, so
	// that earlier tasks lose weight.
	paceWindow = 32
	// pacePrior is added to both counters when they are compared, so that their ratio is
	// close to 1 as long as both are small.
	pacePrior = 3
)

// advance adds to expectedEnds the number of tasks that should have ended since the last
// call, given that usedSlots slots were in use by tasks that run for meanMs on average.
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

// slowdown returns the ratio of the expected to the actual number of ended tasks.
func (p *pace) slowdown() float64 { return (p.expectedEnds + pacePrior) / (p.ends + pacePrior) }

// isSlow reports whether the upstream is at least SlowFactor times slower than its pool.
func (h *health) isSlow(cfg *HealthConfig) bool {
	return h.slowdown >= cfg.SlowFactor
}

// maxReportDelayMs is the maximum time assumed between the end of a task and the report of
// the end by its home.
const maxReportDelayMs = 60

// recordSuccess records that a task with a run time of runMs has succeeded. This ends an
// ejection, unless the task may have started before the last failure: then it does not show
// that the upstream has recovered.
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
