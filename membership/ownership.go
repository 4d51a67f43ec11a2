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

// minCPUFraction is the smallest CPU share that an owner may have, as a fraction of the largest
// candidate's share. Owning groups is most of an instance's work, and an owner that cannot keep
// up does not renew the leases of its upstreams in time.
const minCPUFraction = 0.5

// Assign distributes groups evenly over the candidates that are large enough, and returns the
// owner of each group. It uses rendezvous hashing, so that when a candidate leaves, few groups
// besides its own change their owner. It returns nil if there are no candidates.
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

// IsLarge reports whether an instance with the given CPU share is large enough to own groups,
// compared with the largest of the candidates.
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
	const distinctValues = 1 << 53 // number of values of the shifted hash, which has 53 bits, the precision of a float64
	unit := (float64(xxhash.Sum64String(group+"\x00"+c.Name)>>11) + 0.5) / distinctValues
	return -max(c.CPUShare, math.SmallestNonzeroFloat64) / math.Log(unit)
}

// TokenNameBits is the number of low bits of a fencing token that hold a hash of the name of
// the instance that created the token. They make it unlikely that two instances create the same
// token. The other bits hold a time in milliseconds, so that a later token is higher.
const TokenNameBits = 12

// NextToken returns a fencing token that is higher than highest, the highest one that this
// instance knows of. Because it contains the time, it is probably higher than the tokens that
// this instance does not know of, too. If it is not, upstreams refuse orders with it.
func NextToken(unixMs int64, highest uint64, name string) uint64 {
	term := max(uint64(max(unixMs, 0)), highest>>TokenNameBits+1)
	return term<<TokenNameBits | xxhash.Sum64String(name)&(1<<TokenNameBits-1)
}

// GroupSize is the number of upstreams that a group should not exceed; the number of groups is
// chosen accordingly. It is limited by the CPU of the smallest instances, which have 0.19 of a
// core: the owner of 88 upstreams that each start 8.6 tasks per second uses 0.12 of a core,
// including the coordination of its part of the jobs (docs/CAPACITY.md). With smaller groups
// more messages would be needed to place a job.
const GroupSize = 96

const (
	// bytesPerUpstream is the traffic from an owner to one upstream at full load, in bytes
	// per second: 11 start orders of 1,460 bytes and 13 report requests of 210 bytes. These
	// are the numbers for tasks that take 0.2 s and half of an upstream's capacity. With another
	// workload groups are smaller or larger than necessary, which does no further harm: when
	// tasks start, the actual traffic is held within the limit of the link.
	bytesPerUpstream = 19_000
	// linkFraction is the fraction of an owner's network link that the traffic to its
	// upstreams may use.
	linkFraction = 0.7
)

// GroupCount returns the number of groups into which the upstreams of an availability zone
// are divided. It is the number that GroupSize requires, or a higher one if an instance's
// network link, which carries linkBytesPerSecond, is too slow for the traffic of groups of that
// size. Slow links raise the number at most to that of the zone's instances. If
// linkBytesPerSecond is 0, the speed of the links is unknown and is not considered.
func GroupCount(upstreams, instances int, linkBytesPerSecond float64) int {
	count := (upstreams + GroupSize - 1) / GroupSize
	if linkBytesPerSecond > 0 {
		neededByLinks := int(math.Ceil(float64(upstreams) * bytesPerUpstream / (linkFraction * linkBytesPerSecond)))
		count = max(count, min(neededByLinks, instances))
	}
	return max(count, 1)
}

// GroupIndex returns the index of the group to which an upstream belongs, from 0, given the
// number of groups in its zone.
func GroupIndex(upstream string, groups int) int {
	return int(xxhash.Sum64String(upstream) % uint64(max(groups, 1)))
}
