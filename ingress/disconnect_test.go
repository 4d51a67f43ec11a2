package ingress

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// TestLeavesWhileOffered guards against a job that runs although its customer has
// disconnected, possibly at the same time as on another instance. The customer disconnects
// after the decision to make an offer and before the offer has been sent, when there is
// nothing to withdraw yet. The offer must be withdrawn once it has been sent.
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
			t.Errorf("response %+v", got)
		}
		f.mu.Lock()
		f.withdrawn = nil // there was nothing to withdraw yet
		f.mu.Unlock()
		return nil
	}
	go func() { response <- NewCoordinator("a", f).Run(newRequest(1), disconnected) }()
	<-offered
	if len(f.withdrawn) != 1 {
		t.Errorf("%d offers were withdrawn after they were sent", len(f.withdrawn))
	}
}

// TestSentAgainAndLeft checks that a job ends if its customer has sent it twice to the same
// instance and both connections end, the second one first. The customer may then send the job
// to another instance.
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
		t.Errorf("response on the second connection: %+v", got)
	}
	close(first)
	if got := <-response; got.Verdict != CustomerLeft || len(f.withdrawn) != 1 {
		t.Errorf("response on the first connection: %+v, %d offers withdrawn", got, len(f.withdrawn))
	}
}

// TestNoLeaseAheadOfWithdrawals checks that a lease is not renewed between the verdict on a
// job and the withdrawal of its offers.
//
// Different threads do the two, and the process may be paused between them. After the pause,
// the thread that processes the owner's heartbeats may run first, find no disconnected
// customer among the open jobs, and renew the lease. The owner, which was paused as well,
// would then start the waiting tasks while the job runs on another instance.
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
		t.Error("a lease may be renewed while an offer is being withdrawn")
	}
	close(resume)
	<-response
	if c.sendsInFlight.Load() != 0 {
		t.Errorf("%d sends are still in flight", c.sendsInFlight.Load())
	}
}

// TestNoLeaseWhileOffering checks that a lease is not renewed while an offer is being sent: if
// the job gets its verdict meanwhile, the offer is withdrawn only after it has been sent.
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
		t.Error("a lease may be renewed while an offer is being sent")
	}
	close(resume)
	close(disconnected)
	<-response
	if !c.EndDisconnected() {
		t.Error("no lease may be renewed although nothing is being sent")
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

// TestReasonsOfLeaving checks that reasonDisconnectedUnread is reported only for requests that
// were read after their connections had ended, and not if the customer disconnects while its
// job waits for an owner. Operators count the former to see how often customers have gone to
// another instance before their request is read.
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
			t.Errorf("%s: response %+v", name, got)
		}
	}
}
