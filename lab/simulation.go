package lab

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/platform/standin"
	"github.com/sedgehatch/sedgehatch/schedule"

	"github.com/samber/lo"
)

const (
	// messageLatency is the latency of a message between a coordinator and an owner on
	// different instances.
	messageLatency = 500 * time.Microsecond
	// zoneReportInterval is the interval at which an owner reports its load to the
	// coordinators in its own zone, remoteReportInterval that to those in other zones.
	zoneReportInterval   = 100 * time.Millisecond
	remoteReportInterval = 250 * time.Millisecond
	// The timeouts below apply to these calls to upstreams:
	//   - startTimeout: orders to start a run
	//   - pollTimeout: requests for a report that the upstream must send at once
	//   - callTimeout: all other calls
	//
	// They stand for the time after which package owner treats such a call as lost while the
	// network works normally. That package allows somewhat more for polls, at least 75 ms.
	startTimeout = 20 * time.Millisecond
	pollTimeout  = 40 * time.Millisecond
	callTimeout  = 150 * time.Millisecond
	// maxStopMs is the maximum time, in milliseconds, that an upstream takes to end a run after
	// a stop order.
	maxStopMs = 50
	// pollRetryDelay is the delay before a report is requested again after a request failed.
	pollRetryDelay = 20 * time.Millisecond
	// tickInterval is the interval between calls of Pool.Tick.
	tickInterval = 25 * time.Millisecond
	// customerTimeout is how long customers wait for a response.
	customerTimeout = 10 * time.Second
	// maxResubmitDelay is the maximum time between the refusal of a job and its resubmission.
	// It is the sum of the longest delay that a refusal asks for, 30 s, and up to 1 s of jitter
	// that the customer adds.
	maxResubmitDelay = 31 * time.Second
)

// simulation is one run of the product's coordinators and pools on a deployment. Each zone has a
// group of upstreams, with the pool of its owner, and one or more instances with a coordinator.
type simulation struct {
	*standin.Simulation
	deployment        *deployment
	startTime         time.Time
	choices           *rand.Rand // of the coordinators
	upstreams         map[string]*standin.SimulatedUpstream
	groups            []*group
	instances         [][]*instance // by zone
	firstResponses    []firstResponse
	wastedCoreSeconds float64 // CPU time of runs that were stopped, failed or lost their lease
	slowStops         int     // runs that were stopped because they were slow or stalled, on upstreams that the fault does not affect
	starts            int     // runs that were ordered
	// falseEjections and falseSilences are the numbers of wrong decisions of the pools about
	// upstreams that the fault does not affect: to eject one (give it no work for a while), and
	// to treat one as silent (not responding).
	falseEjections, falseSilences int
	// servedLater is the number of jobs that were refused at first and completed after a
	// resubmission. servedLaterSeconds is the sum of their times from the first submission to
	// the response.
	servedLater        int
	servedLaterSeconds float64
	room               schedule.RoomUse // how the capacity was used in the peak period, while the pools were crowded
}

// firstResponse is the response to the first submission of a job.
type firstResponse struct {
	ingress.Response
	job          *customerJob
	responseTime time.Duration
	hadRoom      bool // at the time of the response, there was free capacity for all tasks of the job
}

// group is the group of upstreams of one zone, with the pool of its owner.
type group struct {
	sim       *simulation
	name      string
	pool      *schedule.Pool
	callbacks map[schedule.JobKey]owner.OfferCallbacks
}

// Policies holds the policies of the pools (Schedule) and of the coordinators (Ingress) in a
// simulation.
type Policies struct {
	Schedule schedule.Policy
	Ingress  ingress.Policy
}

