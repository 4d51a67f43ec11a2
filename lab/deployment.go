// Package lab compares scheduling policies by simulation in virtual time. The code under test
// is that of the product: the coordinators, which accept jobs from customers and offer their
// tasks to owners (package ingress), and the pools, with which owners decide what runs on the
// upstreams of their group (package schedule). Upstreams and customers are simulated.
//
// A deployment is a randomly generated set of zones and upstreams, with a workload (the jobs
// that customers send) and a fault. Each variant, a set of policies to compare, runs on
// deployments generated from the same seeds. Results are reproducible: the same seed and
// policies give the same result. Variants are compared by the worth that they earn: each job has
// a worth, which is earned in full if the job completes within its latency objective, and in
// part if it completes somewhat later.
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

// Fault is the kind of fault that is injected into a deployment.
type Fault string

// The kinds of faults. MixedFaults selects one of the others at random for each seed.
const (
	NoFault              Fault = "none"
	FailingUpstreams     Fault = "failing"    // all tasks on some upstreams fail
	SlowUpstreams        Fault = "slow"       // tasks on some upstreams take 3 to 7 times as long
	StalledUpstreams     Fault = "stalled"    // tasks on some upstreams make no progress
	UnansweredCalls      Fault = "unanswered" // a share of the calls to every upstream is executed late and gets no response
	PartitionedUpstreams Fault = "cut"        // some upstreams are unreachable
	LeavingUpstreams     Fault = "leaving"    // some upstreams drain and leave after Setup.Notice; MixedFaults does not select it
	MixedFaults          Fault = "mixed"
)

// Faults lists all kinds of faults.
var Faults = []Fault{NoFault, FailingUpstreams, SlowUpstreams, StalledUpstreams, UnansweredCalls, PartitionedUpstreams, LeavingUpstreams, MixedFaults}

// Setup holds the parameters with which deployments are generated.
type Setup struct {
	// Load is the load in the peak period as a share of the usable capacity (maxUtilization).
	// If it is 0, a random value between minLoad and maxLoad is used.
	Load  float64
	Fault Fault // "" means MixedFaults
	// FaultShare is the share of the upstreams that the fault affects. If Fault is
	// UnansweredCalls, all upstreams are affected, and half of FaultShare is the share of the
	// calls that get no response. If FaultShare is 0, a random value is used.
	FaultShare float64
	// TaskSize is the mean CPU demand of a task as a share of the capacity of the smaller
	// upstreams. If it is 0, a random value between 0.15 and 0.45 is used.
	TaskSize float64
	// MaxTaskSize limits the CPU demand of a task, as a share of the capacity of the smaller
	// upstreams; 0 means 1.
	MaxTaskSize float64
	// Zones is the number of availability zones. If it is 0, a random number from 2 to 4 is
	// used. The upstreams of each zone form one group, which one owner schedules.
	Zones int
	// MaxResubmissions is the maximum number of times that a customer resubmits a job
	// that has not run, each time after the delay that the response asks for.
	MaxResubmissions int
	// CoordinatorsPerZone is the number of coordinators in each zone; 0 means 1. The first
	// coordinator of a zone runs on the same instance as the owner of the zone's group, and
	// always knows the current load of this owner. Apart from that, coordinators know the
	// loads of owners only from reports.
	CoordinatorsPerZone int
	// LoadReportInterval is the interval at which owners report their load to coordinators. If
	// it is 0, the intervals of the product are used: zoneReportInterval within a zone and
	// remoteReportInterval between zones.
	LoadReportInterval time.Duration
	// ShiftedShare is the share of the jobs of the first zone's customers that are sent to
	// coordinators in the second zone during the peak period.
	ShiftedShare float64
	// AddedShare is the share of each zone's upstreams that are missing at first and added at
	// faultStart.
	AddedShare float64
	// Notice is how long leaving upstreams say that they stay (LeavingUpstreams); 0 means
	// defaultNotice.
	Notice time.Duration
	// SpeedFactors are factors by which tasks take longer on the upstreams of each zone at all
	// times, by turns. Without any, all upstreams are equally fast.
	SpeedFactors []float64
	// Lead is how long the base load lasts before the workload. It is not measured.
	Lead time.Duration
}

