// Package connset closes many connections at once: those that wait for
// something would otherwise outlive their owner.
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

// Set knows open connections until they close. The zero value is ready.
type Set struct {
	mu     sync.Mutex
	open   map[*conn]struct{}
	closed bool
	read   atomic.Int64 // bytes
	wrote  atomic.Int64
}

type conn struct {
	net.Conn
	set *Set
}

// Bytes returns how many bytes all connections of the set have read and written.
func (s *Set) Bytes() (read, wrote int64) { return s.read.Load(), s.wrote.Load() }

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.set.read.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.set.wrote.Add(int64(n))
	return n, err
}

// SyscallConn implements syscall.Conn. The error is that of Socket.
func (c *conn) SyscallConn() (syscall.RawConn, error) { return Socket(c.Conn) }

// Socket returns the socket of a connection or listener as the operating system knows it.
// The error is Internal where it has none, such as behind a wrapper of another library.
func Socket(of any) (syscall.RawConn, error) {
	sys, is := of.(syscall.Conn)
	if !is {
		return nil, failure.Internal.New("%T has no socket of the system", of)
	}
	return sys.SyscallConn()
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.set.mu.Lock()
	delete(c.set.open, c)
	c.set.mu.Unlock()
	return c.Conn.Close()
}

// Add returns c as a member of the set. The error is Unreachable once the set
// is closed; c is closed then.
func (s *Set) Add(c net.Conn) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close()
		return nil, failure.Unreachable.New("the connections are closed")
	}
	if s.open == nil {
		s.open = map[*conn]struct{}{}
	}
	member := &conn{c, s}
	s.open[member] = struct{}{}
	return member, nil
}

// Dial returns dial with its connections in the set.
func (s *Set) Dial(dial func(address string) (net.Conn, error)) func(address string) (net.Conn, error) {
	return func(address string) (net.Conn, error) {
		c, err := dial(address)
		if err != nil {
			return nil, err
		}
		return s.Add(c)
	}
}

// Listener returns l with its connections in the set.
func (s *Set) Listener(l net.Listener) net.Listener { return &listener{l, s} }

type listener struct {
	net.Listener
	set *Set
}

// SyscallConn implements syscall.Conn. The error is that of Socket.
func (l *listener) SyscallConn() (syscall.RawConn, error) { return Socket(l.Listener) }

// Accept returns the next connection, in the set.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.set.Add(c)
}

// Close closes every connection, and each that would be added.
func (s *Set) Close() {
	s.mu.Lock()
	s.closed = true
	open := slices.Collect(maps.Keys(s.open))
	s.mu.Unlock()
	for _, c := range open {
		_ = c.Close()
	}
}
