package placement

// HealthConfig bounds how upstreams are ejected.
type HealthConfig struct {
	// FailuresToEject is how many tasks in a row must fail, at least; more where
	// the service's tasks fail more often anyway.
	FailuresToEject int
	// MaxEjected is the largest share of a pool that may be ejected.
	MaxEjected float64
	// FirstEjectionMs and MaxEjectionMs bound an ejection, which doubles each time.
	FirstEjectionMs, MaxEjectionMs int64
	// SlowFactor is how much slower than its pool an upstream must be before
	// it is chosen last.
	SlowFactor float64
}

// DefaultHealthConfig is what applies where settings say nothing.
var DefaultHealthConfig = HealthConfig{FailuresToEject: 2, MaxEjected: 0.34, FirstEjectionMs: 5000, MaxEjectionMs: 60000, SlowFactor: 2}

// health is what a broker has seen of one upstream.
type health struct {
	inRow   int // failures in a row
	pace    pace
	slow    float64 // how much slower than its pool it is; 1 is alike, 0 not known
	ejected bool
	until   int64 // Unix milliseconds, when it may be probed
	times   int   // ejections in a row
	failed  int64 // Unix milliseconds, of the last failure
	doubted bool  // the last task failed: one at a time until one succeeds
	probed  int64 // Unix milliseconds, when a slow one was last given a task
}

// smoothing is the weight of a new sample in a moving mean.
const smoothing = 0.1

// slowProbeMs is how often a slow upstream is given a task, to see whether it
// still is.
const slowProbeMs = 2000

// pace compares the tasks that should have ended with those that did. It
// notices an upstream that ends nothing as well as one that ends late, and
// needs no task to end for that.
type pace struct {
	expected float64
	ended    float64
	since    int64 // Unix milliseconds, up to when expected counts
}

const (
	// paceMemory is how many expected ends count; older ones fade.
	paceMemory = 32
	// pacePrior stands for ends as expected, before there are any.
	pacePrior = 3
)

// running lets time pass with used slots whose tasks take meanMs.
func (p *pace) running(used int, meanMs float64, now int64) {
	if p.since > 0 && now > p.since {
		p.expected += float64(used) * float64(now-p.since) / max(meanMs, 1)
	}
	p.since = max(now, p.since)
	if p.expected > paceMemory {
		p.expected /= 2
		p.ended /= 2
	}
}

func (p *pace) ratio() float64 { return (p.expected + pacePrior) / (p.ended + pacePrior) }

// isSlow reports whether the upstream is slower than its pool by far.
func (h *health) isSlow(cfg *HealthConfig) bool {
	return h.slow >= cfg.SlowFactor
}

// reportDelayMs is how late news of a task's end may be.
const reportDelayMs = 60

// succeeded takes a task that ended well after runMs. It ends an ejection,
// unless the task had started before the last failure.
func (h *health) succeeded(now int64, runMs float64) {
	if now-int64(runMs)-reportDelayMs < h.failed {
		return
	}
	h.inRow = 0
	h.doubted = false
	h.ejected = false
	h.times = 0
}

func (h *health) eject(now int64, cfg *HealthConfig) {
	h.ejected = true
	length := min(cfg.FirstEjectionMs<<min(h.times, 16), cfg.MaxEjectionMs)
	h.times++
	h.until = now + length
}
