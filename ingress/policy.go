// Package ingress serves the requests of customers: it accepts their jobs, has the tasks run
// on upstreams, and responds. These terms are used throughout the package:
//   - The coordinator of a job is the instance that accepted the job from the customer.
//   - A group is a set of upstreams in one availability zone. One instance at a time, the
//     owner of the group, decides which tasks run on them.
//   - An offer hands tasks of a job from its coordinator to the owner of a group. The owner
//     runs the tasks or returns them. Returned tasks are offered to other owners.
//   - A withdrawal cancels an offer: the owner drops the waiting tasks and stops the running
//     ones.
//   - The verdict is the final outcome of a job, on which the response to the customer is
//     based. A job is open until it has a verdict.
//   - An owner runs the tasks of a coordinator under a lease. If the coordinator stops
//     renewing it, the owner starts no more of these tasks and finally stops the running ones.
package ingress

import (
	"time"

	"github.com/sedgehatch/sedgehatch/schedule"
)

// OwnerLoad is the last reported load of the owner of one group of upstreams.
type OwnerLoad struct {
	Group    string
	Zone     string
	Free     int            // number of tasks of average size that would fit now
	Waiting  int            // number of tasks in the owner's queue
	Capacity int64          // total capacity of the upstreams, in thousandths of a core
	Closed   bool           // no task may start on any upstream of the group
	Token    uint64         // fencing token of the owner; 0 if unknown
	Relayed  bool           // another instance has relayed the report
	Age      time.Duration  // time since the owner reported the load
	Waits    schedule.Waits // zero if the owner does not report them
	Offered  int            // number of tasks that this instance has offered to the owner since the report
}

// AddOffered updates the load when tasks are offered to the owner after its report.
func (l *OwnerLoad) AddOffered(tasks int) {
	l.Free -= tasks
	l.Offered += tasks
}

// Choice is the group whose owner receives the next offer of a job's unassigned tasks, and
// the options of that offer.
type Choice struct {
	Group string
	// MayQueue lets the tasks wait in the owner's queue. It is set if no owner has free
	// capacity. Without it, the owner returns tasks that cannot start at once.
	MayQueue bool
	// AllOrNothing makes the owner return all of the tasks unless it can start all at once.
	AllOrNothing bool
}

// remoteZonePenalty is the number of tasks by which the queue of a group in another zone
// counts as longer than it is, because running a job there costs a round trip and traffic
// between zones.
const remoteZonePenalty = 2

// Policy enables the rules by which a coordinator chooses owners. A rule applies while its
// field is set. Package lab measures the effect of a rule by disabling it.
type Policy struct {
	// OwnZoneFirst offers a job to an owner in the coordinator's zone first, even if owners in
	// other zones have more free capacity.
	OwnZoneFirst bool
	// Spill lets owners in other zones receive offers if they have free capacity and those in
	// the coordinator's zone have too little.
	Spill bool
	// ShortestQueue determines where tasks are queued if no owner has free capacity for them:
	// in the group with the fewest waiting tasks per capacity. Without it, they are queued in
	// the coordinator's zone.
	ShortestQueue bool
	// WholeJobs offers all tasks of a job to one owner that has free capacity for them. If
	// there is none, the job is split if the owners together have enough free capacity, and
	// otherwise queued as a whole with one owner.
	WholeJobs bool
	// SpreadReturns spreads retries over time (see retryPlan) when customers are rejected for
	// lack of capacity. Without it, all of them are told to retry after minRetryAfter.
	SpreadReturns bool
	// BoundAsks rejects a job once maxOwnersWithoutCapacity owners have returned it because
	// they expect no free capacity in time. It is not offered to the remaining owners.
	BoundAsks bool
	// KnowWaits queues a job that has not begun where it would start soon according to the waits
	// that the owners report (see chooseQueue). It replaces ShortestQueue while the waits of all
	// groups are known.
	KnowWaits bool
	// RejectKnown rejects a job that has not begun once the reported waits of all groups show that
	// it would be late, and does not offer it to groups that would start it late.
	RejectKnown bool
	// AdoptRuns lets jobs go on when the owner of an offer is lost: the next owner of the
	// group is asked for the ends of the tasks (see orphan.go). Without it, they end Unknown.
	AdoptRuns bool
}

// maxOwnersWithoutCapacity is how many owners must expect no free capacity in time before a
// job is rejected. A higher limit rarely finds capacity, because the first owner asked has
// the shortest queue, and each further offer sends the whole job over two network links
// while the customer waits. A limit of two would be too low: in a fleet of four groups, it
// would reject jobs that the other two groups could run.
const maxOwnersWithoutCapacity = 3

// DefaultPolicy enables all rules.
var DefaultPolicy = Policy{OwnZoneFirst: true, Spill: true, ShortestQueue: true, WholeJobs: true, SpreadReturns: true, BoundAsks: true, KnowWaits: true, RejectKnown: true, AdoptRuns: true}

// choose picks an owner for the given number of tasks of a job whose coordinator is in the
// given zone. Begun reports whether other tasks of the job may have begun, so that there is
// no whole job to place. With all rules enabled, the choice is, in this order of preference:
//   - unless begun, a group with free capacity for all of the tasks
//   - a group with free capacity for one of the tasks; unless begun, only if the groups
//     together have enough for all of them
//   - the group with the shortest queue, where the tasks then wait
//
// The first two choices skip the groups in tried, the last one does not. The result is false
// if no group has upstreams that can run tasks.
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

// mostFree returns a group that is not in tried and has free capacity for the given number
// of tasks: one in the given zone if possible, otherwise the one with the most free capacity.
// It returns "" if there is no such group.
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

// shortestQueue chooses the group with the fewest waiting tasks per capacity. In groups of
// other zones than the given one, remoteZonePenalty tasks are counted in addition. It returns
// false if no group has capacity.
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
