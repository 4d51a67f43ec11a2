// Package lab measures policies of decision in virtual time: the coordinators
// and pools of the product run on drawn deployments, against simulated upstreams
// and customers, side by side on the same seeds. A run repeats exactly.
package lab

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// Trouble is what goes wrong on a drawn deployment.
type Trouble string

// The troubles. Mixed draws one of the others, or none, for each seed.
const (
	Calm       Trouble = "none"
	Failing    Trouble = "failing"    // some upstreams fail all that they run
	Slow       Trouble = "slow"       // some upstreams take several times as long
	Stalled    Trouble = "stalled"    // on some upstreams tasks stand still
	Unanswered Trouble = "unanswered" // calls to all upstreams are lost, or carried out late
	Cut        Trouble = "cut"        // some upstreams are silent
	Mixed      Trouble = "mixed"
)

// Troubles lists all of them.
var Troubles = []Trouble{Calm, Failing, Slow, Stalled, Unanswered, Cut, Mixed}

// Setup bounds what is drawn.
type Setup struct {
	// Load is the load of the crowded stretch as a share of the room; 0 draws
	// it between 0.5 and 2.
	Load    float64
	Trouble Trouble
	// Share is the share of upstreams, or of calls, that the trouble strikes; 0
	// draws it.
	Share float64
	// Size is the mean size of a task as a share of the smaller upstreams; 0 draws it
	// between 0.15 and 0.45.
	Size float64
	// Zones is how many availability zones there are; 0 draws 2 to 4. Each has a
	// group.
	Zones int
	// Returns is how often a refused customer comes back at most, when it was
	// told to.
	Returns int
	// Coordinators is how many coordinators each zone has; 0 is 1. The first is
	// beside the owner and knows its load; the others are told.
	Coordinators int
	// Views is how often owners tell their load; 0 is what the product does:
	// ownViews in the zone, farViews elsewhere.
	Views time.Duration
	// Shift is the share of the first zone's customers that are in the second for
	// the crowded stretch.
	Shift float64
	// Added is the share of each zone's upstreams that are there only from the
	// start of the trouble on.
	Added float64
}

// The days that are drawn. All have an ordinary load, a crowded stretch, and an
// ordinary end in which what waits may finish.
const (
	dayLength     = 14 * time.Second
	crowdedFrom   = 4 * time.Second
	crowdedUntil  = 10 * time.Second
	ordinaryLoad  = 0.7
	troubleFrom   = 4500 * time.Millisecond
	troubleUntil  = 10 * time.Second
	minLoad       = 0.5
	maxLoad       = 2.0
	taskSpread    = 0.15 // between tasks of one job
	jobSpread     = 0.4  // between jobs of one kind, and of declared times
	ownFaultShare = 0.002
)

// kind is one kind of job: a route with its usual sizes.
type kind struct {
	route    fleet.Route
	work     time.Duration // of one task, mean
	width    float64       // mean
	milliCPU float64       // mean
	worth    float64       // of a job of mean size
	perTime  float64       // jobs a second in all zones, at a load of 1
}

// deployment is one drawn installation with its day.
type deployment struct {
	zones     []string
	share     []float64 // of the jobs, by zone
	upstreams []fleet.Upstream
	kinds     []kind
	load      float64
	trouble   Trouble
	troubled  float64 // share that it strikes
	slowness  float64
	setup     Setup
	jobs      []*customerJob
}

// customerJob is a job as its customer sends it.
type customerJob struct {
	id       string
	kind     int
	zone     int
	sent     time.Duration // since the start of the day
	demand   fleet.Resources
	works    []time.Duration // of each task on a sound upstream
	estimate time.Duration
	worth    float64
	large    bool // among the largest tenth of its kind
	ownFault bool // its tasks fail wherever they run
}

// objective is the time within which the job is in time.
func (j *customerJob) objective(r *fleet.Route) time.Duration {
	return time.Duration(r.Stretch*float64(slices.Max(j.works))) + r.Slack
}

// size is the work of the job, core-seconds.
func (j *customerJob) size() float64 {
	sum := 0.0
	for _, w := range j.works {
		sum += w.Seconds()
	}
	return sum * float64(j.demand.MilliCPU) / 1000
}

// draw draws a deployment and its day.
func draw(seed uint64, s Setup) *deployment {
	rng := rand.New(rand.NewPCG(seed, 77))
	d := &deployment{load: s.Load, trouble: s.Trouble, troubled: s.Share, setup: s}
	if d.load == 0 {
		d.load = minLoad + (maxLoad-minLoad)*rng.Float64()
	}
	if d.trouble == Mixed || d.trouble == "" {
		d.trouble = []Trouble{Calm, Calm, Failing, Slow, Stalled, Unanswered, Cut}[rng.IntN(7)]
	}
	if d.troubled == 0 {
		d.troubled = []float64{0.05, 0.1, 0.25, 0.4}[rng.IntN(4)]
	}
	d.slowness = 3 + 4*rng.Float64()
	capacity := d.drawUpstreams(rng)
	d.drawKinds(rng, capacity)
	d.drawJobs(rng)
	return d
}

// MostZones is how many availability zones a deployment may have: a day of 64 takes
// some seconds.
const MostZones = 64

// MostCoordinators is how many coordinators a zone may have: each owner tells all of
// them.
const MostCoordinators = 200

// unitCPU is the size of the smaller upstreams, thousandths of a core.
const unitCPU = 64000

