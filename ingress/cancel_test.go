package ingress

import (
	"fmt"
	"testing"
	"time"
)

// noOthers implements Canceller for an instance that is the only one.
type noOthers struct{}

func (noOthers) CancelElsewhere(string) CancelResult { return CancelNoJob }

func (noOthers) NotifyCancelled(string) {}

// TestCancellationMemory checks for how long a cancellation is remembered, and that the number of
// them is limited.
func TestCancellationMemory(t *testing.T) {
	var c cancelledJobs
	now := time.Unix(1000, 0)
	c.add("a", now)
	if !c.has("a", now) || c.has("b", now) {
		t.Error("a cancellation is not remembered, or another one is")
	}
	c.add("b", now.Add(cancellationMemory-time.Second))
	if at := now.Add(2*cancellationMemory - time.Second); !c.has("a", at) || !c.has("b", at) {
		t.Error("a cancellation is forgotten before cancellationMemory has passed")
	}
	if at := now.Add(3 * cancellationMemory); c.has("a", at) || c.has("b", at) {
		t.Error("a cancellation is remembered for too long")
	}
	at := now.Add(4 * cancellationMemory)
	for i := range 3 * maxCancellations {
		c.add(fmt.Sprint(i), at)
	}
	if n := len(c.recent) + len(c.former); n > maxCancellations {
		t.Errorf("%d cancellations are remembered, want at most %d", n, maxCancellations)
	}
	if last := fmt.Sprint(3*maxCancellations - 1); !c.has(last, at) {
		t.Error("the last of many cancellations is forgotten")
	}
}
