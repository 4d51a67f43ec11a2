package directory

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"

	"pgregory.net/rapid"
)

// drainMessage is one way in which an instance learns that an upstream is draining.
type drainMessage struct {
	sentAt    time.Duration // since the upstream began to drain
	delay     time.Duration // until the message is read
	fromStore bool          // it is an entry of the store, not a report of a peer
	known     bool          // it contains the remaining time
}

// TestLeavingTime lets an instance receive entries and reports of peers in any order and with any
// delay. The leaving time must be the earliest of those received, by no more than the tolerance,
// must never become later than that, and must never be earlier than the upstream said. What is
// passed on to a second instance must not be later either, apart from the time on the way.
func TestLeavingTime(t *testing.T) {
	const stays = 1800 * time.Millisecond
	began := time.Unix(1000, 0)
	incarnation := fleet.UpstreamIncarnation{ID: "u", StartedUnixMs: 7}
	rapid.Check(t, func(t *rapid.T) {
		d, second := New(), New()
		d.Replace(began, []Entry{{ID: "u", Upstream: fleet.Upstream{ID: "u", StartedUnixMs: 7, Zone: "a", Service: "s"}}})
		var earliest time.Time
		for range rapid.IntRange(1, 12).Draw(t, "messages") {
			m := drainMessage{
				sentAt:    time.Duration(rapid.IntRange(0, 1799).Draw(t, "sent")) * time.Millisecond,
				delay:     time.Duration(rapid.IntRange(0, 2000).Draw(t, "delay")) * time.Millisecond,
				fromStore: rapid.Bool().Draw(t, "store"), known: rapid.Bool().Draw(t, "known"),
			}
			now, remaining := began.Add(m.sentAt+m.delay), stays-m.sentAt
			if !m.known {
				remaining = 0
			}
			if m.fromStore {
				u := fleet.Upstream{ID: "u", StartedUnixMs: 7, Zone: "a", Service: "s", Draining: true, RemainingTime: remaining}
				d.Update(now, []Entry{{ID: "u", Upstream: u}})
			} else {
				d.MarkDraining(now, []Drain{{incarnation, leavingTime(now, remaining)}})
			}
			if at := leavingTime(now, remaining); !at.IsZero() && (earliest.IsZero() || at.Before(earliest)) {
				earliest = at
			}
			second.MarkDraining(now, d.DrainingSince(began.Add(-time.Second)))
			u, _ := d.Lookup("u")
			switch {
			case !u.Draining || u.RemainingTime != 0:
				t.Fatalf("the upstream is not draining, or has a time that is not counted from now: %+v", u)
			case u.LeavesAt.IsZero() != earliest.IsZero() || u.LeavesAt.After(earliest.Add(leavingTolerance)):
				t.Fatalf("the upstream leaves at %v, but %v was received", u.LeavesAt, earliest)
			case !u.LeavesAt.IsZero() && u.LeavesAt.Before(began.Add(stays)):
				t.Fatalf("the upstream leaves at %v, earlier than it said", u.LeavesAt)
			}
			if passed := second.DrainingSince(began.Add(-time.Second)); len(passed) != 1 || passed[0].LeavesAt.IsZero() != earliest.IsZero() || passed[0].LeavesAt.After(earliest.Add(2*leavingTolerance)) {
				t.Fatalf("the next instance was told %v, want %v", passed, earliest)
			}
		}
	})
}

// TestLeavingTimeOfIncarnation checks that the next incarnation of an upstream does not inherit
// the leaving time of the one before.
func TestLeavingTimeOfIncarnation(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	d.Update(now, []Entry{{ID: "u", Upstream: fleet.Upstream{ID: "u", StartedUnixMs: 7, Draining: true, RemainingTime: time.Second}}})
	d.Update(now.Add(2*time.Second), []Entry{{ID: "u", Upstream: fleet.Upstream{ID: "u", StartedUnixMs: 8}}})
	if u, _ := d.Lookup("u"); u.Draining || !u.LeavesAt.IsZero() {
		t.Errorf("the next incarnation is draining %v and leaves at %v", u.Draining, u.LeavesAt)
	}
}

// TestEarlierLeavingTimeIsReported checks when MarkDraining reports that a leaving time has become
// known or earlier, upon which the group is updated.
func TestEarlierLeavingTimeIsReported(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	for _, step := range []struct {
		remaining time.Duration
		want      bool
	}{{0, false}, {time.Second, true}, {0, false}, {2 * time.Second, false}, {995 * time.Millisecond, false}, {900 * time.Millisecond, true}} {
		if _, earlier := d.MarkDraining(now, []Drain{{fleet.UpstreamIncarnation{ID: "u"}, leavingTime(now, step.remaining)}}); earlier != step.want {
			t.Errorf("remaining %v: earlier %v, want %v", step.remaining, earlier, step.want)
		}
	}
}
