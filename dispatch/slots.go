package dispatch

import (
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/placement"
)

// slots requests and releases the slots that the jobs of this instance need. It
// keeps track of the tickets that wait for slots, of the slots in use, and of the
// free slots that are about to be released.
type slots struct {
	d                *Dispatcher
	mu               sync.Mutex
	lastTicketNumber uint64
	tickets          map[string]*ticket
	held             map[slotKey]int // slots in use
	releases         map[string]*pendingRelease
	loads            map[string]poolLoad  // by pool
	lastGrants       map[string]lastGrant // by pool
	unsynced         map[string]bool      // pools whose broker may have missed a message
	lastSync         time.Time
	closed           bool
}

// slotKey identifies the slots of one upstream that tasks of one service use.
type slotKey struct{ upstream, service string }

// ticket is a request for slots of one pool that is not completely granted yet.
type ticket struct {
	id           string
	pool         string
	log          *homeLog
	key          fate.Key
	waitingTasks []int // indexes of the tasks that still wait for a slot
	needs        placement.Resources
	runMs        uint32
	service      string
	deadlineMs   int64
	refusedBy    map[string]bool // pools that have refused the request
	otherProbe   string          // in mode PlacementProbe, id of the ticket for the same task at another upstream
}

func (s *slots) init(d *Dispatcher) {
	s.d = d
	s.tickets = map[string]*ticket{}
	s.held = map[slotKey]int{}
	s.releases = map[string]*pendingRelease{}
	s.loads = map[string]poolLoad{}
	s.lastGrants = map[string]lastGrant{}
	s.unsynced = map[string]bool{}
}

func (s *slots) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for _, r := range s.releases {
		if r.timer != nil {
			r.timer.Stop()
		}
	}
}

// request requests slots for tasks of one job.
func (s *slots) request(l *homeLog, key fate.Key, job *fate.Job, tasks []int) {
	for _, group := range groupByNeeds(job, tasks) {
		first := &job.Tasks[group[0]]
		s.distribute(&ticket{
			log: l, key: key, waitingTasks: group, needs: needsOf(first), runMs: first.RunMs,
			service: job.Service, deadlineMs: job.DeadlineMs, refusedBy: map[string]bool{},
		})
	}
}

// sendRequest sends a ticket to the broker of its pool. Before that it releases the
// free slots of the pool, so that the broker can grant them.
func (s *slots) sendRequest(v *View, t *ticket) {
	if !t.log.addTicket(t.key, t.id) {
		return
	}
	s.flushReleases(t.pool)
	s.mu.Lock()
	s.tickets[t.id] = t
	m := s.requestOf(v, t)
	s.mu.Unlock()
	if p := v.pools[t.pool]; p != nil {
		s.sendToBroker(p, &inner.Frame{Body: &inner.Frame_SlotRequest{SlotRequest: m}})
	}
}

// requestOf returns the message for t. The lock must be held.
func (s *slots) requestOf(v *View, t *ticket) *inner.SlotRequest {
	return &inner.SlotRequest{
		Ticket: t.id, Pool: t.pool, Count: uint32(len(t.waitingTasks)), Needs: fromNeeds(t.needs), RunMs: t.runMs,
		Service: t.service, DeadlineMs: t.deadlineMs, Zone: s.d.cfg.Zone, AvoidZones: v.partitionedZones,
	}
}

// sendToBroker sends a frame to the broker of a pool, which may be this instance. If
// the frame gets lost, the next report of syncBroker makes up for it.
func (s *slots) sendToBroker(p *poolView, f *inner.Frame) {
	if err := s.send(p.broker, f); err != nil {
		s.mu.Lock()
		s.unsynced[p.ID] = true
		s.mu.Unlock()
	}
}

// send sends a frame to a broker, which may be this instance.
func (s *slots) send(broker fate.Incarnation, f *inner.Frame) error {
	if broker == s.d.cfg.Self {
		s.d.brokers.handleFrame(s.d.cfg.Self, f)
		return nil
	}
	return s.d.peers.TrySend(broker, f)
}

// handleGrant handles a message from a broker, which grants slots, refuses a ticket,
// or only asks for free slots to be released without delay or for a report.
func (s *slots) handleGrant(from fate.Incarnation, m *inner.SlotGrant) {
	if m.GetReport() {
		s.report(s.d.view.Load(), m.GetPool(), from)
		return
	}
	s.mu.Lock()
	t := s.tickets[m.GetTicket()]
	if m.GetSequence() > 0 {
		s.lastGrants[m.GetPool()] = lastGrant{from, m.GetSequence()}
	}
	if m.GetHurry() {
		s.hurryRelease(m.GetPool())
	}
	if m.GetTicket() != "" {
		s.loads[m.GetPool()] = poolLoad{int(m.GetFree()), int(m.GetQueued())}
	}
	assigned, spare := s.assign(t, m)
	if t != nil && (len(t.waitingTasks) == 0 || m.GetRefused() != "") {
		delete(s.tickets, t.id)
	}
	s.mu.Unlock()
	for _, upstream := range spare {
		s.release(placement.ReleasedSlots{Upstream: upstream, Service: m.GetService(), Count: 1})
	}
	if t == nil {
		return
	}
	if len(assigned) > 0 && t.otherProbe != "" {
		s.withdraw([]string{t.otherProbe})
	}
	if len(assigned) > 0 {
		for _, a := range t.log.place(t.key, assigned) {
			s.release(placement.ReleasedSlots{Upstream: a.upstream, Service: t.service, Needs: t.needs, Count: 1})
		}
	}
	if m.GetRefused() != "" {
		s.retryElsewhere(t, m.GetRetryAfterMs())
	}
}

// assign assigns the granted slots to tasks of t. For each slot that t does not need,
// it adds the upstream to spare. The lock must be held.
func (s *slots) assign(t *ticket, m *inner.SlotGrant) (assigned []assignment, spare []string) {
	for _, p := range m.GetPlaces() {
		s.held[slotKey{p.GetUpstream(), m.GetService()}] += int(p.GetCount())
		for range p.GetCount() {
			if t == nil || len(t.waitingTasks) == 0 {
				spare = append(spare, p.GetUpstream())
				continue
			}
			assigned = append(assigned, assignment{t.waitingTasks[0], p.GetUpstream()})
			t.waitingTasks = t.waitingTasks[1:]
		}
	}
	return assigned, spare
}

// withdraw withdraws those of the tickets that are not completely granted, with one
// message per pool.
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
		s.sendToBroker(p, &inner.Frame{Body: &inner.Frame_SlotWithdraw{SlotWithdraw: &inner.SlotWithdraw{Pool: pool, Tickets: tickets}}})
	}
}

// HeldSlots returns the number of slots in use by the jobs of this instance.
func (d *Dispatcher) HeldSlots() int {
	d.slots.mu.Lock()
	defer d.slots.mu.Unlock()
	held := 0
	for _, n := range d.slots.held {
		held += n
	}
	return held
}
