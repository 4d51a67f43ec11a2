package ingress

import (
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/connset"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/platform/standin"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// records keeps the answers of a server.
type records chan Record

// Answered implements Recorder.
func (r records) Answered(a Record) { r <- a }

// TestReadAfterCustomerLeft: an instance stands still while a customer sends a job and
// leaves. Once it reads the request, it begins nothing: the customer may have sent the
// job again elsewhere.
func TestReadAfterCustomerLeft(t *testing.T) {
	f := &owners{loads: twoZones(), offer: func(string, schedule.Offer, owner.Answer) error {
		t.Error("the job is offered")
		return nil
	}}
	config := &fleet.Config{Version: 1, Routes: []fleet.Route{{Name: "r", Host: "desk.example", PathPrefix: "/checks/", Stretch: 1.6, MaxAttempts: 2}}}
	config.Index()
	answers := make(records, 1)
	notStopping := func() (time.Duration, bool) { return 0, false }
	server := NewServer(NewCoordinator("a", f), func() *fleet.Config { return config }, notStopping, answers)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var conns connset.Set
	defer conns.Close()
	customer, err := net.Dial("tcp4", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	body := standin.Job{Tasks: 1, MilliCPU: 100, Takes: 50 * time.Millisecond}.Body()
	if _, err := fmt.Fprintf(customer, "POST /checks/0000000000000001 HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
		t.Fatal(err)
	}
	if err := customer.Close(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = server.Serve(conns.Listener(listener)) }() // now it goes on; it ends with the listener
	defer func() { _ = listener.Close() }()
	if a := <-answers; a.Verdict != Left || a.Offers != 0 {
		t.Errorf("%+v", a)
	}
}
