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
	// OrphanMs is how long the places of a lost home stay taken: its tasks run
	// on at their upstreams.
	OrphanMs int64
}

// DefaultBroker is what applies where settings say nothing.
var DefaultBroker = BrokerConfig{Order: OrderFIFO, MaxQueued: 20000, Health: DefaultHealth, OrphanMs: 1000}

// Request asks for places for tasks that are alike.
type Request struct {
	Home       string
	Ticket     string
	Count      int
	Needs      Needs
	RunMs      float64 // declared
	Service    string
	DeadlineMs int64 // Unix milliseconds; zero is none
	Zone       string
	// Avoid holds zones that the home cannot reach.
	Avoid []string
}

// Place is a number of slots at one upstream.
type Place struct {
	Upstream string
	Count    int
}

// Refusal is why a ticket gets no more places.
type Refusal string

// The refusals of a ticket.
const (
	RefusedNone       Refusal = ""
	RefusedOverloaded Refusal = "overloaded"
)

// Grant gives places to a ticket, or refuses the rest of it.
type Grant struct {
	Home         string
	Ticket       string
	Places       []Place
	Refused      Refusal
	RetryAfterMs int64
}

// Usage gives places back and says what the tasks there were like.
type Usage struct {
	Upstream string
	Needs    Needs
	Service  string
	Count    int
	RunMs    float64 // sum over the tasks that finished
	Failed   int
	HoldMs   int64 // the upstream was busy: leave these places alone so long
}

type ticket struct {
	Request
	arrived int64
}

type place struct {
	Upstream
	used   int
	taken  Needs
	health health
	listed bool
}

type ticketKey struct{ home, ticket string }

type heldKey struct{ home, upstream string }

// orphan is a number of places that come back at a time.
type orphan struct {
	upstream string
	count    int
	at       int64
}

// Broker hands out the places of one pool. It is not safe for concurrent use.
type Broker struct {
	cfg      BrokerConfig
	places   map[string]*place
	sorted   []*place
	queue    []*ticket
	tickets  map[ticketKey]*ticket
	queued   int // tasks
	held     map[heldKey]int
	orphans  []orphan
	services *estimates
}

