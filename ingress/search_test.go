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
		learn func(*search)
		begun bool
		left  int
		why   outcome
	}{
		"nobody is known":                    {why: unreached},
		"nothing is known of any":            {loads: loads, left: 3, why: unreached},
		"one had no room, and may be asked":  {loads: loads, learn: func(s *search) { s.chose("a/0") }, left: 3, why: unreached},
		"one cannot be reached":              {loads: loads, learn: func(s *search) { s.cut["a/0"] = true }, left: 2, why: unreached},
		"one can never run it":               {loads: loads, learn: func(s *search) { s.never["a/0"] = true }, left: 2, why: tooLarge},
		"another may, but cannot be reached": {loads: loads, learn: func(s *search) { s.never["a/0"], s.cut["b/0"] = true, true }, left: 1, why: unreached},
		"it has begun, so it fits":           {loads: loads, learn: func(s *search) { s.never["a/0"] = true }, begun: true, left: 2, why: unreached},
		"one expects no room":                {loads: loads, learn: func(s *search) { s.full["b/0"], s.never["a/0"] = true, true }, left: 1, why: crowded},
		"nothing may start":                  {loads: shut, left: 2, why: closed},
		"nothing may start, and no room":     {loads: shut, learn: func(s *search) { s.full["a/0"] = true }, left: 1, why: crowded},
	} {
		s := newSearch()
		if c.learn != nil {
			c.learn(&s)
		}
		if left := s.look(c.loads); len(left) != c.left || s.owners != len(c.loads) {
			t.Errorf("%s: %d of %d are left", name, len(left), s.owners)
		}
		if why := s.outcome(c.begun); why != c.why {
			t.Errorf("%s: outcome %d, want %d", name, why, c.why)
		}
	}
	s := newSearch()
	s.look(loads)
	if s.ownersAge != 2*time.Second {
		t.Errorf("the oldest report is %v old", s.ownersAge)
	}
	for range maxAsked + 1 {
		s.chose("a/0")
	}
	if s.cut["a/0"] = true; len(s.asked) != maxAsked || !s.tried["a/0"] {
		t.Errorf("%d groups are remembered", len(s.asked))
	}
	if s.again(); len(s.look(loads)) != 3 || s.tried["a/0"] {
		t.Error("a group that could not be reached is not asked again")
	}
}
