// Package membership decides which entries are alive. It is pure: heartbeats,
// the platform's lagging list and the time come in; the changes come out.
package membership

import (
	"cmp"
	"iter"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
)

// State is what is believed of a peer.
type State string

// The states of a peer.
const (
	Listed  State = "listed"  // on the platform's list; not heard, and need not be
	Alive   State = "alive"   // heard within SuspectMs
	Suspect State = "suspect" // silent for longer: gets no new work
	Dead    State = "dead"    // silent for DeadMs, or replaced
	Leaving State = "leaving" // alive, and stopping as planned
)

// Config bounds the silence of peers, in milliseconds.
type Config struct {
	SuspectMs int64
	DeadMs    int64
	// FarFactor is how many times longer a peer may be silent that is not a
	// near neighbour; 0 is 1. It speaks less often.
	FarFactor int64
}

// DefaultConfig fits heartbeats every half second.
var DefaultConfig = Config{SuspectMs: 1600, DeadMs: 3000}

// Listing is an entry as the platform lists it.
type Listing struct {
	Instance string
	Address  string // of its inner listener
	Region   string
	Zone     string
	Rack     string
	Leaving  bool
	CPUShare float64 // of a processor; 0 if not known
}

// Heartbeat is what a heartbeat carries.
type Heartbeat struct {
	// Unwanted is said by a peer that does not need heartbeats from here.
	Unwanted   bool
	Leaving    bool
	ActiveJobs uint64
	Revision   uint64
	Free       uint64
	Queued     uint64
}

// Peer is what is known of one instance.
type Peer struct {
	Listing
	Incarnation fate.Incarnation // "" until heard
	State       State
	Heartbeat   Heartbeat
	heard       int64
	met         bool // the listing is the peer's own word, which goes before the list
}

// Change is a peer whose state changed.
type Change struct {
	Peer   Peer
	Before State
}

// Table holds the peers of one instance. It is not safe for concurrent use.
type Table struct {
	cfg   Config
	peers map[string]*Peer
	order []*Peer // the same, by name
	// neighbours are those that this instance wants to hear; nil is all, and
	// all near.
	neighbours *Neighbours
}

// NewTable returns a table without peers.
func NewTable(cfg Config) *Table {
	return &Table{cfg: cfg, peers: map[string]*Peer{}}
}

// SetNeighbours takes whom this instance wants to hear. A peer outside of them
// that falls silent is not lost, unless it wants to hear this instance.
func (t *Table) SetNeighbours(n *Neighbours) { t.neighbours = n }

// allowance is how many times longer a peer may be silent.
func (t *Table) allowance(name string) int64 {
	if t.neighbours == nil || t.neighbours.Near[name] {
		return 1
	}
	return max(t.cfg.FarFactor, 1)
}

// DeadAfter is how long a peer may be silent before it is dead.
func (t *Table) DeadAfter(name string) time.Duration {
	return time.Duration(t.cfg.DeadMs*t.allowance(name)) * time.Millisecond
}

// parted reports whether neither side of a pair needs the other.
func (t *Table) parted(p *Peer) bool {
	return t.unheard(p) && p.Heartbeat.Unwanted
}

// forgetDeadMs is when a dead peer that this instance does not want to hear
// counts as listed again, in milliseconds: by then the list tells whether it
// lives, and nobody else would.
const forgetDeadMs = 5000

// unheard reports whether nobody listens here for a peer.
func (t *Table) unheard(p *Peer) bool {
	return t.neighbours != nil && !t.neighbours.Has(p.Instance)
}

// SetListed takes the platform's list. It only seeds and describes: a peer
// that is heard stays though it is not listed, for the list lags.
func (t *Table) SetListed(list []Listing) []Change {
	listed := map[string]bool{}
	for _, l := range list {
		listed[l.Instance] = true
		p := t.peer(l.Instance)
		if !p.met || p.State == Dead {
			p.Listing = l
			p.met = false
		}
		p.CPUShare = cmp.Or(l.CPUShare, p.CPUShare)
	}
	t.order = slices.DeleteFunc(t.order, func(p *Peer) bool {
		gone := !listed[p.Instance] && (p.State == Dead || p.State == Listed)
		if gone {
			delete(t.peers, p.Instance)
		}
		return gone
	})
	return nil
}

