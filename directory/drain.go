package directory

import (
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// Drain is the news that an upstream is draining.
type Drain struct {
	Incarnation fleet.UpstreamIncarnation
	// LeavesAt is the earliest time at which the upstream may leave; zero if it is not known.
	LeavesAt time.Time
}

// drainState is what is known of a draining upstream.
type drainState struct {
	since    time.Time // when this instance first learned that the upstream is draining
	leavesAt time.Time // as Drain.LeavesAt; the earliest that was received
}

// leavingTolerance is by how much a leaving time must be earlier than the known one to replace it.
// It absorbs the rounding and transmission of times that instances pass on to each other.
const leavingTolerance = 10 * time.Millisecond

// leavingTime returns when an upstream leaves that stays for the remaining time from now on, or
// the zero time if the remaining time is 0, which means that it is not known.
func leavingTime(now time.Time, remaining time.Duration) time.Time {
	if remaining <= 0 {
		return time.Time{}
	}
	return now.Add(remaining)
}

// noteDrain records that an upstream is draining. It returns whether that is new, and whether the
// leaving time has become known or is earlier than before. A later leaving time is ignored: the
// news may have been on the way for long, and their remaining time counts from their arrival. The
// caller must hold d.mu.
func (d *Directory) noteDrain(now time.Time, drain Drain) (added, earlier bool) {
	state, known := d.drains[drain.Incarnation]
	if !known {
		state.since = now
	}
	earlier = !drain.LeavesAt.IsZero() && (state.leavesAt.IsZero() || drain.LeavesAt.Before(state.leavesAt.Add(-leavingTolerance)))
	if earlier {
		state.leavesAt = drain.LeavesAt
	}
	d.drains[drain.Incarnation] = state
	return !known, earlier
}

// MarkDraining records upstreams that a peer reports as draining. It returns those that were not
// known to be draining before, and whether the leaving time of any has become known or earlier.
// Once an incarnation is draining, it stays so until it ends.
func (d *Directory) MarkDraining(now time.Time, drains []Drain) (draining []fleet.UpstreamIncarnation, earlier bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, drain := range drains {
		added, isEarlier := d.noteDrain(now, drain)
		if added {
			draining = append(draining, drain.Incarnation)
		}
		earlier = earlier || isEarlier
	}
	return draining, earlier
}

// DrainingSince returns the draining upstreams of which this instance learned after the time
// since that they are draining.
func (d *Directory) DrainingSince(since time.Time) []Drain {
	d.mu.Lock()
	defer d.mu.Unlock()
	var recent []Drain
	for incarnation, state := range d.drains {
		if state.since.After(since) {
			recent = append(recent, Drain{incarnation, state.leavesAt})
		}
	}
	slices.SortFunc(recent, func(a, b Drain) int { return fleet.CompareIncarnations(a.Incarnation, b.Incarnation) })
	return recent
}

// withDraining returns u, with Draining set if its entry or any peer reports it as draining, and
// with the time at which it leaves. The caller must hold d.mu.
func (d *Directory) withDraining(u fleet.Upstream) fleet.Upstream {
	state, draining := d.drains[u.Incarnation()]
	u.Draining = u.Draining || draining
	u.LeavesAt = state.leavesAt
	return u
}
