package entry

import (
	"log/slog"
	"testing"

	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/metrics"
)

// TestStallIsNotSilence checks that an instance whose process was not scheduled for a while counts
// the stall, and does not suspect its peers for it.
func TestStallIsNotSilence(t *testing.T) {
	n := &Node{table: membership.NewTable(membership.DefaultConfig), metrics: metrics.NewSet(), log: slog.New(slog.DiscardHandler)}
	n.table.RecordHeartbeat("a.1", membership.Heartbeat{}, 1000)
	n.updatePeers(1000)
	n.updatePeers(1000 + membership.DefaultConfig.DeadMs - 1)
	if state := n.table.State("a"); state != membership.Alive {
		t.Errorf("the peer is %s after a stall of this instance", state)
	}
	if stalls := metrics.Values(n.metrics.Counts)["stalls"]; stalls != 1 {
		t.Errorf("%d stalls were counted, want 1", stalls)
	}
}
