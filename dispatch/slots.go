package dispatch

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/placement"
)

// slots is this instance's side of the brokers: the tickets that wait for
// places, the places in use, and those on their way back.
type slots struct {
	d       *Dispatcher
	mu      sync.Mutex
	number  uint64
	tickets map[string]*ticket
	held    map[heldKey]int // places in use
	returns map[string]*returning
	load    map[string]poolLoad
	seen    map[string]seen // the last grant of each pool
	unsure  map[string]bool // pools that something may not have reached
	synced  time.Time
	closed  bool
}

// seen is the last grant that came of a pool, and who sent it.
type seen struct {
	broker   fate.Incarnation
	sequence uint64
}

// heldKey says where places are held, and for which service.
type heldKey struct{ upstream, service string }

// ticket is a request for places that is not filled yet.
type ticket struct {
	id       string
	pool     string
	log      *homeLog
	key      fate.Key
	tasks    []int // that wait
	needs    placement.Needs
	runMs    uint32
	service  string
	deadline int64
	tried    map[string]bool // pools that refused
	twin     string          // the ticket for the same task at another upstream, when probing
}

// returning is what goes back to the broker of one pool with the next release.
type returning struct {
	usages []placement.Usage
	timer  *time.Timer
	due    time.Time // of the timer
	hurry  bool      // work waits there: nothing is held back
}

// poolLoad is what was last heard of a pool.
type poolLoad struct {
	free   int
	queued int
}

func (s *slots) init(d *Dispatcher) {
	s.d = d
	s.tickets = map[string]*ticket{}
	s.held = map[heldKey]int{}
	s.returns = map[string]*returning{}
	s.load = map[string]poolLoad{}
	s.seen = map[string]seen{}
	s.unsure = map[string]bool{}
}

func (s *slots) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, r := range s.returns {
		if r.timer != nil {
			r.timer.Stop()
		}
	}
}

// request asks for places for tasks of one job.
func (s *slots) request(l *homeLog, key fate.Key, job *fate.Job, tasks []int) {
	for _, alike := range groupByNeeds(job, tasks) {
		first := &job.Tasks[alike[0]]
		s.spread(&ticket{
			log: l, key: key, tasks: alike, needs: needsOf(first), runMs: first.RunMs,
			service: job.Service, deadline: job.DeadlineMs, tried: map[string]bool{},
		})
	}
}

// groupByNeeds splits tasks into groups that need the same.
func groupByNeeds(job *fate.Job, tasks []int) [][]int {
	var order []placement.Needs
	groups := map[placement.Needs][]int{}
	for _, i := range tasks {
		n := needsOf(&job.Tasks[i])
		if groups[n] == nil {
			order = append(order, n)
		}
		groups[n] = append(groups[n], i)
	}
	list := make([][]int, len(order))
	for i, n := range order {
		list[i] = groups[n]
	}
	return list
}

// spread sends the tasks of t to the pools that can take them.
func (s *slots) spread(t *ticket) {
	view := s.d.view.Load()
	s.mu.Lock()
	var parts []*ticket
	if s.d.cfg.Placing == PlacingProbe {
		parts = s.probes(view, t)
	} else {
		parts = s.parts(view, t)
	}
	s.mu.Unlock()
	if len(parts) == 0 {
		t.log.giveUp(t.key, fate.ReasonOverloaded, noPoolRetryMs)
		return
	}
	for _, part := range parts {
		s.open(view, part)
	}
}

// parts splits t over pools. The lock is held.
func (s *slots) parts(view *View, t *ticket) []*ticket {
	var parts []*ticket
	rest := t.tasks
	for _, share := range s.shares(view, t) {
		part := s.part(t, share.pool, rest[:share.count:share.count])
		rest = rest[share.count:]
		parts = append(parts, part)
	}
	return parts
}

