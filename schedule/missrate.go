package schedule

import "math"

// missRate is the share of reports of all upstreams of a pool that did not come
// lately. What many upstreams show at once is not the fault of one of them: the
// network or this instance may be slow, or drop messages.
type missRate struct{ share float64 }

const (
	// reportWeight is the weight of one report in the share.
	reportWeight = 0.02
	// minMisses is how many reports in a row must not come at least before
	// that counts against an upstream, and mostMisses how many do in any case.
	minMisses  = 2
	maxMisses = 6
	// maxMissShare bounds the share, so that its logarithm is not 0.
	maxMissShare = 0.99
	// maxChanceProbability is how likely so many misses in a row may be by chance, at the
	// share of all upstreams.
	maxChanceProbability = 0.01
)

// record takes the fate of one report.
func (m *missRate) record(missed bool) {
	value := 0.0
	if missed {
		value = 1
	}
	m.share += reportWeight * (value - m.share)
}

// missesToSilent returns the number of consecutive missing reports after which an upstream
// counts as silent.
func (m *missRate) missesToSilent() int {
	if m.share <= 0 {
		return minMisses
	}
	needed := math.Ceil(math.Log(maxChanceProbability) / math.Log(min(m.share, maxMissShare)))
	return int(min(max(needed, minMisses), maxMisses))
}
