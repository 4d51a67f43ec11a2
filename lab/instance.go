package lab

import (
	"fmt"
	"time"

	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// instance is an instance with a coordinator, and with the owner of a group if it is the first
// instance of its zone. The coordinator knows the current load of an owner on its own instance.
// For all other owners, it uses the load that they reported last, less the free capacity for the
// tasks that it has offered to them since.
type instance struct {
	sim           *simulation
	name          string
	zone          string
	localGroup    *group // group whose owner is on this instance, or nil
	coordinator   *ingress.Coordinator
	reportedLoads map[string]reportedLoad // by group
}

// reportedLoad is the load that an owner reported last.
type reportedLoad struct {
	ingress.OwnerLoad
	at time.Time
}

// newInstances returns the instances of the zone of a group. The first one owns the group.
func (sim *simulation) newInstances(g *group, p Policies) []*instance {
	instances := []*instance{{sim: sim, name: g.name, zone: g.name, localGroup: g}}
	for i := 1; i < sim.deployment.setup.CoordinatorsPerZone; i++ {
		instances = append(instances, &instance{sim: sim, name: fmt.Sprintf("%s-%d", g.name, i), zone: g.name})
	}
	for _, n := range instances {
		n.reportedLoads = map[string]reportedLoad{}
		n.coordinator = ingress.NewSimulatedCoordinator(n.zone, n, sim, p.Ingress, sim.choices.Float64)
	}
	return instances
}

// reportLoads reports the load of each owner to the coordinators in its own zone if sameZone is
// set, and otherwise to those in all other zones. It does so at once, and again every interval.
func (sim *simulation) reportLoads(sameZone bool, interval time.Duration) {
	for _, g := range sim.groups {
		load := ownerLoad(g.name, g.pool.Load(sim.Now()))
		for _, instances := range sim.instances {
			for _, n := range instances {
				if (n.zone == g.name) == sameZone {
					n.reportedLoads[g.name] = reportedLoad{load, sim.Now()}
				}
			}
		}
	}
	sim.AfterFunc(interval, func() { sim.reportLoads(sameZone, interval) })
}

func ownerLoad(zone string, l schedule.Load) ingress.OwnerLoad {
	return ingress.OwnerLoad{Group: zone, Zone: zone, Free: l.Free, Waiting: l.Waiting, Capacity: l.Capacity, Closed: l.Closed, Waits: l.Waits}
}

// Loads implements ingress.Owners.
func (inst *instance) Loads() []ingress.OwnerLoad {
	var list []ingress.OwnerLoad
	for _, g := range inst.sim.groups {
		if g == inst.localGroup {
			list = append(list, ownerLoad(g.name, g.pool.Load(inst.sim.Now())))
		} else {
			l := inst.reportedLoads[g.name]
			l.Age = inst.sim.Now().Sub(l.at)
			list = append(list, l.OwnerLoad)
		}
	}
	return list
}

// Offer implements ingress.Owners.
func (inst *instance) Offer(name string, o schedule.Offer, callbacks owner.OfferCallbacks) error {
	o.Key.Coordinator = inst.name
	o.AliveAt = time.Time{} // makes the pool require no lease of the coordinator, which cannot fail in this simulation
	target := inst.sim.findGroup(name)
	if target == inst.localGroup {
		target.offer(o, callbacks)
		return nil
	}
	load := inst.reportedLoads[name]
	load.AddOffered(len(o.Tasks))
	inst.reportedLoads[name] = load
	delayed := func(callback func(schedule.Result, schedule.Load)) func(schedule.Result, schedule.Load) {
		return func(r schedule.Result, l schedule.Load) {
			inst.sim.AfterFunc(messageLatency, func() {
				inst.reportedLoads[name] = reportedLoad{ownerLoad(name, l), inst.sim.Now()}
				callback(r, l)
			})
		}
	}
	inst.sim.AfterFunc(messageLatency, func() {
		target.offer(o, owner.OfferCallbacks{TasksReturned: delayed(callbacks.TasksReturned), OfferEnded: delayed(callbacks.OfferEnded)})
	})
	return nil
}

func (sim *simulation) findGroup(name string) *group {
	for _, g := range sim.groups {
		if g.name == name {
			return g
		}
	}
	panic("no group " + name)
}

// Withdraw implements ingress.Owners.
func (inst *instance) Withdraw(name string, key schedule.JobKey, reason string) {
	key.Coordinator = inst.name
	target := inst.sim.findGroup(name)
	withdraw := func() {
		delete(target.callbacks, key)
		target.apply(target.pool.Withdraw(inst.sim.Now(), key, reason))
	}
	if target == inst.localGroup {
		withdraw()
		return
	}
	inst.sim.AfterFunc(messageLatency, withdraw)
}
