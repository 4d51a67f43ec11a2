package lab

import (
	"cmp"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/platform/standin"
	"github.com/sedgehatch/sedgehatch/schedule"

	"github.com/samber/lo"
)

const (
	// zoneHop is how long a message between availability zones takes.
	zoneHop = 500 * time.Microsecond
	// ownViews is how often the coordinators of a zone hear of the load of its
	// owner, and farViews those of other zones.
	ownViews = 100 * time.Millisecond
	farViews = 250 * time.Millisecond
	// startTimeout, lookTimeout and callTimeout are when calls to upstreams count as
	// unanswered: those that the product's owners use on a sound network.
	startTimeout = 20 * time.Millisecond
	lookTimeout  = 40 * time.Millisecond
	callTimeout  = 150 * time.Millisecond
	// stopTime is the longest time that an upstream takes to stop a task,
	// milliseconds.
	stopTime = 50
	// retryPause is the pause after a report that did not come.
	retryPause = 20 * time.Millisecond
	tick       = 25 * time.Millisecond
	patience   = 10 * time.Second
	// longestReturn is the longest that a customer is told to wait, and a second.
	longestReturn = 31 * time.Second
)

// world is a deployment at work: a group and coordinators in each zone.
type world struct {
	*standin.Simulation
	d         *deployment
	began     time.Time
	upstreams map[string]*standin.SimulatedUpstream
	groups    []*group
	instances [][]*instance // by zone
	outcomes  []outcome
	wasted    float64 // core-seconds of work that did not serve
	// doubts and silences are of upstreams that the trouble does not strike.
	doubts, silences int
	// servedLater is how many refused jobs were served when they were sent again,
	// and laterSeconds how long these took from their first sending, together.
	servedLater  int
	laterSeconds float64
}

// outcome is what became of a customer's job.
type outcome struct {
	ingress.Response
	job  *customerJob
	took time.Duration
	room bool // all its tasks would have fitted when it was answered
}

// group is the pool of one zone.
type group struct {
	w       *world
	name    string
	pool    *schedule.Pool
	answers map[schedule.JobKey]owner.OfferCallbacks
}

// Policies are the rules of one run.
type Policies struct {
	Schedule schedule.Policy
	Ingress  ingress.Policy
}

// run plays a deployment's day.
func run(d *deployment, seed uint64, p Policies) *world {
	began := time.Unix(1_000_000, 0)
	w := &world{Simulation: standin.NewSimulation(began, seed), d: d, began: began, upstreams: map[string]*standin.SimulatedUpstream{}}
	byID := map[string]*customerJob{}
	for _, j := range d.jobs {
		byID[j.id] = j
	}
	for _, u := range d.upstreams {
		w.upstreams[u.ID] = w.newUpstream(u, byID)
	}
	for _, zone := range d.zones {
		w.groups = append(w.groups, w.newGroup(zone, p))
	}
	for _, g := range w.groups {
		w.instances = append(w.instances, w.newInstances(g, p))
	}
	w.tellLoads(true, cmp.Or(d.setup.Views, ownViews))
	w.tellLoads(false, cmp.Or(d.setup.Views, farViews))
	for i, j := range d.jobs {
		at := w.instances[j.zone][i%len(w.instances[j.zone])]
		w.AfterFunc(time.Second+j.sent, func() { w.submit(j, at) })
	}
	w.AfterFunc(time.Second+troubleFrom, func() { w.setTrouble(true) })
	w.AfterFunc(time.Second+troubleFrom, w.addUpstreams)
	w.AfterFunc(time.Second+troubleUntil, func() { w.setTrouble(false) })
	w.Run(began.Add(time.Second + dayLength + patience + time.Duration(d.setup.Returns)*longestReturn))
	return w
}

