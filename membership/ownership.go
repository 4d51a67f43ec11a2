package membership

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an instance that may own groups of upstreams.
type Candidate struct {
	Name   string
	Weight float64 // its share of a processor
}

// Preferred returns the candidate that should own a group, by weighted
// rendezvous hashing: when one candidate goes, only its groups move. It returns
// "" without candidates.
func Preferred(group string, candidates []Candidate) string {
	best, highest := "", math.Inf(-1)
	for _, c := range candidates {
		if score := score(group, c); score > highest || score == highest && c.Name < best {
			best, highest = c.Name, score
		}
	}
	return best
}

func score(group string, c Candidate) float64 {
	const spread = 1 << 53 // what a float64 tells apart
	unit := (float64(xxhash.Sum64String(group+"\x00"+c.Name)>>11) + 0.5) / spread
	return -max(c.Weight, math.SmallestNonzeroFloat64) / math.Log(unit)
}

// RankBits is how many bits of a fencing token hold the rank of its maker. The
// others hold a time in milliseconds, so that tokens rise with each takeover and
// two instances never make the same one.
const RankBits = 12

// NextToken returns a fencing token above every one that was heard of. The time
// only makes it likely that tokens that were not heard of are lower too: where
// one is not, upstreams refuse it.
func NextToken(unixMs int64, highest uint64, name string) uint64 {
	term := max(uint64(max(unixMs, 0)), highest>>RankBits+1)
	return term<<RankBits | xxhash.Sum64String(name)&(1<<RankBits-1)
}
