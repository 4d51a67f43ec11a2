package node

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/membership"

	"github.com/samber/lo"
)

// heartbeatLoop runs tick at the heartbeat interval until the instance ends.
func (n *Node) heartbeatLoop() {
	for n.ctx.Err() == nil {
		n.mu.Lock()
		joining := clock.Since(n.lastTakenAt) < joinPeriod
		n.mu.Unlock()
		if joining {
			n.sleep(joinHeartbeatInterval)
		} else {
			n.sleep(heartbeatInterval)
		}
		n.tick()
	}
}

// tick does the periodic work of the instance: it renews its own leases, updates the states
// of its peers and the groups that it owns, and sends heartbeats. It is also called outside of
// the interval when peers should learn of a change at once.
func (n *Node) tick() {
	n.detectSuspension()
	n.renewOwnLeases()
	n.applyPeerChanges(n.updatePeers())
	n.updateNeighbours()
	n.reconcileGroups()
	n.refreshUpstreams()
	n.sendHeartbeats()
}

// updatePeers returns the peers whose state changed because they have stopped sending heartbeats.
func (n *Node) updatePeers() []membership.Change {
	n.mu.Lock()
	now := n.uptimeMs()
	stalledMs := n.peers.DetectStall(now)
	changes := n.peers.Tick(now)
	n.mu.Unlock()
	if stalledMs > 0 {
		event.Stalled.Log(n.log, slog.Int64("stalled_ms", stalledMs))
		n.metrics.Add("stalls", 1)
	}
	return changes
}

// uptimeMs returns the time since the instance started, in milliseconds, on a monotonic
// clock.
func (n *Node) uptimeMs() int64 { return clock.Since(n.startedAt).Milliseconds() }

// heartbeat returns a heartbeat message with the current state of this instance.
func (n *Node) heartbeat() *inner.Presence {
	n.mu.Lock()
	groups := n.ownedGroupsLocked()
	p := &inner.Presence{
		Leaving: n.shuttingDown.Load(), HighestToken: n.highestToken, Share: n.settings.CPUShare,
		GroupCounts: lo.MapValues(n.groupCounts, func(count int, _ string) uint32 { return uint32(count) }),
	}
	n.mu.Unlock()
	p.ClockMs = n.clockMs()
	p.Draining = drainsToProto(clock.Now(), n.directory.DrainingSince(clock.Now().Add(-recentChangePeriod)))
	p.Rooms = capacityReportsToProto(n.directory.CapacityReportsSince(clock.Now().Add(-recentChangePeriod)))
	n.addZoneStates(p)
	if c := n.config.Load(); c != nil {
		p.ConfigVersion = c.Version
	}
	for _, g := range groups {
		c := claimToProto(g.Group, g.Load())
		n.mu.Lock()
		c.Leaving = g.handingOver
		c.Released = slices.Clone(g.released)
		n.mu.Unlock()
		p.Claims = append(p.Claims, c)
	}
	return p
}

// contactPeer sends a heartbeat to an instance in the background, and opens a connection to
// it if there is none. It does nothing while an earlier attempt is under way.
func (n *Node) contactPeer(instance string) {
	n.mu.Lock()
	alreadyDialing := n.dialing[instance]
	n.dialing[instance] = true
	n.mu.Unlock()
	if alreadyDialing {
		return
	}
	go func() {
		if n.settings.Name > instance {
			n.sleep(dialYieldDelay) // also for a seed, whose name starts with @ and therefore sorts first
		}
		err := n.mesh.Send(fate.Incarnation(instance), n.heartbeatFor(instance)) // the next tick tries again
		n.recordRefusal(instance, err)
		n.mu.Lock()
		delete(n.dialing, instance)
		n.mu.Unlock()
	}()
}

// contactSeeds contacts the seed peers of the settings, whose addresses may be stale.
func (n *Node) contactSeeds() {
	for _, seed := range n.settings.SeedPeers {
		if seed != n.settings.PeerAddress {
			n.contactPeer(string(inner.PeerAtAddress(seed)))
		}
	}
}

// dialOutcome is the result of the last attempt to open a connection to a peer.
type dialOutcome int

const (
	dialPending  dialOutcome = iota // no attempt yet, or the first one is under way
	dialAccepted                    // the peer runs, although it may be too busy to send heartbeats
	dialFailed
)

// dial opens a connection to a peer and records whether the peer accepted it.
func (n *Node) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	outcome := dialAccepted
	if err != nil {
		outcome = dialFailed
	}
	n.mu.Lock()
	n.dialOutcomes[address] = outcome
	n.mu.Unlock()
	return conn, err
}

