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

// peers is a directory that tests write into.
type peers struct {
	mu        sync.Mutex
	addresses map[string]string
}

func (p *peers) Address(instance string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	a, known := p.addresses[instance]
	return a, known
}

// echo answers every call with its own frame; what takes a call and keeps it.
type echo struct{ kept chan *Frame }

func (e *echo) HandleFrame(_ fate.Incarnation, f *Frame, reply func(*Frame)) {
	if f.GetCancel() != nil {
		e.kept <- f
		return
	}
	reply(&Frame{Body: f.GetBody()})
}

func startMesh(t *testing.T, dir *peers, self fate.Incarnation, fleet string) (*Mesh, *echo) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &echo{kept: make(chan *Frame, 1)}
	m := NewMesh(Config{Fleet: fleet, Self: self, Resolver: dir, Handler: e, SilenceTimeout: func(string) time.Duration { return time.Minute }})
	dir.mu.Lock()
	dir.addresses[self.Instance()] = l.Addr().String()
	dir.mu.Unlock()
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
	dir := &peers{addresses: map[string]string{}}
	a, _ := startMesh(t, dir, "a.1", "f")
	_, kept := startMesh(t, dir, "b.1", "f")
	startMesh(t, dir, "stranger.1", "other")

	f, err := a.Call(context.Background(), "b.1", heartbeat())
	if err != nil || f.GetHeartbeat().GetActiveJobs() != 7 {
		t.Fatalf("reply %v, %v", f, err)
	}
	if who, err := a.Connect("b"); err != nil || who != "b.1" {
		t.Errorf("b is %s, %v", who, err)
	}
	for peer, want := range map[fate.Incarnation]func(error) bool{
		"b.2":        func(err error) bool { return failure.Is(err, failure.Gone) },
		"nobody.1":   func(err error) bool { return failure.Is(err, failure.Unreachable) },
		"stranger.1": func(err error) bool { return failure.Is(err, failure.Refused) && failure.FieldOf(err) == "fleet" },
	} {
		if _, err := a.Call(context.Background(), peer, heartbeat()); !want(err) {
			t.Errorf("calling %s: %v", peer, err)
		}
	}

	p, err := a.StartCall("b.1", &Frame{Body: &Frame_Cancel{&Cancel{}}})
	if err != nil {
		t.Fatal(err)
	}
	<-kept.kept
	a.CloseDialed("b")
	if _, err := p.Wait(context.Background()); !failure.Is(err, failure.Lost) {
		t.Errorf("a call whose connection broke: %v", err)
	}
	short, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	if _, err := a.Call(short, "b.1", &Frame{Body: &Frame_Cancel{&Cancel{}}}); !failure.Is(err, failure.Timeout) {
		t.Errorf("a call without a reply: %v", err)
	}
}

func TestGoneWhenNobodyListens(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	dir := &peers{addresses: map[string]string{}}
	a, _ := startMesh(t, dir, "a.1", "f")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dir.mu.Lock()
	dir.addresses["b"] = l.Addr().String()
	dir.mu.Unlock()
	_ = l.Close()
	if err := a.Send("b.1", heartbeat()); !failure.Is(err, failure.Gone) {
		t.Errorf("error %v", err)
	}
}

// TestPeerThatDoesNotRead sends far more to a peer than any buffer holds while
// the peer reads nothing: with QueueOnly nobody waits for it.
func TestPeerThatDoesNotRead(t *testing.T) {
	dir := &peers{addresses: map[string]string{}}
	_, stuck := startMesh(t, dir, "b.1", "f")
	for range cap(stuck.kept) {
		stuck.kept <- nil // its reader waits with the first frame
	}
	m := NewMesh(Config{Fleet: "f", Self: "a.1", Resolver: dir, Handler: &echo{kept: make(chan *Frame, 1)}, QueueOnly: true})
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
	case <-time.After(8 * time.Second): // yamux gives up a write after 10 s
		t.Error("the sender waits for a peer that does not read")
	}
	for range 4001 {
		select {
		case <-stuck.kept:
		case <-time.After(time.Second):
			return
		}
	}
}
