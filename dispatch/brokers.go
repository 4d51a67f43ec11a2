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

// brokers holds the pools that this instance hands out.
type brokers struct {
	d     *Dispatcher
	mu    sync.RWMutex
	pools map[string]*brokerPool
}

// brokerPool is one placement.Broker: a shard with its own lock.
type brokerPool struct {
	id     string
	mu     sync.Mutex
	broker *placement.Broker
	homes  map[fate.Incarnation]bool // those that hold places
	hurry  bool                      // homes were told that work waits
	// gathering is true while places that came back wait for others.
	gathering bool
}

func (b *brokers) init(d *Dispatcher) {
	b.d = d
	b.pools = map[string]*brokerPool{}
}

// pool returns the broker of a pool, and makes it on first use. Whoever asks
// believes this instance to be the broker; should two instances both be, that
// costs refusals at upstreams and no more.
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
		p = &brokerPool{id: id, broker: placement.NewBroker(b.d.cfg.Broker, b.quietUntil()), homes: map[fate.Incarnation]bool{}}
		b.describe(p, b.d.view.Load())(p.broker)
		b.pools[id] = p
	}
	return b.pools[id]
}

// settleMs is how long a new broker waits for homes to say what they hold,
// where there are others.
const settleMs = 150

func (b *brokers) quietUntil() int64 {
	if len(b.d.view.Load().Members) <= 1 {
		return 0
	}
	return nowMs() + settleMs
}

// upstreamsOf returns the upstreams of a pool, those seen leaving marked.
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

// rebind takes a new view: pools of other brokers are let go.
func (b *brokers) rebind(v *View) {
	b.mu.Lock()
	var mine []*brokerPool
	for id, p := range b.pools {
		if pv := v.pools[id]; pv == nil || pv.broker != b.d.cfg.Self {
			delete(b.pools, id)
			continue
		}
		mine = append(mine, p)
	}
	b.mu.Unlock()
	for _, p := range mine {
		b.run(p, b.describe(p, v))
	}
}

// describe returns the input that tells a pool's broker of its upstreams, and
// of what operators have set.
func (b *brokers) describe(p *brokerPool, v *View) func(*placement.Broker) []placement.Grant {
	list, shares, maxQueued := b.upstreamsOf(v, p.id), b.sharesOf(v, p.id), b.d.tuning.Load().MaxQueued
	return func(k *placement.Broker) []placement.Grant {
		k.SetShares(shares)
		k.SetMaxQueued(maxQueued)
		return k.SetUpstreams(list, nowMs())
	}
}

// sharesOf returns the parts of services in a pool. A bound on slots is that of
// the fleet: each pool holds its part of it, so that no counter spans the fleet.
func (b *brokers) sharesOf(v *View, id string) map[string]placement.Share {
	p, fleet := v.pools[id], 0
	for _, o := range v.pools {
		fleet += o.slots
	}
	if p == nil || fleet == 0 {
		return nil
	}
	return lo.MapValues(b.d.tuning.Load().Shares, func(s placement.Share, _ string) placement.Share {
		if s.MaxSlots > 0 {
			s.MaxSlots = max((s.MaxSlots*p.slots+fleet/2)/fleet, 1)
		}
		return s
	})
}

// run gives a broker one input and sends what it grants.
func (b *brokers) run(p *brokerPool, input func(*placement.Broker) []placement.Grant) {
	p.mu.Lock()
	grants := input(p.broker)
	var messages []*inner.SlotGrant
	for i := range grants {
		p.homes[fate.Incarnation(grants[i].Home)] = true
		messages = append(messages, p.message(&grants[i]))
	}
	hasten := p.pressure()
	p.mu.Unlock()
	for i, m := range messages {
		b.deliver(fate.Incarnation(grants[i].Home), m)
	}
	for _, home := range hasten {
		b.deliver(home, &inner.SlotGrant{Hurry: true, Pool: p.id})
	}
}

