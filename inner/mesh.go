package inner

import (
	"context"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"github.com/samber/lo"
)

// Handler handles the frames of other instances.
type Handler interface {
	// HandleFrame handles one message or request. It must not block, because the frames that
	// follow f on the same lane are read only after it returns. If f.Id is not zero, f is a
	// request: reply sends the reply to it and may be called once, also after HandleFrame has
	// returned. If f.Id is zero, f is a one-way message and reply does nothing.
	HandleFrame(from fate.Incarnation, f *Frame, reply func(*Frame))
}

// ConnectionHandler is a Handler that needs to know on which connection each frame arrived,
// and when a connection is closed. Replies to requests that arrived on a connection are lost
// once the connection is closed.
type ConnectionHandler interface {
	Handler
	// HandleConnectionFrame is like HandleFrame and is called instead of it.
	HandleConnectionFrame(c Connection, from fate.Incarnation, f *Frame, reply func(*Frame))
	// HandleConnectionClosed is called after a connection was closed and all frames received
	// on it have been handled.
	HandleConnectionClosed(c Connection, from fate.Incarnation)
}

// Connection is one connection to a peer.
type Connection interface {
	// ID identifies the connection within this process.
	ID() uint64
	// Send sends a frame on this connection. The error is Unreachable if the connection is
	// closed or the peer reads too slowly.
	Send(f *Frame) error
}

// AddressResolver finds the addresses of instances.
type AddressResolver interface {
	// Address returns the host and port at which an instance listens for its peers, or false
	// if they are unknown.
	Address(instance string) (string, bool)
}

// DialFunc opens a connection to an address. Tests replace it to delay and break connections.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// Config configures a Mesh.
type Config struct {
	Fleet       string
	Self        fate.Incarnation
	Region      string
	Zone        string
	Rack        string
	Address     string // host and port at which this instance listens for its peers
	Resolver    AddressResolver
	Handler     Handler
	Dial        DialFunc          // TCP if nil
	DialTimeout time.Duration     // DefaultDialTimeout if zero
	CountSent   func(kind string) // counts each frame that is sent; may be nil
	OnHello     func(*Hello)      // called with the hello of each connection's peer; may be nil
	ClockMs     func() uint64     // monotonic clock in milliseconds, sent to peers in the hello; may be nil
	// ShareConnections makes the mesh send on any open connection to a peer, no matter which
	// side opened it. Both sides must then call SendHeartbeat several times within
	// SilenceTimeout; otherwise a working connection may be taken for a broken one.
	ShareConnections bool
	// SilenceTimeout returns the time after which a connection to an instance counts as broken
	// if no frame arrives on it. It is required with ShareConnections and otherwise unused.
	SilenceTimeout func(instance string) time.Duration
	// QueueOnly makes TrySend, CallAsync and replies only queue their frames, so that they
	// never wait for a peer that does not read. The cost is one goroutine wake-up per frame,
	// because another goroutine writes the queue.
	QueueOnly bool
}

// DefaultDialTimeout limits the time to open a connection, including the exchange of hellos.
const DefaultDialTimeout = time.Second

// redialDelay is the minimum time between a failed dial to a peer and the next dial. Sends to
// the peer within that time fail at once with the error of the failed dial.
const redialDelay = 200 * time.Millisecond

// Mesh manages the connections to other instances. By default there are two connections for
// each peer: this instance opens one when it first sends to the peer, and the peer opens the
// other when it first sends to this instance. Messages and requests are sent on the connection
// that their sender opened, replies on the connection on which the request arrived. With
// Config.ShareConnections, both instances send everything on the same connection.
type Mesh struct {
	cfg        Config
	mu         sync.Mutex
	dialed     map[string]*dialState    // by instance
	open       map[string][]*connection // all open connections, by instance
	closed     bool
	goroutines sync.WaitGroup
	sendState  sendState
}

// dialState holds the connection that this instance opened to one peer, or the error of the
// last attempt to open it. mu is held while the connection is being opened.
type dialState struct {
	mu         sync.Mutex
	connection *connection
	lastErr    error
	failedAt   time.Time
}

// NewMesh returns a mesh without connections.
func NewMesh(cfg Config) *Mesh {
	if cfg.Dial == nil {
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		}
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = DefaultDialTimeout
	}
	if cfg.OnHello == nil {
		cfg.OnHello = func(*Hello) {}
	}
	if cfg.ClockMs == nil {
		cfg.ClockMs = func() uint64 { return 0 }
	}
	if cfg.CountSent == nil {
		cfg.CountSent = func(string) {}
	}
	m := &Mesh{cfg: cfg, dialed: map[string]*dialState{}, open: map[string][]*connection{}}
	m.sendState.queueOnly = cfg.QueueOnly
	return m
}

// Serve accepts connections from l until l or the mesh is closed.
func (m *Mesh) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if !m.startGoroutine(func() { m.accept(conn) }) {
			_ = conn.Close()
			return
		}
	}
}

// startGoroutine runs f in a goroutine that Close waits for. If the mesh is closed, it does
// nothing and reports false, because Close may have finished waiting.
func (m *Mesh) startGoroutine(f func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.goroutines.Go(f)
	}
	return !m.closed
}

// handleFrame passes a message or request that arrived on c to the handler.
func (m *Mesh) handleFrame(c *connection, f *Frame) {
	id := f.GetId()
	sendReply := func(reply *Frame) {
		if id == 0 {
			return
		}
		reply.Id = id
		reply.Reply = true
		m.cfg.CountSent(KindOf(reply))
		_ = c.send(reply)
	}
	if h, ok := m.cfg.Handler.(ConnectionHandler); ok {
		h.HandleConnectionFrame(c, c.peer, f, sendReply)
		return
	}
	m.cfg.Handler.HandleFrame(c.peer, f, sendReply)
}

