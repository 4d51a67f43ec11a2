// Package membership determines which instances are alive, which of them exchange
// heartbeats, and which own groups of upstreams. It does no I/O: its inputs are
// heartbeats, the platform's list of instances, which may be outdated, and the time.
//
// The terms of this package are:
//   - A peer is another instance. One execution of an instance's process is an
//     incarnation.
//   - A heartbeat is a message that an instance sends periodically, by which its
//     peers know that it is alive.
//   - A hub is an instance that exchanges heartbeats with all instances of its
//     availability zone and with the hubs of other zones. The other instances of a
//     zone are spokes; they exchange heartbeats with the hubs of their zone only.
//   - The neighbours of an instance are the peers with which it exchanges heartbeats.
//   - The upstreams, the processes that run tasks, are divided into groups. The owner
//     of a group is the instance that alone gives its upstreams work.
//   - A fencing token is a number that rises with each new owner of a group. An upstream
//     refuses orders with a lower token than the highest one that it has seen.
package membership

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
)

// State is the state of a peer as far as this instance can tell.
type State string

// The states of a peer.
const (
	Listed  State = "listed"  // known, but not monitored: it has sent no heartbeat yet, or none is needed from it
	Alive   State = "alive"   // sent a heartbeat within SuspectMs
	Suspect State = "suspect" // sent none for SuspectMs; gets no new work
	Dead    State = "dead"    // sent none for DeadMs, or its incarnation has ended
	Leaving State = "leaving" // alive, in a planned shutdown
)

// Config holds the times without a heartbeat, in milliseconds, after which a peer becomes
// Suspect or Dead.
type Config struct {
	SuspectMs int64
	DeadMs    int64
	// Both times are multiplied by FarFactor for peers that are not near neighbours,
	// because these send heartbeats less often. 0 means 1.
	FarFactor int64
}

// DefaultConfig suits heartbeats sent every half second.
var DefaultConfig = Config{SuspectMs: 1600, DeadMs: 3000}

// Listing describes an instance, according to the platform's list or to the instance itself.
type Listing struct {
	Instance string
	Address  string // address of its listener for peers
	Region   string
	Zone     string
	Rack     string
	Leaving  bool
	CPUShare float64 // fraction of a core; 0 if unknown
}

// Heartbeat is the content of a heartbeat.
type Heartbeat struct {
	// Unwanted tells the receiver that the sender needs no heartbeats from it.
	Unwanted    bool
	Leaving     bool
	ActiveJobs  uint64
	Revision    uint64 // revision of the settings (package entry) or the configuration (package node) that the sender has applied
	FreeSlots   uint64
	QueuedTasks uint64
}

// Peer is the known state of another instance.
type Peer struct {
	Listing
	Incarnation     fate.Incarnation // "" before the first heartbeat
	State           State
	Heartbeat       Heartbeat
	lastHeartbeatMs int64
	ended           bool // the incarnation has certainly ended
	selfReported    bool // Listing comes from the peer itself, which takes precedence over the platform's list
}

// Change is a peer whose state changed.
type Change struct {
	Peer     Peer
	Previous State
}

// Table holds the peers of one instance. It is not safe for concurrent use.
type Table struct {
	cfg    Config
	peers  map[string]*Peer
	sorted []*Peer // the peers, sorted by name
	// neighbours are the peers from which this instance needs heartbeats. If it is nil,
	// all peers are near neighbours.
	neighbours *Neighbours
	lastTickMs int64 // time of the last Tick; 0 before the first
}

// NewTable returns an empty table.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, peers: map[string]*Peer{}}
}

// SetNeighbours sets the peers from which this instance needs heartbeats.
//
// A peer that is not among them but needs heartbeats from this instance sends heartbeats as
// well, so that it is considered dead if they stop. If neither side needs the heartbeats of
// the other, both stop sending them, and the peer becomes Listed.
func (t *Table) SetNeighbours(n *Neighbours) { t.neighbours = n }

