// Package directory stores the upstreams, the processes that run tasks, that are in the
// platform's list, and the availability zones that operators have evacuated. From these it
// determines whether new tasks may start on an upstream. It does no I/O and is safe for
// concurrent use.
//
// An upstream may restart under the same ID; one execution of its process is called an
// incarnation. An upstream is draining if it is shutting down and gets no new tasks.
// Operators evacuate a zone to keep new tasks off its upstreams for a while.
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
	// Deleted is set if the entry was removed from the list. Invalid is set if the entry
	// cannot be read because another program has overwritten it. In both cases Upstream is
	// not used.
	Deleted bool
	Invalid bool
}

// Directory holds the upstreams and the evacuation state of the zones as one instance
// knows them. Create it with New.
type Directory struct {
	mu                sync.Mutex // guards the fields below
	upstreams         map[string]fleet.Upstream
	synced            bool                                     // result of Synced
	drains            map[fleet.UpstreamIncarnation]drainState // of the upstreams that are draining
	capacityChangedAt map[fleet.UpstreamIncarnation]time.Time  // when this instance last learned of a change of an upstream's capacity
	hasStartTimes     bool                                     // any entry so far contained the start time of its upstream
	services          map[string]bool                          // services named in the configuration; nil means any service
	zones             zoneTable
}

// New returns an empty directory.
func New() *Directory {
	return &Directory{upstreams: map[string]fleet.Upstream{}, drains: map[fleet.UpstreamIncarnation]drainState{}, capacityChangedAt: map[fleet.UpstreamIncarnation]time.Time{}, zones: zoneTable{byName: map[string]zoneEntry{}}}
}

// Replace applies a complete list of upstreams. It removes those that are not in the list, and
// returns those that are draining and were not known to be draining before.
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

// Update applies entries that have changed. It returns the upstreams that are draining and
// were not known to be draining before.
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
			if !e.Upstream.Draining {
				continue
			}
			if added, _ := d.noteDrain(now, Drain{e.Upstream.Incarnation(), leavingTime(now, e.Upstream.RemainingTime)}); added {
				draining = append(draining, e.Upstream.Incarnation())
			}
		}
	}
	return draining
}

// upsert stores an upstream, unless a newer entry of it is stored already. Entries may arrive
// out of order, because the platform's store may carry out a delayed write after a later one.
// upsert reports whether u was stored. The caller must hold d.mu.
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
	u.RemainingTime = 0 // it counts from the reading of the entry; from now on, drains has the time
	d.upstreams[u.ID] = u
	return true
}

// dropTimes deletes the entries of an incarnation in drains and capacityChangedAt. The
// caller must hold d.mu.
func (d *Directory) dropTimes(incarnation fleet.UpstreamIncarnation) {
	delete(d.drains, incarnation)
	delete(d.capacityChangedAt, incarnation)
}

// RecordStartTimes records whether any of the entries contains the start time of its
// upstream, and reports whether any entry has contained one so far. Then the platform reports
// start times, and an entry without one is invalid.
func (d *Directory) RecordStartTimes(entries []Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.hasStartTimes = d.hasStartTimes || slices.ContainsFunc(entries, func(e Entry) bool { return e.Upstream.StartedUnixMs > 0 })
	return d.hasStartTimes
}

// markClosed marks an upstream as closed because its entry was overwritten by an invalid one.
// The upstream stays in the directory, so that the tasks that run there are still monitored,
// but no new ones start until a valid entry is written. If the upstream is not in the
// directory, markClosed does nothing. The caller must hold d.mu.
func (d *Directory) markClosed(id string) {
	if u, found := d.upstreams[id]; found {
		u.Closed = true
		d.upstreams[id] = u
	}
}

// Merge applies the upstreams that a peer has read from the platform's list, except those of
// which a newer entry is stored already. Unlike Replace it removes none. The directory counts
// as synced afterwards. Merge returns the upstreams that are draining and were not known to be
// draining before.
func (d *Directory) Merge(now time.Time, list []fleet.Upstream) (draining []fleet.UpstreamIncarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced = true
	return d.apply(now, lo.Map(list, func(u fleet.Upstream, _ int) Entry { return Entry{ID: u.ID, Upstream: u} }))
}

// MarkUnsynced records that this instance no longer watches the list of upstreams, so that the
// directory may be outdated.
func (d *Directory) MarkUnsynced() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.synced = false
}

// SetServices sets the services that the configuration names. Select then leaves out the
// upstreams of other services. If services is empty, it leaves out none.
func (d *Directory) SetServices(services []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.services = nil
	if len(services) == 0 {
		return
	}
	d.services = lo.SliceToMap(services, func(name string) (string, bool) { return name, true })
}

// Ready reports whether this instance may take ownership of groups of upstreams. It must know
// the upstreams, as reported by Synced, and which availability zones are evacuated.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.synced && d.zones.listedRevision > 0
}

// Synced reports whether the list of upstreams has been read from the platform's store or
// received from a peer, and MarkUnsynced has not been called since.
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

// ListForPeer returns the upstreams for which match returns true, sorted by ID, as they are
// sent to a peer. It leaves out upstreams whose entry is invalid. Draining is set if the list
// or any peer reports the upstream as draining. Closed is never set: the peer itself sets it
// for evacuated zones.
func (d *Directory) ListForPeer(match func(fleet.Upstream) bool) []fleet.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.filter(func(u fleet.Upstream) bool { return !u.Closed && match(u) }, d.withDraining)
}

// Select returns the upstreams of the configured services for which match returns true, sorted
// by ID. Draining is set if the list or any peer reports the upstream as draining. Closed is
// set if the entry is invalid or the availability zone is evacuated.
func (d *Directory) Select(match func(fleet.Upstream) bool) []fleet.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.filter(func(u fleet.Upstream) bool { return (d.services == nil || d.services[u.Service]) && match(u) }, d.withStatus)
}

// filter returns the upstreams for which match returns true, sorted by ID. It passes each of
// them through view. The caller must hold d.mu.
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

// withStatus returns u, with Draining set as by withDraining, and with Closed set if its entry
// is invalid or its availability zone is evacuated. The caller must hold d.mu.
func (d *Directory) withStatus(u fleet.Upstream) fleet.Upstream {
	u = d.withDraining(u)
	u.Closed = u.Closed || d.zones.byName[u.Zone].evacuated
	return u
}