// The workload of all deployments starts with a base load, continues with a peak period, and
// ends with the base load again, during which the jobs still waiting from the peak can finish.
// All times count from the start of the workload.
const (
	workloadLength = 14 * time.Second
	peakStart      = 4 * time.Second
	peakEnd        = 10 * time.Second
	baseLoad       = 0.7 // share of the usable capacity, as Setup.Load
	faultStart     = 4500 * time.Millisecond
	faultEnd       = 10 * time.Second
	defaultNotice  = 1800 * time.Millisecond
	minLoad        = 0.5
	maxLoad        = 2.0
	taskSigma      = 0.15 // sigma of the lognormal distribution of the task durations within a job
	jobSigma       = 0.4  // the same for the task counts and mean task durations of the jobs of a kind, and for the estimates of customers
	// alwaysFailingShare is the share of jobs whose tasks fail wherever they run.
	alwaysFailingShare = 0.002
)

// jobKind describes the jobs of one route.
type jobKind struct {
	route        fleet.Route
	taskDuration time.Duration // mean duration of a task
	taskCount    float64       // mean number of tasks of a job
	milliCPU     float64       // mean CPU demand of a task, in thousandths of a core
	worth        float64       // worth of a job of mean size, in an arbitrary unit
	arrivalRate  float64       // jobs per second in all zones together, at a load of 1
}

// deployment is a randomly generated deployment with its workload and its fault.
type deployment struct {
	zones       []string
	zoneWeights []float64 // relative numbers of jobs of the zones' customers
	upstreams   []fleet.Upstream
	kinds       []jobKind
	load        float64 // load in the peak period
	fault       Fault
	faultShare  float64 // as Setup.FaultShare
	slowdown    float64 // factor by which tasks on slow upstreams take longer
	setup       Setup
	jobs        []*customerJob
	leadJobs    []*customerJob // sent before the workload
}

// customerJob is a job that a customer sends.
type customerJob struct {
	id            string
	kind          int             // index in deployment.kinds
	zone          int             // index in deployment.zones of the zone that the job is sent to
	sentAt        time.Duration   // since the start of the workload; negative during the lead
	demand        fleet.Resources // of each task
	taskDurations []time.Duration // duration of each task on an upstream without a fault
	estimate      time.Duration   // duration of a task as declared by the customer
	worth         float64         // earned in full if the job completes within its latency objective
	large         bool            // among the tenth of its kind with the most work
	alwaysFails   bool            // its tasks fail wherever they run
}

// objective returns the latency objective of the job, within which it must complete to earn its
// full worth. It is computed from the real duration of the longest task, whereas the product
// can only use the customer's estimate.
func (j *customerJob) objective(r *fleet.Route) time.Duration {
	return time.Duration(r.Stretch*float64(slices.Max(j.taskDurations))) + r.Slack
}

// coreSeconds returns the work of the job: the CPU time that all its tasks take together.
func (j *customerJob) coreSeconds() float64 {
	sum := 0.0
	for _, w := range j.taskDurations {
		sum += w.Seconds()
	}
	return sum * float64(j.demand.MilliCPU) / 1000
}

// generate returns a random deployment with the parameters of s. Parameters for which s allows a
// random value are drawn.
func generate(seed uint64, s Setup) *deployment {
	rng := rand.New(rand.NewPCG(seed, 77))
	d := &deployment{load: s.Load, fault: s.Fault, faultShare: s.FaultShare, setup: s}
	if d.load == 0 {
		d.load = minLoad + (maxLoad-minLoad)*rng.Float64()
	}
	if d.fault == MixedFaults || d.fault == "" {
		d.fault = []Fault{NoFault, NoFault, FailingUpstreams, SlowUpstreams, StalledUpstreams, UnansweredCalls, PartitionedUpstreams}[rng.IntN(7)]
	}
	if d.faultShare == 0 {
		d.faultShare = []float64{0.05, 0.1, 0.25, 0.4}[rng.IntN(4)]
	}
	d.slowdown = 3 + 4*rng.Float64()
	capacity := d.generateUpstreams(rng)
	d.generateKinds(rng, capacity)
	d.generateJobs(rng)
	return d
}

