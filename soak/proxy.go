// Package soak runs the real daemon in separate processes against an emulated platform,
// injects faults from outside, and checks the invariants of the product from what customers
// and upstreams observe.
package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/connset"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// Mode is what a Proxy does with the data that it receives.
type Mode int32

// The modes of a Proxy.
const (
	Forward       Mode = iota // forwards all data at once
	Delay                     // forwards all data after forwardDelay
	Hold                      // holds all data, with open connections, until the mode changes
	HoldResponses             // forwards requests and holds responses until the mode changes
	Reset                     // resets connections
	modeCount     = 5
)

// forwardDelay is how long data is held in mode Delay.
const forwardDelay = 60 * time.Millisecond

// pollInterval is the interval at which the package checks conditions that it waits for, such
// as whether a connection may forward data again.
const pollInterval = 10 * time.Millisecond

// Proxy is a TCP proxy that forwards connections to one address and can disturb them.
type Proxy struct {
	Address  string
	target   string
	mode     atomic.Int32
	closed   atomic.Bool
	listener *standin.BlackholeListener
	conns    connset.Set
	running  sync.WaitGroup
}

// NewProxy starts a proxy to target that listens on a loopback address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: l.Addr().String(), target: target, listener: standin.NewBlackholeListener(l)}
	p.running.Go(p.accept)
	return p, nil
}

// SetMode changes the mode, also for open connections. In mode Reset, an open connection is
// reset as soon as it receives data or has data on hold.
func (p *Proxy) SetMode(m Mode) { p.mode.Store(int32(m)) }

// BlackholeOpenConnections makes the connections that are open now drop all data from then on, without
// a reset. New connections are not affected.
func (p *Proxy) BlackholeOpenConnections() { p.listener.BlackholeOpenConnections() }

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	p.closed.Store(true)
	_ = p.listener.Close() // the error of a second Close does not matter
	p.conns.Close()
	p.running.Wait()
}

func (p *Proxy) currentMode() Mode { return Mode(p.mode.Load()) }

func (p *Proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.running.Go(func() { p.forward(from) })
	}
}

func (p *Proxy) forward(from net.Conn) {
	from, err := p.conns.Add(from)
	if err != nil {
		return
	}
	defer reset(from)
	if p.currentMode() == Reset {
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

// reset closes a connection with a TCP reset, so that the peer sees an error at once.
func reset(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is {
		_ = tcp.SetLinger(0) // if it fails, the connection is still closed below
	}
	_ = c.Close()
}

// copy forwards data in one direction, subject to the current mode, until either connection
// fails or the mode requires a reset.
func (p *Proxy) copy(to, from net.Conn, request bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil || !p.waitToForward(request) {
			return
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}

// waitToForward waits until data may be forwarded. It returns false if the connection must be
// closed instead.
func (p *Proxy) waitToForward(request bool) bool {
	for {
		switch mode := p.currentMode(); {
		case mode == Reset, p.closed.Load():
			return false
		case mode == Delay:
			time.Sleep(forwardDelay)
			return true
		case mode == Hold, mode == HoldResponses && !request:
			time.Sleep(pollInterval)
		default:
			return true
		}
	}
}
