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

// The tests in this file simulate an instance with a slow network link of 2 Mbit/s that owns 20
// upstreams. A start takes about 1,460 bytes, the 1,200 bytes of the job's spec and an overhead
// of 260 bytes. The link can therefore transmit at most 170 starts per second, even if it
// transmits nothing else.

const (
	// slowLinkRate is 2 Mbit/s in bytes per second.
	slowLinkRate = 250_000
	// specBytes is the mean size of a job's spec.
	specBytes = 1200
	// orderOverheadBytes is the size of an order to an upstream without the spec: names,
	// token, lease and HTTP headers.
	orderOverheadBytes = 260
	// connectBytes is the size of the four packets that open and close a connection.
	connectBytes = 240
	// roundTripTime is the round-trip time of an idle link.
	roundTripTime = 2 * time.Millisecond
	taskDuration  = 100 * time.Millisecond
	// meanTasks is the mean number of tasks of a job.
	meanTasks = 4
)

// linkedUpstreams implements UpstreamClient with emulated upstreams behind one network link
// that transmits one message after the other. It sleeps to simulate the transmission times, so
// it must be used within a synctest bubble, where time is virtual.
type linkedUpstreams struct {
	rate float64 // of the link, in bytes per second

	mu          sync.Mutex
	freeAt      time.Time                         // when the link has transmitted what is queued on it
	models      map[string]*standin.UpstreamModel // by upstream id
	idleConns   map[string]int                    // open connections without a call in flight, by upstream id
	openedConns int                               // connections opened so far
}

func newLinkedUpstreams(rate float64, upstreams []fleet.Upstream) *linkedUpstreams {
	l := &linkedUpstreams{rate: rate, models: map[string]*standin.UpstreamModel{}, idleConns: map[string]int{}}
	for _, u := range upstreams {
		l.models[u.ID] = standin.NewUpstreamModel(time.Now(), u.Capacity, func(fleet.Run) (time.Duration, fleet.Resources) {
			return taskDuration, fleet.Resources{MilliCPU: 32_000}
		})
	}
	return l
}

// call sends an order over the link, on an idle connection or a new one, and executes it at the
// upstream. If there is no response within the timeout, it returns a Lost error, but the order
// still arrives and is executed.
func (l *linkedUpstreams) call(to fleet.Upstream, bytes int, timeout time.Duration, execute func(*standin.UpstreamModel)) error {
	responded := make(chan struct{})
	go func() {
		if !l.takeIdleConn(to) {
			l.transmit(connectBytes)
			time.Sleep(roundTripTime / 2)
		}
		l.transmit(bytes)
		execute(l.models[to.ID])
		time.Sleep(roundTripTime / 2)
		close(responded)
	}()
	select {
	case <-responded:
		l.mu.Lock()
		defer l.mu.Unlock()
		l.idleConns[to.ID]++
		return nil
	case <-time.After(timeout):
		l.CloseIdleConnections(to)
		return failure.Lost.New("no answer")
	}
}

// takeIdleConn takes an idle connection to an upstream. If there is none, it counts a new
// connection, which the caller must open, and returns false.
func (l *linkedUpstreams) takeIdleConn(to fleet.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.idleConns[to.ID] > 0 {
		l.idleConns[to.ID]--
		return true
	}
	l.openedConns++
	return false
}

// connectionCount returns the number of connections opened so far.
func (l *linkedUpstreams) connectionCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.openedConns
}

// transmit queues bytes on the link and waits until they have arrived.
func (l *linkedUpstreams) transmit(bytes int) {
	l.mu.Lock()
	if now := time.Now(); l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(time.Duration(float64(bytes) / l.rate * float64(time.Second)))
	arrives := l.freeAt.Add(roundTripTime / 2)
	l.mu.Unlock()
	time.Sleep(time.Until(arrives))
}

// CloseIdleConnections implements UpstreamClient.
func (l *linkedUpstreams) CloseIdleConnections(to fleet.Upstream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idleConns[to.ID] = 0
}

func (l *linkedUpstreams) Start(to fleet.Upstream, o fleet.StartOrder, timeout time.Duration) (fleet.Refusal, error) {
	refusal := fleet.NotRefused
	err := l.call(to, orderOverheadBytes+len(o.Spec), timeout, func(m *standin.UpstreamModel) {
		l.mu.Lock()
		defer l.mu.Unlock()
		refusal = m.Start(time.Now(), o)
	})
	if err != nil {
		return fleet.NotRefused, err
	}
	return refusal, nil
}

func (l *linkedUpstreams) Stop(to fleet.Upstream, run fleet.Run, token uint64, timeout time.Duration) error {
	return l.call(to, orderOverheadBytes, timeout, func(m *standin.UpstreamModel) {
		l.mu.Lock()
		defer l.mu.Unlock()
		m.Stop(time.Now(), run, token)
	})
}

func (l *linkedUpstreams) Hold(to fleet.Upstream, o fleet.HoldOrder, timeout time.Duration) (fleet.Report, error) {
	var report fleet.Report
	err := l.call(to, orderOverheadBytes, timeout+time.Duration(o.WaitMs)*time.Millisecond, func(m *standin.UpstreamModel) {
		until := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond)
		for l.applyHold(m, o) && time.Now().Before(until) {
			time.Sleep(time.Millisecond)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		report = m.Report(time.Now(), o.AckedSequence)
	})
	if err != nil {
		return fleet.Report{}, err
	}
	return report, nil
}

