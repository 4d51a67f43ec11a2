package lab

import (
	"math"
	"time"

	"github.com/samber/lo"
)

const (
	// boundPeriod is the length of the periods into which worthBound divides the simulated
	// time, and boundPeriods their number.
	boundPeriod  = 250 * time.Millisecond
	boundPeriods = int((workloadLength + customerTimeout) / boundPeriod)
	// The search for CPU prices in worthBound has two stages. Prices are given here as
	// multiples of worthPerCoreSecond.
	//
	// The first stage assumes one price from the start of the peak period until some time
	// after its end, and a price of 0 at all other times. It tries all multiples of priceStep
	// up to maxPrice, combined with ends up to maxTail after the peak.
	//
	// The second stage goes through the periods refinementRounds times. It raises or lowers
	// the price of one period at a time by refinementStep, and keeps the change if it lowers
	// the bound.
	maxPrice         = 2.0
	priceStep        = 0.25
	maxTail          = 4 * time.Second
	refinementRounds = 2
	refinementStep   = 0.15
)

// worthBound returns an upper bound of the worth that any policy can earn, as a share of the
// worth of all jobs. It is a bound for a relaxed problem: all arrivals and durations are known
// in advance, and work can be divided at will and spread over all upstreams. Two constraints
// remain:
//   - The work done in a period must not exceed the CPU capacity of that period.
//   - The work of a job must be done after the job is sent. To earn the full worth, it must be
//     done within the latency objective; to earn the worth of a late job, within maxLateFactor
//     times the objective.
//
// This is a linear program. By weak duality, any choice of a CPU price for each period gives an
// upper bound. The bound is the price of the whole capacity plus the surpluses of all jobs. The
// surplus of a job is its worth less the price of its work, in whichever period this is largest,
// but at least 0. Since the bound is valid for all prices, a simple search for prices that make
// it low is sufficient.
//
// Of the CPU capacity, only the given share can be used. With the share 1 the result is a bound
// that counts cores only; with that of packedShare it shows what sizes cost that do not go
// together.
func (d *deployment) worthBound(usable float64) float64 {
	capacity := lo.Map(d.periodCapacities(), func(c float64, _ int) float64 { return usable * c })
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

// refinePrices changes the price of one period after the other by refinementStep, up or down, if
// that lowers the bound. Bound is the bound at the given prices, and scale the unit of
// refinementStep. It returns the new bound.
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

// boundAtPrices returns the upper bound of the earned worth that results from the given CPU price
// of each period.
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

// periodCapacities returns the CPU capacity of all upstreams together in each period, in
// core-seconds. Faulty upstreams have none during the fault, or a reduced one if they are slow.
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

// worthPerCoreSecond returns the worth of all jobs divided by their work, which is the unit of
// prices.
func (d *deployment) worthPerCoreSecond() float64 {
	worth, size := 0.0, 0.0
	for _, j := range d.jobs {
		worth += j.worth
		size += j.coreSeconds()
	}
	return worth / size
}

// maxSurplus returns the surplus of a job in its most favourable period: the worth that it earns
// if it is done in that period, less the price of its work there. It is 0 if the price exceeds
// the worth in all periods.
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
