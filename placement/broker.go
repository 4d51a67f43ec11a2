package placement

import (
	"cmp"
	"slices"
)

// Order is the order in which waiting tickets get places.
type Order string

// The orders.
const (
	// OrderFIFO serves tickets as they came.
	OrderFIFO Order = "fifo"
	// OrderLeastRemaining serves the job first that needs the fewest places
	// still, so that jobs finish whole; tickets age, so that none starves.
	OrderLeastRemaining Order = "least_remaining"
)

// BrokerConfig bounds a broker.
type BrokerConfig struct {
	Order     Order
	MaxQueued int // tasks that may wait
	Health    HealthConfig
	// LostHomeReleaseDelayMs is how long the places of a lost home stay taken: its tasks run
	// on at their upstreams.
	LostHomeReleaseDelayMs int64
}

// DefaultBrokerConfig is what applies where settings say nothing.
var DefaultBrokerConfig = BrokerConfig{Order: OrderFIFO, MaxQueued: 20000, Health: DefaultHealthConfig, LostHomeReleaseDelayMs: 1000}

// Request asks for places for tasks that are alike.
type Request struct {
	Home       string
	Ticket     string
	Count      int
	Needs      Resources
	RunMs      float64 // declared
	Service    string
	DeadlineMs int64 // Unix milliseconds; zero is none
	Zone       string
	// AvoidZones holds zones that the home cannot reach.
	AvoidZones []string
}

// UpstreamSlots is a number of slots at one upstream.
type UpstreamSlots struct {
	Upstream string
	Service  string // whose they are, in a sync
	Count    int
}

// Refusal is why a ticket gets no more places.
type Refusal string

// The refusals of a ticket.
const (
	NotRefused        Refusal = ""
	RefusedOverloaded Refusal = "overloaded"
)

// Grant gives places to a ticket, or refuses the rest of it.
type Grant struct {
	Home         string
	Ticket       string
	Service      string
	Sequence     uint64 // counts the grants to this home, refusals aside
	Slots        []UpstreamSlots
	Refusal      Refusal
	RetryAfterMs int64
}

// ReleasedSlots gives places back and says what the tasks there were like.
type ReleasedSlots struct {
	Upstream string
	Needs    Resources
	Service  string
	Count    int
	RunMs    float64 // sum over the tasks that ran; zero where none did
	Failed   int
	HoldMs   int64 // the upstream was busy: leave these places alone so long
	Leaving  bool  // the upstream said that it is leaving
}

type ticket struct {
	Request
	arrived int64
}

type place struct {
	Upstream
	used   int
	taken  Resources
	health health
	listed bool
	// reserved is the ticket that this upstream is kept free for, or nil.
	reserved *ticket
}

type ticketKey struct{ home, ticket string }

// Broker hands out the places of one pool. It is not safe for concurrent use.
type Broker struct {
	cfg      BrokerConfig
	places   map[string]*place
	sorted   []*place
	queue    []*ticket
	tickets  map[ticketKey]*ticket
	queued   int // tasks
	held     map[heldKey]*holding
	homes    map[string]*grants
	uses     map[string]*use // by service
	orphans  []orphan
	services *estimates
	meanMs   float64 // run time of the pool's tasks of late
	overhead float64 // how long places are taken, against the run times of tasks
	judged   int64   // Unix milliseconds, when paces were last compared
	// quietUntil is when a new broker may begin to grant.
	quietUntil int64
}

// NewBroker returns a broker without upstreams. It grants nothing before
// quietUntil (Unix milliseconds), so that homes can say what they hold.
func NewBroker(cfg BrokerConfig, quietUntil int64) *Broker {
	return &Broker{
		cfg: cfg, places: map[string]*place{}, tickets: map[ticketKey]*ticket{},
		held: map[heldKey]*holding{}, homes: map[string]*grants{}, uses: map[string]*use{}, quietUntil: quietUntil, services: newEstimates(), meanMs: unknownRunMs, overhead: 1,
	}
}

