package node

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// TestCounted checks when the number of upstreams counts as settled. At the first start of the
// system, upstreams register one after the other, so that the number must not be used before it
// has been unchanged for a while. At a later start it must be used at once.
func TestCounted(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	n := &Node{startedAt: began, settings: fleet.Instance{FirstStart: true}}
	for _, step := range []struct {
		ms, count int
		want      bool
	}{
		{100, 0, false}, {1500, 9, false}, {2500, 60, false}, {3000, 88, false}, {4900, 88, false}, {5000, 88, true},
		{5100, 89, false}, {7000, 90, true},
	} {
		if got := n.upstreamCountSettled(step.count, at(step.ms)); got != step.want {
			t.Errorf("%d upstreams after %d ms: settled is %v, want the opposite", step.count, step.ms, got)
		}
	}
	n = &Node{startedAt: began}
	if !n.upstreamCountSettled(1, began) {
		t.Error("a later start waits for the number to settle")
	}
}
