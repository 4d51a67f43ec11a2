package schedule

import "math"

// missRate is the share of calls to all upstreams of a pool that went unanswered
// lately. What many upstreams show at once is not the fault of one of them: the
// network or this instance may be slow, or drop messages.
type missRate struct{ share float64 }

const (
	// missWeight is the weight of one call in the share.
	missWeight = 0.02
	// fewestMisses is how many calls in a row must go unanswered at least before
	// that counts against an upstream, and mostMisses how many do in any case.
	fewestMisses = 2
	mostMisses   = 6
	// chanceMisses is how likely so many misses in a row may be by chance, at the
	// share of all upstreams.
	chanceMisses = 0.01
)

// count takes the fate of one call.
func (m *missRate) count(missed bool) {
	value := 0.0
	if missed {
		value = 1
	}
	m.share += missWeight * (value - m.share)
}

// enough returns how many calls in a row must go unanswered before that tells
// something of the upstream, where it is compared with its peers.
func (m *missRate) enough(compare bool) int {
	if !compare || m.share <= 0 {
		return fewestMisses
	}
	needed := math.Ceil(math.Log(chanceMisses) / math.Log(min(m.share, 0.99)))
	return int(min(max(needed, fewestMisses), mostMisses))
}
