package experiment

import (
	"net"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
)

// Network emulates the latencies and network partitions between availability
// zones on the loopback interface. It wraps the connections that entry instances
// and callers open.
type Network struct {
	mu         sync.Mutex
	zones      map[string]string  // zone of each address that SetZone has recorded
	partitions map[[2]string]bool // whether two zones are partitioned, by zonePair
	healed     chan struct{}      // closed and replaced when the partitions end
	latency    func(from, to string) time.Duration
}

// partitionDialTimeout is the time after which opening a connection to a partitioned
// zone fails.
const partitionDialTimeout = 200 * time.Millisecond

// NewNetwork returns a network without partitions. latency returns the one-way
// latency between two zones.
func NewNetwork(latency func(from, to string) time.Duration) *Network {
	return &Network{zones: map[string]string{}, partitions: map[[2]string]bool{}, healed: make(chan struct{}), latency: latency}
}

// SetZone records the zone of an address. Dial assumes that an address without a
// recorded zone is in the zone of the dialing side.
func (n *Network) SetZone(address, zone string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

// zonePair returns the key of Network.partitions for two zones: their names in
// alphabetical order.
func zonePair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

// Partition separates two zones. Until Heal is called, no data passes between them.
// Data on open connections is delayed and not lost, as TCP would retransmit it after
// a real partition.
func (n *Network) Partition(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitions[zonePair(a, b)] = true
}

// Heal ends all partitions.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitions)
	close(n.healed)
	n.healed = make(chan struct{})
}

// partitionState reports whether two zones are partitioned from each other, and
// returns a channel that the next Heal closes.
func (n *Network) partitionState(a, b string) (partitioned bool, healed chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partitions[zonePair(a, b)], n.healed
}

// Dial opens a connection from a zone to an address. The connection has the latency
// between the two zones, and passes no data while they are partitioned.
func (n *Network) Dial(from, address string) (net.Conn, error) {
	n.mu.Lock()
	to, ok := n.zones[address]
	n.mu.Unlock()
	if !ok {
		to = from
	}
	if partitioned, healed := n.partitionState(from, to); partitioned {
		select {
		case <-healed:
		case <-time.After(partitionDialTimeout):
			return nil, failure.Unreachable.New("zones %s and %s are partitioned from each other", from, to)
		}
	}
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	path := &zonePath{network: n, from: from, to: to, delay: n.latency(from, to)}
	if path.delay == 0 && from == to {
		return conn, nil
	}
	return newDelayedConn(conn, path), nil
}

// zonePath is the network path from one zone to another.
type zonePath struct {
	network  *Network
	from, to string
	delay    time.Duration // one way
}

// waitUntilDeliverable waits until due, and then until the zones are not partitioned. It
// returns false if done is closed before that.
func (p *zonePath) waitUntilDeliverable(due time.Time, done chan struct{}) bool {
	if wait := time.Until(due); wait > 0 {
		select {
		case <-time.After(wait):
		case <-done:
			return false
		}
	}
	for {
		partitioned, healed := p.network.partitionState(p.from, p.to)
		if !partitioned {
			return true
		}
		select {
		case <-healed:
		case <-done:
			return false
		}
	}
}

// delayedConn delays both directions by the latency of its path, and holds data
// back during a partition.
type delayedConn struct {
	net.Conn
	path    *zonePath
	out, in chan chunk // written and not yet sent; received and not yet read
	unread  chunk      // rest of the last chunk taken from in
	done    chan struct{}
	once    sync.Once
}

// chunk is a part of the data that travels in one direction. An error ends the
// direction: no further chunk follows.
type chunk struct {
	due  time.Time // earliest delivery
	data []byte
	err  error
}

const (
	maxQueuedChunks = 1024 // chunks per direction
	readBufferSize  = 16 << 10
)

func newDelayedConn(conn net.Conn, path *zonePath) net.Conn {
	c := &delayedConn{
		Conn: conn, path: path, done: make(chan struct{}),
		out: make(chan chunk, maxQueuedChunks), in: make(chan chunk, maxQueuedChunks),
	}
	go c.writeLoop()
	go c.readLoop()
	return c
}

func (c *delayedConn) writeLoop() {
	for {
		select {
		case <-c.done:
			return
		case next := <-c.out:
			if !c.path.waitUntilDeliverable(next.due, c.done) {
				return
			}
			if _, err := c.Conn.Write(next.data); err != nil {
				_ = c.Close()
				return
			}
		}
	}
}

func (c *delayedConn) readLoop() {
	for {
		buf := make([]byte, readBufferSize)
		n, err := c.Conn.Read(buf)
		select {
		case c.in <- chunk{time.Now().Add(c.path.delay), buf[:n], err}:
		case <-c.done:
			return
		}
		if err != nil {
			return
		}
	}
}

// Write queues a copy of p, which is sent after the latency of the path.
func (c *delayedConn) Write(p []byte) (int, error) {
	next := chunk{due: time.Now().Add(c.path.delay), data: append([]byte(nil), p...)}
	select {
	case c.out <- next:
		return len(p), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Read returns received data after the latency of the path.
func (c *delayedConn) Read(p []byte) (int, error) {
	for len(c.unread.data) == 0 {
		if c.unread.err != nil {
			return 0, c.unread.err
		}
		select {
		case c.unread = <-c.in:
		case <-c.done:
			return 0, net.ErrClosed
		}
		if !c.path.waitUntilDeliverable(c.unread.due, c.done) {
			return 0, net.ErrClosed
		}
	}
	n := copy(p, c.unread.data)
	c.unread.data = c.unread.data[n:]
	return n, nil
}

// Close closes the connection at once and drops the data not yet delivered.
func (c *delayedConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}
