package owner

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"
	"github.com/sedgehatch/sedgehatch/schedule"

	"github.com/samber/lo"
)

// The load of these tests is that of a small instance that owns the 20 upstreams of
// its zone: starts carry the 1,200 bytes of their job and some 260 of their own,
// and a link of 2 Mbit/s carries 170 of them a second if it carries nothing else.

const (
	// narrowLink is a link of 2 Mbit/s, in bytes a second.
	narrowLink = 250_000
	// specBytes is the mean size of what a customer hands in with a job.
	specBytes = 1200
	// headBytes is what an order has beside that: names, token, lease, headers.
	headBytes = 260
	// openBytes is what opening and closing a connection sends: four packets.
	openBytes = 240
	// roundTripTime is that of an idle network.
	roundTripTime = 2 * time.Millisecond
	taskTime      = 100 * time.Millisecond
	// meanWidth is how many tasks a job has.
	meanWidth = 4
)

// linked are upstreams behind one link that carries one byte after the other.
// They run in the time of a synctest bubble.
type linked struct {
	rate float64 // bytes a second

	mu     sync.Mutex
	free   time.Time // when the link has carried what was handed to it
	cores  map[string]*standin.UpstreamModel
	idle   map[string]int // connections that no call is on
	opened int            // connections
}

func newLinked(rate float64, upstreams []fleet.Upstream) *linked {
	l := &linked{rate: rate, cores: map[string]*standin.UpstreamModel{}, idle: map[string]int{}}
	for _, u := range upstreams {
		l.cores[u.ID] = standin.NewUpstreamModel(time.Now(), u.Capacity, func(fleet.Run) (time.Duration, fleet.Resources) {
			return taskTime, fleet.Resources{MilliCPU: 32_000}
		})
	}
	return l
}

// call carries an order over the link and has it carried out, on a connection of
// its own. It is Lost after the timeout; what is on the link arrives all the same.
func (l *linked) call(to fleet.Upstream, bytes int, timeout time.Duration, carryOut func(*standin.UpstreamModel)) error {
	answered := make(chan struct{})
	go func() {
		if !l.take(to) {
			l.carry(openBytes)
			time.Sleep(roundTripTime / 2)
		}
		l.carry(bytes)
		carryOut(l.cores[to.ID])
		time.Sleep(roundTripTime / 2)
		close(answered)
	}()
	select {
	case <-answered:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.idle[to.ID]++
		return nil
	case <-time.After(timeout):
		l.CloseIdleConnections(to)
		return failure.Lost.New("no answer")
	}
}

// take takes a connection to an upstream, and reports whether it was open.
func (l *linked) take(to fleet.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idle[to.ID] > 0 {
		l.idle[to.ID]--
		return true
	}
	l.opened++
	return false
}

// connections counts those that were opened.
func (l *linked) connections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.opened
}

// carry waits until bytes that are handed to the link now have arrived.
func (l *linked) carry(bytes int) {
	l.mu.Lock()
	if now := time.Now(); l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	arrives := l.free.Add(roundTripTime / 2)
	l.mu.Unlock()
	time.Sleep(time.Until(arrives))
}

// CloseIdleConnections implements UpstreamClient.
func (l *linked) CloseIdleConnections(to fleet.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle[to.ID] = 0
}

func (l *linked) Start(to fleet.Upstream, o fleet.StartOrder, timeout time.Duration) (fleet.Refusal, error) {
	refusal := fleet.NotRefused
	err := l.call(to, headBytes+len(o.Spec), timeout, func(c *standin.UpstreamModel) {
		l.mu.Lock()
		defer l.mu.Unlock()
		refusal = c.Start(time.Now(), o)
	})
	if err != nil {
		return fleet.NotRefused, err
	}
	return refusal, nil
}

func (l *linked) Stop(to fleet.Upstream, run fleet.Run, token uint64, timeout time.Duration) error {
	return l.call(to, headBytes, timeout, func(c *standin.UpstreamModel) {
		l.mu.Lock()
		defer l.mu.Unlock()
		c.Stop(time.Now(), run, token)
	})
}

func (l *linked) Hold(to fleet.Upstream, o fleet.HoldOrder, timeout time.Duration) (fleet.Report, error) {
	var report fleet.Report
	err := l.call(to, headBytes, timeout+time.Duration(o.WaitMs)*time.Millisecond, func(c *standin.UpstreamModel) {
		until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
		for l.holds(c, o) && time.Now().Before(until) {
			time.Sleep(time.Millisecond)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		report = c.Report(time.Now(), o.AckedSequence)
	})
	if err != nil {
		return fleet.Report{}, err
	}
	return report, nil
}

// holds carries a hold out, and reports whether there is no end to tell of.
func (l *linked) holds(c *standin.UpstreamModel, o fleet.HoldOrder) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.Hold(time.Now(), o)
	return !c.HasEndsAfter(time.Now(), o.AckedSequence)
}