// simulate runs the simulation of a deployment. The lead, or else the workload, starts after one second, when the
// pools have received the first reports of the upstreams. The simulation goes on after the end
// of the workload, to cover the time in which customers wait for responses and resubmit refused
// jobs.
func simulate(d *deployment, seed uint64, p Policies) *simulation {
	start := time.Unix(1_000_000, 0)
	sim := &simulation{Simulation: standin.NewSimulation(start, seed), deployment: d, startTime: start, choices: rand.New(rand.NewPCG(seed, 2)), upstreams: map[string]*standin.SimulatedUpstream{}}
	jobs := map[string]*customerJob{}
	for _, j := range slices.Concat(d.jobs, d.leadJobs) {
		jobs[j.id] = j
	}
	for i, u := range d.upstreams {
		sim.upstreams[u.ID] = sim.newUpstream(u, d.speedFactor(i), jobs)
	}
	for _, zone := range d.zones {
		sim.groups = append(sim.groups, sim.newGroup(zone, p))
	}
	for _, g := range sim.groups {
		sim.instances = append(sim.instances, sim.newInstances(g, p))
	}
	sim.reportLoads(true, cmp.Or(d.setup.LoadReportInterval, zoneReportInterval))
	sim.reportLoads(false, cmp.Or(d.setup.LoadReportInterval, remoteReportInterval))
	workloadStart := time.Second + d.setup.Lead
	for i, j := range d.jobs {
		to := sim.instances[j.zone][i%len(sim.instances[j.zone])]
		sim.AfterFunc(workloadStart+j.sentAt, func() { sim.submit(j, to) })
	}
	sim.startLead(workloadStart)
	sim.AfterFunc(workloadStart+faultStart, func() { sim.setFault(true) })
	sim.AfterFunc(workloadStart+faultStart, sim.addUpstreams)
	if d.fault == LeavingUpstreams {
		sim.AfterFunc(workloadStart+faultStart, sim.drainFaulty)
	}
	sim.AfterFunc(workloadStart+faultEnd, func() { sim.setFault(false) })
	sim.Run(start.Add(workloadStart + workloadLength + customerTimeout + time.Duration(d.setup.MaxResubmissions)*maxResubmitDelay))
	return sim
}

// startLead submits the jobs that are sent before the workload, and measures nothing until then.
func (sim *simulation) startLead(workloadStart time.Duration) {
	for i, j := range sim.deployment.leadJobs {
		to := sim.instances[j.zone][i%len(sim.instances[j.zone])]
		sim.AfterFunc(workloadStart+j.sentAt, func() { sim.send(j, to, func(ingress.Response) {}) })
	}
	sim.AfterFunc(workloadStart, func() {
		sim.wastedCoreSeconds, sim.slowStops, sim.starts, sim.falseEjections, sim.falseSilences = 0, 0, 0, 0, 0
	})
}

// newUpstream returns a simulated upstream on which tasks take speedFactor times the time given in
// jobs, which is indexed by job ID. CPU time of runs that do not end as done is added to
// wastedCoreSeconds.
func (sim *simulation) newUpstream(u fleet.Upstream, speedFactor float64, jobs map[string]*customerJob) *standin.SimulatedUpstream {
	startTimes := map[fleet.Run]time.Time{}
	s := sim.NewUpstream(u, func(r fleet.Run) (time.Duration, fleet.Resources) {
		j := jobs[r.Task.Job]
		return time.Duration(speedFactor * float64(j.taskDurations[r.Task.Index])), j.demand
	})
	s.StopTime = func() time.Duration { return sim.RandMillis(0, maxStopMs) }
	s.OnStart = func(r fleet.Run) { startTimes[r] = sim.Now() }
	s.ShouldFail = func(r fleet.Run) bool { return jobs[r.Task.Job].alwaysFails }
	onEnd := s.OnEnd
	s.OnEnd = func(r fleet.Run, end fleet.End) {
		if end != fleet.EndDone {
			sim.wastedCoreSeconds += sim.Now().Sub(startTimes[r]).Seconds() * float64(jobs[r.Task.Job].demand.MilliCPU) / 1000
		}
		delete(startTimes, r)
		onEnd(r, end)
	}
	return s
}