// SetUpstreams replaces the list of upstreams. What is known of those that
// stay is kept.
func (b *Broker) SetUpstreams(list []Upstream, now int64) []Grant {
	for _, p := range b.places {
		p.listed = false
	}
	for _, u := range list {
		p := b.places[u.ID]
		if p == nil {
			p = &place{}
			b.places[u.ID] = p
		}
		p.Upstream = u
		p.listed = true
	}
	b.sorted = b.sorted[:0]
	for id, p := range b.places {
		if p.listed {
			b.sorted = append(b.sorted, p)
		} else if p.used == 0 {
			delete(b.places, id)
		}
	}
	slices.SortFunc(b.sorted, func(x, y *place) int { return cmp.Compare(x.ID, y.ID) })
	return b.serve(now)
}

// SetMaxQueued bounds the tasks that may wait.
func (b *Broker) SetMaxQueued(tasks int) { b.cfg.MaxQueued = tasks }

// QueuedTasks returns the number of tasks that wait.
func (b *Broker) QueuedTasks() int { return b.queued }

// FreeSlots returns the number of free slots.
func (b *Broker) FreeSlots() int {
	free := 0
	for _, p := range b.sorted {
		if p.open() {
			free += p.Slots - p.used
		}
	}
	return free
}

func (p *place) open() bool { return p.listed && !p.Leaving && !p.health.ejected && p.used < p.Slots }

func (b *Broker) slots() int {
	slots := 0
	for _, p := range b.sorted {
		if !p.Leaving && !p.health.ejected && !p.health.isSlow(&b.cfg.Health) {
			slots += p.Slots
		}
	}
	return slots
}

// Request takes a request. What can be placed is granted at once, the rest
// waits, unless it would wait past its deadline or past the queue's bound.
func (b *Broker) Request(r Request, now int64) []Grant {
	if refused := b.enqueue(r, now); refused != nil {
		return refused
	}
	return b.serve(now)
}

// enqueue makes a request wait, or refuses it.
func (b *Broker) enqueue(r Request, now int64) []Grant {
	key := ticketKey{r.Home, r.Ticket}
	if b.tickets[key] != nil || r.Count <= 0 {
		return nil
	}
	if wait, full := b.wait(&r, now); full {
		return []Grant{{Home: r.Home, Ticket: r.Ticket, Service: r.Service, Refusal: RefusedOverloaded, RetryAfterMs: wait}}
	}
	t := &ticket{Request: r, arrived: now}
	b.tickets[key] = t
	b.queue = append(b.queue, t)
	b.waits(t, r.Count)
	return nil
}

// admitShare is the part of the time to its deadline that a job may be expected
// to take. Under overload every job that is admitted is near this bound, and
// estimates err both ways.
const admitShare = 0.75

// wait estimates how long r would wait, in milliseconds, and whether that is
// too long.
func (b *Broker) wait(r *Request, now int64) (int64, bool) {
	run, tail := b.services.run(r.Service, r.RunMs)
	waitMs := int64(max(b.waitIn(b.queued+r.Count-b.FreeSlots(), run, b.slots()), b.waitOf(r, run)))
	late := r.DeadlineMs > 0 && float64(waitMs)+tail > admitShare*float64(r.DeadlineMs-now)
	return max(waitMs, 1), late || b.queued+r.Count > b.cfg.MaxQueued
}

// waitIn estimates how long it takes until missing places have come back among
// slots, in milliseconds.
func (b *Broker) waitIn(missing int, run float64, slots int) float64 {
	switch {
	case missing <= 0:
		return 0
	case slots <= 0:
		return run
	default:
		return float64(missing) * run * b.overhead / float64(slots)
	}
}

// waitOf is the wait within what r's service may have: its bound, and its part
// against the others that wait, or more where those leave it.
func (b *Broker) waitOf(r *Request, run float64) float64 {
	u := b.useOf(r.Service)
	slots := b.slots()
	mine := max(b.partOf(u, slots), slots-b.usedByOthers(u))
	if u.share.MaxSlots > 0 {
		mine = min(mine, u.share.MaxSlots)
	}
	return b.waitIn(u.queued+r.Count-max(mine-u.used, 0), run, mine)
}