// part returns a ticket for some tasks of t at one pool. The lock is held.
func (s *slots) part(t *ticket, pool string, tasks []int) *ticket {
	part := *t
	part.pool, part.tasks = pool, tasks
	s.number++
	part.id = strconv.FormatUint(s.number, 36)
	return &part
}

// probes makes two tickets for each task, at upstreams drawn at random. The
// lock is held.
func (s *slots) probes(view *View, t *ticket) []*ticket {
	pools := s.candidates(view, t)
	var parts []*ticket
	for _, task := range t.tasks {
		if len(pools) < 2 {
			break
		}
		first := rand.IntN(len(pools))
		second := (first + 1 + rand.IntN(len(pools)-1)) % len(pools)
		a := s.part(t, pools[first].ID, []int{task})
		b := s.part(t, pools[second].ID, []int{task})
		a.twin, b.twin = b.id, a.id
		parts = append(parts, a, b)
	}
	return parts
}

// noPoolRetryMs is when to come back where every pool refused or none is known.
const noPoolRetryMs = 1000

type share struct {
	pool  string
	count int
}

// shares splits the tasks of t over the pools that have not refused it: first
// what is free, this zone's before others', then all the rest to the one with
// the shortest queue. The lock is held.
func (s *slots) shares(v *View, t *ticket) []share {
	pools := s.candidates(v, t)
	if len(pools) == 0 {
		return nil
	}
	var list []share
	missing := len(t.tasks)
	for _, p := range pools {
		n := min(missing, s.free(p))
		if n > 0 {
			list = append(list, share{p.ID, n})
			s.expect(p.ID, n)
			missing -= n
		}
	}
	if missing == 0 {
		return list
	}
	least := slices.MinFunc(pools, func(a, b *poolView) int { return cmp.Compare(s.crowd(a), s.crowd(b)) })
	s.expect(least.ID, missing)
	for i := range list {
		if list[i].pool == least.ID {
			list[i].count += missing
			return list
		}
	}
	return append(list, share{least.ID, missing})
}

// candidates returns the pools that may take t, the nearest and emptiest first.
// The lock is held.
func (s *slots) candidates(v *View, t *ticket) []*poolView {
	var pools []*poolView
	for _, id := range v.order {
		p := v.pools[id]
		static := s.d.cfg.Placing == PlacingStatic && p.broker != s.d.cfg.Self
		if p.broker != "" && !static && !t.tried[id] && placement.CanEver(p.Upstreams, t.needs) {
			pools = append(pools, p)
		}
	}
	slices.SortStableFunc(pools, func(a, b *poolView) int {
		if near := cmp.Compare(s.away(a), s.away(b)); near != 0 {
			return near
		}
		return cmp.Compare(s.free(b), s.free(a))
	})
	return pools
}

// away tells how far a pool is: this zone or region, another zone, another
// region.
func (s *slots) away(p *poolView) int {
	switch {
	case p.Zone == s.d.cfg.Zone, p.Zone == "" && p.Region == s.d.cfg.Region:
		return 0
	case p.Region == s.d.cfg.Region:
		return 1
	default:
		return 2
	}
}

func (s *slots) free(p *poolView) int {
	if load, heard := s.load[p.ID]; heard {
		return load.free
	}
	return p.slots
}

func (s *slots) crowd(p *poolView) float64 {
	return float64(s.load[p.ID].queued) / float64(max(p.slots, 1))
}

// expect counts what was sent to a pool until it is heard of again.
func (s *slots) expect(pool string, n int) {
	load, heard := s.load[pool]
	if !heard {
		return
	}
	load.queued += max(n-load.free, 0)
	load.free = max(load.free-n, 0)
	s.load[pool] = load
}

// open sends a ticket to its broker, with what is to be given back there.
func (s *slots) open(v *View, t *ticket) {
	if !t.log.noteTicket(t.key, t.id) {
		return
	}
	s.flush(t.pool)
	s.mu.Lock()
	s.tickets[t.id] = t
	m := s.requestOf(v, t)
	s.mu.Unlock()
	if p := v.pools[t.pool]; p != nil {
		s.post(p, &inner.Frame{Body: &inner.Frame_SlotRequest{SlotRequest: m}})
	}
}

