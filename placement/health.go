package placement

import "math"

// HealthConfig bounds how upstreams are ejected.
type HealthConfig struct {
	// FailuresToEject is how many tasks in a row must fail.
	FailuresToEject int
	// MaxEjected is the largest share of a pool that may be ejected.
	MaxEjected float64
	// FirstMs and MaxMs bound an ejection, which doubles each time.
	FirstMs, MaxMs int64
	// SlowFactor is how much slower than its pool an upstream must be before
	// it is chosen last.
	SlowFactor float64
}

// DefaultHealth is what applies where settings say nothing.
var DefaultHealth = HealthConfig{FailuresToEject: 3, MaxEjected: 0.34, FirstMs: 500, MaxMs: 30000, SlowFactor: 1.5}

// health is what a broker has seen of one upstream.
type health struct {
	inRow   int     // failures in a row
	slow    float64 // how its run times compare to those of the pool; 1 is alike
	samples int
	ejected bool
	until   int64 // Unix milliseconds, when it may be probed
	times   int   // ejections in a row
}

// minSamples is how many tasks must be seen before an upstream counts as slow.
const minSamples = 5

// smoothing is the weight of a new sample in a moving mean.
const smoothing = 0.1

func (h *health) ran(ratio float64) {
	if h.samples == 0 {
		h.slow = 1
	}
	h.samples++
	h.slow += smoothing * (math.Min(ratio, 20) - h.slow)
}

// factor is what the load of this upstream counts for when places are chosen.
func (h *health) factor(cfg *HealthConfig) float64 {
	if h.samples < minSamples || h.slow < cfg.SlowFactor {
		return 1
	}
	return h.slow
}

// succeeded ends an ejection.
func (h *health) succeeded() {
	h.inRow = 0
	h.ejected = false
	h.times = 0
}

// failed counts a failure, and reports whether the upstream should be ejected.
func (h *health) failed(cfg *HealthConfig) bool {
	h.inRow++
	return h.inRow >= cfg.FailuresToEject
}

func (h *health) eject(now int64, cfg *HealthConfig) {
	h.ejected = true
	length := min(cfg.FirstMs<<min(h.times, 16), cfg.MaxMs)
	h.times++
	h.until = now + length
}
