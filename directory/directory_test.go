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

// open returns the upstreams on which something new may start.
func open(d *Directory) []string {
	return lo.FilterMap(d.Select(func(fleet.Upstream) bool { return true }), func(u fleet.Upstream, _ int) (string, bool) {
		return u.ID, !u.Closed && !u.Draining
	})
}

// TestWhatMayStart asks after each thing that is heard on which upstreams something
// new may start.
func TestWhatMayStart(t *testing.T) {
	now := time.Unix(1000, 0)
	d := New()
	for _, step := range []struct {
		what string
		do   func()
		open []string
	}{
		{"the list is read", func() { d.Replace(now, []Entry{entry("u1", "a"), entry("u2", "b"), {ID: "x", Invalid: true}}) }, []string{"u1", "u2"}},
		{"another comes", func() { d.Update(now, []Entry{entry("u3", "b")}) }, []string{"u1", "u2", "u3"}},
		{"one is overwritten", func() { d.Update(now, []Entry{{ID: "u3", Invalid: true}}) }, []string{"u1", "u2"}},
		{"all are read again", func() {
			d.Replace(now, []Entry{entry("u1", "a"), entry("u2", "b"), {ID: "u3", Invalid: true}})
		}, []string{"u1", "u2"}},
		{"it is written again", func() { d.Update(now, []Entry{entry("u3", "b")}) }, []string{"u1", "u2", "u3"}},
		{"a peer says that one drains", func() { d.MarkDraining(now, []fleet.UpstreamIncarnation{{ID: "u2"}}) }, []string{"u1", "u3"}},
		{"its entry has not changed", func() { d.Update(now, []Entry{entry("u2", "b")}) }, []string{"u1", "u3"}},
		{"a zone is evacuated", func() { d.UpdateZones([]ZoneState{{"b", true, 10}}) }, []string{"u1"}},
		{"the service is not configured", func() { d.SetServices([]string{"other"}) }, []string{}},
		{"it is again", func() { d.SetServices([]string{"s", "other"}) }, []string{"u1"}},
		{"the zone is taken back", func() { d.UpdateZones([]ZoneState{{"b", false, 11}}) }, []string{"u1", "u3"}},
		{"one is gone", func() { d.Update(now, []Entry{{ID: "u1", Deleted: true}}) }, []string{"u3"}},
	} {
		step.do()
		if got := open(d); !slices.Equal(got, step.open) {
			t.Fatalf("%s: %v, want %v", step.what, got, step.open)
		}
	}
	u3, listed := d.Lookup("u3")
	if !listed || u3.Closed {
		t.Errorf("%+v, listed %v", u3, listed)
	}
}

// TestReady: groups may be taken once the upstreams and the evacuations are known,
// whoever told the latter.
func TestReady(t *testing.T) {
	d := New()
	if d.Replace(time.Unix(1000, 0), []Entry{entry("u", "a")}); d.Ready() {
		t.Error("ready without knowing which zones are evacuated")
	}
	if d.ReplaceZones(7, nil); !d.Ready() {
		t.Error("not ready")
	}
	if d.MarkUnsynced(); d.Ready() {
		t.Error("ready though the list is not followed any more")
	}
}

// TestZonesNeverGoBack: an instance hears of the evacuations of three zones in any
// order, from the store and from peers, with changes that it misses and tells itself
// from the whole list later. It never believes an older state than it had, and after
// the last list it believes that.
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
		newest := map[string]uint64{}
		hear := func(revision int, whole bool) {
			states := lo.Values(history[revision])
			if whole {
				evacuated := lo.Filter(states, func(s ZoneState, _ int) bool { return s.Evacuated })
				d.ReplaceZones(uint64(revision), evacuated)
			} else {
				d.ReplaceZones(uint64(revision), states)
			}
			for _, s := range states {
				newest[s.Zone] = max(newest[s.Zone], s.Revision)
			}
		}
		check := func() {
			states, _ := d.Zones()
			for _, s := range states {
				if s.Revision < newest[s.Zone] {
					t.Fatalf("%+v after revision %d was heard", s, newest[s.Zone])
				}
				if s.Evacuated != history[min(s.Revision, uint64(last))][s.Zone].Evacuated {
					t.Fatalf("%+v, it was %+v", s, history[s.Revision][s.Zone])
				}
			}
		}
		for range rapid.IntRange(1, 20).Draw(t, "messages") {
			hear(rapid.IntRange(0, last).Draw(t, "revision"), rapid.Bool().Draw(t, "whole"))
			check()
		}
		hear(last, true)
		check()
		states, _ := d.Zones()
		for _, s := range states {
			if s.Evacuated != history[last][s.Zone].Evacuated {
				t.Fatalf("%+v in the end, it is %+v", s, history[last][s.Zone])
			}
		}
	})
}
