package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
)

// shortestSuspension is what counts as a suspension of the machine: as long as one beat, so
// that peers and owners may have missed one.
const shortestSuspension = 100 * time.Millisecond

// noticeSuspension looks whether the machine was suspended since the last beat. All ages
// count that time; timers do not, and fire late by it.
func (n *Node) noticeSuspension() {
	total := clock.Suspended()
	n.mu.Lock()
	length := total - n.suspendedTotal
	if length >= shortestSuspension {
		n.suspendedTotal = total
	}
	n.mu.Unlock()
	if length < shortestSuspension {
		return
	}
	event.Resumed.Log(n.log, slog.Duration("suspended", length))
	n.ingress.EndTimedOut()
}
