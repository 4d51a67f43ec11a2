package ingress

import (
	"bufio"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"

	"pgregory.net/rapid"
)

// The operating system's usual monotonic clock (CLOCK_MONOTONIC) stops while the machine is
// suspended, and so do timers. An owner that measured the lease of a coordinator with this
// clock would consider the lease valid for longer than it is, by the length of the
// suspension. After a suspension the owner would start tasks that were offered before it,
// although their customers have since sent the jobs to another instance. Package clock
// therefore uses a clock that goes on during a suspension.

// drawSuspendedCase draws a simulation in which machines are suspended for up to 3 s.
func drawSuspendedCase(t *rapid.T) simCase {
	return simCase{
		seed: rapid.Uint64().Draw(t, "seed"), lateShare: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late"),
		faultPercent: rapid.IntRange(5, 25).Draw(t, "faults"), faultKinds: allFaultKinds,
		linkHeartbeat: rapid.SampledFrom([]time.Duration{sameZoneHeartbeat, crossZoneHeartbeat}).Draw(t, "beat"), suspendsMachines: true,
		reportsWaits: rapid.Bool().Draw(t, "waits"),
	}
}

// TestSuspended searches for two simultaneous runs of one task, as TestTwoRuns does. In place
// of the process alone, each pause suspends the whole machine.
func TestSuspended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawSuspendedCase(t).run(t) })
}

// violationFound is a failer for simulations that are expected to find a violation. Its Fatalf
// ends the simulation with a panic whose value is a violationFound.
type violationFound struct{}

// Fatalf implements failer.
func (violationFound) Fatalf(string, ...any) { panic(violationFound{}) }

// findsViolation reports whether a simulation finds two simultaneous runs of one task.
func (c simCase) findsViolation() (found bool) {
	defer func() {
		if reason := recover(); reason != nil {
			if _, found = reason.(violationFound); !found {
				panic(reason)
			}
		}
	}()
	c.run(violationFound{})
	return false
}

// TestSteadyClocksAreNotEnough checks that the simulation would detect the use of a clock that
// stops while its machine is suspended. With such clocks, this seed leads to two simultaneous
// runs of one task; with clocks that go on, it does not.
func TestSteadyClocksAreNotEnough(t *testing.T) {
	c := simCase{seed: 125, faultPercent: 25, faultKinds: allFaultKinds, linkHeartbeat: sameZoneHeartbeat, suspendsMachines: true, suspensionStopsClocks: true}
	if !c.findsViolation() {
		t.Error("with clocks that stop, the simulation found no two simultaneous runs of a task")
	}
	c.suspensionStopsClocks = false
	if c.findsViolation() {
		t.Error("with clocks that go on, the simulation found two simultaneous runs of a task")
	}
}

// TestEndHeardAfterSuspension guards against two simultaneous runs of one task after a machine
// of a coordinator was suspended. During the suspension a customer disconnects and sends its
// job to the other coordinator. After it, the operating system learns that the connection has
// ended only when the customer's machine retransmits that, some time after the coordinator
// has resumed. Meanwhile the coordinator takes the customer for connected:
//   - unread: it reads the request and offers the job
//   - open: it goes on with a job that was open before the suspension
func TestEndHeardAfterSuspension(t *testing.T) {
	for name, c := range map[string]simCase{
		"unread": {seed: 0x1ec9, faultPercent: 25, linkHeartbeat: sameZoneHeartbeat},
		"open":   {seed: 0xd6, faultPercent: 6, linkHeartbeat: crossZoneHeartbeat},
	} {
		c.lateShare, c.faultKinds, c.suspendsMachines, c.retransmitsCloses = 0.05, allFaultKinds, true, true
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}

// TestSuspendedHearsLate searches as TestSuspended does, with a network that loses what is sent to
// a suspended machine: it learns of a closed connection only by a retransmission after the
// suspension, and never of a reset one.
func TestSuspendedHearsLate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawSuspendedCase(t)
		c.retransmitsCloses, c.losesResets = true, rapid.Bool().Draw(t, "resets")
		c.run(t)
	})
}

// suspendedClock is the clock of the process, of whose machine a test says how long it was
// suspended.
type suspendedClock struct {
	systemClock
	total *atomic.Int64 // nanoseconds
}

func newSuspendedClock() suspendedClock { return suspendedClock{total: &atomic.Int64{}} }

func (c suspendedClock) suspend(d time.Duration) { c.total.Add(int64(d)) }

// Suspended implements Clock.
func (c suspendedClock) Suspended() time.Duration { return time.Duration(c.total.Load()) }

func readResponse(t *testing.T, conn net.Conn) *http.Response {
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatal(err)
	}
	return response
}

// completeAtOnce is an owner that completes each offer before Offer returns.
func completeAtOnce(_ string, o schedule.Offer, cb owner.OfferCallbacks) error {
	endOffer(cb, schedule.Result{Outcome: schedule.Completed, Done: o.Tasks, Begun: true})
	return nil
}

