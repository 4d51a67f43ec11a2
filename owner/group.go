// Package owner runs tasks on a group of upstreams, a set of upstreams in one availability zone
// that one instance, its owner, schedules. Package schedule makes the decisions: a
// schedule.Pool holds the state of the group and says which calls to make. Package owner makes
// the calls and passes the responses back to the pool. Its terms are:
//   - A coordinator is the instance that accepted a job from a customer. It hands tasks of the
//     job to the owner in an offer, which it can withdraw.
//   - A run is one attempt to execute a task on an upstream. A start is the call that begins
//     it, a stop the call that ends it early.
//   - An upstream ends a run when the lease of the run expires. A start grants the first lease.
//   - A hold is a call that renews the leases of all runs on an upstream and requests a report
//     about them. A poll is a hold that only requests a report, to be sent at once.
//   - A fencing token is a number that is higher for each new owner of a group. An upstream
//     rejects calls with a token lower than the highest that it has seen.
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

// UpstreamClient makes calls to upstreams. The errors are:
//   - Gone if the upstream process has ended or restarted
//   - Conflict if the upstream has seen a higher fencing token
//   - Refused if the upstream declines the call
//   - Lost if the upstream has not responded within the timeout; the connection is closed
type UpstreamClient interface {
	Start(to fleet.Upstream, o fleet.StartOrder, timeout time.Duration) (fleet.Refusal, error)
	Stop(to fleet.Upstream, run fleet.Run, token uint64, timeout time.Duration) error
	// Hold renews the leases of all runs on an upstream, if the order has a lease, and returns
	// the upstream's report. The upstream may delay the report by up to o.WaitMs, until a run
	// ends. The call times out after o.WaitMs plus timeout.
	Hold(to fleet.Upstream, o fleet.HoldOrder, timeout time.Duration) (fleet.Report, error)
	// CloseIdleConnections closes the connections to an upstream on which no call is in
	// flight. It is called after an overdue call, whose cause may be that the network
	// silently drops the packets of existing connections.
	CloseIdleConnections(to fleet.Upstream)
}

// Observer is notified of the decisions and calls of groups, for logs and metrics.
type Observer interface {
	DecisionMade(group string, token uint64, d schedule.Decision)
	// CallEnded is called when a call of a kind ("start", "stop" or "hold") has ended.
	CallEnded(kind string, err error, took time.Duration)
	// CallOverdue is called when a call has taken longer than recent calls lead to expect and
	// is treated as lost (see await.go). CallEnded follows when the call ends or times out.
	CallOverdue(kind string)
	// RoomUsed is called regularly while a group is crowded, with how its capacity was used
	// since the last call.
	RoomUsed(use schedule.RoomUse)
}

const (
	// minLongPollOverdue is the minimum time after which a hold is overdue if the upstream may
	// delay its report (HoldOrder.WaitMs). It counts from the end of that delay.
	minLongPollOverdue = 150 * time.Millisecond
	// minPollOverdue is the minimum time after which a hold is overdue if the upstream must
	// report at once.
	minPollOverdue = 75 * time.Millisecond
	// holdOverdueFactor is the ratio of the time after which a hold is overdue to that for a
	// start, unless the minimum above is longer.
	holdOverdueFactor = 2
	// holdRetryDelay is the delay before the next hold to an upstream after one has failed.
	holdRetryDelay = 20 * time.Millisecond
	// tickInterval is the interval between calls of Pool.Tick.
	tickInterval = 25 * time.Millisecond
)

// Group carries out the decisions of a schedule.Pool for one group of upstreams.
type Group struct {
	Name  string
	Token uint64 // fencing token

	client      UpstreamClient
	observer    Observer
	isCancelled func(job string) bool

	mu           sync.Mutex // guards pool, rtt, callbacks, holding and closed
	pool         *schedule.Pool
	rtt          rttEstimator  // estimates from the response times of starts
	closeLimiter *rate.Limiter // limits calls of CloseIdleConnections
	callbacks    map[schedule.JobKey]OfferCallbacks
	holding      map[string]bool // ids of upstreams with a running holdLoop
	closed       bool            // Close has been called
	done         chan struct{}   // closed by Close
}

