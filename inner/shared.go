package inner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
)

// A mesh with Config.ShareConnections sends on any open connection to a peer, no matter
// which side opened it. Heartbeats are sent on all of them. If one connection is silent
// while frames still arrive on another, the peer is alive: the other connection is used
// and the silent one is closed.

// spareIdleTimeout is how long an additional connection to a peer is kept after the last
// call on it. It is longer than any job whose result may still arrive on the connection.
const spareIdleTimeout = 15 * time.Second

// addConnection adds c to the open connections to its peer. m.mu must be held.
func (m *Mesh) addConnection(c *connection) {
	c.markReceived()
	name := c.peer.Instance()
	m.open[name] = append(m.open[name], c)
}

func (m *Mesh) removeConnection(c *connection) {
	name := c.peer.Instance()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.open[name] = slices.DeleteFunc(m.open[name], func(o *connection) bool { return o == c })
	if len(m.open[name]) == 0 {
		delete(m.open, name)
	}
}

// connectionsTo returns the open connections to an instance.
func (m *Mesh) connectionsTo(instance string) []*connection {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(m.open[instance]), (*connection).isClosed)
}

// bestConnection returns the open connection to an instance that is to be used, or nil if
// there is none. Both ends choose the same connection as long as frames arrive at both ends
// on the same connections. Connections on which a frame arrived recently are preferred;
// among them, those that the instance with the lower name opened, and then the newest.
func (m *Mesh) bestConnection(instance string) *connection {
	connections := m.connectionsTo(instance)
	if len(connections) == 0 {
		return nil
	}
	now := monotonic()
	return slices.MinFunc(connections, func(a, b *connection) int {
		aFresh, bFresh := m.receivedRecently(a, now), m.receivedRecently(b, now)
		switch {
		case aFresh && !bFresh:
			return -1
		case bFresh && !aFresh:
			return 1
		case !aFresh:
			return cmp.Compare(b.lastReceivedAt(), a.lastReceivedAt())
		}
		return cmp.Or(cmp.Compare(m.opener(a), m.opener(b)), cmp.Compare(b.id, a.id))
	})
}

// sharedConnection is like bestConnection, but returns nil if connections are not shared.
func (m *Mesh) sharedConnection(instance string) *connection {
	if !m.cfg.ShareConnections {
		return nil
	}
	return m.bestConnection(instance)
}

// opener returns the name of the instance that opened a connection.
func (m *Mesh) opener(c *connection) string {
	if c.openedHere {
		return m.cfg.Self.Instance()
	}
	return c.peer.Instance()
}

// receivedRecently reports whether a frame arrived on c within half of the silence timeout.
func (m *Mesh) receivedRecently(c *connection, now time.Duration) bool {
	return now-c.lastReceivedAt() < m.cfg.SilenceTimeout(c.peer.Instance())/2
}

// EncodedFrame is the wire encoding of a frame, which can be sent to many peers.
type EncodedFrame struct {
	raw  []byte
	kind string
	lane int
}

// EncodeFrame encodes a one-way message.
func EncodeFrame(f *Frame) (EncodedFrame, error) {
	raw, err := AppendFrame(nil, f)
	return EncodedFrame{raw, KindOf(f), laneOf(f)}, err
}

// SendHeartbeat sends a heartbeat on every open connection to an incarnation, and then
// closes connections to its instance that are not needed. The errors are those of TrySend.
func (m *Mesh) SendHeartbeat(peer fate.Incarnation, e EncodedFrame) error {
	sent := false
	for _, c := range m.connectionsTo(peer.Instance()) {
		if c.peer == peer && c.lanes[e.lane].sendRaw(e.raw) == nil {
			m.cfg.CountSent(e.kind)
			sent = true
		}
	}
	if sent {
		m.closeUnneeded(peer.Instance())
		return nil
	}
	_, err := m.connectionOrStartDial(peer)
	return err
}

// closeUnneeded does nothing unless a frame arrived recently on the best connection to an
// instance. Otherwise it closes the other connections that are silent, and those that this
// instance opened and on which it has made no call for spareIdleTimeout.
func (m *Mesh) closeUnneeded(instance string) {
	connections := m.connectionsTo(instance)
	if len(connections) < 2 {
		return
	}
	now, best := monotonic(), m.bestConnection(instance)
	if best == nil || !m.receivedRecently(best, now) {
		return
	}
	for _, c := range connections {
		silent := now-c.lastReceivedAt() >= m.cfg.SilenceTimeout(c.peer.Instance())
		spare := c.openedHere && now-c.lastCallAt() >= spareIdleTimeout
		if c != best && (silent || spare) {
			c.close()
		}
	}
}

// SendOnNewConnection opens another connection to an instance and sends f on it. It is used
// when the open connections may be broken without notice. The errors are those of Connect.
func (m *Mesh) SendOnNewConnection(instance string, f *Frame) error {
	state, err := m.dialStateOf(instance)
	if err != nil {
		return err
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	c, err := m.dial(instance)
	if err != nil {
		return err
	}
	state.connection, state.lastErr = c, nil
	m.cfg.CountSent(KindOf(f))
	return c.send(f)
}
