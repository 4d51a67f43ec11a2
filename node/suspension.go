package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
)

// minSuspension is the shortest suspension of the machine that is acted on. It is as long as
// the heartbeat interval, so that peers may have missed a heartbeat.
const minSuspension = 100 * time.Millisecond

// detectSuspension checks whether the machine was suspended since the last tick, and if so,
// ends the jobs whose customers have stopped waiting. The timers of those jobs do not include
// suspended time, as package clock does, and fire late by it.
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
