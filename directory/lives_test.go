package directory

import (
	"slices"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// TestLives: an upstream starts again under its id. Whatever came before of its former
// life, and whatever comes late, says nothing of the new one.
func TestLives(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	life := func(born, sequence int64, draining bool) []Entry {
		return []Entry{{ID: "u", Upstream: fleet.Upstream{ID: "u", Service: "s", Zone: "a", StartedUnixMs: born, Sequence: sequence, Draining: draining}}}
	}
	drains := func(born int64) { d.MarkDraining(now, []fleet.UpstreamIncarnation{{ID: "u", StartedUnixMs: born}}) }
	for _, step := range []struct {
		what string
		do   func()
		open bool
	}{
		{"it is listed", func() { d.Replace(now, life(5, 7, false)) }, true},
		{"it drains", func() { d.Update(now, life(5, 8, true)) }, false},
		{"an older write is carried out late", func() { d.Update(now, life(5, 7, false)) }, false},
		{"it starts again, and counts anew", func() { d.Update(now, life(9, 1, false)) }, true},
		{"a write of the former life is carried out late", func() { d.Update(now, life(5, 9, true)) }, true},
		{"the list is read again", func() { d.Replace(now, life(9, 1, false)) }, true},
		{"a peer tells that the former life drains", func() { drains(5) }, true},
		{"a peer tells that the next life drains", func() { drains(12) }, true},
		{"the next life is listed", func() { d.Update(now, life(12, 3, false)) }, false},
		{"a later one is", func() { d.Replace(now, life(15, 1, false)) }, true},
		{"its entry goes and comes back", func() {
			d.Update(now, []Entry{{ID: "u", Deleted: true}})
			d.Update(now, life(15, 2, false))
		}, true},
	} {
		step.do()
		if got := slices.Contains(open(d), "u"); got != step.open {
			t.Fatalf("%s: open %v, want %v", step.what, got, step.open)
		}
	}
}

// TestLargestCapacity: the largest capacity of a life is kept while its room shrinks and
// grows; a new life begins with what it tells first.
func TestLargestCapacity(t *testing.T) {
	d := New()
	for i, step := range []struct {
		born, sequence, cpu, largest int64
	}{
		{5, 1, 8000, 8000}, {5, 2, 3000, 8000}, {5, 1, 9000, 8000}, {5, 3, 9000, 9000}, {7, 1, 2000, 2000},
	} {
		capacity := fleet.Resources{MilliCPU: step.cpu}
		d.Update(time.Unix(1000, 0), []Entry{{ID: "u", Upstream: fleet.Upstream{ID: "u", StartedUnixMs: step.born, Sequence: step.sequence, Capacity: capacity}}})
		if u, _ := d.Lookup("u"); u.LargestCapacity.MilliCPU != step.largest {
			t.Errorf("step %d: %+v, want %d at most", i, u, step.largest)
		}
	}
}

// TestRooms: an instance that cannot read the list hears from a peer that a room has
// shrunk. What the peer says late, or of another life, changes nothing.
func TestRooms(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(sequence, cpu int64) []Entry {
		return []Entry{{ID: "u", Upstream: fleet.Upstream{ID: "u", StartedUnixMs: 5, Sequence: sequence, Capacity: fleet.Resources{MilliCPU: cpu}}}}
	}
	reads, hears := New(), New()
	reads.Replace(now, entry(1, 8000))
	hears.Replace(now, entry(1, 8000))
	if told := reads.CapacityReportsSince(time.Time{}); len(told) > 0 {
		t.Errorf("%v is told before anything has changed", told)
	}
	reads.Update(now, entry(2, 3000))
	shrunk := reads.CapacityReportsSince(now.Add(-time.Second))
	reads.Update(now, entry(3, 6000))
	grown := reads.CapacityReportsSince(now.Add(-time.Second))
	for _, step := range []struct {
		what  string
		rooms []CapacityReport
		news  bool
		cpu   int64
	}{
		{"it shrinks", shrunk, true, 3000}, {"again", shrunk, false, 3000}, {"it grows", grown, true, 6000}, {"late", shrunk, false, 6000},
		{"another life", []CapacityReport{{Incarnation: fleet.UpstreamIncarnation{ID: "u", StartedUnixMs: 6}, Sequence: 9, Capacity: fleet.Resources{MilliCPU: 1}}}, false, 6000},
		{"an unknown one", []CapacityReport{{Incarnation: fleet.UpstreamIncarnation{ID: "x", StartedUnixMs: 6}, Sequence: 9}}, false, 6000},
	} {
		news := hears.ApplyCapacityReports(now, step.rooms)
		if u, _ := hears.Lookup("u"); news != step.news || u.Capacity.MilliCPU != step.cpu || u.LargestCapacity.MilliCPU != 8000 {
			t.Errorf("%s: news %v, %+v", step.what, news, u)
		}
	}
	if told := reads.CapacityReportsSince(now); len(told) > 0 {
		t.Errorf("%v is told for ever", told)
	}
}