// notifyClosed notifies a ConnectionHandler that a connection is closed.
func (m *Mesh) notifyClosed(c *connection) {
	if h, ok := m.cfg.Handler.(ConnectionHandler); ok {
		h.HandleConnectionClosed(c, c.peer)
	}
}

// CloseConnections closes all connections to an incarnation of an instance, including those
// that the peer opened. Connections to other incarnations of the instance stay open. It does
// not wait for a dial in progress, which hangs until its timeout if the peer is lost.
func (m *Mesh) CloseConnections(peer fate.Incarnation) {
	instance := peer.Instance()
	connections := m.connectionsTo(instance)
	matching := slices.DeleteFunc(slices.Clone(connections), func(c *connection) bool { return c.peer != peer })
	if len(matching) == len(connections) {
		// No other incarnation is connected, so the dial state cannot hold its connection.
		// Forgetting the state makes the next send dial again at once.
		m.mu.Lock()
		delete(m.dialed, instance)
		m.mu.Unlock()
	}
	for _, c := range matching {
		c.close()
	}
}

// dialStateOf returns the dial state of an instance, creating it if needed. The error is
// Unreachable if the mesh is closed.
func (m *Mesh) dialStateOf(instance string) (*dialState, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, failure.Unreachable.New("this instance has closed its connections to other instances")
	}
	state := m.dialed[instance]
	if state == nil {
		state = &dialState{}
		m.dialed[instance] = state
	}
	return state, nil
}

// connectToInstance returns the open connection to an instance. If there is none, it opens
// one, unless the last attempt failed less than redialDelay ago.
func (m *Mesh) connectToInstance(instance string) (*connection, error) {
	state, err := m.dialStateOf(instance)
	if err != nil {
		return nil, err
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	if c := m.sharedConnection(instance); c != nil {
		return c, nil
	}
	if state.connection != nil && !state.connection.isClosed() {
		return state.connection, nil
	}
	if state.lastErr != nil && clock.Since(state.failedAt) < redialDelay {
		return nil, state.lastErr
	}
	state.connection, state.lastErr = m.dial(instance)
	if state.lastErr != nil {
		state.failedAt = clock.Now()
	}
	return state.connection, state.lastErr
}

func (c *connection) isClosed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closed
}

// connectToIncarnation is like connectToInstance, but returns the error Gone if the instance
// runs as another incarnation than peer. A peer without a boot id stands for any incarnation
// of the instance, and a peer made by PeerAtAddress for whichever instance listens there.
func (m *Mesh) connectToIncarnation(peer fate.Incarnation) (*connection, error) {
	if _, _, exact := splitIncarnation(peer); !exact || strings.HasPrefix(string(peer), atAddressPrefix) {
		return m.connectToInstance(string(peer))
	}
	c, err := m.connectToInstance(peer.Instance())
	if err != nil {
		return nil, err
	}
	if c.peer != peer {
		return nil, failure.Gone.New("%s is gone: the instance is running as %s", peer, c.peer)
	}
	return c, nil
}

// splitIncarnation splits i into the name of the instance and the boot id, which tells the
// incarnations of the instance apart. It reports false if i has no boot id.
func splitIncarnation(i fate.Incarnation) (string, string, bool) {
	name := i.Instance()
	if name == string(i) {
		return name, "", false
	}
	return name, string(i)[len(name)+1:], true
}

// Connect opens a connection to an instance if there is none, and returns the incarnation as
// which the instance is running.
func (m *Mesh) Connect(instance string) (fate.Incarnation, error) {
	c, err := m.connectToInstance(instance)
	if err != nil {
		return "", err
	}
	return c.peer, nil
}

// Probe opens a connection to an instance if there is none. It returns the error Gone if nothing
// listens at the instance's address. Unlike Connect it dials even if the last attempt has failed
// just now: that attempt may have begun while the instance was still running, and its error then
// does not tell whether it is.
func (m *Mesh) Probe(instance string) error {
	state, err := m.dialStateOf(instance)
	if err != nil {
		return err
	}
	state.mu.Lock()
	defer state.mu.Unlock()
	if m.sharedConnection(instance) != nil {
		return nil
	}
	state.connection, state.lastErr = m.dial(instance)
	if state.lastErr != nil {
		state.failedAt = clock.Now()
	}
	return state.lastErr
}

// connectionIfOpen returns the connection if it is open, and otherwise nil. It does not wait
// for a dial in progress.
func (s *dialState) connectionIfOpen() *connection {
	if s == nil || !s.mu.TryLock() {
		return nil
	}
	defer s.mu.Unlock()
	if s.connection == nil || s.connection.isClosed() {
		return nil
	}
	return s.connection
}

// SentBytes returns the number of bytes of all frames that this instance has sent.
func (m *Mesh) SentBytes() int64 { return m.sendState.sentBytes.Load() }

// CloseDialed closes the connection that this instance opened to another one. Pending calls on
// the connection fail at once with the error Lost.
func (m *Mesh) CloseDialed(instance string) {
	m.mu.Lock()
	state := m.dialed[instance]
	delete(m.dialed, instance)
	m.mu.Unlock()
	if state == nil {
		return
	}
	state.mu.Lock()
	c := state.connection
	state.mu.Unlock()
	if c != nil {
		c.close()
	}
}

// Close closes all connections and waits until the frames received on them have been handled.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.dialed = map[string]*dialState{}
	open := lo.Flatten(slices.Collect(maps.Values(m.open)))
	m.mu.Unlock()
	for _, c := range open {
		c.close()
	}
	m.goroutines.Wait()
}
