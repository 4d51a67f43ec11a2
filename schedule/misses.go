package schedule

import "math"

// missRate is the share of reports of all upstreams of a pool that did not come
// lately. What many upstreams show at once is not the fault of one of them: the
// network or this instance may be slow, or drop messages.
type missRate struct{ share float64 }

const (
	// missWeight is the weight of one report in the share.
	missWeight = 0.02
	// fewestMisses is how many reports in a row must not come at least before
	// that counts against an upstream, and mostMisses how many do in any case.
	fewestMisses = 2
	mostMisses   = 6
	// mostShare bounds the share, so that its logarithm is not 0.
	mostShare = 0.99
	// chanceMisses is how likely so many misses in a row may be by chance, at the
	// share of all upstreams.
	chanceMisses = 0.01
)

// count takes the fate of one report.
func (m *missRate) count(missed bool) {
	value := 0.0
	if missed {
		value = 1
	}
	m.share += missWeight * (value - m.share)
}

// enough returns how many reports in a row must not come before that tells
// something of the upstream.
func (m *missRate) enough() int {
	if m.share <= 0 {
		return fewestMisses
	}
	needed := math.Ceil(math.Log(chanceMisses) / math.Log(min(m.share, mostShare)))
	return int(min(max(needed, fewestMisses), mostMisses))
}