// silenceFactor returns the factor by which SuspectMs and DeadMs are multiplied for a peer.
func (t *Table) silenceFactor(name string) int64 {
	if t.neighbours == nil || t.neighbours.Near[name] {
		return 1
	}
	return max(t.cfg.FarFactor, 1)
}

// DeadAfter returns the time without heartbeats after which a peer is considered dead.
func (t *Table) DeadAfter(name string) time.Duration {
	return time.Duration(t.cfg.DeadMs*t.silenceFactor(name)) * time.Millisecond
}

// mutuallyUnneeded reports whether neither this instance nor the peer needs heartbeats from
// the other.
func (t *Table) mutuallyUnneeded(p *Peer) bool {
	return t.notNeighbour(p) && p.Heartbeat.Unwanted
}

// relistDeadMs is the time after its last heartbeat, in milliseconds, after which a dead peer
// that is not a neighbour becomes Listed again. If such a peer restarts, it sends no heartbeats
// to this instance, so that only the platform's list can show that it is running. By this time
// the list does.
const relistDeadMs = 5000

// notNeighbour reports whether this instance needs no heartbeats from a peer.
func (t *Table) notNeighbour(p *Peer) bool {
	return t.neighbours != nil && !t.neighbours.Has(p.Instance)
}

// SetListed applies the platform's list. It adds the peers that are new and updates the
// descriptions of the others. Of those that are not in the list it removes only the ones in
// state Listed or Dead: a peer that sends heartbeats is kept, because the list may be outdated.
// SetListed changes the state of no peer, and its result is always nil.
func (t *Table) SetListed(list []Listing) []Change {
	listed := map[string]bool{}
	for _, l := range list {
		listed[l.Instance] = true
		p := t.getOrAdd(l.Instance)
		if !p.selfReported || p.State == Dead {
			p.Listing = l
			p.selfReported = false
		}
		p.CPUShare = cmp.Or(l.CPUShare, p.CPUShare)
	}
	t.sorted = slices.DeleteFunc(t.sorted, func(p *Peer) bool {
		remove := !listed[p.Instance] && (p.State == Dead || p.State == Listed)
		if remove {
			delete(t.peers, p.Instance)
		}
		return remove
	})
	return nil
}

// getOrAdd returns the peer with the given name. If there is none, it adds one that is Listed.
func (t *Table) getOrAdd(name string) *Peer {
	p := t.peers[name]
	if p == nil {
		p = &Peer{Listing: Listing{Instance: name}, State: Listed}
		t.peers[name] = p
		at, _ := slices.BinarySearchFunc(t.sorted, name, func(p *Peer, name string) int { return cmp.Compare(p.Instance, name) })
		t.sorted = slices.Insert(t.sorted, at, p)
	}
	return p
}

// ApplyHello applies the description that an instance gives of itself. This description takes
// precedence over the platform's list, which may not contain the instance yet, or may contain
// a former address.
func (t *Table) ApplyHello(l Listing) {
	p := t.getOrAdd(l.Instance)
	l.CPUShare = cmp.Or(l.CPUShare, p.CPUShare)
	p.Listing = l
	p.selfReported = true
}

// RecordHeartbeat records a heartbeat received at time now, in milliseconds. If the last
// heartbeat came from another incarnation of the instance, that incarnation has ended: the
// changes returned contain it as Dead, followed by the new incarnation as Alive or Leaving.
func (t *Table) RecordHeartbeat(incarnation fate.Incarnation, heartbeat Heartbeat, now int64) []Change {
	p := t.getOrAdd(incarnation.Instance())
	var changes []Change
	if p.Incarnation != "" && p.Incarnation != incarnation {
		changes = append(changes, p.forceState(Dead))
		p.State = Listed // the state of the new incarnation before its first heartbeat
	}
	p.Incarnation = incarnation
	p.Heartbeat = heartbeat
	p.lastHeartbeatMs = now
	p.ended = false
	state := Alive
	if heartbeat.Leaving {
		state = Leaving
	}
	return append(changes, p.transition(state)...)
}

