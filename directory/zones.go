package directory

import (
	"maps"
	"slices"
)

// ZoneState tells whether an availability zone is evacuated. No new tasks may start on the
// upstreams of an evacuated zone until operators end the evacuation.
type ZoneState struct {
	Zone      string
	Evacuated bool
	Revision  uint64 // revision of the platform's store at which the zone had this state
}

// zoneTable holds the latest known state of each availability zone. A state is never replaced
// by one of an older revision, no matter whether that comes from the store or from a peer.
type zoneTable struct {
	byName map[string]zoneEntry
	// listedRevision is the revision of the newest complete list of evacuated zones that
	// was received, or 0 before the first one. A zone that is not in byName was not
	// evacuated at that revision.
	listedRevision uint64
}

type zoneEntry struct {
	evacuated bool
	revision  uint64
}

// maxZones limits the number of zones in the table, which could otherwise grow without bound.
// The largest planned fleet has 14 zones.
const maxZones = 1024

// update stores the state of a zone unless it is outdated, and reports whether the zone's
// evacuation has begun or ended according to it.
func (z *zoneTable) update(s ZoneState) bool {
	current, found := z.byName[s.Zone]
	newer := s.Revision > current.revision
	if !found {
		newer = s.Revision > z.listedRevision || z.listedRevision == 0
	}
	if !newer || !found && len(z.byName) >= maxZones {
		return false
	}
	z.byName[s.Zone] = zoneEntry{s.Evacuated, s.Revision}
	return current.evacuated != s.Evacuated
}

// ReplaceZones applies a complete list of zone states at a revision of the store, received from
// the store or from a peer. Zones that are not in the list were not evacuated at that revision.
// ReplaceZones returns the states that changed.
func (d *Directory) ReplaceZones(revision uint64, states []ZoneState) []ZoneState {
	d.mu.Lock()
	defer d.mu.Unlock()
	states = slices.Clone(states)
	for zone := range d.zones.byName {
		if !slices.ContainsFunc(states, func(s ZoneState) bool { return s.Zone == zone }) {
			states = append(states, ZoneState{Zone: zone, Revision: revision})
		}
	}
	changed := d.setZones(states)
	d.zones.listedRevision = max(d.zones.listedRevision, revision)
	return changed
}

// UpdateZones applies the states of zones whose evacuation has begun or ended, and returns the
// states that changed by it.
func (d *Directory) UpdateZones(states []ZoneState) []ZoneState {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.setZones(states)
}

// setZones implements UpdateZones. The caller must hold d.mu.
func (d *Directory) setZones(states []ZoneState) []ZoneState {
	var changed []ZoneState
	for _, s := range states {
		if d.zones.update(s) {
			changed = append(changed, s)
		}
	}
	return changed
}

// Zones returns the states of all zones that are or were evacuated, sorted by name. It also
// returns the revision of the newest complete list that was applied, or 0 before the first.
func (d *Directory) Zones() ([]ZoneState, uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := make([]ZoneState, 0, len(d.zones.byName))
	for _, zone := range slices.Sorted(maps.Keys(d.zones.byName)) {
		entry := d.zones.byName[zone]
		list = append(list, ZoneState{zone, entry.evacuated, entry.revision})
	}
	return list, d.zones.listedRevision
}
