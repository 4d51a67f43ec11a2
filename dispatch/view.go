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

// Member is an entry that is alive and not leaving.
type Member struct {
	placement.InstanceLocation
	Incarnation fate.Incarnation
}

// UpstreamSpec is an upstream and how it is reached.
type UpstreamSpec struct {
	placement.Upstream
	Address     string
	Connections int
}

// View is what an instance knows of the fleet at one moment. It is never
// changed; a new one takes its place.
type View struct {
	Members   []Member // this instance among them, unless it is leaving
	Upstreams []UpstreamSpec
	// OtherInstances is how many other entries the platform lists; -1 is not known yet.
	OtherInstances int
	// ZonesWithInstances holds the zones that have entries of their own, alive or not. The
	// upstreams of such a zone are not used while none of its entries is heard:
	// the zone is cut off.
	ZonesWithInstances map[string]bool

	entries []placement.InstanceLocation
	pools   map[string]*poolView
	order   []string          // the ids of pools
	poolOf  map[string]string // by upstream
	fits    []placement.Upstream
	avoid   []string // zones that are cut off
}

// poolView is a pool and its broker; broker is "" while there is none.
type poolView struct {
	placement.Pool
	broker fate.Incarnation
	slots  int
}

func (v *View) index(placing PlacementMode, self string) {
	incarnations := map[string]fate.Incarnation{}
	for _, m := range v.Members {
		v.entries = append(v.entries, m.InstanceLocation)
		incarnations[m.Instance] = m.Incarnation
	}
	var usable []placement.Upstream
	for _, u := range v.Upstreams {
		v.fits = append(v.fits, u.Upstream)
		if !v.cutOff(u.Zone) {
			usable = append(usable, u.Upstream)
		}
	}
	for zone := range v.ZonesWithInstances {
		if v.cutOff(zone) {
			v.avoid = append(v.avoid, zone)
		}
	}
	v.pools = map[string]*poolView{}
	v.poolOf = map[string]string{}
	for _, p := range poolsOf(placing, usable, v.entries, self) {
		pv := &poolView{Pool: p.Pool, broker: incarnations[p.broker]}
		for _, u := range p.Upstreams {
			v.poolOf[u.ID] = p.ID
			pv.slots += u.Slots
		}
		v.pools[p.ID] = pv
		v.order = append(v.order, p.ID)
	}
}

// brokered is a pool and the instance that is its broker.
type brokered struct {
	placement.Pool
	broker string
}

// poolsOf groups upstreams and chooses brokers.
func poolsOf(placing PlacementMode, upstreams []placement.Upstream, entries []placement.InstanceLocation, self string) []brokered {
	if placing == PlacementStatic || placing == PlacementProbe {
		return singles(placing, upstreams, entries)
	}
	var list []brokered
	for _, p := range placement.Pools(upstreams) {
		b := brokered{p, placement.ChooseBroker(&p, entries)}
		if placing == PlacementGuess {
			b.broker = self
		}
		list = append(list, b)
	}
	return list
}

// singles makes each upstream a pool of its own, or, with static shares, part
// of the pool of one entry.
func singles(placing PlacementMode, upstreams []placement.Upstream, entries []placement.InstanceLocation) []brokered {
	owners := slices.SortedFunc(slices.Values(entries), func(a, b placement.InstanceLocation) int { return cmp.Compare(a.Instance, b.Instance) })
	sorted := slices.SortedFunc(slices.Values(upstreams), func(a, b placement.Upstream) int { return cmp.Compare(a.ID, b.ID) })
	byID := map[string]*brokered{}
	for i, u := range sorted {
		one := placement.Pool{ID: "single/" + u.ID, Region: u.Region, Zone: u.Zone}
		b := brokered{one, placement.ChooseBroker(&one, entries)}
		if placing == PlacementStatic && len(owners) > 0 {
			b.broker = owners[i%len(owners)].Instance
			b.Pool = placement.Pool{ID: "static/" + b.broker, Region: u.Region}
		}
		if byID[b.ID] == nil {
			byID[b.ID] = &b
		}
		byID[b.ID].Upstreams = append(byID[b.ID].Upstreams, u)
	}
	return lo.Map(slices.Sorted(maps.Keys(byID)), func(id string, _ int) brokered { return *byID[id] })
}

// cutOff reports whether a zone has entries but none of them is heard.
func (v *View) cutOff(zone string) bool {
	return v.ZonesWithInstances[zone] && !slices.ContainsFunc(v.entries, func(e placement.InstanceLocation) bool { return e.Zone == zone })
}

// brokers reports whether an incarnation is the broker of a pool.
func (v *View) brokers(pool string, who fate.Incarnation) bool {
	p := v.pools[pool]
	return p != nil && p.broker == who
}

func (v *View) member(instance string) (Member, bool) {
	i := slices.IndexFunc(v.Members, func(m Member) bool { return m.Instance == instance })
	if i < 0 {
		return Member{}, false
	}
	return v.Members[i], true
}

// SetView takes what is now known of the fleet.
func (d *Dispatcher) SetView(v View) {
	v.index(d.cfg.Placement, d.cfg.Self.Instance())
	before := d.view.Swap(&v)
	d.upstreams.set(v.Upstreams)
	d.brokers.rebind(&v)
	d.slots.rebind(before, &v)
	d.homes.retireLogs(&v)
}

// MarkUpstreamLeaving makes an upstream get no new tasks from now on, ahead of the
// next view.
func (d *Dispatcher) MarkUpstreamLeaving(id string) {
	if d.upstreams.markLeaving(id) {
		event.UpstreamLeaving.Log(d.cfg.Log, slog.String("upstream", id))
		d.brokers.rebind(d.view.Load())
	}
}

// LeavingUpstreams returns the upstreams that were seen leaving here.
func (d *Dispatcher) LeavingUpstreams() []string { return d.upstreams.leavingIDs() }

// upstreams holds the clients of upstreams.
type upstreams struct {
	d       *Dispatcher
	mu      sync.RWMutex
	clients map[string]*upstream.Client
	leaving map[string]bool // seen leaving here, until the list drops them
}

func (u *upstreams) init(d *Dispatcher) {
	u.d = d
	u.clients = map[string]*upstream.Client{}
	u.leaving = map[string]bool{}
}

// set keeps a client for each upstream of the list. Those off the list keep
// theirs while it may still be needed to ask after a lease.
func (u *upstreams) set(list []UpstreamSpec) {
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

func (u *upstreams) get(id string) *upstream.Client {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return u.clients[id]
}

func (u *upstreams) markLeaving(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.leaving[id] || u.clients[id] == nil {
		return false
	}
	u.leaving[id] = true
	return true
}

func (u *upstreams) isLeaving(id string) bool {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return u.leaving[id]
}

func (u *upstreams) leavingIDs() []string {
	u.mu.RLock()
	defer u.mu.RUnlock()
	return slices.Sorted(maps.Keys(u.leaving))
}

func (u *upstreams) close() {
	u.mu.Lock()
	defer u.mu.Unlock()
	for _, c := range u.clients {
		c.Close()
	}
}

// FleetSize returns how many entries, this one included, and upstreams are known.
func (d *Dispatcher) FleetSize() (members, upstreams int) {
	v := d.view.Load()
	return len(v.Members), len(v.Upstreams)
}
