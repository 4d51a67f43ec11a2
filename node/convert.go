package node

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/directory"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"

	"github.com/samber/lo"
)

// claimToProto returns the message by which this instance claims a group that it owns, with the
// load of the group.
func claimToProto(g *owner.Group, l schedule.Load) *inner.Claim {
	return loadToProto(g.Name, g.Token, l)
}

// loadToProto returns the claim of an owner with the given fencing token.
func loadToProto(group string, token uint64, l schedule.Load) *inner.Claim {
	return &inner.Claim{
		Group: group, Token: token, Free: saturated32(int64(l.Free)), Waiting: uint32(l.Waiting), Capacity: l.Capacity, Closed: l.Closed,
		WaitMs:  lo.Map(l.Waits.Until[:l.Waits.Known], func(d time.Duration, _ int) uint32 { return saturated32(d.Milliseconds()) }),
		UsualMs: saturated32(l.Waits.TaskDuration.Milliseconds()), UsualMilliCpu: l.Waits.TaskMilliCPU,
	}
}

func loadFromProto(c *inner.Claim) schedule.Load {
	return schedule.Load{Free: int(c.GetFree()), Waiting: int(c.GetWaiting()), Capacity: c.GetCapacity(), Closed: c.GetClosed(), Waits: waitsFromProto(c)}
}

// waitsFromProto returns the waits in a claim. Claims of earlier versions contain none.
func waitsFromProto(c *inner.Claim) schedule.Waits {
	w := schedule.Waits{Known: min(len(c.GetWaitMs()), schedule.WaitSteps), TaskMilliCPU: c.GetUsualMilliCpu(), TaskDuration: time.Duration(c.GetUsualMs()) * time.Millisecond}
	for i, ms := range c.GetWaitMs()[:w.Known] {
		w.Until[i] = time.Duration(ms) * time.Millisecond
	}
	return w
}

// saturated32 returns the nearest value to v that a message field of 32 bits can hold.
func saturated32(v int64) uint32 { return uint32(min(max(v, 0), math.MaxUint32)) }

func toInts(list []uint32) []int { return lo.Map(list, func(v uint32, _ int) int { return int(v) }) }

func toUint32s(list []int) []uint32 {
	return lo.Map(list, func(v int, _ int) uint32 { return uint32(v) })
}

// remainingToProto returns the time in milliseconds from now until an upstream leaves, rounded
// down, or 0 if the time is not known. It returns 1 if the time has passed.
func remainingToProto(now, leavesAt time.Time) uint32 {
	if leavesAt.IsZero() {
		return 0
	}
	return saturated32(max(leavesAt.Sub(now).Milliseconds(), 1))
}

func drainsToProto(now time.Time, drains []directory.Drain) []*inner.UpstreamLife {
	return lo.Map(drains, func(d directory.Drain, _ int) *inner.UpstreamLife {
		return &inner.UpstreamLife{Id: d.Incarnation.ID, Born: d.Incarnation.StartedUnixMs, RemainingMs: remainingToProto(now, d.LeavesAt)}
	})
}

func capacityReportToProto(r directory.CapacityReport) *inner.UpstreamRoom {
	return &inner.UpstreamRoom{
		Life: &inner.UpstreamLife{Id: r.Incarnation.ID, Born: r.Incarnation.StartedUnixMs}, Sequence: r.Sequence,
		MilliCpu: r.Capacity.MilliCPU, MemoryMb: r.Capacity.MemoryMB, Gpus: r.Capacity.GPUs,
	}
}

func capacityReportFromProto(r *inner.UpstreamRoom) directory.CapacityReport {
	return directory.CapacityReport{
		Incarnation: fleet.UpstreamIncarnation{ID: r.GetLife().GetId(), StartedUnixMs: r.GetLife().GetBorn()}, Sequence: r.GetSequence(),
		Capacity: fleet.Resources{MilliCPU: r.GetMilliCpu(), MemoryMB: r.GetMemoryMb(), GPUs: r.GetGpus()},
	}
}

