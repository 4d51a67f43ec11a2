// Package directory stores the upstreams that the platform lists and the availability
// zones that operators have evacuated. From these it determines whether new tasks may
// start on an upstream. It does no I/O and is safe for concurrent use.
package directory

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"

	"github.com/samber/lo"
)

// Entry is one upstream's entry in the platform's list.
type Entry struct {
	ID       string
	Upstream fleet.Upstream
	// Deleted is set if the entry was removed from the list, Invalid if it cannot be
	// read because some other program overwrote it. In both cases Upstream is not used.
	Deleted bool
	Invalid bool
}

// Directory holds the upstreams and the evacuation state of the zones as one instance
// knows them. Create it with New.
type Directory struct {
	mu                sync.Mutex // guards the fields below
	upstreams         map[string]fleet.Upstream
	synced            bool                                    // the list of upstreams has been read, see Synced
	drainingSince     map[fleet.UpstreamIncarnation]time.Time // when this instance first learned that an upstream is draining
	capacityChangedAt map[fleet.UpstreamIncarnation]time.Time // when this instance last learned of a change of an upstream's capacity
	hasStartTimes     bool                                    // at least one entry contained the start time of its upstream
	services          map[string]bool                         // services named in the configuration; nil means any service
	zones             zoneTable
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{upstreams: map[string]fleet.Upstream{}, drainingSince: map[fleet.UpstreamIncarnation]time.Time{}, capacityChangedAt: map[fleet.UpstreamIncarnation]time.Time{}, zones: zoneTable{byName: map[string]zoneEntry{}}}
}

// Replace applies a complete list of upstreams. Upstreams that are not in it are removed.
// It returns those that were not known to be draining before and are now.
func (d *Directory) Replace(now time.Time, entries []Entry) (draining []fleet.UpstreamIncarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	previous := d.upstreams
	d.upstreams = make(map[string]fleet.Upstream, len(entries))
	d.synced = true
	for _, e := range entries {
		if u, found := previous[e.ID]; found {
			d.upstreams[e.ID] = u
		}
	}
	return d.apply(now, entries)
}

// Update applies entries that have changed. It returns the upstreams that were not known
// to be draining before and are now.
func (d *Directory) Update(now time.Time, entries []Entry) (draining []fleet.UpstreamIncarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.apply(now, entries)
}

// apply implements Update. The caller must hold d.mu.
func (d *Directory) apply(now time.Time, entries []Entry) (draining []fleet.UpstreamIncarnation) {
	for _, e := range entries {
		switch {
		case e.Deleted:
			d.dropTimes(d.upstreams[e.ID].Incarnation())
			delete(d.upstreams, e.ID)
		case e.Invalid:
			d.markClosed(e.ID)
		case d.upsert(now, e.Upstream):
			if e.Upstream.Draining && d.noteDraining(now, e.Upstream.Incarnation()) {
				draining = append(draining, e.Upstream.Incarnation())
			}
		}
	}
	return draining
}

// upsert stores an upstream, unless a newer entry of it is stored already: the store may
// carry out a delayed write after a later one. It reports whether u was stored. The caller
// must hold d.mu.
func (d *Directory) upsert(now time.Time, u fleet.Upstream) bool {
	current := d.upstreams[u.ID]
	switch {
	case u.StartedUnixMs < current.StartedUnixMs:
		return false
	case u.StartedUnixMs > current.StartedUnixMs:
		d.dropTimes(current.Incarnation())
		u.LargestCapacity = u.Capacity
	case u.Sequence < current.Sequence:
		return false
	default:
		u.LargestCapacity = u.Capacity.Max(current.LargestCapacity)
		if current.ID != "" && u.Capacity != current.Capacity {
			d.capacityChangedAt[u.Incarnation()] = now
		}
	}
	d.upstreams[u.ID] = u
	return true
}

// dropTimes deletes the times recorded for an incarnation. The caller must hold d.mu.
func (d *Directory) dropTimes(incarnation fleet.UpstreamIncarnation) {
	delete(d.drainingSince, incarnation)
	delete(d.capacityChangedAt, incarnation)
}

// RecordStartTimes records whether any of the entries contains the start time of its
// upstream, and reports whether any entry so far did. If one does, all valid entries on
// this platform do.
func (d *Directory) RecordStartTimes(entries []Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hasStartTimes = d.hasStartTimes || slices.ContainsFunc(entries, func(e Entry) bool { return e.Upstream.StartedUnixMs > 0 })
	return d.hasStartTimes
}

// markClosed keeps an upstream whose entry was overwritten by an invalid one: the tasks
// that run there are still monitored, but no new ones start until a valid entry is
// written. If the upstream is not in the directory, markClosed does nothing. The caller
// must hold d.mu.
func (d *Directory) markClosed(id string) {
	if u, found := d.upstreams[id]; found {
		u.Closed = true
		d.upstreams[id] = u
	}
}

