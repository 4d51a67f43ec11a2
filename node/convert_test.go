package node

import (
	"math"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/directory"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/schedule"
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

// TestLargestValuesPass guards against values that do not fit into the 32 bits of a message field and
// arrive as small ones, such as a limit of 0, which means none.
func TestLargestValuesPass(t *testing.T) {
	sent := schedule.Load{Free: 1 << 40, Waits: schedule.Waits{Known: 1, TaskDuration: 60 * 24 * time.Hour}}
	sent.Waits.Until[0] = 60 * 24 * time.Hour
	const longest = math.MaxUint32 * time.Millisecond
	if l := loadFromProto(loadToProto("a/0", 1, sent)); l.Free != math.MaxUint32 || l.Waits.Until[0] != longest || l.Waits.TaskDuration != longest {
		t.Errorf("the load arrives as %+v", l)
	}
	o := schedule.Offer{Estimate: 60 * 24 * time.Hour, Timeout: 60 * 24 * time.Hour, MaxAttempts: 1 << 32, MaxPerUpstream: 1 << 32}
	if got := offerFromProto(offerToProto("a/0", o, 0)); got.Estimate != longest || got.Timeout != longest || got.MaxAttempts != math.MaxUint32 || got.MaxPerUpstream != math.MaxUint32 {
		t.Errorf("the offer arrives as %+v", got)
	}
}
