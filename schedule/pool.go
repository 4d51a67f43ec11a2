package schedule

import (
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// Pool schedules jobs on a group of upstreams on behalf of the group's owner, under
// the owner's fencing token. It is not safe for concurrent use.
type Pool struct {
	cfg             Config
	token           uint64
	forecastAt      time.Time // when the queue was last checked against a forecast
	upstreams       map[string]*upstream
	sortedUpstreams []*upstream // by ID
	jobs            map[JobKey]*job
	jobsByID        map[string][]*job
	runsByTask      taskRuns  // all tracked runs
	runDemands      demandSum // of all tracked runs
	// coordinatorLeases has an entry for each coordinator that needs a lease and has
	// jobs in the pool.
	coordinatorLeases map[string]*coordinatorLease
	renewalsCheckedAt time.Time // when checkRenewals was last called
	queue             []*job    // jobs with waiting tasks
	adoptions         []*job    // adopting offers
	foundEnds         map[fleet.TaskRef]foundEnd
	waitingTasks      int
	durationsByRoute  map[string]*taskDurations
	crashHistory      crashHistory
	missRate          missRate // over all upstreams
	lastWaits         waitsForecast
	meanSlowdown      float64 // moving average, over the runs on all upstreams, of log(actual duration / expected duration)
	biasByRoute       map[string]*routeBias
	importedSpeeds    map[fleet.UpstreamIncarnation]UpstreamSpeed // of a former owner, for upstreams that the pool does not have yet
	speedsRefreshedAt time.Time                                   // when refreshSpeeds last computed the factors in use
	unevenSpeeds      bool                                        // the factor in use of some upstream is not 1
	link              link
	responseTimeout   time.Duration   // after which the response to a call is overdue
	fencedIDs         map[string]bool // upstreams that have seen a higher fencing token
	fencedAt          time.Time       // when the first of these was noticed
	everAccepted      bool            // some upstream has accepted the fencing token
	upstreamsListed   bool            // SetUpstreams has been called
	draining          bool
	placementDue      bool // an input may have made room for a waiting task, or added one
	account           account
	effects           *Effects // of the input that is being handled
	now               time.Time
}

// NewPool returns an empty pool whose orders carry the given fencing token.
func NewPool(cfg Config, token uint64) *Pool {
	return &Pool{
		cfg: cfg, token: token, link: link{rate: linkShare * cfg.LinkRate}, upstreams: map[string]*upstream{}, jobs: map[JobKey]*job{}, jobsByID: map[string][]*job{},
		runsByTask: taskRuns{}, coordinatorLeases: map[string]*coordinatorLease{}, durationsByRoute: map[string]*taskDurations{},
		biasByRoute: map[string]*routeBias{}, importedSpeeds: map[fleet.UpstreamIncarnation]UpstreamSpeed{},
		foundEnds: map[fleet.TaskRef]foundEnd{}, fencedIDs: map[string]bool{}, crashHistory: crashHistory{tasks: map[fleet.TaskRef]crashRecord{}},
	}
}

func (p *Pool) Token() uint64 { return p.token }

// handle applies one input, starts the waiting tasks that fit now, and returns the effects. Most
// inputs free no capacity, so that waiting tasks need not be looked at until the next tick.
func (p *Pool) handle(now time.Time, input func()) Effects {
	var effects Effects
	p.effects, p.now = &effects, now
	input()
	if p.placementDue || !p.cfg.Policy.PlaceWhenDue {
		p.placeWaiting()
	}
	p.effects = nil
	return effects
}

// SetUpstreams updates the group's upstreams to the given list, which contains the
// entries in the store. It returns the IDs of the upstreams that are new: the caller
// must request the first report of each.
func (p *Pool) SetUpstreams(now time.Time, list []fleet.Upstream) ([]string, Effects) {
	var added []string
	effects := p.handle(now, func() {
		p.upstreamsListed = true
		listed := map[string]bool{}
		for _, u := range list {
			listed[u.ID] = true
			tracked := p.upstreams[u.ID] != nil
			if !p.fencedIDs[u.ID] && (tracked || !p.draining) && p.upsert(u) {
				added = append(added, u.ID)
			}
		}
		for _, u := range p.sortedUpstreams {
			if u.listed && !listed[u.ID] {
				u.listed = false
				u.unlistedAt = now
			}
		}
		p.returnClosed()
	})
	return added, effects
}

// upsert adds or updates the upstream of an entry, and reports whether the upstream is
// new. Once an incarnation is known to be draining, that stays so until it ends.
func (p *Pool) upsert(entry fleet.Upstream) bool {
	u := p.upstreams[entry.ID]
	p.placementDue = true
	switch {
	case u == nil:
		p.insertUpstream(entry)
		return true
	case entry.StartedUnixMs > u.StartedUnixMs:
		u = p.replaceRestarted(u, entry)
	case entry.StartedUnixMs == u.StartedUnixMs:
		entry.Draining = entry.Draining || u.Draining
		entry.LeavesAt = earlierLeaving(entry.LeavesAt, u.LeavesAt)
		u.Upstream, u.entryPending = entry, false
	}
	u.listed = true // even an outdated entry, of a former incarnation, shows that the ID is listed
	return false
}

// FencedAt returns when the pool first noticed that it had lost an upstream to another
// owner, or the zero time if it has lost none. It notices that by a response which shows
// that the upstream has seen a higher fencing token.
func (p *Pool) FencedAt() time.Time { return p.fencedAt }

// EverAccepted reports whether any upstream has accepted the pool's fencing token.
func (p *Pool) EverAccepted() bool { return p.everAccepted }

// Drain makes the pool start no more tasks, and returns the waiting ones to their
// coordinators. Tasks that are running go on.
func (p *Pool) Drain(now time.Time) Effects {
	return p.handle(now, func() {
		p.draining = true
		for _, j := range slices.Clone(p.queue) {
			p.returnAllWaiting(j, "draining")
		}
	})
}

// Release removes those upstreams of a draining pool that run nothing, and returns
// their IDs: another owner may take them over.
func (p *Pool) Release() []string {
	if !p.draining {
		return nil
	}
	var released []string
	for _, u := range slices.Clone(p.sortedUpstreams) {
		if len(u.runs) == 0 {
			p.removeUpstream(u)
			released = append(released, u.ID)
		}
	}
	return released
}

// Idle reports whether the pool has no jobs, and no runs except on silent upstreams.
func (p *Pool) Idle() bool {
	if len(p.jobs) > 0 {
		return false
	}
	for _, u := range p.sortedUpstreams {
		if len(u.runs) > 0 && !u.silent {
			return false
		}
	}
	return true
}

// Offer adds a job to the pool.
func (p *Pool) Offer(now time.Time, o Offer) Effects {
	return p.handle(now, func() {
		if o.AdoptFrom > 0 {
			p.addAdoptingOffer(o)
			return
		}
		p.addOffer(o)
	})
}

// newJob returns the job of an offer, whose tasks are not counted as waiting yet.
func (p *Pool) newJob(o Offer) *job {
	j := &job{Offer: o, offeredAt: p.now, tasks: map[int]*task{}, unfinished: len(o.Tasks), failedOn: map[string]bool{}, history: map[int]TaskHistory{}}
	j.expectedTaskDuration = p.durationsOf(o.Route).estimate(o.Estimate)
	for _, index := range o.Tasks {
		t := &task{index: index, lastRun: o.History[index].LastRun, failedRuns: o.History[index].FailedRuns}
		j.tasks[index] = t
		j.taskList = append(j.taskList, t)
		p.crashHistory.importCount(p.now, p.taskRef(j, t), o.History[index].Crashes)
	}
	return j
}

// registerJob adds a job to those of the pool.
func (p *Pool) registerJob(j *job) {
	p.jobs[j.Key] = j
	p.joinLease(j)
	p.jobsByID[j.Key.ID] = append(p.jobsByID[j.Key.ID], j)
}

func (p *Pool) addOffer(o Offer) {
	p.supersede(o.Key)
	j := p.newJob(o)
	p.waitingTasks += len(j.taskList)
	p.registerJob(j)
	for _, t := range j.taskList {
		for _, r := range p.runsByTask[p.taskRef(j, t)] {
			p.setTaskState(j, t, blocked)
			if r.fromFormerOwner {
				p.stopUnheld(r)
			}
		}
	}
	switch {
	case p.draining:
		p.returnAllWaiting(j, "draining")
	case p.hasCrashingTask(j):
		p.endJob(j, Crashed)
	case j.blockedTasks == 0 && !p.mayEverFit(j):
		p.endJob(j, NeverFits)
	case !j.hasBegun() && !p.fitsCurrentCapacity(j):
		p.endJob(j, Expired)
	default:
		p.enqueue(j)
		p.placeWaiting()
		switch {
		case p.jobs[o.Key] != j || !j.hasWaiting():
		case p.closedFor(j):
			p.returnAllWaiting(j, "nothing may start here")
		case !j.MayQueue:
			p.returnUnstarted(j, "no room")
		default:
			p.rejectLateOnArrival()
		}
	}
}

// blockTasks blocks the task ref, if it is waiting, in each offer of its job: a run of
// it is now tracked that was not ordered for these offers. Until that run is certainly
// over, the task must not get a second run, and must not be returned as never started.
func (p *Pool) blockTasks(ref fleet.TaskRef) {
	for _, j := range p.jobsByID[ref.Job] {
		if t := j.tasks[ref.Index]; t != nil && t.state == waiting {
			p.setTaskState(j, t, blocked)
		}
	}
}

// unblockTasks undoes blockTasks: the task ref waits for an upstream again.
func (p *Pool) unblockTasks(ref fleet.TaskRef) {
	for _, j := range p.jobsByID[ref.Job] {
		if t := j.tasks[ref.Index]; t != nil && t.state == blocked {
			p.setTaskState(j, t, waiting)
			p.enqueue(j)
		}
	}
}

// enqueue adds a job with waiting tasks to the queue, unless it is there already.
func (p *Pool) enqueue(j *job) {
	p.placementDue = true
	if !slices.Contains(p.queue, j) {
		p.queue = append(p.queue, j)
	}
}

// supersede ends the offers of the same job by coordinators other than that of the key
// by: the customer has disconnected from those and submitted the job again.
func (p *Pool) supersede(by JobKey) {
	for _, j := range slices.Clone(p.jobsByID[by.ID]) {
		if j.Key.Coordinator != by.Coordinator {
			p.endJob(j, Unknown)
		}
	}
}

// mayEverFit reports whether any upstream is or was large enough for a task of j. It
// returns true as well while the pool has no upstream of the job's service.
func (p *Pool) mayEverFit(j *job) bool {
	hasService := slices.ContainsFunc(p.sortedUpstreams, func(u *upstream) bool { return u.Service == j.Service })
	return !hasService || p.fitsAnyUpstream(j, func(*upstream) bool { return true })
}

// removeJob removes a job from the pool. Its runs stay tracked until they have ended.
func (p *Pool) removeJob(j *job) {
	if p.jobs[j.Key] == j {
		delete(p.jobs, j.Key)
		p.leaveLease(j)
	}
	p.jobsByID[j.Key.ID] = slices.DeleteFunc(p.jobsByID[j.Key.ID], func(o *job) bool { return o == j })
	if len(p.jobsByID[j.Key.ID]) == 0 {
		delete(p.jobsByID, j.Key.ID)
	}
	p.queue = slices.DeleteFunc(p.queue, func(o *job) bool { return o == j })
	p.adoptions = slices.DeleteFunc(p.adoptions, func(o *job) bool { return o == j })
	for _, t := range j.taskList {
		if t.state == waiting || t.state == blocked {
			p.setTaskState(j, t, ended)
		}
	}
}

// setTaskState changes the state of a task and updates the counts of waiting and blocked
// tasks.
func (p *Pool) setTaskState(j *job, t *task, s taskState) {
	switch t.state {
	case waiting:
		p.waitingTasks--
	case blocked:
		j.blockedTasks--
	}
	t.state = s
	switch s {
	case waiting:
		p.waitingTasks++
	case blocked:
		j.blockedTasks++
	}
}

// stopRuns stops the remaining runs of a job, which are no longer wanted.
func (p *Pool) stopRuns(j *job, reason string) {
	for _, t := range j.taskList {
		for _, r := range p.runsByTask[p.taskRef(j, t)] {
			switch {
			case t.state == adopting && r.fromFormerOwner:
				p.stopRun(r, reason)
			case r.job == j:
				r.job, r.unwantedSince = nil, p.now
				p.stopRun(r, reason)
			}
		}
	}
}

func (p *Pool) taskRef(j *job, t *task) fleet.TaskRef {
	return fleet.TaskRef{Job: j.Key.ID, Index: t.index}
}

// endJob ends a job with an outcome and stops its runs. If none of its tasks can have
// started, all of them are returned.
func (p *Pool) endJob(j *job, outcome Outcome) {
	j.begun = j.begun || j.blockedTasks > 0
	p.removeJob(j)
	p.stopRuns(j, string(outcome))
	var returned []int
	if !j.begun {
		returned = j.Tasks
	}
	if outcome == Expired {
		p.account.refusedAt = p.now
	}
	p.addResult(j, outcome, returned)
}

func (p *Pool) addResult(j *job, outcome Outcome, returned []int) {
	p.effects.Results = append(p.effects.Results, Result{
		Key: j.Key, Outcome: outcome, Done: j.done, Returned: returned, History: j.history, Begun: j.begun,
	})
	p.addDecision(Decision{
		Kind: DecidedResult, Job: j.Key.ID, Coordinator: j.Key.Coordinator, Task: len(j.done), Reason: string(outcome), Age: p.now.Sub(j.offeredAt),
		Late: p.now.After(j.submittedAt().Add(j.objective())),
	})
}

func (p *Pool) addDecision(d Decision) {
	d.Queued = p.Waiting()
	p.effects.Decisions = append(p.effects.Decisions, d)
}
