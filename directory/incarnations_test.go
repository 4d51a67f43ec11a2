package directory

import (
	"slices"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// TestIncarnations checks that what is known of an earlier incarnation of an upstream does not
// apply to a later one with the same ID, whether it was received before the restart or arrives
// only afterwards.
func TestIncarnations(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	entries := func(started, sequence int64, draining bool) []Entry {
		return []Entry{{ID: "u", Upstream: fleet.Upstream{ID: "u", Service: "s", Zone: "a", StartedUnixMs: started, Sequence: sequence, Draining: draining}}}
	}
	markDraining := func(started int64) {
		d.MarkDraining(now, []Drain{{Incarnation: fleet.UpstreamIncarnation{ID: "u", StartedUnixMs: started}}})
	}
	for _, step := range []struct {
		name      string
		do        func()
		startable bool
	}{
		{"the upstream is listed", func() { d.Replace(now, entries(5, 7, false)) }, true},
		{"it is draining", func() { d.Update(now, entries(5, 8, true)) }, false},
		{"an older write takes effect late", func() { d.Update(now, entries(5, 7, false)) }, false},
		{"it restarts, and its sequence numbers start over", func() { d.Update(now, entries(9, 1, false)) }, true},
		{"a write of the previous incarnation takes effect late", func() { d.Update(now, entries(5, 9, true)) }, true},
		{"the list is read again", func() { d.Replace(now, entries(9, 1, false)) }, true},
		{"a peer reports that the previous incarnation is draining", func() { markDraining(5) }, true},
		{"a peer reports that the next incarnation is draining", func() { markDraining(12) }, true},
		{"the next incarnation is listed", func() { d.Update(now, entries(12, 3, false)) }, false},
		{"a later incarnation is listed", func() { d.Replace(now, entries(15, 1, false)) }, true},
		{"its entry is removed and written again", func() {
			d.Update(now, []Entry{{ID: "u", Deleted: true}})
			d.Update(now, entries(15, 2, false))
		}, true},
	} {
		step.do()
		if got := slices.Contains(startable(d), "u"); got != step.startable {
			t.Fatalf("%s: new tasks may start on the upstream: %v, want %v", step.name, got, step.startable)
		}
	}
}

// TestLargestCapacity checks that LargestCapacity is the highest capacity that one incarnation
// has had while its capacity shrinks and grows, and that it starts over with the first entry of
// the next incarnation.
func TestLargestCapacity(t *testing.T) {
	d := New()
	for i, step := range []struct {
		started, sequence, cpu, largest int64
	}{
		{5, 1, 8000, 8000}, {5, 2, 3000, 8000}, {5, 1, 9000, 8000}, {5, 3, 9000, 9000}, {7, 1, 2000, 2000},
	} {
		capacity := fleet.Resources{MilliCPU: step.cpu}
		d.Update(time.Unix(1000, 0), []Entry{{ID: "u", Upstream: fleet.Upstream{ID: "u", StartedUnixMs: step.started, Sequence: step.sequence, Capacity: capacity}}})
		if u, _ := d.Lookup("u"); u.LargestCapacity.MilliCPU != step.largest {
			t.Errorf("step %d: wrong LargestCapacity in %+v, want %d thousandths of a core", i, u, step.largest)
		}
	}
}

// TestCapacityReports lets an instance that reads the platform's list send capacity reports to
// one that cannot read it. The receiver must apply changes, and must ignore reports that arrive
// late or concern another incarnation.
func TestCapacityReports(t *testing.T) {
	now := time.Unix(1000, 0)
	entry := func(sequence, cpu int64) []Entry {
		return []Entry{{ID: "u", Upstream: fleet.Upstream{ID: "u", StartedUnixMs: 5, Sequence: sequence, Capacity: fleet.Resources{MilliCPU: cpu}}}}
	}
	reader, receiver := New(), New()
	reader.Replace(now, entry(1, 8000))
	receiver.Replace(now, entry(1, 8000))
	if reports := reader.CapacityReportsSince(time.Time{}); len(reports) > 0 {
		t.Errorf("reports %v before any change of capacity", reports)
	}
	reader.Update(now, entry(2, 3000))
	shrunk := reader.CapacityReportsSince(now.Add(-time.Second))
	reader.Update(now, entry(3, 6000))
	grown := reader.CapacityReportsSince(now.Add(-time.Second))
	for _, step := range []struct {
		name    string
		reports []CapacityReport
		changed bool
		cpu     int64
	}{
		{"capacity shrinks", shrunk, true, 3000}, {"same report again", shrunk, false, 3000}, {"capacity grows", grown, true, 6000}, {"late report", shrunk, false, 6000},
		{"another incarnation", []CapacityReport{{Incarnation: fleet.UpstreamIncarnation{ID: "u", StartedUnixMs: 6}, Sequence: 9, Capacity: fleet.Resources{MilliCPU: 1}}}, false, 6000},
		{"unknown upstream", []CapacityReport{{Incarnation: fleet.UpstreamIncarnation{ID: "x", StartedUnixMs: 6}, Sequence: 9}}, false, 6000},
	} {
		changed := receiver.ApplyCapacityReports(now, step.reports)
		if u, _ := receiver.Lookup("u"); changed != step.changed || u.Capacity.MilliCPU != step.cpu || u.LargestCapacity.MilliCPU != 8000 {
			t.Errorf("%s: wrong result or capacity after the report: changed %v, %+v", step.name, changed, u)
		}
	}
	if reports := reader.CapacityReportsSince(now); len(reports) > 0 {
		t.Errorf("reports %v since a time after the last change", reports)
	}
}
