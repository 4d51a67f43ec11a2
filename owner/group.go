// Package owner runs tasks on a group of upstreams: it makes the calls that a schedule.Pool
// decides on, and passes the responses back to the pool.
package owner

import (
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/schedule"

	"golang.org/x/time/rate"
)

// UpstreamClient makes calls to upstreams. The errors are Gone if the upstream process has
// ended or restarted, Conflict if the upstream has seen a higher fencing token, Refused if it
// declines the call, and Lost if it did not respond within the timeout, in which case the
// connection is closed.
type UpstreamClient interface {
	Start(to fleet.Upstream, o fleet.StartOrder, timeout time.Duration) (fleet.Refusal, error)
	Stop(to fleet.Upstream, run fleet.Run, token uint64, timeout time.Duration) error
	// Hold renews the leases of all runs on an upstream, unless the order has no lease, and
	// returns the upstream's report. The upstream may delay the report until a run ends, by
	// up to o.WaitMs; the call times out timeout after that.
	Hold(to fleet.Upstream, o fleet.HoldOrder, timeout time.Duration) (fleet.Report, error)
	// CloseIdleConnections closes the connections to an upstream on which no call is in
	// flight, because they may have gone silent.
	CloseIdleConnections(to fleet.Upstream)
}

// Observer is notified of the decisions and calls of groups, for logs and metrics.
type Observer interface {
	DecisionMade(group string, token uint64, d schedule.Decision)
	// CallEnded is called when a call of a kind ("start", "stop" or "hold") has ended.
	CallEnded(kind string, err error, took time.Duration)
	// CallOverdue is called when a call becomes overdue; CallEnded follows later.
	CallOverdue(kind string)
}

const (
	// minLongPollOverdue is the minimum time after which a hold with a wait is overdue,
	// counted from the end of that wait.
	minLongPollOverdue = 150 * time.Millisecond
	// minPollOverdue is the minimum time after which a hold without a wait is overdue.
	minPollOverdue = 75 * time.Millisecond
	// holdOverdueFactor is how many times longer than a start a hold may take before it is
	// overdue, if that is longer than the minimum.
	holdOverdueFactor = 2
	// holdRetryDelay is the delay before a failed hold is repeated.
	holdRetryDelay = 20 * time.Millisecond
	// tickInterval is the interval between calls of Pool.Tick.
	tickInterval = 25 * time.Millisecond
)

// OfferCallbacks receives the results of an offer, with the load of the group at that time.
type OfferCallbacks struct {
	// TasksReturned is called, possibly several times during an offer, for tasks that do not
	// run in the group and never will.
	TasksReturned func(schedule.Result, schedule.Load)
	// OfferEnded is called once, when the offer has ended, unless it is withdrawn before.
	OfferEnded func(schedule.Result, schedule.Load)
}

// Group carries out the decisions of a schedule.Pool for one group of upstreams.
type Group struct {
	Name  string
	Token uint64 // fencing token

	client   UpstreamClient
	observer Observer

	mu           sync.Mutex // guards pool, rtt, callbacks, holding and closed
	pool         *schedule.Pool
	rtt          rttEstimator  // response times of starts
	closeLimiter *rate.Limiter // limits calls of CloseIdleConnections
	callbacks    map[schedule.JobKey]OfferCallbacks
	holding      map[string]bool // ids of upstreams with a running holdLoop
	closed       bool
	done         chan struct{} // closed by Close
}

// NewGroup returns a running group. Close stops it.
func NewGroup(name string, cfg schedule.Config, token uint64, client UpstreamClient, observer Observer) *Group {
	g := &Group{
		Name: name, Token: token, client: client, observer: observer,
		pool: schedule.NewPool(cfg, token), callbacks: map[schedule.JobKey]OfferCallbacks{}, holding: map[string]bool{}, done: make(chan struct{}),
		closeLimiter: rate.NewLimiter(closeRate, closeBurst),
	}
	go g.tickLoop()
	return g
}

