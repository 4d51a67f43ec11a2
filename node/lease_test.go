package node

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
)

// TestLongJobsKeepTheirLease: jobs that run for longer than owners work for a coordinator
// without hearing that it is alive are completed, whether their owner is an instance of
// the coordinator's zone or of another, or the coordinator itself.
func TestLongJobsKeepTheirLease(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 1, "a-1", "a-2", "b-1")
	for _, name := range []string{"a-1", "a-2", "b-1"} {
		cluster.mustComplete(name, 2, 1500)
	}
	alone := newTestCluster(t, []string{"a"}, 1, "a-1")
	alone.mustComplete("a-1", 1, 1500)
}

// TestAliveAt: a time of a peer's clock is never later than the customer was there.
func TestAliveAt(t *testing.T) {
	heard := uint64(clockOffset.Milliseconds()) + 5000
	if at := aliveOnPeerClock(heard, clock.Now()); at >= heard || at < heard-1000 {
		t.Errorf("there now, heard at %d: %d", heard, at)
	}
	if at := aliveOnPeerClock(heard, clock.Now().Add(-2*time.Second)); at >= heard-2000 {
		t.Errorf("there 2 s ago, heard at %d: %d", heard, at)
	}
	if at := aliveOnPeerClock(0, clock.Now()); at != 0 {
		t.Errorf("a clock that was never heard: %d", at)
	}
}

// TestClock: the clock that peers are told gives back the time at which it was read, and a
// time that is not known is long ago, however young the instance is.
func TestClock(t *testing.T) {
	n := &Node{startedAt: clock.Now()}
	before := clock.Now()
	read := n.timeOfClock(n.clockMs())
	if read.After(clock.Now()) || read.Before(before.Add(-time.Millisecond)) {
		t.Errorf("read %v after %v", read.Sub(before), clock.Since(before))
	}
	if ago := clock.Since(n.timeOfClock(0)); ago < time.Minute {
		t.Errorf("a time that is not known is %v ago", ago)
	}
}
