package ingress

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// TestLeavesWhileOffered guards against a job that runs for nobody, beside its next sending:
// its customer leaves after an offer was decided on and before it is sent, when there is
// nothing to withdraw yet. It is withdrawn once it is sent.
func TestLeavesWhileOffered(t *testing.T) {
	left := make(chan struct{})
	answered := make(chan Response, 1)
	offered := make(chan struct{})
	f := &owners{loads: twoZones()}
	f.offer = func(group string, o schedule.Offer, a owner.OfferCallbacks) error {
		if group == "a/0" {
			go func() {
				end(a, schedule.Result{Outcome: schedule.Completed, Returned: o.Tasks})
				close(offered)
			}()
			return nil
		}
		close(left)
		if a := <-answered; a.Verdict != CustomerLeft {
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
	f := &owners{loads: twoZones(), offer: func(string, schedule.Offer, owner.OfferCallbacks) error { offered <- struct{}{}; return nil }}
	c := NewCoordinator("a", f)
	first, second := make(chan struct{}), make(chan struct{})
	r := request(1)
	r.Timeout = 5 * time.Second
	verdict := make(chan Response, 1)
	go func() { verdict <- c.Run(r, first) }()
	<-offered
	close(second)
	if a := c.Run(r, second); a.Verdict != CustomerLeft {
		t.Errorf("the second connection: %+v", a)
	}
	close(first)
	if a := <-verdict; a.Verdict != CustomerLeft || len(f.withdrawn) != 1 {
		t.Errorf("the first: %+v, %d withdrawn", a, len(f.withdrawn))
	}
}

// TestNoLeaseAheadOfWithdrawals: a lease must not be renewed between the moment at which a
// job has got its verdict and the withdrawal of its offers.
//
// The two are threads of one process, which may stand still in between: on waking up, the
// thread that reads the owner's heartbeats goes first, finds nobody who has left among the
// open jobs, and renews the lease. The owner, which stood still as well, starts what waited
// there, while the customer has the job run elsewhere.
func TestNoLeaseAheadOfWithdrawals(t *testing.T) {
	left, withdrawing, goOn := make(chan struct{}), make(chan struct{}), make(chan struct{})
	offered := make(chan struct{})
	f := &blockedOwners{
		owners:      owners{loads: twoZones(), offer: func(string, schedule.Offer, owner.OfferCallbacks) error { close(offered); return nil }},
		withdrawing: withdrawing, goOn: goOn,
	}
	c := NewCoordinator("a", f)
	answered := make(chan Response)
	go func() { answered <- c.Run(request(1), left) }()
	<-offered
	close(left)
	<-withdrawing
	if c.EndDisconnected() {
		t.Error("a lease may be renewed while an offer is being withdrawn")
	}
	close(goOn)
	<-answered
	if c.sendsInFlight.Load() != 0 {
		t.Errorf("%d threads are still sending", c.sendsInFlight.Load())
	}
}

// TestNoLeaseWhileOffering: nor while an offer is being sent, which is withdrawn as soon as
// it is, where its job has got its verdict meanwhile.
func TestNoLeaseWhileOffering(t *testing.T) {
	left, offering, goOn := make(chan struct{}), make(chan struct{}), make(chan struct{})
	f := &owners{loads: twoZones(), offer: func(string, schedule.Offer, owner.OfferCallbacks) error {
		close(offering)
		<-goOn
		return nil
	}}
	c := NewCoordinator("a", f)
	answered := make(chan Response)
	go func() { answered <- c.Run(request(1), left) }()
	<-offering
	if c.EndDisconnected() {
		t.Error("a lease may be renewed while an offer is being sent")
	}
	close(goOn)
	close(left)
	<-answered
	if !c.EndDisconnected() {
		t.Error("no lease is renewed though nothing is being sent")
	}
}

// blockedOwners are owners to which a withdrawal takes until goOn is closed.
type blockedOwners struct {
	owners
	withdrawing, goOn chan struct{}
}

func (f *blockedOwners) Withdraw(group string, key schedule.JobKey, reason string) {
	close(f.withdrawing)
	<-f.goOn
	f.owners.Withdraw(group, key, reason)
}

// TestReasonsOfLeaving: only a request that was read behind the end of its connection is
// told as such; operators count these to see how often customers are served elsewhere by
// then. One whose customer leaves while its job waits for an owner is none of them.
func TestReasonsOfLeaving(t *testing.T) {
	for name, c := range map[string]struct {
		looksBefore int
		want        string
	}{
		"read behind the end": {0, reasonDisconnectedUnread},
		"left while waiting":  {1, reasonDisconnected},
	} {
		looks := 0
		r := request(1)
		r.Timeout = 5 * time.Second
		r.Disconnected = func() bool { looks++; return looks > c.looksBefore }
		nobody := &owners{} // of upstreams: the job waits for one
		if a := NewCoordinator("a", nobody).Run(r, nil); a.Verdict != CustomerLeft || a.Reason != c.want || a.Offers != 0 {
			t.Errorf("%s: %+v", name, a)
		}
	}
}