// message returns a grant as it is sent, with how the pool stands. The lock is
// held.
func (p *brokerPool) message(g *placement.Grant) *inner.SlotGrant {
	m := &inner.SlotGrant{
		Pool: p.id, Ticket: g.Ticket, Service: g.Service, Sequence: g.Sequence, Refused: string(g.Refusal), RetryAfterMs: uint32(g.RetryAfterMs),
		Hurry: p.broker.QueuedTasks() > 0, Free: uint32(p.broker.FreeSlots()), Queued: uint32(p.broker.QueuedTasks()),
	}
	for _, place := range g.Slots {
		m.Places = append(m.Places, &inner.Place{Upstream: place.Upstream, Count: uint32(place.Count)})
	}
	return m
}

// pressure returns the homes to be told that work waits, each time that it
// begins to. The lock is held.
func (p *brokerPool) pressure() []fate.Incarnation {
	waits := p.broker.QueuedTasks() > 0
	began := waits && !p.hurry
	p.hurry = waits
	if !began {
		return nil
	}
	hasten := slices.Collect(maps.Keys(p.homes))
	clear(p.homes)
	return hasten
}

// deliver sends a grant to a home, which may be this instance. One that does
// not arrive is noticed at the home's next sync.
func (b *brokers) deliver(home fate.Incarnation, m *inner.SlotGrant) {
	if home == b.d.cfg.Self {
		b.d.slots.granted(home, m)
		return
	}
	if err := b.d.peers.TrySend(home, &inner.Frame{Body: &inner.Frame_SlotGrant{SlotGrant: m}}); err != nil {
		b.d.cfg.Metrics.CountWasted("slot_grant")
	}
}

// take takes a frame of a home. Frames of one home come in order.
func (b *brokers) take(home fate.Incarnation, f *inner.Frame) {
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
	b.run(b.pool(m.GetPool()), func(k *placement.Broker) []placement.Grant { return k.Request(toRequest(home, m), nowMs()) })
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
	b.run(b.pool(m.GetPool()), func(k *placement.Broker) []placement.Grant {
		return k.Sync(string(home), m.GetSequence(), held, waiting, nowMs())
	})
}

func (b *brokers) release(home fate.Incarnation, m *inner.SlotRelease) {
	usages := make([]placement.ReleasedSlots, 0, len(m.GetUsages()))
	for _, u := range m.GetUsages() {
		usages = append(usages, placement.ReleasedSlots{
			Upstream: u.GetUpstream(), Needs: toNeeds(u.GetNeeds()), Service: u.GetService(), Count: int(u.GetCount()),
			RunMs: float64(u.GetRunUs()) / 1000, Failed: int(u.GetFailed()), HoldMs: int64(u.GetHoldMs()), Leaving: u.GetLeaving(),
		})
		if u.GetLeaving() {
			b.d.MarkUpstreamLeaving(u.GetUpstream())
		}
	}
	p := b.pool(m.GetPool())
	b.run(p, func(k *placement.Broker) []placement.Grant {
		k.Release(string(home), usages, nowMs())
		b.gather(p)
		return nil
	})
}

// gather grants what came back, a moment later and all at once. The lock is
// held.
func (b *brokers) gather(p *brokerPool) {
	if p.gathering || p.broker.QueuedTasks() == 0 {
		return
	}
	p.gathering = true
	time.AfterFunc(b.d.cfg.GrantDelay, func() {
		b.run(p, func(k *placement.Broker) []placement.Grant {
			p.gathering = false
			return k.Tick(nowMs())
		})
	})
}

func (b *brokers) withdraw(home fate.Incarnation, m *inner.SlotWithdraw) {
	b.run(b.pool(m.GetPool()), func(k *placement.Broker) []placement.Grant {
		k.Withdraw(string(home), m.GetTickets())
		return nil
	})
}

func (b *brokers) homeGone(home fate.Incarnation) {
	for _, p := range b.all() {
		b.run(p, func(k *placement.Broker) []placement.Grant { return k.HandleHomeLost(string(home), nowMs()) })
	}
}

func (b *brokers) tick(now time.Time) {
	for _, p := range b.all() {
		b.run(p, func(k *placement.Broker) []placement.Grant { return k.Tick(millis(now)) })
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
