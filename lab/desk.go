package lab

import (
	"fmt"
	"time"

	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// desk is a coordinator and what it knows of owners. One beside an owner knows the
// load of that one; all else it is told, and counts itself what it sends meanwhile.
type desk struct {
	w           *world
	name        string
	zone        string
	beside      *group // nil away from owners
	coordinator *ingress.Coordinator
	views       map[string]ingress.OwnerLoad
}

// newDesks returns the coordinators of a zone.
func (w *world) newDesks(g *group, p Policies) []*desk {
	desks := []*desk{{w: w, name: g.name, zone: g.name, beside: g}}
	for i := 1; i < w.d.setup.Coordinators; i++ {
		desks = append(desks, &desk{w: w, name: fmt.Sprintf("%s-%d", g.name, i), zone: g.name})
	}
	for _, d := range desks {
		d.views = map[string]ingress.OwnerLoad{}
		d.coordinator = ingress.NewSimulated(d.zone, d, w, p.Ingress)
	}
	return desks
}

// tellLoads tells the coordinators of an owner's zone, or those of the others, of its
// load, from now on.
func (w *world) tellLoads(own bool, every time.Duration) {
	for _, g := range w.groups {
		load := loadOf(g.name, g.pool.Load(w.Now()))
		for _, desks := range w.desks {
			for _, d := range desks {
				if (d.zone == g.name) == own {
					d.views[g.name] = load
				}
			}
		}
	}
	w.AfterFunc(every, func() { w.tellLoads(own, every) })
}

func loadOf(zone string, l schedule.Load) ingress.OwnerLoad {
	return ingress.OwnerLoad{Group: zone, Zone: zone, Free: l.Free, Waiting: l.Waiting, Capacity: l.Capacity}
}

// Loads implements ingress.Owners.
func (d *desk) Loads() []ingress.OwnerLoad {
	var list []ingress.OwnerLoad
	for _, g := range d.w.groups {
		if g == d.beside {
			list = append(list, loadOf(g.name, g.pool.Load(d.w.Now())))
		} else {
			list = append(list, d.views[g.name])
		}
	}
	return list
}

// Offer implements ingress.Owners.
func (d *desk) Offer(name string, o schedule.Offer, answer owner.Answer) error {
	o.Key.Coordinator = d.name
	to := d.w.find(name)
	if to == d.beside {
		to.take(o, answer)
		return nil
	}
	view := d.views[name]
	view.Free -= len(o.Tasks)
	d.views[name] = view
	back := func(tell func(schedule.Result, schedule.Load)) func(schedule.Result, schedule.Load) {
		return func(r schedule.Result, l schedule.Load) {
			d.w.AfterFunc(zoneHop, func() {
				d.views[name] = loadOf(name, l)
				tell(r, l)
			})
		}
	}
	d.w.AfterFunc(zoneHop, func() {
		to.take(o, owner.Answer{Returned: back(answer.Returned), Ended: back(answer.Ended)})
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
func (d *desk) Withdraw(name string, key schedule.JobKey, reason string) {
	key.Coordinator = d.name
	to := d.w.find(name)
	withdraw := func() {
		delete(to.answers, key)
		to.apply(to.pool.Withdraw(d.w.Now(), key, reason))
	}
	if to == d.beside {
		withdraw()
		return
	}
	d.w.AfterFunc(zoneHop, withdraw)
}
