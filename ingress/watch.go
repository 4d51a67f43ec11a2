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
// Internal error if the state of its socket cannot be queried, either because l is a wrapper
// that hides the file descriptor or because poll fails.
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
		_ = c.Close() // an error does not matter: nothing was read from the connection
		return nil, err
	}
	return &watchedConn{Conn: c, raw: raw}, nil
}

// watchedConn is a connection that can be watched for its end while a request is being
// handled. A goroutine of watchDisconnect does this by reading one byte ahead. If a byte
// arrives, it belongs to the next request, and the next Read returns it.
type watchedConn struct {
	net.Conn
	raw      syscall.RawConn
	mu       sync.Mutex
	buffered []byte // the byte read ahead, if any
	readErr  error  // with which reading ahead ended
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
// operating system knows now. It reads nothing. It is needed in addition to watchDisconnect,
// whose goroutine may not have noticed the end: it may not have been scheduled since, or it
// has stopped because a byte of the next request has arrived. A connection whose state cannot
// be queried counts as closed, because a job that does not run can be sent again, whereas a
// task that runs twice cannot be undone.
func (c *watchedConn) isPeerClosed() bool {
	closed := true
	err := c.raw.Control(func(fd uintptr) {
		hungUp, pollErr := pollPeerClosed(int32(fd))
		closed = hungUp || pollErr != nil
	})
	return closed || err != nil // err is set if this side has closed the connection
}

// pollPeerClosed reports, without waiting, whether the peer of a socket has closed or reset
// the connection.
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
// conn has closed it. If conn is not a watchedConn, this is unknown and the function always
// returns true, so that no job runs for a customer that may have disconnected.
func disconnectCheck(conn net.Conn) func() bool {
	c, watched := conn.(*watchedConn)
	if !watched {
		return func() bool { return true }
	}
	return c.isPeerClosed
}

// watchDisconnect watches conn and returns a channel that is closed once the peer has closed
// conn. The caller must call stop before it reads from conn again. If conn is not a
// watchedConn, the channel is never closed.
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
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0)) // interrupts readAhead; an error means that the connection is closed, so that readAhead fails anyway
		<-finished
		_ = c.Conn.SetReadDeadline(time.Time{}) // fails only on a closed connection; the next read then fails too
	}
}

// readAhead reads one byte ahead, until stop interrupts it. It returns true if the connection
// has ended, and false if a byte has arrived or the read was interrupted.
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
