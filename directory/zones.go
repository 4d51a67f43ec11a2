package directory

import (
	"maps"
	"slices"
)

// ZoneState is the evacuation state of an availability zone. No new tasks may start on the
// upstreams of an evacuated zone until operators end the evacuation.
type ZoneState struct {
	Zone      string
	Evacuated bool
	Revision  uint64 // revision of the platform's store to which the state belongs
}

// zoneTable holds the latest known state of each availability zone. A state is never
// replaced by that of an older revision of the store, whether the store or a peer sent it.
type zoneTable struct {
	byName map[string]zoneEntry
	// listedRevision is the revision of the newest complete list of evacuations received:
	// a zone without an entry was not evacuated at that revision. It is 0 before the first
	// complete list.
	listedRevision uint64
}

type zoneEntry struct {
	evacuated bool
	revision  uint64
}

// maxZones bounds the number of zones in the table. The largest planned fleet has 14.
const maxZones = 1024

// update stores one state unless it is outdated, and reports whether the zone's evacuation
// began or ended by it.
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

// ReplaceZones applies the complete list of evacuations at a revision of the store,
// received from the store or from a peer, and returns the zones whose state changed. Zones
// that are not listed were not evacuated at that revision.
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

// UpdateZones applies evacuations that began or ended, and returns the zones whose state
// changed.
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

// Zones returns the states of all zones that are or were evacuated, sorted by name, and the
// revision of the newest complete list of evacuations, which is 0 before the first one.
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
