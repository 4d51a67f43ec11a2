package lab

import (
	"math"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/ingress"

	"github.com/samber/lo"
)

const (
	// lateWorthShare is the share of a job's worth that is earned if it completes after its
	// objective, but within maxLateFactor times its objective.
	lateWorthShare = 0.2
	maxLateFactor  = 3
)

// Metrics describes the performance of one variant on one deployment, or the means over
// several deployments. Fields without another unit are shares of all jobs.
type Metrics struct {
	Worth                 float64 `json:"worth"`             // share of the worth of all jobs that was earned
	PeakWorth             float64 `json:"worth_crowded"`     // Worth, for jobs sent in the peak period only
	Bound                 float64 `json:"bound"`             // upper bound of Worth for any policy
	InTime                float64 `json:"in_time"`           // completed within the objective
	Late                  float64 `json:"late"`              // completed after the objective
	Refused               float64 `json:"refused"`           // ended before any task started
	RefusedWithRoom       float64 `json:"refused_with_room"` // refused although all tasks would have fitted at that time
	GivenUp               float64 `json:"given_up"`          // ended when some tasks may have started, but not all completed
	Failed                float64 `json:"failed"`
	Wasted                float64 `json:"wasted"`            // CPU time of runs that did not end as done, as a share of the CPU time of all jobs
	UnservedResponseP50   float64 `json:"tell_p50"`          // median time to the response of refused and given up jobs, divided by their objectives
	UnservedResponseP90   float64 `json:"tell_p90"`          // 90th percentile of the time to the response of these jobs, divided by their objectives
	UnservedResponseP99Ms float64 `json:"tell_p99_ms"`       // 99th percentile of the time to the response of these jobs, milliseconds
	WorstKind             float64 `json:"worst_kind"`        // lowest Worth of any kind of job
	WorstLarge            float64 `json:"worst_large"`       // lowest Worth of the largest tenth of the jobs of any kind
	WorstZone             float64 `json:"worst_zone"`        // lowest Worth of any zone
	ServedLater           float64 `json:"served_later"`      // share of the refused jobs that completed when resubmitted
	ServedLaterSeconds    float64 `json:"later_s"`           // mean time of these jobs from the first submission to completion, seconds
	FalseEjections        float64 `json:"doubts_of_sound"`   // ejections of upstreams without a fault, per deployment
	FalseSilences         float64 `json:"silences_of_sound"` // times that upstreams without a fault counted as silent, per deployment
}

// earned returns the worth that was earned with a job. A job whose tasks always fail counts as
// served when its response says that it failed.
func (sim *simulation) earned(o outcome) float64 {
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

// worthSum sums up the worth that was earned with some jobs, and the worth that was possible.
type worthSum struct{ earned, possible float64 }

func (s *worthSum) add(earned, possible float64) {
	s.earned += earned
	s.possible += possible
}

func (s worthSum) value() float64 {
	if s.possible == 0 {
		return 1
	}
	return s.earned / s.possible
}

func sentInPeak(j *customerJob) bool { return j.sentAt >= peakStart && j.sentAt < peakEnd }

// metrics returns the metrics of a completed simulation, except for Bound.
func (sim *simulation) metrics() Metrics {
	var m Metrics
	var total, peak worthSum
	byKind, largeByKind := make([]worthSum, len(sim.deployment.kinds)), make([]worthSum, len(sim.deployment.kinds))
	byZone := make([]worthSum, len(sim.deployment.zones))
	var unservedRatios []float64
	var unservedMs []float64
	for _, o := range sim.outcomes {
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
	n := float64(len(sim.outcomes))
	for _, v := range []*float64{&m.InTime, &m.Late, &m.Refused, &m.RefusedWithRoom, &m.GivenUp, &m.Failed} {
		*v /= n
	}
	m.Worth, m.PeakWorth = total.value(), peak.value()
	m.WorstKind, m.WorstLarge, m.WorstZone = lowest(byKind), lowest(largeByKind), lowest(byZone)
	m.UnservedResponseP50, m.UnservedResponseP90, m.UnservedResponseP99Ms = quantile(unservedRatios, 0.5), quantile(unservedRatios, 0.9), quantile(unservedMs, 0.99)
	m.Wasted = sim.wastedCoreSeconds / lo.SumBy(sim.deployment.jobs, (*customerJob).coreSeconds)
	if refused := m.Refused * n; refused > 0 && sim.servedLater > 0 {
		m.ServedLater, m.ServedLaterSeconds = float64(sim.servedLater)/refused, sim.servedLaterSeconds/float64(sim.servedLater)
	}
	m.FalseEjections, m.FalseSilences = float64(sim.falseEjections), float64(sim.falseSilences)
	return m
}

// count adds a job to the counter for its outcome. Until all jobs have been counted, the
// fields that are shares of jobs hold numbers of jobs.
func (m *Metrics) count(o outcome, objective time.Duration) {
	switch {
	case o.Verdict == ingress.Completed && o.responseTime <= objective:
		m.InTime++
	case o.Verdict == ingress.Completed:
		m.Late++
	case o.Verdict == ingress.NotRun:
		m.Refused++
		if o.hadRoom {
			m.RefusedWithRoom++
		}
	case o.Verdict == ingress.Failed:
		m.Failed++
	default:
		m.GivenUp++
	}
}

// lowest returns the lowest share of worth that was earned.
func lowest(sums []worthSum) float64 {
	return lo.Min(lo.Map(sums, func(s worthSum, _ int) float64 { return s.value() }))
}

// quantile returns the quantile q of the values, which it sorts, or 0 if there are none.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}

// standardErrors95 is half the width of a 95% confidence interval in standard errors.
const standardErrors95 = 1.96

// confidenceInterval returns the mean of the values and half the width of its 95% confidence
// interval. The width is 0 for a single value, which has no confidence interval.
func confidenceInterval(values []float64) (mean, half float64) {
	n := float64(len(values))
	mean = lo.Sum(values) / n
	if n < 2 {
		return mean, 0
	}
	sum := lo.SumBy(values, func(v float64) float64 { return (v - mean) * (v - mean) })
	return mean, standardErrors95 * math.Sqrt(sum/(n-1)/n)
}
