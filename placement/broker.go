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
	Service  string // whose they are, in a sync
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
	Service      string
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
	taken  Needs
	health health
	listed bool
	// reserved is the ticket that this upstream is kept free for, or nil.
	reserved *ticket
}

type ticketKey struct{ home, ticket string }

// heldKey says who holds places, where and for what.
type heldKey struct{ home, upstream, service string }

// orphan is a number of places that come back at a time.
type orphan struct {
	upstream string
	count    int
	taken    Needs
	at       int64
}

// use is what one service has of the pool, and what it may have.
type use struct {
	used  int
	share Share
}

// Share is a service's part of a pool.
type Share struct {
	Weight float64 // against the other services that wait; zero is 1
	Slots  int     // the most that it may have; zero is no bound
}

func (b *Broker) useOf(service string) *use {
	u := b.uses[service]
	if u == nil {
		u = &use{}
		b.uses[service] = u
	}
	return u
}

// SetShares replaces the parts of services; those not named weigh 1.
func (b *Broker) SetShares(shares map[string]Share) {
	for _, u := range b.uses {
		u.share = Share{}
	}
	for service, share := range shares {
		b.useOf(service).share = share
	}
}

// standing is how much a service has for its weight: the least goes first.
func (u *use) standing() float64 {
	if u.share.Weight > 0 {
		return float64(u.used+1) / u.share.Weight
	}
	return float64(u.used + 1)
}

// atBound reports whether the service has all that it may have.
func (u *use) atBound() bool { return u.share.Slots > 0 && u.used >= u.share.Slots }

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
		if !p.Leaving && !p.health.ejected && !p.health.isSlow(&b.cfg.Health) {
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

func (b *Broker) take(home string, p *place, service string, n Needs, count int) {
	key := heldKey{home, p.ID, service}
	b.useOf(service).used += count
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
	u := b.useOf(key.service)
	u.used = max(u.used-count, 0)
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
		return []Grant{{Home: r.Home, Ticket: r.Ticket, Service: r.Service, Refused: RefusedOverloaded, RetryAfterMs: wait}}
	}
	t := &ticket{Request: r, arrived: now}
	b.tickets[key] = t
	b.queue = append(b.queue, t)
	b.queued += r.Count
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
	missing := b.queued + r.Count - b.Free()
	if missing <= 0 {
		return 0, false
	}
	waitMs := int64(run)
	if slots := b.slots(); slots > 0 {
		waitMs = int64(float64(missing) * run * b.overhead / float64(slots))
	}
	late := r.DeadlineMs > 0 && float64(waitMs)+tail > admitShare*float64(r.DeadlineMs-now)
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

// learn takes what the tasks of a usage were like.
func (b *Broker) learn(p *place, u *Usage, now int64) {
	finished := u.Count - u.Failed
	if u.HoldMs > 0 || u.RunMs == 0 {
		finished = 0 // the places were not used
	}
	if finished > 0 {
		mean := u.RunMs / float64(finished)
		b.services.seen(u.Service, mean, finished)
		b.meanMs += smoothing * (mean - b.meanMs)
		p.health.succeeded(now, mean)
	}
	for range finished {
		b.services.ended(u.Service, false)
	}
	for range u.Failed {
		b.failed(p, u, now)
	}
}

// failed counts a failure against an upstream: as many in a row as chance does
// not explain eject it, and a first one of a service that hardly ever fails
// casts doubt. Being out of one home's reach says less.
func (b *Broker) failed(p *place, u *Usage, now int64) {
	p.health.inRow++
	p.health.failed = now
	needed := unreachedInRow
	if ran := u.HoldMs == 0; ran {
		b.services.ended(u.Service, true)
		p.health.doubted = b.services.rarely(u.Service)
		needed = b.services.inRow(u.Service)
	}
	if needed > 0 && p.health.inRow >= max(needed, b.cfg.Health.FailuresToEject) && b.mayEject(p, now) {
		p.health.eject(now, &b.cfg.Health)
	}
}

// unreachedInRow is how many starts in a row must not reach an upstream before
// it is ejected.
const unreachedInRow = 6

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
	b.judgePaces(now)
	return b.serve(now)
}