func capacityReportsToProto(reports []directory.CapacityReport) []*inner.UpstreamRoom {
	return lo.Map(reports, func(r directory.CapacityReport, _ int) *inner.UpstreamRoom { return capacityReportToProto(r) })
}

func capacityReportsFromProto(list []*inner.UpstreamRoom) []directory.CapacityReport {
	return lo.Map(list, func(r *inner.UpstreamRoom, _ int) directory.CapacityReport { return capacityReportFromProto(r) })
}

func upstreamToProto(now time.Time, u fleet.Upstream) *inner.Upstream {
	return &inner.Upstream{
		Room:    capacityReportToProto(directory.CapacityReport{Incarnation: u.Incarnation(), Sequence: u.Sequence, Capacity: u.Capacity}),
		Service: u.Service, Address: u.Address, Zone: u.Zone, Rack: u.Rack, Draining: u.Draining, RemainingMs: remainingToProto(now, u.LeavesAt),
		LargestMilliCpu: u.LargestCapacity.MilliCPU, LargestMemoryMb: u.LargestCapacity.MemoryMB, LargestGpus: u.LargestCapacity.GPUs,
	}
}

func upstreamFromProto(m *inner.Upstream) fleet.Upstream {
	report := capacityReportFromProto(m.GetRoom())
	return fleet.Upstream{
		ID: report.Incarnation.ID, StartedUnixMs: report.Incarnation.StartedUnixMs, Sequence: report.Sequence, Capacity: report.Capacity,
		Service: m.GetService(), Address: m.GetAddress(), Zone: m.GetZone(), Rack: m.GetRack(), Draining: m.GetDraining(), RemainingTime: time.Duration(m.GetRemainingMs()) * time.Millisecond,
		LargestCapacity: fleet.Resources{MilliCPU: m.GetLargestMilliCpu(), MemoryMB: m.GetLargestMemoryMb(), GPUs: m.GetLargestGpus()},
	}
}

func drainsFromProto(now time.Time, list []*inner.UpstreamLife) []directory.Drain {
	return lo.Map(list, func(l *inner.UpstreamLife, _ int) directory.Drain {
		d := directory.Drain{Incarnation: fleet.UpstreamIncarnation{ID: l.GetId(), StartedUnixMs: l.GetBorn()}}
		if remaining := l.GetRemainingMs(); remaining > 0 {
			d.LeavesAt = now.Add(time.Duration(remaining) * time.Millisecond)
		}
		return d
	})
}

// taskHistoryToProto returns the messages for the histories of tasks, in the order of the tasks.
func taskHistoryToProto(history map[int]schedule.TaskHistory) []*inner.TaskPast {
	var list []*inner.TaskPast
	for _, task := range slices.Sorted(maps.Keys(history)) {
		list = append(list, &inner.TaskPast{Task: uint32(task), Number: history[task].LastRun, Failed: uint32(history[task].FailedRuns), Crashed: uint32(history[task].Crashes)})
	}
	return list
}

func taskHistoryFromProto(list []*inner.TaskPast) map[int]schedule.TaskHistory {
	if len(list) == 0 {
		return nil
	}
	history := make(map[int]schedule.TaskHistory, len(list))
	for _, t := range list {
		history[int(t.GetTask())] = schedule.TaskHistory{LastRun: t.GetNumber(), FailedRuns: int(t.GetFailed()), Crashes: int(t.GetCrashed())}
	}
	return history
}

func offerReturnedFrame(g *owner.Group, r schedule.Result, l schedule.Load) *inner.Frame {
	return &inner.Frame{Body: &inner.Frame_OfferReturned{OfferReturned: &inner.OfferReturned{
		Group: g.Name, Job: r.Key.ID, Part: uint32(r.Key.Part), Tasks: toUint32s(r.Returned), Load: claimToProto(g, l),
		Begun: r.Begun, Past: taskHistoryToProto(r.History),
	}}}
}

