package ingress

import (
	"testing"
	"time"
)

// TestSearch: whom a job may ask, and why nobody is left.
func TestSearch(t *testing.T) {
	loads := []OwnerLoad{{Group: "a/0", Age: time.Second}, {Group: "b/0", Age: 2 * time.Second}, {Group: "c/0", Closed: true}}
	shut := []OwnerLoad{{Group: "a/0", Closed: true}, {Group: "b/0", Closed: true}}
	for name, c := range map[string]struct {
		loads []OwnerLoad
		learn func(*ownerSearch)
		begun bool
		left  int
		why   searchOutcome
	}{
		"nobody is known":                    {why: noneReachable},
		"nothing is known of any":            {loads: loads, left: 3, why: noneReachable},
		"one had no room, and may be asked":  {loads: loads, learn: func(s *ownerSearch) { s.markOffered("a/0") }, left: 3, why: noneReachable},
		"one cannot be reached":              {loads: loads, learn: func(s *ownerSearch) { s.unreachable["a/0"] = true }, left: 2, why: noneReachable},
		"one can never run it":               {loads: loads, learn: func(s *ownerSearch) { s.neverFits["a/0"] = true }, left: 2, why: tooLarge},
		"another may, but cannot be reached": {loads: loads, learn: func(s *ownerSearch) { s.neverFits["a/0"], s.unreachable["b/0"] = true, true }, left: 1, why: noneReachable},
		"it has begun, so it fits":           {loads: loads, learn: func(s *ownerSearch) { s.neverFits["a/0"] = true }, begun: true, left: 2, why: noneReachable},
		"one expects no room":                {loads: loads, learn: func(s *ownerSearch) { s.noCapacity["b/0"], s.neverFits["a/0"] = true, true }, left: 1, why: noCapacityInTime},
		"nothing may start":                  {loads: shut, left: 2, why: allGroupsClosed},
		"nothing may start, and no room":     {loads: shut, learn: func(s *ownerSearch) { s.noCapacity["a/0"] = true }, left: 1, why: noCapacityInTime},
	} {
		s := newOwnerSearch()
		if c.learn != nil {
			c.learn(&s)
		}
		if left := s.refresh(c.loads); len(left) != c.left || s.ownerCount != len(c.loads) {
			t.Errorf("%s: %d of %d are left", name, len(left), s.ownerCount)
		}
		if why := s.outcome(c.begun); why != c.why {
			t.Errorf("%s: outcome %d, want %d", name, why, c.why)
		}
	}
	s := newOwnerSearch()
	s.refresh(loads)
	if s.loadAge != 2*time.Second {
		t.Errorf("the oldest report is %v old", s.loadAge)
	}
	for range maxOfferedGroups + 1 {
		s.markOffered("a/0")
	}
	if s.unreachable["a/0"] = true; len(s.offered) != maxOfferedGroups || !s.tried["a/0"] {
		t.Errorf("%d groups are remembered", len(s.offered))
	}
	if s.allowRetries(); len(s.refresh(loads)) != 3 || s.tried["a/0"] {
		t.Error("a group that could not be reached is not asked again")
	}
}