// drawUpstreams returns the capacity of all, thousandths of a core.
func (d *deployment) drawUpstreams(rng *rand.Rand) float64 {
	capacity := 0.0
	drawn, each := 2+rng.IntN(3), 8+rng.IntN(13)
	zones := cmp.Or(d.setup.Zones, drawn)
	for z := range zones {
		d.zones = append(d.zones, fmt.Sprintf("z%d", z))
		d.share = append(d.share, 0.7+0.6*rng.Float64())
		for i := range each {
			cpu := int64(unitCPU)
			if i%3 == 2 {
				cpu = unitCPU * 3 / 2
			}
			capacity += float64(cpu)
			d.upstreams = append(d.upstreams, fleet.Upstream{
				ID: fmt.Sprintf("%s-u%02d", d.zones[z], i), Service: service, Zone: d.zones[z], Capacity: fleet.Resources{MilliCPU: cpu, MemoryMB: 1 << 20},
			})
		}
	}
	return capacity
}

const service = "service"

// usedShare is how much of the upstreams' room tasks can use at most: the rest
// is lost since they do not fit exactly.
const usedShare = 0.85

// drawKinds draws kinds of jobs that together take a load of 1, and that are
// worth the same in all.
func (d *deployment) drawKinds(rng *rand.Rand, capacity float64) {
	n := 2 + rng.IntN(2)
	size := unitCPU * (0.15 + 0.3*rng.Float64())
	if d.setup.Size > 0 {
		size = unitCPU * d.setup.Size
	}
	shares := make([]float64, n)
	sum := 0.0
	for i := range shares {
		shares[i] = 0.3 + rng.Float64()
		sum += shares[i]
	}
	for i := range n {
		k := kind{
			route: fleet.Route{
				Name: fmt.Sprintf("kind-%d", i), Service: service, MaxAttempts: 2 + rng.IntN(3), Priority: rng.IntN(3),
				Stretch: 1.4 + 0.8*rng.Float64(), Slack: time.Duration(40+rng.IntN(60)) * time.Millisecond,
			},
			work:  time.Duration(50*math.Pow(20, rng.Float64())) * time.Millisecond,
			width: 1 + 7*rng.Float64(), milliCPU: size,
		}
		each := k.work.Seconds() * k.width * k.milliCPU
		k.perTime = capacity * usedShare * shares[i] / sum / each
		k.worth = 1 / k.perTime
		d.kinds = append(d.kinds, k)
	}
}

// lognormal draws around a mean.
func lognormal(rng *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*rng.NormFloat64()-spread*spread/2)
}

// drawJobs draws the arrivals of the day, in order.
func (d *deployment) drawJobs(rng *rand.Rand) {
	for i, k := range d.kinds {
		for at := time.Duration(0); at < dayLength; {
			load := ordinaryLoad
			if at >= crowdedFrom && at < crowdedUntil {
				load = d.load
			}
			at += time.Duration(rng.ExpFloat64() / (k.perTime * load) * float64(time.Second))
			d.jobs = append(d.jobs, d.drawJob(rng, i, at))
		}
	}
	slices.SortStableFunc(d.jobs, func(a, b *customerJob) int { return int(a.sent - b.sent) })
	d.markLarge()
}

func (d *deployment) drawJob(rng *rand.Rand, i int, at time.Duration) *customerJob {
	k := &d.kinds[i]
	j := &customerJob{
		id: fmt.Sprintf("%016x", len(d.jobs)+1), kind: i, zone: d.shifted(d.drawZone(rng), at, rng), sent: at,
		demand:   fleet.Resources{MilliCPU: int64(min(lognormal(rng, k.milliCPU, 0.2), unitCPU)), MemoryMB: 64},
		ownFault: rng.Float64() < ownFaultShare,
	}
	base := lognormal(rng, k.work.Seconds(), jobSpread)
	width := max(1, int(lognormal(rng, k.width, jobSpread)+0.5))
	for range width {
		j.works = append(j.works, time.Duration(lognormal(rng, base, taskSpread)*float64(time.Second)))
	}
	j.estimate = time.Duration(lognormal(rng, base, jobSpread) * float64(time.Second)).Round(time.Millisecond)
	mean := k.work.Seconds() * k.width * k.milliCPU / 1000
	j.worth = k.worth * min(0.3+0.7*j.size()/mean, 4)
	return j
}

func (d *deployment) drawZone(rng *rand.Rand) int {
	sum := 0.0
	for _, s := range d.share {
		sum += s
	}
	toll := rng.Float64() * sum
	for z, s := range d.share {
		if toll -= s; toll < 0 {
			return z
		}
	}
	return len(d.share) - 1
}

// shifted returns the zone in which a customer of a zone is at a time.
func (d *deployment) shifted(zone int, at time.Duration, rng *rand.Rand) int {
	if d.setup.Shift > 0 && zone == 0 && at >= crowdedFrom && at < crowdedUntil && rng.Float64() < d.setup.Shift {
		return 1
	}
	return zone
}

// isAdded reports whether the upstream of a number in its zone, of so many, comes
// later.
func (d *deployment) isAdded(number, of int) bool {
	return float64(number) >= (1-d.setup.Added)*float64(of)
}

// markLarge marks the largest tenth of each kind.
func (d *deployment) markLarge() {
	for i := range d.kinds {
		var sizes []float64
		for _, j := range d.jobs {
			if j.kind == i {
				sizes = append(sizes, j.size())
			}
		}
		slices.Sort(sizes)
		for _, j := range d.jobs {
			j.large = j.large || j.kind == i && j.size() >= sizes[len(sizes)*9/10]
		}
	}
}
