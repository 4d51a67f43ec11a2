package dispatch

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/placement"
)

// poolLoad is what was last heard of a pool.
type poolLoad struct {
	free   int
	queued int
}

// groupByNeeds splits tasks into groups that need the same.
func groupByNeeds(job *fate.Job, tasks []int) [][]int {
	var order []placement.Resources
	groups := map[placement.Resources][]int{}
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
	if s.d.cfg.Placement == PlacementProbe {
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
		static := s.d.cfg.Placement == PlacementStatic && p.broker != s.d.cfg.Self
		if p.broker != "" && !static && !t.tried[id] && placement.AnyLargeEnough(p.Upstreams, t.needs) {
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

// SetBrokerLoad takes what a broker last said of its pools.
func (d *Dispatcher) SetBrokerLoad(broker fate.Incarnation, free, queued int) {
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
