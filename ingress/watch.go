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

// watchedListener accepts connections whose end can be detected while a request on them is
// being handled.
type watchedListener struct{ net.Listener }

// newWatchedListener returns a listener that wraps the connections of l. It returns an
// Internal error if the operating system cannot report the state of the sockets: l is a
// wrapper that hides the file descriptor, or poll fails.
func newWatchedListener(l net.Listener) (*watchedListener, error) {
	raw, err := connset.Socket(l)
	if err != nil {
		return nil, err
	}
	var pollErr error
	err = raw.Control(func(fd uintptr) { _, pollErr = pollPeerClosed(int32(fd)) })
	if err := errors.Join(err, pollErr); err != nil {
		return nil, failure.Internal.Wrap(err, "cannot query the state of the listening socket")
	}
	return &watchedListener{l}, nil
}

// Accept implements net.Listener. It returns an Internal error if the connection hides its
// file descriptor.
func (l *watchedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	raw, err := connset.Socket(c)
	if err != nil {
		_ = c.Close() // nothing was read from it, and err reports the failure
		return nil, err
	}
	return &watchedConn{Conn: c, raw: raw}, nil
}

// watchedConn is a connection that reads one byte ahead to detect its end while it is
// watched. The next Read returns that byte.
type watchedConn struct {
	net.Conn
	raw      syscall.RawConn
	mu       sync.Mutex
	buffered []byte
	readErr  error
}

// Read implements net.Conn.
func (c *watchedConn) Read(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.buffered) > 0 && len(p) > 0 {
		p[0] = c.buffered[0]
		c.buffered = nil
		return 1, nil
	}
	if c.readErr != nil {
		return 0, c.readErr
	}
	return c.Conn.Read(p)
}

// isPeerClosed reports whether the peer has closed or reset the connection, as far as the
// operating system knows now. The goroutine of watchDisconnect may not have been scheduled
// yet, or has ended because the next request has arrived. isPeerClosed reads nothing. A
// connection whose state cannot be queried counts as closed: a task that is not started can
// be sent again, but one that runs twice cannot be undone.
func (c *watchedConn) isPeerClosed() bool {
	closed := true
	err := c.raw.Control(func(fd uintptr) {
		hungUp, pollErr := pollPeerClosed(int32(fd))
		closed = hungUp || pollErr != nil
	})
	return closed || err != nil // an error means that this side has closed the connection
}

// pollPeerClosed reports whether the peer of a socket has closed or reset it.
func pollPeerClosed(fd int32) (bool, error) {
	fds := []unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	for {
		_, err := unix.Poll(fds, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return fds[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0, err
	}
}

// disconnectCheck returns a function that reports, without blocking, whether the peer of
// conn has closed it. The function always returns true if conn is not a watchedConn.
func disconnectCheck(conn net.Conn) func() bool {
	c, watched := conn.(*watchedConn)
	if !watched {
		return func() bool { return true }
	}
	return c.isPeerClosed
}

// watchDisconnect returns a channel that is closed once the peer of conn has closed it. The
// caller must call stop before it reads from conn again.
func watchDisconnect(conn net.Conn) (disconnected <-chan struct{}, stop func()) {
	closed := make(chan struct{})
	c, watched := conn.(*watchedConn)
	if !watched {
		return closed, func() {}
	}
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		if c.readAhead() {
			close(closed)
		}
	}()
	return closed, func() {
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // interrupts the read; an error means that it has failed already
		<-finished
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, as the next read will
	}
}

// readAhead waits for one byte, and reports whether the connection ended before one arrived.
func (c *watchedConn) readAhead() bool {
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 {
		c.buffered = b[:n]
		return false
	}
	if netErr, ok := err.(net.Error); ok && netErr.Timeout() {
		return false
	}
	c.readErr = err
	return true
}
