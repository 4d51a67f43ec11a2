package inner

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"github.com/hashicorp/yamux"
)

// atAddressPrefix marks the name of a peer as an address, which stands for whichever instance
// listens there.
const atAddressPrefix = "@"

// PeerAtAddress returns a name for whichever instance listens at an address. It can be used in
// place of an incarnation to send to a peer of which only the address is known.
func PeerAtAddress(address string) fate.Incarnation {
	return fate.Incarnation(atAddressPrefix + address)
}

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // heartbeats detect broken connections
	c.LogOutput = io.Discard
	return c
}

// accept performs the handshake on a connection that a peer opened, and then handles the
// frames of the connection until it is closed.
func (m *Mesh) accept(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(m.cfg.DialTimeout))
	session, err := yamux.Server(&coalescingConn{Conn: conn}, muxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	c, err := m.serverHandshake(session)
	if err != nil {
		_ = session.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	if !m.addUnlessClosed(c) {
		c.close()
		return
	}
	m.serve(c)
}

// serve reads and handles the frames of an open connection until the connection is closed.
func (m *Mesh) serve(c *connection) {
	c.readLanes(func(f *Frame) { m.handleFrame(c, f) })
	m.removeConnection(c)
	m.notifyClosed(c)
}

// addUnlessClosed adds a connection to the open ones. It reports false if the mesh is closed.
func (m *Mesh) addUnlessClosed(c *connection) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.addConnection(c)
	return true
}

// serverHandshake checks the hello that the peer sends on each stream and replies with
// the hello of this instance.
func (m *Mesh) serverHandshake(session *yamux.Session) (*connection, error) {
	var streams [laneCount]net.Conn
	var hello *Hello
	for i := range streams {
		s, err := session.Accept()
		if err != nil {
			return nil, failure.Protocol.Wrap(err, "the peer opened too few streams")
		}
		streams[i] = s
		f, err := ReadFrame(bufio.NewReaderSize(s, frameHeaderBytes))
		if err != nil || f.GetHello() == nil {
			return nil, failure.Protocol.New("the first frame of a stream is not a hello")
		}
		hello = f.GetHello()
		if problem := m.checkHello(hello); problem != nil {
			writeFrame(s, &Frame{Body: &Frame_Problem{FromError(problem)}})
			return nil, problem
		}
		writeFrame(s, &Frame{Body: &Frame_Hello{m.ownHello()}})
	}
	m.cfg.OnHello(hello)
	return newConnection(session, streams, hello, &m.sendState), nil
}

func writeFrame(w io.Writer, f *Frame) {
	if buf, err := AppendFrame(nil, f); err == nil {
		_, _ = w.Write(buf)
	}
}

func (m *Mesh) ownHello() *Hello {
	return &Hello{
		Fleet: m.cfg.Fleet, Version: Version, Incarnation: string(m.cfg.Self),
		Region: m.cfg.Region, Zone: m.cfg.Zone, Rack: m.cfg.Rack, Address: m.cfg.Address, ClockMs: m.cfg.ClockMs(),
	}
}

// checkHello returns a Refused error if the peer belongs to another fleet or uses another
// version of the protocol.
func (m *Mesh) checkHello(h *Hello) error {
	if h.GetFleet() != m.cfg.Fleet {
		return failure.Field(failure.Refused, "fleet", "this instance belongs to fleet %q, the peer to %q", m.cfg.Fleet, h.GetFleet())
	}
	if h.GetVersion() != Version {
		return failure.Field(failure.Refused, "version", "this instance uses version %d of the protocol, the peer version %d", Version, h.GetVersion())
	}
	return nil
}

// dial opens a connection to an instance and starts reading its frames. The error is Gone if
// nothing listens at the address of the instance. If the peer refuses the connection, the
// error is the one that it replied. All other errors are Unreachable.
func (m *Mesh) dial(instance string) (*connection, error) {
	address, byAddress := strings.CutPrefix(instance, atAddressPrefix)
	found := byAddress
	if !byAddress {
		address, found = m.cfg.Resolver.Address(instance)
	}
	if !found {
		return nil, failure.Unreachable.New("the address of instance %s is unknown", instance)
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.DialTimeout)
	defer cancel()
	conn, err := m.cfg.Dial(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, failure.Gone.Wrap(err, "instance %s is not running", instance)
	}
	if err != nil {
		return nil, failure.Unreachable.Wrap(err, "cannot connect to instance %s", instance)
	}
	_ = conn.SetDeadline(time.Now().Add(m.cfg.DialTimeout))
	c, err := m.clientHandshake(conn, instance)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	c.openedHere = true
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		c.close()
		return nil, failure.Unreachable.New("this instance has closed its connections to other instances")
	}
	m.addConnection(c)
	m.goroutines.Go(func() { m.serve(c) })
	return c, nil
}

// clientHandshake opens the streams of a connection and exchanges a hello on each. The error
// is Unreachable if another instance than the expected one replies.
func (m *Mesh) clientHandshake(conn net.Conn, instance string) (*connection, error) {
	session, err := yamux.Client(&coalescingConn{Conn: conn}, muxConfig())
	if err != nil {
		return nil, failure.Unreachable.Wrap(err, "cannot start a yamux session with instance %s", instance)
	}
	var streams [laneCount]net.Conn
	var hello *Hello
	for i := range streams {
		s, err := session.Open()
		if err != nil {
			return nil, failure.Unreachable.Wrap(err, "cannot open a stream to instance %s", instance)
		}
		streams[i] = s
		writeFrame(s, &Frame{Body: &Frame_Hello{m.ownHello()}})
		f, err := ReadFrame(bufio.NewReaderSize(s, frameHeaderBytes))
		if err != nil {
			return nil, failure.Unreachable.Wrap(err, "instance %s did not reply to the hello", instance)
		}
		if f.GetProblem() != nil {
			return nil, ToError(f.GetProblem())
		}
		hello = f.GetHello()
	}
	m.cfg.OnHello(hello)
	c := newConnection(session, streams, hello, &m.sendState)
	if c.peer.Instance() != instance && !strings.HasPrefix(instance, atAddressPrefix) {
		return nil, failure.Unreachable.New("%s responds at the address of %s", c.peer, instance)
	}
	return c, nil
}
