package directory

import (
	"os"
	"slices"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fixedseed"
	"github.com/sedgehatch/sedgehatch/fleet"

	"github.com/samber/lo"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 20261203)) }

func entry(id, zone string) Entry {
	return Entry{ID: id, Upstream: fleet.Upstream{ID: id, Zone: zone, Service: "s"}}
}

// startable returns the IDs of the upstreams on which new tasks may start.
func startable(d *Directory) []string {
	return lo.FilterMap(d.Select(func(fleet.Upstream) bool { return true }), func(u fleet.Upstream, _ int) (string, bool) {
		return u.ID, !u.Closed && !u.Draining
	})
}

// TestWhatMayStart checks after each change on which upstreams new tasks may start.
func TestWhatMayStart(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	for _, step := range []struct {
		name      string
		do        func()
		startable []string
	}{
		{"the list is read", func() { d.Replace(now, []Entry{entry("u1", "a"), entry("u2", "b"), {ID: "x", Invalid: true}}) }, []string{"u1", "u2"}},
		{"another upstream is added", func() { d.Update(now, []Entry{entry("u3", "b")}) }, []string{"u1", "u2", "u3"}},
		{"an entry is overwritten by an invalid one", func() { d.Update(now, []Entry{{ID: "u3", Invalid: true}}) }, []string{"u1", "u2"}},
		{"the list is read again", func() {
			d.Replace(now, []Entry{entry("u1", "a"), entry("u2", "b"), {ID: "u3", Invalid: true}})
		}, []string{"u1", "u2"}},
		{"the invalid entry is replaced by a valid one", func() { d.Update(now, []Entry{entry("u3", "b")}) }, []string{"u1", "u2", "u3"}},
		{"a peer reports an upstream as draining", func() { d.MarkDraining(now, []Drain{{Incarnation: fleet.UpstreamIncarnation{ID: "u2"}}}) }, []string{"u1", "u3"}},
		{"the list still shows it as not draining", func() { d.Update(now, []Entry{entry("u2", "b")}) }, []string{"u1", "u3"}},
		{"a zone is evacuated", func() { d.UpdateZones([]ZoneState{{"b", true, 10}}) }, []string{"u1"}},
		{"the service is not configured", func() { d.SetServices([]string{"other"}) }, []string{}},
		{"the service is configured again", func() { d.SetServices([]string{"s", "other"}) }, []string{"u1"}},
		{"the evacuation ends", func() { d.UpdateZones([]ZoneState{{"b", false, 11}}) }, []string{"u1", "u3"}},
		{"an entry is removed", func() { d.Update(now, []Entry{{ID: "u1", Deleted: true}}) }, []string{"u3"}},
	} {
		step.do()
		if got := startable(d); !slices.Equal(got, step.startable) {
			t.Fatalf("%s: new tasks may start on %v, want %v", step.name, got, step.startable)
		}
	}
	u3, listed := d.Lookup("u3")
	if !listed || u3.Closed {
		t.Errorf("u3 is closed or not in the directory: %+v, in the directory %v", u3, listed)
	}
}

// TestReady checks that a directory is ready once both the upstreams and the evacuated zones
// are known, and no longer ready after the list of upstreams has ceased to be watched.
func TestReady(t *testing.T) {
	d := New()
	if d.Replace(time.Unix(1000, 0), []Entry{entry("u", "a")}); d.Ready() {
		t.Error("ready without knowing which zones are evacuated")
	}
	if d.ReplaceZones(7, nil); !d.Ready() {
		t.Error("not ready although the upstreams and the evacuated zones are known")
	}
	if d.MarkUnsynced(); d.Ready() {
		t.Error("ready although the list of upstreams is no longer watched")
	}
}

// TestZonesNeverGoBack lets an instance receive complete lists of the evacuated zones, of
// several revisions, in any order and with gaps. Some lists, like those of the store, contain
// only the zones that are evacuated; others, like those of peers, also contain the zones that
// were. The instance must never return to an older state of a zone, and after it has received
// the newest list it must have the states of that list.
func TestZonesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		history := []map[string]ZoneState{{}} // by revision
		for revision := uint64(1); revision <= 12; revision++ {
			state := map[string]ZoneState{}
			for zone, s := range history[revision-1] {
				state[zone] = s
			}
			zone := rapid.SampledFrom(names).Draw(t, "zone")
			state[zone] = ZoneState{zone, !state[zone].Evacuated, revision}
			history = append(history, state)
		}
		last := len(history) - 1
		d := New()
		newestRevision := map[string]uint64{}
		receive := func(revision int, evacuatedOnly bool) {
			states := lo.Values(history[revision])
			if evacuatedOnly {
				evacuated := lo.Filter(states, func(s ZoneState, _ int) bool { return s.Evacuated })
				d.ReplaceZones(uint64(revision), evacuated)
			} else {
				d.ReplaceZones(uint64(revision), states)
			}
			for _, s := range states {
				newestRevision[s.Zone] = max(newestRevision[s.Zone], s.Revision)
			}
		}
		check := func() {
			states, _ := d.Zones()
			for _, s := range states {
				if s.Revision < newestRevision[s.Zone] {
					t.Fatalf("a zone has an outdated state: %+v, although revision %d of it was received", s, newestRevision[s.Zone])
				}
				if s.Evacuated != history[min(s.Revision, uint64(last))][s.Zone].Evacuated {
					t.Fatalf("a zone has a state that it never had at this revision: %+v, want %+v", s, history[s.Revision][s.Zone])
				}
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			receive(rapid.IntRange(0, last).Draw(t, "revision"), rapid.Bool().Draw(t, "whole"))
			check()
		}
		receive(last, true)
		check()
		states, _ := d.Zones()
		for _, s := range states {
			if s.Evacuated != history[last][s.Zone].Evacuated {
				t.Fatalf("after the newest list a zone has the state %+v, want %+v", s, history[last][s.Zone])
			}
		}
	})
}
