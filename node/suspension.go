package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
)

// minSuspension is what counts as a suspension of the machine: as long as one beat, so
// that peers and owners may have missed one.
const minSuspension = 100 * time.Millisecond

// detectSuspension looks whether the machine was suspended since the last beat. All ages
// count that time; timers do not, and fire late by it.
func (n *Node) detectSuspension() {
	total := clock.Suspended()
	n.mu.Lock()
	length := total - n.suspendedTotal
	if length >= minSuspension {
		n.suspendedTotal = total
	}
	n.mu.Unlock()
	if length < minSuspension {
		return
	}
	event.Resumed.Log(n.log, slog.Duration("suspended", length))
	n.ingress.EndTimedOut()
}