// newGroup returns the group of a zone, without the upstreams that are added later, and starts
// the periodic calls of Pool.Tick.
func (sim *simulation) newGroup(zone string, p Policies) *group {
	cfg := schedule.DefaultConfig
	cfg.Policy = p.Schedule
	g := &group{sim: sim, name: zone, pool: schedule.NewPool(cfg, 1), callbacks: map[schedule.JobKey]owner.OfferCallbacks{}}
	g.setUpstreams(false)
	g.scheduleTicks()
	return g
}

// setUpstreams makes the group use all upstreams of its zone, or, if all is not set, all but
// those that are added later.
func (g *group) setUpstreams(all bool) {
	list := lo.Filter(g.sim.deployment.upstreams, func(u fleet.Upstream, _ int) bool { return u.Zone == g.name })
	count := len(list)
	list = lo.Filter(list, func(_ fleet.Upstream, i int) bool { return all || !g.sim.deployment.isAddedLater(i, count) })
	added, effects := g.pool.SetUpstreams(g.sim.Now(), list)
	g.apply(effects)
	for _, id := range added {
		g.pollReports(id)
	}
}

// addUpstreams adds the upstreams that are missing at first (Setup.AddedShare) to their groups.
func (sim *simulation) addUpstreams() {
	if sim.deployment.setup.AddedShare == 0 {
		return
	}
	for _, g := range sim.groups {
		g.setUpstreams(true)
	}
}

// submit sends a job for the first time and records the response. If the job is refused, it is
// resubmitted.
func (sim *simulation) submit(j *customerJob, to *instance) {
	firstSent := sim.Now()
	sim.send(j, to, func(response ingress.Response) {
		sim.firstResponses = append(sim.firstResponses, firstResponse{Response: response, job: j, responseTime: sim.Now().Sub(firstSent), hadRoom: sim.hasRoom(j)})
		sim.resubmitIfRefused(j, to, response, firstSent, sim.deployment.setup.MaxResubmissions)
	})
}

// send sends a job to the coordinator of an instance. OnResponse is called with the response, at
// the latest after customerTimeout.
func (sim *simulation) send(j *customerJob, to *instance, onResponse func(ingress.Response)) {
	k := sim.deployment.kinds[j.kind]
	job := &fleet.Job{ID: j.id, Steps: []fleet.Step{{Count: len(j.taskDurations), Demand: j.demand, Estimate: j.estimate}}}
	onTimeout := to.coordinator.Start(ingress.Request{Job: job, Route: &k.route, Timeout: customerTimeout}, onResponse)
	sim.AfterFunc(customerTimeout, onTimeout)
}

// resubmitIfRefused handles the response to a submission of a job. A refused job is resubmitted
// after the delay that the response asks for, as long as resubmissions remain. A job that has
// completed after at least one resubmission is counted in servedLater.
func (sim *simulation) resubmitIfRefused(j *customerJob, to *instance, response ingress.Response, firstSent time.Time, remaining int) {
	switch {
	case response.Verdict == ingress.Completed && remaining < sim.deployment.setup.MaxResubmissions:
		sim.servedLater++
		sim.servedLaterSeconds += sim.Now().Sub(firstSent).Seconds()
	case response.Verdict == ingress.NotRun && remaining > 0:
		jitter := time.Duration(sim.Rand.Float64() * float64(time.Second)) // spreads the resubmissions of customers that were given the same delay
		sim.AfterFunc(response.RetryAfter+jitter, func() {
			sim.send(j, to, func(next ingress.Response) { sim.resubmitIfRefused(j, to, next, firstSent, remaining-1) })
		})
	}
}

// hasRoom reports whether the groups together now have free capacity for all tasks of a job.
func (sim *simulation) hasRoom(j *customerJob) bool {
	free := 0
	for _, g := range sim.groups {
		free += g.pool.Load(sim.Now()).Free
	}
	return free >= len(j.taskDurations)
}

// offer offers tasks of a job to the pool of the group.
func (g *group) offer(o schedule.Offer, callbacks owner.OfferCallbacks) {
	g.callbacks[o.Key] = callbacks
	g.apply(g.pool.Offer(g.sim.Now(), o))
}

