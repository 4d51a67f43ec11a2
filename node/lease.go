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

// Owners work for coordinators under leases (schedule, coordinator.go). An owner tells its
// steady clock with each heartbeat. A coordinator looks after its customers and then
// repeats the time on the connections that it has offers on. Offers carry the time as
// well, set back by how long ago their customer was there.

// clockOffset is what the steady clock shows at the start of an instance, so that 0, a
// time that is not known, is long ago at any later time. It is far above every lease.
const clockOffset = time.Hour

// clockMs is the steady clock that peers are told.
func (n *Node) clockMs() uint64 {
	return uint64((clockOffset + clock.Since(n.startedAt)).Milliseconds())
}

// timeOfClock is when the own steady clock showed a time.
func (n *Node) timeOfClock(ms uint64) time.Time {
	return n.startedAt.Add(time.Duration(ms)*time.Millisecond - clockOffset)
}

// aliveOnPeerClock returns the time of a peer's clock at which a customer was certainly there: the
// peer's clock showed heardMs or more when it was heard, and the customer was there at a
// time before now. It is 0 where the clock is not known.
func aliveOnPeerClock(heardMs uint64, there time.Time) uint64 {
	ago := uint64(clock.Since(there).Milliseconds()) + 1
	if ago >= heardMs {
		return 0
	}
	return heardMs - ago
}

// recordPeerClock takes the time that a peer told.
func (r *router) recordPeerClock(peer fate.Incarnation, ms uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peerClocks[peer] = max(r.peerClocks[peer], ms)
}

// leaseRenewInterval is how often a coordinator renews its leases at most: near neighbours speak
// twice as often. With heartbeats each 250 ms between others a lease is .25 s old when it
// is renewed, half of what it lasts for starts.
const leaseRenewInterval = 150 * time.Millisecond

// renewalDue reports whether offers on a connection are open whose lease is to be renewed
// now.
func (r *router) renewalDue(link inner.Connection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return clock.Since(r.leasesRenewedAt[link.ID()]) >= leaseRenewInterval && r.hasOpenOffers(link)
}

// hasOpenOffers reports whether an offer on a connection is open. The lock is held.
func (r *router) hasOpenOffers(link inner.Connection) bool {
	for _, sent := range r.openOffers {
		if sent.link != nil && sent.link.ID() == link.ID() {
			return true
		}
	}
	return false
}

// handlePeerClock takes the time that a peer told on a connection. If this instance has offers
// there, it renews the lease of those, once it has looked after the customers of all.
func (r *router) handlePeerClock(link inner.Connection, from fate.Incarnation, clockMs uint64) {
	r.recordPeerClock(from, clockMs)
	if !r.renewalDue(link) || !r.node.ingress.EndDisconnected() {
		return
	}
	r.mu.Lock()
	r.leasesRenewedAt[link.ID()] = clock.Now()
	r.mu.Unlock()
	r.node.metrics.CountSent("renewal")
	err := link.Send(&inner.Frame{Body: &inner.Frame_Renewal{Renewal: &inner.Renewal{ClockMs: clockMs}}})
	if err != nil {
		event.PeerUnsent.Log(r.node.log, slog.String("what", "renewal"), slog.String("error", err.Error()))
	}
}

// handleRenewal renews the lease of the coordinator behind a connection.
func (r *router) handleRenewal(link inner.Connection, from fate.Incarnation, m *inner.Renewal) {
	alive := r.node.timeOfClock(m.GetClockMs())
	for _, g := range r.node.ownedGroups() {
		g.Renew(coordinatorName(link, from), alive)
	}
}

// renewOwnLeases renews the leases of this instance with the groups that it owns itself.
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
