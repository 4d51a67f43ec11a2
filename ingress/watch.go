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
// being handled. Accept must not be called concurrently.
type watchedListener struct {
	net.Listener
	raw       syscall.RawConn
	suspended func() time.Duration // as Clock.Suspended
	// suspendedBefore is a result of suspended from before every connection in the accept
	// queue was established.
	suspendedBefore time.Duration
}

// newWatchedListener returns a listener that wraps the connections of l. Suspended is as
// Clock.Suspended. It returns an Internal error if the state of its socket cannot be queried,
// either because l is a wrapper that hides the file descriptor or because poll fails.
func newWatchedListener(l net.Listener, suspended func() time.Duration) (*watchedListener, error) {
	raw, err := connset.Socket(l)
	if err != nil {
		return nil, err
	}
	var pollErr error
	err = raw.Control(func(fd uintptr) { _, pollErr = pollPeerClosed(int32(fd)) })
	if err := errors.Join(err, pollErr); err != nil {
		return nil, failure.Internal.Wrap(err, "cannot query the state of the listening socket")
	}
	return &watchedListener{Listener: l, raw: raw, suspended: suspended}, nil
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
	return &watchedConn{Conn: c, raw: raw, suspendedBefore: l.nextSuspendedBefore()}, nil
}

// nextSuspendedBefore returns suspendedBefore for the connection that has just been accepted. The
// connection may have been in the accept queue since before a suspension of the machine, and so
// may all others until the queue has been empty once after it.
func (l *watchedListener) nextSuspendedBefore() time.Duration {
	before := l.suspendedBefore
	total := l.suspended()
	if suspendedSince(before, total) && !l.hasPending() {
		l.suspendedBefore = total
	}
	return before
}

// hasPending reports whether there are connections in the accept queue, as far as the operating
// system can tell.
func (l *watchedListener) hasPending() bool {
	pending := true
	err := l.raw.Control(func(fd uintptr) {
		events, pollErr := pollSocket(int32(fd), unix.POLLIN)
		pending = pollErr != nil || events != 0
	})
	return pending || err != nil // err is set if the listener is closed
}

// watchedConn is a connection that can be watched for its end while a request is being
// handled. A goroutine of watchDisconnect does this by reading one byte ahead. If a byte
// arrives, it belongs to the next request, and the next Read returns it.
type watchedConn struct {
	net.Conn
	raw             syscall.RawConn
	suspendedBefore time.Duration // Request.SuspendedBefore

	mu       sync.Mutex // guards the fields below
	buffered []byte     // the byte read ahead, if any
	readErr  error      // with which reading ahead ended
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
	events, err := pollSocket(fd, unix.POLLRDHUP)
	return events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR|unix.POLLNVAL) != 0, err
}

// pollSocket returns, without waiting, which of the given events and of those that poll always
// reports have occurred on a socket.
func pollSocket(fd int32, events int16) (int16, error) {
	fds := []unix.PollFd{{Fd: fd, Events: events}}
	for {
		_, err := unix.Poll(fds, 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return fds[0].Revents, err
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

// suspendedBefore returns how long the machine had been suspended in all when the peer of conn
// connected. It returns 0 if conn is not a watchedConn, for which disconnectCheck suffices.
func suspendedBefore(conn net.Conn) time.Duration {
	if c, watched := conn.(*watchedConn); watched {
		return c.suspendedBefore
	}
	return 0
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
