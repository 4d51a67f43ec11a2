package ingress

import (
	"testing"
	"time"
)

// TestSearch checks which groups remain candidates for an offer, and which reason is given if
// no owner is left to try.
func TestSearch(t *testing.T) {
	loads := []OwnerLoad{{Group: "a/0", Age: time.Second}, {Group: "b/0", Age: 2 * time.Second}, {Group: "c/0", Closed: true}}
	closed := []OwnerLoad{{Group: "a/0", Closed: true}, {Group: "b/0", Closed: true}}
	for name, c := range map[string]struct {
		loads      []OwnerLoad
		prepare    func(*ownerSearch)
		begun      bool
		candidates int
		outcome    searchOutcome
	}{
		"no owners":                              {outcome: noneReachable},
		"no offers yet":                          {loads: loads, candidates: 3, outcome: noneReachable},
		"one was tried, and remains":             {loads: loads, prepare: func(s *ownerSearch) { s.markOffered("a/0") }, candidates: 3, outcome: noneReachable},
		"one is unreachable":                     {loads: loads, prepare: func(s *ownerSearch) { s.unreachable["a/0"] = true }, candidates: 2, outcome: noneReachable},
		"never fits in one":                      {loads: loads, prepare: func(s *ownerSearch) { s.neverFits["a/0"] = true }, candidates: 2, outcome: tooLarge},
		"never fits in one, another unreachable": {loads: loads, prepare: func(s *ownerSearch) { s.neverFits["a/0"], s.unreachable["b/0"] = true, true }, candidates: 1, outcome: noneReachable},
		"begun, so it is not too large":          {loads: loads, prepare: func(s *ownerSearch) { s.neverFits["a/0"] = true }, begun: true, candidates: 2, outcome: noneReachable},
		"one expects no capacity":                {loads: loads, prepare: func(s *ownerSearch) { s.noCapacity["b/0"], s.neverFits["a/0"] = true, true }, candidates: 1, outcome: noCapacityInTime},
		"all closed":                             {loads: closed, candidates: 2, outcome: allGroupsClosed},
		"all closed, one expects no capacity":    {loads: closed, prepare: func(s *ownerSearch) { s.noCapacity["a/0"] = true }, candidates: 1, outcome: noCapacityInTime},
	} {
		s := newOwnerSearch()
		if c.prepare != nil {
			c.prepare(&s)
		}
		if candidates := s.refresh(c.loads); len(candidates) != c.candidates || s.ownerCount != len(c.loads) {
			t.Errorf("%s: unexpected number of candidates: %d of %d owners", name, len(candidates), s.ownerCount)
		}
		if outcome := s.outcome(c.begun); outcome != c.outcome {
			t.Errorf("%s: outcome %d, want %d", name, outcome, c.outcome)
		}
	}
	s := newOwnerSearch()
	s.refresh(loads)
	if s.loadAge != 2*time.Second {
		t.Errorf("the age of the oldest load report is %v, want 2s", s.loadAge)
	}
	for range maxOfferedGroups + 1 {
		s.markOffered("a/0")
	}
	if s.unreachable["a/0"] = true; len(s.offered) != maxOfferedGroups || !s.tried["a/0"] {
		t.Errorf("%d offers are recorded for the log, want maxOfferedGroups, and group a/0 as tried", len(s.offered))
	}
	if s.allowRetries(); len(s.refresh(loads)) != 3 || s.tried["a/0"] {
		t.Error("after allowRetries, a group that was unreachable is not a candidate or still counts as tried")
	}
}
