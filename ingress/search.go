package ingress

import (
	"time"

	"github.com/samber/lo"
)

// search is what a job has learned of the groups while it looked for room. It is guarded
// by the lock of its job.
type search struct {
	tried map[string]bool // groups that had no room
	never map[string]bool // groups where no task can ever fit
	cut   map[string]bool // groups whose owner could not be reached
	full  map[string]bool // groups that expect no room in time
	asked []string        // groups that were offered tasks, in order, for the log
	// owners is how many were known at the last look, ownersAge the age of the oldest of
	// their load reports, and closed whether nothing may start at any of them.
	owners    int
	ownersAge time.Duration
	closed    bool
}

// maxAsked bounds the groups that are remembered for the log.
const maxAsked = 8

func newSearch() search {
	return search{tried: map[string]bool{}, never: map[string]bool{}, cut: map[string]bool{}, full: map[string]bool{}}
}

// look takes the owners that are known now, and returns those that may be asked: not those
// that can never run the job or not in time, nor those that could not be reached.
func (s *search) look(loads []OwnerLoad) []OwnerLoad {
	s.owners = len(loads)
	s.closed = len(loads) > 0 && lo.EveryBy(loads, func(l OwnerLoad) bool { return l.Closed })
	s.ownersAge = lo.MaxBy(loads, func(a, b OwnerLoad) bool { return a.Age > b.Age }).Age
	return lo.Filter(loads, func(l OwnerLoad, _ int) bool { return !s.never[l.Group] && !s.cut[l.Group] && !s.full[l.Group] })
}

// chose notes which group is offered tasks next.
func (s *search) chose(group string) {
	s.tried[group] = true
	if len(s.asked) < maxAsked {
		s.asked = append(s.asked, group)
	}
}

// outcome is why nobody is left to ask.
type outcome int

const (
	unreached outcome = iota // no owner could be reached
	tooLarge                 // no task can ever fit anywhere
	crowded                  // owners expect no room in time
	closed                   // nothing may start on any upstream
)

// outcome tells why nobody is left to ask. Something of a job that has begun fits.
func (s *search) outcome(begun bool) outcome {
	switch {
	case len(s.full) > 0:
		return crowded
	case len(s.never) > 0 && len(s.cut) == 0 && !begun:
		return tooLarge
	case s.closed:
		return closed
	default:
		return unreached
	}
}

// again lets owners be asked once more that had no room, or could not be reached.
func (s *search) again() {
	clear(s.cut)
	clear(s.tried)
}
