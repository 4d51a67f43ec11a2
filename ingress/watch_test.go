package ingress

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/connset"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/platform/standin"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// records keeps the answers of a server.
type records chan Record

// RecordResponse implements Recorder.
func (r records) RecordResponse(a Record) { r <- a }

// stoodStill is an instance that accepts connections in the operating system, and
// reads none until goOn is called.
type stoodStill struct {
	t        *testing.T
	owners   *owners
	listener net.Listener
	answers  records
}

// newStoodStill returns an instance whose owners must not be offered anything.
func newStoodStill(t *testing.T) *stoodStill {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	offered := func(string, schedule.Offer, owner.OfferCallbacks) error {
		t.Error("the job is offered")
		return nil
	}
	return &stoodStill{t: t, owners: &owners{loads: twoZones(), offer: offered}, listener: listener, answers: make(records, 1)}
}

// goOn lets the instance read what has come, and returns what serving ends with. It ends
// with the test.
func (s *stoodStill) goOn() <-chan error {
	config := &fleet.Config{Version: 1, Routes: []fleet.Route{{Name: "r", Host: "desk.example", PathPrefix: "/checks/", Stretch: 1.6, MaxAttempts: 2}}}
	config.Index()
	notStopping := func() (time.Duration, bool) { return 0, false }
	server := NewServer(NewCoordinator("a", s.owners), func() *fleet.Config { return config }, notStopping, s.answers)
	conns := &connset.Set{}
	s.t.Cleanup(conns.Close)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(conns.Listener(s.listener)) }()
	return ended
}

// send sends a job of one task, and returns the customer's connection.
func (s *stoodStill) send() *net.TCPConn {
	customer, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	body := standin.Job{Tasks: 1, MilliCPU: 100, TaskDuration: 50 * time.Millisecond}.Body()
	if _, err := fmt.Fprintf(customer, "POST /checks/0000000000000001 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		s.t.Fatal(err)
	}
	return customer.(*net.TCPConn)
}

// TestReadAfterCustomerLeft guards against two runs of one task at once: a request is read
// after its customer has left, and may have sent it again elsewhere.
func TestReadAfterCustomerLeft(t *testing.T) {
	instance := newStoodStill(t)
	customer := instance.send()
	if err := customer.Close(); err != nil {
		t.Fatal(err)
	}
	instance.goOn()
	if a := <-instance.answers; a.Verdict != CustomerLeft || a.Offers != 0 {
		t.Errorf("%+v", a)
	}
}

// TestReadAfterReset guards against two runs of one task at once: a request is read after its
// connection was reset, which its customer has sent again elsewhere. The system still hands
// out bytes that came before a reset.
func TestReadAfterReset(t *testing.T) {
	instance := newStoodStill(t)
	customer := instance.send()
	if err := errors.Join(customer.SetLinger(0), customer.Close()); err != nil { // a reset
		t.Fatal(err)
	}
	instance.goOn()
	if a := <-instance.answers; a.Verdict != CustomerLeft || a.Offers != 0 {
		t.Errorf("%+v", a)
	}
}

// TestResetBehindNextRequest: while a job is being offered, its customer sends the next
// request without waiting for the answer, and then the connection is reset. What is
// unread there does not hide the end.
func TestResetBehindNextRequest(t *testing.T) {
	instance := newStoodStill(t)
	customer := instance.send()
	instance.owners.offer = func(string, schedule.Offer, owner.OfferCallbacks) error {
		_, err := customer.Write([]byte("GET /checks/ HTTP/1.1\r\n"))
		if err := errors.Join(err, customer.SetLinger(0), customer.Close()); err != nil {
			t.Error(err)
		}
		return failure.Unreachable.New("cut")
	}
	instance.goOn()
	if a := <-instance.answers; a.Verdict != CustomerLeft || a.Offers != 1 {
		t.Errorf("%+v", a)
	}
}

// plainListener hides the sockets of its connections, as a TLS or a library's wrapper does.
type plainListener struct{ net.Listener }

// Accept implements net.Listener.
func (l plainListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return plainConn{c}, err
}

type plainConn struct{ net.Conn }

// socketListener has a socket itself, and hides those of its connections.
type socketListener struct{ plainListener }

// SyscallConn implements syscall.Conn.
func (l socketListener) SyscallConn() (syscall.RawConn, error) { return connset.Socket(l.Listener) }

// TestServesOnlySockets: where the system cannot be asked whether a connection has ended,
// a request that was read late would be taken for one whose customer waits. Nothing is
// served there, and the error says so.
func TestServesOnlySockets(t *testing.T) {
	for name, hide := range map[string]func(net.Listener) net.Listener{
		"listener":   func(l net.Listener) net.Listener { return plainListener{l} },
		"connection": func(l net.Listener) net.Listener { return socketListener{plainListener{l}} },
	} {
		t.Run(name, func(t *testing.T) {
			instance := newStoodStill(t)
			customer := instance.send()
			if err := customer.Close(); err != nil {
				t.Fatal(err)
			}
			instance.listener = hide(instance.listener)
			if err := <-instance.goOn(); !failure.Is(err, failure.Internal) {
				t.Errorf("serving ended with %v", err)
			}
			select {
			case a := <-instance.answers:
				t.Errorf("a request was served: %+v", a)
			default:
			}
		})
	}
}

// TestUnaskableHasEnded: a connection that the system does not tell about, here because it
// is closed on this side, or because nothing watches it, counts as one that has ended.
func TestUnaskableHasEnded(t *testing.T) {
	instance := newStoodStill(t)
	customer := instance.send()
	l, err := newWatchedListener(instance.listener)
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if left := disconnectCheck(c); left() {
		t.Error("an open connection counts as ended")
	}
	if left := disconnectCheck(plainConn{c}); !left() {
		t.Error("a connection that is not watched counts as open")
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if left := disconnectCheck(c); !left() {
		t.Error("a connection that is closed here counts as open")
	}
	if err := customer.Close(); err != nil {
		t.Fatal(err)
	}
}
