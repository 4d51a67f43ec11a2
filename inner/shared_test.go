package inner

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// startShared returns two shared meshes that know each other.
func startShared(t *testing.T) (a, b *Mesh) {
	t.Helper()
	dir := &peers{addresses: map[string]string{}}
	a, _ = startMesh(t, dir, "a.1", "f")
	b, _ = startMesh(t, dir, "b.1", "f")
	a.cfg.ShareConnections, b.cfg.ShareConnections = true, true
	return a, b
}

// settleLinks waits until both ends have as many connections to each other.
func settleLinks(t *testing.T, a, b *Mesh, count int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for len(a.linksTo("b")) != count || len(b.linksTo("a")) != count {
		if time.Now().After(deadline) {
			t.Fatalf("%d and %d connections, not %d", len(a.linksTo("b")), len(b.linksTo("a")), count)
		}
		time.Sleep(time.Millisecond)
	}
}

func connectShared(t *testing.T, from *Mesh, to string) {
	t.Helper()
	if _, err := from.Connect(to); err != nil {
		t.Fatal(err)
	}
}

// TestSharedConnection: an instance sends on the connection that its peer has
// opened, and opens none of its own.
func TestSharedConnection(t *testing.T) {
	a, b := startShared(t)
	connectShared(t, a, "b")
	settleLinks(t, a, b, 1)
	connectShared(t, b, "a")
	settleLinks(t, a, b, 1)
}

// TestSharedChoice: of two connections that are heard, both ends choose the one
// that the first of them by name has opened; of those, the newer.
func TestSharedChoice(t *testing.T) {
	a, b := startShared(t)
	connectShared(t, b, "a")
	settleLinks(t, a, b, 1)
	if err := a.SendOnNewConnection("b", heartbeat()); err != nil {
		t.Fatal(err)
	}
	settleLinks(t, a, b, 2)
	if !a.shared("b").opened || b.shared("a").opened {
		t.Error("the ends do not agree on the connection that a has opened")
	}
	first := a.shared("b")
	if err := a.SendOnNewConnection("b", heartbeat()); err != nil {
		t.Fatal(err)
	}
	settleLinks(t, a, b, 3)
	if a.shared("b") == first {
		t.Error("an older connection goes before a newer one")
	}
}

// TestSharedSilence: a connection that is not heard any more is left for one that
// is, and closed.
func TestSharedSilence(t *testing.T) {
	a, b := startShared(t)
	connectShared(t, a, "b")
	settleLinks(t, a, b, 1)
	connectShared(t, b, "a")
	if err := b.SendOnNewConnection("a", heartbeat()); err != nil {
		t.Fatal(err)
	}
	settleLinks(t, a, b, 2)
	preferred := a.shared("b")
	preferred.heard.Store(int64(steady() - 2*time.Minute))
	if a.shared("b") == preferred {
		t.Error("a silent connection is used beside one that is heard")
	}
	e, err := EncodeFrame(heartbeat())
	if err != nil {
		t.Fatal(err)
	}
	if err := a.SendHeartbeat("b.1", e); err != nil {
		t.Fatal(err)
	}
	settleLinks(t, a, b, 1)
}

// TestSeverKeepsNextIncarnation: an instance that has started anew is heard on the
// connection that it opened, while those of its former life are closed.
func TestSeverKeepsNextIncarnation(t *testing.T) {
	a, b := startShared(t)
	connectShared(t, a, "b")
	settleLinks(t, a, b, 1)
	next, _ := startMesh(t, a.cfg.Resolver.(*peers), "b.2", "f")
	next.cfg.ShareConnections = true
	connectShared(t, next, "a")
	deadline := time.Now().Add(10 * time.Second)
	for len(a.linksTo("b")) != 2 {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections, not 2", len(a.linksTo("b")))
		}
		time.Sleep(time.Millisecond)
	}
	a.CloseConnections("b.1")
	if links := a.linksTo("b"); len(links) != 1 || links[0].peer != "b.2" {
		t.Errorf("%d connections are left", len(links))
	}
}

// TestSeverDoesNotWait: a dial that hangs holds up nobody who severs the peer.
func TestSeverDoesNotWait(t *testing.T) {
	a, b := startShared(t)
	connectShared(t, a, "b")
	settleLinks(t, a, b, 1)
	dialing, release := make(chan struct{}), make(chan struct{})
	a.cfg.Dial = func(context.Context, string) (net.Conn, error) {
		close(dialing)
		<-release
		return nil, errors.New("it hung")
	}
	renewed := make(chan error, 1)
	go func() { renewed <- a.SendOnNewConnection("b", heartbeat()) }()
	<-dialing
	severed := make(chan struct{})
	go func() {
		a.CloseConnections("b.1")
		close(severed)
	}()
	select {
	case <-severed:
	case <-time.After(10 * time.Second):
		t.Error("it waits for the dial")
	}
	close(release)
	if err := <-renewed; err == nil {
		t.Error("the dial did not fail")
	}
}
