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

// Handler takes the frames of other instances.
type Handler interface {
	// HandleFrame takes one frame. It must not block: frames behind it wait. It may
	// call reply once, at any time, when f has an id; f.Id zero wants none.
	HandleFrame(from fate.Incarnation, f *Frame, reply func(*Frame))
}

// ConnectionHandler is a Handler that cares which connection a frame came on, and
// that must know when a connection is closed: what the peer asked on it has
// nobody to answer to any more.
type ConnectionHandler interface {
	Handler
	// HandleConnectionFrame is Frame with the connection.
	HandleConnectionFrame(link Connection, from fate.Incarnation, f *Frame, reply func(*Frame))
	// HandleConnectionClosed tells that no frame comes on a connection any more.
	HandleConnectionClosed(link Connection, from fate.Incarnation)
}

// Connection is one connection to a peer.
type Connection interface {
	// ID names the connection; within one process no other has it.
	ID() uint64
	// Send sends a frame on this connection. The error is Unreachable once it
	// is closed.
	Send(f *Frame) error
}

// AddressResolver tells where instances listen.
type AddressResolver interface {
	// Address returns the host and port of an instance's inner listener.
	Address(instance string) (string, bool)
}

// Dialer opens a connection to an address. Tests cut and delay here.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// Config is what a Mesh needs to know.
type Config struct {
	Fleet       string
	Self        fate.Incarnation
	Region      string
	Zone        string
	Rack        string
	Address     string // of this instance's inner listener
	Resolver    AddressResolver
	Handler     Handler
	Dial        Dialer            // nil is TCP
	DialTimeout time.Duration     // zero is DefaultDialTimeout
	CountSent   func(kind string) // counts each frame that is sent; may be nil
	OnHello     func(*Hello)      // takes what each peer says of itself; may be nil
	ClockMs     func() uint64     // the steady clock that peers are told, milliseconds; may be nil
	// ShareConnections makes the mesh send on any open connection to a peer, whoever opened
	// it. SendHeartbeat has to be called on both sides then, a few times in
	// SilenceTimeout.
	ShareConnections bool
	// SilenceTimeout is how long a connection to an instance may be silent before it
	// counts as broken; for Shared.
	SilenceTimeout func(instance string) time.Duration
	// QueueOnly makes TrySend, CallAsync and replies never wait for a peer that does
	// not read. Frames take a wake-up more.
	QueueOnly bool
}

// DefaultDialTimeout bounds opening a connection, the hello included.
const DefaultDialTimeout = time.Second

// retryDial is how long a peer that could not be reached is left alone.
const retryDial = 200 * time.Millisecond

// Mesh keeps the connections to other instances: one for what this instance
// asks, opened on first use, and one for what each peer asks.
type Mesh struct {
	cfg     Config
	mu      sync.Mutex
	links   map[string]*dialed // by instance
	byPeer  map[string][]*link // every open connection, by instance
	closed  bool
	running sync.WaitGroup
	traffic traffic
}

// dialed is the connection to one peer, or the last failure to open it.
type dialed struct {
	mu     sync.Mutex
	link   *link
	err    error
	failed time.Time
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
	m := &Mesh{cfg: cfg, links: map[string]*dialed{}, byPeer: map[string][]*link{}}
	m.traffic.queueOnly = cfg.QueueOnly
	return m
}

// Serve takes connections from l until it or the mesh is closed.
func (m *Mesh) Serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if !m.start(func() { m.accept(conn) }) {
			_ = conn.Close()
			return
		}
	}
}

// start runs f in a goroutine that Close waits for, and reports false where the mesh is
// closed: Close may have done waiting.
func (m *Mesh) start(f func()) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.closed {
		m.running.Go(f)
	}
	return !m.closed
}

func (m *Mesh) take(k *link, f *Frame) {
	id := f.GetId()
	answer := func(reply *Frame) {
		if id == 0 {
			return
		}
		reply.Id = id
		reply.Reply = true
		m.cfg.CountSent(KindOf(reply))
		_ = k.send(reply)
	}
	if h, cares := m.cfg.Handler.(ConnectionHandler); cares {
		h.HandleConnectionFrame(k, k.peer, f, answer)
		return
	}
	m.cfg.Handler.HandleFrame(k.peer, f, answer)
}