// apply carries out the effects that the pool has returned: it makes the calls to upstreams and
// passes results to the callbacks of offers. It also counts the pool's wrong decisions about
// upstreams without a fault, and adds up the use of the capacity.
func (g *group) apply(e schedule.Effects) {
	if at := g.sim.Now().Sub(g.sim.startTime) - time.Second; at >= peakStart && at < peakEnd {
		g.sim.room = g.sim.room.Plus(e.Room)
	}
	for _, d := range e.Decisions {
		switch {
		case g.sim.hasFault(d.Upstream): // the decision is right
		case d.Kind == schedule.DecidedEject:
			g.sim.falseEjections++
		case d.Kind == schedule.DecidedSilent:
			g.sim.falseSilences++
		case d.Kind == schedule.DecidedStop && d.Reason == "slow":
			g.sim.slowStops++
		}
	}
	g.sim.starts += len(e.Starts)
	for _, start := range e.Starts {
		g.sim.upstreams[start.Upstream.ID].CallStart(start.Order, startTimeout, func(r fleet.Refusal, err error) {
			g.apply(g.pool.HandleStartResponse(g.sim.Now(), start.Upstream.Incarnation(), start.Order.Run, r, err))
		})
	}
	for _, stop := range e.Stops {
		g.sim.upstreams[stop.Upstream.ID].CallStop(stop.Run, g.pool.Token(), callTimeout, func(err error) {
			g.apply(g.pool.HandleStopResponse(g.sim.Now(), stop.Upstream.Incarnation(), stop.Run, err))
		})
	}
	for _, id := range e.Polls {
		if _, o, found := g.pool.PollOrder(g.sim.Now(), id); found {
			g.sendHoldOrder(id, o, func(bool) {})
		}
	}
	g.deliverResults(e)
}

// deliverResults passes the returned tasks and the ends of offers in the effects to the callbacks
// of these offers.
func (g *group) deliverResults(e schedule.Effects) {
	for _, r := range e.Returns {
		if callbacks, found := g.callbacks[r.Key]; found {
			callbacks.TasksReturned(r, g.pool.Load(g.sim.Now()))
		}
	}
	for _, r := range e.Results {
		if callbacks, found := g.callbacks[r.Key]; found {
			delete(g.callbacks, r.Key)
			callbacks.OfferEnded(r, g.pool.Load(g.sim.Now()))
		}
	}
}

// sendHoldOrder sends an order to renew the leases of its runs and to report to an upstream, and
// passes the report to the pool. It then calls onDone, with ok set if the upstream responded.
func (g *group) sendHoldOrder(id string, o fleet.HoldOrder, onDone func(ok bool)) {
	sent := g.sim.Now()
	timeout := callTimeout
	if o.WaitMs == 0 {
		timeout = pollTimeout
	}
	g.sim.upstreams[id].CallHold(o, timeout, func(report fleet.Report, err error) {
		g.apply(g.pool.HandleHoldResponse(g.sim.Now(), fleet.UpstreamIncarnation{ID: id}, sent, report, err))
		onDone(err == nil)
	})
}

// pollReports sends one hold order after the other to an upstream, as long as it belongs to the
// pool. After an order without a response, it waits for pollRetryDelay.
func (g *group) pollReports(id string) {
	_, o, found := g.pool.HoldOrder(g.sim.Now(), id)
	if !found {
		return
	}
	g.sendHoldOrder(id, o, func(ok bool) {
		if ok {
			g.pollReports(id)
			return
		}
		g.sim.AfterFunc(pollRetryDelay, func() { g.pollReports(id) })
	})
}

// scheduleTicks calls Pool.Tick at once, and again every tickInterval.
func (g *group) scheduleTicks() {
	g.apply(g.pool.Tick(g.sim.Now()))
	g.sim.AfterFunc(tickInterval, g.scheduleTicks)
}
