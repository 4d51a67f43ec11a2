package lab

import (
	"math"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/ingress"

	"github.com/samber/lo"
)

const (
	// lateShare is the part of a job's worth that it still has when it is late,
	// and lateFactor how many times its objective it may take for that.
	lateShare  = 0.2
	lateFactor = 3
)

// Figures is what one policy reached on one or several deployments. Shares are
// of jobs, but for those of worth.
type Figures struct {
	Worth   float64 `json:"worth"`         // share of the worth that was earned
	Crowd   float64 `json:"worth_crowded"` // the same of jobs sent in the crowded stretch
	Bound   float64 `json:"bound"`         // of Worth: what no policy can exceed
	InTime  float64 `json:"in_time"`
	Late    float64 `json:"late"`
	Refused float64 `json:"refused"` // not run
	Room    float64 `json:"refused_with_room"`
	GivenUp float64 `json:"given_up"` // after something of it began
	Failed  float64 `json:"failed"`
	Wasted  float64 `json:"wasted"`      // work that did not serve, against all that was asked for
	TellP50 float64 `json:"tell_p50"`    // time to the answer of jobs that were not served, objectives
	TellP90 float64 `json:"tell_p90"`    //
	TellP99 float64 `json:"tell_p99_ms"` // the same, milliseconds
	Kind    float64 `json:"worst_kind"`  // share of worth of the worst kind
	Large   float64 `json:"worst_large"` // of the worst largest tenth of a kind
	Zone    float64 `json:"worst_zone"`
	Later   float64 `json:"served_later"`    // share of the refused that were served when they came back
	LaterS  float64 `json:"later_s"`         // how long that took from the first sending, on average, seconds
	Doubts  float64 `json:"doubts_of_sound"` // per day
	Silent  float64 `json:"silences_of_sound"`
}

// earned is the worth that a job brought.
func (w *world) earned(o outcome) float64 {
	objective := o.job.objective(&w.d.kinds[o.job.kind].route)
	served := o.Verdict == ingress.Completed || o.Verdict == ingress.Failed && o.job.ownFault
	switch {
	case served && o.took <= objective:
		return o.job.worth
	case served && o.took <= lateFactor*objective:
		return lateShare * o.job.worth
	default:
		return 0
	}
}

// share sums up what was earned of some jobs.
type share struct{ earned, owed float64 }

func (s *share) add(earned, owed float64) {
	s.earned += earned
	s.owed += owed
}

func (s share) value() float64 {
	if s.owed == 0 {
		return 1
	}
	return s.earned / s.owed
}

func crowded(j *customerJob) bool { return j.sent >= crowdedFrom && j.sent < crowdedUntil }

// figures sums up a run.
func (w *world) figures() Figures {
	var f Figures
	var all, crowd share
	kinds, large := make([]share, len(w.d.kinds)), make([]share, len(w.d.kinds))
	zones := make([]share, len(w.d.zones))
	var tell []float64
	var tellMs []float64
	for _, o := range w.outcomes {
		j, earned := o.job, w.earned(o)
		all.add(earned, j.worth)
		kinds[j.kind].add(earned, j.worth)
		zones[j.zone].add(earned, j.worth)
		if j.large {
			large[j.kind].add(earned, j.worth)
		}
		if crowded(j) {
			crowd.add(earned, j.worth)
		}
		objective := j.objective(&w.d.kinds[j.kind].route)
		f.count(o, objective)
		if o.Verdict != ingress.Completed && o.Verdict != ingress.Failed {
			tell = append(tell, o.took.Seconds()/objective.Seconds())
			tellMs = append(tellMs, float64(o.took)/float64(time.Millisecond))
		}
	}
	n := float64(len(w.outcomes))
	for _, v := range []*float64{&f.InTime, &f.Late, &f.Refused, &f.Room, &f.GivenUp, &f.Failed} {
		*v /= n
	}
	f.Worth, f.Crowd = all.value(), crowd.value()
	f.Kind, f.Large, f.Zone = worst(kinds), worst(large), worst(zones)
	f.TellP50, f.TellP90, f.TellP99 = quantile(tell, 0.5), quantile(tell, 0.9), quantile(tellMs, 0.99)
	f.Wasted = w.wasted / lo.SumBy(w.d.jobs, (*customerJob).size)
	if refused := f.Refused * n; refused > 0 && w.servedLater > 0 {
		f.Later, f.LaterS = float64(w.servedLater)/refused, w.laterSeconds/float64(w.servedLater)
	}
	f.Doubts, f.Silent = float64(w.doubts), float64(w.silences)
	return f
}

func (f *Figures) count(o outcome, objective time.Duration) {
	switch {
	case o.Verdict == ingress.Completed && o.took <= objective:
		f.InTime++
	case o.Verdict == ingress.Completed:
		f.Late++
	case o.Verdict == ingress.NotRun:
		f.Refused++
		if o.room {
			f.Room++
		}
	case o.Verdict == ingress.Failed:
		f.Failed++
	default:
		f.GivenUp++
	}
}

func worst(shares []share) float64 {
	return lo.Min(lo.Map(shares, func(s share, _ int) float64 { return s.value() }))
}

// quantile returns a quantile, and 0 of nothing.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[int(q*float64(len(values)-1)+0.5)]
}

// confidence is how many standard errors a 95% confidence interval reaches.
const confidence = 1.96

// interval returns the mean of values and half their confidence interval; 0 for a
// single value, which has none.
func interval(values []float64) (mean, half float64) {
	n := float64(len(values))
	mean = lo.Sum(values) / n
	if n < 2 {
		return mean, 0
	}
	sum := lo.SumBy(values, func(v float64) float64 { return (v - mean) * (v - mean) })
	return mean, confidence * math.Sqrt(sum/(n-1)/n)
}
