package inner

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"

	"go.uber.org/goleak"
)

// mapResolver is an AddressResolver whose addresses tests can change.
type mapResolver struct {
	mu        sync.Mutex
	addresses map[string]string
}

func (r *mapResolver) Address(instance string) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, found := r.addresses[instance]
	return a, found
}

// echoHandler replies to each request with the body of the request. It does not reply to
// frames with a Cancel body, but sends them to the channel cancels.
type echoHandler struct{ cancels chan *Frame }

func (e *echoHandler) HandleFrame(_ fate.Incarnation, f *Frame, reply func(*Frame)) {
	if f.GetCancel() != nil {
		e.cancels <- f
		return
	}
	reply(&Frame{Body: f.GetBody()})
}

func startMesh(t *testing.T, resolver *mapResolver, self fate.Incarnation, fleet string) (*Mesh, *echoHandler) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echoHandler{cancels: make(chan *Frame, 1)}
	m := NewMesh(Config{Fleet: fleet, Self: self, Resolver: resolver, Handler: e, SilenceTimeout: func(string) time.Duration { return time.Minute }})
	resolver.mu.Lock()
	resolver.addresses[self.Instance()] = l.Addr().String()
	resolver.mu.Unlock()
	served := make(chan struct{})
	go func() {
		m.Serve(l)
		close(served)
	}()
	t.Cleanup(func() {
		_ = l.Close()
		m.Close()
		<-served
	})
	return m, e
}

func heartbeat() *Frame {
	return &Frame{Body: &Frame_Heartbeat{&Heartbeat{ActiveJobs: 7}}}
}

func TestCalls(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	resolver := &mapResolver{addresses: map[string]string{}}
	a, _ := startMesh(t, resolver, "a.1", "f")
	_, handler := startMesh(t, resolver, "b.1", "f")
	startMesh(t, resolver, "stranger.1", "other")

	f, err := a.Call(context.Background(), "b.1", heartbeat())
	if err != nil || f.GetHeartbeat().GetActiveJobs() != 7 {
		t.Fatalf("b replied %v, error %v, want an echo of the heartbeat", f, err)
	}
	if who, err := a.Connect("b"); err != nil || who != "b.1" {
		t.Errorf("b is running as %s, error %v, want b.1", who, err)
	}
	for peer, want := range map[fate.Incarnation]func(error) bool{
		"b.2":        func(err error) bool { return failure.Is(err, failure.Gone) },
		"nobody.1":   func(err error) bool { return failure.Is(err, failure.Unreachable) },
		"stranger.1": func(err error) bool { return failure.Is(err, failure.Refused) && failure.FieldOf(err) == "fleet" },
	} {
		if _, err := a.Call(context.Background(), peer, heartbeat()); !want(err) {
			t.Errorf("a call to %s returned the wrong error: %v", peer, err)
		}
	}

	p, err := a.StartCall("b.1", &Frame{Body: &Frame_Cancel{&Cancel{}}})
	if err != nil {
		t.Fatal(err)
	}
	<-handler.cancels
	a.CloseDialed("b")
	if _, err := p.Wait(context.Background()); !failure.Is(err, failure.Lost) {
		t.Errorf("a call whose connection broke: %v, want Lost", err)
	}
	short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if _, err := a.Call(short, "b.1", &Frame{Body: &Frame_Cancel{&Cancel{}}}); !failure.Is(err, failure.Timeout) {
		t.Errorf("a call without a reply: %v, want Timeout", err)
	}
}

// startMeshWithSilentPeer starts a mesh of the instance a, and listens at the address of the
// instance b without responding.
func startMeshWithSilentPeer(t *testing.T) (*Mesh, net.Listener) {
	t.Helper()
	resolver := &mapResolver{addresses: map[string]string{}}
	a, _ := startMesh(t, resolver, "a.1", "f")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	resolver.mu.Lock()
	resolver.addresses["b"] = l.Addr().String()
	resolver.mu.Unlock()
	return a, l
}

func TestGoneWhenNobodyListens(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	a, l := startMeshWithSilentPeer(t)
	_ = l.Close()
	if err := a.Send("b.1", heartbeat()); !failure.Is(err, failure.Gone) {
		t.Errorf("error %v, want Gone", err)
	}
}

// TestProbeAfterDialInProgress guards against the end of a peer going unnoticed because a dial was in
// progress when it ended: the error of that dial does not tell that nothing listens any more, and it
// is returned by further dials for a while.
func TestProbeAfterDialInProgress(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	a, l := startMeshWithSilentPeer(t)
	dialed := make(chan error, 1)
	go func() { _, err := a.Connect("b"); dialed <- err }()
	conn, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close() // the peer ends during the handshake
	_ = conn.Close()
	if err := <-dialed; !failure.Is(err, failure.Unreachable) {
		t.Errorf("the dial in progress: error %v, want Unreachable", err)
	}
	if _, err := a.Connect("b"); !failure.Is(err, failure.Unreachable) {
		t.Errorf("a dial right after it: error %v, want Unreachable", err)
	}
	if err := a.Probe("b"); !failure.Is(err, failure.Gone) {
		t.Errorf("a probe: error %v, want Gone", err)
	}
}

// TestPeerThatDoesNotRead checks that with QueueOnly no sender waits for a peer that reads
// nothing, even if far more is sent than all buffers can hold.
func TestPeerThatDoesNotRead(t *testing.T) {
	resolver := &mapResolver{addresses: map[string]string{}}
	_, handler := startMesh(t, resolver, "b.1", "f")
	for range cap(handler.cancels) {
		handler.cancels <- nil // fills the channel, so that the reader of b blocks at the first frame
	}
	m := NewMesh(Config{Fleet: "f", Self: "a.1", Resolver: resolver, Handler: &echoHandler{cancels: make(chan *Frame, 1)}, QueueOnly: true})
	t.Cleanup(m.Close)
	if _, err := m.Connect("b"); err != nil {
		t.Fatal(err)
	}
	sent := make(chan struct{})
	go func() {
		defer close(sent)
		for range 4000 {
			_ = m.TrySend("b.1", &Frame{Body: &Frame_Cancel{Cancel: &Cancel{Keys: []*Key{{Session: strings.Repeat("x", 2000)}}}}})
		}
	}()
	select {
	case <-sent:
	case <-time.After(8 * time.Second): // less than the 10 s after which a blocked yamux write fails
		t.Error("the sender is blocked by a peer that does not read")
	}
	for range 4001 {
		select {
		case <-handler.cancels:
		case <-time.After(time.Second):
			return
		}
	}
}