// requestOf returns what t asks for. The lock is held.
func (s *slots) requestOf(v *View, t *ticket) *inner.SlotRequest {
	return &inner.SlotRequest{
		Ticket: t.id, Pool: t.pool, Count: uint32(len(t.tasks)), Needs: fromNeeds(t.needs), RunMs: t.runMs,
		Service: t.service, DeadlineMs: t.deadline, Zone: s.d.cfg.Zone, AvoidZones: v.avoid,
	}
}

// post sends a frame to the broker of a pool, which may be this instance. What
// does not arrive is made up for by the next sync.
func (s *slots) post(p *poolView, f *inner.Frame) {
	if p.broker == s.d.cfg.Self {
		s.d.brokers.take(s.d.cfg.Self, f)
		return
	}
	if err := s.d.peers.Post(p.broker, f); err != nil {
		s.mu.Lock()
		s.unsure[p.ID] = true
		s.mu.Unlock()
	}
}

// granted takes places from a broker.
func (s *slots) granted(from fate.Incarnation, m *inner.SlotGrant) {
	s.mu.Lock()
	t := s.tickets[m.GetTicket()]
	if m.GetSequence() > 0 {
		s.seen[m.GetPool()] = seen{from, m.GetSequence()}
	}
	if m.GetHurry() {
		s.hasten(m.GetPool())
	}
	if m.GetTicket() != "" {
		s.load[m.GetPool()] = poolLoad{int(m.GetFree()), int(m.GetQueued())}
	}
	list, spare := s.assign(t, m)
	if t != nil && (len(t.tasks) == 0 || m.GetRefused() != "") {
		delete(s.tickets, t.id)
	}
	s.mu.Unlock()
	for _, upstream := range spare {
		s.giveBack(placement.Usage{Upstream: upstream, Service: m.GetService(), Count: 1})
	}
	if t == nil {
		return
	}
	if len(list) > 0 && t.twin != "" {
		s.withdraw([]string{t.twin})
	}
	if len(list) > 0 {
		for _, a := range t.log.place(t.key, list) {
			s.giveBack(placement.Usage{Upstream: a.upstream, Service: t.service, Needs: t.needs, Count: 1})
		}
	}
	if m.GetRefused() != "" {
		s.refused(t, m.GetRetryAfterMs())
	}
}

// assign gives the places to tasks of t. The lock is held.
func (s *slots) assign(t *ticket, m *inner.SlotGrant) (list []assignment, spare []string) {
	for _, p := range m.GetPlaces() {
		s.held[heldKey{p.GetUpstream(), m.GetService()}] += int(p.GetCount())
		for range p.GetCount() {
			if t == nil || len(t.tasks) == 0 {
				spare = append(spare, p.GetUpstream())
				continue
			}
			list = append(list, assignment{t.tasks[0], p.GetUpstream()})
			t.tasks = t.tasks[1:]
		}
	}
	return list, spare
}

// hasten makes places go back at once while work waits. The lock is held.
func (s *slots) hasten(pool string) {
	r := s.returnsOf(pool)
	r.hurry = true
	if len(r.usages) > 0 {
		s.schedule(pool, r)
	}
}

// refused looks for places elsewhere, or gives the job up.
func (s *slots) refused(t *ticket, retryAfterMs uint32) {
	s.mu.Lock()
	delete(s.tickets, t.id)
	again := *t
	again.tried = maps.Clone(t.tried) // other tickets of the job have it too
	again.tried[t.pool] = true
	elsewhere := len(s.candidates(s.d.view.Load(), &again)) > 0
	s.mu.Unlock()
	if !elsewhere {
		t.log.giveUp(t.key, fate.ReasonOverloaded, retryAfterMs)
		return
	}
	s.spread(&again)
}

