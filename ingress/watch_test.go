package ingress

import (
	"errors"
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
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

// pausedInstance is an instance that does not read requests until resume is called. Until then
// the operating system accepts connections in its place and buffers what they send.
type pausedInstance struct {
	t        *testing.T
	owners   *fakeOwners
	listener net.Listener
	records  recordChan
	clock    Clock
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
	return &pausedInstance{t: t, owners: &fakeOwners{loads: twoZoneLoads(), offer: offered}, listener: listener, records: make(recordChan, 1), clock: systemClock{}}
}

// resume makes the instance serve requests until the test ends. It returns a channel that
// receives the result of Serve.
func (s *pausedInstance) resume() <-chan error {
	config := &fleet.Config{Version: 1, Routes: []fleet.Route{{Name: "r", Host: "desk.example", PathPrefix: "/checks/", Stretch: 1.6, MaxAttempts: 2}}}
	config.Index()
	notStopping := func() (time.Duration, bool) { return 0, false }
	server := NewServer(NewSimulatedCoordinator("a", s.owners, s.clock, DefaultPolicy, alwaysHalf), noOthers{}, func() *fleet.Config { return config }, notStopping, s.records)
	conns := &connset.Set{}
	s.t.Cleanup(conns.Close)
	ended := make(chan error, 1)
	go func() { ended <- server.Serve(conns.Listener(s.listener)) }()
	return ended
}

// sendJob sends a job of one task to the instance and returns the customer's connection. It does
// not wait for a response.
func (s *pausedInstance) sendJob() *net.TCPConn {
	customer, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	s.sendJobOn(customer)
	return customer.(*net.TCPConn)
}

// sendJobOn sends the job on an open connection.
func (s *pausedInstance) sendJobOn(customer net.Conn) {
	body := standin.Job{Tasks: 1, MilliCPU: 100, TaskDuration: 50 * time.Millisecond}.Body()
	if _, err := fmt.Fprintf(customer, "POST /checks/0000000000000001 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		s.t.Fatal(err)
	}
}

// TestReadAfterCustomerLeft guards against two simultaneous runs of one task. They occur if an
// instance reads a request whose connection the customer has already closed, and offers the
// job: the customer may have sent it to another instance.
func TestReadAfterCustomerLeft(t *testing.T) {
	instance := newPausedInstance(t)
	customer := instance.sendJob()
	if err := customer.Close(); err != nil {
		t.Fatal(err)
	}
	instance.resume()
	if got := <-instance.records; got.Verdict != CustomerLeft || got.Offers != 0 {
		t.Errorf("record %+v, want verdict left and no offers", got)
	}
}

// TestReadAfterReset is like TestReadAfterCustomerLeft, but the connection is reset. The instance
// can still read the request, because the operating system delivers bytes that were received
// before the reset.
func TestReadAfterReset(t *testing.T) {
	instance := newPausedInstance(t)
	customer := instance.sendJob()
	if err := errors.Join(customer.SetLinger(0), customer.Close()); err != nil { // resets the connection
		t.Fatal(err)
	}
	instance.resume()
	if got := <-instance.records; got.Verdict != CustomerLeft || got.Offers != 0 {
		t.Errorf("record %+v, want verdict left and no offers", got)
	}
}

// TestResetBehindNextRequest checks that the end of a connection is detected even if unread
// bytes precede it. While its job is being offered, the customer sends part of its next request
// and then resets the connection. No second offer may follow.
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
		t.Errorf("record %+v, want verdict left and one offer", got)
	}
}

// opaqueListener hides its socket and those of its connections, as wrappers
// such as TLS listeners do.
type opaqueListener struct{ net.Listener }

// Accept implements net.Listener.
func (l opaqueListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return opaqueConn{c}, err
}

// opaqueConn hides the socket of a connection.
type opaqueConn struct{ net.Conn }

// socketListener exposes its own socket but hides those of its connections.
type socketListener struct{ opaqueListener }

// SyscallConn implements syscall.Conn.
func (l socketListener) SyscallConn() (syscall.RawConn, error) { return connset.Socket(l.Listener) }

// TestServesOnlySockets checks that Serve fails and serves no request if the socket of the
// listener or of a connection is hidden. Without it, the instance cannot find out whether the
// customer of a request that it reads late still waits.
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
// state cannot be queried: either this side has closed it, or it is not a watchedConn.
func TestUnqueryableCountsAsClosed(t *testing.T) {
	instance := newPausedInstance(t)
	customer := instance.sendJob()
	l, err := newWatchedListener(instance.listener, clock.Suspended)
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