func (g *Group) tickLoop() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.done:
			return
		case <-ticker.C:
			g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects { return p.Tick(now) })
		}
	}
}

// apply passes one input to the pool and carries out the resulting effects.
func (g *Group) apply(input func(p *schedule.Pool, now time.Time) schedule.Effects) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	now := clock.Now()
	g.pool.SetAnswerTimeout(g.rtt.timeout(now))
	effects := input(g.pool, now)
	notify := g.takeNotifications(&effects)
	g.mu.Unlock()
	for _, f := range notify {
		f()
	}
	g.execute(&effects)
}

// takeNotifications returns the calls of offer callbacks for the results in effects, and
// removes the callbacks of offers that have ended. The lock must be held; the returned
// functions must be called without it.
func (g *Group) takeNotifications(effects *schedule.Effects) []func() {
	if len(effects.Returns) == 0 && len(effects.Results) == 0 {
		return nil
	}
	load := g.pool.Load(clock.Now())
	var notify []func()
	for _, r := range effects.Returns {
		if c, ok := g.callbacks[r.Key]; ok {
			notify = append(notify, func() { c.TasksReturned(r, load) })
		}
	}
	for _, r := range effects.Results {
		if c, ok := g.callbacks[r.Key]; ok {
			delete(g.callbacks, r.Key)
			notify = append(notify, func() { c.OfferEnded(r, load) })
		}
	}
	return notify
}

func (g *Group) execute(effects *schedule.Effects) {
	for _, s := range effects.Starts {
		go g.start(s)
	}
	for _, s := range effects.Stops {
		go g.stop(s)
	}
	for _, id := range effects.Polls {
		go g.poll(id)
	}
	for _, d := range effects.Decisions {
		g.observer.DecisionMade(g.Name, g.Token, d)
	}
}

// startResponse is the response to a start.
type startResponse struct {
	refusal fleet.Refusal
	err     error
}

// start makes the call to start a run. An overdue call is reported to the pool as lost, but
// a response that arrives later is still passed to the pool.
func (g *Group) start(s schedule.Start) {
	overdueAfter, timeout := g.callTimeouts()
	sent := clock.Now()
	if sent.After(s.SendBy) { // this process was paused
		g.handleStartResponse(s, startResponse{refusal: fleet.RefusedLate}, 0)
		return
	}
	call := func() startResponse {
		refusal, err := g.client.Start(s.Upstream, s.Order, timeout)
		g.observer.CallEnded("start", err, clock.Since(sent))
		return startResponse{refusal, err}
	}
	handle := func(r startResponse) { g.handleStartResponse(s, r, clock.Since(sent)-s.LinkDelay) }
	response, inTime := await(overdueAfter+s.LinkDelay, call, func(late startResponse) {
		if !failure.Is(late.err, failure.Lost) { // the pool already has a Lost error, errOverdue
			handle(late)
		}
	})
	if inTime {
		handle(response)
		return
	}
	g.handleOverdue("start", s.Upstream)
	g.handleStartResponse(s, startResponse{err: errOverdue}, 0)
}

// handleStartResponse passes the response to a start to the pool. Took is the response time
// without the delay of the network link.
func (g *Group) handleStartResponse(s schedule.Start, r startResponse, took time.Duration) {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		g.rtt.observe(now, took, r.err == nil)
		return p.HandleStartResponse(now, s.Upstream.Incarnation(), s.Order.Run, r.refusal, r.err)
	})
}

func (g *Group) stop(s schedule.Stop) {
	_, timeout := g.callTimeouts()
	sent := clock.Now()
	err := g.client.Stop(s.Upstream, s.Run, g.Token, timeout)
	g.observer.CallEnded("stop", err, clock.Since(sent))
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		return p.HandleStopResponse(now, s.Upstream.Incarnation(), s.Run, err)
	})
}

func (g *Group) poll(id string) {
	g.mu.Lock()
	u, order, ok := g.pool.PollOrder(clock.Now(), id)
	ok = ok && !g.closed
	g.mu.Unlock()
	if ok {
		_ = g.hold(u, order) // the pool has received the error and polls again
	}
}

