package node

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/directory"
	"github.com/sedgehatch/sedgehatch/fleet"
)

// TestLeavingTimesPass checks that instances pass on when an upstream leaves, counted on the clock
// of each: a time that has passed stays known, and is not taken for an unknown one.
func TestLeavingTimesPass(t *testing.T) {
	sent, received := time.Unix(1000, 0), time.Unix(70_000, 0)
	for _, c := range []struct{ remaining, want time.Duration }{
		{1800 * time.Millisecond, 1800 * time.Millisecond},
		{1500 * time.Microsecond, time.Millisecond},
		{-time.Second, time.Millisecond},
	} {
		incarnation := fleet.UpstreamIncarnation{ID: "u", StartedUnixMs: 7}
		passed := drainsFromProto(received, drainsToProto(sent, []directory.Drain{{Incarnation: incarnation, LeavesAt: sent.Add(c.remaining)}, {Incarnation: incarnation}}))
		if got := passed[0].LeavesAt.Sub(received); got != c.want || passed[0].Incarnation != incarnation {
			t.Errorf("remaining %v became %v, want %v", c.remaining, got, c.want)
		}
		if !passed[1].LeavesAt.IsZero() {
			t.Errorf("an unknown time became %v", passed[1].LeavesAt)
		}
		listed := upstreamFromProto(upstreamToProto(sent, fleet.Upstream{ID: "u", Draining: true, LeavesAt: sent.Add(c.remaining)}))
		if listed.RemainingTime != c.want {
			t.Errorf("in a list, remaining %v became %v, want %v", c.remaining, listed.RemainingTime, c.want)
		}
	}
}
