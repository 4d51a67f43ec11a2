package dispatch

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/placement"
	"github.com/sedgehatch/sedgehatch/upstream"

	"log/slog"

	"github.com/samber/lo"
)

// Member is an instance that is alive and not draining.
type Member struct {
	placement.InstanceLocation
	Incarnation fate.Incarnation
}

// UpstreamSpec is an upstream with the parameters of the connections to it.
type UpstreamSpec struct {
	placement.Upstream
	Address     string
	Connections int
}

// View is an immutable snapshot of the fleet as this instance knows it.
type View struct {
	Members   []Member // includes this instance, unless it is draining and others are alive
	Upstreams []UpstreamSpec
	// OtherInstances is the number of other instances that the platform lists, or -1
	// while that is unknown.
	OtherInstances int
	// ZonesWithInstances holds the zones that have instances, alive or not. If none
	// of a zone's instances is alive, the zone counts as partitioned, and its
	// upstreams are not used.
	ZonesWithInstances map[string]bool

	instances        []placement.InstanceLocation
	pools            map[string]*poolView
	poolIDs          []string             // sorted
	poolOf           map[string]string    // pool id by upstream id
	upstreams        []placement.Upstream // all, including those of partitioned zones
	partitionedZones []string
}

// poolView is a pool with its broker.
type poolView struct {
	placement.Pool
	broker fate.Incarnation // "" if there is none
	slots  int              // of all upstreams of the pool, free or not
}

// buildIndex derives the unexported fields of v from the exported ones.
func (v *View) buildIndex(mode PlacementMode, self string) {
	incarnations := map[string]fate.Incarnation{}
	for _, m := range v.Members {
		v.instances = append(v.instances, m.InstanceLocation)
		incarnations[m.Instance] = m.Incarnation
	}
	var usable []placement.Upstream
	for _, u := range v.Upstreams {
		v.upstreams = append(v.upstreams, u.Upstream)
		if !v.partitioned(u.Zone) {
			usable = append(usable, u.Upstream)
		}
	}
	for zone := range v.ZonesWithInstances {
		if v.partitioned(zone) {
			v.partitionedZones = append(v.partitionedZones, zone)
		}
	}
	v.pools = map[string]*poolView{}
	v.poolOf = map[string]string{}
	for _, p := range brokeredPools(mode, usable, v.instances, self) {
		pv := &poolView{Pool: p.Pool, broker: incarnations[p.broker]}
		for _, u := range p.Upstreams {
			v.poolOf[u.ID] = p.ID
			pv.slots += u.Slots
		}
		v.pools[p.ID] = pv
		v.poolIDs = append(v.poolIDs, p.ID)
	}
}

// brokeredPool is a pool with the name of the instance that is its broker.
type brokeredPool struct {
	placement.Pool
	broker string
}

// brokeredPools groups upstreams and chooses brokers.
func brokeredPools(mode PlacementMode, upstreams []placement.Upstream, instances []placement.InstanceLocation, self string) []brokeredPool {
	if mode == PlacementStatic || mode == PlacementProbe {
		return singleUpstreamPools(mode, upstreams, instances)
	}
	var list []brokeredPool
	for _, p := range placement.Pools(upstreams) {
		b := brokeredPool{p, placement.ChooseBroker(&p, instances)}
		if mode == PlacementGuess {
			b.broker = self
		}
		list = append(list, b)
	}
	return list
}