// ended tells a handler that cares that a connection is closed.
func (m *Mesh) ended(k *link) {
	if h, cares := m.cfg.Handler.(ConnectionHandler); cares {
		h.HandleConnectionClosed(k, k.peer)
	}
}

// CloseConnections closes every connection with an incarnation of an instance, also those
// that it opened. Those of the instance's next incarnation stay. It does not wait
// for a dial that is under way: a peer that is lost answers none.
func (m *Mesh) CloseConnections(peer fate.Incarnation) {
	instance := peer.Instance()
	links := m.linksTo(instance)
	former := slices.DeleteFunc(slices.Clone(links), func(k *link) bool { return k.peer != peer })
	if len(former) == len(links) {
		m.mu.Lock()
		delete(m.links, instance)
		m.mu.Unlock()
	}
	for _, k := range former {
		k.close()
	}
}

// slot returns what is kept of the connections to an instance that this one
// opens. The error is Unreachable once the mesh is closed.
func (m *Mesh) slot(instance string) (*dialed, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return nil, failure.Unreachable.New("the mesh is closed")
	}
	d := m.links[instance]
	if d == nil {
		d = &dialed{}
		m.links[instance] = d
	}
	return d, nil
}

// connect returns the open connection to an instance, opening it if needed.
func (m *Mesh) connect(instance string) (*link, error) {
	d, err := m.slot(instance)
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if k := m.sharedWith(instance); k != nil {
		return k, nil
	}
	if d.link != nil && !d.link.isDown() {
		return d.link, nil
	}
	if d.err != nil && clock.Since(d.failed) < retryDial {
		return nil, d.err
	}
	d.link, d.err = m.dial(instance)
	if d.err != nil {
		d.failed = clock.Now()
	}
	return d.link, d.err
}

func (k *link) isDown() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.down
}

// to returns the connection to one incarnation; one without a boot id is
// whichever incarnation the instance is now.
func (m *Mesh) to(peer fate.Incarnation) (*link, error) {
	if _, _, exact := cutBoot(peer); !exact || strings.HasPrefix(string(peer), atAddress) {
		return m.connect(string(peer))
	}
	k, err := m.connect(peer.Instance())
	if err != nil {
		return nil, err
	}
	if k.peer != peer {
		return nil, failure.Gone.New("%s is gone: its instance is %s now", peer, k.peer)
	}
	return k, nil
}

func cutBoot(i fate.Incarnation) (string, string, bool) {
	name := i.Instance()
	if name == string(i) {
		return name, "", false
	}
	return name, string(i)[len(name)+1:], true
}

// Connect returns the incarnation that an instance is now.
func (m *Mesh) Connect(instance string) (fate.Incarnation, error) {
	k, err := m.connect(instance)
	if err != nil {
		return "", err
	}
	return k.peer, nil
}

// open returns the connection if it is open and nobody is opening it.
func (d *dialed) open() *link {
	if d == nil || !d.mu.TryLock() {
		return nil
	}
	defer d.mu.Unlock()
	if d.link == nil || d.link.isDown() {
		return nil
	}
	return d.link
}

// SentBytes returns the bytes of frames that this instance has sent.
func (m *Mesh) SentBytes() int64 { return m.traffic.sent.Load() }

// CloseDialed closes the connection to an instance, so that calls to it end at once.
func (m *Mesh) CloseDialed(instance string) {
	m.mu.Lock()
	d := m.links[instance]
	delete(m.links, instance)
	m.mu.Unlock()
	if d == nil {
		return
	}
	d.mu.Lock()
	k := d.link
	d.mu.Unlock()
	if k != nil {
		k.close()
	}
}

// Close closes every connection and waits for their readers.
func (m *Mesh) Close() {
	m.mu.Lock()
	m.closed = true
	m.links = map[string]*dialed{}
	open := lo.Flatten(slices.Collect(maps.Values(m.byPeer)))
	m.mu.Unlock()
	for _, k := range open {
		k.close()
	}
	m.running.Wait()
}
