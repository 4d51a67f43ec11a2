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
	Age      time.Duration
}

// Choice is where the waiting tasks of a job go next.
type Choice struct {
	Group string
	// Queue lets the tasks wait there: nobody has room now.
	Queue bool
}

// awayBias is how many waiting tasks the own zone may have more before a job
// waits elsewhere: another zone costs a round trip and bytes between zones.
const awayBias = 2

// choose picks an owner for tasks that were not taken by those in tried. The
// own zone goes first, then who has the most room; where nobody has any, the
// tasks wait where the fewest wait for its size. It returns false without owners.
func choose(loads []OwnerLoad, zone string, tried map[string]bool) (Choice, bool) {
	best := -1
	for i, l := range loads {
		if tried[l.Group] || l.Free <= 0 {
			continue
		}
		if l.Zone == zone {
			return Choice{Group: l.Group}, true
		}
		if best < 0 || l.Free > loads[best].Free {
			best = i
		}
	}
	if best >= 0 {
		return Choice{Group: loads[best].Group}, true
	}
	return shortestQueue(loads, zone)
}

func shortestQueue(loads []OwnerLoad, zone string) (Choice, bool) {
	best := -1
	var least float64
	for i, l := range loads {
		if l.Capacity <= 0 {
			continue
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
