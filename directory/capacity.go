package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"

	"github.com/samber/lo"
)

// CapacityReport is a change of an upstream's capacity, which may shrink and grow while the
// upstream runs. Instances send these reports to each other, because some instances may be
// unable to read the platform's list.
type CapacityReport struct {
	Incarnation fleet.UpstreamIncarnation
	Sequence    int64 // version of the upstream's entry, as in fleet.Upstream
	Capacity    fleet.Resources
}

// CapacityReportsSince returns a report with the current capacity of each upstream whose
// capacity has changed, if this instance learned of the change after the time since.
func (d *Directory) CapacityReportsSince(since time.Time) []CapacityReport {
	d.mu.Lock()
	defer d.mu.Unlock()
	changed := lo.PickBy(d.capacityChangedAt, func(_ fleet.UpstreamIncarnation, at time.Time) bool { return at.After(since) })
	return lo.FilterMap(slices.SortedFunc(maps.Keys(changed), fleet.CompareIncarnations), func(incarnation fleet.UpstreamIncarnation, _ int) (CapacityReport, bool) {
		u := d.upstreams[incarnation.ID]
		return CapacityReport{incarnation, u.Sequence, u.Capacity}, u.Incarnation() == incarnation
	})
}

// ApplyCapacityReports applies reports received from a peer, and returns whether the capacity
// of any upstream changed. It ignores reports on incarnations that the directory does not
// contain, and reports that are not newer than the stored entry.
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