// silentObserver is told nothing of interest.
type silentObserver struct{}

func (silentObserver) DecisionMade(string, uint64, schedule.Decision) {}
func (silentObserver) CallEnded(string, error, time.Duration)         {}
func (silentObserver) CallOverdue(string)                             {}

// narrowOwner is an owner behind a narrow link, and what became of its jobs.
type narrowOwner struct {
	*Group
	link   *linked
	widths *rand.Rand // of jobs, and of the pauses between them

	mu      sync.Mutex
	offered int
	results map[schedule.Outcome]int
	wasted  int // jobs that began and were not served
}

func newNarrowOwner(rate float64) *narrowOwner {
	var upstreams []fleet.Upstream
	for i := range 20 {
		upstreams = append(upstreams, fleet.Upstream{
			ID: fmt.Sprintf("u%02d", i), Service: "desk", Capacity: fleet.Resources{MilliCPU: 64_000, MemoryMB: 1000},
		})
	}
	n := &narrowOwner{widths: rand.New(rand.NewPCG(1, 2)), link: newLinked(rate, upstreams)}
	cfg := schedule.DefaultConfig
	cfg.LinkRate = narrowLink
	cfg.LinkRate = narrowLink
	n.Group = NewGroup("a/0", cfg, 1, n.link, silentObserver{})
	n.SetUpstreams(upstreams)
	time.Sleep(time.Second) // the first reports are in
	return n
}

// load offers jobs at an even rate for a while, and returns once the last of them
// has ended.
func (n *narrowOwner) load(perSecond int, long time.Duration) {
	n.mu.Lock()
	n.results, n.wasted, n.offered = map[schedule.Outcome]int{}, 0, 0
	n.mu.Unlock()
	var open sync.WaitGroup
	for i := range int(long.Seconds() * float64(perSecond)) {
		n.offered++
		open.Add(1)
		err := n.Offer(schedule.Offer{
			Key: schedule.JobKey{Coordinator: "c", ID: fmt.Sprintf("%d-%d-%d", perSecond, long, i)}, Service: "desk", Route: "r",
			Spec: string(make([]byte, specBytes)), Demand: fleet.Resources{MilliCPU: 32_000}, Estimate: taskTime, MaxAttempts: 4,
			Tasks: lo.Range(1 + n.widths.IntN(2*meanWidth-1)), Stretch: 1.6, Slack: 60 * time.Millisecond, Timeout: 2 * time.Second, MayQueue: true,
		}, OfferCallbacks{
			TasksReturned: func(schedule.Result, schedule.Load) {},
			OfferEnded: func(r schedule.Result, _ schedule.Load) {
				n.mu.Lock()
				defer n.mu.Unlock()
				n.results[r.Outcome]++
				if r.Begun && r.Outcome != schedule.Completed {
					n.wasted++
				}
				open.Done()
			},
		})
		if err != nil {
			open.Done()
		}
		time.Sleep(time.Duration(n.widths.ExpFloat64() * float64(time.Second) / float64(perSecond)))
	}
	open.Wait()
}

// TestNarrowLinkRecovers: a link is asked for 1.6 times what it carries, then for
// .4 of it. Jobs that it cannot carry are refused before anything of them begins,
// and once the load has fallen all are served, on the connections that are open.
func TestNarrowLinkRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := newNarrowOwner(narrowLink)
		defer time.Sleep(3 * time.Second) // the last calls end
		defer n.Close()
		n.load(70, 5*time.Second)
		t.Logf("overload: %d jobs, %v, %d begun in vain, %d connections", n.offered, n.results, n.wasted, n.link.connections())
		if served := n.results[schedule.Completed]; served < n.offered/3 {
			t.Errorf("%d of %d jobs were served while the link was asked for too much; it carries half", served, n.offered)
		}
		if n.link.connections() > 200 {
			t.Errorf("%d connections were opened to 20 upstreams while the link was asked for too much", n.link.connections())
		}
		if n.wasted > n.offered/50 {
			t.Errorf("%d of %d jobs began and were not served", n.wasted, n.offered)
		}
		time.Sleep(2 * time.Second)
		opened := n.link.connections()
		n.load(17, 10*time.Second)
		t.Logf("after it: %d jobs, %v, %d begun in vain, %d connections more", n.offered, n.results, n.wasted, n.link.connections()-opened)
		if served := n.results[schedule.Completed]; served < n.offered*9/10 {
			t.Errorf("%d of %d jobs were served after the load had fallen", served, n.offered)
		}
		if more := n.link.connections() - opened; more > 30 {
			t.Errorf("%d connections were opened in 10 s of a load that the link carries", more)
		}
	})
}
