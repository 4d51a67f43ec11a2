package ingress

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// TestLeavesWhileOffered: a customer leaves while its job is on its way to an owner.
//
// What the first owner gives back is offered to the next by the thread that took it
// back; the customer's end is noticed by another. If that one withdraws all offers after
// the offer was noted and before it is sent, there is nothing to withdraw yet: the offer
// follows, its owner runs a job that nobody wants, and the customer has it run elsewhere
// meanwhile. So an offer is withdrawn once it is sent, where its job has ended.
func TestLeavesWhileOffered(t *testing.T) {
	left := make(chan struct{})
	answered := make(chan Answered, 1)
	offered := make(chan struct{})
	f := &owners{loads: twoZones()}
	f.offer = func(group string, o schedule.Offer, a owner.Answer) error {
		if group == "a/0" {
			go func() {
				end(a, schedule.Result{Outcome: schedule.Completed, Returned: o.Tasks})
				close(offered)
			}()
			return nil
		}
		close(left)
		if a := <-answered; a.Verdict != Left {
			t.Errorf("%+v", a)
		}
		f.mu.Lock()
		f.withdrawn = nil // there was nothing to withdraw yet
		f.mu.Unlock()
		return nil
	}
	go func() { answered <- NewCoordinator("a", f).Run(request(1), left) }()
	<-offered
	if len(f.withdrawn) != 1 {
		t.Errorf("%d offers were withdrawn after they were sent", len(f.withdrawn))
	}
}

// TestSentAgainAndLeft: a customer sends its job again to the instance where it is open,
// and both connections end, the second first. Nobody waits for the job any more, and the
// customer may send it to another instance: it must not go on.
func TestSentAgainAndLeft(t *testing.T) {
	offered := make(chan struct{}, 1)
	f := &owners{loads: twoZones(), offer: func(string, schedule.Offer, owner.Answer) error { offered <- struct{}{}; return nil }}
	c := NewCoordinator("a", f)
	first, second := make(chan struct{}), make(chan struct{})
	r := request(1)
	r.Patience = 5 * time.Second
	verdict := make(chan Answered, 1)
	go func() { verdict <- c.Run(r, first) }()
	<-offered
	close(second)
	if a := c.Run(r, second); a.Verdict != Left {
		t.Errorf("the second connection: %+v", a)
	}
	close(first)
	if a := <-verdict; a.Verdict != Left || len(f.withdrawn) != 1 {
		t.Errorf("the first: %+v, %d withdrawn", a, len(f.withdrawn))
	}
}
