package directory

import (
	"maps"
	"slices"
)

// ZoneState says whether an availability zone is evacuated: nothing new may start on
// its upstreams until the operators take that back.
type ZoneState struct {
	Zone      string
	Evacuated bool
	Revision  uint64 // of the platform's store, at which that was so
}

// zones holds the newest that is known of each availability zone. What is known of a
// zone never goes back to an older revision of the store, whoever tells it.
type zones struct {
	rows map[string]zoneRow
	// asOf is the revision at which all evacuations were listed: a zone without a row
	// was not evacuated then. It is 0 before anybody has told.
	asOf uint64
}

type zoneRow struct {
	evacuated bool
	revision  uint64
}

// mostZones bounds how many zones are remembered. The largest fleet that is planned
// for has 14.
const mostZones = 1024

// set takes one state, and reports whether it changes what may start.
func (z *zones) set(s ZoneState) bool {
	row, known := z.rows[s.Zone]
	newer := s.Revision > row.revision
	if !known {
		newer = s.Revision > z.asOf || z.asOf == 0
	}
	if !newer || !known && len(z.rows) >= mostZones {
		return false
	}
	z.rows[s.Zone] = zoneRow{s.Evacuated, s.Revision}
	return row.evacuated != s.Evacuated
}

// ReplaceZones takes all that the store, or a peer, knew of evacuations at a revision
// of the store, and returns the zones whose state changes. Zones that are not named
// were not evacuated then.
func (d *Directory) ReplaceZones(revision uint64, states []ZoneState) []ZoneState {
	d.mu.Lock()
	defer d.mu.Unlock()
	states = slices.Clone(states)
	for zone := range d.zones.rows {
		if !slices.ContainsFunc(states, func(s ZoneState) bool { return s.Zone == zone }) {
			states = append(states, ZoneState{Zone: zone, Revision: revision})
		}
	}
	changed := d.setZones(states)
	d.zones.asOf = max(d.zones.asOf, revision)
	return changed
}

// UpdateZones takes evacuations that began or were taken back, and returns the zones
// whose state changes.
func (d *Directory) UpdateZones(states []ZoneState) []ZoneState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.setZones(states)
}

// setZones is UpdateZones. The lock is held.
func (d *Directory) setZones(states []ZoneState) []ZoneState {
	var changed []ZoneState
	for _, s := range states {
		if d.zones.set(s) {
			changed = append(changed, s)
		}
	}
	return changed
}

// Zones returns what is known of the zones that are or were evacuated, by name, and
// the revision at which all were listed last: 0 before it is known which those are.
func (d *Directory) Zones() ([]ZoneState, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]ZoneState, 0, len(d.zones.rows))
	for _, zone := range slices.Sorted(maps.Keys(d.zones.rows)) {
		row := d.zones.rows[zone]
		list = append(list, ZoneState{zone, row.evacuated, row.revision})
	}
	return list, d.zones.asOf
}
