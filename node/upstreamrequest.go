package node

import (
	"cmp"
	"log/slog"
	"math"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/membership"

	"github.com/samber/lo"
)

// An instance that cannot read the upstreams from the store requests them from peers that can.
// There are two cases:
//   - It has started while the store was unavailable, and knows no upstreams. Without them it
//     could own no groups. If all instances that may own a group were replaced one after the other
//     during that time, their zone would be out of service.
//   - It owns groups, and its list of upstreams has become old. Heartbeats report that an upstream
//     drains or has changed its capacity only for some time after the change. A peer that was lost
//     or out of reach at that time, or that has started since, does not report it.

// requestUnknownUpstreams requests the upstreams of the own zone from a peer, unless they are
// known. Each call asks another peer.
func (n *Node) requestUnknownUpstreams() {
	if !n.directory.Synced() {
		n.requestUpstreams(&inner.UpstreamsRequest{Zone: n.settings.Zone}, 1)
	}
}

// recordUpstreamRead records that the upstreams have just been read from the store.
func (n *Node) recordUpstreamRead() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.upstreamsReadAt = clock.Now()
}

// upstreamListAge returns how long ago the upstreams were last read from the store.
func (n *Node) upstreamListAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.upstreamListAgeLocked()
}

// upstreamListAgeLocked is upstreamListAge with n.mu held.
func (n *Node) upstreamListAgeLocked() time.Duration {
	if n.upstreamsReadAt.IsZero() {
		return math.MaxInt64
	}
	return clock.Since(n.upstreamsReadAt)
}

// maxRefreshAttempts is the number of peers that refreshUpstreams asks in a row. Those that cannot
// read the store either reply at once.
const maxRefreshAttempts = 4

// refreshUpstreams requests the upstreams of the owned groups from peers that have read them more
// recently than this instance, if its own list is old.
func (n *Node) refreshUpstreams() {
	n.mu.Lock()
	age := n.upstreamListAgeLocked()
	groups := lo.Keys(n.groups)
	due := len(groups) > 0 && age > maxUpstreamListAge && clock.Since(n.lastUpstreamRequest) >= upstreamRequestInterval
	if due {
		n.lastUpstreamRequest = clock.Now()
	}
	n.mu.Unlock()
	if !due {
		return
	}
	slices.Sort(groups)
	for zone, names := range lo.GroupBy(groups, zoneOfGroup) {
		n.requestUpstreams(&inner.UpstreamsRequest{Zone: zone, Groups: names, AgeMs: saturated32(age.Milliseconds())}, maxRefreshAttempts)
	}
}

// requestUpstreams sends a request to one peer after the other, until one provides upstreams or
// the number of attempts is used up.
func (n *Node) requestUpstreams(request *inner.UpstreamsRequest, attempts int) {
	peer, found := n.nextUpstreamSource()
	if !found {
		return
	}
	n.metrics.CountSent("upstreams_request")
	frame := &inner.Frame{Body: &inner.Frame_UpstreamsRequest{UpstreamsRequest: request}}
	_, err := n.mesh.CallAsyncConn(peer, frame, func(f *inner.Frame, err error) {
		if failure.Is(err, failure.NotFound) && attempts > 1 {
			n.requestUpstreams(request, attempts-1)
			return
		}
		n.handleUpstreamsReply(peer, f, err)
	})
	if err != nil {
		event.PeerUnsent.Log(n.log, slog.String("what", "upstreams request"), slog.String("error", err.Error()))
	}
}

// nextUpstreamSource returns the next peer to request upstreams from. It goes through the live
// neighbours in turn: first the hubs of the own zone, then the hubs of other zones, and within
// each those that own the most groups first. Spokes read no upstreams.
func (n *Node) nextUpstreamSource() (fate.Incarnation, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	peers := n.peers.Filter(func(p membership.Peer) bool {
		alive := p.State == membership.Alive || p.State == membership.Leaving
		return alive && n.neighbours.Has(p.Instance) && !n.neighbours.Spokes[p.Instance]
	})
	if len(peers) == 0 {
		return "", false
	}
	far := func(p membership.Peer) int {
		if p.Zone == n.settings.Zone {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(peers, func(a, b membership.Peer) int {
		return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(len(n.lastHeartbeat[b.Instance].GetClaims()), len(n.lastHeartbeat[a.Instance].GetClaims())))
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

// replyWithUpstreams replies to a peer that requests upstreams.
func (n *Node) replyWithUpstreams(m *inner.UpstreamsRequest, reply func(*inner.Frame)) {
	n.mu.Lock()
	groupCount, age := n.groupCounts[m.GetZone()], n.upstreamListAgeLocked()
	n.mu.Unlock()
	refuse := func(reason string) {
		reply(&inner.Frame{Body: &inner.Frame_Problem{Problem: inner.FromError(failure.NotFound.New("%s", reason))}})
	}
	switch {
	case !n.directory.Synced():
		refuse("the upstreams are not known on this instance")
		return
	case m.GetAgeMs() > 0 && age >= time.Duration(m.GetAgeMs())*time.Millisecond:
		refuse("this instance has not read the upstreams more recently")
		return
	}
	list := n.directory.ListForPeer(func(u fleet.Upstream) bool {
		return u.Zone == m.GetZone() && (len(m.GetGroups()) == 0 || slices.Contains(m.GetGroups(), groupAmong(u, groupCount)))
	})
	reply(&inner.Frame{Body: &inner.Frame_UpstreamsReply{UpstreamsReply: &inner.UpstreamsReply{
		Upstreams: lo.Map(list, func(u fleet.Upstream, _ int) *inner.Upstream { return upstreamToProto(clock.Now(), u) }),
	}}})
}