// NewBroker returns a broker without upstreams.
func NewBroker(cfg BrokerConfig) *Broker {
	return &Broker{
		cfg: cfg, places: map[string]*place{}, tickets: map[ticketKey]*ticket{},
		held: map[heldKey]int{}, services: newEstimates(),
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

// Queued returns the number of tasks that wait.
func (b *Broker) Queued() int { return b.queued }

// Free returns the number of free slots.
func (b *Broker) Free() int {
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
		if !p.Leaving && !p.health.ejected {
			slots += p.Slots
		}
	}
	return slots
}

// Hold notes places that a home got from the broker before this one.
func (b *Broker) Hold(home string, held []Place) {
	for _, h := range held {
		b.take(home, b.placeOf(h.Upstream), Needs{}, h.Count)
	}
}

func (b *Broker) placeOf(id string) *place {
	p := b.places[id]
	if p == nil {
		p = &place{Upstream: Upstream{ID: id}}
		b.places[id] = p
	}
	return p
}

func (b *Broker) take(home string, p *place, n Needs, count int) {
	p.used += count
	for range count {
		p.taken = p.taken.plus(n)
	}
	b.held[heldKey{home, p.ID}] += count
}

// Request takes a request. What can be placed is granted at once, the rest
// waits, unless it would wait past its deadline or past the queue's bound.
func (b *Broker) Request(r Request, now int64) []Grant {
	key := ticketKey{r.Home, r.Ticket}
	if b.tickets[key] != nil || r.Count <= 0 {
		return nil
	}
	if wait, full := b.wait(&r, now); full {
		return []Grant{{Home: r.Home, Ticket: r.Ticket, Refused: RefusedOverloaded, RetryAfterMs: wait}}
	}
	t := &ticket{Request: r, arrived: now}
	b.tickets[key] = t
	b.queue = append(b.queue, t)
	b.queued += r.Count
	return b.serve(now)
}

// wait estimates how long r would wait, in milliseconds, and whether that is
// too long.
func (b *Broker) wait(r *Request, now int64) (int64, bool) {
	run := b.services.run(r.Service, r.RunMs)
	missing := b.queued + r.Count - b.Free()
	if missing <= 0 {
		return 0, false
	}
	waitMs := int64(run)
	if slots := b.slots(); slots > 0 {
		waitMs = int64(float64(missing) * run / float64(slots))
	}
	late := r.DeadlineMs > 0 && now+waitMs+int64(run) > r.DeadlineMs
	return max(waitMs, 1), late || b.queued+r.Count > b.cfg.MaxQueued
}

// Withdraw takes back what still waits of a home's tickets.
func (b *Broker) Withdraw(home string, tickets []string) {
	for _, name := range tickets {
		if t := b.tickets[ticketKey{home, name}]; t != nil {
			b.remove(t)
		}
	}
}

func (b *Broker) remove(t *ticket) {
	delete(b.tickets, ticketKey{t.Home, t.Ticket})
	b.queued -= t.Count
	b.queue = slices.DeleteFunc(b.queue, func(q *ticket) bool { return q == t })
}

// Release takes places back and learns from what was seen there. It grants
// nothing: Tick does, so that places that come back one after another go out
// together.
func (b *Broker) Release(home string, usages []Usage, now int64) {
	for i := range usages {
		b.release(home, &usages[i], now)
	}
}

func (b *Broker) release(home string, u *Usage, now int64) {
	p := b.places[u.Upstream]
	if p == nil {
		return
	}
	b.learn(p, u, now)
	count := min(u.Count, b.held[heldKey{home, u.Upstream}])
	if count == 0 {
		return
	}
	if u.HoldMs > 0 {
		b.unhold(home, u.Upstream, count)
		b.orphans = append(b.orphans, orphan{u.Upstream, count, now + u.HoldMs})
		return
	}
	b.unhold(home, u.Upstream, count)
	b.vacate(p, u.Needs, count)
}

func (b *Broker) unhold(home, upstream string, count int) {
	key := heldKey{home, upstream}
	b.held[key] -= count
	if b.held[key] <= 0 {
		delete(b.held, key)
	}
}

func (b *Broker) vacate(p *place, n Needs, count int) {
	p.used = max(p.used-count, 0)
	for range count {
		p.taken = p.taken.minus(n)
	}
	if p.used == 0 {
		p.taken = Needs{}
	}
}

// learn takes what the tasks of a usage were like.
func (b *Broker) learn(p *place, u *Usage, now int64) {
	finished := u.Count - u.Failed
	if u.HoldMs > 0 {
		finished = 0
	}
	if finished > 0 && u.RunMs > 0 {
		mean := u.RunMs / float64(finished)
		p.health.ran(mean / b.services.seen(u.Service, mean, finished))
	}
	if finished > 0 {
		p.health.succeeded()
	}
	for range u.Failed {
		if p.health.failed(&b.cfg.Health) && b.mayEject(p) {
			p.health.eject(now, &b.cfg.Health)
		}
	}
}

// mayEject keeps the ejected share of the pool bounded.
func (b *Broker) mayEject(p *place) bool {
	if p.health.ejected {
		return true
	}
	ejected := 1
	for _, o := range b.sorted {
		if o.health.ejected {
			ejected++
		}
	}
	return float64(ejected) <= b.cfg.Health.MaxEjected*float64(len(b.sorted))
}

// HomeGone takes the news that a home is lost: what waits for it is dropped,
// what it holds comes back after a while.
func (b *Broker) HomeGone(home string, now int64) []Grant {
	for _, t := range slices.Clone(b.queue) {
		if t.Home == home {
			b.remove(t)
		}
	}
	for key, count := range b.held {
		if key.home != home {
			continue
		}
		delete(b.held, key)
		b.orphans = append(b.orphans, orphan{key.upstream, count, now + b.cfg.OrphanMs})
	}
	return b.serve(now)
}

// Tick lets time pass: places come back, ejections end, tickets expire.
func (b *Broker) Tick(now int64) []Grant {
	b.orphans = slices.DeleteFunc(b.orphans, func(o orphan) bool {
		if o.at > now {
			return false
		}
		if p := b.places[o.upstream]; p != nil {
			b.vacate(p, Needs{}, o.count)
		}
		return true
	})
	return b.serve(now)
}

// serve grants what can be granted.
func (b *Broker) serve(now int64) []Grant {
	if b.queued == 0 {
		return nil
	}
	b.arrange(now)
	var grants []Grant
	var done []*ticket
	for _, t := range b.queue {
		if g := b.fill(t, now); len(g.Places) > 0 {
			grants = append(grants, g)
		}
		if t.Count == 0 {
			done = append(done, t)
		}
	}
	for _, t := range done {
		b.remove(t)
	}
	return grants
}

// agingMs is how long a ticket waits before it goes ahead of smaller ones.
const agingMs = 2000

func (b *Broker) arrange(now int64) {
	if b.cfg.Order != OrderLeastRemaining {
		return
	}
	slices.SortStableFunc(b.queue, func(x, y *ticket) int {
		oldX, oldY := now-x.arrived > agingMs, now-y.arrived > agingMs
		switch {
		case oldX && oldY:
			return cmp.Compare(x.arrived, y.arrived)
		case oldX:
			return -1
		case oldY:
			return 1
		default:
			return cmp.Compare(x.Count, y.Count)
		}
	})
}

// fill gives t as many places as there are.
func (b *Broker) fill(t *ticket, now int64) Grant {
	g := Grant{Home: t.Home, Ticket: t.Ticket}
	for t.Count > 0 {
		p := b.choose(&t.Request, now)
		if p == nil {
			break
		}
		b.take(t.Home, p, t.Needs, 1)
		t.Count--
		b.queued--
		g.add(p.ID)
	}
	return g
}

func (g *Grant) add(upstream string) {
	for i := range g.Places {
		if g.Places[i].Upstream == upstream {
			g.Places[i].Count++
			return
		}
	}
	g.Places = append(g.Places, Place{upstream, 1})
}

// What is added to the score of an upstream, a share of slots in use.
const (
	sparing  = 100  // it has accelerators, and the task needs none
	awayCost = 0.13 // it is in another zone than the home: about one slot of 8
)

// choose returns the upstream with the lowest score for a task of r, or nil.
func (b *Broker) choose(r *Request, now int64) *place {
	var best *place
	var lowest float64
	for _, p := range b.sorted {
		if !b.usable(p, now) || slices.Contains(r.Avoid, p.Zone) || !p.taken.plus(r.Needs).Within(p.Capacity) {
			continue
		}
		if score := b.score(p, r); best == nil || score < lowest {
			best, lowest = p, score
		}
	}
	return best
}

func (b *Broker) score(p *place, r *Request) float64 {
	score := float64(p.used+1) / float64(p.Slots) * p.health.factor(&b.cfg.Health)
	if r.Needs.Accelerators == 0 && p.Capacity.Accelerators > 0 {
		score += sparing
	}
	if p.Zone != r.Zone {
		score += awayCost
	}
	return score
}

// usable reports whether p may get a task: an ejected upstream gets a single
// probe once its time is over.
func (b *Broker) usable(p *place, now int64) bool {
	if !p.listed || p.Leaving || p.used >= p.Slots {
		return false
	}
	if p.health.ejected {
		return now >= p.health.until && p.used == 0
	}
	return true
}
