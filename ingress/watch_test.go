package ingress

import (
	"errors"
	"fmt"
	"net"
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

// Answered implements Recorder.
func (r records) Answered(a Record) { r <- a }

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
	offered := func(string, schedule.Offer, owner.Answer) error {
		t.Error("the job is offered")
		return nil
	}
	return &stoodStill{t: t, owners: &owners{loads: twoZones(), offer: offered}, listener: listener, answers: make(records, 1)}
}

// goOn lets the instance read what has come. It ends with the test.
func (s *stoodStill) goOn() {
	config := &fleet.Config{Version: 1, Routes: []fleet.Route{{Name: "r", Host: "desk.example", PathPrefix: "/checks/", Stretch: 1.6, MaxAttempts: 2}}}
	config.Index()
	notStopping := func() (time.Duration, bool) { return 0, false }
	server := NewServer(NewCoordinator("a", s.owners), func() *fleet.Config { return config }, notStopping, s.answers)
	conns := &connset.Set{}
	s.t.Cleanup(conns.Close)
	go func() { _ = server.Serve(conns.Listener(s.listener)) }() // it ends with the listener
}

// send sends a job of one task, and returns the customer's connection.
func (s *stoodStill) send() *net.TCPConn {
	customer, err := net.Dial("tcp4", s.listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	body := standin.Job{Tasks: 1, MilliCPU: 100, Takes: 50 * time.Millisecond}.Body()
	if _, err := fmt.Fprintf(customer, "POST /checks/0000000000000001 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		s.t.Fatal(err)
	}
	return customer.(*net.TCPConn)
}

// TestReadAfterCustomerLeft: an instance stands still while a customer sends a job and
// leaves. Once it reads the request, it begins nothing: the customer may have sent the
// job again elsewhere.
func TestReadAfterCustomerLeft(t *testing.T) {
	instance := newStoodStill(t)
	customer := instance.send()
	if err := customer.Close(); err != nil {
		t.Fatal(err)
	}
	instance.goOn()
	if a := <-instance.answers; a.Verdict != Left || a.Offers != 0 {
		t.Errorf("%+v", a)
	}
}

// TestReadAfterReset tells how one task came to have two runs at once.
//
// An instance had used up its processor time and did not come to accept a connection for
// .28 s. Meanwhile the connections were reset. A customer whose connection was never
// accepted knows that nobody has read its request, and sends it again at once, to another
// instance, which ran it. Then the first instance came to read what lay in the socket, for
// the system still hands out bytes that came before a reset, and offered the job to the
// owners of another availability zone. It noted that the customer had left 10 ms later,
// when the goroutine that waits for that had its turn.
//
// What showed it, in milliseconds from the first reading: read by hotel-ville-12 at 0, its
// run from 5 to 294; read by hotel-ville-7, which the customer had asked first, at 223 with
// the connection ended, its run from 224 to 323, "the customer has left" at 233. The
// deadlines that the two requests brought along, 2,445 and 2,621 ms, tell which was sent
// first. Four other plays show the same.
//
// So the system is asked before each offer whether the connection has ended.
func TestReadAfterReset(t *testing.T) {
	instance := newStoodStill(t)
	customer := instance.send()
	if err := errors.Join(customer.SetLinger(0), customer.Close()); err != nil { // a reset
		t.Fatal(err)
	}
	instance.goOn()
	if a := <-instance.answers; a.Verdict != Left || a.Offers != 0 {
		t.Errorf("%+v", a)
	}
}

// TestResetBehindNextRequest: while a job is being offered, its customer sends the next
// request without waiting for the answer, and then the connection is reset. What is
// unread there does not hide the end.
func TestResetBehindNextRequest(t *testing.T) {
	instance := newStoodStill(t)
	customer := instance.send()
	instance.owners.offer = func(string, schedule.Offer, owner.Answer) error {
		_, err := customer.Write([]byte("GET /checks/ HTTP/1.1\r\n"))
		if err := errors.Join(err, customer.SetLinger(0), customer.Close()); err != nil {
			t.Error(err)
		}
		return failure.Unreachable.New("cut")
	}
	instance.goOn()
	if a := <-instance.answers; a.Verdict != Left || a.Offers != 1 {
		t.Errorf("%+v", a)
	}
}
