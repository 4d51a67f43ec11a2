package experiment

import (
	"net"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
)

// Network gives the loopback the latencies and the cuts of availability zones.
// It wraps the connections that entries and callers open.
type Network struct {
	mu     sync.Mutex
	zones  map[string]string // by address
	cuts   map[[2]string]bool
	healed chan struct{} // closed and replaced when a cut ends
	oneWay func(from, to string) time.Duration
}

// cutDial is how long opening a connection across a cut takes to fail.
const cutDial = 200 * time.Millisecond

// NewNetwork returns a network without cuts. oneWay gives the latency between
// two zones.
func NewNetwork(oneWay func(from, to string) time.Duration) *Network {
	return &Network{zones: map[string]string{}, cuts: map[[2]string]bool{}, healed: make(chan struct{}), oneWay: oneWay}
}

// SetZone says in which zone an address is.
func (n *Network) SetZone(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Partition parts two zones: nothing passes, and nothing is lost that TCP would
// bring once the cut is over.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[pair(a, b)] = true
}

// Heal ends every cut.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cuts)
	close(n.healed)
	n.healed = make(chan struct{})
}

func (n *Network) state(a, b string) (cut bool, healed chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cuts[pair(a, b)], n.healed
}

// Dial opens a connection from a zone to an address.
func (n *Network) Dial(from, address string) (net.Conn, error) {
	n.mu.Lock()
	to, known := n.zones[address]
	n.mu.Unlock()
	if !known {
		to = from
	}
	if cut, healed := n.state(from, to); cut {
		select {
		case <-healed:
		case <-time.After(cutDial):
			return nil, failure.Unreachable.New("%s and %s are cut off from each other", from, to)
		}
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	l := &line{n: n, from: from, to: to, delay: n.oneWay(from, to)}
	if l.delay == 0 && from == to {
		return conn, nil
	}
	return newSlowConn(conn, l), nil
}

// line is the way between two zones.
type line struct {
	n        *Network
	from, to string
	delay    time.Duration // one way
}

// pass waits for a time and for the end of a cut; false says that done came
// first.
func (l *line) pass(due time.Time, done chan struct{}) bool {
	if wait := time.Until(due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-done:
			return false
		}
	}
	for {
		cut, healed := l.n.state(l.from, l.to)
		if !cut {
			return true
		}
		select {
		case <-healed:
		case <-done:
			return false
		}
	}
}

// slowConn delays both directions, and holds them back during a cut.
type slowConn struct {
	net.Conn
	line    *line
	out, in chan chunk
	rest    chunk // of in, being read
	done    chan struct{}
	once    sync.Once
}

// chunk is some bytes, or the end, of one direction.
type chunk struct {
	due  time.Time
	data []byte
	err  error
}

const (
	slowDepth = 1024 // chunks on their way
	slowRead  = 16 << 10
)

func newSlowConn(conn net.Conn, l *line) net.Conn {
	c := &slowConn{
		Conn: conn, line: l, done: make(chan struct{}),
		out: make(chan chunk, slowDepth), in: make(chan chunk, slowDepth),
	}
	go c.writeOut()
	go c.readIn()
	return c
}

func (c *slowConn) writeOut() {
	for {
		select {
		case <-c.done:
			return
		case k := <-c.out:
			if !c.line.pass(k.due, c.done) {
				return
			}
			if _, err := c.Conn.Write(k.data); err != nil {
				_ = c.Close()
				return
			}
		}
	}
}

func (c *slowConn) readIn() {
	for {
		buf := make([]byte, slowRead)
		n, err := c.Conn.Read(buf)
		select {
		case c.in <- chunk{time.Now().Add(c.line.delay), buf[:n], err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write queues p for when its time has come.
func (c *slowConn) Write(p []byte) (int, error) {
	k := chunk{due: time.Now().Add(c.line.delay), data: append([]byte(nil), p...)}
	select {
	case c.out <- k:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Read returns what has come and whose time it is.
func (c *slowConn) Read(p []byte) (int, error) {
	for len(c.rest.data) == 0 {
		if c.rest.err != nil {
			return 0, c.rest.err
		}
		select {
		case c.rest = <-c.in:
		case <-c.done:
			return 0, net.ErrClosed
		}
		if !c.line.pass(c.rest.due, c.done) {
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.rest.data)
	c.rest.data = c.rest.data[n:]
	return n, nil
}

// Close closes the connection at once.
func (c *slowConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
