package ingress

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// watchedListener makes connections whose end can be noticed while a request on
// them is being answered.
type watchedListener struct{ net.Listener }

// Accept returns the next connection.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &watchedConn{Conn: c}, nil
}

// watchedConn reads one byte ahead while it is watched, and gives that byte to
// the next read.
type watchedConn struct {
	net.Conn
	mu    sync.Mutex
	ahead []byte
	err   error
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ahead) > 0 && len(p) > 0 {
		p[0] = c.ahead[0]
		c.ahead = nil
		return 1, nil
	}
	if c.err != nil {
		return 0, c.err
	}
	return c.Conn.Read(p)
}

// hasEnded reports whether the other side has closed the connection or reset it, as
// far as the operating system knows now: the goroutine that waits for the end may not
// have been scheduled yet, or waits no more because the next request has come. It reads
// nothing.
func (c *watchedConn) hasEnded() bool {
	sys, is := c.Conn.(syscall.Conn)
	if !is {
		return false
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false // it is closed here, or is none of the system; the watch tells
	}
	ended := false
	err = raw.Control(func(fd uintptr) { ended = peerEnded(int32(fd)) })
	return ended && err == nil
}

// peerEnded asks the system whether the other end of a socket is gone.
func peerEnded(fd int32) bool {
	asked := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(asked, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return err == nil && asked[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	}
}

// hasLeft returns what tells at once whether the customer on a connection has left.
func hasLeft(conn net.Conn) func() bool {
	c, watched := conn.(*watchedConn)
	if !watched {
		return func() bool { return false }
	}
	return c.hasEnded
}

// watch returns a channel that is closed once the peer of conn is gone. Stop
// ends the watch and must be called before conn is read again.
func watch(conn net.Conn) (gone <-chan struct{}, stop func()) {
	ended := make(chan struct{})
	c, watched := conn.(*watchedConn)
	if !watched {
		return ended, func() {}
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		if c.readAhead() {
			close(ended)
		}
	}()
	return ended, func() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // wakes the read up; a closed connection needs none
		<-finished
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, which the next read tells
	}
}

// readAhead waits for a byte, and reports whether the connection ended instead.
func (c *watchedConn) readAhead() bool {
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.ahead = b[:n]
		return false
	}
	if timeout, is := err.(net.Error); is && timeout.Timeout() {
		return false
	}
	c.err = err
	return true
}