// singleUpstreamPools makes each upstream a pool of its own. In mode
// PlacementStatic it assigns the upstreams to one pool per instance instead.
func singleUpstreamPools(mode PlacementMode, upstreams []placement.Upstream, instances []placement.InstanceLocation) []brokeredPool {
	sortedInstances := slices.SortedFunc(slices.Values(instances), func(a, b placement.InstanceLocation) int { return cmp.Compare(a.Instance, b.Instance) })
	sorted := slices.SortedFunc(slices.Values(upstreams), func(a, b placement.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	byID := map[string]*brokeredPool{}
	for i, u := range sorted {
		pool := placement.Pool{ID: "single/" + u.ID, Region: u.Region, Zone: u.Zone}
		b := brokeredPool{pool, placement.ChooseBroker(&pool, instances)}
		if mode == PlacementStatic && len(sortedInstances) > 0 {
			b.broker = sortedInstances[i%len(sortedInstances)].Instance
			b.Pool = placement.Pool{ID: "static/" + b.broker, Region: u.Region}
		}
		if byID[b.ID] == nil {
			byID[b.ID] = &b
		}
		byID[b.ID].Upstreams = append(byID[b.ID].Upstreams, u)
	}
	return lo.Map(slices.Sorted(maps.Keys(byID)), func(id string, _ int) brokeredPool { return *byID[id] })
}

// partitioned reports whether a zone has instances, but none of them is alive.
func (v *View) partitioned(zone string) bool {
	return v.ZonesWithInstances[zone] && !slices.ContainsFunc(v.instances, func(e placement.InstanceLocation) bool { return e.Zone == zone })
}

// isBroker reports whether an incarnation is the broker of a pool.
func (v *View) isBroker(pool string, instance fate.Incarnation) bool {
	p := v.pools[pool]
	return p != nil && p.broker == instance
}

func (v *View) member(instance string) (Member, bool) {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.Instance == instance })
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// SetView replaces the view of the fleet.
func (d *Dispatcher) SetView(v View) {
	v.buildIndex(d.cfg.Placement, d.cfg.Self.Instance())
	previous := d.view.Swap(&v)
	d.upstreams.update(v.Upstreams)
	d.brokers.applyView(&v)
	d.slots.applyView(previous, &v)
	d.homeLogs.closeLogsWithoutWitness(&v)
}

// MarkUpstreamLeaving makes an upstream get no new tasks from now on, before a view
// lists it as leaving.
func (d *Dispatcher) MarkUpstreamLeaving(id string) {
	if d.upstreams.markLeaving(id) {
		event.UpstreamLeaving.Log(d.cfg.Log, slog.String("upstream", id))
		d.brokers.applyView(d.view.Load())
	}
}

// LeavingUpstreams returns the upstreams marked with MarkUpstreamLeaving.
func (d *Dispatcher) LeavingUpstreams() []string { return d.upstreams.leavingIDs() }

// upstreamClients holds the clients of the upstreams.
type upstreamClients struct {
	d       *Dispatcher
	mu      sync.RWMutex
	clients map[string]*upstream.Client
	leaving map[string]bool // marked by markLeaving; reset when the upstream's address changes
}

func (u *upstreamClients) init(d *Dispatcher) {
	u.d = d
	u.clients = map[string]*upstream.Client{}
	u.leaving = map[string]bool{}
}

// update creates a client for each new upstream in the list, and for each whose
// address has changed. Clients of upstreams that are not in the list are kept,
// because they may still be needed to look up leases.
func (u *upstreamClients) update(list []UpstreamSpec) {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, s := range list {
		c := u.clients[s.ID]
		if c == nil || c.Address != s.Address {
			u.clients[s.ID] = upstream.NewClient(s.ID, s.Address, max(s.Connections, 1), u.d.cfg.DialUpstream)
			delete(u.leaving, s.ID)
		}
	}
}

func (u *upstreamClients) get(id string) *upstream.Client {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return u.clients[id]
}

func (u *upstreamClients) markLeaving(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving[id] || u.clients[id] == nil {
		return false
	}
	u.leaving[id] = true
	return true
}

func (u *upstreamClients) isLeaving(id string) bool {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return u.leaving[id]
}

func (u *upstreamClients) leavingIDs() []string {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return slices.Sorted(maps.Keys(u.leaving))
}

func (u *upstreamClients) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.clients {
		c.Close()
	}
}

// FleetSize returns the numbers of Members and of Upstreams in the view.
func (d *Dispatcher) FleetSize() (instances, upstreams int) {
	v := d.view.Load()
	return len(v.Members), len(v.Upstreams)
}
