package membership

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"
)

// Candidate is an instance that may own groups of upstreams.
type Candidate struct {
	Name     string
	CPUShare float64 // of a processor
}

// largeEnough is the part of the largest candidate's share that an owner must
// have: owning is most of the work, and one that cannot keep up loses leases.
const largeEnough = 0.5

// Assign spreads groups over the candidates that are large enough, evenly and
// by rendezvous hashing: when one candidate goes, few other groups move. It
// returns the owner of each group, nothing without candidates.
func Assign(groups []string, candidates []Candidate) map[string]string {
	if len(candidates) == 0 {
		return nil
	}
	large := lo.Filter(candidates, func(c Candidate, _ int) bool { return IsLarge(c.CPUShare, candidates) })
	limit := (len(groups) + len(large) - 1) / len(large)
	owners := map[string]string{}
	count := map[string]int{}
	for _, group := range slices.Sorted(slices.Values(groups)) {
		owner := preferred(group, lo.Filter(large, func(c Candidate, _ int) bool { return count[c.Name] < limit }))
		owners[group] = owner
		count[owner]++
	}
	return owners
}

// IsLarge reports whether an instance with a share of a processor is large enough to
// own groups beside the candidates.
func IsLarge(share float64, candidates []Candidate) bool {
	for _, c := range candidates {
		if share < largeEnough*c.CPUShare {
			return false
		}
	}
	return true
}

// preferred returns the candidate with the highest score for a group.
func preferred(group string, candidates []Candidate) string {
	return slices.MaxFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(score(group, a), score(group, b)), cmp.Compare(b.Name, a.Name))
	}).Name
}

func score(group string, c Candidate) float64 {
	const spread = 1 << 53 // what a float64 tells apart
	unit := (float64(xxhash.Sum64String(group+"\x00"+c.Name)>>11) + 0.5) / spread
	return -max(c.CPUShare, math.SmallestNonzeroFloat64) / math.Log(unit)
}

// TokenNameBits is how many bits of a fencing token hold the rank of its maker. The
// others hold a time in milliseconds, so that tokens rise with each takeover and
// two instances never make the same one.
const TokenNameBits = 12

// NextToken returns a fencing token above every one that was heard of. The time
// only makes it likely that tokens that were not heard of are lower too: where
// one is not, upstreams refuse it.
func NextToken(unixMs int64, highest uint64, name string) uint64 {
	term := max(uint64(max(unixMs, 0)), highest>>TokenNameBits+1)
	return term<<TokenNameBits | xxhash.Sum64String(name)&(1<<TokenNameBits-1)
}

// GroupSize is how many upstreams a group has at most when groups are made. An
// owner of 88 that start 8.6 tasks a second each was measured to use 0.12 of a
// core, coordinating its part of the jobs included (docs/CAPACITY.md); the smallest
// instances have 0.19. Larger groups find room for a job with fewer messages.
const GroupSize = 96

const (
	// upstreamBytes is what an owner sends to an upstream at full load, bytes a
	// second: 11 starts and 13 reports, which were measured to take 1,460 and 210
	// bytes, for tasks of .2 s that take half of an upstream. Other work only makes
	// groups smaller or larger than they need to be: what a link carries is
	// counted when tasks start.
	upstreamBytes = 19_000
	// ownedShare is the part of an owner's link that this may take.
	ownedShare = 0.7
)

// GroupCount returns how many groups the upstreams of an availability zone are
// split into: of GroupSize, and where the links of its instances carry less, of
// what these carry, but no more groups than instances.
func GroupCount(upstreams, instances int, linkRate float64) int {
	count := (upstreams + GroupSize - 1) / GroupSize
	if linkRate > 0 {
		carried := int(math.Ceil(float64(upstreams) * upstreamBytes / (ownedShare * linkRate)))
		count = max(count, min(carried, instances))
	}
	return max(count, 1)
}

// GroupIndex returns which of some groups an upstream belongs to.
func GroupIndex(upstream string, groups int) int {
	return int(xxhash.Sum64String(upstream) % uint64(max(groups, 1)))
}
