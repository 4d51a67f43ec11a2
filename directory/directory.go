// Package directory holds what an instance knows of the upstreams that the platform
// lists, and of the availability zones that operators have evacuated: one place that
// tells whether anything new may start on an upstream. It does no I/O and is safe for
// concurrent use.
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

// Entry is what the platform's list says of one upstream.
type Entry struct {
	ID       string
	Upstream fleet.Upstream
	// Deleted is set where the entry was removed, Invalid where it cannot be read:
	// somebody else wrote it. It then names no upstream to use.
	Deleted bool
	Invalid bool
}

// Directory is one such place. Use New.
type Directory struct {
	mu          sync.Mutex // guards what follows
	upstreams   map[string]fleet.Upstream
	listed      bool                                    // the upstreams have been read
	drainedAt   map[fleet.UpstreamIncarnation]time.Time // when an upstream was first known to drain
	resizedAt   map[fleet.UpstreamIncarnation]time.Time // when the capacity of an upstream was first known to have changed
	tellsBirths bool                                    // some entry has told when its upstream was born
	services    map[string]bool                         // that the configuration names; nil before there is one
	zones       zones
}

// New returns a directory that knows nothing.
func New() *Directory {
	return &Directory{upstreams: map[string]fleet.Upstream{}, drainedAt: map[fleet.UpstreamIncarnation]time.Time{}, resizedAt: map[fleet.UpstreamIncarnation]time.Time{}, zones: zones{rows: map[string]zoneRow{}}}
}

// Replace takes the whole list of upstreams. It returns those that are newly known to
// drain.
func (d *Directory) Replace(now time.Time, entries []Entry) (draining []fleet.UpstreamIncarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.upstreams
	d.upstreams = make(map[string]fleet.Upstream, len(entries))
	d.listed = true
	for _, e := range entries {
		if u, known := before[e.ID]; known {
			d.upstreams[e.ID] = u
		}
	}
	return d.take(now, entries)
}

// Update takes the entries that have changed. It returns those that are newly known to
// drain.
func (d *Directory) Update(now time.Time, entries []Entry) (draining []fleet.UpstreamIncarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.take(now, entries)
}

// take is Update. The lock is held.
func (d *Directory) take(now time.Time, entries []Entry) (draining []fleet.UpstreamIncarnation) {
	for _, e := range entries {
		switch {
		case e.Deleted:
			d.forget(d.upstreams[e.ID].Incarnation())
			delete(d.upstreams, e.ID)
		case e.Invalid:
			d.close(e.ID)
		case d.enter(now, e.Upstream):
			if e.Upstream.Draining && d.drains(now, e.Upstream.Incarnation()) {
				draining = append(draining, e.Upstream.Incarnation())
			}
		}
	}
	return draining
}

// enter takes an entry that can be read, unless a newer one of its upstream is known: a
// write may be carried out late. It reports whether it did. The lock is held.
func (d *Directory) enter(now time.Time, u fleet.Upstream) bool {
	known := d.upstreams[u.ID]
	switch {
	case u.StartedUnixMs < known.StartedUnixMs:
		return false
	case u.StartedUnixMs > known.StartedUnixMs:
		d.forget(known.Incarnation())
		u.LargestCapacity = u.Capacity
	case u.Sequence < known.Sequence:
		return false
	default:
		u.LargestCapacity = u.Capacity.Max(known.LargestCapacity)
		if known.ID != "" && u.Capacity != known.Capacity {
			d.resizedAt[u.Incarnation()] = now
		}
	}
	d.upstreams[u.ID] = u
	return true
}

// forget drops what was known of a life beside its entry. The lock is held.
func (d *Directory) forget(life fleet.UpstreamIncarnation) {
	delete(d.drainedAt, life)
	delete(d.resizedAt, life)
}

// RecordStartTimes notes whether some of the entries tell when their upstreams were born, and
// reports whether any ever did: on such a platform each entry of an upstream does.
func (d *Directory) RecordStartTimes(entries []Entry) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.tellsBirths = d.tellsBirths || slices.ContainsFunc(entries, func(e Entry) bool { return e.Upstream.StartedUnixMs > 0 })
	return d.tellsBirths
}

// close keeps an upstream whose entry was overwritten by one that cannot be read:
// what runs there is still looked after, and nothing new starts until a good entry
// is back. One that was not known stays unknown. The lock is held.
func (d *Directory) close(id string) {
	if u, known := d.upstreams[id]; known {
		u.Closed = true
		d.upstreams[id] = u
	}
}

