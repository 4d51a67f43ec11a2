package main

import (
	"io"
	"net"
	"sync"
)

// forwarder is an address that stays the same when one upstream process follows another: it
// forwards each connection to the present process.
type forwarder struct {
	address  string
	listener net.Listener

	mu     sync.Mutex
	target string // "" while no process runs
	open   map[net.Conn]bool
}

func newForwarder(target string) (*forwarder, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &forwarder{address: l.Addr().String(), listener: l, target: target, open: map[net.Conn]bool{}}
	go f.accept()
	return f, nil
}

// setTarget ends the connections to the former process and forwards new ones to target. If target is
// "", new connections are reset.
func (f *forwarder) setTarget(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.target = target
	for c := range f.open {
		closeWithReset(c)
	}
	clear(f.open)
}

func (f *forwarder) close() {
	_ = f.listener.Close()
	f.setTarget("")
}

func (f *forwarder) accept() {
	for {
		from, err := f.listener.Accept()
		if err != nil {
			return
		}
		go f.forward(from)
	}
}

func (f *forwarder) forward(from net.Conn) {
	f.mu.Lock()
	target := f.target
	f.mu.Unlock()
	if target == "" {
		closeWithReset(from)
		return
	}
	to, err := net.Dial("tcp4", target)
	if err != nil {
		closeWithReset(from)
		return
	}
	f.mu.Lock()
	if f.target != target {
		f.mu.Unlock()
		closeWithReset(from)
		closeWithReset(to)
		return
	}
	f.open[from], f.open[to] = true, true
	f.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { _, _ = io.Copy(to, from); closeWithReset(to) })
	both.Go(func() { _, _ = io.Copy(from, to); closeWithReset(from) })
	both.Wait()
	f.mu.Lock()
	delete(f.open, from)
	delete(f.open, to)
	f.mu.Unlock()
}

// closeWithReset closes a connection so that the peer sees it at once.
func closeWithReset(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is {
		_ = tcp.SetLinger(0) // if it fails, the connection is still closed below
	}
	_ = c.Close()
}
