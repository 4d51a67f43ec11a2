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
// schedule), which is renewed in these steps:
//
//  1. The owner sends a heartbeat that contains the time of its monotonic clock.
//  2. The coordinator receives the heartbeat and ends the jobs whose customers have
//     disconnected.
//  3. If it still has open offers on the connection, the coordinator sends a renewal on it that
//     repeats the time from the heartbeat.
//
// However late the renewal arrives, it proves that the coordinator was alive after the owner had
// sent the heartbeat. An offer contains a time of the owner's clock too: the latest that the
// coordinator has received, less the time since the customer was last known to be connected.

// clockOffset is what clockMs returns when the instance starts. It is far longer than any lease.
// A time of 0 stands for an unknown time, and is therefore always too long ago to keep a lease
// alive.
const clockOffset = time.Hour

// clockMs returns the time of the monotonic clock of this instance, as its heartbeats contain it.
func (n *Node) clockMs() uint64 {
	return uint64((clockOffset + clock.Since(n.startedAt)).Milliseconds())
}

// timeOfClock returns the local time at which clockMs returned ms.
func (n *Node) timeOfClock(ms uint64) time.Time {
	return n.startedAt.Add(time.Duration(ms)*time.Millisecond - clockOffset)
}

// aliveOnPeerClock converts aliveAt, the time at which a customer was last known to be connected,
// to the clock of a peer. PeerClockMs is the latest time that the peer has sent. Its clock shows a
// later time by now, so that the result may be too early but never too late. The result is 0 if
// the peer has not sent a time yet.
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

// leaseRenewInterval is the minimum time between two renewals of a lease. It is longer than the
// 100 ms between the heartbeats of near neighbours, not each of which needs a renewal. It is
// shorter than the 250 ms between the heartbeats of other peers, each of which gets one: a lease
// is then renewed at an age of 250 ms, half of the age up to which tasks may start under it.
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

// handlePeerClock records the time that a peer has sent of its clock. If this instance has open
// offers on the connection and their lease is due for renewal, it ends the jobs whose customers
// have disconnected, and then sends the time back to renew the lease. It sends no renewal while
// offers or withdrawals are still being sent: a renewal that overtakes a withdrawal would tell
// the owner that the customer is still connected.
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
