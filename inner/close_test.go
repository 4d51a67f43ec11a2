package inner

import (
	"net"
	"testing"

	"go.uber.org/goleak"
)

// TestServeAfterClose checks that a connection that Serve accepts after Close is closed at
// once, and that OnHello is not called for its peer. It guards against Serve handling such a
// connection in a goroutine that Close does not wait for. The race detector reported that
// fault in about one of 450 runs of TestZoneCutHeals: WaitGroup.Add was called concurrently
// with WaitGroup.Wait.
func TestServeAfterClose(t *testing.T) {
	t.Cleanup(func() { goleak.VerifyNone(t) })
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	resolver := &mapResolver{addresses: map[string]string{"closed": l.Addr().String()}}
	hellos := make(chan string, 1)
	closed := NewMesh(Config{
		Fleet: "f", Self: "closed.1", Resolver: resolver, Handler: &echoHandler{},
		OnHello: func(h *Hello) { hellos <- h.GetIncarnation() },
	})
	closed.Close()
	served := make(chan struct{})
	go func() {
		closed.Serve(l)
		close(served)
	}()

	caller := NewMesh(Config{Fleet: "f", Self: "caller.1", Resolver: resolver, Handler: &echoHandler{}})
	t.Cleanup(caller.Close)
	if who, err := caller.Connect("closed"); err == nil {
		t.Errorf("%s accepted a connection although its mesh is closed", who)
	}
	_ = l.Close()
	<-served
	select {
	case who := <-hellos:
		t.Errorf("the closed mesh received the hello of %s", who)
	default:
	}
}