func offerEndedFrame(g *owner.Group, r schedule.Result, l schedule.Load) *inner.Frame {
	outcome := r.Outcome
	if outcome == schedule.Cancelled {
		outcome = schedule.Failed // an instance of an earlier version would offer the tasks again
	}
	return &inner.Frame{Body: &inner.Frame_OfferEnded{OfferEnded: &inner.OfferEnded{
		Outcome: string(outcome), Cancelled: r.Outcome == schedule.Cancelled, Done: toUint32s(r.Done), Returned: toUint32s(r.Returned), Begun: r.Begun, Load: claimToProto(g, l),
		Past: taskHistoryToProto(r.History),
	}}}
}

// outcomeFromProto is the inverse of what offerEndedFrame does to the outcome.
func outcomeFromProto(m *inner.OfferEnded) schedule.Outcome {
	if m.GetCancelled() {
		return schedule.Cancelled
	}
	return schedule.Outcome(m.GetOutcome())
}

// offerToProto returns the message for an offer. aliveMs is when the customer was last known
// to be connected, in milliseconds of the receiver's clock.
func offerToProto(group string, o schedule.Offer, aliveMs uint64) *inner.Offer {
	m := &inner.Offer{
		Group: group, Job: o.Key.ID, Part: uint32(o.Key.Part), Service: o.Service, Route: o.Route, Spec: o.Spec,
		MilliCpu: o.Demand.MilliCPU, MemoryMb: o.Demand.MemoryMB, Gpus: o.Demand.GPUs,
		EstimateMs: saturated32(o.Estimate.Milliseconds()), Priority: saturated32(int64(o.Priority)), MaxAttempts: saturated32(int64(o.MaxAttempts)),
		Tasks: toUint32s(o.Tasks), Stretch: o.Stretch, SlackMs: saturated32(o.Slack.Milliseconds()),
		AgeMs: saturated32(o.Age.Milliseconds()), PatienceMs: saturated32(o.Timeout.Milliseconds()), MayQueue: o.MayQueue, Begun: o.Begun, Whole: o.AllOrNothing,
		Past: taskHistoryToProto(o.History), AliveMs: aliveMs, Rack: o.Rack, MostOnOne: saturated32(int64(o.MaxPerUpstream)),
		AdoptFrom: o.AdoptFrom,
	}
	if o.AdoptFrom > 0 {
		// An instance of an earlier version ignores AdoptFrom. Without Tasks it starts none.
		m.Tasks, m.Past = nil, adoptedTasksToProto(o)
	}
	return m
}

// adoptedTasksToProto returns the messages for the tasks of an adopting offer, with the history
// of those that have one.
func adoptedTasksToProto(o schedule.Offer) []*inner.TaskPast {
	history := make(map[int]schedule.TaskHistory, len(o.Tasks))
	for _, t := range o.Tasks {
		history[t] = o.History[t]
	}
	return taskHistoryToProto(history)
}

// offerFromProto returns the offer in a message, without Key.Coordinator and AliveAt, which
// the caller sets.
func offerFromProto(m *inner.Offer) schedule.Offer {
	o := schedule.Offer{
		Key:     schedule.JobKey{ID: m.GetJob(), Part: int(m.GetPart())},
		Service: m.GetService(), Route: m.GetRoute(), Spec: m.GetSpec(),
		Demand:   fleet.Resources{MilliCPU: m.GetMilliCpu(), MemoryMB: m.GetMemoryMb(), GPUs: m.GetGpus()},
		Estimate: time.Duration(m.GetEstimateMs()) * time.Millisecond, Priority: int(m.GetPriority()),
		MaxAttempts: int(m.GetMaxAttempts()), Tasks: toInts(m.GetTasks()), Stretch: m.GetStretch(),
		Slack: time.Duration(m.GetSlackMs()) * time.Millisecond, Age: time.Duration(m.GetAgeMs()) * time.Millisecond,
		Timeout: time.Duration(m.GetPatienceMs()) * time.Millisecond, MayQueue: m.GetMayQueue(), Begun: m.GetBegun(), AllOrNothing: m.GetWhole(),
		History: taskHistoryFromProto(m.GetPast()), Rack: m.GetRack(), MaxPerUpstream: int(m.GetMostOnOne()),
		AdoptFrom: m.GetAdoptFrom(),
	}
	if o.AdoptFrom > 0 {
		o.Tasks = slices.Sorted(maps.Keys(o.History))
	}
	return o
}
