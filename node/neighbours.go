package node

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/membership"
)

// updateNeighbours works out anew whom this instance exchanges heartbeats with.
func (n *Node) updateNeighbours() {
	used := n.router.inUse()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.setNeighbours(used)
}

// neighbourBasis is what the neighbours of this instance follow from.
type neighbourBasis struct {
	known  []membership.Member
	live   []membership.Member
	groups map[string]int  // of each availability zone
	used   map[string]bool // owners that work for customers of this instance
}

func (b neighbourBasis) equal(o neighbourBasis) bool {
	return slices.Equal(b.known, o.known) && slices.Equal(b.live, o.live) && maps.Equal(b.groups, o.groups) && maps.Equal(b.used, o.used)
}

// neighbourBasis returns what is known now. The lock is held.
func (n *Node) neighbourBasis(used map[string]bool) neighbourBasis {
	b := neighbourBasis{used: used, groups: n.groupCounts}
	b.known = make([]membership.Member, 0, n.table.Len())
	b.live = make([]membership.Member, 0, n.table.Len())
	for p := range n.table.All() {
		if p.Zone == "" {
			continue // only its address is known
		}
		m := membership.Member{Name: p.Instance, Zone: p.Zone, CPUShare: p.CPUShare}
		b.known = append(b.known, m)
		if !n.missing(m.Name) {
			b.live = append(b.live, m)
		}
	}
	return b
}

// setNeighbours takes the neighbours that follow from the known instances and the
// owners in use, if those have changed: each beat asks, and they seldom do. The lock is
// held.
func (n *Node) setNeighbours(used map[string]bool) {
	basis := n.neighbourBasis(used)
	if basis.equal(n.basis) {
		return
	}
	basis.groups = maps.Clone(basis.groups)
	n.basis = basis
	self := membership.Member{Name: n.in.Name, Zone: n.in.Zone, CPUShare: n.in.CPUShare}
	sought := membership.NeighboursOf(self, basis.known, basis.groups)
	around := sought
	if len(basis.live) < len(basis.known) {
		around = membership.NeighboursOf(self, basis.live, basis.groups)
	}
	for name := range used {
		if !around.Has(name) {
			around.Far[name] = true // in sought too, where the two are one: no harm
		}
	}
	if around.IsHub != n.around.IsHub || around.HubCount != n.around.HubCount {
		event.NeighboursChanged.Log(n.log, slog.Bool("hub", around.IsHub), slog.Int("hubs", around.HubCount),
			slog.Int("near", len(around.Near)), slog.Int("far", len(around.Far)), slog.Int("known", len(basis.known)))
	}
	n.sought, n.around = &sought, &around
	n.table.SetNeighbours(n.around)
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
	return n.table.DeadAfter(instance)
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
	joining := clock.Since(n.taken) < joinTime
	far := clock.Since(n.toldFar) >= farEvery || joining || n.leaving.Load()
	if far {
		n.toldFar = clock.Now()
	}
	return far
}

// tellPeers sends the presence of this instance to all neighbours that are due,
// and looks for those that are not heard.
func (n *Node) tellPeers() {
	far := n.farDue()
	n.mu.Lock()
	around, alone := n.around, n.table.Len() == 0
	due, missed := n.audienceOf(far)
	n.mu.Unlock()
	beat := n.newBeat()
	for _, p := range due {
		n.tellPeer(beat, around, p)
	}
	for _, name := range missed {
		n.introduce(name)
	}
	if alone && clock.Since(n.began) > seedAfter {
		n.trySeeds()
	}
}

// audienceOf returns the peers that are due to hear from this instance, with or
// without far ones, and the names of the neighbours that are not heard. The lock is
// held.
func (n *Node) audienceOf(far bool) (due []membership.Peer, missed []string) {
	for p := range n.table.All() {
		switch p.State {
		case membership.Alive, membership.Suspect, membership.Leaving:
			if far || n.around.Near[p.Instance] {
				due = append(due, p)
			}
		default:
			if n.around.Has(p.Instance) || n.sought.Has(p.Instance) {
				missed = append(missed, p.Instance)
			}
		}
	}
	return due, missed
}

// tellPeer sends a heartbeat to a peer that either side needs, and a last one
// once neither does.
func (n *Node) tellPeer(beat *beatFrames, around *membership.Neighbours, p membership.Peer) {
	wanted := around.Has(p.Instance)
	n.mu.Lock()
	last := !wanted && p.Heartbeat.Unwanted
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
	return n.table.Filter(func(p membership.Peer) bool { return n.around.Near[p.Instance] })
}
