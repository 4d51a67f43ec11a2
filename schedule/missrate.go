package schedule

import "math"

// missRate is the moving average of the share of reports that are missing, over all upstreams
// of a pool. If reports of many upstreams are missing at the same time, no single upstream is
// the cause: the network or this instance may be slow or may drop messages.
type missRate struct{ share float64 }

const (
	// reportWeight is the weight of one report in the moving average.
	reportWeight = 0.02
	// minMisses and maxMisses bound how many reports in a row must be missing for an
	// upstream to become silent.
	minMisses = 2
	maxMisses = 6
	// maxMissShare is the highest share that missesToSilent calculates with, so that it
	// does not divide by the logarithm of 1.
	maxMissShare = 0.99
	// maxChanceProbability is the accepted probability that an upstream becomes silent only
	// because reports are lost at random, at the present miss rate. With a lower one it would
	// take longer to notice an upstream that has failed.
	maxChanceProbability = 0.01
)

// record updates the share with one report, which came or is missing.
func (m *missRate) record(missed bool) {
	value := 0.0
	if missed {
		value = 1
	}
	m.share += reportWeight * (value - m.share)
}

// missesToSilent returns how many reports in a row must be missing for an upstream to become
// silent. The number rises with the miss rate, as more of them are missing by chance.
func (m *missRate) missesToSilent() int {
	if m.share <= 0 {
		return minMisses
	}
	needed := math.Ceil(math.Log(maxChanceProbability) / math.Log(min(m.share, maxMissShare)))
	return int(min(max(needed, minMisses), maxMisses))
}
