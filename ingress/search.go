package ingress

import (
	"time"

	"github.com/samber/lo"
)

// ownerSearch records for one job which groups have been tried while owners for its tasks were
// sought, and with which results. It is guarded by the job's lock.
type ownerSearch struct {
	tried       map[string]bool // groups that have received an offer; cleared by allowRetries
	neverFits   map[string]bool // groups without an upstream that is large enough for a task
	unreachable map[string]bool // groups whose owner could not be reached; cleared by allowRetries
	noCapacity  map[string]bool // groups whose owner expects no free capacity in time
	offered     []string        // groups of the first maxOfferedGroups offers, in order, for the log
	ownerCount  int             // number of loads passed to the last refresh
	loadAge     time.Duration   // age of the oldest of these loads
	allClosed   bool            // at the last refresh, no task could start in any group
	free        int             // number of tasks of average size that fitted at the last refresh
	queueSearch
}

// maxOfferedGroups limits ownerSearch.offered, and so the length of a log record.
const maxOfferedGroups = 8

func newOwnerSearch() ownerSearch {
	return ownerSearch{tried: map[string]bool{}, neverFits: map[string]bool{}, unreachable: map[string]bool{}, noCapacity: map[string]bool{}}
}

// refresh records the number and age of the current loads and returns the loads of the groups
// that may receive an offer. It omits a group if its upstreams are too small for the job, if
// its owner expects no free capacity in time, or if its owner could not be reached.
func (s *ownerSearch) refresh(loads []OwnerLoad) []OwnerLoad {
	s.ownerCount = len(loads)
	s.allClosed = len(loads) > 0 && lo.EveryBy(loads, func(l OwnerLoad) bool { return l.Closed })
	s.free = lo.SumBy(loads, func(l OwnerLoad) int { return max(l.Free, 0) })
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
	tooLarge                              // no upstream is large enough for a task
	noCapacityInTime                      // at least one owner expects no free capacity in time, or all reports show that
	allGroupsClosed                       // no task may start on any upstream
)

// outcome returns the reason why no owner is left to offer tasks to. Begun reports whether a
// task of the job may have begun: then the outcome is never tooLarge, because the task has
// fitted on an upstream.
func (s *ownerSearch) outcome(begun bool) searchOutcome {
	switch {
	case len(s.noCapacity) > 0 || s.knownLate:
		return noCapacityInTime
	case len(s.neverFits) > 0 && len(s.unreachable) == 0 && !begun:
		return tooLarge
	case s.allClosed:
		return allGroupsClosed
	default:
		return noneReachable
	}
}

// allowRetries lets groups receive offers again that have been tried or were unreachable.
func (s *ownerSearch) allowRetries() {
	clear(s.unreachable)
	clear(s.tried)
}
