package node

import (
	"testing"

	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/metrics"
)

// TestStallIsNotSilence lets the ticks of an instance and the heartbeats that it receives stop for
// as long as its process was not scheduled. It must count the stall, and not consider its peer lost.
func TestStallIsNotSilence(t *testing.T) {
	const stallMs = 10_000
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1", "a-2")
	n, peer := cluster.nodes["a-1"], cluster.nodes["a-2"].self
	n.mu.Lock()
	before := n.uptimeMs() - stallMs
	n.peers.RecordHeartbeat(peer, membership.Heartbeat{}, before)
	n.peers.Tick(before)
	n.mu.Unlock()
	for _, c := range n.updatePeers() {
		if c.Peer.State == membership.Dead {
			t.Errorf("%s counts as %s after a stall of this instance", c.Peer.Instance, c.Peer.State)
		}
	}
	if stalls := metrics.Values(n.metrics.Counts)["stalls"]; stalls == 0 {
		t.Error("the stall was not counted")
	}
}
