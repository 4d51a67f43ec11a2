package dispatch

import (
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

// heldKey says where places are held, and for which service.
type heldKey struct{ upstream, service string }

// ticket is a request for places that is not filled yet.
type ticket struct {
	id       string
	pool     string
	log      *homeLog
	key      fate.Key
	tasks    []int // that wait
	needs    placement.Resources
	runMs    uint32
	service  string
	deadline int64
	tried    map[string]bool // pools that refused
	twin     string          // the ticket for the same task at another upstream, when probing
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
	if err := s.d.peers.TrySend(p.broker, f); err != nil {
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
		s.giveBack(placement.ReleasedSlots{Upstream: upstream, Service: m.GetService(), Count: 1})
	}
	if t == nil {
		return
	}
	if len(list) > 0 && t.twin != "" {
		s.withdraw([]string{t.twin})
	}
	if len(list) > 0 {
		for _, a := range t.log.place(t.key, list) {
			s.giveBack(placement.ReleasedSlots{Upstream: a.upstream, Service: t.service, Needs: t.needs, Count: 1})
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
			s.d.cfg.Metrics.CountWasted("slot_withdraw")
		}
		s.post(p, &inner.Frame{Body: &inner.Frame_SlotWithdraw{SlotWithdraw: &inner.SlotWithdraw{Pool: pool, Tickets: tickets}}})
	}
}

// HeldSlots returns how many places are in use by this instance's jobs.
func (d *Dispatcher) HeldSlots() int {
	d.slots.mu.Lock()
	defer d.slots.mu.Unlock()
	held := 0
	for _, n := range d.slots.held {
		held += n
	}
	return held
}