// TestUnreadDuringSuspension guards against two simultaneous runs of one task: a request lay
// unread in the accept queue while the machine was suspended, and the close of its connection is
// not known yet. It must be rejected as not run. A customer that connects afterwards is served.
func TestUnreadDuringSuspension(t *testing.T) {
	instance := newPausedInstance(t)
	machine := newSuspendedClock()
	instance.clock = machine
	before := instance.sendJob()
	machine.suspend(2 * minSuspension)
	instance.resume()
	if got := <-instance.records; got.Verdict != NotRun || got.Reason != reasonSuspended || got.Offers != 0 {
		t.Errorf("record %+v, want verdict not_run because of the suspension, and no offers", got)
	}
	if r := readResponse(t, before); r.StatusCode != http.StatusServiceUnavailable || !r.Close {
		t.Errorf("status %d, close %v; want 503 on a connection that is closed", r.StatusCode, r.Close)
	}
	instance.owners.offer = completeAtOnce
	after := instance.sendJob()
	if got := <-instance.records; got.Verdict != Completed {
		t.Errorf("record %+v of a customer that connected after the suspension, want verdict completed", got)
	}
	if r := readResponse(t, after); r.Close {
		t.Error("a connection from after the suspension is closed")
	}
}

// TestKeptConnectionAcrossSuspension checks that a job is not offered if it arrives on a
// connection from before a suspension: it may have been sent during the suspension, and the close
// of the connection may follow.
func TestKeptConnectionAcrossSuspension(t *testing.T) {
	instance := newPausedInstance(t)
	machine := newSuspendedClock()
	instance.clock = machine
	instance.owners.offer = completeAtOnce
	instance.resume()
	customer := instance.sendJob()
	if got := <-instance.records; got.Verdict != Completed {
		t.Fatalf("record %+v, want verdict completed", got)
	}
	if r := readResponse(t, customer); r.Close {
		t.Error("the connection is closed without a suspension")
	}
	machine.suspend(time.Second)
	instance.sendJobOn(customer)
	if got := <-instance.records; got.Verdict != NotRun || got.Reason != reasonSuspended || got.Offers != 0 {
		t.Errorf("record %+v, want verdict not_run because of the suspension, and no offers", got)
	}
	if r := readResponse(t, customer); r.StatusCode != http.StatusServiceUnavailable || !r.Close {
		t.Errorf("status %d, close %v; want 503 on a connection that is closed", r.StatusCode, r.Close)
	}
}

// TestOpenDuringSuspension checks what becomes of a job that was open while the machine was
// suspended: it is ended before the lease of its coordinator is renewed and before any of its
// tasks is offered again, but a result that arrives before that is delivered.
func TestOpenDuringSuspension(t *testing.T) {
	for name, c := range map[string]struct {
		resumed func(c *Coordinator, offer owner.OfferCallbacks)
		want    Verdict
	}{
		"lease due": {func(c *Coordinator, _ owner.OfferCallbacks) {
			c.lastResume = resumeTracker{total: c.clock.Suspended(), noticedAt: c.clock.Now().Add(-resultGrace)}
			if !c.EndDisconnected() {
				t.Error("the lease is not renewed although the job has been withdrawn")
			}
		}, Unknown},
		"result arrives before the lease is renewed": {func(c *Coordinator, offer owner.OfferCallbacks) {
			if c.EndDisconnected() {
				t.Error("the lease is renewed although the job is open")
			}
			endOffer(offer, schedule.Result{Outcome: schedule.Completed, Done: []int{0}, Begun: true})
		}, Completed},
		"tasks returned": {func(_ *Coordinator, offer owner.OfferCallbacks) {
			endOffer(offer, schedule.Result{Outcome: schedule.Completed, Returned: []int{0}})
		}, NotRun},
		"result arrives": {func(_ *Coordinator, offer owner.OfferCallbacks) {
			endOffer(offer, schedule.Result{Outcome: schedule.Completed, Done: []int{0}, Begun: true})
		}, Completed},
	} {
		t.Run(name, func(t *testing.T) {
			machine := newSuspendedClock()
			offers := make(chan owner.OfferCallbacks, 2)
			f := &fakeOwners{loads: twoZoneLoads(), offer: func(_ string, _ schedule.Offer, cb owner.OfferCallbacks) error { offers <- cb; return nil }}
			coordinator := NewSimulatedCoordinator("a", f, machine, DefaultPolicy, alwaysHalf)
			response := make(chan Response, 1)
			r := newRequest(1)
			r.Disconnected = func() bool { return false } // the operating system does not know better
			go func() { response <- coordinator.Run(r, nil) }()
			offer := <-offers
			machine.suspend(time.Second)
			c.resumed(coordinator, offer)
			if got := <-response; got.Verdict != c.want || got.Offers != 1 {
				t.Errorf("response %+v, want verdict %s after one offer", got, c.want)
			}
		})
	}
}

// TestAcceptQueueAfterSuspension checks that every connection that may have been in the accept
// queue during a suspension counts as older than it.
func TestAcceptQueueAfterSuspension(t *testing.T) {
	instance := newPausedInstance(t)
	machine := newSuspendedClock()
	l, err := newWatchedListener(instance.listener, machine.Suspended)
	if err != nil {
		t.Fatal(err)
	}
	accept := func() time.Duration {
		c, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		return suspendedBefore(c)
	}
	instance.sendJob()
	accept()
	for range 3 {
		instance.sendJob()
	}
	machine.suspend(time.Second)
	for i := range 3 {
		if before := accept(); !suspendedSince(before, machine.Suspended()) {
			t.Errorf("connection %d counts as accepted after the suspension", i)
		}
	}
	instance.sendJob()
	if before := accept(); suspendedSince(before, machine.Suspended()) {
		t.Error("a connection from after the suspension counts as older")
	}
	_ = l.Close() // the next Accept fails
	if !l.hasPending() {
		t.Error("the accept queue counts as empty although it cannot be queried")
	}
	if _, err := l.Accept(); err == nil || failure.Is(err, failure.Internal) {
		t.Errorf("Accept of a closed listener returned %v", err)
	}
}
