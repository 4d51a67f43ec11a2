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
	used := n.router.activeOwners()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateNeighboursLocked(used)
}

// neighbourInputs is what the neighbours of this instance follow from.
type neighbourInputs struct {
	all          []membership.Member
	running      []membership.Member
	groupCounts  map[string]int  // of each availability zone
	activeOwners map[string]bool // owners that work for customers of this instance
}

func (b neighbourInputs) equal(o neighbourInputs) bool {
	return slices.Equal(b.all, o.all) && slices.Equal(b.running, o.running) && maps.Equal(b.groupCounts, o.groupCounts) && maps.Equal(b.activeOwners, o.activeOwners)
}

// collectNeighbourInputs returns what is known now. The lock is held.
func (n *Node) collectNeighbourInputs(used map[string]bool) neighbourInputs {
	b := neighbourInputs{activeOwners: used, groupCounts: n.groupCounts}
	b.all = make([]membership.Member, 0, n.peers.Len())
	b.running = make([]membership.Member, 0, n.peers.Len())
	for p := range n.peers.All() {
		if p.Zone == "" {
			continue // only its address is known
		}
		m := membership.Member{Name: p.Instance, Zone: p.Zone, CPUShare: p.CPUShare}
		b.all = append(b.all, m)
		if !n.isDown(m.Name) {
			b.running = append(b.running, m)
		}
	}
	return b
}

// updateNeighboursLocked takes the neighbours that follow from the known instances and the
// owners in use, if those have changed: each beat asks, and they seldom do. The lock is
// held.
func (n *Node) updateNeighboursLocked(used map[string]bool) {
	basis := n.collectNeighbourInputs(used)
	if basis.equal(n.neighbourInputs) {
		return
	}
	basis.groupCounts = maps.Clone(basis.groupCounts)
	n.neighbourInputs = basis
	self := membership.Member{Name: n.settings.Name, Zone: n.settings.Zone, CPUShare: n.settings.CPUShare}
	sought := membership.NeighboursOf(self, basis.all, basis.groupCounts)
	around := sought
	if len(basis.running) < len(basis.all) {
		around = membership.NeighboursOf(self, basis.running, basis.groupCounts)
	}
	for name := range used {
		if !around.Has(name) {
			around.Far[name] = true // in sought too, where the two are one: no harm
		}
	}
	if around.IsHub != n.neighbours.IsHub || around.HubCount != n.neighbours.HubCount {
		event.NeighboursChanged.Log(n.log, slog.Bool("hub", around.IsHub), slog.Int("hubs", around.HubCount),
			slog.Int("near", len(around.Near)), slog.Int("far", len(around.Far)), slog.Int("known", len(basis.all)))
	}
	n.neighboursIfAllAlive, n.neighbours = &sought, &around
	n.peers.SetNeighbours(n.neighbours)
}

// isDown reports whether an instance is lost, or does not run. The lock is held.
func (n *Node) isDown(instance string) bool {
	state := n.peers.State(instance)
	return state == membership.Dead || state == membership.Listed && n.refusedRecently(instance)
}

// isNeighbour reports whether this instance needs to hear another.
func (n *Node) isNeighbour(instance string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.neighbours.Has(instance)
}

// silenceLimit is how long a connection to an instance may be silent.
func (n *Node) silenceLimit(instance string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.DeadAfter(instance)
}

// heartbeatVariant is what differs between the heartbeats of one beat.
type heartbeatVariant struct {
	unwanted bool // this instance does not need to hear the receiver
	relayed  bool // the receiver hears of owners in other zones from here
}

// heartbeatFrames encodes the heartbeats of one beat, each when it is first needed.
type heartbeatFrames struct {
	heartbeat *inner.Presence
	relayed   []*inner.RemoteOwner
	encoded   map[heartbeatVariant]inner.EncodedFrame
}

func (n *Node) newHeartbeatFrames() *heartbeatFrames {
	return &heartbeatFrames{heartbeat: n.heartbeat(), relayed: n.ownersToRelay(), encoded: map[heartbeatVariant]inner.EncodedFrame{}}
}

