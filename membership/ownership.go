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
	CPUShare float64 // fraction of a core
}

// minCPUFraction is the smallest CPU share of an owner, as a fraction of the largest
// candidate's share. Owning groups is most of an instance's work, and an owner that cannot
// keep up fails to renew leases in time.
const minCPUFraction = 0.5

// Assign distributes groups evenly over the candidates that are large enough. It uses
// rendezvous hashing, so that few other groups change their owner when a candidate leaves.
// It returns the owner of each group, or nil if there are no candidates.
func Assign(groups []string, candidates []Candidate) map[string]string {
	if len(candidates) == 0 {
		return nil
	}
	large := lo.Filter(candidates, func(c Candidate, _ int) bool { return IsLarge(c.CPUShare, candidates) })
	limit := (len(groups) + len(large) - 1) / len(large)
	owners := map[string]string{}
	count := map[string]int{}
	for _, group := range slices.Sorted(slices.Values(groups)) {
		owner := highestScore(group, lo.Filter(large, func(c Candidate, _ int) bool { return count[c.Name] < limit }))
		owners[group] = owner
		count[owner]++
	}
	return owners
}

// IsLarge reports whether an instance with the given CPU share is large enough to own groups
// in comparison with the candidates.
func IsLarge(share float64, candidates []Candidate) bool {
	for _, c := range candidates {
		if share < minCPUFraction*c.CPUShare {
			return false
		}
	}
	return true
}

// highestScore returns the candidate with the highest score for a group.
func highestScore(group string, candidates []Candidate) string {
	return slices.MaxFunc(candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(score(group, a), score(group, b)), cmp.Compare(b.Name, a.Name))
	}).Name
}

// score returns the weighted rendezvous score of a candidate for a group. The weight is the
// candidate's CPU share.
func score(group string, c Candidate) float64 {
	const distinctValues = 1 << 53 // number of 53-bit integers, since a float64 has a precision of 53 bits
	unit := (float64(xxhash.Sum64String(group+"\x00"+c.Name)>>11) + 0.5) / distinctValues
	return -max(c.CPUShare, math.SmallestNonzeroFloat64) / math.Log(unit)
}

// TokenNameBits is the number of low bits of a fencing token that hold a hash of the name of
// the instance that created it. They make it unlikely that two instances create the same
// token. The other bits hold a time in milliseconds, so that tokens rise with each takeover.
const TokenNameBits = 12

// NextToken returns a fencing token that is higher than highest, the highest one known to
// this instance. Because it contains the time, it is probably also higher than tokens that
// this instance does not know. If it is not, upstreams refuse it.
func NextToken(unixMs int64, highest uint64, name string) uint64 {
	term := max(uint64(max(unixMs, 0)), highest>>TokenNameBits+1)
	return term<<TokenNameBits | xxhash.Sum64String(name)&(1<<TokenNameBits-1)
}

// GroupSize is the intended maximum number of upstreams in a group when the number of groups
// is chosen. The owner of 88 upstreams that each start 8.6 tasks per second uses 0.12 of a
// core, including the coordination of its part of the jobs (docs/CAPACITY.md); the smallest
// instances have 0.19. With larger groups fewer messages are needed to place a job.
const GroupSize = 96

const (
	// bytesPerUpstream is the traffic from an owner to one upstream at full load, in bytes
	// per second: 11 start orders of 1,460 bytes and 13 report requests of 210 bytes, for
	// tasks that take 0.2 s and half of an upstream. With other workloads, groups are merely
	// smaller or larger than necessary, because the limit of the link is also enforced
	// when tasks start.
	bytesPerUpstream = 19_000
	// linkFraction is the fraction of an owner's network link that this traffic may use.
	linkFraction = 0.7
)

// GroupCount returns the number of groups into which the upstreams of an availability zone
// are divided: as many as GroupSize requires, or more if the network links of the zone's
// instances cannot carry the traffic of such groups. The limit of the links never leads to
// more groups than instances. If linkBytesPerSecond is 0, the limit is unknown and is not
// considered.
func GroupCount(upstreams, instances int, linkBytesPerSecond float64) int {
	count := (upstreams + GroupSize - 1) / GroupSize
	if linkBytesPerSecond > 0 {
		neededByLinks := int(math.Ceil(float64(upstreams) * bytesPerUpstream / (linkFraction * linkBytesPerSecond)))
		count = max(count, min(neededByLinks, instances))
	}
	return max(count, 1)
}

// GroupIndex returns the index of the group to which an upstream belongs, given the number of
// groups of its zone.
func GroupIndex(upstream string, groups int) int {
	return int(xxhash.Sum64String(upstream) % uint64(max(groups, 1)))
}
