package ingress

import (
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/platform/standin"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// A simulated fleet: coordinators and owners, each in a process of its own that may
// stand still, links between them that break or go silent, upstreams, and customers
// that leave and send their jobs again.

const (
	// modelHop is how long a message between processes takes, modelClientHop the same
	// to a customer.
	modelHop       = time.Millisecond
	modelClientHop = 3 * time.Millisecond
	// modelBeat is how often the processes of a zone hear each other, and modelSilence
	// when one end of a link takes the other for lost: as between availability zones.
	modelBeat    = 100 * time.Millisecond
	modelSilence = 1200 * time.Millisecond
	// modelTakeover is when a standby takes over from an owner that is not heard.
	modelTakeover = 600 * time.Millisecond
	// modelTick is how often time passes for a pool.
	modelTick = 25 * time.Millisecond
	// modelStart and modelCall are when calls to upstreams count as unanswered.
	modelStart = 20 * time.Millisecond
	modelCall  = 150 * time.Millisecond
	// modelResend is how long a customer waits before it sends a job again, and
	// modelDeadline how long it waits for an answer.
	modelResend   = 1300 * time.Millisecond
	modelDeadline = 1500 * time.Millisecond
	modelPatience = modelDeadline - 50*time.Millisecond
	// modelWatch is the longest time from the end of a customer's connection to the
	// moment at which the goroutine that waits for it is scheduled.
	modelWatch = 150 // ms
)

// process runs one thing after the other. While it stands still, all that comes waits.
type process struct {
	w      *fleetWorld
	name   string
	paused bool
	inbox  []func()
}

func (p *process) do(f func()) {
	if p.paused {
		p.inbox = append(p.inbox, f)
		return
	}
	f()
}

func (p *process) pause(d time.Duration) {
	if p.paused {
		return
	}
	p.paused = true
	p.w.note("", "%s stands still for %v", p.name, d)
	p.w.AfterFunc(d, func() {
		p.paused = false
		for len(p.inbox) > 0 && !p.paused { // it may stand still again meanwhile
			f := p.inbox[0]
			p.inbox = p.inbox[1:]
			f()
		}
	})
}

// Now and AfterFunc implement Clock.
func (p *process) Now() time.Time { return p.w.Now() }

func (p *process) AfterFunc(d time.Duration, f func()) { p.w.AfterFunc(d, func() { p.do(f) }) }

// modelOwner is a process that may own the group of its zone.
type modelOwner struct {
	process
	zone    string
	pool    *schedule.Pool // nil while another owns the group
	answers map[schedule.JobKey]owner.Answer
	peer    *modelOwner
	heard   time.Time // from its peer
}

// take begins to own the group, under a token above all others.
func (o *modelOwner) take() {
	o.w.note("", "%s takes the group", o.name)
	o.w.token++
	o.pool = schedule.NewPool(schedule.DefaultConfig, o.w.token)
	o.answers = map[schedule.JobKey]owner.Answer{}
	added, effects := o.pool.SetUpstreams(o.Now(), o.w.listed(o.zone))
	o.apply(effects)
	for _, id := range added {
		o.follow(o.pool, id)
	}
	o.tick(o.pool)
}

// drop gives the group up: all that was offered is lost.
func (o *modelOwner) drop() {
	answers := o.answers
	o.pool, o.answers = nil, map[schedule.JobKey]owner.Answer{}
	for _, key := range o.w.sortedKeys(answers) {
		answers[key].Ended(schedule.Result{Key: key, Outcome: schedule.Unknown, Begun: true}, schedule.Load{})
	}
}

// watchPeer exchanges heartbeats with the other process of the zone: the group goes to
// whoever has the higher token, and to the standby where its owner is not heard.
func (o *modelOwner) watchPeer() {
	o.AfterFunc(modelBeat, func() {
		token := uint64(0)
		if o.pool != nil {
			token = o.pool.Token()
		}
		o.peer.AfterFunc(modelHop, func() {
			o.peer.heard = o.Now()
			if o.peer.pool != nil && token > o.peer.pool.Token() {
				o.peer.drop()
			}
		})
		if o.pool == nil && o.Now().Sub(o.heard) >= modelTakeover {
			o.take()
		}
		o.watchPeer()
	})
}

func (o *modelOwner) tick(pool *schedule.Pool) {
	o.AfterFunc(modelTick, func() {
		if o.pool != pool {
			return
		}
		o.apply(pool.Tick(o.Now()))
		o.tick(pool)
	})
}

func (o *modelOwner) follow(pool *schedule.Pool, id string) {
	u, order, known := pool.HoldOrder(o.Now(), id)
	if o.pool != pool || !known {
		return
	}
	o.hold(pool, u.ID, order, func(err error) {
		if err == nil {
			o.follow(pool, id)
			return
		}
		o.AfterFunc(modelTick, func() { o.follow(pool, id) })
	})
}

func (o *modelOwner) hold(pool *schedule.Pool, id string, order fleet.HoldOrder, then func(error)) {
	sent := o.Now()
	o.w.upstreams[id].CallHold(order, modelCall, func(report fleet.Report, err error) {
		o.do(func() {
			if o.pool == pool {
				o.apply(pool.Held(o.Now(), id, sent, report, err))
				then(err)
			}
		})
	})
}

// apply carries out what the pool decided. Each call is made a moment later, and not
// while the process stands still.
func (o *modelOwner) apply(e schedule.Effects) {
	pool := o.pool
	for _, s := range e.Starts {
		o.w.note(s.Order.Run.Task.Job, "%s starts %v on %s", o.name, s.Order.Run, s.Upstream.ID)
		o.AfterFunc(o.w.Millis(0, 1), func() {
			o.w.upstreams[s.Upstream.ID].CallStart(s.Order, modelStart, func(r fleet.Refusal, err error) {
				o.do(func() {
					if o.pool == pool {
						o.apply(pool.Started(o.Now(), s.Upstream.ID, s.Order.Run, r, err))
					}
				})
			})
		})
	}
	for _, s := range e.Stops {
		o.w.note(s.Run.Task.Job, "%s stops %v on %s", o.name, s.Run, s.Upstream.ID)
		o.AfterFunc(o.w.Millis(0, 1), func() {
			o.w.upstreams[s.Upstream.ID].CallStop(s.Run, pool.Token(), modelCall, func(err error) {
				o.do(func() {
					if o.pool == pool {
						o.apply(pool.Stopped(o.Now(), s.Upstream.ID, s.Run, err))
					}
				})
			})
		})
	}
	for _, id := range e.Looks {
		if _, order, known := pool.LookOrder(id); known {
			o.hold(pool, id, order, func(error) {})
		}
	}
	o.tell(e)
}

func (o *modelOwner) tell(e schedule.Effects) {
	for _, r := range e.Returns {
		if a, known := o.answers[r.Key]; known {
			a.Returned(r, o.pool.Load(o.Now()))
		}
	}
	for _, r := range e.Results {
		if a, known := o.answers[r.Key]; known {
			delete(o.answers, r.Key)
			a.Ended(r, o.pool.Load(o.Now()))
		}
	}
}

// offered takes an offer that came on a link.
func (o *modelOwner) offered(l *modelLink, offer schedule.Offer) {
	inner := offer.Key
	back := func(f func(owner.Answer) func(schedule.Result, schedule.Load)) func(schedule.Result, schedule.Load) {
		return func(r schedule.Result, load schedule.Load) {
			r.Key = inner
			l.toCoordinator(func() {
				if a, open := l.offers[inner]; open {
					if r.Outcome != "" {
						delete(l.offers, inner)
					}
					l.c.views[o.zone] = loadAt(o.zone, load)
					f(a)(r, load)
				}
			})
		}
	}
	answer := owner.Answer{
		Returned: back(func(a owner.Answer) func(schedule.Result, schedule.Load) { return a.Returned }),
		Ended:    back(func(a owner.Answer) func(schedule.Result, schedule.Load) { return a.Ended }),
	}
	if o.pool == nil {
		answer.Ended(schedule.Result{Outcome: schedule.Completed}, schedule.Load{})
		return
	}
	offer.Key.Coordinator = l.key()
	o.w.note(offer.Key.ID, "%s takes the offer on %s", o.name, l.key())
	o.answers[offer.Key] = answer
	o.apply(o.pool.Offer(o.Now(), offer))
}

func (o *modelOwner) withdrawn(l *modelLink, key schedule.JobKey) {
	o.w.note(key.ID, "%s takes the withdrawal of part %d on %s", o.name, key.Part, l.key())
	key.Coordinator = l.key()
	delete(o.answers, key)
	if o.pool != nil {
		o.apply(o.pool.Withdraw(o.Now(), key, "withdrawn"))
	}
}

func loadAt(zone string, l schedule.Load) OwnerLoad {
	return OwnerLoad{Group: zone, Zone: zone, Free: l.Free, Waiting: l.Waiting, Capacity: l.Capacity, Closed: l.Closed}
}

// modelCoordinator is a process that takes customers.
type modelCoordinator struct {
	process
	c     *Coordinator
	links map[*modelOwner]*modelLink
	views map[string]OwnerLoad
	// heardFrom holds when each owner sent the last heartbeat that came from it.
	heardFrom map[*modelOwner]time.Time
	// stalls makes the process stand still once, between its decision on an offer and
	// the sending of it; stallsOffer and stallsWithdrawal likewise, but the thread that
	// sends goes on some milliseconds after others that have read what came meanwhile.
	stalls           bool
	stallsOffer      bool
	stallsWithdrawal bool
}

// modelThread is how much later than others a thread goes on at most once its process
// runs again, in milliseconds.
const modelThread = 5

// stall lets the process stand still before a thread has sent something: it does so once
// the process runs again, late after others. Until then the thread is at it, as the
// coordinator counts them.
func (c *modelCoordinator) stall(late func() time.Duration, send func()) {
	c.c.sending.Add(1)
	pause := c.w.Millis(30, 3000)
	c.pause(pause)
	sent := func() {
		send()
		c.c.sending.Add(-1)
	}
	if late == nil {
		c.do(sent)
		return
	}
	c.w.AfterFunc(pause+late(), func() { c.do(sent) })
}

// stallOffer is stall for an offer. Who withdraws it does so behind it.
func (c *modelCoordinator) stallOffer(late func() time.Duration, l *modelLink, key schedule.JobKey, send func()) {
	l.unsent[key] = nil
	c.stall(late, func() {
		send()
		for _, f := range l.unsent[key] {
			f()
		}
		delete(l.unsent, key)
	})
}

// threadLate is how much later than others a thread goes on.
func (c *modelCoordinator) threadLate() time.Duration { return c.w.Millis(0, modelThread) }

// Loads implements Owners.
func (c *modelCoordinator) Loads() []OwnerLoad {
	var list []OwnerLoad
	for _, zone := range c.w.zones {
		if v, known := c.views[zone]; known {
			list = append(list, v)
		}
	}
	return list
}

// hearLoads tells the coordinator of the owners' loads, as heartbeats do.
func (c *modelCoordinator) hearLoads() {
	c.AfterFunc(modelBeat, func() {
		for _, o := range c.w.owners {
			if o.pool != nil && !o.paused {
				c.views[o.zone] = loadAt(o.zone, o.pool.Load(o.Now()))
			}
		}
		c.hearLoads()
	})
}

// ownerOf returns the process that owns a zone's group, as the coordinator believes.
func (c *modelCoordinator) ownerOf(zone string) *modelOwner {
	var best *modelOwner
	for _, o := range c.w.owners {
		if o.zone == zone && o.pool != nil && (best == nil || o.pool.Token() > best.pool.Token()) {
			best = o
		}
	}
	return best
}

// Offer implements Owners.
func (c *modelCoordinator) Offer(group string, offer schedule.Offer, answer owner.Answer) error {
	o := c.ownerOf(group)
	if o == nil {
		return failure.Unreachable.New("no owner of %s", group)
	}
	l := c.links[o]
	if l == nil || !l.cOpen {
		l = c.w.connect(c, o)
	}
	l.offers[offer.Key] = answer
	offer.Alive = c.heardFrom[o].Add(-c.Now().Sub(offer.Alive))
	c.w.note(offer.Key.ID, "%s offers to %s on %s, part %d", c.name, o.name, l.key(), offer.Key.Part)
	send := func() { l.toOwner(func() { o.offered(l, offer) }) }
	switch {
	case c.stalls:
		c.stalls = false
		c.stallOffer(nil, l, offer.Key, send)
	case c.stallsOffer:
		c.stallsOffer = false
		c.stallOffer(c.threadLate, l, offer.Key, send)
	default:
		c.do(send)
	}
	return nil
}

// Withdraw implements Owners.
func (c *modelCoordinator) Withdraw(group string, key schedule.JobKey, _ string) {
	for _, o := range c.w.owners {
		l := c.links[o]
		if l == nil || o.zone != group {
			continue
		}
		if _, open := l.offers[key]; open {
			delete(l.offers, key)
			send := func() { l.toOwner(func() { o.withdrawn(l, key) }) }
			_, unsent := l.unsent[key]
			switch {
			case unsent:
				l.unsent[key] = append(l.unsent[key], send)
			case c.stallsWithdrawal:
				c.stallsWithdrawal = false
				c.stall(c.threadLate, send)
			default:
				send()
			}
		}
	}
}

// fleetWorld is the whole.
type fleetWorld struct {
	*standin.Simulation
	t            modelFailer
	zones        []string
	owners       []*modelOwner
	coordinators []*modelCoordinator
	upstreams    map[string]*standin.SimulatedUpstream
	ids          []string // of the upstreams
	jobs         map[string]*modelJob
	token        uint64
	links        int
	starts       int
	faultKinds   int           // that are drawn
	beat         time.Duration // how often the two ends of a link hear each other
	notes        []modelNote
	verdicts     map[Verdict]int
}

type modelFailer interface {
	Fatalf(format string, args ...any)
}

func (w *fleetWorld) listed(zone string) []fleet.Upstream {
	var list []fleet.Upstream
	for _, id := range w.ids {
		if u := w.upstreams[id]; u.Zone == zone {
			list = append(list, u.Upstream)
		}
	}
	return list
}

func (w *fleetWorld) connect(c *modelCoordinator, o *modelOwner) *modelLink {
	w.links++
	l := &modelLink{number: w.links, c: c, o: o, cOpen: true, oOpen: true, cHeard: w.Now(), oHeard: w.Now(), offers: map[schedule.JobKey]owner.Answer{}, unsent: map[schedule.JobKey][]func(){}}
	c.links[o] = l
	c.heardFrom[o] = w.Now() // they tell each other the time when they connect
	l.beat()
	l.beatOwner()
	return l
}
