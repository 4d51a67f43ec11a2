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

// heartbeatLoop tells peers of this instance, and lets time pass for what it believes
// of them.
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

func (n *Node) tick() {
	n.detectSuspension()
	n.renewOwnLeases()
	n.mu.Lock()
	changes := n.peers.Tick(n.uptimeMs())
	n.mu.Unlock()
	n.applyPeerChanges(changes)
	n.updateNeighbours()
	n.reconcileGroups()
	n.sendHeartbeats()
}

// uptimeMs is a steady clock, in milliseconds.
func (n *Node) uptimeMs() int64 { return clock.Since(n.startedAt).Milliseconds() }

// heartbeat is what peers hear of this instance.
func (n *Node) heartbeat() *inner.Presence {
	n.mu.Lock()
	groups := n.ownedGroupsLocked()
	p := &inner.Presence{
		Leaving: n.leaving.Load(), HighestToken: n.highestToken, Share: n.settings.CPUShare,
		GroupCounts: lo.MapValues(n.groupCounts, func(count int, _ string) uint32 { return uint32(count) }),
	}
	n.mu.Unlock()
	p.ClockMs = n.clockMs()
	p.Draining = incarnationsToProto(n.directory.DrainingSince(clock.Now().Add(-recentChangePeriod)))
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

// contactPeer connects to an instance that is not heard, once at a time, and
// tells it of this one.
func (n *Node) contactPeer(instance string) {
	n.mu.Lock()
	busy := n.dialing[instance]
	n.dialing[instance] = true
	n.mu.Unlock()
	if busy {
		return
	}
	go func() {
		if n.settings.Name > instance {
			n.sleep(dialYieldDelay) // seeds, which have an address for a name, sort first
		}
		err := n.mesh.Send(fate.Incarnation(instance), n.heartbeatFor(instance)) // it is tried again with the next beat
		n.recordRefusal(instance, err)
		n.mu.Lock()
		delete(n.dialing, instance)
		n.mu.Unlock()
	}()
}

// contactSeeds looks for peers where the settings say that some were.
func (n *Node) contactSeeds() {
	for _, seed := range n.settings.SeedPeers {
		if seed != n.settings.PeerAddress {
			n.contactPeer(string(inner.PeerAtAddress(seed)))
		}
	}
}

// dialOutcome is how opening a connection to a peer ended last.
type dialOutcome int

const (
	dialPending  dialOutcome = iota // not tried yet, or under way
	dialAccepted                    // it runs, also while it is too busy to say anything
	dialFailed
)

// dial opens a connection to a peer, and notes whether it was accepted.
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

// reconnect opens another connection to a peer that is not heard any more: it may be
// the connection that has gone silent, and not the peer.
func (n *Node) reconnect(instance string) {
	n.recordRefusal(instance, n.mesh.SendOnNewConnection(instance, n.heartbeatFor(instance)))
}

// refusalValidity is how long an instance that refused a connection counts as not
// running, unless it is heard or refuses another.
const refusalValidity = time.Second

// refusedRecently reports whether nothing listens where an instance should. The lock is
// held.
func (n *Node) refusedRecently(instance string) bool {
	at, refused := n.refusedAt[instance]
	return refused && clock.Since(at) < refusalValidity
}

// recordRefusal notes that nothing listens where an instance should: it does not run.
func (n *Node) recordRefusal(instance string, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if failure.Is(err, failure.Gone) {
		n.refusedAt[instance] = clock.Now()
		return
	}
	delete(n.refusedAt, instance)
}

// HandleFrame implements inner.Handler; HandleConnectionFrame takes all frames.
func (n *Node) HandleFrame(fate.Incarnation, *inner.Frame, func(*inner.Frame)) {}

// HandleConnectionFrame implements inner.ConnectionHandler.
func (n *Node) HandleConnectionFrame(link inner.Connection, from fate.Incarnation, f *inner.Frame, reply func(*inner.Frame)) {
	switch body := f.GetBody().(type) {
	case *inner.Frame_Presence:
		n.handleHeartbeat(link, from, body.Presence)
	case *inner.Frame_Offer:
		n.router.handleOffer(link, from, body.Offer, reply)
	case *inner.Frame_OfferReturned:
		n.router.handleReturned(body.OfferReturned)
	case *inner.Frame_OfferWithdrawn:
		n.router.handleWithdrawal(link, from, body.OfferWithdrawn)
	case *inner.Frame_Renewal:
		n.router.handleRenewal(link, from, body.Renewal)
	case *inner.Frame_ConfigRequest:
		n.sendConfig(link)
	case *inner.Frame_UpstreamsRequest:
		n.replyWithUpstreams(body.UpstreamsRequest.GetZone(), reply)
	case *inner.Frame_ConfigReply:
		n.applyConfig(body.ConfigReply.GetConfig(), from.Instance())
	}
}

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

// HandleConnectionClosed implements inner.ConnectionHandler. What came on the connection is
// dropped; whether the peer is gone is found out at once.
func (n *Node) HandleConnectionClosed(link inner.Connection, from fate.Incarnation) {
	n.router.handleLinkClosed(link, from)
	if n.ctx.Err() != nil || !n.isNeighbour(from.Instance()) {
		return
	}
	go n.probe(from)
}

// probe connects to a peer whose connection broke: a refusal is proof that it
// does not run any more.
func (n *Node) probe(peer fate.Incarnation) {
	_, err := n.mesh.Connect(peer.Instance())
	if !failure.Is(err, failure.Gone) {
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

// handleHeartbeat takes the heartbeat of a peer.
func (n *Node) handleHeartbeat(link inner.Connection, from fate.Incarnation, p *inner.Presence) {
	n.mu.Lock()
	load := membership.Heartbeat{Leaving: p.GetLeaving(), Revision: p.GetConfigVersion(), Unwanted: p.GetUnwanted()}
	changes := n.peers.RecordHeartbeat(from, load, n.uptimeMs())
	before := n.lastHeartbeat[from.Instance()]
	n.lastHeartbeat[from.Instance()] = p
	n.highestToken = max(n.highestToken, p.GetHighestToken())
	for zone, count := range p.GetGroupCounts() {
		if n.groupCounts[zone] == 0 && count > 0 && count <= maxGroupsPerZone {
			n.groupCounts[zone] = int(count)
		}
	}
	n.mu.Unlock()
	leaving := n.directory.MarkDraining(clock.Now(), incarnationsFromProto(p.GetDraining()))
	n.logDrains(leaving, from.Instance())
	resized := n.directory.ApplyCapacityReports(clock.Now(), capacityReportsFromProto(p.GetRooms()))
	n.applyPeerZones(from.Instance(), p)
	n.router.handlePeerClock(link, from, p.GetClockMs())
	n.router.handleClaims(from, p)
	n.router.handleRelayedOwners(p.GetRelayed())
	n.applyPeerChanges(changes)
	if len(changes) > 0 {
		// It is answered where it spoke: a connection the other way may
		// take long to open, and it should not take itself for alone.
		n.replyWithHeartbeat(link, from.Instance())
	}
	if len(leaving) > 0 || resized {
		n.updateGroups()
	}
	n.handleConfigVersion(link, p.GetConfigVersion())
	if claimsChanged(before.GetClaims(), p.GetClaims()) {
		n.reconcileGroups()
		n.updateGroups()
	}
}

// replyWithHeartbeat tells a peer of this instance on a connection of its own.
func (n *Node) replyWithHeartbeat(link inner.Connection, peer string) {
	if err := link.Send(n.heartbeatFor(peer)); err != nil {
		event.PeerUnsent.Log(n.log, slog.String("what", "presence"), slog.String("error", err.Error()))
	}
}

// claimsChanged reports whether groups, or upstreams of them, changed hands.
func claimsChanged(before, now []*inner.Claim) bool {
	return !slices.EqualFunc(before, now, func(a, b *inner.Claim) bool {
		return a.GetGroup() == b.GetGroup() && a.GetToken() == b.GetToken() && a.GetLeaving() == b.GetLeaving() && len(a.GetReleased()) == len(b.GetReleased())
	})
}

// applyPeerChanges tells of peers that came or went.
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
		case membership.Listed: // neither side needs the other any more
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
