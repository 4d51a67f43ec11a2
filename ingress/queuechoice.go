package ingress

import (
	"slices"
	"time"

	"github.com/samber/lo"
)

// queueSearch records for one job the offers to groups in which it waits for capacity. It is part
// of ownerSearch.
type queueSearch struct {
	// pending is the class of the last such offer if its outcome is not recorded yet, and
	// pendingGroup the group. Offers to groups whose waits are not known have no class.
	pending      *offerClass
	pendingGroup string
	allReported  bool   // the current loads include those of all groups that are known
	probe        bool   // the job was offered although it had no chance
	knownLate    bool   // the job was not offered again because it had no chance
	waits        string // estimates at the last choice of a job that is knownLate or a probe, for the log
}

// queueChooser chooses the groups in which jobs wait for capacity, on behalf of one coordinator.
type queueChooser struct {
	policy   Policy
	zone     string
	random   func() float64 // returns random numbers from 0 to 1; safe for concurrent use
	outcomes outcomes
	groups   knownGroups
}

// choose chooses the group in which a job that has not begun waits. It returns false if the job is
// known to have no chance to be in time in any group.
func (c *queueChooser) choose(s *ownerSearch, loads []OwnerLoad, j waitingJob, now time.Time) (Choice, bool) {
	c.recordRefusal(s, now)
	list := estimateWaits(loads, c.zone, j)
	if c.policy.RejectKnown && len(list) > 0 && s.allReported && len(s.unreachable) == 0 && s.free < j.tasks {
		possible := c.withChance(list, j, now)
		if len(possible) == 0 {
			s.waits = formatWaits(list)
			if s.probe || c.random() >= probeShare {
				s.knownLate = true
				return Choice{}, false
			}
			s.probe = true
			possible = []groupWait{leastPressure(list)}
		}
		list = possible
	}
	choice, found := c.chooseFrom(list)
	c.setPending(s, list, choice.Group, j)
	return choice, found
}

// chooseFrom chooses one of the groups.
func (c *queueChooser) chooseFrom(list []groupWait) (Choice, bool) {
	if c.policy.KnowWaits {
		if group, found := chooseQueue(list, c.random); found {
			return Choice{Group: group, MayQueue: true}, true
		}
	}
	return c.policy.shortestQueue(lo.Map(list, func(g groupWait, _ int) OwnerLoad { return g.load }), c.zone)
}

// withChance returns the groups that may serve the job in time: those whose waits are not known,
// and those that have lately served enough jobs like it.
func (c *queueChooser) withChance(list []groupWait, j waitingJob, now time.Time) []groupWait {
	return lo.Filter(list, func(g groupWait, _ int) bool {
		return !g.known || c.outcomes.hasChance(classOf(j.route, &g), now)
	})
}

// setPending notes that the job is being offered to a group.
func (c *queueChooser) setPending(s *ownerSearch, list []groupWait, group string, j waitingJob) {
	s.pending, s.pendingGroup = nil, group
	i := slices.IndexFunc(list, func(g groupWait) bool { return g.load.Group == group })
	if i >= 0 && list[i].known {
		s.pending = lo.ToPtr(classOf(j.route, &list[i]))
	}
}

// recordRefusal records the outcome of the last offer if the owner has refused it because it
// expected no free capacity in time.
func (c *queueChooser) recordRefusal(s *ownerSearch, now time.Time) {
	if s.pending != nil && s.noCapacity[s.pendingGroup] {
		c.outcomes.record(*s.pending, false, now)
		s.pending = nil
	}
}

// recordVerdict records the outcome of the last offer of a job that has its verdict.
func (c *queueChooser) recordVerdict(s *ownerSearch, v Verdict, now time.Time) {
	c.recordRefusal(s, now)
	if s.pending != nil && v == Completed {
		c.outcomes.record(*s.pending, true, now)
	}
}
