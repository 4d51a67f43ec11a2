package lab

import (
	"math"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/schedule"

	"github.com/samber/lo"
)

const (
	// A job that completes after its latency objective, but within maxLateFactor times the
	// objective, earns lateWorthShare of its worth. A job that completes even later earns
	// nothing.
	lateWorthShare = 0.2
	maxLateFactor  = 3
)

// Metrics describes the performance of one variant on one deployment, or on average on several
// deployments. Unless its comment states another unit, a field is a share of all jobs. Jobs are
// counted by the response to their first submission. An objective is the latency objective of a
// job.
type Metrics struct {
	Worth     float64 `json:"worth"`         // worth earned, as a share of the worth of all jobs
	PeakWorth float64 `json:"worth_crowded"` // as Worth, but only for jobs sent in the peak period
	Bound     float64 `json:"bound"`         // upper bound of Worth that no policy can exceed
	// PackedBound is Bound for upstreams of which only PackedShare can be used, the share that the
	// best packing known keeps busy (see packedShare).
	PackedBound           float64 `json:"packed_bound"`
	PackedShare           float64 `json:"packed_share"`
	InTime                float64 `json:"in_time"`           // jobs that completed within their objective
	Late                  float64 `json:"late"`              // jobs that completed after their objective
	Refused               float64 `json:"refused"`           // jobs that were rejected before any task started
	RefusedWithRoom       float64 `json:"refused_with_room"` // refused jobs for which all groups together had enough free capacity at that time
	RejectedAtOnce        float64 `json:"at_once"`           // refused jobs that were not offered to any owner
	Offers                float64 `json:"offers"`            // mean number of offers of a refused job
	GivenUp               float64 `json:"given_up"`          // jobs that ended without completing, after tasks may have started
	Failed                float64 `json:"failed"`            // jobs whose response said that they failed
	Wasted                float64 `json:"wasted"`            // CPU time of runs that were stopped, failed or lost their lease, as a share of the work of all jobs
	UnservedResponseP50   float64 `json:"tell_p50"`          // response time of refused and given-up jobs as a multiple of the job's objective, median
	UnservedResponseP90   float64 `json:"tell_p90"`          // as UnservedResponseP50, but the 90th percentile
	UnservedResponseP99Ms float64 `json:"tell_p99_ms"`       // response time of refused and given-up jobs in milliseconds, 99th percentile
	WorstKind             float64 `json:"worst_kind"`        // Worth of the kind of jobs for which it is lowest
	WorstLarge            float64 `json:"worst_large"`       // as WorstKind, but only for the tenth of each kind with the most work
	WorstZone             float64 `json:"worst_zone"`        // Worth of the zone for which it is lowest
	ServedLater           float64 `json:"served_later"`      // jobs that completed after a resubmission, as a share of the refused jobs
	ServedLaterSeconds    float64 `json:"later_s"`           // mean time of these jobs from the first submission to the response, in seconds
	FalseEjections        float64 `json:"doubts_of_sound"`   // number of ejections of upstreams without a fault, per deployment
	FalseSilences         float64 `json:"silences_of_sound"` // number of times that an upstream without a fault was treated as silent, per deployment
	// The next fields are shares of the CPU capacity in the peak period while pools are crowded, see
	// schedule.RoomUse. They are 0 if no pool was.
	Busy      float64 `json:"busy"`          // executing runs, or starting them
	Fragments float64 `json:"fragments"`     // idle, and no waiting task is small enough
	HeldBack  float64 `json:"held_back"`     // idle, although a waiting task would fit
	Vacant    float64 `json:"vacant"`        // idle, and nothing waits, although a job was refused lately
	OutOfUse  float64 `json:"out_of_use"`    // idle on upstreams where nothing may start
	SlowStops float64 `json:"slow_of_sound"` // runs that were stopped as slow on upstreams without a fault, as a share of all runs
}

// earned returns the worth that a job has earned. A job whose tasks always fail cannot complete;
// it earns its worth if its response says in time that it failed.
func (sim *simulation) earned(o firstResponse) float64 {
	objective := o.job.objective(&sim.deployment.kinds[o.job.kind].route)
	served := o.Verdict == ingress.Completed || o.Verdict == ingress.Failed && o.job.alwaysFails
	switch {
	case served && o.responseTime <= objective:
		return o.job.worth
	case served && o.responseTime <= maxLateFactor*objective:
		return lateWorthShare * o.job.worth
	default:
		return 0
	}
}

// worthSum holds the sum of the worth that some jobs have earned, and the sum of the worth that
// they could have earned.
type worthSum struct{ earned, possible float64 }

func (s *worthSum) add(earned, possible float64) {
	s.earned += earned
	s.possible += possible
}

// value returns the earned worth as a share of the possible worth, or 1 if there are no jobs.
func (s worthSum) value() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

func sentInPeak(j *customerJob) bool { return j.sentAt >= peakStart && j.sentAt < peakEnd }

