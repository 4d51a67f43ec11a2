package lab

import (
	"fmt"
	"time"

	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// instance is a coordinator and what it knows of owners. One beside an owner knows the
// load of that one; all else it is told, and counts itself what it sends meanwhile.
type instance struct {
	w           *world
	name        string
	zone        string
	beside      *group // nil away from owners
	coordinator *ingress.Coordinator
	views       map[string]ingress.OwnerLoad
}

// newInstances returns the coordinators of a zone.
func (w *world) newInstances(g *group, p Policies) []*instance {
	instances := []*instance{{w: w, name: g.name, zone: g.name, beside: g}}
	for i := 1; i < w.d.setup.Coordinators; i++ {
		instances = append(instances, &instance{w: w, name: fmt.Sprintf("%s-%d", g.name, i), zone: g.name})
	}
	for _, n := range instances {
		n.views = map[string]ingress.OwnerLoad{}
		n.coordinator = ingress.NewSimulatedCoordinator(n.zone, n, w, p.Ingress)
	}
	return instances
}

// tellLoads tells the coordinators of an owner's zone, or those of the others, of its
// load, from now on.
func (w *world) tellLoads(own bool, every time.Duration) {
	for _, g := range w.groups {
		load := loadOf(g.name, g.pool.Load(w.Now()))
		for _, instances := range w.instances {
			for _, n := range instances {
				if (n.zone == g.name) == own {
					n.views[g.name] = load
				}
			}
		}
	}
	w.AfterFunc(every, func() { w.tellLoads(own, every) })
}

func loadOf(zone string, l schedule.Load) ingress.OwnerLoad {
	return ingress.OwnerLoad{Group: zone, Zone: zone, Free: l.Free, Waiting: l.Waiting, Capacity: l.Capacity, Closed: l.Closed}
}

// Loads implements ingress.Owners.
func (n *instance) Loads() []ingress.OwnerLoad {
	var list []ingress.OwnerLoad
	for _, g := range n.w.groups {
		if g == n.beside {
			list = append(list, loadOf(g.name, g.pool.Load(n.w.Now())))
		} else {
			list = append(list, n.views[g.name])
		}
	}
	return list
}

// Offer implements ingress.Owners.
func (n *instance) Offer(name string, o schedule.Offer, answer owner.OfferCallbacks) error {
	o.Key.Coordinator = n.name
	o.AliveAt = time.Time{} // no coordinator is lost here
	to := n.w.find(name)
	if to == n.beside {
		to.take(o, answer)
		return nil
	}
	view := n.views[name]
	view.Free -= len(o.Tasks)
	n.views[name] = view
	back := func(tell func(schedule.Result, schedule.Load)) func(schedule.Result, schedule.Load) {
		return func(r schedule.Result, l schedule.Load) {
			n.w.AfterFunc(zoneHop, func() {
				n.views[name] = loadOf(name, l)
				tell(r, l)
			})
		}
	}
	n.w.AfterFunc(zoneHop, func() {
		to.take(o, owner.OfferCallbacks{TasksReturned: back(answer.TasksReturned), OfferEnded: back(answer.OfferEnded)})
	})
	return nil
}

func (w *world) find(name string) *group {
	for _, g := range w.groups {
		if g.name == name {
			return g
		}
	}
	panic("no group " + name)
}

// Withdraw implements ingress.Owners.
func (n *instance) Withdraw(name string, key schedule.JobKey, reason string) {
	key.Coordinator = n.name
	to := n.w.find(name)
	withdraw := func() {
		delete(to.answers, key)
		to.apply(to.pool.Withdraw(n.w.Now(), key, reason))
	}
	if to == n.beside {
		withdraw()
		return
	}
	n.w.AfterFunc(zoneHop, withdraw)
}
