package lab

import (
	"math"
	"time"

	"github.com/samber/lo"
)

const (
	boundSlot  = 250 * time.Millisecond
	boundSlots = int((dayLength + patience) / boundSlot)
	// Prices are tried up to highestPrice by priceStep, as shares of the usual
	// worth of a core-second, from the crowded stretch to longestTail after it;
	// then each slot's is changed by slotStep, boundSweeps times.
	highestPrice = 2.0
	priceStep    = 0.25
	longestTail  = 4 * time.Second
	boundSweeps  = 2
	slotStep     = 0.15
)

// bound returns a share of the day's worth that no policy can exceed. It knows all arrivals and all run times in advance, and lets work
// be cut into any pieces and spread over all upstreams; only the room in cores
// counts, and that work is done between a job's sending and its objective, or
// three times that for the worth of a late one. For any price of the room in
// each slot, what the room costs plus what jobs bring beyond the price of their
// cheapest slot bounds what can be earned (weak duality of the linear
// programme). The prices are searched
// for: any would bound.
func (d *deployment) bound() float64 {
	capacity := d.slotCapacity()
	scale := d.priceScale()
	most := math.Inf(1)
	var prices []float64
	for price := 0.0; price <= highestPrice; price += priceStep {
		for until := crowdedUntil; until <= crowdedUntil+longestTail; until += 2 * boundSlot {
			tried := make([]float64, boundSlots)
			for t := range tried {
				if at := time.Duration(t) * boundSlot; at >= crowdedFrom && at < until {
					tried[t] = price * scale
				}
			}
			if sum := d.atPrices(tried, capacity); sum < most {
				most, prices = sum, tried
			}
		}
	}
	for range boundSweeps {
		most = d.improve(prices, capacity, most, scale)
	}
	owed := lo.SumBy(d.jobs, func(j *customerJob) float64 { return j.worth })
	return min(1, most/owed)
}

// improve changes the price of one slot after the other where that lowers the
// bound, which it returns.
func (d *deployment) improve(prices, capacity []float64, most, scale float64) float64 {
	for t := range prices {
		for _, change := range []float64{-slotStep, slotStep} {
			before := prices[t]
			prices[t] = max(0, before+change*scale)
			if sum := d.atPrices(prices, capacity); sum < most {
				most = sum
			} else {
				prices[t] = before
			}
		}
	}
	return most
}

// atPrices returns the most that can be earned, by the bound of these prices.
func (d *deployment) atPrices(prices, capacity []float64) float64 {
	most := 0.0
	for t, price := range prices {
		most += price * capacity[t]
	}
	for _, j := range d.jobs {
		most += d.bestGain(j, prices)
	}
	return most
}

// slotCapacity returns the core-seconds of each slot.
func (d *deployment) slotCapacity() []float64 {
	capacity := make([]float64, boundSlots)
	for t := range capacity {
		at := time.Duration(t) * boundSlot
		struck := at >= troubleFrom && at < troubleUntil
		for i, u := range d.upstreams {
			rate := 1.0
			if struck && d.strikes(i) {
				rate = 0
				if d.trouble == Slow {
					rate = 1 / d.slowness
				}
			}
			capacity[t] += rate * float64(u.Capacity.MilliCPU) / 1000 * boundSlot.Seconds()
		}
	}
	return capacity
}

// priceScale is the worth of a core-second of the mean job.
func (d *deployment) priceScale() float64 {
	worth, size := 0.0, 0.0
	for _, j := range d.jobs {
		worth += j.worth
		size += j.size()
	}
	return worth / size
}

// bestGain returns the most that a job can bring beyond the price of its room.
func (d *deployment) bestGain(j *customerJob, prices []float64) float64 {
	objective := j.objective(&d.kinds[j.kind].route)
	gain := 0.0
	for t := int(j.sent / boundSlot); t < boundSlots; t++ {
		at := time.Duration(t) * boundSlot
		worth := j.worth
		switch {
		case at > j.sent+lateFactor*objective:
			return gain
		case at > j.sent+objective:
			worth *= lateShare
		}
		gain = max(gain, worth-j.size()*prices[t])
	}
	return gain
}