// MaxZones is the maximum number of availability zones of a deployment. It is limited because
// the simulation of 64 zones already takes several seconds.
const MaxZones = 64

// MaxCoordinators is the maximum number of coordinators in a zone. It is limited because each
// owner reports its load to all coordinators, so that the time of a simulation grows with their
// number.
const MaxCoordinators = 200

// smallUpstreamCPU is the capacity of the smaller upstreams in thousandths of a core. Every
// third upstream has one and a half times this capacity.
const smallUpstreamCPU = 64000

// generateUpstreams generates the zones with their upstreams, and the weights by which the jobs
// are distributed over the zones. It returns the total capacity of the upstreams in thousandths
// of a core.
func (d *deployment) generateUpstreams(rng *rand.Rand) float64 {
	capacity := 0.0
	zoneCount, perZone := 2+rng.IntN(3), 8+rng.IntN(13)
	zones := cmp.Or(d.setup.Zones, zoneCount)
	for z := range zones {
		d.zones = append(d.zones, fmt.Sprintf("z%d", z))
		d.zoneWeights = append(d.zoneWeights, 0.7+0.6*rng.Float64())
		for i := range perZone {
			cpu := int64(smallUpstreamCPU)
			if i%3 == 2 {
				cpu = smallUpstreamCPU * 3 / 2
			}
			capacity += float64(cpu)
			d.upstreams = append(d.upstreams, fleet.Upstream{
				ID: fmt.Sprintf("%s-u%02d", d.zones[z], i), Service: service, Zone: d.zones[z], Capacity: fleet.Resources{MilliCPU: cpu, MemoryMB: 1 << 20},
			})
		}
	}
	return capacity
}

// service is the service that all upstreams run and that all jobs need.
const service = "service"

// maxUtilization is the share of the total capacity that counts as usable, which is a load of 1.
// The rest cannot be used, because tasks do not fill the upstreams exactly.
const maxUtilization = 0.85

// generateKinds generates the kinds of jobs. At a load of 1, the jobs of all kinds together need
// exactly the usable capacity. Each kind contributes the same worth per second.
func (d *deployment) generateKinds(rng *rand.Rand, capacity float64) {
	n := 2 + rng.IntN(2)
	size := smallUpstreamCPU * (0.15 + 0.3*rng.Float64())
	if d.setup.TaskSize > 0 {
		size = smallUpstreamCPU * d.setup.TaskSize
	}
	shares := make([]float64, n)
	sum := 0.0
	for i := range shares {
		shares[i] = 0.3 + rng.Float64()
		sum += shares[i]
	}
	for i := range n {
		k := jobKind{
			route: fleet.Route{
				Name: fmt.Sprintf("kind-%d", i), Service: service, MaxAttempts: 2 + rng.IntN(3), Priority: rng.IntN(3),
				Stretch: 1.4 + 0.8*rng.Float64(), Slack: time.Duration(40+rng.IntN(60)) * time.Millisecond,
			},
			taskDuration: time.Duration(50*math.Pow(20, rng.Float64())) * time.Millisecond,
			taskCount:    1 + 7*rng.Float64(), milliCPU: size,
		}
		workPerJob := k.taskDuration.Seconds() * k.taskCount * k.milliCPU
		k.arrivalRate = capacity * maxUtilization * shares[i] / sum / workPerJob
		k.worth = 1 / k.arrivalRate
		d.kinds = append(d.kinds, k)
	}
}

// lognormal returns a lognormally distributed random number. Mean is the mean of the distribution,
// and sigma the standard deviation of the logarithm.
func lognormal(rng *rand.Rand, mean, sigma float64) float64 {
	return mean * math.Exp(sigma*rng.NormFloat64()-sigma*sigma/2)
}

// generateJobs generates the jobs of the workload and orders them by the time at which they are
// sent.
func (d *deployment) generateJobs(rng *rand.Rand) {
	for i, k := range d.kinds {
		for at := time.Duration(0); at < workloadLength; {
			load := baseLoad
			if at >= peakStart && at < peakEnd {
				load = d.load
			}
			at += time.Duration(rng.ExpFloat64() / (k.arrivalRate * load) * float64(time.Second))
			d.jobs = append(d.jobs, d.generateJob(rng, i, at))
		}
	}
	slices.SortStableFunc(d.jobs, func(a, b *customerJob) int { return int(a.sentAt - b.sentAt) })
	d.markLarge()
	d.generateLead(rng)
}

