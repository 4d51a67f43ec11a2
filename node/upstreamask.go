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

// An instance that starts while the store does not answer knows no upstream, and can own
// none. If all that could own a group are replaced in turn meanwhile, their availability zone
// would stand still until the store is back: so each asks those that have read the list.

// requestUpstreams asks a peer for the upstreams of the own availability zone, unless they are
// known: another one each time.
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

// nextUpstreamSource returns a peer of the own availability zone that may know the upstreams: those
// that own groups first, then the other hubs, in turn.
func (n *Node) nextUpstreamSource() (fate.Incarnation, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := n.peers.Filter(func(p membership.Peer) bool {
		lives := p.State == membership.Alive || p.State == membership.Leaving
		return lives && p.Zone == n.settings.Zone && n.neighbours.Has(p.Instance) && !n.neighbours.Spokes[p.Instance]
	})
	if len(peers) == 0 {
		return "", false
	}
	slices.SortStableFunc(peers, func(a, b membership.Peer) int {
		return cmp.Compare(len(n.lastHeartbeat[b.Instance].GetClaims()), len(n.lastHeartbeat[a.Instance].GetClaims()))
	})
	asked := n.upstreamRequests % len(peers)
	n.upstreamRequests++
	return peers[asked].Incarnation, true
}

// handleUpstreamsReply takes the answer of a peer.
func (n *Node) handleUpstreamsReply(peer fate.Incarnation, f *inner.Frame, err error) {
	if err != nil {
		event.UpstreamsUntold.Log(n.log, slog.String("peer", string(peer)), slog.String("error", err.Error()))
		return
	}
	list := lo.Map(f.GetUpstreamsReply().GetUpstreams(), func(u *inner.Upstream, _ int) fleet.Upstream { return upstreamFromProto(u) })
	event.UpstreamsTold.Log(n.log, slog.String("peer", string(peer)), slog.Int("upstreams", len(list)))
	n.applyUpstreamChanges(n.directory.Merge(clock.Now(), list))
	n.tick() // groups may be taken now
}

// replyWithUpstreams answers a peer that asks for the upstreams of an availability zone.
func (n *Node) replyWithUpstreams(zone string, reply func(*inner.Frame)) {
	if !n.directory.Synced() {
		reply(&inner.Frame{Body: &inner.Frame_Problem{Problem: inner.FromError(failure.NotFound.New("the upstreams are not known here"))}})
		return
	}
	list := n.directory.ListForPeer(func(u fleet.Upstream) bool { return u.Zone == zone })
	reply(&inner.Frame{Body: &inner.Frame_UpstreamsReply{UpstreamsReply: &inner.UpstreamsReply{
		Upstreams: lo.Map(list, func(u fleet.Upstream, _ int) *inner.Upstream { return upstreamToProto(u) }),
	}}})
}
