// Package owner runs a group of upstreams: it makes the calls that a
// schedule.Pool decides on, and feeds their answers back to it.
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

// UpstreamClient makes calls to upstreams. Errors are Gone where the upstream's life
// is over, Conflict where it has seen a higher fencing token, Refused where it
// declines, and Lost where no answer came within the timeout; the connection is
// closed then.
type UpstreamClient interface {
	Start(to fleet.Upstream, o fleet.StartOrder, timeout time.Duration) (fleet.Refusal, error)
	Stop(to fleet.Upstream, run fleet.Run, token uint64, timeout time.Duration) error
	Hold(to fleet.Upstream, o fleet.HoldOrder, timeout time.Duration) (fleet.Report, error)
	// CloseIdleConnections closes the connections to an upstream that no call is on: they may
	// have gone silent.
	CloseIdleConnections(to fleet.Upstream)
}

// Observer is told what a group decides and how its calls went.
type Observer interface {
	DecisionMade(group string, token uint64, d schedule.Decision)
	// CallEnded is told the end of a call, and CallOverdue that a call counts as
	// unanswered before it has ended.
	CallEnded(kind string, err error, took time.Duration)
	CallOverdue(kind string)
}

const (
	// holdOverdue is when a report that waits for an end is overdue at least,
	// beyond what it may wait.
	holdOverdue = 150 * time.Millisecond
	// lookOverdue is the same for a report that is due at once. Either has
	// reportTimeouts times as long as a start, where that is longer.
	lookOverdue    = 75 * time.Millisecond
	reportTimeouts = 2
	// holdPause is the pause after a report that did not come.
	holdPause = 20 * time.Millisecond
	// tick is how often time passes for the pool.
	tick = 25 * time.Millisecond
)

// OfferCallbacks takes what becomes of an offer. Returned tasks may come several times
// before the end.
type OfferCallbacks struct {
	TasksReturned func(schedule.Result, schedule.Load)
	OfferEnded    func(schedule.Result, schedule.Load)
}

// Group is a pool at work.
type Group struct {
	Name  string
	Token uint64

	calls UpstreamClient
	seen  Observer

	mu       sync.Mutex // guards pool and answers
	pool     *schedule.Pool
	rtt      roundTrip     // of starts
	distrust *rate.Limiter // of upstreams whose connections are closed
	answers  map[schedule.JobKey]OfferCallbacks
	follows  map[string]bool // upstreams whose reports are being read
	closed   bool
	done     chan struct{}
}

// NewGroup returns a running group. Close ends it.
func NewGroup(name string, cfg schedule.Config, token uint64, calls UpstreamClient, seen Observer) *Group {
	g := &Group{
		Name: name, Token: token, calls: calls, seen: seen,
		pool: schedule.NewPool(cfg, token), answers: map[schedule.JobKey]OfferCallbacks{}, follows: map[string]bool{}, done: make(chan struct{}),
		distrust: rate.NewLimiter(distrustRate, distrustBurst),
	}
	go g.ticks()
	return g
}

func (g *Group) ticks() {
	ticker := time.NewTicker(tick)
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

// apply gives the pool one input and carries its effects out.
func (g *Group) apply(input func(p *schedule.Pool, now time.Time) schedule.Effects) {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	now := clock.Now()
	g.pool.SetAnswerTimeout(g.rtt.timeout(now))
	effects := input(g.pool, now)
	tell := g.collect(&effects)
	g.mu.Unlock()
	for _, f := range tell {
		f()
	}
	g.carryOut(&effects)
}

// collect pairs results with those who wait for them. The lock is held; what
// it returns is called without it.
func (g *Group) collect(effects *schedule.Effects) []func() {
	if len(effects.Returns) == 0 && len(effects.Results) == 0 {
		return nil
	}
	load := g.pool.Load(clock.Now())
	var tell []func()
	for _, r := range effects.Returns {
		if a, known := g.answers[r.Key]; known {
			tell = append(tell, func() { a.TasksReturned(r, load) })
		}
	}
	for _, r := range effects.Results {
		if a, known := g.answers[r.Key]; known {
			delete(g.answers, r.Key)
			tell = append(tell, func() { a.OfferEnded(r, load) })
		}
	}
	return tell
}

func (g *Group) carryOut(effects *schedule.Effects) {
	for _, s := range effects.Starts {
		go g.start(s)
	}
	for _, s := range effects.Stops {
		go g.stop(s)
	}
	for _, id := range effects.Polls {
		go g.look(id)
	}
	for _, d := range effects.Decisions {
		g.seen.DecisionMade(g.Name, g.Token, d)
	}
}

// started is the answer to a start.
type started struct {
	refusal fleet.Refusal
	err     error
}

// start makes the call of a start. One that is overdue counts as unanswered; its
// answer is still taken when it comes.
func (g *Group) start(s schedule.Start) {
	overdue, limit := g.timeouts()
	began := clock.Now()
	if began.After(s.SendBy) { // this process stood still
		g.started(s, started{refusal: fleet.RefusedLate}, 0)
		return
	}
	call := func() started {
		refusal, err := g.calls.Start(s.Upstream, s.Order, limit)
		g.seen.CallEnded("start", err, clock.Since(began))
		return started{refusal, err}
	}
	take := func(a started) { g.started(s, a, clock.Since(began)-s.LinkDelay) }
	answer, inTime := await(overdue+s.LinkDelay, call, func(late started) {
		if !failure.Is(late.err, failure.Lost) { // which has been told
			take(late)
		}
	})
	if inTime {
		take(answer)
		return
	}
	g.unanswered("start", s.Upstream)
	g.started(s, started{err: errOverdue}, 0)
}

// started gives the pool the answer to a start, which took so long beyond the time
// on the link.
func (g *Group) started(s schedule.Start, a started, took time.Duration) {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		g.rtt.learn(now, took, a.err == nil)
		return p.HandleStartResponse(now, s.Upstream.Incarnation(), s.Order.Run, a.refusal, a.err)
	})
}

