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

// poolLoad is the last known load of a pool.
type poolLoad struct {
	free   int
	queued int
}

// groupByNeeds splits tasks into groups with the same needs.
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

// distribute requests slots for the tasks of t at the pools that can run them. If
// there is no such pool, it ends the job.
func (s *slots) distribute(t *ticket) {
	view := s.d.view.Load()
	s.mu.Lock()
	var parts []*ticket
	if s.d.cfg.Placement == PlacementProbe {
		parts = s.probeTickets(view, t)
	} else {
		parts = s.splitTicket(view, t)
	}
	s.mu.Unlock()
	if len(parts) == 0 {
		t.log.abort(t.key, fate.ReasonOverloaded, noPoolRetryAfterMs)
		return
	}
	for _, part := range parts {
		s.sendRequest(view, part)
	}
}

// splitTicket splits t into one ticket for each pool that splitByLoad chooses. The
// lock must be held.
func (s *slots) splitTicket(view *View, t *ticket) []*ticket {
	var parts []*ticket
	rest := t.waitingTasks
	for _, portion := range s.splitByLoad(view, t) {
		part := s.partOf(t, portion.pool, rest[:portion.count:portion.count])
		rest = rest[portion.count:]
		parts = append(parts, part)
	}
	return parts
}

// partOf returns a ticket of its own for some tasks of t at one pool. The lock must
// be held.
func (s *slots) partOf(t *ticket, pool string, tasks []int) *ticket {
	part := *t
	part.pool, part.waitingTasks = pool, tasks
	s.lastTicketNumber++
	part.id = strconv.FormatUint(s.lastTicketNumber, 36)
	return &part
}

// probeTickets returns two tickets for each task, at two random upstreams, or none if
// there are fewer than two. The lock must be held.
func (s *slots) probeTickets(view *View, t *ticket) []*ticket {
	pools := s.candidates(view, t)
	var parts []*ticket
	for _, task := range t.waitingTasks {
		if len(pools) < 2 {
			break
		}
		first := rand.IntN(len(pools))
		second := (first + 1 + rand.IntN(len(pools)-1)) % len(pools)
		a := s.partOf(t, pools[first].ID, []int{task})
		b := s.partOf(t, pools[second].ID, []int{task})
		a.otherProbe, b.otherProbe = b.id, a.id
		parts = append(parts, a, b)
	}
	return parts
}

// noPoolRetryAfterMs is the retry-after of a job that is refused because no pool
// can take it.
const noPoolRetryAfterMs = 1000

// poolTasks is the number of tasks to request slots for at one pool.
type poolTasks struct {
	pool  string
	count int
}

// splitByLoad divides the tasks of t among the pools that have not refused it. It
// first uses the free slots, those of near pools before those of distant ones. All
// remaining tasks go to the pool with the shortest queue in proportion to its slots.
// The lock must be held.
func (s *slots) splitByLoad(v *View, t *ticket) []poolTasks {
	pools := s.candidates(v, t)
	if len(pools) == 0 {
		return nil
	}
	var list []poolTasks
	missing := len(t.waitingTasks)
	for _, p := range pools {
		n := min(missing, s.freeSlots(p))
		if n > 0 {
			list = append(list, poolTasks{p.ID, n})
			s.countRequested(p.ID, n)
			missing -= n
		}
	}
	if missing == 0 {
		return list
	}
	least := slices.MinFunc(pools, func(a, b *poolView) int { return cmp.Compare(s.queuedPerSlot(a), s.queuedPerSlot(b)) })
	s.countRequested(least.ID, missing)
	for i := range list {
		if list[i].pool == least.ID {
			list[i].count += missing
			return list
		}
	}
	return append(list, poolTasks{least.ID, missing})
}

// candidates returns the pools that may take t, the nearest first, and among equally
// near ones those with the most free slots. The lock must be held.
func (s *slots) candidates(v *View, t *ticket) []*poolView {
	var pools []*poolView
	for _, id := range v.poolIDs {
		p := v.pools[id]
		excluded := s.d.cfg.Placement == PlacementStatic && p.broker != s.d.cfg.Self
		if p.broker != "" && !excluded && !t.refusedBy[id] && placement.AnyLargeEnough(p.Upstreams, t.needs) {
			pools = append(pools, p)
		}
	}
	slices.SortStableFunc(pools, func(a, b *poolView) int {
		if byDistance := cmp.Compare(s.distance(a), s.distance(b)); byDistance != 0 {
			return byDistance
		}
		return cmp.Compare(s.freeSlots(b), s.freeSlots(a))
	})
	return pools
}

// distance returns 0 for a pool of this zone or one that spans this region, 1 for
// another zone of this region, and 2 for another region.
func (s *slots) distance(p *poolView) int {
	switch {
	case p.Zone == s.d.cfg.Zone, p.Zone == "" && p.Region == s.d.cfg.Region:
		return 0
	case p.Region == s.d.cfg.Region:
		return 1
	default:
		return 2
	}
}

// freeSlots returns the last reported number of free slots of a pool. A pool that
// has not reported yet counts as completely free.
func (s *slots) freeSlots(p *poolView) int {
	if load, reported := s.loads[p.ID]; reported {
		return load.free
	}
	return p.slots
}

func (s *slots) queuedPerSlot(p *poolView) float64 {
	return float64(s.loads[p.ID].queued) / float64(max(p.slots, 1))
}

// countRequested adjusts the last reported load of a pool for n slots that have been
// requested since. The next report replaces it. The lock must be held.
func (s *slots) countRequested(pool string, n int) {
	load, reported := s.loads[pool]
	if !reported {
		return
	}
	load.queued += max(n-load.free, 0)
	load.free = max(load.free-n, 0)
	s.loads[pool] = load
}

// retryElsewhere requests the slots of a refused ticket at other pools, or ends the
// job if there are none.
func (s *slots) retryElsewhere(t *ticket, retryAfterMs uint32) {
	s.mu.Lock()
	delete(s.tickets, t.id)
	retry := *t
	retry.refusedBy = maps.Clone(t.refusedBy) // other tickets of the job share the map
	retry.refusedBy[t.pool] = true
	hasCandidates := len(s.candidates(s.d.view.Load(), &retry)) > 0
	s.mu.Unlock()
	if !hasCandidates {
		t.log.abort(t.key, fate.ReasonOverloaded, retryAfterMs)
		return
	}
	s.distribute(&retry)
}

// SetBrokerLoad records the load that an instance has reported for all of the pools
// that it is the broker of. The load is divided among them in proportion to their
// slots.
func (d *Dispatcher) SetBrokerLoad(broker fate.Incarnation, free, queued int) {
	v := d.view.Load()
	d.slots.mu.Lock()
	defer d.slots.mu.Unlock()
	var pools []*poolView
	totalSlots := 0
	for _, id := range v.poolIDs {
		if p := v.pools[id]; p.broker == broker {
			pools = append(pools, p)
			totalSlots += p.slots
		}
	}
	for _, p := range pools {
		d.slots.loads[p.ID] = poolLoad{free * p.slots / max(totalSlots, 1), queued * p.slots / max(totalSlots, 1)}
	}
}