// reconnect opens another connection to a peer whose heartbeats have stopped: the connection
// may have failed silently while the peer still runs.
func (n *Node) reconnect(instance string) {
	n.recordRefusal(instance, n.mesh.SendOnNewConnection(instance, n.heartbeatFor(instance)))
}

// refusalValidity is how long an instance is considered not running after it has refused a
// connection. Another refusal starts that time again. Any other result of an attempt to contact
// the instance ends the time at once.
const refusalValidity = time.Second

// refusedRecently reports whether an instance has refused a connection within
// refusalValidity, in which case it is considered not running. n.mu is held.
func (n *Node) refusedRecently(instance string) bool {
	at, found := n.refusedAt[instance]
	return found && clock.Since(at) < refusalValidity
}

// recordRefusal handles the result of sending something to an instance. If the connection was
// refused, because nothing listens at the address, it records the time. Otherwise it deletes the
// record of an earlier refusal.
func (n *Node) recordRefusal(instance string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if failure.Is(err, failure.Gone) {
		n.refusedAt[instance] = clock.Now()
		return
	}
	delete(n.refusedAt, instance)
}

// HandleFrame implements inner.Handler. It is never called, since HandleConnectionFrame
// handles all frames.
func (n *Node) HandleFrame(fate.Incarnation, *inner.Frame, func(*inner.Frame)) {}

// HandleConnectionFrame implements inner.ConnectionHandler.
func (n *Node) HandleConnectionFrame(conn inner.Connection, from fate.Incarnation, f *inner.Frame, reply func(*inner.Frame)) {
	switch body := f.GetBody().(type) {
	case *inner.Frame_Presence:
		n.handleHeartbeat(conn, from, body.Presence)
	case *inner.Frame_Offer:
		n.router.handleOffer(conn, from, body.Offer, reply)
	case *inner.Frame_OfferReturned:
		n.router.handleReturned(body.OfferReturned)
	case *inner.Frame_OfferProgress:
		n.router.handleProgress(body.OfferProgress)
	case *inner.Frame_OfferWithdrawn:
		n.router.handleWithdrawal(conn, from, body.OfferWithdrawn)
	case *inner.Frame_Renewal:
		n.router.handleRenewal(conn, from, body.Renewal)
	case *inner.Frame_CancelJob:
		n.handleCancelJob(body.CancelJob, reply)
	case *inner.Frame_ConfigRequest:
		n.sendConfig(conn)
	case *inner.Frame_UpstreamsRequest:
		n.replyWithUpstreams(body.UpstreamsRequest, reply)
	case *inner.Frame_ConfigReply:
		n.applyConfig(body.ConfigReply.GetConfig(), from.Instance())
	}
}

// sendConfig sends a peer the configuration in force, if there is one.
func (n *Node) sendConfig(to inner.Connection) {
	config := n.config.Load()
	if config == nil {
		return
	}
	n.metrics.CountSent("config_reply")
	f := &inner.Frame{Body: &inner.Frame_ConfigReply{ConfigReply: &inner.ConfigReply{Config: config.Raw}}}
	if err := to.Send(f); err != nil {
		event.PeerUnsent.Log(n.log, slog.String("what", "config"), slog.String("error", err.Error()))
	}
}

// HandleConnectionClosed implements inner.ConnectionHandler. It withdraws the offers that
// arrived on the connection, and checks at once whether the peer still runs, if it is a
// neighbour. It does nothing if this instance itself ends and closes its connections: the peers
// have not left, and the next owner may adopt the runs.
func (n *Node) HandleConnectionClosed(conn inner.Connection, from fate.Incarnation) {
	if n.ctx.Err() != nil {
		return
	}
	n.router.handleConnectionClosed(conn, from)
	if !n.isNeighbour(from.Instance()) {
		return
	}
	go n.probe(from)
}

// probeOnce calls probe in the background, unless a connection to the peer is being opened already.
func (n *Node) probeOnce(peer fate.Incarnation) {
	n.mu.Lock()
	alreadyDialing := n.dialing[peer.Instance()]
	n.dialing[peer.Instance()] = true
	n.mu.Unlock()
	if alreadyDialing {
		return
	}
	go func() {
		n.probe(peer)
		n.mu.Lock()
		delete(n.dialing, peer.Instance())
		n.mu.Unlock()
	}()
}

