package ingress

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"

	"github.com/samber/lo"
)

// This file estimates from the waits that owners report when a job could start in each group.

const (
	// maxWaitsAge is the maximum age of a report for its waits to be used. An owner reports every
	// 100 or 250 ms, so that an older report means that at least one was lost or relayed slowly.
	maxWaitsAge = 400 * time.Millisecond
	// longestTaskFactor is the assumed ratio of the duration of a job's longest task to the
	// estimate, as in package schedule.
	longestTaskFactor = 1.1
	// minAllowedWait is the least wait that a job is assumed to tolerate. It avoids ratios to
	// waits that are shorter than the accuracy of the reports: an owner forecasts every 25 ms.
	minAllowedWait = 25 * time.Millisecond
	// minAllowedShare is the same as a share of the objective. The wait that a job tolerates is
	// computed from its customer's estimate, which is often wrong by that much.
	minAllowedShare = 0.2
	// remoteZoneWait is added to the wait in groups of other zones, because running a job there
	// costs a round trip and traffic between zones.
	remoteZoneWait = 5 * time.Millisecond
)

// waitingJob describes a job whose tasks are to wait for capacity.
type waitingJob struct {
	route       string
	tasks       int
	milliCPU    int64         // CPU demand of a task, in thousandths of a core
	allowedWait time.Duration // how long the start of the last task may be delayed
}

// newWaitingJob describes a job of which a number of tasks wait, after a time since it was
// accepted.
func newWaitingJob(r *Request, tasks int, age time.Duration) waitingJob {
	step := r.Job.Steps[0]
	timeLeft := min(r.Objective(), r.Timeout) - age
	allowed := timeLeft - time.Duration(longestTaskFactor*float64(step.Estimate))
	least := max(minAllowedWait, time.Duration(minAllowedShare*float64(r.Objective())))
	return waitingJob{route: r.Route.Name, tasks: tasks, milliCPU: step.Demand.MilliCPU, allowedWait: max(allowed, least)}
}

// groupWait is the estimated wait of a job in one group.
type groupWait struct {
	load    OwnerLoad
	ownZone bool // the group is in the coordinator's zone
	known   bool // the group has reported its waits recently; otherwise the fields below are not set
	// earliest is the least possible wait, queued the wait behind all tasks that wait in the
	// group. Which of them start first depends on their objectives.
	earliest, queued time.Duration
	// pressure is earliest as a share of the wait that the job allows. Above 1, the job would be
	// late even if it started first.
	pressure float64
}

// estimateWaits returns the estimated wait of a job in each group, for a coordinator in the given
// zone. It leaves out groups in which nothing can start.
func estimateWaits(loads []OwnerLoad, zone string, j waitingJob) []groupWait {
	var list []groupWait
	for _, l := range loads {
		if l.Capacity <= 0 || l.Closed {
			continue
		}
		g := groupWait{load: l, ownZone: l.Zone == zone}
		if l.knowsWaits() {
			g.known = true
			g.earliest, g.queued = l.waitFor(j, 0), l.waitFor(j, l.Waiting)
			if !g.ownZone {
				g.earliest += remoteZoneWait
				g.queued += remoteZoneWait
			}
			g.pressure = g.earliest.Seconds() / j.allowedWait.Seconds()
		}
		list = append(list, g)
	}
	return list
}

// knowsWaits reports whether the owner has reported its waits recently.
func (l *OwnerLoad) knowsWaits() bool {
	return l.Waits.Known > 0 && l.Waits.TaskMilliCPU > 0 && l.Age <= maxWaitsAge
}

// waitFor returns the estimated time until the last task of a job can start, behind a number of
// other tasks of usual size. Since the report, the time that has passed has shortened the wait, and
// the tasks offered to the owner have prolonged it.
func (l *OwnerLoad) waitFor(j waitingJob, ahead int) time.Duration {
	usualTasks := float64(j.tasks) * float64(j.milliCPU) / float64(l.Waits.TaskMilliCPU)
	usualTasks = max(usualTasks, 1) + float64(l.Offered+ahead)
	return max(interpolate(l.Waits.Until[:l.Waits.Known], usualTasks)-l.Age, 0)
}

// longestWait bounds extrapolated waits, which could overflow a time.Duration.
const longestWait = float64(fleet.MaxDuration)

// interpolate returns the wait for a number of tasks, given the waits for 1, 2, 4, 8 ... tasks.
// Beyond the last of them, the wait grows as it does between the last two.
func interpolate(until []time.Duration, tasks float64) time.Duration {
	if len(until) == 1 {
		return time.Duration(min(tasks*float64(until[0]), longestWait))
	}
	position := math.Log2(max(tasks, 1))
	i := min(int(position), len(until)-2)
	low, high := float64(int(1)<<i), float64(int(2)<<i)
	share := (tasks - low) / (high - low)
	return until[i] + time.Duration(min(share*float64(until[i+1]-until[i]), longestWait))
}

// leastPressure returns the group with the least pressure. The list must not be empty.
func leastPressure(list []groupWait) groupWait {
	return slices.MinFunc(list, func(a, b groupWait) int {
		return cmp.Or(cmp.Compare(a.pressure, b.pressure), cmp.Compare(a.queued, b.queued))
	})
}

// chooseQueue chooses the group in which a job waits: of one group and another, the one where it
// would wait less behind all that waits there. The first is the best in the coordinator's zone, if
// there is any, and otherwise a random one, the second is always random. Choosing the best of all
// groups would be worse, because all coordinators that know the same reports would choose the same
// one. It returns false if the waits of a group are not known.
func chooseQueue(list []groupWait, random func() float64) (string, bool) {
	if len(list) == 0 || slices.ContainsFunc(list, func(g groupWait) bool { return !g.known }) {
		return "", false
	}
	first, second := list[randomIndex(list, random)], list[randomIndex(list, random)]
	if own := lo.Filter(list, func(g groupWait, _ int) bool { return g.ownZone }); len(own) > 0 {
		first = slices.MinFunc(own, func(a, b groupWait) int { return cmp.Compare(a.queued, b.queued) })
	}
	if second.queued < first.queued {
		return second.load.Group, true
	}
	return first.load.Group, true
}

func randomIndex(list []groupWait, random func() float64) int {
	return int(random() * float64(len(list)))
}

// formatWaits formats for the log the earliest start in each group and the age of the report that it
// is estimated from, as GROUP=START@AGE in milliseconds.
func formatWaits(list []groupWait) string {
	var parts []string
	for _, g := range list[:min(len(list), maxOfferedGroups)] {
		parts = append(parts, fmt.Sprintf("%s=%d@%d", g.load.Group, g.earliest.Milliseconds(), g.load.Age.Milliseconds()))
	}
	return strings.Join(parts, ",")
}
