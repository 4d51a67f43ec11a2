package main

import (
	"io"
	"net"
	"sync"
)

// forwarder forwards connections to an upstream. It can hold the answers of the upstream, as a cut in
// one direction does, and delivers them when the cut heals.
type forwarder struct {
	address  string
	target   string
	listener net.Listener

	mu   sync.Mutex
	held chan struct{} // if not nil, answers are held until it is closed
}

func newForwarder(target string) (*forwarder, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	f := &forwarder{address: l.Addr().String(), target: target, listener: l}
	go f.accept()
	return f, nil
}

func (f *forwarder) close() {
	_ = f.listener.Close()
	f.holdAnswers(false)
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
	to, err := net.Dial("tcp4", f.target)
	if err != nil {
		closeWithReset(from)
		return
	}
	var both sync.WaitGroup
	both.Go(func() { _, _ = io.Copy(to, from); closeWithReset(to) })
	both.Go(func() { f.copyAnswers(from, to); closeWithReset(from) })
	both.Wait()
}

// closeWithReset closes a connection so that the peer sees it at once.
func closeWithReset(c net.Conn) {
	if tcp, is := c.(*net.TCPConn); is {
		_ = tcp.SetLinger(0) // if it fails, the connection is still closed below
	}
	_ = c.Close()
}

// holdAnswers makes the forwarder hold all answers of the process, or forwards those that it holds.
func (f *forwarder) holdAnswers(hold bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case hold && f.held == nil:
		f.held = make(chan struct{})
	case !hold && f.held != nil:
		close(f.held)
		f.held = nil
	}
}

// copyAnswers forwards answers unless they are held.
func (f *forwarder) copyAnswers(to, from net.Conn) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		f.mu.Lock()
		held := f.held
		f.mu.Unlock()
		if held != nil {
			<-held
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
