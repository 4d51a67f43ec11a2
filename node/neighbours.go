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

// updateNeighbours updates the set of instances that this one exchanges heartbeats with.
func (n *Node) updateNeighbours() {
	activeOwners := n.router.activeOwners()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.updateNeighboursLocked(activeOwners)
}

// neighbourInputs is the data that the neighbours of this instance are computed from.
type neighbourInputs struct {
	all          []membership.Member // instances whose zone is known
	running      []membership.Member // those of all that are not known to be down
	groupCounts  map[string]int      // number of groups by availability zone
	activeOwners map[string]bool     // instances that have, or recently had, an offer of this one
}

func (in neighbourInputs) equal(other neighbourInputs) bool {
	return slices.Equal(in.all, other.all) && slices.Equal(in.running, other.running) && maps.Equal(in.groupCounts, other.groupCounts) && maps.Equal(in.activeOwners, other.activeOwners)
}

// collectNeighbourInputs returns the current inputs. n.mu is held.
func (n *Node) collectNeighbourInputs(activeOwners map[string]bool) neighbourInputs {
	in := neighbourInputs{activeOwners: activeOwners, groupCounts: n.groupCounts}
	in.all = make([]membership.Member, 0, n.peers.Len())
	in.running = make([]membership.Member, 0, n.peers.Len())
	for p := range n.peers.All() {
		if p.Zone == "" {
			continue // a seed, of which only the address is known
		}
		m := membership.Member{Name: p.Instance, Zone: p.Zone, CPUShare: p.CPUShare}
		in.all = append(in.all, m)
		if !n.isDown(m.Name) {
			in.running = append(in.running, m)
		}
	}
	return in
}

// updateNeighboursLocked computes the neighbours from the known instances and the active
// owners. It does nothing if the inputs are unchanged, which is the usual case in a tick.
// n.mu is held.
func (n *Node) updateNeighboursLocked(activeOwners map[string]bool) {
	inputs := n.collectNeighbourInputs(activeOwners)
	if inputs.equal(n.neighbourInputs) {
		return
	}
	inputs.groupCounts = maps.Clone(inputs.groupCounts)
	n.neighbourInputs = inputs
	self := membership.Member{Name: n.settings.Name, Zone: n.settings.Zone, CPUShare: n.settings.CPUShare}
	ifAllAlive := membership.NeighboursOf(self, inputs.all, inputs.groupCounts)
	neighbours := ifAllAlive
	if len(inputs.running) < len(inputs.all) {
		neighbours = membership.NeighboursOf(self, inputs.running, inputs.groupCounts)
	}
	for name := range activeOwners {
		if !neighbours.Has(name) {
			neighbours.Far[name] = true // ifAllAlive may share this map; the addition is harmless there
		}
	}
	if neighbours.IsHub != n.neighbours.IsHub || neighbours.HubCount != n.neighbours.HubCount {
		event.NeighboursChanged.Log(n.log, slog.Bool("hub", neighbours.IsHub), slog.Int("hubs", neighbours.HubCount),
			slog.Int("near", len(neighbours.Near)), slog.Int("far", len(neighbours.Far)), slog.Int("known", len(inputs.all)))
	}
	n.neighboursIfAllAlive, n.neighbours = &ifAllAlive, &neighbours
	n.peers.SetNeighbours(n.neighbours)
}

// isDown reports whether an instance is dead, or is listed but has recently refused a
// connection. n.mu is held.
func (n *Node) isDown(instance string) bool {
	state := n.peers.State(instance)
	return state == membership.Dead || state == membership.Listed && n.refusedRecently(instance)
}

// isNeighbour reports whether another instance is a neighbour, whose heartbeats this instance
// needs.
func (n *Node) isNeighbour(instance string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.neighbours.Has(instance)
}

// silenceLimit returns how long a connection to an instance may be silent before it counts
// as broken.
func (n *Node) silenceLimit(instance string) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.peers.DeadAfter(instance)
}

// heartbeatVariant holds what differs between the heartbeats that are sent to several peers
// at the same time.
type heartbeatVariant struct {
	unwanted bool // this instance does not need heartbeats of the receiver
	relayed  bool // the heartbeat also reports the owners in other zones, because the receiver is a spoke
	speeds   bool // the heartbeat also reports the speeds of upstreams, because the receiver is a hub of the own zone
}

// heartbeatFrames encodes the heartbeats of one tick. Each variant is encoded once, when it
// is first needed.
type heartbeatFrames struct {
	heartbeat *inner.Presence
	relayed   []*inner.RemoteOwner
	speeds    []*inner.UpstreamSpeed // nil if no report is due
	encoded   map[heartbeatVariant]inner.EncodedFrame
}