// generateLead generates the jobs that are sent before the workload.
func (d *deployment) generateLead(rng *rand.Rand) {
	for i, k := range d.kinds {
		for at := -d.setup.Lead; at < 0; {
			d.leadJobs = append(d.leadJobs, d.generateJob(rng, i, at))
			at += time.Duration(rng.ExpFloat64() / (k.arrivalRate * baseLoad) * float64(time.Second))
		}
	}
}

func (d *deployment) generateJob(rng *rand.Rand, kind int, at time.Duration) *customerJob {
	k := &d.kinds[kind]
	j := &customerJob{
		id: fmt.Sprintf("%016x", len(d.jobs)+len(d.leadJobs)+1), kind: kind, zone: d.zoneAt(d.randomZone(rng), at, rng), sentAt: at,
		demand:      fleet.Resources{MilliCPU: int64(min(lognormal(rng, k.milliCPU, 0.2), smallUpstreamCPU*cmp.Or(d.setup.MaxTaskSize, 1))), MemoryMB: 64},
		alwaysFails: rng.Float64() < alwaysFailingShare,
	}
	meanDuration := lognormal(rng, k.taskDuration.Seconds(), jobSigma)
	tasks := max(1, int(lognormal(rng, k.taskCount, jobSigma)+0.5))
	for range tasks {
		j.taskDurations = append(j.taskDurations, time.Duration(lognormal(rng, meanDuration, taskSigma)*float64(time.Second)))
	}
	j.estimate = time.Duration(lognormal(rng, meanDuration, jobSigma) * float64(time.Second)).Round(time.Millisecond)
	meanCoreSeconds := k.taskDuration.Seconds() * k.taskCount * k.milliCPU / 1000
	j.worth = k.worth * min(0.3+0.7*j.coreSeconds()/meanCoreSeconds, 4)
	return j
}

// randomZone returns the index of a random zone, each with a probability proportional to its
// zoneWeights.
func (d *deployment) randomZone(rng *rand.Rand) int {
	sum := 0.0
	for _, s := range d.zoneWeights {
		sum += s
	}
	point := rng.Float64() * sum
	for z, s := range d.zoneWeights {
		if point -= s; point < 0 {
			return z
		}
	}
	return len(d.zoneWeights) - 1
}

// zoneAt returns the index of the zone to which a customer of the given zone sends a job at the
// given time. It is the customer's zone, or the second zone for the jobs that are shifted
// (Setup.ShiftedShare).
func (d *deployment) zoneAt(zone int, at time.Duration, rng *rand.Rand) int {
	if d.setup.ShiftedShare > 0 && zone == 0 && at >= peakStart && at < peakEnd && rng.Float64() < d.setup.ShiftedShare {
		return 1
	}
	return zone
}

// isAddedLater reports whether an upstream is missing until faultStart (Setup.AddedShare). Index
// is the upstream's index within its zone, and count the number of upstreams of the zone.
func (d *deployment) isAddedLater(index, count int) bool {
	return float64(index) >= (1-d.setup.AddedShare)*float64(count)
}

// speedFactor returns the factor by which tasks take longer on the upstream with the given index.
func (d *deployment) speedFactor(i int) float64 {
	if len(d.setup.SpeedFactors) == 0 {
		return 1
	}
	return d.setup.SpeedFactors[i%len(d.setup.SpeedFactors)]
}

// markLarge marks, for each kind, the tenth of the jobs with the most work as large.
func (d *deployment) markLarge() {
	for i := range d.kinds {
		var sizes []float64
		for _, j := range d.jobs {
			if j.kind == i {
				sizes = append(sizes, j.coreSeconds())
			}
		}
		slices.Sort(sizes)
		for _, j := range d.jobs {
			j.large = j.large || j.kind == i && j.coreSeconds() >= sizes[len(sizes)*9/10]
		}
	}
}
