package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"

	"github.com/samber/lo"
)

// CapacityReport is how much an upstream has said that it has room for. It may shrink and grow while
// the upstream runs; instances tell each other, since not each of them may be able to read
// the list.
type CapacityReport struct {
	Incarnation fleet.UpstreamIncarnation
	Sequence    int64 // of what the upstream says of itself
	Capacity    fleet.Resources
}

// CapacityReportsSince returns the rooms of the upstreams of which a change was first known after a
// moment.
func (d *Directory) CapacityReportsSince(since time.Time) []CapacityReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := lo.PickBy(d.resizedAt, func(_ fleet.UpstreamIncarnation, at time.Time) bool { return at.After(since) })
	return lo.FilterMap(slices.SortedFunc(maps.Keys(recent), fleet.CompareIncarnations), func(life fleet.UpstreamIncarnation, _ int) (CapacityReport, bool) {
		u := d.upstreams[life.ID]
		return CapacityReport{life, u.Sequence, u.Capacity}, u.Incarnation() == life
	})
}

// ApplyCapacityReports takes what a peer says of rooms, and reports whether any of it is news.
func (d *Directory) ApplyCapacityReports(now time.Time, rooms []CapacityReport) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range rooms {
		u := d.upstreams[r.Incarnation.ID]
		if u.Incarnation() != r.Incarnation || r.Sequence <= u.Sequence {
			continue
		}
		changed = changed || u.Capacity != r.Capacity
		u.Sequence, u.Capacity = r.Sequence, r.Capacity
		d.enter(now, u)
	}
	return changed
}
