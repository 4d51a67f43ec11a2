package ingress

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/sedgehatch/sedgehatch/connset"
	"github.com/sedgehatch/sedgehatch/failure"

	"golang.org/x/sys/unix"
)

// watchedListener makes connections whose end can be noticed while a request on
// them is being answered.
type watchedListener struct{ net.Listener }

// newWatchedListener returns l with its connections watched. The error is Internal where
// the operating system does not tell how a socket of l stands: a wrapper without a
// descriptor is in between, or the system refuses the question.
func newWatchedListener(l net.Listener) (*watchedListener, error) {
	raw, err := connset.Socket(l)
	if err != nil {
		return nil, err
	}
	var refused error
	err = raw.Control(func(fd uintptr) { _, refused = peerEnded(int32(fd)) })
	if err := errors.Join(err, refused); err != nil {
		return nil, failure.Internal.Wrap(err, "the system does not tell how a socket stands")
	}
	return &watchedListener{l}, nil
}

// Accept returns the next connection. The error is Internal where the system cannot be
// asked about it.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	raw, err := connset.Socket(c)
	if err != nil {
		_ = c.Close() // nothing was read of it, and err tells why
		return nil, err
	}
	return &watchedConn{Conn: c, raw: raw}, nil
}

// watchedConn reads one byte ahead while it is watched, and gives that byte to
// the next read.
type watchedConn struct {
	net.Conn
	raw   syscall.RawConn
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
// nothing. A connection that the system does not tell about counts as ended: a task that
// is not started can be sent again, one that runs twice cannot be taken back.
func (c *watchedConn) hasEnded() bool {
	ended := true
	err := c.raw.Control(func(fd uintptr) {
		gone, refused := peerEnded(int32(fd))
		ended = gone || refused != nil
	})
	return ended || err != nil // an error tells that it is closed here
}

// peerEnded asks the system whether the other end of a socket is gone.
func peerEnded(fd int32) (bool, error) {
	asked := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(asked, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return asked[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0, err
	}
}

// hasLeft returns what tells at once whether the customer on a connection has left. On a
// connection that is not watched it has.
func hasLeft(conn net.Conn) func() bool {
	c, watched := conn.(*watchedConn)
	if !watched {
		return func() bool { return true }
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
