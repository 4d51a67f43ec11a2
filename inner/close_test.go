package inner

import (
	"net"
	"testing"

	"go.uber.org/goleak"
)

// TestServeAfterClose: a connection that is accepted while the mesh closes is closed, and
// nobody is told of its peer. Serve took it though the mesh was closed, in a goroutine that
// Close did not wait for: the race detector saw it as an Add beside the Wait of one
// WaitGroup in TestZoneCutHeals, once in some 450 runs of that test.
func TestServeAfterClose(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	dir := &peers{addresses: map[string]string{"closed": l.Addr().String()}}
	met := make(chan string, 1)
	closed := NewMesh(Config{
		Fleet: "f", Self: "closed.1", Resolver: dir, Handler: &echo{},
		OnHello: func(h *Hello) { met <- h.GetIncarnation() },
	})
	closed.Close()
	served := make(chan struct{})
	go func() {
		closed.Serve(l)
		close(served)
	}()

	caller := NewMesh(Config{Fleet: "f", Self: "caller.1", Resolver: dir, Handler: &echo{}})
	t.Cleanup(caller.Close)
	if who, err := caller.Connect("closed"); err == nil {
		t.Errorf("%s answers though its mesh is closed", who)
	}
	_ = l.Close()
	<-served
	select {
	case who := <-met:
		t.Errorf("the closed mesh met %s", who)
	default:
	}
}
