package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
)

// minSuspension is the shortest suspension of the machine that is acted on. It is the heartbeat
// interval: after a shorter suspension, peers have missed no heartbeat.
const minSuspension = 100 * time.Millisecond

// detectSuspension checks whether the machine was suspended since the last tick, and if so,
// ends the jobs whose customers have stopped waiting. Unlike package clock, the timers of jobs do
// not count suspended time, so that they fire late by the length of the suspension.
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