func (b *heartbeatFrames) encode(a heartbeatVariant) (inner.EncodedFrame, error) {
	if e, done := b.encoded[a]; done {
		return e, nil
	}
	b.heartbeat.Unwanted = a.unwanted
	b.heartbeat.Relayed = nil
	if a.relayed {
		b.heartbeat.Relayed = b.relayed
	}
	e, err := inner.EncodeFrame(heartbeatFrame(b.heartbeat))
	b.encoded[a] = e
	return e, err
}

func heartbeatFrame(p *inner.Presence) *inner.Frame {
	return &inner.Frame{Body: &inner.Frame_Presence{Presence: p}}
}

// heartbeatFor is a heartbeat for one instance outside of the beat.
func (n *Node) heartbeatFor(instance string) *inner.Frame {
	p := n.heartbeat()
	p.Unwanted = !n.isNeighbour(instance)
	return heartbeatFrame(p)
}

// farHeartbeatDue tells whether far neighbours hear from this instance in this beat.
func (n *Node) farHeartbeatDue() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	joining := clock.Since(n.lastTakenAt) < joinPeriod
	far := clock.Since(n.lastFarHeartbeat) >= farHeartbeatInterval || joining || n.leaving.Load()
	if far {
		n.lastFarHeartbeat = clock.Now()
	}
	return far
}

// sendHeartbeats sends the presence of this instance to all neighbours that are due,
// and looks for those that are not heard.
func (n *Node) sendHeartbeats() {
	far := n.farHeartbeatDue()
	n.mu.Lock()
	around, alone := n.neighbours, n.peers.Len() == 0
	due, missed := n.heartbeatTargets(far)
	n.mu.Unlock()
	beat := n.newHeartbeatFrames()
	for _, p := range due {
		n.sendHeartbeat(beat, around, p)
	}
	for _, name := range missed {
		n.contactPeer(name)
	}
	if alone && clock.Since(n.startedAt) > seedDelay {
		n.contactSeeds()
	}
}

// heartbeatTargets returns the peers that are due to hear from this instance, with or
// without far ones, and the names of the neighbours that are not heard. The lock is
// held.
func (n *Node) heartbeatTargets(far bool) (due []membership.Peer, missed []string) {
	for p := range n.peers.All() {
		switch p.State {
		case membership.Alive, membership.Suspect, membership.Leaving:
			if far || n.neighbours.Near[p.Instance] {
				due = append(due, p)
			}
		default:
			if n.neighbours.Has(p.Instance) || n.neighboursIfAllAlive.Has(p.Instance) {
				missed = append(missed, p.Instance)
			}
		}
	}
	return due, missed
}

// sendHeartbeat sends a heartbeat to a peer that either side needs, and a last one
// once neither does.
func (n *Node) sendHeartbeat(beat *heartbeatFrames, around *membership.Neighbours, p membership.Peer) {
	wanted := around.Has(p.Instance)
	n.mu.Lock()
	last := !wanted && p.Heartbeat.Unwanted
	told := n.finalHeartbeatSent[p.Instance]
	if last {
		n.finalHeartbeatSent[p.Instance] = true
	} else {
		delete(n.finalHeartbeatSent, p.Instance)
	}
	n.mu.Unlock()
	if last && told {
		return
	}
	e, err := beat.encode(heartbeatVariant{unwanted: !wanted, relayed: around.Spokes[p.Instance] && len(beat.relayed) > 0})
	if err != nil {
		event.PeerUnsent.Log(n.log, slog.String("what", "presence"), slog.String("error", err.Error()))
		return
	}
	_ = n.mesh.SendHeartbeat(p.Incarnation, e) // silence is noticed at the other end
}

// hubPeers returns the peers of the own availability zone that are hubs.
// The lock is held.
func (n *Node) hubPeers() []membership.Peer {
	return n.peers.Filter(func(p membership.Peer) bool { return n.neighbours.Near[p.Instance] })
}