func (b *Broker) usedByOthers(u *use) int {
	used := 0
	for _, o := range b.uses {
		if o != u {
			used += o.used
		}
	}
	return used
}

// partOf is the part of slots that u's weight gives it against the services
// that wait.
func (b *Broker) partOf(u *use, slots int) int {
	weights := u.weight()
	for _, o := range b.uses {
		if o != u && o.queued > 0 {
			weights += o.weight()
		}
	}
	return int(float64(slots) * u.weight() / weights)
}

// Withdraw takes back what still waits of a home's tickets.
func (b *Broker) Withdraw(home string, tickets []string) {
	for _, name := range tickets {
		if t := b.tickets[ticketKey{home, name}]; t != nil {
			b.remove(t)
		}
	}
}

// waits counts tasks of t that wait from now on, or no longer do.
func (b *Broker) waits(t *ticket, count int) {
	b.queued += count
	b.useOf(t.Service).queued += count
}

func (b *Broker) remove(t *ticket) {
	delete(b.tickets, ticketKey{t.Home, t.Ticket})
	b.waits(t, -t.Count)
	b.queue = slices.DeleteFunc(b.queue, func(q *ticket) bool { return q == t })
}

// Release takes places back and learns from what was seen there. It grants
// nothing: Tick does, so that places that come back one after another go out
// together.
func (b *Broker) Release(home string, usages []ReleasedSlots, now int64) {
	for i := range usages {
		b.release(home, &usages[i], now)
	}
}

func (b *Broker) release(home string, u *ReleasedSlots, now int64) {
	p := b.places[u.Upstream]
	if p == nil {
		return
	}
	p.health.pace.running(p.used, b.meanMs, now)
	p.health.pace.ended += float64(u.Count)
	b.learn(p, u, now)
	p.Leaving = p.Leaving || u.Leaving
	key := heldKey{home, u.Upstream, u.Service}
	h := b.held[key]
	if h == nil {
		return
	}
	count := min(u.Count, h.count)
	freed := b.giveUp(key, count)
	if u.HoldMs > 0 {
		b.orphans = append(b.orphans, orphan{u.Upstream, count, freed, now + u.HoldMs})
		return
	}
	p.vacate(freed, count)
}

// Tick lets time pass: places come back, ejections end, tickets expire.
func (b *Broker) Tick(now int64) []Grant {
	b.orphans = slices.DeleteFunc(b.orphans, func(o orphan) bool {
		if o.at > now {
			return false
		}
		if p := b.places[o.upstream]; p != nil {
			p.vacate(o.taken, o.count)
		}
		return true
	})
	b.judgePaces(now)
	return b.serve(now)
}

// serve grants what can be granted: again and again to the service that has
// least of its share, and within it in the order of the configuration.
func (b *Broker) serve(now int64) []Grant {
	if b.queued == 0 || now < b.quietUntil {
		return nil
	}
	round := b.newRound(now)
	for t := round.next(); t != nil; t = round.next() {
		p := b.choose(t, now)
		if p == nil {
			round.skip(t)
			continue
		}
		b.give(t, p, now)
		round.gave(t, p.ID)
	}
	return b.collect(round, now)
}

func (b *Broker) give(t *ticket, p *place, now int64) {
	p.health.pace.running(p.used, b.meanMs, now)
	b.take(t.Home, p, t.Service, t.Needs, 1)
	t.Count--
	b.waits(t, -1)
	if p.health.isSlow(&b.cfg.Health) {
		p.health.probed = now
	}
}

// collect turns a round into grants, in the order of the queue.
func (b *Broker) collect(r *round, now int64) []Grant {
	var list []Grant
	for _, t := range r.order {
		if g := r.grants[t]; g != nil {
			g.Sequence = b.granted(t.Home, now)
			list = append(list, *g)
		}
		if t.Count == 0 {
			b.remove(t)
		}
	}
	return list
}

func (g *Grant) add(upstream string) {
	for i := range g.Slots {
		if g.Slots[i].Upstream == upstream {
			g.Slots[i].Count++
			return
		}
	}
	g.Slots = append(g.Slots, UpstreamSlots{Upstream: upstream, Count: 1})
}