// peer returns the peer of a name, a new one where there is none.
func (t *Table) peer(name string) *Peer {
	p := t.peers[name]
	if p == nil {
		p = &Peer{Listing: Listing{Instance: name}, State: Listed}
		t.peers[name] = p
		at, _ := slices.BinarySearchFunc(t.order, name, func(p *Peer, name string) int { return cmp.Compare(p.Instance, name) })
		t.order = slices.Insert(t.order, at, p)
	}
	return p
}

// ApplyHello takes what an instance says of itself. The list lags: it may not have the
// instance yet, or an address that it had before.
func (t *Table) ApplyHello(l Listing) {
	p := t.peer(l.Instance)
	l.CPUShare = cmp.Or(l.CPUShare, p.CPUShare)
	p.Listing = l
	p.met = true
}

// RecordHeartbeat takes a heartbeat. A new incarnation of an instance ends the one
// before it at once; a late heartbeat of one that was replaced is not taken.
func (t *Table) RecordHeartbeat(from fate.Incarnation, load Heartbeat, now int64) []Change {
	p := t.peer(from.Instance())
	var changes []Change
	if p.Incarnation != "" && p.Incarnation != from {
		changes = append(changes, p.become(Dead))
		p.State = Listed
	}
	p.Incarnation = from
	p.Heartbeat = load
	p.heard = now
	state := Alive
	if load.Leaving {
		state = Leaving
	}
	return append(changes, p.changeTo(state)...)
}

// MarkEnded takes the certain news that an incarnation is over.
func (t *Table) MarkEnded(who fate.Incarnation) []Change {
	p := t.peers[who.Instance()]
	if p == nil || p.Incarnation != who {
		return nil
	}
	return p.changeTo(Dead)
}

// Tick lets time pass, in Unix milliseconds.
func (t *Table) Tick(now int64) []Change {
	var changes []Change
	for _, p := range t.order {
		if p.State == Dead && t.unheard(p) && now-p.heard >= forgetDeadMs {
			p.State = Listed
		}
		if p.State == Listed || p.State == Dead {
			continue
		}
		switch silent := (now - p.heard) / t.allowance(p.Instance); {
		case silent >= t.cfg.SuspectMs && t.parted(p):
			changes = append(changes, p.changeTo(Listed)...)
		case silent >= t.cfg.DeadMs:
			changes = append(changes, p.changeTo(Dead)...)
		case silent >= t.cfg.SuspectMs && p.State == Alive:
			changes = append(changes, p.changeTo(Suspect)...)
		}
	}
	return changes
}

func (p *Peer) become(s State) Change {
	before := p.State
	p.State = s
	return Change{Peer: *p, Before: before}
}

func (p *Peer) changeTo(s State) []Change {
	if p.State == s {
		return nil
	}
	return []Change{p.become(s)}
}

// All ranges over every peer, by name. The table must not change meanwhile.
func (t *Table) All() iter.Seq[Peer] {
	return func(yield func(Peer) bool) {
		for _, p := range t.order {
			if !yield(*p) {
				return
			}
		}
	}
}

// Filter returns the peers of which a condition holds, by name.
func (t *Table) Filter(holds func(Peer) bool) []Peer {
	var list []Peer
	for p := range t.All() {
		if holds(p) {
			list = append(list, p)
		}
	}
	return list
}

// Len returns how many peers there are.
func (t *Table) Len() int { return len(t.order) }

// Peers returns every peer, by name.
func (t *Table) Peers() []Peer {
	return slices.AppendSeq(make([]Peer, 0, t.Len()), t.All())
}

// State returns what is believed of an instance; Dead of one that is unknown.
func (t *Table) State(instance string) State {
	if p := t.peers[instance]; p != nil {
		return p.State
	}
	return Dead
}

// Address returns where an instance listens.
func (t *Table) Address(instance string) (string, bool) {
	p := t.peers[instance]
	if p == nil || p.Address == "" {
		return "", false
	}
	return p.Address, true
}