// judgeEveryMs is how often paces are compared.
const judgeEveryMs = 50

// judgePaces compares the pace of each upstream with that of the pool.
func (b *Broker) judgePaces(now int64) {
	if now-b.judged < judgeEveryMs {
		return
	}
	b.judged = now
	pool := pace{}
	for _, p := range b.sorted {
		p.health.pace.running(p.used, b.meanMs, now)
		pool.expected += p.health.pace.expected
		pool.ended += p.health.pace.ended
	}
	for _, p := range b.sorted {
		p.health.slow = p.health.pace.ratio() / pool.ratio()
	}
	b.overhead = min(max(pool.ratio(), 1), maxOverhead)
}

// maxOverhead bounds how much longer than its task's run time a place may seem
// to be taken.
const maxOverhead = 2

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
	b.queued--
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
	now := map[heldKey]int{}
	for _, h := range held {
		now[heldKey{home, h.Upstream, h.Service}] += h.Count
	}
	for key, h := range b.held {
		if over := h.count - now[key]; key.home == home && over > 0 {
			b.placeOf(key.upstream).vacate(b.giveUp(key, over), over)
		}
	}
	for key, count := range now {
		missing := count
		if h := b.held[key]; h != nil {
			missing -= h.count
		}
		if missing > 0 {
			b.take(home, b.placeOf(key.upstream), key.service, Needs{}, missing)
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

func (g *Grant) add(upstream string) {
	for i := range g.Places {
		if g.Places[i].Upstream == upstream {
			g.Places[i].Count++
			return
		}
	}
	g.Places = append(g.Places, Place{Upstream: upstream, Count: 1})
}

// What is added to the score of an upstream, a share of slots in use.
const (
	sparing  = 100  // it has accelerators, and the task needs none
	awayCost = 0.13 // it is in another zone than the home: about one slot of 8
)

// choose returns the upstream with the lowest score for a task of t, or nil.
func (b *Broker) choose(t *ticket, now int64) *place {
	var best *place
	var lowest float64
	for _, p := range b.sorted {
		if !b.usable(p, t, now) || !p.taken.plus(t.Needs).Within(p.Capacity) {
			continue
		}
		if score := b.score(p, &t.Request); best == nil || score < lowest {
			best, lowest = p, score
		}
	}
	return best
}

func (b *Broker) score(p *place, r *Request) float64 {
	score := float64(p.used+1) / float64(p.Slots)
	if r.Needs.Accelerators == 0 && p.Capacity.Accelerators > 0 {
		score += sparing
	}
	if p.Zone != r.Zone {
		score += awayCost
	}
	return score
}

// usable reports whether p may get a task of t now.
func (b *Broker) usable(p *place, t *ticket, now int64) bool {
	switch {
	case !p.listed || p.Leaving || p.used >= p.Slots:
		return false
	case slices.Contains(t.Avoid, p.Zone):
		return false
	case p.reserved != nil && p.reserved != t:
		return false
	case p.health.ejected:
		return now >= p.health.until && p.used == 0 // a single probe
	case p.health.doubted:
		return p.used == 0
	case p.health.isSlow(&b.cfg.Health):
		return b.worthIt(p, t, now)
	default:
		return true
	}
}

// worthIt reports whether a task should go to a slow upstream: to see whether
// it still is slow, or where waiting would take longer.
func (b *Broker) worthIt(p *place, t *ticket, now int64) bool {
	if p.used == 0 && now-p.health.probed >= slowProbeMs {
		return true
	}
	run, _ := b.services.run(t.Service, t.RunMs)
	wait := float64(b.queued) * run / float64(max(b.slots(), 1))
	return wait > (p.health.slow-1)*run
}
