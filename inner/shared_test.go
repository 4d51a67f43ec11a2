package inner

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// startSharingMeshes returns two meshes with ShareConnections and a common resolver.
func startSharingMeshes(t *testing.T) (a, b *Mesh) {
	t.Helper()
	resolver := &mapResolver{addresses: map[string]string{}}
	a, _ = startMesh(t, resolver, "a.1", "f")
	b, _ = startMesh(t, resolver, "b.1", "f")
	a.cfg.ShareConnections, b.cfg.ShareConnections = true, true
	return a, b
}

// waitForConnections waits until each mesh has count connections to the other.
func waitForConnections(t *testing.T, a, b *Mesh, count int) {
	t.Helper()
	deadline := time.Now().Add(10 * time.Second)
	for len(a.connectionsTo("b")) != count || len(b.connectionsTo("a")) != count {
		if time.Now().After(deadline) {
			t.Fatalf("%d and %d connections, want %d", len(a.connectionsTo("b")), len(b.connectionsTo("a")), count)
		}
		time.Sleep(time.Millisecond)
	}
}

func connect(t *testing.T, from *Mesh, to string) {
	t.Helper()
	if _, err := from.Connect(to); err != nil {
		t.Fatal(err)
	}
}

// TestSharedConnection checks that an instance uses the connection that its peer opened
// and does not open its own.
func TestSharedConnection(t *testing.T) {
	a, b := startSharingMeshes(t)
	connect(t, a, "b")
	waitForConnections(t, a, b, 1)
	connect(t, b, "a")
	waitForConnections(t, a, b, 1)
}

// TestSharedChoice checks which of several connections on which frames arrive is used: both
// ends choose among those that the instance with the lower name opened, and take the newest.
func TestSharedChoice(t *testing.T) {
	a, b := startSharingMeshes(t)
	connect(t, b, "a")
	waitForConnections(t, a, b, 1)
	if err := a.SendOnNewConnection("b", heartbeat()); err != nil {
		t.Fatal(err)
	}
	waitForConnections(t, a, b, 2)
	if !a.bestConnection("b").openedHere || b.bestConnection("a").openedHere {
		t.Error("the ends did not both choose the connection that a opened")
	}
	first := a.bestConnection("b")
	if err := a.SendOnNewConnection("b", heartbeat()); err != nil {
		t.Fatal(err)
	}
	waitForConnections(t, a, b, 3)
	if a.bestConnection("b") == first {
		t.Error("an older connection is preferred to a newer one")
	}
}

// TestSharedSilence checks that a connection on which no frames arrive is no longer used if
// frames arrive on another one, and that the silent connection is closed.
func TestSharedSilence(t *testing.T) {
	a, b := startSharingMeshes(t)
	connect(t, a, "b")
	waitForConnections(t, a, b, 1)
	connect(t, b, "a")
	if err := b.SendOnNewConnection("a", heartbeat()); err != nil {
		t.Fatal(err)
	}
	waitForConnections(t, a, b, 2)
	preferred := a.bestConnection("b")
	preferred.lastReceived.Store(int64(monotonic() - 2*time.Minute))
	if a.bestConnection("b") == preferred {
		t.Error("a silent connection is preferred to one on which frames arrive")
	}
	e, err := EncodeFrame(heartbeat())
	if err != nil {
		t.Fatal(err)
	}
	if err := a.SendHeartbeat("b.1", e); err != nil {
		t.Fatal(err)
	}
	waitForConnections(t, a, b, 1)
}

// TestCloseConnectionsKeepsNextIncarnation checks that CloseConnections closes the
// connections to the previous incarnation of a restarted instance, but not the one that the
// current incarnation opened.
func TestCloseConnectionsKeepsNextIncarnation(t *testing.T) {
	a, b := startSharingMeshes(t)
	connect(t, a, "b")
	waitForConnections(t, a, b, 1)
	next, _ := startMesh(t, a.cfg.Resolver.(*mapResolver), "b.2", "f")
	next.cfg.ShareConnections = true
	connect(t, next, "a")
	deadline := time.Now().Add(10 * time.Second)
	for len(a.connectionsTo("b")) != 2 {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections, want 2", len(a.connectionsTo("b")))
		}
		time.Sleep(time.Millisecond)
	}
	a.CloseConnections("b.1")
	if connections := a.connectionsTo("b"); len(connections) != 1 || connections[0].peer != "b.2" {
		t.Errorf("%d connections are left, want only the one to b.2", len(connections))
	}
}

// TestCloseConnectionsDoesNotWait checks that CloseConnections returns while a dial to the
// peer hangs.
func TestCloseConnectionsDoesNotWait(t *testing.T) {
	a, b := startSharingMeshes(t)
	connect(t, a, "b")
	waitForConnections(t, a, b, 1)
	dialing, release := make(chan struct{}), make(chan struct{})
	a.cfg.Dial = func(context.Context, string) (net.Conn, error) {
		close(dialing)
		<-release
		return nil, errors.New("the dial hung")
	}
	sent := make(chan error, 1)
	go func() { sent <- a.SendOnNewConnection("b", heartbeat()) }()
	<-dialing
	closed := make(chan struct{})
	go func() {
		a.CloseConnections("b.1")
		close(closed)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Error("CloseConnections waits for the dial")
	}
	close(release)
	if err := <-sent; err == nil {
		t.Error("the dial did not fail")
	}
}