// probe connects to a peer after a connection to it broke. If the peer refuses, it does not run
// any more, and probe marks it as dead without waiting until its heartbeats are missed.
func (n *Node) probe(peer fate.Incarnation) {
	if !failure.Is(n.mesh.Probe(peer.Instance()), failure.Gone) {
		return
	}
	n.mu.Lock()
	changes := n.peers.MarkEnded(peer)
	n.mu.Unlock()
	n.applyPeerChanges(changes)
	if len(changes) > 0 {
		n.tick()
	}
}

// handleHeartbeat applies the heartbeat of a peer: its state, its claims on groups, and what
// it reports of upstreams, zones, other owners and the configuration.
func (n *Node) handleHeartbeat(conn inner.Connection, from fate.Incarnation, p *inner.Presence) {
	n.mu.Lock()
	heartbeat := membership.Heartbeat{Leaving: p.GetLeaving(), Revision: p.GetConfigVersion(), Unwanted: p.GetUnwanted()}
	changes := n.peers.RecordHeartbeat(from, heartbeat, n.uptimeMs())
	previous := n.lastHeartbeat[from.Instance()]
	n.lastHeartbeat[from.Instance()] = p
	n.highestToken = max(n.highestToken, p.GetHighestToken())
	for zone, count := range p.GetGroupCounts() {
		if n.groupCounts[zone] == 0 && count > 0 && count <= maxGroupsPerZone {
			n.groupCounts[zone] = int(count)
		}
	}
	n.mu.Unlock()
	draining, leavesEarlier := n.directory.MarkDraining(clock.Now(), drainsFromProto(clock.Now(), p.GetDraining()))
	n.logDrains(draining, from.Instance())
	resized := n.directory.ApplyCapacityReports(clock.Now(), capacityReportsFromProto(p.GetRooms()))
	n.speeds.record(clock.Now(), speedsFromProto(p.GetSpeeds()))
	n.applyPeerZones(from.Instance(), p)
	n.router.handlePeerClock(conn, from, p.GetClockMs())
	n.router.handleClaims(from, p)
	n.router.handleRelayedOwners(p.GetRelayed())
	n.applyPeerChanges(changes)
	if len(changes) > 0 {
		// The peer could consider itself isolated until it receives a heartbeat. The
		// reply uses the open connection, because opening one to the peer may take long.
		n.replyWithHeartbeat(conn, from.Instance())
	}
	if len(draining) > 0 || leavesEarlier || resized {
		n.updateGroups()
	}
	n.handleConfigVersion(conn, p.GetConfigVersion())
	if claimsChanged(previous.GetClaims(), p.GetClaims()) {
		n.reconcileGroups()
		n.updateGroups()
	}
}

// replyWithHeartbeat sends a heartbeat on the connection on which one was received.
func (n *Node) replyWithHeartbeat(conn inner.Connection, peer string) {
	if err := conn.Send(n.heartbeatFor(peer)); err != nil {
		event.PeerUnsent.Log(n.log, slog.String("what", "presence"), slog.String("error", err.Error()))
	}
}

// claimsChanged reports whether the claimed groups, their tokens or the upstreams released
// in a handover differ between two heartbeats of a peer.
func claimsChanged(previous, current []*inner.Claim) bool {
	return !slices.EqualFunc(previous, current, func(a, b *inner.Claim) bool {
		return a.GetGroup() == b.GetGroup() && a.GetToken() == b.GetToken() && a.GetLeaving() == b.GetLeaving() && len(a.GetReleased()) == len(b.GetReleased())
	})
}

// applyPeerChanges logs changed states of peers. It closes the connections to peers that are
// dead or no longer needed, and opens another connection to suspected ones.
func (n *Node) applyPeerChanges(changes []membership.Change) {
	for _, c := range changes {
		attrs := []slog.Attr{
			slog.String("peer", string(c.Peer.Incarnation)), slog.String("state", string(c.Peer.State)),
			slog.String("before", string(c.Previous)), slog.String("zone", c.Peer.Zone),
		}
		switch c.Peer.State {
		case membership.Dead:
			event.PeerLost.Log(n.log, attrs...)
			n.router.forgetPeer(c.Peer.Incarnation)
			n.mesh.CloseConnections(c.Peer.Incarnation)
		case membership.Listed: // neither side needs heartbeats of the other any more
			n.mesh.CloseConnections(c.Peer.Incarnation)
		case membership.Suspect:
			go n.reconnect(c.Peer.Instance)
		case membership.Leaving:
			event.PeerLeaving.Log(n.log, attrs...)
		case membership.Alive:
			event.PeerAlive.Log(n.log, attrs...)
		}
	}
}
