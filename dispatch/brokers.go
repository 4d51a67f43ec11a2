package dispatch

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/placement"

	"github.com/samber/lo"
)

// brokers holds the pools that this instance is the broker of.
type brokers struct {
	d     *Dispatcher
	mu    sync.RWMutex
	pools map[string]*brokerPool
}

// brokerPool is one pool that this instance is the broker of. It has a lock of its
// own.
type brokerPool struct {
	id           string
	mu           sync.Mutex
	broker       *placement.Broker
	grantedHomes map[fate.Incarnation]bool // homes that were granted slots since they were last asked to release without delay
	queueing     bool                      // whether tasks were queued after the last input
	// grantsScheduled is true from the release of slots until they are granted, after
	// GrantDelay.
	grantsScheduled bool
}

func (b *brokers) init(d *Dispatcher) {
	b.d = d
	b.pools = map[string]*brokerPool{}
}

// pool returns the broker of a pool and creates it on first use, even if another
// instance is the broker in this instance's view: the view of the home that sent the
// request may be newer. Two instances may thus act as brokers of one pool for a
// while. The only consequence is that both may grant the same slot, in which case the
// upstream refuses a task.
func (b *brokers) pool(id string) *brokerPool {
	b.mu.RLock()
	p := b.pools[id]
	b.mu.RUnlock()
	if p != nil {
		return p
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.pools[id] == nil {
		p = &brokerPool{id: id, broker: placement.NewBroker(b.d.cfg.Broker, b.grantsStartMs()), grantedHomes: map[fate.Incarnation]bool{}}
		b.poolUpdate(p, b.d.view.Load())(p.broker)
		b.pools[id] = p
	}
	return b.pools[id]
}

// syncGraceMs is how long a new broker waits for homes to report the slots that they
// hold, before it grants any. Slots that are reported later may have been granted
// twice by then. A broker does not wait if there are no other instances.
const syncGraceMs = 150

func (b *brokers) grantsStartMs() int64 {
	if len(b.d.view.Load().Members) <= 1 {
		return 0
	}
	return nowMs() + syncGraceMs
}

// upstreamsOf returns the upstreams of a pool. Those marked with MarkUpstreamLeaving
// are returned as leaving, even if the view does not list them as leaving yet.
func (b *brokers) upstreamsOf(v *View, id string) []placement.Upstream {
	p := v.pools[id]
	if p == nil {
		return nil
	}
	list := append([]placement.Upstream(nil), p.Upstreams...)
	for i := range list {
		list[i].Leaving = list[i].Leaving || b.d.upstreams.isLeaving(list[i].ID)
	}
	return list
}

// applyView applies a new view. Pools whose broker is now another instance are
// dropped.
func (b *brokers) applyView(v *View) {
	b.mu.Lock()
	var kept []*brokerPool
	for id, p := range b.pools {
		if pv := v.pools[id]; pv == nil || pv.broker != b.d.cfg.Self {
			delete(b.pools, id)
			continue
		}
		kept = append(kept, p)
	}
	b.mu.Unlock()
	for _, p := range kept {
		b.apply(p, b.poolUpdate(p, v))
	}
}

// poolUpdate returns the input that gives a pool's broker the upstreams and the
// operators' settings that are now in force.
func (b *brokers) poolUpdate(p *brokerPool, v *View) func(*placement.Broker) []placement.Grant {
	list, shares, maxQueued := b.upstreamsOf(v, p.id), b.poolShares(v, p.id), b.d.tuning.Load().MaxQueued
	return func(broker *placement.Broker) []placement.Grant {
		broker.SetShares(shares)
		broker.SetMaxQueued(maxQueued)
		return broker.SetUpstreams(list, nowMs())
	}
}

// poolShares returns the shares of the services in a pool. A service's MaxSlots
// applies to the whole fleet. Each pool enforces a part of the limit in proportion to
// its slots, so that no counter has to span the fleet.
func (b *brokers) poolShares(v *View, id string) map[string]placement.Share {
	p, fleetSlots := v.pools[id], 0
	for _, o := range v.pools {
		fleetSlots += o.slots
	}
	if p == nil || fleetSlots == 0 {
		return nil
	}
	return lo.MapValues(b.d.tuning.Load().Shares, func(s placement.Share, _ string) placement.Share {
		if s.MaxSlots > 0 {
			s.MaxSlots = max((s.MaxSlots*p.slots+fleetSlots/2)/fleetSlots, 1)
		}
		return s
	})
}

// apply applies one input to a broker and sends the resulting grants.
func (b *brokers) apply(p *brokerPool, input func(*placement.Broker) []placement.Grant) {
	p.mu.Lock()
	grants := input(p.broker)
	var messages []*inner.SlotGrant
	for i := range grants {
		p.grantedHomes[fate.Incarnation(grants[i].Home)] = true
		messages = append(messages, p.grantMessage(&grants[i]))
	}
	hurried := p.homesToHurry()
	p.mu.Unlock()
	for i, m := range messages {
		b.sendGrant(fate.Incarnation(grants[i].Home), m)
	}
	for _, home := range hurried {
		b.sendGrant(home, &inner.SlotGrant{Hurry: true, Pool: p.id})
	}
}

// grantMessage returns the message for a grant, with the current load of the pool.
// The lock must be held.
func (p *brokerPool) grantMessage(g *placement.Grant) *inner.SlotGrant {
	m := &inner.SlotGrant{
		Pool: p.id, Ticket: g.Ticket, Service: g.Service, Sequence: g.Sequence, Refused: string(g.Refusal), RetryAfterMs: uint32(g.RetryAfterMs),
		Hurry: p.broker.QueuedTasks() > 0, Free: uint32(p.broker.FreeSlots()), Queued: uint32(p.broker.QueuedTasks()),
	}
	for _, place := range g.Slots {
		m.Places = append(m.Places, &inner.Place{Upstream: place.Upstream, Count: uint32(place.Count)})
	}
	return m
}

// homesToHurry returns the homes to be told to release free slots without delay: when
// tasks begin to queue, these are all homes that were granted slots since they were
// last told. At other times it returns none. The lock must be held.
func (p *brokerPool) homesToHurry() []fate.Incarnation {
	queueing := p.broker.QueuedTasks() > 0
	queueStarted := queueing && !p.queueing
	p.queueing = queueing
	if !queueStarted {
		return nil
	}
	homes := slices.Collect(maps.Keys(p.grantedHomes))
	clear(p.grantedHomes)
	return homes
}

// sendGrant sends a grant to a home, which may be this instance. If the grant gets
// lost, the next SlotSync (the report of the slots that the home holds) reveals it.
func (b *brokers) sendGrant(home fate.Incarnation, m *inner.SlotGrant) {
	if home == b.d.cfg.Self {
		b.d.slots.handleGrant(home, m)
		return
	}
	if err := b.d.peers.TrySend(home, &inner.Frame{Body: &inner.Frame_SlotGrant{SlotGrant: m}}); err != nil {
		b.d.cfg.Metrics.CountWasted("slot_grant")
	}
}

// handleFrame handles a frame from a home. Frames from one home arrive in order.
func (b *brokers) handleFrame(home fate.Incarnation, f *inner.Frame) {
	switch body := f.GetBody().(type) {
	case *inner.Frame_SlotRequest:
		b.request(home, body.SlotRequest)
	case *inner.Frame_SlotRelease:
		b.release(home, body.SlotRelease)
	case *inner.Frame_SlotWithdraw:
		b.withdraw(home, body.SlotWithdraw)
	case *inner.Frame_SlotSync:
		b.sync(home, body.SlotSync)
	}
}

func (b *brokers) request(home fate.Incarnation, m *inner.SlotRequest) {
	b.apply(b.pool(m.GetPool()), func(broker *placement.Broker) []placement.Grant { return broker.Request(toRequest(home, m), nowMs()) })
}

func toRequest(home fate.Incarnation, m *inner.SlotRequest) placement.Request {
	return placement.Request{
		Home: string(home), Ticket: m.GetTicket(), Count: int(m.GetCount()),
		Needs: toNeeds(m.GetNeeds()), RunMs: float64(m.GetRunMs()), Service: m.GetService(), DeadlineMs: m.GetDeadlineMs(),
		Zone: m.GetZone(), AvoidZones: m.GetAvoidZones(),
	}
}

func (b *brokers) sync(home fate.Incarnation, m *inner.SlotSync) {
	held := lo.Map(m.GetHeld(), func(h *inner.Place, _ int) placement.UpstreamSlots {
		return placement.UpstreamSlots{Upstream: h.GetUpstream(), Service: h.GetService(), Count: int(h.GetCount())}
	})
	waiting := lo.Map(m.GetWaiting(), func(r *inner.SlotRequest, _ int) placement.Request { return toRequest(home, r) })
	b.apply(b.pool(m.GetPool()), func(broker *placement.Broker) []placement.Grant {
		return broker.Sync(string(home), m.GetSequence(), held, waiting, nowMs())
	})
}

func (b *brokers) release(home fate.Incarnation, m *inner.SlotRelease) {
	released := make([]placement.ReleasedSlots, 0, len(m.GetUsages()))
	for _, u := range m.GetUsages() {
		released = append(released, placement.ReleasedSlots{
			Upstream: u.GetUpstream(), Needs: toNeeds(u.GetNeeds()), Service: u.GetService(), Count: int(u.GetCount()),
			RunMs: float64(u.GetRunUs()) / 1000, Failed: int(u.GetFailed()), HoldMs: int64(u.GetHoldMs()), Leaving: u.GetLeaving(),
		})
		if u.GetLeaving() {
			b.d.MarkUpstreamLeaving(u.GetUpstream())
		}
	}
	p := b.pool(m.GetPool())
	b.apply(p, func(broker *placement.Broker) []placement.Grant {
		broker.Release(string(home), released, nowMs())
		b.scheduleGrants(p)
		return nil
	})
}

// scheduleGrants schedules the grant of released slots after GrantDelay, so that those
// released in the meantime are granted together. The lock of p must be held.
func (b *brokers) scheduleGrants(p *brokerPool) {
	if p.grantsScheduled || p.broker.QueuedTasks() == 0 {
		return
	}
	p.grantsScheduled = true
	time.AfterFunc(b.d.cfg.GrantDelay, func() {
		b.apply(p, func(broker *placement.Broker) []placement.Grant {
			p.grantsScheduled = false
			return broker.Tick(nowMs())
		})
	})
}

func (b *brokers) withdraw(home fate.Incarnation, m *inner.SlotWithdraw) {
	b.apply(b.pool(m.GetPool()), func(broker *placement.Broker) []placement.Grant {
		broker.Withdraw(string(home), m.GetTickets())
		return nil
	})
}

func (b *brokers) handleHomeLoss(home fate.Incarnation) {
	for _, p := range b.all() {
		b.apply(p, func(broker *placement.Broker) []placement.Grant { return broker.HandleHomeLost(string(home), nowMs()) })
	}
}

func (b *brokers) tick(now time.Time) {
	for _, p := range b.all() {
		b.askSilentHomes(p, now)
		b.apply(p, func(broker *placement.Broker) []placement.Grant { return broker.Tick(millis(now)) })
	}
}

// askSilentHomes asks the homes that have not reported for long to report what they hold of p.
func (b *brokers) askSilentHomes(p *brokerPool, now time.Time) {
	p.mu.Lock()
	homes := p.broker.HomesToAsk(millis(now))
	p.mu.Unlock()
	for _, home := range homes {
		b.sendGrant(fate.Incarnation(home), &inner.SlotGrant{Pool: p.id, Report: true})
	}
}

func (b *brokers) all() []*brokerPool {
	b.mu.RLock()
	defer b.mu.RUnlock()
	list := make([]*brokerPool, 0, len(b.pools))
	for _, p := range b.pools {
		list = append(list, p)
	}
	return list
}

func (b *brokers) load() (free, queued int) {
	for _, p := range b.all() {
		p.mu.Lock()
		free += p.broker.FreeSlots()
		queued += p.broker.QueuedTasks()
		p.mu.Unlock()
	}
	return free, queued
}

func toNeeds(m *inner.Needs) placement.Resources {
	return placement.Resources{CPU: m.GetCpu(), MemoryMB: m.GetMemoryMb(), Accelerators: m.GetAccelerators()}
}

func fromNeeds(n placement.Resources) *inner.Needs {
	return &inner.Needs{Cpu: n.CPU, MemoryMb: n.MemoryMB, Accelerators: n.Accelerators}
}