// giveBack returns places that are free again, together with others.
func (s *slots) giveBack(u placement.Usage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	key := heldKey{u.Upstream, u.Service}
	s.held[key] -= u.Count
	if s.held[key] <= 0 {
		delete(s.held, key)
	}
	pool, known := s.d.view.Load().poolOf[u.Upstream]
	if !known || s.closed {
		return
	}
	r := s.returnsOf(pool)
	r.add(u)
	r.hurry = r.hurry || u.Failed > 0 || u.HoldMs > 0 || u.Leaving // the broker should know
	s.schedule(pool, r)
}

func (s *slots) returnsOf(pool string) *returning {
	r := s.returns[pool]
	if r == nil {
		r = &returning{}
		s.returns[pool] = r
	}
	return r
}

// add joins usages that are alike.
func (r *returning) add(u placement.Usage) {
	for i := range r.usages {
		o := &r.usages[i]
		if o.Upstream == u.Upstream && o.Needs == u.Needs && o.Service == u.Service && o.HoldMs == u.HoldMs && o.Leaving == u.Leaving {
			o.Count += u.Count
			o.RunMs += u.RunMs
			o.Failed += u.Failed
			return
		}
	}
	r.usages = append(r.usages, u)
}

// hurryDelay is how long places wait for company where work waits for them.
const hurryDelay = 2 * time.Millisecond

// schedule makes the places of a pool go back before long. The lock is held.
func (s *slots) schedule(pool string, r *returning) {
	delay := s.d.cfg.ReleaseDelay
	if r.hurry || s.d.view.Load().brokers(pool, s.d.cfg.Self) {
		delay = hurryDelay
	}
	due := time.Now().Add(delay)
	if r.timer != nil && !due.Before(r.due) {
		return
	}
	if r.timer != nil {
		r.timer.Stop()
	}
	r.due = due
	r.timer = time.AfterFunc(delay, func() { s.flush(pool) })
}

// flush sends what is to be given back to the broker of a pool.
func (s *slots) flush(pool string) {
	s.mu.Lock()
	r := s.returns[pool]
	if r == nil || len(r.usages) == 0 || s.closed {
		s.mu.Unlock()
		return
	}
	delete(s.returns, pool)
	if r.timer != nil {
		r.timer.Stop()
	}
	s.mu.Unlock()
	s.release(pool, r.usages)
}

func (s *slots) release(pool string, usages []placement.Usage) {
	p := s.d.view.Load().pools[pool]
	if p == nil || p.broker == "" {
		return
	}
	m := &inner.SlotRelease{Pool: pool}
	for _, u := range usages {
		m.Usages = append(m.Usages, &inner.Usage{
			Upstream: u.Upstream, Needs: fromNeeds(u.Needs), Service: u.Service, Count: uint32(u.Count),
			RunUs: uint32(u.RunMs * 1000), Failed: uint32(u.Failed), HoldMs: uint32(u.HoldMs), Leaving: u.Leaving,
		})
	}
	s.post(p, &inner.Frame{Body: &inner.Frame_SlotRelease{SlotRelease: m}})
}

// withdraw takes back what waits of tickets, one message for each broker.
func (s *slots) withdraw(ids []string) {
	byPool := map[string][]string{}
	s.mu.Lock()
	for _, id := range ids {
		if t := s.tickets[id]; t != nil {
			delete(s.tickets, id)
			byPool[t.pool] = append(byPool[t.pool], id)
		}
	}
	s.mu.Unlock()
	v := s.d.view.Load()
	for pool, tickets := range byPool {
		p := v.pools[pool]
		if p == nil || p.broker == "" {
			continue
		}
		if p.broker != s.d.cfg.Self {
			s.d.cfg.Metrics.Waste("slot_withdraw")
		}
		s.post(p, &inner.Frame{Body: &inner.Frame_SlotWithdraw{SlotWithdraw: &inner.SlotWithdraw{Pool: pool, Tickets: tickets}}})
	}
}

