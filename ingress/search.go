package ingress

import (
	"time"

	"github.com/samber/lo"
)

// ownerSearch records what a job has learned about the groups while looking for an owner for
// its tasks. It is guarded by the job's lock.
type ownerSearch struct {
	tried       map[string]bool // groups that the job's tasks have been offered to; cleared by allowRetries
	neverFits   map[string]bool // groups in which no task of the job can ever fit
	unreachable map[string]bool // groups whose owner could not be reached; cleared by allowRetries
	noCapacity  map[string]bool // groups that expect no free capacity in time
	offered     []string        // the first groups that received an offer, in order, for the log
	ownerCount  int             // owners passed to the last refresh
	loadAge     time.Duration   // age of the oldest load report passed to the last refresh
	allClosed   bool            // at the last refresh, no task could start in any group
}

// maxOfferedGroups is the maximum length of ownerSearch.offered.
const maxOfferedGroups = 8

func newOwnerSearch() ownerSearch {
	return ownerSearch{tried: map[string]bool{}, neverFits: map[string]bool{}, unreachable: map[string]bool{}, noCapacity: map[string]bool{}}
}

// refresh records the current owners and returns those that may receive an offer: it omits
// groups that can never run the job, that expect no free capacity in time, or whose owner
// could not be reached.
func (s *ownerSearch) refresh(loads []OwnerLoad) []OwnerLoad {
	s.ownerCount = len(loads)
	s.allClosed = len(loads) > 0 && lo.EveryBy(loads, func(l OwnerLoad) bool { return l.Closed })
	s.loadAge = lo.MaxBy(loads, func(a, b OwnerLoad) bool { return a.Age > b.Age }).Age
	return lo.Filter(loads, func(l OwnerLoad, _ int) bool {
		return !s.neverFits[l.Group] && !s.unreachable[l.Group] && !s.noCapacity[l.Group]
	})
}

// markOffered records that tasks are being offered to a group.
func (s *ownerSearch) markOffered(group string) {
	s.tried[group] = true
	if len(s.offered) < maxOfferedGroups {
		s.offered = append(s.offered, group)
	}
}

// searchOutcome is the reason why no owner is left to offer tasks to.
type searchOutcome int

const (
	noneReachable    searchOutcome = iota // no owner could be reached
	tooLarge                              // no task can ever fit in any group
	noCapacityInTime                      // owners expect no free capacity in time
	allGroupsClosed                       // no task may start on any upstream
)

// outcome returns the reason why no owner is left to offer tasks to. A job that has begun
// is never too large, because a task of it has fitted somewhere.
func (s *ownerSearch) outcome(begun bool) searchOutcome {
	switch {
	case len(s.noCapacity) > 0:
		return noCapacityInTime
	case len(s.neverFits) > 0 && len(s.unreachable) == 0 && !begun:
		return tooLarge
	case s.allClosed:
		return allGroupsClosed
	default:
		return noneReachable
	}
}

// allowRetries makes the groups that were tried or unreachable eligible for offers again.
func (s *ownerSearch) allowRetries() {
	clear(s.unreachable)
	clear(s.tried)
}
