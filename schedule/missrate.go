package schedule

import "math"

// missRate is the moving average of the share of reports that did not come, over all
// upstreams of a pool. If reports of many upstreams are missing at the same time, the cause
// is not one of them: the network or this instance may be slow or dropping messages.
type missRate struct{ share float64 }

const (
	// reportWeight is the weight of one report in the moving average.
	reportWeight = 0.02
	// minMisses and maxMisses bound the number of consecutive missing reports after
	// which an upstream counts as silent.
	minMisses = 2
	maxMisses = 6
	// maxMissShare bounds the share from above, so that its logarithm is not 0.
	maxMissShare = 0.99
	// maxChanceProbability is how probable it may be, at the share of missing reports of
	// all upstreams, that an upstream counts as silent by chance.
	maxChanceProbability = 0.01
)

// record updates the share with one report, which came or was missed.
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