// MarkEnded records that an incarnation has certainly ended.
func (t *Table) MarkEnded(incarnation fate.Incarnation) []Change {
	p := t.peers[incarnation.Instance()]
	if p == nil || p.Incarnation != incarnation {
		return nil
	}
	p.ended = true
	return p.transition(Dead)
}

// MayBeRunning reports whether an incarnation may still be running at time now, in milliseconds.
// A Dead peer may be silent only: it counts as running until it has sent no heartbeat for
// silenceMs, or has certainly ended.
func (t *Table) MayBeRunning(incarnation fate.Incarnation, now, silenceMs int64) bool {
	p := t.peers[incarnation.Instance()]
	switch {
	case p == nil || p.ended:
		return false
	case p.Incarnation == "":
		return true // it has not sent its first heartbeat yet
	default:
		return p.Incarnation == incarnation && now-p.lastHeartbeatMs <= silenceMs
	}
}

// Tick updates the states of all peers to time now, in milliseconds on the same clock as in
// calls of RecordHeartbeat.
func (t *Table) Tick(now int64) []Change {
	t.lastTickMs = now
	var changes []Change
	for _, p := range t.sorted {
		if p.State == Dead && t.notNeighbour(p) && now-p.lastHeartbeatMs >= relistDeadMs {
			p.State = Listed
		}
		if p.State == Listed || p.State == Dead {
			continue
		}
		switch silenceMs := (now - p.lastHeartbeatMs) / t.silenceFactor(p.Instance); {
		case silenceMs >= t.cfg.SuspectMs && t.mutuallyUnneeded(p):
			changes = append(changes, p.transition(Listed)...)
		case silenceMs >= t.cfg.DeadMs:
			changes = append(changes, p.transition(Dead)...)
		case silenceMs >= t.cfg.SuspectMs && p.State == Alive:
			changes = append(changes, p.transition(Suspect)...)
		}
	}
	return changes
}

// forceState sets the peer's state and returns the change, even if the peer was in that state
// already.
func (p *Peer) forceState(state State) Change {
	previous := p.State
	p.State = state
	return Change{Peer: *p, Previous: previous}
}

// transition sets the peer's state and returns the change. It returns nil if the peer was in
// that state already.
func (p *Peer) transition(state State) []Change {
	if p.State == state {
		return nil
	}
	return []Change{p.forceState(state)}
}

// All returns an iterator over the peers, sorted by name. The table must not change during
// the iteration.
func (t *Table) All() iter.Seq[Peer] {
	return func(yield func(Peer) bool) {
		for _, p := range t.sorted {
			if !yield(*p) {
				return
			}
		}
	}
}

// Filter returns the peers for which match returns true, sorted by name.
func (t *Table) Filter(match func(Peer) bool) []Peer {
	var list []Peer
	for p := range t.All() {
		if match(p) {
			list = append(list, p)
		}
	}
	return list
}

// Len returns the number of peers.
func (t *Table) Len() int { return len(t.sorted) }

// Peers returns copies of all peers, sorted by name.
func (t *Table) Peers() []Peer {
	return slices.AppendSeq(make([]Peer, 0, t.Len()), t.All())
}

// HasEnded reports whether the last known incarnation of an instance has certainly ended.
func (t *Table) HasEnded(instance string) bool {
	p := t.peers[instance]
	return p != nil && p.ended
}

// State returns the state of an instance. It returns Dead for an unknown one.
func (t *Table) State(instance string) State {
	if p := t.peers[instance]; p != nil {
		return p.State
	}
	return Dead
}

// Address returns the address of an instance's listener for peers, and whether it is known.
func (t *Table) Address(instance string) (string, bool) {
	p := t.peers[instance]
	if p == nil || p.Address == "" {
		return "", false
	}
	return p.Address, true
}
