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
	// suspended is for how long its machine was suspended so far. Timers do not count
	// that time; its clock does, unless steadyClocks is set.
	suspended time.Duration
	resumes   time.Time // when its machine goes on after the last suspension
}

// modelRepeat is when the end of a connection is told for the second time where the first
// was not acknowledged. Each further time comes after twice the pause.
const modelRepeat = 200 * time.Millisecond

// hears returns when the machine hears of the end of a connection that is told now. A
// suspended one hears of it when it is told for the first time after it has gone on.
func (p *process) hears(told time.Time) time.Time {
	if !p.w.hearsLate {
		return told
	}
	for pause := modelRepeat; told.Before(p.resumes); pause *= 2 {
		told = told.Add(pause)
	}
	return told
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
	if p.w.suspends && (!p.w.hearsLate || p.w.Rand.IntN(2) == 0) {
		p.suspended += d
		p.resumes = p.w.Now().Add(d)
	}
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
func (p *process) Now() time.Time {
	if p.w.steadyClocks {
		return p.w.Now().Add(-p.suspended)
	}
	return p.w.Now()
}

func (p *process) AfterFunc(d time.Duration, f func()) {
	before := p.suspended
	p.w.AfterFunc(d, func() {
		if late := p.suspended - before; late > 0 {
			p.AfterFunc(late, f)
			return
		}
		p.do(f)
	})
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
	c.c.sendsInFlight.Add(1)
	pause := c.w.RandMillis(30, 3000)
	c.pause(pause)
	sent := func() {
		send()
		c.c.sendsInFlight.Add(-1)
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
func (c *modelCoordinator) threadLate() time.Duration { return c.w.RandMillis(0, modelThread) }

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
func (c *modelCoordinator) Offer(group string, offer schedule.Offer, answer owner.OfferCallbacks) error {
	o := c.ownerOf(group)
	if o == nil {
		return failure.Unreachable.New("no owner of %s", group)
	}
	l := c.links[o]
	if l == nil || !l.cOpen {
		l = c.w.connect(c, o)
	}
	l.offers[offer.Key] = answer
	offer.AliveAt = c.heardFrom[o].Add(-c.Now().Sub(offer.AliveAt))
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
	// suspends makes the machines of processes that stand still be suspended, and
	// steadyClocks makes their clocks stand as well then.
	suspends, steadyClocks bool
	// hearsLate lets machines that are suspended hear of ends of connections only when these
	// are told again; only some of the processes that stand still are suspended then.
	hearsLate bool
	notes     []modelNote
	verdicts  map[Verdict]int
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
	l := &modelLink{number: w.links, c: c, o: o, cOpen: true, oOpen: true, cHeard: w.Now(), oHeard: w.Now(), offers: map[schedule.JobKey]owner.OfferCallbacks{}, unsent: map[schedule.JobKey][]func(){}}
	c.links[o] = l
	c.heardFrom[o] = w.Now() // they tell each other the time when they connect
	l.beat()
	l.beatOwner()
	return l
}