// noteDraining records that an upstream is draining, and reports whether that was not
// recorded before. The caller must hold d.mu.
func (d *Directory) noteDraining(now time.Time, incarnation fleet.UpstreamIncarnation) bool {
	if _, found := d.drainingSince[incarnation]; found {
		return false
	}
	d.drainingSince[incarnation] = now
	return true
}

// Merge adds upstreams that a peer has read from the platform's list, except those of
// which a newer entry is stored already. The directory counts as synced afterwards. Merge
// returns the upstreams that were not known to be draining before and are now.
func (d *Directory) Merge(now time.Time, list []fleet.Upstream) (draining []fleet.UpstreamIncarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced = true
	return d.apply(now, lo.Map(list, func(u fleet.Upstream, _ int) Entry { return Entry{ID: u.ID, Upstream: u} }))
}

// MarkDraining records upstreams that a peer reports as draining, and returns those that
// were not known to be draining before. An incarnation never stops draining.
func (d *Directory) MarkDraining(now time.Time, incarnations []fleet.UpstreamIncarnation) []fleet.UpstreamIncarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.Filter(incarnations, func(incarnation fleet.UpstreamIncarnation, _ int) bool { return d.noteDraining(now, incarnation) })
}

// DrainingSince returns the upstreams of which this instance learned after a given time
// that they are draining.
func (d *Directory) DrainingSince(since time.Time) []fleet.UpstreamIncarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := maps.Keys(lo.PickBy(d.drainingSince, func(_ fleet.UpstreamIncarnation, at time.Time) bool { return at.After(since) }))
	return slices.SortedFunc(recent, fleet.CompareIncarnations)
}

// MarkUnsynced records that the list of upstreams is no longer watched.
func (d *Directory) MarkUnsynced() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced = false
}

// SetServices sets the services that the configuration names. Select leaves out upstreams
// of other services. If services is empty, upstreams of all services are used.
func (d *Directory) SetServices(services []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.services = nil
	if len(services) == 0 {
		return
	}
	d.services = lo.SliceToMap(services, func(name string) (string, bool) { return name, true })
}

// Ready reports whether this instance may take ownership of groups: the list of upstreams
// is synced, and it is known which availability zones are evacuated.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.synced && d.zones.listedRevision > 0
}

// Synced reports whether the list of upstreams has been read from the store or received
// from a peer, and MarkUnsynced was not called since.
func (d *Directory) Synced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.synced
}

// CountInZone returns the number of upstreams in an availability zone.
func (d *Directory) CountInZone(zone string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.CountBy(slices.Collect(maps.Values(d.upstreams)), func(u fleet.Upstream) bool { return u.Zone == zone })
}

// Lookup returns the upstream with the given ID, and whether it is in the directory.
func (d *Directory) Lookup(id string) (fleet.Upstream, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, found := d.upstreams[id]
	return d.withStatus(u), found
}

// ListForPeer returns the upstreams that match, sorted by ID, as they are sent to a peer.
// It leaves out upstreams whose entry is invalid. Closed does not reflect evacuations;
// Draining is set if the list or any peer reports the upstream as draining.
func (d *Directory) ListForPeer(match func(fleet.Upstream) bool) []fleet.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.filter(func(u fleet.Upstream) bool { return !u.Closed && match(u) }, d.withDraining)
}

// Select returns the upstreams of the configured services that match, sorted by ID.
// Draining is set if the list or any peer reports the upstream as draining, and Closed if
// its entry is invalid or its availability zone is evacuated.
func (d *Directory) Select(match func(fleet.Upstream) bool) []fleet.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.filter(func(u fleet.Upstream) bool { return (d.services == nil || d.services[u.Service]) && match(u) }, d.withStatus)
}

// filter returns the upstreams that match, sorted by ID and converted by view. The caller
// must hold d.mu.
func (d *Directory) filter(match func(fleet.Upstream) bool, view func(fleet.Upstream) fleet.Upstream) []fleet.Upstream {
	var list []fleet.Upstream
	for _, u := range d.upstreams {
		if match(u) {
			list = append(list, view(u))
		}
	}
	slices.SortFunc(list, func(a, b fleet.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// withDraining returns u with Draining also set if a peer reported it as draining. The
// caller must hold d.mu.
func (d *Directory) withDraining(u fleet.Upstream) fleet.Upstream {
	_, draining := d.drainingSince[u.Incarnation()]
	u.Draining = u.Draining || draining
	return u
}

// withStatus returns u with Draining set as by withDraining, and Closed also set if its
// availability zone is evacuated. The caller must hold d.mu.
func (d *Directory) withStatus(u fleet.Upstream) fleet.Upstream {
	u = d.withDraining(u)
	u.Closed = u.Closed || d.zones.byName[u.Zone].evacuated
	return u
}
