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
	Sequence     uint64 // counts the grants to this home, refusals aside
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
	Leaving  bool  // the upstream said that it is leaving
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
	taken    Needs
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
	held     map[heldKey]*holding
	homes    map[string]*grants
	orphans  []orphan
	services *estimates
	// quietUntil is when a new broker may begin to grant.
	quietUntil int64
}

// grants counts what was granted to one home.
type grants struct {
	sequence uint64
	last     int64 // Unix milliseconds
}

// NewBroker returns a broker without upstreams. It grants nothing before
// quietUntil (Unix milliseconds), so that homes can say what they hold.
func NewBroker(cfg BrokerConfig, quietUntil int64) *Broker {
	return &Broker{
		cfg: cfg, places: map[string]*place{}, tickets: map[ticketKey]*ticket{},
		held: map[heldKey]*holding{}, homes: map[string]*grants{}, quietUntil: quietUntil, services: newEstimates(),
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

func (b *Broker) placeOf(id string) *place {
	p := b.places[id]
	if p == nil {
		p = &place{Upstream: Upstream{ID: id}}
		b.places[id] = p
	}
	return p
}

// holding is what one home holds of one upstream.
type holding struct {
	count int
	taken Needs
}

func (b *Broker) take(home string, p *place, n Needs, count int) {
	key := heldKey{home, p.ID}
	h := b.held[key]
	if h == nil {
		h = &holding{}
		b.held[key] = h
	}
	for range count {
		p.taken = p.taken.plus(n)
		h.taken = h.taken.plus(n)
	}
	p.used += count
	h.count += count
}

// giveUp takes count places of a holding back and returns what they took. The
// places stay used until they are vacated.
func (b *Broker) giveUp(key heldKey, count int) Needs {
	h := b.held[key]
	share := float64(count) / float64(h.count)
	freed := Needs{h.taken.CPU * share, uint64(float64(h.taken.MemoryMB) * share), uint32(float64(h.taken.Accelerators) * share)}
	h.taken = h.taken.minus(freed)
	h.count -= count
	if h.count <= 0 {
		delete(b.held, key)
	}
	return freed
}

func (p *place) vacate(freed Needs, count int) {
	p.used = max(p.used-count, 0)
	p.taken = p.taken.minus(freed)
	if p.used == 0 {
		p.taken = Needs{}
	}
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
		return []Grant{{Home: r.Home, Ticket: r.Ticket, Refused: RefusedOverloaded, RetryAfterMs: wait}}
	}
	t := &ticket{Request: r, arrived: now}
	b.tickets[key] = t
	b.queue = append(b.queue, t)
	b.queued += r.Count
	return nil
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
	p.Leaving = p.Leaving || u.Leaving
	key := heldKey{home, u.Upstream}
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
		if p.health.failed(&b.cfg.Health) && b.mayEject(p, now) {
			p.health.eject(now, &b.cfg.Health)
		}
	}
}

// mayEject keeps the ejected share of the pool bounded. Failures of what ran
// on when an upstream was ejected do not prolong that; those of a probe do.
func (b *Broker) mayEject(p *place, now int64) bool {
	if p.health.ejected {
		return now >= p.health.until
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
	for key, h := range b.held {
		if key.home == home {
			count := h.count
			b.orphans = append(b.orphans, orphan{key.upstream, count, b.giveUp(key, count), now + b.cfg.OrphanMs})
		}
	}
	delete(b.homes, home)
	return b.serve(now)
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
	return b.serve(now)
}

// serve grants what can be granted.
func (b *Broker) serve(now int64) []Grant {
	if b.queued == 0 || now < b.quietUntil {
		return nil
	}
	b.arrange(now)
	var list []Grant
	var done []*ticket
	for _, t := range b.queue {
		if g := b.fill(t, now); len(g.Places) > 0 {
			g.Sequence = b.granted(t.Home, now)
			list = append(list, g)
		}
		if t.Count == 0 {
			done = append(done, t)
		}
	}
	for _, t := range done {
		b.remove(t)
	}
	return list
}

func (b *Broker) granted(home string, now int64) uint64 {
	g := b.homes[home]
	if g == nil {
		g = &grants{}
		b.homes[home] = g
	}
	g.sequence++
	g.last = now
	return g.sequence
}

// grantMs is how long a grant may be on its way. After that it was lost.
const grantMs = 1000

// Sync puts the books right by what a home says that it has: the places that
// it holds and the requests that wait. It changes nothing while a grant may be
// on its way; sequence is that of the last one that the home got.
func (b *Broker) Sync(home string, sequence uint64, held []Place, waiting []Request, now int64) []Grant {
	if g := b.homes[home]; g != nil && g.sequence != sequence && now-g.last < grantMs {
		return nil
	}
	b.syncHeld(home, held)
	refused := b.syncWaiting(home, waiting, now)
	return append(refused, b.serve(now)...)
}

func (b *Broker) syncHeld(home string, held []Place) {
	now := map[string]int{}
	for _, h := range held {
		now[h.Upstream] += h.Count
	}
	for key, h := range b.held {
		if over := h.count - now[key.upstream]; key.home == home && over > 0 {
			b.placeOf(key.upstream).vacate(b.giveUp(key, over), over)
		}
	}
	for upstream, count := range now {
		missing := count
		if h := b.held[heldKey{home, upstream}]; h != nil {
			missing -= h.count
		}
		if missing > 0 {
			b.take(home, b.placeOf(upstream), Needs{}, missing)
		}
	}
}

func (b *Broker) syncWaiting(home string, waiting []Request, now int64) []Grant {
	named := map[string]bool{}
	var refused []Grant
	for _, r := range waiting {
		named[r.Ticket] = true
		if t := b.tickets[ticketKey{home, r.Ticket}]; t != nil {
			b.queued += r.Count - t.Count
			t.Count = r.Count
			continue
		}
		refused = append(refused, b.enqueue(r, now)...)
	}
	for _, t := range slices.Clone(b.queue) {
		if t.Home == home && !named[t.Ticket] {
			b.remove(t)
		}
	}
	return refused
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