// holdResponse is the response to a hold.
type holdResponse struct {
	report fleet.Report
	err    error
}

// hold sends an order to an upstream that requests a report and, unless it is a poll, renews
// the leases there. An overdue call is treated as in start.
func (g *Group) hold(u fleet.Upstream, order fleet.HoldOrder) error {
	overdueAfter, timeout := g.holdTimeouts(order)
	sent := clock.Now()
	call := func() holdResponse {
		report, err := g.client.Hold(u, order, timeout)
		g.observer.CallEnded("hold", err, clock.Since(sent))
		return holdResponse{report, err}
	}
	response, inTime := await(overdueAfter, call, func(late holdResponse) {
		if !failure.Is(late.err, failure.Lost) { // the pool already has a Lost error, errOverdue
			g.handleHoldResponse(u, sent, late)
		}
	})
	if inTime {
		g.handleHoldResponse(u, sent, response)
		return response.err
	}
	g.handleOverdue("hold", u)
	g.handleHoldResponse(u, sent, holdResponse{err: errOverdue})
	return errOverdue
}

// handleHoldResponse passes the response to a hold to the pool. Sent is when the hold was
// sent.
func (g *Group) handleHoldResponse(u fleet.Upstream, sent time.Time, r holdResponse) {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		return p.HandleHoldResponse(now, u.Incarnation(), sent, r.report, r.err)
	})
}

// holdLoop sends one hold after the other to an upstream, to renew its leases and read its
// reports, until the upstream does not belong to the group any more.
func (g *Group) holdLoop(id string) {
	for {
		g.mu.Lock()
		u, order, ok := g.pool.HoldOrder(clock.Now(), id)
		ok = ok && !g.closed
		if !ok {
			delete(g.holding, id)
		}
		g.mu.Unlock()
		if !ok {
			return
		}
		if g.hold(u, order) == nil {
			continue
		}
		select {
		case <-g.done:
			return
		case <-time.After(holdRetryDelay):
		}
	}
}

// SetUpstreams sets the group's upstreams to those listed in the store.
func (g *Group) SetUpstreams(list []fleet.Upstream) {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		added, effects := p.SetUpstreams(now, list)
		for _, id := range added {
			if !g.holding[id] {
				g.holding[id] = true
				go g.holdLoop(id)
			}
		}
		return effects
	})
}

// Drain stops the group from starting further tasks.
func (g *Group) Drain() {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects { return p.Drain(now) })
}

// Release removes the upstreams on which nothing runs from a draining group, and returns
// their ids.
func (g *Group) Release() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Release()
}

// Idle reports whether no task of the group runs or waits.
func (g *Group) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Idle()
}

// FencedAt returns when the group lost its first upstream to an owner with a higher fencing
// token, or the zero time if it has lost none, and whether any upstream has ever accepted
// the group's own token.
func (g *Group) FencedAt() (at time.Time, accepted bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.FencedAt(), g.pool.EverAccepted()
}

// Load returns the load of the group.
func (g *Group) Load() schedule.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Load(clock.Now())
}

// CallDelays holds the current limits and delays of a group's calls.
type CallDelays struct {
	OverdueAfter time.Duration // time after which a start is overdue
	LinkDelay    time.Duration // until the network link has transmitted what is queued on it
}

// CallDelays returns the current limits and delays of the group's calls.
func (g *Group) CallDelays() CallDelays {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	return CallDelays{OverdueAfter: g.rtt.timeout(now), LinkDelay: g.pool.LinkDelay(now)}
}

// Close stops the group: it makes no further calls, and its open offers end with outcome
// Unknown.
func (g *Group) Close() {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	g.closed = true
	close(g.done)
	callbacks := g.callbacks
	g.callbacks = map[schedule.JobKey]OfferCallbacks{}
	g.mu.Unlock()
	for key, c := range callbacks {
		c.OfferEnded(schedule.Result{Key: key, Outcome: schedule.Unknown, Begun: true}, schedule.Load{})
	}
}
