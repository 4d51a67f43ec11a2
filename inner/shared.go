package inner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
)

// A shared mesh sends on any open connection to a peer, whoever opened it.
// Heartbeats pass on each of them, so that one that has gone silent is told from
// a peer that is gone: the others are used, and the silent one is closed.

// idleSpare is how long a second connection to a peer is kept after a call on
// it: longer than any job whose result may still come back there.
const idleSpare = 15 * time.Second

// enter makes a connection known to those who look for one to its peer. The lock
// is held.
func (m *Mesh) enter(k *link) {
	k.heardNow()
	name := k.peer.Instance()
	m.byPeer[name] = append(m.byPeer[name], k)
}

func (m *Mesh) leave(k *link) {
	name := k.peer.Instance()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.byPeer[name] = slices.DeleteFunc(m.byPeer[name], func(o *link) bool { return o == k })
	if len(m.byPeer[name]) == 0 {
		delete(m.byPeer, name)
	}
}

// linksTo returns the open connections to an instance.
func (m *Mesh) linksTo(instance string) []*link {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(m.byPeer[instance]), (*link).isDown)
}

// shared returns the connection to an instance that is best to use, nil without
// one. Both ends choose the same as long as both hear the same.
func (m *Mesh) shared(instance string) *link {
	links := m.linksTo(instance)
	if len(links) == 0 {
		return nil
	}
	now := steady()
	return slices.MinFunc(links, func(a, b *link) int {
		aFresh, bFresh := m.fresh(a, now), m.fresh(b, now)
		switch {
		case aFresh && !bFresh:
			return -1
		case bFresh && !aFresh:
			return 1
		case !aFresh:
			return cmp.Compare(b.heardAt(), a.heardAt())
		}
		return cmp.Or(cmp.Compare(m.opener(a), m.opener(b)), cmp.Compare(b.number, a.number))
	})
}

// sharedWith is shared, nil where connections are not shared.
func (m *Mesh) sharedWith(instance string) *link {
	if !m.cfg.ShareConnections {
		return nil
	}
	return m.shared(instance)
}

// opener names the instance that opened a connection.
func (m *Mesh) opener(k *link) string {
	if k.opened {
		return m.cfg.Self.Instance()
	}
	return k.peer.Instance()
}

// fresh reports whether a connection was heard lately.
func (m *Mesh) fresh(k *link, now time.Duration) bool {
	return now-k.heardAt() < m.cfg.SilenceTimeout(k.peer.Instance())/2
}

// EncodedFrame is a frame as it stands on the wire, to be sent to many peers.
type EncodedFrame struct {
	raw  []byte
	kind string
	lane int
}

// EncodeFrame encodes a frame that wants no reply.
func EncodeFrame(f *Frame) (EncodedFrame, error) {
	raw, err := AppendFrame(nil, f)
	return EncodedFrame{raw, KindOf(f), laneOf(f)}, err
}

// SendHeartbeat sends a heartbeat on every open connection to one incarnation. The errors
// are those of TrySend.
func (m *Mesh) SendHeartbeat(peer fate.Incarnation, e EncodedFrame) error {
	sent := false
	for _, k := range m.linksTo(peer.Instance()) {
		if k.peer == peer && k.lanes[e.lane].sendRaw(e.raw) == nil {
			m.cfg.CountSent(e.kind)
			sent = true
		}
	}
	if sent {
		m.tend(peer.Instance())
		return nil
	}
	_, err := m.opened(peer)
	return err
}

// tend closes the connections to an instance that are silent while another is
// heard, and spare ones that it opened itself and nobody uses.
func (m *Mesh) tend(instance string) {
	links := m.linksTo(instance)
	if len(links) < 2 {
		return
	}
	now, best := steady(), m.shared(instance)
	if best == nil || !m.fresh(best, now) {
		return
	}
	for _, k := range links {
		silent := now-k.heardAt() >= m.cfg.SilenceTimeout(k.peer.Instance())
		spare := k.opened && now-k.calledAt() >= idleSpare
		if k != best && (silent || spare) {
			k.close()
		}
	}
}

// SendOnNewConnection opens another connection to an instance whose open ones may have gone
// silent, and sends f there. The errors are those of Connect.
func (m *Mesh) SendOnNewConnection(instance string, f *Frame) error {
	d, err := m.slot(instance)
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	k, err := m.dial(instance)
	if err != nil {
		return err
	}
	d.link, d.err = k, nil
	m.cfg.CountSent(KindOf(f))
	return k.send(f)
}
