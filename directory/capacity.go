package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"

	"github.com/samber/lo"
)

// CapacityReport is the capacity that an upstream has reported. It may shrink and grow
// while the upstream runs. Instances send changes to each other, since some of them may be
// unable to read the platform's list.
type CapacityReport struct {
	Incarnation fleet.UpstreamIncarnation
	Sequence    int64 // version of the upstream's entry, as in fleet.Upstream
	Capacity    fleet.Resources
}

// CapacityReportsSince returns the current capacity of each upstream for which this
// instance learned of a change after a given time.
func (d *Directory) CapacityReportsSince(since time.Time) []CapacityReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := lo.PickBy(d.capacityChangedAt, func(_ fleet.UpstreamIncarnation, at time.Time) bool { return at.After(since) })
	return lo.FilterMap(slices.SortedFunc(maps.Keys(changed), fleet.CompareIncarnations), func(incarnation fleet.UpstreamIncarnation, _ int) (CapacityReport, bool) {
		u := d.upstreams[incarnation.ID]
		return CapacityReport{incarnation, u.Sequence, u.Capacity}, u.Incarnation() == incarnation
	})
}

// ApplyCapacityReports applies capacities received from a peer, and reports whether any
// upstream's capacity changed. Reports on unknown incarnations, and those that are not newer
// than the stored entry, are ignored.
func (d *Directory) ApplyCapacityReports(now time.Time, reports []CapacityReport) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range reports {
		u := d.upstreams[r.Incarnation.ID]
		if u.Incarnation() != r.Incarnation || r.Sequence <= u.Sequence {
			continue
		}
		changed = changed || u.Capacity != r.Capacity
		u.Sequence, u.Capacity = r.Sequence, r.Capacity
		d.upsert(now, u)
	}
	return changed
}