// NewGroup returns a group without upstreams and starts its periodic work. Close ends that work.
// The function isCancelled reports whether a job was cancelled lately; it is called with the lock
// of the group held.
func NewGroup(name string, cfg schedule.Config, token uint64, client UpstreamClient, observer Observer, isCancelled func(job string) bool) *Group {
	g := &Group{
		Name: name, Token: token, client: client, observer: observer, isCancelled: isCancelled,
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
	g.pool.SetResponseTimeout(g.rtt.overdueAfter(now))
	effects := input(g.pool, now)
	notify := g.takeNotifications(&effects)
	g.mu.Unlock()
	for _, f := range notify {
		f()
	}
	g.execute(&effects)
}

// takeNotifications returns functions that each pass one of the results in effects to the
// callbacks of its offer. It removes the callbacks of offers that have ended. The lock must be
// held, but not when the returned functions are called.
func (g *Group) takeNotifications(effects *schedule.Effects) []func() {
	if len(effects.Returns) == 0 && len(effects.Results) == 0 && len(effects.Progress) == 0 {
		return nil
	}
	load := g.pool.Load(clock.Now())
	var notify []func()
	for _, r := range effects.Progress {
		if c := g.callbacks[r.Key]; c.TasksDone != nil {
			notify = append(notify, func() { c.TasksDone(r.Done) })
		}
	}
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

// execute makes the calls to upstreams in effects, without waiting for the responses, and passes
// the decisions to the observer.
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
	if effects.Room != (schedule.RoomUse{}) {
		g.observer.RoomUsed(effects.Room)
	}
}

// startResponse is the response to a start.
type startResponse struct {
	refusal fleet.Refusal
	err     error
}

// start makes the call to start a run and passes the response to the pool. When the call becomes
// overdue, it passes a Lost error to the pool instead. The response is still passed on if it
// arrives later.
func (g *Group) start(s schedule.Start) {
	overdueAfter, timeout := g.callTimeouts()
	sent := clock.Now()
	if sent.After(s.SendBy) { // the process was paused, and the lease in the order has expired
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
		if !failure.Is(late.err, failure.Lost) { // errOverdue has already told the pool that the call is lost
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

// handleStartResponse passes the response to a start to the pool and records its response time.
// Took is that time without the delay in the queue of the network link.
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
		_ = g.hold(u, order) // hold passes the error to the pool, which decides whether to poll again
	}
}

// holdResponse is the response to a hold.
type holdResponse struct {
	report fleet.Report
	err    error
}

// hold sends a hold or a poll to an upstream and passes the report, or the error, to the pool. It
// treats an overdue call as start does, and returns errOverdue for it.
func (g *Group) hold(u fleet.Upstream, order fleet.HoldOrder) error {
	overdueAfter, timeout := g.holdTimeouts(order)
	sent := clock.Now()
	call := func() holdResponse {
		report, err := g.client.Hold(u, order, timeout)
		g.observer.CallEnded("hold", err, clock.Since(sent))
		return holdResponse{report, err}
	}
	response, inTime := await(overdueAfter, call, func(late holdResponse) {
		if !failure.Is(late.err, failure.Lost) { // errOverdue has already told the pool that the call is lost
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

// handleHoldResponse passes the response to a hold that was sent at the given time to the pool.
func (g *Group) handleHoldResponse(u fleet.Upstream, sent time.Time, r holdResponse) {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		return p.HandleHoldResponse(now, u.Incarnation(), sent, r.report, r.err)
	})
}

// holdLoop sends one hold after the other to an upstream, to renew the leases of its runs and to
// get its reports, as long as the upstream belongs to the group.
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

// SetUpstreams replaces the group's list of upstreams, and starts sending holds to those that are
// new.
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

// Drain makes the group start no more tasks and return the waiting ones, so that another instance
// can take over its upstreams. Runs go on until they end.
func (g *Group) Drain() {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects { return p.Drain(now) })
}

// Release removes from a draining group the upstreams on which nothing runs, and returns their
// ids. Another owner may use them from then on.
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
// token, or the zero time if it has lost none. It also reports whether any upstream has ever
// accepted the group's own token.
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

// CallDelays shows how slow the calls of a group currently are.
type CallDelays struct {
	OverdueAfter time.Duration // time after which a start is overdue, without LinkDelay
	LinkDelay    time.Duration // time until the network link has transmitted the orders queued on it
}

// CallDelays returns the current values for the group.
func (g *Group) CallDelays() CallDelays {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	return CallDelays{OverdueAfter: g.rtt.overdueAfter(now), LinkDelay: g.pool.LinkDelay(now)}
}

// Close stops the group. It makes no further calls to upstreams, and its open offers end with
// outcome Unknown, because their runs may go on.
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
