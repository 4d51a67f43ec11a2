package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/membership"

	"github.com/samber/lo"
)

// updateNeighbours works out anew whom this instance exchanges heartbeats with.
func (n *Node) updateNeighbours() {
	used := n.router.inUse()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setNeighbours(used)
}

// setNeighbours takes the neighbours that follow from the known instances, and
// the owners in use. The lock is held.
func (n *Node) setNeighbours(used map[string]bool) {
	self := membership.Member{Name: n.in.Name, Zone: n.in.Zone, Share: n.in.CPUShare}
	all := n.members()
	sought := membership.Around(self, all, n.groupCounts)
	around := sought
	if live := lo.Reject(all, func(m membership.Member, _ int) bool { return n.missing(m.Name) }); len(live) < len(all) {
		around = membership.Around(self, live, n.groupCounts)
	}
	n.sought = &sought
	for name := range used {
		if !around.Has(name) {
			around.Far[name] = true // in sought too, where the two are one: no harm
		}
	}
	if around.Hub != n.around.Hub || around.Hubs != n.around.Hubs {
		event.NeighboursChanged.Log(n.log, slog.Bool("hub", around.Hub), slog.Int("hubs", around.Hubs),
			slog.Int("near", len(around.Near)), slog.Int("far", len(around.Far)), slog.Int("known", len(all)))
	}
	n.around = &around
	n.table.SetNeighbours(n.around)
}

// members returns all instances that are known. The lock is held.
func (n *Node) members() []membership.Member {
	var list []membership.Member
	for _, p := range n.table.Peers() {
		if p.Zone != "" { // else only its address is known
			list = append(list, membership.Member{Name: p.Instance, Zone: p.Zone, Share: p.Share})
		}
	}
	return list
}

// missing reports whether an instance is lost, or does not run. The lock is held.
func (n *Node) missing(instance string) bool {
	state := n.table.State(instance)
	return state == membership.Dead || state == membership.Listed && n.isAbsent(instance)
}

// wants reports whether this instance needs to hear another.
func (n *Node) wants(instance string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.around.Has(instance)
}

// silenceOf is how long a connection to an instance may be silent.
func (n *Node) silenceOf(instance string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Allowed(instance)
}

// audience is what differs between the heartbeats of one beat.
type audience struct {
	unwanted bool // this instance does not need to hear the receiver
	relayed  bool // the receiver hears of owners in other zones from here
}

// beatFrames encodes the heartbeats of one beat, each when it is first needed.
type beatFrames struct {
	presence *inner.Presence
	relayed  []*inner.RemoteOwner
	encoded  map[audience]inner.Encoded
}

func (n *Node) newBeat() *beatFrames {
	return &beatFrames{presence: n.presence(), relayed: n.relays(), encoded: map[audience]inner.Encoded{}}
}

func (b *beatFrames) of(a audience) (inner.Encoded, error) {
	if e, done := b.encoded[a]; done {
		return e, nil
	}
	b.presence.Unwanted = a.unwanted
	b.presence.Relayed = nil
	if a.relayed {
		b.presence.Relayed = b.relayed
	}
	e, err := inner.Encode(presenceFrame(b.presence))
	b.encoded[a] = e
	return e, err
}

func presenceFrame(p *inner.Presence) *inner.Frame {
	return &inner.Frame{Body: &inner.Frame_Presence{Presence: p}}
}

// presenceFor is a heartbeat for one instance outside of the beat.
func (n *Node) presenceFor(instance string) *inner.Frame {
	p := n.presence()
	p.Unwanted = !n.wants(instance)
	return presenceFrame(p)
}

// farDue tells whether far neighbours hear from this instance in this beat.
func (n *Node) farDue() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	joining := time.Since(n.taken) < joinTime
	far := time.Since(n.toldFar) >= farEvery || joining || n.leaving.Load()
	if far {
		n.toldFar = time.Now()
	}
	return far
}

// tellPeers sends the presence of this instance to all neighbours that are due,
// and looks for those that are not heard.
func (n *Node) tellPeers() {
	far := n.farDue()
	n.mu.Lock()
	peers, around, sought := n.table.Peers(), n.around, n.sought
	n.mu.Unlock()
	beat := n.newBeat()
	for _, p := range peers {
		switch p.State {
		case membership.Alive, membership.Suspect, membership.Leaving:
			if far || around.Near[p.Instance] {
				n.tellPeer(beat, around, p)
			}
		default:
			if around.Has(p.Instance) || sought.Has(p.Instance) {
				n.introduce(p.Instance)
			}
		}
	}
	if len(peers) == 0 && time.Since(n.began) > seedAfter {
		n.trySeeds()
	}
}

// tellPeer sends a heartbeat to a peer that either side needs, and a last one
// once neither does.
func (n *Node) tellPeer(beat *beatFrames, around *membership.Neighbours, p membership.Peer) {
	wanted := around.Has(p.Instance)
	n.mu.Lock()
	last := !wanted && p.Load.Unwanted
	told := n.parted[p.Instance]
	if last {
		n.parted[p.Instance] = true
	} else {
		delete(n.parted, p.Instance)
	}
	n.mu.Unlock()
	if last && told {
		return
	}
	e, err := beat.of(audience{unwanted: !wanted, relayed: around.Spokes[p.Instance] && len(beat.relayed) > 0})
	if err != nil {
		event.PeerUnsent.Log(n.log, slog.String("what", "presence"), slog.String("error", err.Error()))
		return
	}
	_ = n.mesh.Beat(p.Incarnation, e) // silence is noticed at the other end
}

// hubPeers returns the peers of the own availability zone that are hubs.
// The lock is held.
func (n *Node) hubPeers() []membership.Peer {
	return lo.Filter(n.table.Peers(), func(p membership.Peer, _ int) bool { return n.around.Near[p.Instance] })
}
