package schedule

import (
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// RoomCause says what the CPU capacity of an upstream is used for, or why it is idle.
type RoomCause int

// The causes. Idle capacity of an upstream has exactly one of them.
const (
	RoomBusy      RoomCause = iota // runs are executing
	RoomStarting                   // runs were ordered, and their starts are not acknowledged yet
	RoomStopping                   // runs are being stopped, or are not wanted any more
	RoomFragments                  // idle: no waiting task fits
	RoomUnbegun                    // idle: only tasks of jobs that have not begun would fit, and these are held back
	RoomHeld                       // idle: a waiting task of a job that has begun would fit, and is held back
	RoomVacant                     // idle: no task waits, but a job was rejected or returned recently
	RoomEjected                    // idle: the upstream is ejected
	RoomSilent                     // the upstream is silent, whatever it may be running
	RoomUnusable                   // idle: nothing may start there, for another reason
	roomCauses
)

// String returns the name of the cause in metrics.
func (c RoomCause) String() string {
	return [roomCauses]string{
		"busy", "starting", "stopping", "fragments", "unbegun", "held", "vacant", "ejected", "silent", "unusable",
	}[c]
}

// RoomUse is an amount of CPU time, in thousandths of a core-second, by cause.
type RoomUse [roomCauses]int64

// Each calls f for each cause with its amount, if that is not 0.
func (r RoomUse) Each(f func(cause RoomCause, coreMs int64)) {
	for c, amount := range r {
		if amount != 0 {
			f(RoomCause(c), amount)
		}
	}
}

// Plus returns the sum of r and o.
func (r RoomUse) Plus(o RoomUse) RoomUse {
	for c := range r {
		r[c] += o[c]
	}
	return r
}

// Total returns the sum over all causes.
func (r RoomUse) Total() int64 {
	total := int64(0)
	for _, amount := range r {
		total += amount
	}
	return total
}

const (
	// crowdedAfterRefusal is how long a pool counts as crowded after it has rejected a job, or
	// returned tasks, for lack of capacity.
	crowdedAfterRefusal = time.Second
	// maxAccountInterval limits the time that one sample of the account stands for. Ticks are
	// further apart only if the process was paused.
	maxAccountInterval = 100 * time.Millisecond
)

// account records when the use of the capacity was last sampled, and when a job was last
// rejected, or tasks returned, for lack of capacity.
type account struct {
	sampledAt time.Time
	refusedAt time.Time
}

// crowded reports whether tasks wait or were refused lately.
func (p *Pool) crowded() bool {
	return p.waitingTasks > 0 || !p.account.refusedAt.IsZero() && p.now.Sub(p.account.refusedAt) <= crowdedAfterRefusal
}

// sampleRoom returns how the capacity of all upstreams has been used since the last call. It
// assumes that the present use has lasted since then. It returns zero while the pool is not
// crowded.
func (p *Pool) sampleRoom() RoomUse {
	elapsed := min(p.now.Sub(p.account.sampledAt), maxAccountInterval)
	p.account.sampledAt = p.now
	if !p.crowded() || elapsed <= 0 {
		return RoomUse{}
	}
	smallest := p.smallestDemands()
	var use RoomUse
	for _, u := range p.sortedUpstreams {
		p.addRoomOf(u, smallest[u.Service], &use)
	}
	for c := range use {
		use[c] = use[c] * elapsed.Microseconds() / 1e6
	}
	return use
}

// addRoomOf adds the capacity of an upstream to use, in thousandths of a core.
func (p *Pool) addRoomOf(u *upstream, waiting *smallestDemands, use *RoomUse) {
	if u.silent {
		use[RoomSilent] += u.Capacity.MilliCPU
		return
	}
	left := u.Capacity.MilliCPU
	for _, r := range sortedRuns(u) {
		amount := min(r.demand.MilliCPU, left) // runs may use more than a capacity that has shrunk
		use[r.roomCause()] += amount
		left -= amount
	}
	use[p.idleCause(u, waiting)] += left
}

func (r *run) roomCause() RoomCause {
	switch {
	case r.job == nil || r.state == stopping || r.state == stopped:
		return RoomStopping
	case r.state == starting:
		return RoomStarting
	default:
		return RoomBusy
	}
}

// idleCause returns why the free capacity of an upstream is idle.
func (p *Pool) idleCause(u *upstream, waiting *smallestDemands) RoomCause {
	free := u.Capacity.Minus(u.used)
	switch {
	case u.health.ejected && !p.usable(u, p.now):
		return RoomEjected
	case p.draining || !p.usable(u, p.now):
		return RoomUnusable
	case waiting == nil:
		return RoomVacant
	case anyWithin(waiting.begun, free):
		return RoomHeld
	case anyWithin(waiting.unbegun, free):
		return RoomUnbegun
	default:
		return RoomFragments
	}
}

// smallestDemands holds the smallest demands of the waiting tasks of one service: each waiting
// task needs at least as much of every resource as one of them.
type smallestDemands struct{ begun, unbegun []fleet.Resources }

// smallestDemands returns the smallest demands by service. A service without waiting tasks has
// no entry.
func (p *Pool) smallestDemands() map[string]*smallestDemands {
	byService := map[string]*smallestDemands{}
	for _, j := range p.queue {
		if !j.hasWaiting() {
			continue
		}
		s := byService[j.Service]
		if s == nil {
			s = &smallestDemands{}
			byService[j.Service] = s
		}
		if j.hasBegun() {
			s.begun = addSmallest(s.begun, j.Demand)
		} else {
			s.unbegun = addSmallest(s.unbegun, j.Demand)
		}
	}
	return byService
}

// addSmallest adds a demand to a list of smallest ones, unless one of these is no larger. It
// removes those that are no smaller than the new one.
func addSmallest(list []fleet.Resources, demand fleet.Resources) []fleet.Resources {
	if anyWithin(list, demand) {
		return list
	}
	list = slices.DeleteFunc(list, func(o fleet.Resources) bool { return demand.Within(o) })
	return append(list, demand)
}

// anyWithin reports whether any of the demands fits into the free resources.
func anyWithin(demands []fleet.Resources, free fleet.Resources) bool {
	return slices.ContainsFunc(demands, func(d fleet.Resources) bool { return d.Within(free) })
}
