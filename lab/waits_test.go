package lab

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// shortAmongLong returns a deployment with one upstream for two tasks in each zone. Nine tenths of
// the work are long tasks. The rest are short ones, which are in time only where a long one ends soon.
func shortAmongLong(seed uint64, s Setup) *deployment {
	s.Fault = NoFault
	d := generate(seed, s)
	d.upstreams = d.upstreams[:0]
	for _, zone := range d.zones {
		d.upstreams = append(d.upstreams, fleet.Upstream{ID: zone + "-u00", Service: service, Zone: zone, Capacity: fleet.Resources{MilliCPU: 2000, MemoryMB: 1 << 20}})
	}
	d.kinds = d.kinds[:2]
	slots := float64(2 * len(d.zones))
	for i, k := range []struct {
		duration time.Duration
		share    float64
	}{{800 * time.Millisecond, 0.9}, {60 * time.Millisecond, 0.1}} {
		d.kinds[i].route.Stretch, d.kinds[i].route.Slack = 1.6, 40*time.Millisecond
		d.kinds[i].taskDuration, d.kinds[i].taskCount, d.kinds[i].milliCPU = k.duration, 1, 1000
		d.kinds[i].arrivalRate = slots * k.share / k.duration.Seconds()
		d.kinds[i].worth = 1
	}
	d.jobs = nil
	d.generateJobs(rand.New(rand.NewPCG(seed, 79)))
	for _, j := range d.jobs {
		j.taskDurations = []time.Duration{j.taskDurations[0]}
		j.demand.MilliCPU, j.estimate, j.worth = 1000, j.taskDurations[0], 1
	}
	return d
}

// TestShortAmongLong checks the behaviour of a crowd of short jobs among long tasks, at 1.6 times the
// capacity and with several groups. The owners report when the next long tasks end, so that the
// coordinators know where a short job can be in time, if anywhere:
//   - A refused job has been offered twice at most, on average.
//   - Half of the refused jobs get their response within a tenth of their objective.
//   - No more jobs are refused than without the rules, in total and while there is free capacity.
//
// Without the rules, refused jobs are offered about three times.
func TestShortAmongLong(t *testing.T) {
	const seeds = 12
	s := Setup{Load: 1.6, Zones: 4, CoordinatorsPerZone: 2}
	var results []Metrics
	for _, v := range variants(t, "KnowWaits,RejectKnown") {
		var list []Metrics
		for seed := range uint64(seeds) {
			list = append(list, simulate(shortAmongLong(seed, s), seed, v.Policies).metrics())
		}
		results = append(results, mean(list))
	}
	m, without := results[0], results[1]
	if m.Offers > 2 || m.RejectedAtOnce == 0 {
		t.Errorf("%.2f offers per refused job, share rejected at once %.4f; want at most 2, and some rejected at once", m.Offers, m.RejectedAtOnce)
	}
	if m.UnservedResponseP50 > 0.1 {
		t.Errorf("median response time of refused jobs is %.2f of the objective, want at most 0.1", m.UnservedResponseP50)
	}
	if m.Worth < without.Worth || m.Refused > without.Refused || m.RefusedWithRoom > without.RefusedWithRoom {
		t.Errorf("worth %.4f, refused %.4f, with free capacity %.4f; without the rules %.4f, %.4f, %.4f", m.Worth, m.Refused, m.RefusedWithRoom, without.Worth, without.Refused, without.RefusedWithRoom)
	}
	if without.Offers < 2.5 {
		t.Errorf("%.2f offers per refused job without the rules, so that the crowd does not show them", without.Offers)
	}
}
