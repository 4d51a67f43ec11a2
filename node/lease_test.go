package node

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
)

// TestLongJobsKeepTheirLease runs jobs for longer than a lease lasts without renewal. Their leases
// must be renewed, so that the jobs are completed, whether the owner is another instance in the
// coordinator's zone, an instance in another zone or the coordinator itself.
func TestLongJobsKeepTheirLease(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 1, "a-1", "a-2", "b-1")
	for _, name := range []string{"a-1", "a-2", "b-1"} {
		cluster.mustComplete(name, 2, 1500)
	}
	single := newTestCluster(t, []string{"a"}, 1, "a-1")
	single.mustComplete("a-1", 1, 1500)
}

// TestAliveAt checks that aliveOnPeerClock never returns a time later than that at which the
// customer was last known to be connected.
func TestAliveAt(t *testing.T) {
	peerClockMs := uint64(clockOffset.Milliseconds()) + 5000
	if at := aliveOnPeerClock(peerClockMs, clock.Now()); at >= peerClockMs || at < peerClockMs-1000 {
		t.Errorf("the customer is connected now and the peer's clock shows %d: aliveOnPeerClock returned %d", peerClockMs, at)
	}
	if at := aliveOnPeerClock(peerClockMs, clock.Now().Add(-2*time.Second)); at >= peerClockMs-2000 {
		t.Errorf("the customer was connected 2 s ago and the peer's clock shows %d: aliveOnPeerClock returned %d", peerClockMs, at)
	}
	if at := aliveOnPeerClock(0, clock.Now()); at != 0 {
		t.Errorf("the peer's clock is unknown: aliveOnPeerClock returned %d, want 0", at)
	}
}

// TestClock checks that timeOfClock is the inverse of clockMs, and that it converts 0, which
// stands for an unknown time, to a time long ago even on a new instance.
func TestClock(t *testing.T) {
	n := &Node{startedAt: clock.Now()}
	before := clock.Now()
	read := n.timeOfClock(n.clockMs())
	if read.After(clock.Now()) || read.Before(before.Add(-time.Millisecond)) {
		t.Errorf("the converted time is %v after the start of the test, want from 0 to %v", read.Sub(before), clock.Since(before))
	}
	if ago := clock.Since(n.timeOfClock(0)); ago < time.Minute {
		t.Errorf("an unknown time is converted to a time only %v ago, want at least one minute", ago)
	}
}
