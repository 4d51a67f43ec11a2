// Package soak runs an installation of the product for some time, injects random faults, and
// checks the product's invariants from what customers and upstreams observe. The instances are
// real daemon processes. The platform around them is emulated in this process: the metadata
// store, the upstreams, which run the tasks, and the customers, which send jobs. The invariants
// include:
//   - No two runs of one task are in progress at the same time.
//   - No task of a job starts after the job was refused.
//   - All tasks of a job that was reported as completed are done.
//   - No upstream receives tasks long after it was drained or its zone was evacuated.
//   - Jobs are served again soon after the last fault.
package soak

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/connset"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// Mode is what a Proxy does with connections and the data that it receives on them.
type Mode int32

// The modes of a Proxy.
const (
	Forward       Mode = iota // forwards all data at once
	Delay                     // forwards all data after forwardDelay
	Hold                      // keeps connections open and holds all data until the mode changes
	HoldResponses             // forwards requests at once and holds responses until the mode changes
	Reset                     // resets new connections, and open ones when they have data to forward
	modeCount     = 5
)

// forwardDelay is how long each piece of data is held in mode Delay.
const forwardDelay = 60 * time.Millisecond

// pollInterval is the interval at which this package checks a condition that it waits for, such
// as whether a Proxy may forward data again.
const pollInterval = 10 * time.Millisecond

// Proxy is a TCP proxy that forwards connections to one address. Its Mode determines whether and
// how it disturbs them.
type Proxy struct {
	Address  string // address on which the proxy listens
	target   string // address to which it forwards
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

// SetMode changes the mode for new and open connections. In mode Reset, an open connection is
// reset when data arrives on it, or at once if data is being held.
func (p *Proxy) SetMode(m Mode) { p.mode.Store(int32(m)) }

// BlackholeOpenConnections makes the connections that are open now drop all data from now on, without
// closing them. New connections are not affected.
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

// reset closes a connection with a TCP reset, which the peer sees as an error at once.
func reset(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is {
		_ = tcp.SetLinger(0) // if it fails, the connection is still closed below
	}
	_ = c.Close()
}

// copy forwards data in one direction, as the current mode demands, until either connection fails
// or the mode requires a reset. Request tells whether the data is part of requests or of
// responses.
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

// waitToForward waits until data that has been received may be forwarded. Request tells whether
// the data is part of a request or of a response. It returns false if the connection must be
// reset instead.
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
