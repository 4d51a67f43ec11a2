package node

import (
	"log/slog"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// An owner runs the tasks of a coordinator under a lease (see coordinator.go in package
// schedule). The owner's heartbeats carry the time of its monotonic clock. The coordinator
// ends the jobs whose customers have disconnected, and then returns that time in a renewal
// on each connection on which it has open offers. This proves that the coordinator was alive
// after the owner had sent the heartbeat. Offers carry a time of the owner's clock too, the
// latest one known less the time since the customer was last known to be connected.

// clockOffset is the reading of the clock in heartbeats when an instance starts. It is far
// longer than any lease, so that 0, which stands for an unknown time, is always too long ago
// to keep a lease alive.
const clockOffset = time.Hour

// clockMs returns the time of the monotonic clock that heartbeats carry.
func (n *Node) clockMs() uint64 {
	return uint64((clockOffset + clock.Since(n.startedAt)).Milliseconds())
}

// timeOfClock returns the local time at which clockMs returned ms.
func (n *Node) timeOfClock(ms uint64) time.Time {
	return n.startedAt.Add(time.Duration(ms)*time.Millisecond - clockOffset)
}

// aliveOnPeerClock converts aliveAt, when a customer was last known to be connected, to the
// clock of a peer. The peer's clock has reached peerClockMs by now, so that the result is
// never too late. It is 0 if the peer's clock is not known.
func aliveOnPeerClock(peerClockMs uint64, aliveAt time.Time) uint64 {
	ageMs := uint64(clock.Since(aliveAt).Milliseconds()) + 1
	if ageMs >= peerClockMs {
		return 0
	}
	return peerClockMs - ageMs
}

// recordPeerClock records the time that a peer has sent of its clock.
func (r *router) recordPeerClock(peer fate.Incarnation, ms uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerClocks[peer] = max(r.peerClocks[peer], ms)
}

// leaseRenewInterval is the minimum time between two renewals of a lease. Near neighbours
// send heartbeats more often than that. Others send one every 250 ms, so that a lease is
// renewed at an age of 250 ms, half of the age up to which tasks may start under it.
const leaseRenewInterval = 150 * time.Millisecond

// renewalDue reports whether there are open offers on a connection and their lease is due
// for renewal.
func (r *router) renewalDue(conn inner.Connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clock.Since(r.leasesRenewedAt[conn.ID()]) >= leaseRenewInterval && r.hasOpenOffers(conn)
}

// hasOpenOffers reports whether there are open offers on a connection. r.mu is held.
func (r *router) hasOpenOffers(conn inner.Connection) bool {
	for _, offer := range r.openOffers {
		if offer.conn != nil && offer.conn.ID() == conn.ID() {
			return true
		}
	}
	return false
}

// handlePeerClock records the time that a peer has sent of its clock. If this instance has
// open offers on the connection and their lease is due, it renews the lease with that time.
// First it ends the jobs whose customers have disconnected. It does not renew while
// decisions on jobs are still being sent: a renewal ahead of a withdrawal would vouch for a
// customer that has disconnected.
func (r *router) handlePeerClock(conn inner.Connection, from fate.Incarnation, clockMs uint64) {
	r.recordPeerClock(from, clockMs)
	if !r.renewalDue(conn) || !r.node.ingress.EndDisconnected() {
		return
	}
	r.mu.Lock()
	r.leasesRenewedAt[conn.ID()] = clock.Now()
	r.mu.Unlock()
	r.node.metrics.CountSent("renewal")
	err := conn.Send(&inner.Frame{Body: &inner.Frame_Renewal{Renewal: &inner.Renewal{ClockMs: clockMs}}})
	if err != nil {
		event.PeerUnsent.Log(r.node.log, slog.String("what", "renewal"), slog.String("error", err.Error()))
	}
}

// handleRenewal renews the lease of the coordinator at the other end of a connection.
func (r *router) handleRenewal(conn inner.Connection, from fate.Incarnation, m *inner.Renewal) {
	alive := r.node.timeOfClock(m.GetClockMs())
	for _, g := range r.node.ownedGroups() {
		g.Renew(coordinatorName(conn, from), alive)
	}
}

// renewOwnLeases renews the leases under which groups that this instance owns run tasks for
// its own customers.
func (n *Node) renewOwnLeases() {
	self := string(n.self)
	groups := slices.DeleteFunc(n.ownedGroups(), func(g *ownedGroup) bool { return !g.HasLeasedJobs(self) })
	if len(groups) == 0 {
		return
	}
	now := clock.Now()
	if !n.ingress.EndDisconnected() {
		return
	}
	for _, g := range groups {
		g.Renew(self, now)
	}
}