func (n *Node) newHeartbeatFrames() *heartbeatFrames {
	return &heartbeatFrames{heartbeat: n.heartbeat(), relayed: n.ownersToRelay(), speeds: n.speedsToReport(), encoded: map[heartbeatVariant]inner.EncodedFrame{}}
}

// encode returns the encoded heartbeat of a variant.
func (f *heartbeatFrames) encode(v heartbeatVariant) (inner.EncodedFrame, error) {
	if e, found := f.encoded[v]; found {
		return e, nil
	}
	f.heartbeat.Unwanted = v.unwanted
	f.heartbeat.Relayed = nil
	if v.relayed {
		f.heartbeat.Relayed = f.relayed
	}
	f.heartbeat.Speeds = nil
	if v.speeds {
		f.heartbeat.Speeds = f.speeds
	}
	e, err := inner.EncodeFrame(heartbeatFrame(f.heartbeat))
	f.encoded[v] = e
	return e, err
}

func heartbeatFrame(p *inner.Presence) *inner.Frame {
	return &inner.Frame{Body: &inner.Frame_Presence{Presence: p}}
}

// heartbeatFor returns a heartbeat for one instance, to be sent outside of a tick.
func (n *Node) heartbeatFor(instance string) *inner.Frame {
	p := n.heartbeat()
	p.Unwanted = !n.isNeighbour(instance)
	return heartbeatFrame(p)
}

// farHeartbeatDue reports whether this tick sends heartbeats to far neighbours as well, and
// if so, records the time.
func (n *Node) farHeartbeatDue() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	joining := clock.Since(n.lastTakenAt) < joinPeriod
	due := clock.Since(n.lastFarHeartbeat) >= farHeartbeatInterval || joining || n.shuttingDown.Load()
	if due {
		n.lastFarHeartbeat = clock.Now()
	}
	return due
}

// sendHeartbeats sends heartbeats to the peers that are due, contacts the neighbours that
// have not sent any, and contacts the seed peers if no peer is known.
func (n *Node) sendHeartbeats() {
	includeFar := n.farHeartbeatDue()
	n.mu.Lock()
	neighbours, noPeers := n.neighbours, n.peers.Len() == 0
	due, silent := n.heartbeatTargets(includeFar)
	n.mu.Unlock()
	frames := n.newHeartbeatFrames()
	for _, p := range due {
		n.sendHeartbeat(frames, neighbours, p)
	}
	for _, name := range silent {
		n.contactPeer(name)
	}
	if noPeers && clock.Since(n.startedAt) > seedDelay {
		n.contactSeeds()
	}
}

// heartbeatTargets returns the peers that are due for a heartbeat, far ones only if
// includeFar is set, and the names of the neighbours from which no heartbeats arrive. n.mu
// is held.
func (n *Node) heartbeatTargets(includeFar bool) (due []membership.Peer, silent []string) {
	for p := range n.peers.All() {
		switch p.State {
		case membership.Alive, membership.Suspect, membership.Leaving:
			if includeFar || n.neighbours.Near[p.Instance] {
				due = append(due, p)
			}
		default:
			if n.neighbours.Has(p.Instance) || n.neighboursIfAllAlive.Has(p.Instance) {
				silent = append(silent, p.Instance)
			}
		}
	}
	return due, silent
}

// sendHeartbeat sends a heartbeat to a peer if either side needs the heartbeats of the
// other. Once neither side does, it sends a last one that says so.
func (n *Node) sendHeartbeat(frames *heartbeatFrames, neighbours *membership.Neighbours, p membership.Peer) {
	wanted := neighbours.Has(p.Instance)
	n.mu.Lock()
	final := !wanted && p.Heartbeat.Unwanted
	finalSent := n.finalHeartbeatSent[p.Instance]
	if final {
		n.finalHeartbeatSent[p.Instance] = true
	} else {
		delete(n.finalHeartbeatSent, p.Instance)
	}
	n.mu.Unlock()
	if final && finalSent {
		return
	}
	e, err := frames.encode(heartbeatVariant{
		unwanted: !wanted, relayed: neighbours.Spokes[p.Instance] && len(frames.relayed) > 0, speeds: neighbours.Near[p.Instance] && len(frames.speeds) > 0,
	})
	if err != nil {
		event.PeerUnsent.Log(n.log, slog.String("what", "presence"), slog.String("error", err.Error()))
		return
	}
	if err := n.mesh.SendHeartbeat(p.Incarnation, e); err != nil && wanted {
		n.probeOnce(p.Incarnation) // no connection is open whose end would show that the peer has ended
	}
}

// hubPeers returns the other hubs of the own availability zone if this instance is a hub,
// and none if it is a spoke. n.mu is held.
func (n *Node) hubPeers() []membership.Peer {
	return n.peers.Filter(func(p membership.Peer) bool { return n.neighbours.Near[p.Instance] })
}
