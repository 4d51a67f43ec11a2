package ingress

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// TestLeavesWhileOffered guards against a job that runs although its customer has disconnected
// and may have sent it to another instance. The customer disconnects while an offer is being
// sent. The offer cannot be withdrawn at that moment, because the owner has not received it
// yet, so it must be withdrawn after it has been sent.
func TestLeavesWhileOffered(t *testing.T) {
	disconnected := make(chan struct{})
	response := make(chan Response, 1)
	offered := make(chan struct{})
	f := &fakeOwners{loads: twoZoneLoads()}
	f.offer = func(group string, o schedule.Offer, cb owner.OfferCallbacks) error {
		if group == "a/0" {
			go func() {
				endOffer(cb, schedule.Result{Outcome: schedule.Completed, Returned: o.Tasks})
				close(offered)
			}()
			return nil
		}
		close(disconnected)
		if got := <-response; got.Verdict != CustomerLeft {
			t.Errorf("response %+v, want verdict left", got)
		}
		f.mu.Lock()
		f.withdrawn = nil // count only withdrawals after this offer has been sent
		f.mu.Unlock()
		return nil
	}
	go func() { response <- NewCoordinator("a", f).Run(newRequest(1), disconnected) }()
	<-offered
	if len(f.withdrawn) != 1 {
		t.Errorf("%d withdrawals after the offer was sent, want 1", len(f.withdrawn))
	}
}

// TestSentAgainAndLeft checks that a job ends once all connections of its customer have ended,
// because the customer may then send it to another instance. The customer has sent the job to
// the same instance on two connections, of which the second ends first.
func TestSentAgainAndLeft(t *testing.T) {
	offered := make(chan struct{}, 1)
	f := &fakeOwners{loads: twoZoneLoads(), offer: func(string, schedule.Offer, owner.OfferCallbacks) error { offered <- struct{}{}; return nil }}
	c := NewCoordinator("a", f)
	first, second := make(chan struct{}), make(chan struct{})
	r := newRequest(1)
	r.Timeout = 5 * time.Second
	response := make(chan Response, 1)
	go func() { response <- c.Run(r, first) }()
	<-offered
	close(second)
	if got := c.Run(r, second); got.Verdict != CustomerLeft {
		t.Errorf("response on the second connection: %+v, want verdict left", got)
	}
	close(first)
	if got := <-response; got.Verdict != CustomerLeft || len(f.withdrawn) != 1 {
		t.Errorf("response on the first connection: %+v, %d offers withdrawn; want verdict left, 1 withdrawn", got, len(f.withdrawn))
	}
}

// TestNoLeaseAheadOfWithdrawals checks that the lease at an owner is not renewed between the
// verdict on a job and the withdrawal of its offers.
//
// The failure needs a pause of the process between the two. After the pause, the goroutine
// that processes the owner's heartbeats may run before the one that sends the withdrawal. It
// finds no disconnected customer among the open jobs and renews the lease. An owner that was
// paused as well then starts the waiting tasks, while the customer has already sent the job to
// another instance.
func TestNoLeaseAheadOfWithdrawals(t *testing.T) {
	disconnected, withdrawing, resume := make(chan struct{}), make(chan struct{}), make(chan struct{})
	offered := make(chan struct{})
	f := &blockingOwners{
		fakeOwners:  fakeOwners{loads: twoZoneLoads(), offer: func(string, schedule.Offer, owner.OfferCallbacks) error { close(offered); return nil }},
		withdrawing: withdrawing, resume: resume,
	}
	c := NewCoordinator("a", f)
	response := make(chan Response)
	go func() { response <- c.Run(newRequest(1), disconnected) }()
	<-offered
	close(disconnected)
	<-withdrawing
	if c.EndDisconnected() {
		t.Error("EndDisconnected allows the renewal of a lease while an offer is being withdrawn")
	}
	close(resume)
	<-response
	if c.sendsInFlight.Load() != 0 {
		t.Errorf("%d sends are counted as in flight after the withdrawal was sent", c.sendsInFlight.Load())
	}
}

// TestNoLeaseWhileOffering checks that the lease at an owner is not renewed while an offer is
// being sent. If the job gets its verdict meanwhile, the offer is withdrawn only after it has
// been sent, and the renewal must not overtake that withdrawal.
func TestNoLeaseWhileOffering(t *testing.T) {
	disconnected, offering, resume := make(chan struct{}), make(chan struct{}), make(chan struct{})
	f := &fakeOwners{loads: twoZoneLoads(), offer: func(string, schedule.Offer, owner.OfferCallbacks) error {
		close(offering)
		<-resume
		return nil
	}}
	c := NewCoordinator("a", f)
	response := make(chan Response)
	go func() { response <- c.Run(newRequest(1), disconnected) }()
	<-offering
	if c.EndDisconnected() {
		t.Error("EndDisconnected allows the renewal of a lease while an offer is being sent")
	}
	close(resume)
	close(disconnected)
	<-response
	if !c.EndDisconnected() {
		t.Error("EndDisconnected prevents the renewal of a lease although nothing is being sent")
	}
}

// blockingOwners are fakeOwners whose Withdraw closes withdrawing and blocks until resume is
// closed.
type blockingOwners struct {
	fakeOwners
	withdrawing, resume chan struct{}
}

func (f *blockingOwners) Withdraw(group string, key schedule.JobKey, reason string) {
	close(f.withdrawing)
	<-f.resume
	f.fakeOwners.Withdraw(group, key, reason)
}

// TestReasonsOfLeaving checks that reasonDisconnectedUnread is reported for a request that was
// read after its connection had ended, and reasonDisconnected for a customer that disconnects
// while its job waits for an owner. Operators count the first reason to see how many requests
// instances read too late.
func TestReasonsOfLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		checksBefore int
		want         string
	}{
		"read after the end":         {0, reasonDisconnectedUnread},
		"disconnected while waiting": {1, reasonDisconnected},
	} {
		checks := 0
		r := newRequest(1)
		r.Timeout = 5 * time.Second
		r.Disconnected = func() bool { checks++; return checks > c.checksBefore }
		noOwners := &fakeOwners{} // the job waits for an owner
		if got := NewCoordinator("a", noOwners).Run(r, nil); got.Verdict != CustomerLeft || got.Reason != c.want || got.Offers != 0 {
			t.Errorf("%s: response %+v, want verdict left with the reason of this case and no offers", name, got)
		}
	}
}
