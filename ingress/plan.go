// Package ingress takes the requests of customers. The instance that takes a
// job coordinates it: it offers the tasks to the owners of upstreams, gathers
// what becomes of them, and answers.
package ingress

import "time"

// OwnerLoad is what is known of the owner of one group.
type OwnerLoad struct {
	Group    string
	Zone     string
	Free     int   // tasks that fit now
	Waiting  int   // tasks that wait
	Capacity int64 // thousandths of a core
	Closed   bool  // nothing may start there
	Age      time.Duration
}

// Choice is where the waiting tasks of a job go next.
type Choice struct {
	Group string
	// Queue lets the tasks wait there: nobody has room now.
	Queue bool
	// Whole starts all tasks there at once, or none.
	Whole bool
}

// awayBias is how many waiting tasks the own zone may have more before a job
// waits elsewhere: another zone costs a round trip and bytes between zones.
const awayBias = 2

// Policy switches the rules by which a coordinator picks owners. The laboratory
// measures what each of them is worth.
type Policy struct {
	// OwnZoneFirst offers a job to the owner of the own zone before others.
	OwnZoneFirst bool
	// Spill offers what finds no room to the owners of other groups.
	Spill bool
	// ShortestQueue lets what finds room nowhere wait where the least waits for
	// its size; otherwise it waits in the own zone.
	ShortestQueue bool
	// WholeJobs offers a job to one owner that has room for all of it, and to
	// several only where they have room for all of it together; otherwise it
	// waits whole.
	WholeJobs bool
	// SpreadReturns tells refused customers to come back at the rate at which
	// they can be served.
	SpreadReturns bool
	// BoundAsks refuses a job once a few owners expect no room for it in time, and
	// asks no others.
	BoundAsks bool
}

// mostFull is how many owners may expect no room in time before a job is refused:
// the first is that of the shortest queue, and the others' are longer. Each offer
// carries the whole job over two links, and its customer waits meanwhile; what two
// owners know of four groups is too little.
const mostFull = 3

// DefaultPolicy is the policy of the product.
var DefaultPolicy = Policy{OwnZoneFirst: true, Spill: true, ShortestQueue: true, WholeJobs: true, SpreadReturns: true, BoundAsks: true}

// choose picks an owner for a number of tasks that were not taken by those in
// tried. The own zone goes first, then who has the most room; where nobody has
// any, the tasks wait where the fewest wait for its size. Begun is set where
// other tasks of the job have begun. It returns false without owners.
func (y Policy) choose(loads []OwnerLoad, zone string, tried map[string]bool, tasks int, begun bool) (Choice, bool) {
	together := 0
	for _, l := range loads {
		if !tried[l.Group] {
			together += max(l.Free, 0)
		}
	}
	if y.WholeJobs && !begun {
		if group := y.roomiest(loads, zone, tried, tasks); group != "" {
			return Choice{Group: group, Whole: true}, true
		}
		if together < tasks {
			return y.shortestQueue(loads, zone)
		}
	}
	if group := y.roomiest(loads, zone, tried, 1); group != "" {
		return Choice{Group: group}, true
	}
	return y.shortestQueue(loads, zone)
}

// roomiest returns the group of the own zone, or else the one with the most
// room, that has room for some tasks and was not tried; "" where there is none.
func (y Policy) roomiest(loads []OwnerLoad, zone string, tried map[string]bool, tasks int) string {
	best := -1
	for i, l := range loads {
		if tried[l.Group] || l.Free < tasks || !y.Spill && l.Zone != zone {
			continue
		}
		if l.Zone == zone && y.OwnZoneFirst {
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

func (y Policy) shortestQueue(loads []OwnerLoad, zone string) (Choice, bool) {
	best := -1
	var least float64
	for i, l := range loads {
		if l.Capacity <= 0 {
			continue
		}
		if l.Zone == zone && !y.ShortestQueue {
			return Choice{Group: l.Group, Queue: true}, true
		}
		waiting := float64(l.Waiting)
		if l.Zone != zone {
			waiting += awayBias
		}
		if wait := waiting / float64(l.Capacity); best < 0 || wait < least {
			best, least = i, wait
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	return Choice{Group: loads[best].Group, Queue: true}, true
}
