package lab

import (
	"math"
	"time"

	"github.com/samber/lo"
)

const (
	// boundPeriod is the length of the periods into which worthBound divides the
	// simulated time.
	boundPeriod  = 250 * time.Millisecond
	boundPeriods = int((workloadLength + customerTimeout) / boundPeriod)
	// The search for prices in worthBound has two stages. The first stage uses one price
	// from the start of the peak period until some time after its end, and 0 otherwise. It
	// tries all multiples of priceStep up to maxPrice, and times up to maxTail. The second
	// stage changes the prices of single periods by refinementStep where that lowers the
	// bound, refinementRounds times. Prices are in units of worthPerCoreSecond.
	maxPrice         = 2.0
	priceStep        = 0.25
	maxTail          = 4 * time.Second
	refinementRounds = 2
	refinementStep   = 0.15
)

// worthBound returns an upper bound of the share of the worth of all jobs that any policy
// can earn. It solves a relaxed problem, in which all arrivals and durations are known in
// advance, and work can be divided at will and spread over all upstreams. The only
// constraints are the CPU capacity in each period and the time in which the work of a job
// must be done: between its sending and its latency objective, or maxLateFactor times the
// objective for the worth of a late job.
//
// This is a linear program. By weak duality, any choice of a CPU price for each period
// yields an upper bound: the price of the whole capacity plus, for each job, its worth less
// the price of its work in the period in which this difference is largest. The bound is
// valid for all prices; a search looks for prices that make it low.
func (d *deployment) worthBound() float64 {
	capacity := d.periodCapacities()
	scale := d.worthPerCoreSecond()
	bound := math.Inf(1)
	var prices []float64
	for price := 0.0; price <= maxPrice; price += priceStep {
		for until := peakEnd; until <= peakEnd+maxTail; until += 2 * boundPeriod {
			candidate := make([]float64, boundPeriods)
			for t := range candidate {
				if at := time.Duration(t) * boundPeriod; at >= peakStart && at < until {
					candidate[t] = price * scale
				}
			}
			if candidateBound := d.boundAtPrices(candidate, capacity); candidateBound < bound {
				bound, prices = candidateBound, candidate
			}
		}
	}
	for range refinementRounds {
		bound = d.refinePrices(prices, capacity, bound, scale)
	}
	total := lo.SumBy(d.jobs, func(j *customerJob) float64 { return j.worth })
	return min(1, bound/total)
}

// refinePrices raises or lowers the price of each period, one after the other, where that
// lowers the bound. Bound is the current bound, and scale the unit of refinementStep. It
// returns the new bound.
func (d *deployment) refinePrices(prices, capacity []float64, bound, scale float64) float64 {
	for t := range prices {
		for _, change := range []float64{-refinementStep, refinementStep} {
			previous := prices[t]
			prices[t] = max(0, previous+change*scale)
			if changed := d.boundAtPrices(prices, capacity); changed < bound {
				bound = changed
			} else {
				prices[t] = previous
			}
		}
	}
	return bound
}

// boundAtPrices returns the upper bound of the worth that results from the given prices.
func (d *deployment) boundAtPrices(prices, capacity []float64) float64 {
	bound := 0.0
	for t, price := range prices {
		bound += price * capacity[t]
	}
	for _, j := range d.jobs {
		bound += d.maxSurplus(j, prices)
	}
	return bound
}

// periodCapacities returns the CPU capacity of all upstreams in each period, in
// core-seconds.
func (d *deployment) periodCapacities() []float64 {
	capacity := make([]float64, boundPeriods)
	for t := range capacity {
		at := time.Duration(t) * boundPeriod
		faultActive := at >= faultStart && at < faultEnd
		for i, u := range d.upstreams {
			rate := 1.0
			if faultActive && d.isFaulty(i) {
				rate = 0
				if d.fault == SlowUpstreams {
					rate = 1 / d.slowdown
				}
			}
			capacity[t] += rate * float64(u.Capacity.MilliCPU) / 1000 * boundPeriod.Seconds()
		}
	}
	return capacity
}

// worthPerCoreSecond returns the worth of all jobs divided by their work.
func (d *deployment) worthPerCoreSecond() float64 {
	worth, size := 0.0, 0.0
	for _, j := range d.jobs {
		worth += j.worth
		size += j.coreSeconds()
	}
	return worth / size
}

// maxSurplus returns the largest difference, over all periods, between the worth of a job
// and the price of its work. It is 0 if the price exceeds the worth in all periods.
func (d *deployment) maxSurplus(j *customerJob, prices []float64) float64 {
	objective := j.objective(&d.kinds[j.kind].route)
	surplus := 0.0
	for t := int(j.sentAt / boundPeriod); t < boundPeriods; t++ {
		at := time.Duration(t) * boundPeriod
		worth := j.worth
		switch {
		case at > j.sentAt+maxLateFactor*objective:
			return surplus
		case at > j.sentAt+objective:
			worth *= lateWorthShare
		}
		surplus = max(surplus, worth-j.coreSeconds()*prices[t])
	}
	return surplus
}