// drains notes that an upstream is leaving, and reports whether that is news. The lock
// is held.
func (d *Directory) drains(now time.Time, life fleet.UpstreamIncarnation) bool {
	if _, known := d.drainedAt[life]; known {
		return false
	}
	d.drainedAt[life] = now
	return true
}

// Merge takes what a peer has read of upstreams, as far as it is newer than what is known
// here. They count as listed then. It returns those that are newly known to drain.
func (d *Directory) Merge(now time.Time, list []fleet.Upstream) (draining []fleet.UpstreamIncarnation) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = true
	return d.take(now, lo.Map(list, func(u fleet.Upstream, _ int) Entry { return Entry{ID: u.ID, Upstream: u} }))
}

// MarkDraining notes what a peer says: that upstreams are leaving. It returns those of
// which that is news. They stay so for the rest of their lives.
func (d *Directory) MarkDraining(now time.Time, lives []fleet.UpstreamIncarnation) []fleet.UpstreamIncarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.Filter(lives, func(life fleet.UpstreamIncarnation, _ int) bool { return d.drains(now, life) })
}

// DrainingSince returns the upstreams that were first known to drain after a moment.
func (d *Directory) DrainingSince(since time.Time) []fleet.UpstreamIncarnation {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := maps.Keys(lo.PickBy(d.drainedAt, func(_ fleet.UpstreamIncarnation, at time.Time) bool { return at.After(since) }))
	return slices.SortedFunc(recent, fleet.CompareIncarnations)
}

// MarkUnsynced notes that the list is not followed any more.
func (d *Directory) MarkUnsynced() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listed = false
}

// SetServices takes the services that the configuration names. An upstream of
// another service is not used. A configuration that names none says nothing of them.
func (d *Directory) SetServices(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.services = nil
	if len(names) == 0 {
		return
	}
	d.services = lo.SliceToMap(names, func(name string) (string, bool) { return name, true })
}

// Ready reports whether groups may be taken: the upstreams are listed, and it is
// known which availability zones are evacuated.
func (d *Directory) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed && d.zones.asOf > 0
}

// Synced reports whether the upstreams have been read.
func (d *Directory) Synced() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.listed
}

// CountInZone returns how many upstreams an availability zone has.
func (d *Directory) CountInZone(zone string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return lo.CountBy(slices.Collect(maps.Values(d.upstreams)), func(u fleet.Upstream) bool { return u.Zone == zone })
}

// Lookup returns an upstream that is listed.
func (d *Directory) Lookup(id string) (fleet.Upstream, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u, known := d.upstreams[id]
	return d.marked(u), known
}

// ListForPeer returns the upstreams that a caller chooses as the list told them, but for those
// whose entry cannot be read, by id. Draining tells what is known from all sides.
func (d *Directory) ListForPeer(chosen func(fleet.Upstream) bool) []fleet.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pick(func(u fleet.Upstream) bool { return !u.Closed && chosen(u) }, d.drained)
}

// Select returns the upstreams of the configured services that a caller chooses, by
// id. Draining and Closed tell what is known from all sides.
func (d *Directory) Select(chosen func(fleet.Upstream) bool) []fleet.Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.pick(func(u fleet.Upstream) bool { return (d.services == nil || d.services[u.Service]) && chosen(u) }, d.marked)
}

// pick returns the upstreams that are chosen, by id, each as it is shown. The lock is held.
func (d *Directory) pick(chosen func(fleet.Upstream) bool, shown func(fleet.Upstream) fleet.Upstream) []fleet.Upstream {
	var list []fleet.Upstream
	for _, u := range d.upstreams {
		if chosen(u) {
			list = append(list, shown(u))
		}
	}
	slices.SortFunc(list, func(a, b fleet.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// drained returns an upstream with what is known of its drain from all sides. The lock is
// held.
func (d *Directory) drained(u fleet.Upstream) fleet.Upstream {
	_, draining := d.drainedAt[u.Incarnation()]
	u.Draining = u.Draining || draining
	return u
}

// marked returns an upstream with what is known of it from all sides. The lock is held.
func (d *Directory) marked(u fleet.Upstream) fleet.Upstream {
	u = d.drained(u)
	u.Closed = u.Closed || d.zones.rows[u.Zone].evacuated
	return u
}
