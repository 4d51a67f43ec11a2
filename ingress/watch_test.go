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

// recordChan is a Recorder that sends the records to a channel.
type recordChan chan Record

// RecordResponse implements Recorder.
func (c recordChan) RecordResponse(r Record) { c <- r }

// pausedInstance is an instance that does not read requests until resume is called. The
// operating system accepts its connections meanwhile.
type pausedInstance struct {
	t        *testing.T
	owners   *fakeOwners
	listener net.Listener
	records  recordChan
}

// newPausedInstance returns a pausedInstance that fails the test if it makes an offer.
func newPausedInstance(t *testing.T) *pausedInstance {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	offered := func(string, schedule.Offer, owner.OfferCallbacks) error {
		t.Error("the job was offered to an owner")
		return nil
	}
	return &pausedInstance{t: t, owners: &fakeOwners{loads: twoZoneLoads(), offer: offered}, listener: listener, records: make(recordChan, 1)}
}

// resume starts serving, until the end of the test, and returns a channel that receives the
// result of Serve.
func (s *pausedInstance) resume() <-chan error {
	config := &fleet.Config{Version: 1, Routes: []fleet.Route{{Name: "r", Host: "desk.example", PathPrefix: "/checks/", Stretch: 1.6, MaxAttempts: 2}}}
	config.Index()
	notStopping := func() (time.Duration, bool) { return 0, false }
	server := NewServer(NewCoordinator("a", s.owners), func() *fleet.Config { return config }, notStopping, s.records)
	conns := &connset.Set{}
	s.t.Cleanup(conns.Close)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(conns.Listener(s.listener)) }()
	return ended
}

// sendJob sends a job of one task, and returns the customer's connection.
func (s *pausedInstance) sendJob() *net.TCPConn {
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

// TestReadAfterCustomerLeft guards against two simultaneous runs of one task, which occur if a
// request is offered to owners although its customer has closed the connection before the
// request was read, and may have sent it to another instance.
func TestReadAfterCustomerLeft(t *testing.T) {
	instance := newPausedInstance(t)
	customer := instance.sendJob()
	if err := customer.Close(); err != nil {
		t.Fatal(err)
	}
	instance.resume()
	if got := <-instance.records; got.Verdict != CustomerLeft || got.Offers != 0 {
		t.Errorf("%+v", got)
	}
}

// TestReadAfterReset guards against two simultaneous runs of one task, as
// TestReadAfterCustomerLeft does, after a connection was reset. The operating system still
// delivers bytes that were received before the reset.
func TestReadAfterReset(t *testing.T) {
	instance := newPausedInstance(t)
	customer := instance.sendJob()
	if err := errors.Join(customer.SetLinger(0), customer.Close()); err != nil { // resets the connection
		t.Fatal(err)
	}
	instance.resume()
	if got := <-instance.records; got.Verdict != CustomerLeft || got.Offers != 0 {
		t.Errorf("%+v", got)
	}
}

// TestResetBehindNextRequest checks that the end of a connection is detected although there
// are unread bytes on it: while a job is being offered, its customer sends the next request
// without waiting for the response, and then the connection is reset.
func TestResetBehindNextRequest(t *testing.T) {
	instance := newPausedInstance(t)
	customer := instance.sendJob()
	instance.owners.offer = func(string, schedule.Offer, owner.OfferCallbacks) error {
		_, err := customer.Write([]byte("GET /checks/ HTTP/1.1\r\n"))
		if err := errors.Join(err, customer.SetLinger(0), customer.Close()); err != nil {
			t.Error(err)
		}
		return failure.Unreachable.New("partitioned")
	}
	instance.resume()
	if got := <-instance.records; got.Verdict != CustomerLeft || got.Offers != 1 {
		t.Errorf("%+v", got)
	}
}

// opaqueListener hides its socket and those of its connections, as the wrappers of TLS and
// other libraries do.
type opaqueListener struct{ net.Listener }

// Accept implements net.Listener.
func (l opaqueListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return opaqueConn{c}, err
}

// opaqueConn hides the socket of a connection.
type opaqueConn struct{ net.Conn }

// socketListener exposes its own socket and hides those of its connections.
type socketListener struct{ opaqueListener }

// SyscallConn implements syscall.Conn.
func (l socketListener) SyscallConn() (syscall.RawConn, error) { return connset.Socket(l.Listener) }

// TestServesOnlySockets checks that Serve fails and serves no request if the operating system
// cannot be asked whether a connection has ended. A request that is read late would otherwise
// be treated as if its customer still waited.
func TestServesOnlySockets(t *testing.T) {
	for name, hide := range map[string]func(net.Listener) net.Listener{
		"listener":   func(l net.Listener) net.Listener { return opaqueListener{l} },
		"connection": func(l net.Listener) net.Listener { return socketListener{opaqueListener{l}} },
	} {
		t.Run(name, func(t *testing.T) {
			instance := newPausedInstance(t)
			customer := instance.sendJob()
			if err := customer.Close(); err != nil {
				t.Fatal(err)
			}
			instance.listener = hide(instance.listener)
			if err := <-instance.resume(); !failure.Is(err, failure.Internal) {
				t.Errorf("Serve returned %v, want an Internal error", err)
			}
			select {
			case got := <-instance.records:
				t.Errorf("a request was served: %+v", got)
			default:
			}
		})
	}
}

// TestUnqueryableCountsAsClosed checks that a connection counts as closed by the peer if its
// state cannot be queried, because this side has closed it or because it is not a watchedConn.
func TestUnqueryableCountsAsClosed(t *testing.T) {
	instance := newPausedInstance(t)
	customer := instance.sendJob()
	l, err := newWatchedListener(instance.listener)
	if err != nil {
		t.Fatal(err)
	}
	c, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	if disconnected := disconnectCheck(c); disconnected() {
		t.Error("an open connection counts as closed")
	}
	if disconnected := disconnectCheck(opaqueConn{c}); !disconnected() {
		t.Error("a connection that is not watched counts as open")
	}
	if err := c.Close(); err != nil {
		t.Fatal(err)
	}
	if disconnected := disconnectCheck(c); !disconnected() {
		t.Error("a connection that this side has closed counts as open")
	}
	if err := customer.Close(); err != nil {
		t.Fatal(err)
	}
}
