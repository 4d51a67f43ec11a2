// Package ingress serves the requests of customers. The instance that accepts a job
// coordinates it: it offers the tasks to the owners of upstream groups, collects the
// results, and responds to the customer.
package ingress

import "time"

// OwnerLoad is the last reported load of the owner of one group of upstreams.
type OwnerLoad struct {
	Group    string
	Zone     string
	Free     int   // number of tasks of the usual size that would fit now
	Waiting  int   // number of queued tasks
	Capacity int64 // total capacity of the upstreams, in thousandths of a core
	Closed   bool  // no task may start on any upstream of the group
	Age      time.Duration
}

// Choice tells which owner to offer a job's unassigned tasks to next, and how.
type Choice struct {
	Group string
	// MayQueue lets the tasks wait in the owner's queue, because no owner has free capacity.
	MayQueue bool
	// AllOrNothing makes the owner start all of the tasks at once, or none.
	AllOrNothing bool
}

// remoteZonePenalty is the number of tasks added to the queue length of a group in another
// zone when queues are compared: a job that runs in another zone costs a round trip and
// traffic between zones.
const remoteZonePenalty = 2

// Policy enables the rules by which a coordinator chooses owners. Package lab measures the
// effect of each rule by disabling it.
type Policy struct {
	// OwnZoneFirst offers a job to the owner in the coordinator's zone before others.
	OwnZoneFirst bool
	// Spill offers tasks for which the coordinator's zone has no free capacity to owners in
	// other zones that have some.
	Spill bool
	// ShortestQueue queues tasks that fit nowhere in the group with the fewest waiting tasks
	// for its capacity. Without it they are queued in the coordinator's zone.
	ShortestQueue bool
	// WholeJobs offers a job to a single owner that has free capacity for all of it, and
	// splits it only if the owners together have enough. Otherwise the whole job is queued
	// with one owner.
	WholeJobs bool
	// SpreadReturns spreads the retries of rejected customers over time, at the rate at
	// which jobs are being completed.
	SpreadReturns bool
	// BoundAsks rejects a job once maxOwnersWithoutCapacity owners expect no free capacity
	// for it in time, without offering it to others.
	BoundAsks bool
}

// maxOwnersWithoutCapacity is how many owners may expect no free capacity in time before a
// job is rejected. The first one has the shortest queue, so the others are less likely to
// have capacity, and each offer sends the whole job over two network links while the
// customer waits. Two owners would be too few to judge a fleet of four groups.
const maxOwnersWithoutCapacity = 3

// DefaultPolicy enables all rules.
var DefaultPolicy = Policy{OwnZoneFirst: true, Spill: true, ShortestQueue: true, WholeJobs: true, SpreadReturns: true, BoundAsks: true}

// choose picks an owner for the given number of tasks of a job. It prefers the given zone,
// then the group with the most free capacity, and skips the groups in tried. If no group
// has free capacity, the tasks are queued in the group with the fewest waiting tasks for
// its capacity, tried or not. Begun reports whether other tasks of the job may have begun.
// The result is false if no owner has any capacity.
func (p Policy) choose(loads []OwnerLoad, zone string, tried map[string]bool, tasks int, begun bool) (Choice, bool) {
	totalFree := 0
	for _, l := range loads {
		if !tried[l.Group] {
			totalFree += max(l.Free, 0)
		}
	}
	if p.WholeJobs && !begun {
		if group := p.mostFree(loads, zone, tried, tasks); group != "" {
			return Choice{Group: group, AllOrNothing: true}, true
		}
		if totalFree < tasks {
			return p.shortestQueue(loads, zone)
		}
	}
	if group := p.mostFree(loads, zone, tried, 1); group != "" {
		return Choice{Group: group}, true
	}
	return p.shortestQueue(loads, zone)
}

// mostFree returns a group not in tried with free capacity for the given number of tasks:
// one in the given zone if possible, otherwise the one with the most free capacity. It
// returns "" if there is none.
func (p Policy) mostFree(loads []OwnerLoad, zone string, tried map[string]bool, tasks int) string {
	best := -1
	for i, l := range loads {
		if tried[l.Group] || l.Free < tasks || !p.Spill && l.Zone != zone {
			continue
		}
		if l.Zone == zone && p.OwnZoneFirst {
			return l.Group
		}
		if best < 0 || l.Free > loads[best].Free {
			best = i
		}
	}
	if best < 0 {
		return ""
	}
	return loads[best].Group
}

// shortestQueue chooses the group with the fewest waiting tasks for its capacity. Groups in
// other zones than the given one count remoteZonePenalty more tasks.
func (p Policy) shortestQueue(loads []OwnerLoad, zone string) (Choice, bool) {
	best := -1
	var shortest float64
	for i, l := range loads {
		if l.Capacity <= 0 {
			continue
		}
		if l.Zone == zone && !p.ShortestQueue {
			return Choice{Group: l.Group, MayQueue: true}, true
		}
		waiting := float64(l.Waiting)
		if l.Zone != zone {
			waiting += remoteZonePenalty
		}
		if wait := waiting / float64(l.Capacity); best < 0 || wait < shortest {
			best, shortest = i, wait
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Group: loads[best].Group, MayQueue: true}, true
}
