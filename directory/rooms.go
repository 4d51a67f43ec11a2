package directory

import (
	"maps"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"

	"github.com/samber/lo"
)

// Room is how much an upstream has said that it has room for. It may shrink and grow while
// the upstream runs; instances tell each other, since not each of them may be able to read
// the list.
type Room struct {
	Life     fleet.Life
	Sequence int64 // of what the upstream says of itself
	Capacity fleet.Demand
}

// RoomsSince returns the rooms of the upstreams of which a change was first known after a
// moment.
func (d *Directory) RoomsSince(since time.Time) []Room {
	d.mu.Lock()
	defer d.mu.Unlock()
	recent := lo.PickBy(d.resizedAt, func(_ fleet.Life, at time.Time) bool { return at.After(since) })
	return lo.FilterMap(slices.SortedFunc(maps.Keys(recent), fleet.CompareLives), func(life fleet.Life, _ int) (Room, bool) {
		u := d.upstreams[life.ID]
		return Room{life, u.Sequence, u.Capacity}, u.Life() == life
	})
}

// TakeRooms takes what a peer says of rooms, and reports whether any of it is news.
func (d *Directory) TakeRooms(now time.Time, rooms []Room) (changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range rooms {
		u := d.upstreams[r.Life.ID]
		if u.Life() != r.Life || r.Sequence <= u.Sequence {
			continue
		}
		changed = changed || u.Capacity != r.Capacity
		u.Sequence, u.Capacity = r.Sequence, r.Capacity
		d.enter(now, u)
	}
	return changed
}