func (g *Group) stop(s schedule.Stop) {
	_, limit := g.timeouts()
	began := clock.Now()
	err := g.calls.Stop(s.Upstream, s.Run, g.Token, limit)
	g.seen.CallEnded("stop", err, clock.Since(began))
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		return p.HandleStopResponse(now, s.Upstream.Incarnation(), s.Run, err)
	})
}

func (g *Group) look(id string) {
	g.mu.Lock()
	u, order, known := g.pool.PollOrder(clock.Now(), id)
	known = known && !g.closed
	g.mu.Unlock()
	if known {
		_ = g.hold(u, order) // the pool has taken the error, and asks again
	}
}

// held is the answer to a hold.
type held struct {
	report fleet.Report
	err    error
}

// hold makes one call for a report, as start does.
func (g *Group) hold(u fleet.Upstream, order fleet.HoldOrder) error {
	overdue, limit := g.reportTimeouts(order)
	sent := clock.Now()
	call := func() held {
		report, err := g.calls.Hold(u, order, limit)
		g.seen.CallEnded("hold", err, clock.Since(sent))
		return held{report, err}
	}
	answer, inTime := await(overdue, call, func(late held) {
		if !failure.Is(late.err, failure.Lost) { // which has been told
			g.held(u, sent, late)
		}
	})
	if inTime {
		g.held(u, sent, answer)
		return answer.err
	}
	g.unanswered("hold", u)
	g.held(u, sent, held{err: errOverdue})
	return errOverdue
}

// held gives the pool the answer to a hold that was sent at a time.
func (g *Group) held(u fleet.Upstream, sent time.Time, a held) {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		return p.HandleHoldResponse(now, u.Incarnation(), sent, a.report, a.err)
	})
}

// follow keeps the lease of one upstream and reads its reports, until it does
// not belong to the group any more.
func (g *Group) follow(id string) {
	for {
		g.mu.Lock()
		u, order, known := g.pool.HoldOrder(clock.Now(), id)
		known = known && !g.closed
		if !known {
			delete(g.follows, id)
		}
		g.mu.Unlock()
		if !known {
			return
		}
		if g.hold(u, order) == nil {
			continue
		}
		select {
		case <-g.done:
			return
		case <-time.After(holdPause):
		}
	}
}

// SetUpstreams takes the group's upstreams as the store lists them.
func (g *Group) SetUpstreams(list []fleet.Upstream) {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects {
		added, effects := p.SetUpstreams(now, list)
		for _, id := range added {
			if !g.follows[id] {
				g.follows[id] = true
				go g.follow(id)
			}
		}
		return effects
	})
}

// Drain makes the group start nothing more.
func (g *Group) Drain() {
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects { return p.Drain(now) })
}

// Release gives up the upstreams of a draining group on which nothing runs, and
// returns their ids.
func (g *Group) Release() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Release()
}

// Idle reports whether nothing runs or waits.
func (g *Group) Idle() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Idle()
}

// FencedAt returns when the group lost its first upstream to a higher token,
// zero where it has lost none, and whether any upstream ever accepted its own.
func (g *Group) FencedAt() (at time.Time, joined bool) {
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

// CallDelays are what the calls of a group wait for.
type CallDelays struct {
	OverdueAfter time.Duration // after which an answer counts as overdue
	LinkWait     time.Duration // until the link has carried what was handed to it
}

// CallDelays returns what calls wait for now.
func (g *Group) CallDelays() CallDelays {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := clock.Now()
	return CallDelays{OverdueAfter: g.rtt.timeout(now), LinkWait: g.pool.LinkDelay(now)}
}

// Close ends the group: it makes no call any more. The jobs that are left end
// as unknown.
func (g *Group) Close() {
	g.mu.Lock()
	if g.closed {
		g.mu.Unlock()
		return
	}
	g.closed = true
	close(g.done)
	answers := g.answers
	g.answers = map[schedule.JobKey]OfferCallbacks{}
	g.mu.Unlock()
	for key, a := range answers {
		a.OfferEnded(schedule.Result{Key: key, Outcome: schedule.Unknown, Begun: true}, schedule.Load{})
	}
}