// metrics returns the metrics of a completed simulation. The bounds are not set.
func (sim *simulation) metrics() Metrics {
	var m Metrics
	var total, peak worthSum
	byKind, largeByKind := make([]worthSum, len(sim.deployment.kinds)), make([]worthSum, len(sim.deployment.kinds))
	byZone := make([]worthSum, len(sim.deployment.zones))
	var unservedRatios []float64
	var unservedMs []float64
	for _, o := range sim.firstResponses {
		j, earned := o.job, sim.earned(o)
		total.add(earned, j.worth)
		byKind[j.kind].add(earned, j.worth)
		byZone[j.zone].add(earned, j.worth)
		if j.large {
			largeByKind[j.kind].add(earned, j.worth)
		}
		if sentInPeak(j) {
			peak.add(earned, j.worth)
		}
		objective := j.objective(&sim.deployment.kinds[j.kind].route)
		m.count(o, objective)
		if o.Verdict != ingress.Completed && o.Verdict != ingress.Failed {
			unservedRatios = append(unservedRatios, o.responseTime.Seconds()/objective.Seconds())
			unservedMs = append(unservedMs, float64(o.responseTime)/float64(time.Millisecond))
		}
	}
	if m.Refused > 0 {
		m.Offers /= m.Refused
	}
	n := float64(len(sim.firstResponses))
	for _, v := range []*float64{&m.InTime, &m.Late, &m.Refused, &m.RefusedWithRoom, &m.RejectedAtOnce, &m.GivenUp, &m.Failed} {
		*v /= n
	}
	m.Worth, m.PeakWorth = total.value(), peak.value()
	m.WorstKind, m.WorstLarge, m.WorstZone = lowest(byKind), lowest(largeByKind), lowest(byZone)
	m.UnservedResponseP50, m.UnservedResponseP90, m.UnservedResponseP99Ms = quantile(unservedRatios, 0.5), quantile(unservedRatios, 0.9), quantile(unservedMs, 0.99)
	m.Wasted = sim.wastedCoreSeconds / lo.SumBy(sim.deployment.jobs, (*customerJob).coreSeconds)
	if refused := m.Refused * n; refused > 0 && sim.servedLater > 0 {
		m.ServedLater, m.ServedLaterSeconds = float64(sim.servedLater)/refused, sim.servedLaterSeconds/float64(sim.servedLater)
	}
	m.setRoom(sim.room)
	m.FalseEjections, m.FalseSilences = float64(sim.falseEjections), float64(sim.falseSilences)
	m.SlowStops = float64(sim.slowStops) / float64(max(sim.starts, 1))
	return m
}

// setRoom sets the fields about the use of the capacity.
func (m *Metrics) setRoom(use schedule.RoomUse) {
	total := float64(use.Total())
	if total == 0 {
		return
	}
	m.Busy = float64(use[schedule.RoomBusy]+use[schedule.RoomStarting]) / total
	m.Fragments = float64(use[schedule.RoomFragments]) / total
	m.HeldBack = float64(use[schedule.RoomUnbegun]+use[schedule.RoomHeld]) / total
	m.Vacant = float64(use[schedule.RoomVacant]) / total
	m.OutOfUse = float64(use[schedule.RoomEjected]+use[schedule.RoomSilent]+use[schedule.RoomUnusable]) / total
}

// count counts a job in the fields for its response. While jobs are being counted, these fields
// hold numbers of jobs; afterwards, metrics turns them into shares.
func (m *Metrics) count(o firstResponse, objective time.Duration) {
	switch {
	case o.Verdict == ingress.Completed && o.responseTime <= objective:
		m.InTime++
	case o.Verdict == ingress.Completed:
		m.Late++
	case o.Verdict == ingress.NotRun:
		m.Refused++
		m.Offers += float64(o.Offers)
		if o.RejectedAtOnce {
			m.RejectedAtOnce++
		}
		if o.hadRoom {
			m.RefusedWithRoom++
		}
	case o.Verdict == ingress.Failed:
		m.Failed++
	default:
		m.GivenUp++
	}
}

// lowest returns the lowest of the shares of worth that were earned.
func lowest(sums []worthSum) float64 {
	return lo.Min(lo.Map(sums, func(s worthSum, _ int) float64 { return s.value() }))
}

// quantile returns the quantile q of the values, from 0 to 1, or 0 if there are no values. It
// sorts the values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}

// standardErrors95 is half the width of a 95% confidence interval, as a multiple of the standard
// error of the mean.
const standardErrors95 = 1.96

// confidenceInterval returns the mean of the values and half the width of the 95% confidence
// interval of that mean. For a single value there is no confidence interval; half is 0.
func confidenceInterval(values []float64) (mean, half float64) {
	n := float64(len(values))
	mean = lo.Sum(values) / n
	if n < 2 {
		return mean, 0
	}
	sum := lo.SumBy(values, func(v float64) float64 { return (v - mean) * (v - mean) })
	return mean, standardErrors95 * math.Sqrt(sum/(n-1)/n)
}
