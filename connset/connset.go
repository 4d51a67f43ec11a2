// Package connset tracks the open connections of a server or client, which can then
// close all of them at once when it stops. Otherwise connections that are blocked in a
// read or a write would stay open.
package connset

import (
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"

	"github.com/sedgehatch/sedgehatch/failure"
)

// Set is a set of open connections. A connection that is closed is removed from it. The
// zero value is ready to use.
type Set struct {
	mu           sync.Mutex
	open         map[*conn]struct{}
	closed       bool
	bytesRead    atomic.Int64
	bytesWritten atomic.Int64
}

type conn struct {
	net.Conn
	set *Set
}

// Bytes returns how many bytes have been read from and written to the connections in the
// set, including those that are closed by now.
func (s *Set) Bytes() (read, written int64) { return s.bytesRead.Load(), s.bytesWritten.Load() }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.set.bytesRead.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.set.bytesWritten.Add(int64(n))
	return n, err
}

// SyscallConn implements syscall.Conn. It returns the errors of Socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return Socket(c.Conn) }

// Socket returns the operating system's socket of v, a connection or listener. The error is
// Internal if v gives no access to its socket, for example because it is wrapped by another
// library.
func Socket(v any) (syscall.RawConn, error) {
	sys, ok := v.(syscall.Conn)
	if !ok {
		return nil, failure.Internal.New("%T gives no access to its socket", v)
	}
	return sys.SyscallConn()
}

// Close closes the connection and removes it from the set.
func (c *conn) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}

// Add adds c to the set and returns the connection to use in its place. If the set
// is closed, Add closes c and returns an Unreachable error.
func (s *Set) Add(c net.Conn) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return nil, failure.Unreachable.New("the connection set is closed")
	}
	if s.open == nil {
		s.open = map[*conn]struct{}{}
	}
	tracked := &conn{c, s}
	s.open[tracked] = struct{}{}
	return tracked, nil
}

// Dial returns a function that opens a connection by calling dial and adds it to the set.
func (s *Set) Dial(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		c, err := dial(address)
		if err != nil {
			return nil, err
		}
		return s.Add(c)
	}
}

// Listener returns a listener that adds the connections accepted by l to the set.
func (s *Set) Listener(l net.Listener) net.Listener { return &listener{l, s} }

type listener struct {
	net.Listener
	set *Set
}

// SyscallConn implements syscall.Conn. It returns the errors of Socket.
func (l *listener) SyscallConn() (syscall.RawConn, error) { return Socket(l.Listener) }

// Accept waits for the next connection and adds it to the set.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.set.Add(c)
}

// Close closes all connections in the set. Connections added later are closed at once.
func (s *Set) Close() {
	s.mu.Lock()
	s.closed = true
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}
