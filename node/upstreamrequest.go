package node

import (
	"cmp"
	"log/slog"
	"slices"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/membership"

	"github.com/samber/lo"
)

// An instance that starts while the store is unavailable knows no upstreams and cannot own
// any. If all instances that may own a group are replaced one after the other during that
// time, their zone would be out of service until the store is available again. Therefore a
// new instance requests the upstreams from peers that have read them.

// requestUpstreams requests the upstreams of the own zone from a peer, unless they are known.
// Each call asks another peer.
func (n *Node) requestUpstreams() {
	if n.directory.Synced() {
		return
	}
	peer, found := n.nextUpstreamSource()
	if !found {
		return
	}
	n.metrics.CountSent("upstreams_request")
	request := &inner.Frame{Body: &inner.Frame_UpstreamsRequest{UpstreamsRequest: &inner.UpstreamsRequest{Zone: n.settings.Zone}}}
	_, err := n.mesh.CallAsyncConn(peer, request, func(f *inner.Frame, err error) { n.handleUpstreamsReply(peer, f, err) })
	if err != nil {
		event.PeerUnsent.Log(n.log, slog.String("what", "upstreams request"), slog.String("error", err.Error()))
	}
}

// nextUpstreamSource returns the next peer to request the upstreams from. It goes through the
// live hubs of the own zone in turn, those that own the most groups first.
func (n *Node) nextUpstreamSource() (fate.Incarnation, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := n.peers.Filter(func(p membership.Peer) bool {
		alive := p.State == membership.Alive || p.State == membership.Leaving
		return alive && p.Zone == n.settings.Zone && n.neighbours.Has(p.Instance) && !n.neighbours.Spokes[p.Instance]
	})
	if len(peers) == 0 {
		return "", false
	}
	slices.SortStableFunc(peers, func(a, b membership.Peer) int {
		return cmp.Compare(len(n.lastHeartbeat[b.Instance].GetClaims()), len(n.lastHeartbeat[a.Instance].GetClaims()))
	})
	next := n.upstreamRequests % len(peers)
	n.upstreamRequests++
	return peers[next].Incarnation, true
}

// handleUpstreamsReply adds the upstreams in the reply of a peer to the directory.
func (n *Node) handleUpstreamsReply(peer fate.Incarnation, f *inner.Frame, err error) {
	if err != nil {
		event.UpstreamsUntold.Log(n.log, slog.String("peer", string(peer)), slog.String("error", err.Error()))
		return
	}
	list := lo.Map(f.GetUpstreamsReply().GetUpstreams(), func(u *inner.Upstream, _ int) fleet.Upstream { return upstreamFromProto(u) })
	event.UpstreamsTold.Log(n.log, slog.String("peer", string(peer)), slog.Int("upstreams", len(list)))
	n.applyUpstreamChanges(n.directory.Merge(clock.Now(), list))
	n.tick() // now that the upstreams are known, this instance may be able to take groups
}

// replyWithUpstreams replies to a peer that requests the upstreams of an availability zone.
func (n *Node) replyWithUpstreams(zone string, reply func(*inner.Frame)) {
	if !n.directory.Synced() {
		reply(&inner.Frame{Body: &inner.Frame_Problem{Problem: inner.FromError(failure.NotFound.New("the upstreams are not known on this instance"))}})
		return
	}
	list := n.directory.ListForPeer(func(u fleet.Upstream) bool { return u.Zone == zone })
	reply(&inner.Frame{Body: &inner.Frame_UpstreamsReply{UpstreamsReply: &inner.UpstreamsReply{
		Upstreams: lo.Map(list, func(u fleet.Upstream, _ int) *inner.Upstream { return upstreamToProto(clock.Now(), u) }),
	}}})
}
