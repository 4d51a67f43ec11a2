package lab

import (
	"testing"
	"time"
)

// TestLeavingUpstreams checks that the notice of upstreams that leave earns something: without
// the rule that moves the runs which cannot end in time, the worth is lower.
func TestLeavingUpstreams(t *testing.T) {
	s := Setup{Fault: LeavingUpstreams, FaultShare: 0.4, Load: 0.6, Notice: 400 * time.Millisecond, Zones: 2}
	rows := Compare(s, 1, 8, variants(t, "MoveLeaving"))
	if rows[1].Gain >= 0 {
		t.Errorf("worth %.4f, without the rule %.4f; want less without", rows[0].Metrics.Worth, rows[1].Metrics.Worth)
	}
}
