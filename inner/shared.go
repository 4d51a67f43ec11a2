package inner

import (
	"cmp"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
)

// This file chooses among several connections to the same peer. A mesh with
// Config.ShareConnections sends on any open connection to a peer, no matter which side opened
// it, and sends heartbeats on all of them. If frames arrive on one connection but not on
// another, the peer is alive and the other connection is broken: the mesh sends on the first
// and closes the broken one.

// spareIdleTimeout is how long a connection that is not the best one to its peer is kept after
// the last call on it. It has to be longer than any job: the result of a job arrives on the
// connection on which the call was made, and would be lost if the connection were closed before.
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

// bestConnection returns the open connection to an instance on which to send, or nil if none
// is open. If frames arrived recently on several connections, it returns the newest of those
// that the instance with the lower name opened. If frames arrived recently on none, it returns
// the one with the latest frame. Both ends choose the same connection as long as the
// connections on which frames arrive are the same at both ends.
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

// EncodedFrame is a frame in its wire encoding, for sending it to many peers without encoding
// it for each.
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

// SendHeartbeat sends the heartbeat e on every open connection to an incarnation, and then
// closes the connections to the instance that are no longer needed. If there is no connection
// to send e on, it starts to open one, and the errors are those of TrySend.
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

// closeUnneeded closes the connections to an instance that are no longer needed, provided that
// a frame arrived recently on the best connection. Of the other connections, it closes:
//   - those on which no frame arrived within the silence timeout;
//   - those that this instance opened and on which it has made no call for spareIdleTimeout.
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

// SendOnNewConnection opens another connection to an instance and sends f on it. It is meant
// for a peer that no longer responds: a connection may be broken although it still counts as
// open. The errors are those of Connect and Send.
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
