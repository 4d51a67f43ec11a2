// Package soak runs the real daemon as separate processes against the emulated
// platform, injects faults from outside, and checks from what customers and
// upstreams see that every promise is kept.
package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/connset"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// Mode is what a Proxy does to the bytes that pass.
type Mode int32

// The modes.
const (
	Pass    Mode = iota
	Delay        // each piece of bytes is held for a while
	Silence      // nothing passes, connections stay open
	OneWay       // only requests pass
	Refuse       // connections are reset
	modes   = 5
)

// heldFor is how long Delay holds bytes.
const heldFor = 60 * time.Millisecond

// silencePoll is how often a silenced connection looks whether it may go on.
const silencePoll = 10 * time.Millisecond

// Proxy passes connections on to one address.
type Proxy struct {
	Address string
	target  string
	mode    atomic.Int32
	closed  atomic.Bool
	l       *standin.BlackholeListener
	conns   connset.Set
	running sync.WaitGroup
}

// NewProxy starts a proxy on loopback to target.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), target: target, l: standin.NewBlackholeListener(l)}
	p.running.Go(p.accept)
	return p, nil
}

// Set changes the mode. Refuse also resets what is open.
func (p *Proxy) Set(m Mode) { p.mode.Store(int32(m)) }

// SilenceOpen makes the open connections pass nothing any more, for good; new ones
// work.
func (p *Proxy) SilenceOpen() { p.l.BlackholeOpen() }

// Close ends the proxy and its connections.
func (p *Proxy) Close() {
	p.closed.Store(true)
	_ = p.l.Close() // a second close changes nothing
	p.conns.Close()
	p.running.Wait()
}

func (p *Proxy) current() Mode { return Mode(p.mode.Load()) }

func (p *Proxy) accept() {
	for {
		from, err := p.l.Accept()
		if err != nil {
			return
		}
		p.running.Go(func() { p.pass(from) })
	}
}

func (p *Proxy) pass(from net.Conn) {
	from, err := p.conns.Add(from)
	if err != nil {
		return
	}
	defer reset(from)
	if p.current() == Refuse {
		return
	}
	to, err := net.DialTimeout("tcp4", p.target, time.Second)
	if err != nil {
		return
	}
	to, err = p.conns.Add(to)
	if err != nil {
		return
	}
	defer reset(to)
	var both sync.WaitGroup
	both.Go(func() { p.copy(to, from, true); reset(to) })
	both.Go(func() { p.copy(from, to, false); reset(from) })
	both.Wait()
}

// reset closes a connection so that its peer sees an error at once.
func reset(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is {
		_ = tcp.SetLinger(0) // it is closed next anyway
	}
	_ = c.Close()
}

// copy passes bytes as the mode of the moment has it.
func (p *Proxy) copy(to, from net.Conn, request bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil || !p.hold(request) {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// hold waits until bytes may pass, and reports false where they never do.
func (p *Proxy) hold(request bool) bool {
	for {
		switch mode := p.current(); {
		case mode == Refuse, p.closed.Load():
			return false
		case mode == Delay:
			time.Sleep(heldFor)
			return true
		case mode == Silence, mode == OneWay && !request:
			time.Sleep(silencePoll)
		default:
			return true
		}
	}
}