func (w *world) newUpstream(u fleet.Upstream, byID map[string]*customerJob) *standin.SimulatedUpstream {
	starts := map[fleet.Run]time.Time{}
	s := w.NewUpstream(u, func(r fleet.Run) (time.Duration, fleet.Resources) {
		j := byID[r.Task.Job]
		return j.works[r.Task.Index], j.demand
	})
	s.StopTime = func() time.Duration { return w.RandMillis(0, stopTime) }
	s.OnStart = func(r fleet.Run) { starts[r] = w.Now() }
	s.ShouldFail = func(r fleet.Run) bool { return byID[r.Task.Job].ownFault }
	freed := s.OnEnd
	s.OnEnd = func(r fleet.Run, end fleet.End) {
		if end != fleet.EndDone {
			w.wasted += w.Now().Sub(starts[r]).Seconds() * float64(byID[r.Task.Job].demand.MilliCPU) / 1000
		}
		delete(starts, r)
		freed(r, end)
	}
	return s
}

// setTrouble begins or ends the trouble of the day.
func (w *world) setTrouble(on bool) {
	for i, u := range w.d.upstreams {
		s := w.upstreams[u.ID]
		struck := on && w.d.strikes(i)
		switch w.d.trouble {
		case Failing:
			s.Failing = struck
		case Slow:
			s.SlowdownFactor = 1
			if struck {
				s.SlowdownFactor = w.d.slowness
			}
		case Stalled:
			s.Stalled = struck
		case Cut:
			s.Partitioned = struck
		case Unanswered:
			s.LateShare = 0
			if on {
				s.LateShare = w.d.troubled / 2
			}
		}
	}
}

// strikes reports whether the trouble strikes the upstream of a number. Those
// struck are spread over the zones.
func (d *deployment) strikes(i int) bool {
	if d.trouble == Calm || d.trouble == Unanswered {
		return false
	}
	return int(float64(i+1)*d.troubled) > int(float64(i)*d.troubled)
}

func (w *world) newGroup(zone string, p Policies) *group {
	cfg := schedule.DefaultConfig
	cfg.Policy = p.Schedule
	g := &group{w: w, name: zone, pool: schedule.NewPool(cfg, 1), answers: map[schedule.JobKey]owner.OfferCallbacks{}}
	g.setUpstreams(false)
	g.ticks()
	return g
}

// setUpstreams gives the group the upstreams of its zone, also those that are added
// later.
func (g *group) setUpstreams(all bool) {
	list := lo.Filter(g.w.d.upstreams, func(u fleet.Upstream, _ int) bool { return u.Zone == g.name })
	of := len(list)
	list = lo.Filter(list, func(_ fleet.Upstream, i int) bool { return all || !g.w.d.isAdded(i, of) })
	added, effects := g.pool.SetUpstreams(g.w.Now(), list)
	g.apply(effects)
	for _, id := range added {
		g.follow(id)
	}
}

func (w *world) addUpstreams() {
	if w.d.setup.Added == 0 {
		return
	}
	for _, g := range w.groups {
		g.setUpstreams(true)
	}
}

// submit sends a job, and again where its customer was refused and comes back.
func (w *world) submit(j *customerJob, at *instance) {
	first := w.Now()
	w.send(j, at, func(a ingress.Response) {
		w.outcomes = append(w.outcomes, outcome{Response: a, job: j, took: w.Now().Sub(first), room: w.hasRoom(j)})
		w.comeBack(j, at, a, first, w.d.setup.Returns)
	})
}

func (w *world) send(j *customerJob, at *instance, answered func(ingress.Response)) {
	k := w.d.kinds[j.kind]
	job := &fleet.Job{ID: j.id, Steps: []fleet.Step{{Count: len(j.works), Demand: j.demand, Estimate: j.estimate}}}
	timeUp := at.coordinator.Start(ingress.Request{Job: job, Route: &k.route, Timeout: patience}, answered)
	w.AfterFunc(patience, timeUp)
}