// rebind takes a new view: a new broker learns what is held and what waits.
func (s *slots) rebind(before, now *View) {
	for _, id := range now.order {
		old := before.pools[id]
		if old != nil && old.broker == now.pools[id].broker {
			continue
		}
		s.mu.Lock()
		delete(s.load, id)
		s.mu.Unlock()
		s.sync(now, id)
	}
	for _, t := range s.homeless(now) {
		s.refused(t, noPoolRetryMs)
	}
}

// syncEvery is how often brokers learn what this instance has of their pools.
const syncEvery = time.Second

// tick syncs with the brokers: all of them now and then, and at once those
// that something may not have reached.
func (s *slots) tick(now time.Time) {
	v := s.d.view.Load()
	s.mu.Lock()
	all := now.Sub(s.synced) >= syncEvery
	if all {
		s.synced = now
	}
	var pools []string
	for _, id := range v.order {
		if s.unsure[id] || all {
			pools = append(pools, id)
		}
	}
	clear(s.unsure)
	s.mu.Unlock()
	for _, id := range pools {
		s.sync(v, id)
	}
}

// sync tells a broker all that this instance has of its pool, if anything.
func (s *slots) sync(v *View, pool string) {
	p := v.pools[pool]
	if p == nil || p.broker == "" {
		return
	}
	s.flush(pool)
	s.mu.Lock()
	m := &inner.SlotSync{Pool: pool, Held: s.heldAt(v, pool)}
	for _, t := range s.tickets {
		if t.pool == pool && len(t.tasks) > 0 {
			m.Waiting = append(m.Waiting, s.requestOf(v, t))
		}
	}
	last := s.seen[pool]
	if last.broker == p.broker {
		m.Sequence = last.sequence
	}
	s.mu.Unlock()
	if last.broker == p.broker || len(m.Held) > 0 || len(m.Waiting) > 0 {
		s.post(p, &inner.Frame{Body: &inner.Frame_SlotSync{SlotSync: m}})
	}
}

// homeless returns the tickets whose pool is gone.
func (s *slots) homeless(v *View) []*ticket {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []*ticket
	for _, t := range s.tickets {
		if v.pools[t.pool] == nil {
			list = append(list, t)
		}
	}
	return list
}

// heldAt returns the places held at a pool: those in use, and those that the
// next release gives back. The lock is held.
func (s *slots) heldAt(v *View, pool string) []*inner.Place {
	counts := map[heldKey]int{}
	for key, n := range s.held {
		if v.poolOf[key.upstream] == pool {
			counts[key] += n
		}
	}
	if r := s.returns[pool]; r != nil {
		for _, u := range r.usages {
			counts[heldKey{u.Upstream, u.Service}] += u.Count
		}
	}
	list := make([]*inner.Place, 0, len(counts))
	for key, n := range counts {
		list = append(list, &inner.Place{Upstream: key.upstream, Service: key.service, Count: uint32(n)})
	}
	return list
}

// SetLoad takes what a broker last said of its pools.
func (d *Dispatcher) SetLoad(broker fate.Incarnation, free, queued int) {
	v := d.view.Load()
	d.slots.mu.Lock()
	defer d.slots.mu.Unlock()
	var pools []*poolView
	slotsSum := 0
	for _, id := range v.order {
		if p := v.pools[id]; p.broker == broker {
			pools = append(pools, p)
			slotsSum += p.slots
		}
	}
	for _, p := range pools {
		d.slots.load[p.ID] = poolLoad{free * p.slots / max(slotsSum, 1), queued * p.slots / max(slotsSum, 1)}
	}
}

// Held returns how many places are in use by this instance's jobs.
func (d *Dispatcher) Held() int {
	d.slots.mu.Lock()
	defer d.slots.mu.Unlock()
	held := 0
	for _, n := range d.slots.held {
		held += n
	}
	return held
}