// applyHold executes a hold order, and reports whether the upstream has no ended runs to
// report yet.
func (l *linkedUpstreams) applyHold(m *standin.UpstreamModel, o fleet.HoldOrder) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	m.Hold(time.Now(), o)
	return !m.HasEndsAfter(time.Now(), o.AckedSequence)
}

type noopObserver struct{}

func (noopObserver) DecisionMade(string, uint64, schedule.Decision) {}
func (noopObserver) CallEnded(string, error, time.Duration)         {}
func (noopObserver) CallOverdue(string)                             {}
func (noopObserver) RoomUsed(schedule.RoomUse)                      {}

// testOwner is a Group whose upstreams are behind a slow link. It counts the outcomes of its jobs.
type testOwner struct {
	*Group
	link *linkedUpstreams
	rand *rand.Rand // draws the numbers of tasks and the pauses between jobs

	mu             sync.Mutex
	offered        int                      // jobs offered by the last load
	results        map[schedule.Outcome]int // jobs of the last load by outcome
	begunNotServed int                      // jobs of the last load that began but did not complete
}

func newTestOwner(rate float64) *testOwner {
	var upstreams []fleet.Upstream
	for i := range 20 {
		upstreams = append(upstreams, fleet.Upstream{
			ID: fmt.Sprintf("u%02d", i), Service: "desk", Capacity: fleet.Resources{MilliCPU: 64_000, MemoryMB: 1000},
		})
	}
	o := &testOwner{rand: rand.New(rand.NewPCG(1, 2)), link: newLinkedUpstreams(rate, upstreams)}
	cfg := schedule.DefaultConfig
	cfg.LinkRate = slowLinkRate
	cfg.LinkRate = slowLinkRate
	o.Group = NewGroup("a/0", cfg, 1, o.link, noopObserver{}, func(string) bool { return false })
	o.SetUpstreams(upstreams)
	time.Sleep(time.Second) // until the first reports have arrived
	return o
}

// load offers jobs at random times, at a given mean rate and for a given duration. It returns once
// all offers have ended.
func (o *testOwner) load(perSecond int, duration time.Duration) {
	o.mu.Lock()
	o.results, o.begunNotServed, o.offered = map[schedule.Outcome]int{}, 0, 0
	o.mu.Unlock()
	var open sync.WaitGroup
	for i := range int(duration.Seconds() * float64(perSecond)) {
		o.offered++
		open.Add(1)
		err := o.Offer(schedule.Offer{
			Key: schedule.JobKey{Coordinator: "c", ID: fmt.Sprintf("%d-%d-%d", perSecond, duration, i)}, Service: "desk", Route: "r",
			Spec: string(make([]byte, specBytes)), Demand: fleet.Resources{MilliCPU: 32_000}, Estimate: taskDuration, MaxAttempts: 4,
			Tasks: lo.Range(1 + o.rand.IntN(2*meanTasks-1)), Stretch: 1.6, Slack: 60 * time.Millisecond, Timeout: 2 * time.Second, MayQueue: true,
		}, OfferCallbacks{
			TasksReturned: func(schedule.Result, schedule.Load) {},
			OfferEnded: func(r schedule.Result, _ schedule.Load) {
				o.mu.Lock()
				defer o.mu.Unlock()
				o.results[r.Outcome]++
				if r.Begun && r.Outcome != schedule.Completed {
					o.begunNotServed++
				}
				open.Done()
			},
		})
		if err != nil {
			open.Done()
		}
		time.Sleep(time.Duration(o.rand.ExpFloat64() * float64(time.Second) / float64(perSecond)))
	}
	open.Wait()
}

// TestNarrowLinkRecovers checks that an owner recovers from an overload of its network link. The
// load is 1.6 times the capacity of the link at first, and 0.4 times the capacity afterwards.
// During the overload, jobs whose orders the link cannot transmit in time must be rejected before
// any of their tasks begins. Afterwards, nearly all jobs must be served, on connections that are
// already open.
func TestNarrowLinkRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newTestOwner(slowLinkRate)
		defer time.Sleep(3 * time.Second) // until the last calls have ended
		defer o.Close()
		o.load(70, 5*time.Second)
		t.Logf("overload: %d jobs, %v, %d begun but not completed, %d connections opened", o.offered, o.results, o.begunNotServed, o.link.connectionCount())
		if served := o.results[schedule.Completed]; served < o.offered/3 {
			t.Errorf("only %d of %d jobs were served while the link was overloaded; it can carry half of them", served, o.offered)
		}
		if o.link.connectionCount() > 200 {
			t.Errorf("%d connections to 20 upstreams were opened while the link was overloaded, want at most 200", o.link.connectionCount())
		}
		if o.begunNotServed > o.offered/50 {
			t.Errorf("%d of %d jobs began but did not complete, want at most 2%%", o.begunNotServed, o.offered)
		}
		time.Sleep(2 * time.Second)
		opened := o.link.connectionCount()
		o.load(17, 10*time.Second)
		t.Logf("after the overload: %d jobs, %v, %d begun but not completed, %d more connections opened", o.offered, o.results, o.begunNotServed, o.link.connectionCount()-opened)
		if served := o.results[schedule.Completed]; served < o.offered*9/10 {
			t.Errorf("only %d of %d jobs were served after the load had dropped", served, o.offered)
		}
		if additional := o.link.connectionCount() - opened; additional > 30 {
			t.Errorf("%d connections were opened in 10 s at a load that the link can carry, want at most 30", additional)
		}
	})
}