// comeBack sends a refused job again when its customer was told to.
func (w *world) comeBack(j *customerJob, at *instance, a ingress.Response, first time.Time, left int) {
	switch {
	case a.Verdict == ingress.Completed && left < w.d.setup.Returns:
		w.servedLater++
		w.laterSeconds += w.Now().Sub(first).Seconds()
	case a.Verdict == ingress.NotRun && left > 0:
		spread := time.Duration(w.Rand.Float64() * float64(time.Second)) // no two clients are in step
		w.AfterFunc(a.RetryAfter+spread, func() {
			w.send(j, at, func(a ingress.Response) { w.comeBack(j, at, a, first, left-1) })
		})
	}
}

// hasRoom reports whether all tasks of a job fit now, in all groups together.
func (w *world) hasRoom(j *customerJob) bool {
	free := 0
	for _, g := range w.groups {
		free += g.pool.Load(w.Now()).Free
	}
	return free >= len(j.works)
}

func (g *group) take(o schedule.Offer, answer owner.OfferCallbacks) {
	g.answers[o.Key] = answer
	g.apply(g.pool.Offer(g.w.Now(), o))
}

// apply carries out what the pool decided.
func (g *group) apply(e schedule.Effects) {
	for _, d := range e.Decisions {
		switch {
		case g.w.struck(d.Upstream):
		case d.Kind == schedule.DecidedEject:
			g.w.doubts++
		case d.Kind == schedule.DecidedSilent:
			g.w.silences++
		}
	}
	for _, s := range e.Starts {
		g.w.upstreams[s.Upstream.ID].CallStart(s.Order, startTimeout, func(r fleet.Refusal, err error) {
			g.apply(g.pool.HandleStartResponse(g.w.Now(), s.Upstream.Incarnation(), s.Order.Run, r, err))
		})
	}
	for _, s := range e.Stops {
		g.w.upstreams[s.Upstream.ID].CallStop(s.Run, g.pool.Token(), callTimeout, func(err error) {
			g.apply(g.pool.HandleStopResponse(g.w.Now(), s.Upstream.Incarnation(), s.Run, err))
		})
	}
	for _, id := range e.Polls {
		if _, o, known := g.pool.PollOrder(g.w.Now(), id); known {
			g.hold(id, o, func(bool) {})
		}
	}
	g.tell(e)
}

// tell passes results on.
func (g *group) tell(e schedule.Effects) {
	for _, r := range e.Returns {
		if a, known := g.answers[r.Key]; known {
			a.TasksReturned(r, g.pool.Load(g.w.Now()))
		}
	}
	for _, r := range e.Results {
		if a, known := g.answers[r.Key]; known {
			delete(g.answers, r.Key)
			a.OfferEnded(r, g.pool.Load(g.w.Now()))
		}
	}
}

func (w *world) struck(id string) bool {
	for i, u := range w.d.upstreams {
		if u.ID == id {
			return w.d.strikes(i)
		}
	}
	return false
}

func (g *group) hold(id string, o fleet.HoldOrder, then func(ok bool)) {
	sent := g.w.Now()
	timeout := callTimeout
	if o.WaitMs == 0 {
		timeout = lookTimeout
	}
	g.w.upstreams[id].CallHold(o, timeout, func(report fleet.Report, err error) {
		g.apply(g.pool.HandleHoldResponse(g.w.Now(), fleet.UpstreamIncarnation{ID: id}, sent, report, err))
		then(err == nil)
	})
}

// follow keeps asking for the reports of one upstream.
func (g *group) follow(id string) {
	_, o, known := g.pool.HoldOrder(g.w.Now(), id)
	if !known {
		return
	}
	g.hold(id, o, func(ok bool) {
		if ok {
			g.follow(id)
			return
		}
		g.w.AfterFunc(retryPause, func() { g.follow(id) })
	})
}

func (g *group) ticks() {
	g.apply(g.pool.Tick(g.w.Now()))
	g.w.AfterFunc(tick, g.ticks)
}
