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

// atAddress marks the name of a peer of which only the address is known.
const atAddress = "@"

// PeerAtAddress names whoever listens at an address.
func PeerAtAddress(address string) fate.Incarnation { return fate.Incarnation(atAddress + address) }

func muxConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // heartbeats do this
	c.LogOutput = io.Discard
	return c
}

func (m *Mesh) accept(conn net.Conn) {
	_ = conn.SetDeadline(time.Now().Add(m.cfg.DialTimeout))
	session, err := yamux.Server(&joined{Conn: conn}, muxConfig())
	if err != nil {
		_ = conn.Close()
		return
	}
	k, err := m.welcome(session)
	if err != nil {
		_ = session.Close()
		return
	}
	_ = conn.SetDeadline(time.Time{})
	if !m.keep(k) {
		k.close()
		return
	}
	m.serve(k)
}

// serve takes the frames of an open connection until it closes.
func (m *Mesh) serve(k *link) {
	k.run(func(f *Frame) { m.take(k, f) })
	m.leave(k)
	m.ended(k)
}

func (m *Mesh) keep(k *link) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.enter(k)
	return true
}

// welcome checks the hello of a peer and answers it.
func (m *Mesh) welcome(session *yamux.Session) (*link, error) {
	var streams [laneCount]net.Conn
	var hello *Hello
	for i := range streams {
		s, err := session.Accept()
		if err != nil {
			return nil, failure.Protocol.Wrap(err, "a peer opened too few streams")
		}
		streams[i] = s
		f, err := ReadFrame(bufio.NewReaderSize(s, frameHead))
		if err != nil || f.GetHello() == nil {
			return nil, failure.Protocol.New("a peer did not say hello")
		}
		hello = f.GetHello()
		if problem := m.check(hello); problem != nil {
			writeFrame(s, &Frame{Body: &Frame_Problem{FromError(problem)}})
			return nil, problem
		}
		writeFrame(s, &Frame{Body: &Frame_Hello{m.hello()}})
	}
	m.cfg.OnHello(hello)
	return newLink(session, streams, hello, &m.traffic), nil
}

func writeFrame(w io.Writer, f *Frame) {
	if buf, err := AppendFrame(nil, f); err == nil {
		_, _ = w.Write(buf)
	}
}

func (m *Mesh) hello() *Hello {
	return &Hello{
		Fleet: m.cfg.Fleet, Version: Version, Incarnation: string(m.cfg.Self),
		Region: m.cfg.Region, Zone: m.cfg.Zone, Rack: m.cfg.Rack, Address: m.cfg.Address, ClockMs: m.cfg.ClockMs(),
	}
}

// check returns the typed refusal of a stranger, or nil.
func (m *Mesh) check(h *Hello) error {
	if h.GetFleet() != m.cfg.Fleet {
		return failure.Field(failure.Refused, "fleet", "this is fleet %q, not %q", m.cfg.Fleet, h.GetFleet())
	}
	if h.GetVersion() != Version {
		return failure.Field(failure.Refused, "version", "this instance speaks version %d, not %d", Version, h.GetVersion())
	}
	return nil
}

func (m *Mesh) dial(instance string) (*link, error) {
	address, byAddress := strings.CutPrefix(instance, atAddress)
	known := byAddress
	if !byAddress {
		address, known = m.cfg.Resolver.Address(instance)
	}
	if !known {
		return nil, failure.Unreachable.New("no address is known for instance %s", instance)
	}
	ctx, cancel := context.WithTimeout(context.Background(), m.cfg.DialTimeout)
	defer cancel()
	conn, err := m.cfg.Dial(ctx, address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, failure.Gone.Wrap(err, "instance %s does not run", instance)
	}
	if err != nil {
		return nil, failure.Unreachable.Wrap(err, "instance %s cannot be reached", instance)
	}
	_ = conn.SetDeadline(time.Now().Add(m.cfg.DialTimeout))
	k, err := m.introduce(conn, instance)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	_ = conn.SetDeadline(time.Time{})
	k.opened = true
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		k.close()
		return nil, failure.Unreachable.New("the mesh is closed")
	}
	m.enter(k)
	m.running.Go(func() { m.serve(k) })
	return k, nil
}

func (m *Mesh) introduce(conn net.Conn, instance string) (*link, error) {
	session, err := yamux.Client(&joined{Conn: conn}, muxConfig())
	if err != nil {
		return nil, failure.Unreachable.Wrap(err, "instance %s cannot be reached", instance)
	}
	var streams [laneCount]net.Conn
	var hello *Hello
	for i := range streams {
		s, err := session.Open()
		if err != nil {
			return nil, failure.Unreachable.Wrap(err, "instance %s gives no stream", instance)
		}
		streams[i] = s
		writeFrame(s, &Frame{Body: &Frame_Hello{m.hello()}})
		f, err := ReadFrame(bufio.NewReaderSize(s, frameHead))
		if err != nil {
			return nil, failure.Unreachable.Wrap(err, "instance %s did not answer hello", instance)
		}
		if f.GetProblem() != nil {
			return nil, ToError(f.GetProblem())
		}
		hello = f.GetHello()
	}
	m.cfg.OnHello(hello)
	k := newLink(session, streams, hello, &m.traffic)
	if k.peer.Instance() != instance && !strings.HasPrefix(instance, atAddress) {
		return nil, failure.Unreachable.New("%s answers where %s was expected", k.peer, instance)
	}
	return k, nil
}
