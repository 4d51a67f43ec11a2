package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// Pool holds a group of upstreams under one fencing token, and the jobs that
// run or wait there. It is not safe for concurrent use.
type Pool struct {
	cfg       Config
	token     uint64
	weighed   time.Time // when the queue was last weighed against the forecast
	upstreams map[string]*upstream
	sorted    []*upstream // by id
	jobs      map[JobKey]*job
	byID      map[string][]*job
	byTask    map[fleet.TaskRef]*run
	// coordinators are those with jobs here that work under a lease.
	coordinators map[string]*coordinator
	leasesAt     time.Time // when it was noted which upstreams have no leases to be renewed
	queue        []*job    // with waiting tasks
	waiting      int       // tasks that wait
	times        map[string]*runTimes
	crashes      crashes
	reports      missRate // of all upstreams
	meanSpeed    float64  // of all upstreams, as in speed
	link         link
	answerTime   time.Duration   // after which an answer is overdue
	fencedIDs    map[string]bool // upstreams that have seen a higher token
	fencedAt     time.Time       // when the first of them was lost
	everJoined   bool
	told         bool // the upstreams have been listed once
	draining     bool
	out          *Effects
	now          time.Time
}

// NewPool returns an empty pool whose orders carry a fencing token.
func NewPool(cfg Config, token uint64) *Pool {
	return &Pool{
		cfg: cfg, token: token, link: link{rate: linkShare * cfg.LinkRate}, upstreams: map[string]*upstream{}, jobs: map[JobKey]*job{}, byID: map[string][]*job{},
		byTask: map[fleet.TaskRef]*run{}, coordinators: map[string]*coordinator{}, times: map[string]*runTimes{},
		fencedIDs: map[string]bool{}, crashes: crashes{tasks: map[fleet.TaskRef]crashRecord{}},
	}
}

// Token returns the fencing token of the pool.
func (p *Pool) Token() uint64 { return p.token }

// do runs one input and returns its effects.
func (p *Pool) do(now time.Time, input func()) Effects {
	var out Effects
	p.out, p.now = &out, now
	input()
	p.place()
	p.out = nil
	return out
}

// SetUpstreams takes the group's upstreams as the store lists them. It returns
// those that are new: the first report of each is still to be asked for.
func (p *Pool) SetUpstreams(now time.Time, list []fleet.Upstream) ([]string, Effects) {
	var added []string
	effects := p.do(now, func() {
		p.told = true
		listed := map[string]bool{}
		for _, u := range list {
			listed[u.ID] = true
			known := p.upstreams[u.ID] != nil
			if !p.fencedIDs[u.ID] && (known || !p.draining) && p.upsert(u) {
				added = append(added, u.ID)
			}
		}
		for _, u := range p.sorted {
			if u.listed && !listed[u.ID] {
				u.listed = false
				u.unlistedAt = now
			}
		}
		p.returnClosed()
	})
	return added, effects
}

// upsert reports whether the upstream is new. One that is draining stays so for
// the rest of its life.
func (p *Pool) upsert(listed fleet.Upstream) bool {
	u := p.upstreams[listed.ID]
	switch {
	case u == nil:
		p.insert(listed)
		return true
	case listed.StartedUnixMs > u.StartedUnixMs:
		u = p.restarted(u, listed)
	case listed.StartedUnixMs == u.StartedUnixMs:
		listed.Draining = listed.Draining || u.Draining
		u.Upstream = listed
	}
	u.listed = true // an entry of a former life tells no more than that
	return false
}

// FencedAt returns when the pool lost the first of the upstreams that have seen
// a higher token; zero where it has lost none.
func (p *Pool) FencedAt() time.Time { return p.fencedAt }

// EverAccepted reports whether any upstream has accepted the pool's token.
func (p *Pool) EverAccepted() bool { return p.everJoined }

// Drain makes the pool start nothing more. What waits is returned.
func (p *Pool) Drain(now time.Time) Effects {
	return p.do(now, func() {
		p.draining = true
		for _, j := range slices.Clone(p.queue) {
			p.returnAll(j, "draining")
		}
	})
}

// Release gives up the upstreams of a draining pool on which nothing runs, and
// returns their ids: another owner may take them.
func (p *Pool) Release() []string {
	if !p.draining {
		return nil
	}
	var released []string
	for _, u := range slices.Clone(p.sorted) {
		if len(u.runs) == 0 {
			p.drop(u)
			released = append(released, u.ID)
		}
	}
	return released
}

// Idle reports whether nothing runs or waits.
func (p *Pool) Idle() bool {
	if len(p.jobs) > 0 {
		return false
	}
	for _, u := range p.sorted {
		if len(u.runs) > 0 && !u.silent {
			return false
		}
	}
	return true
}

// Offer takes a job.
func (p *Pool) Offer(now time.Time, o Offer) Effects {
	return p.do(now, func() { p.offer(o) })
}

func (p *Pool) offer(o Offer) {
	p.supersede(o.Key)
	j := &job{Offer: o, offeredAt: p.now, tasks: map[int]*task{}, unfinished: len(o.Tasks), failedOn: map[string]bool{}, history: map[int]TaskHistory{}}
	j.expectedTaskDuration = p.timesOf(o.Route).expect(o.Estimate)
	for _, index := range o.Tasks {
		t := &task{index: index, lastRun: o.History[index].LastRun, failedRuns: o.History[index].FailedRuns}
		j.tasks[index] = t
		j.taskList = append(j.taskList, t)
		p.crashes.learn(p.now, p.ref(j, t), o.History[index].Crashes)
	}
	p.waiting += len(j.taskList)
	for _, t := range j.taskList {
		if p.byTask[p.ref(j, t)] != nil {
			p.setState(j, t, blocked)
		}
	}
	p.jobs[o.Key] = j
	p.attend(j)
	p.byID[o.Key.ID] = append(p.byID[o.Key.ID], j)
	switch {
	case p.draining:
		p.returnAll(j, "draining")
	case p.isConvicted(j):
		p.end(j, Crashed)
	case j.blockedTasks == 0 && !p.everFits(j):
		p.end(j, NeverFits)
	case !j.hasBegun() && !p.fitsRoom(j):
		p.end(j, Expired)
	default:
		p.enqueue(j)
		p.place()
		switch {
		case p.jobs[o.Key] != j || !j.hasWaiting():
		case p.closedTo(j):
			p.returnAll(j, "nothing may start here")
		case !j.MayQueue:
			p.returnWaiting(j, "no room")
		default:
			p.rejectAtArrival()
		}
	}
}

// block keeps back the tasks that wait for a place while a run of theirs is in the
// books that was not ordered for them. They get no second run beside it, and are not
// said never to have begun until it is certain that nothing of them is at work.
func (p *Pool) block(ref fleet.TaskRef) {
	for _, j := range p.byID[ref.Job] {
		if t := j.tasks[ref.Index]; t != nil && t.state == waiting {
			p.setState(j, t, blocked)
		}
	}
}

// unblock lets the tasks wait for a place again that such a run kept back.
func (p *Pool) unblock(ref fleet.TaskRef) {
	for _, j := range p.byID[ref.Job] {
		if t := j.tasks[ref.Index]; t != nil && t.state == blocked {
			p.setState(j, t, waiting)
			p.enqueue(j)
		}
	}
}

// enqueue puts a job with waiting tasks into the queue, unless it is there.
func (p *Pool) enqueue(j *job) {
	if !slices.Contains(p.queue, j) {
		p.queue = append(p.queue, j)
	}
}

// supersede ends what another coordinator offered of the same job: its customer
// has left it, and sent it again.
func (p *Pool) supersede(by JobKey) {
	for _, j := range slices.Clone(p.byID[by.ID]) {
		if j.Key.Coordinator != by.Coordinator {
			p.end(j, Unknown)
		}
	}
}

// everFits reports whether any upstream could run a task of j. A pool that
// knows no upstream yet cannot tell, and says yes.
func (p *Pool) everFits(j *job) bool {
	known := slices.ContainsFunc(p.sorted, func(u *upstream) bool { return u.Service == j.Service })
	return !known || p.fitsAny(j, func(*upstream) bool { return true })
}

// Withdraw ends a job that its coordinator does not want any more.
func (p *Pool) Withdraw(now time.Time, key JobKey, reason string) Effects {
	return p.do(now, func() { p.withdraw(key, reason) })
}

// WithdrawAll ends all jobs of a coordinator that is gone.
func (p *Pool) WithdrawAll(now time.Time, coordinator, reason string) Effects {
	return p.do(now, func() {
		for _, key := range p.jobKeys() {
			if key.Coordinator == coordinator {
				p.withdraw(key, reason)
			}
		}
	})
}

// jobKeys returns the keys of all jobs in a fixed order.
func (p *Pool) jobKeys() []JobKey {
	keys := make([]JobKey, 0, len(p.jobs))
	for key := range p.jobs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func compareKeys(a, b JobKey) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), strings.Compare(a.Coordinator, b.Coordinator), cmp.Compare(a.Part, b.Part))
}

func (p *Pool) withdraw(key JobKey, reason string) {
	j := p.jobs[key]
	if j == nil {
		return
	}
	p.forget(j)
	p.stopRuns(j, reason)
}

// forget takes a job out of the books. Its runs stay until they have ended.
func (p *Pool) forget(j *job) {
	if p.jobs[j.Key] == j {
		delete(p.jobs, j.Key)
		p.leave(j)
	}
	p.byID[j.Key.ID] = slices.DeleteFunc(p.byID[j.Key.ID], func(o *job) bool { return o == j })
	if len(p.byID[j.Key.ID]) == 0 {
		delete(p.byID, j.Key.ID)
	}
	p.queue = slices.DeleteFunc(p.queue, func(o *job) bool { return o == j })
	for _, t := range j.taskList {
		if t.state == waiting || t.state == blocked {
			p.setState(j, t, ended)
		}
	}
}

// setState changes the state of a task, and counts those that wait or are blocked.
func (p *Pool) setState(j *job, t *task, s taskState) {
	switch t.state {
	case waiting:
		p.waiting--
	case blocked:
		j.blockedTasks--
	}
	t.state = s
	switch s {
	case waiting:
		p.waiting++
	case blocked:
		j.blockedTasks++
	}
}

// stopRuns stops what still runs of a job.
func (p *Pool) stopRuns(j *job, reason string) {
	for _, t := range j.taskList {
		r := p.byTask[p.ref(j, t)]
		if r == nil || r.job != j {
			continue
		}
		r.job, r.unwantedSince = nil, p.now
		p.stop(r, reason)
	}
}

func (p *Pool) ref(j *job, t *task) fleet.TaskRef {
	return fleet.TaskRef{Job: j.Key.ID, Index: t.index}
}

// end ends a job with an outcome: what runs of it is stopped.
func (p *Pool) end(j *job, outcome Outcome) {
	j.begun = j.begun || j.blockedTasks > 0
	p.forget(j)
	p.stopRuns(j, string(outcome))
	var returned []int
	if !j.begun {
		returned = j.Tasks
	}
	p.result(j, outcome, returned)
}

func (p *Pool) result(j *job, outcome Outcome, returned []int) {
	p.out.Results = append(p.out.Results, Result{
		Key: j.Key, Outcome: outcome, Done: j.done, Returned: returned, History: j.history, Begun: j.begun,
	})
	p.decide(Decision{
		Kind: DecidedResult, Job: j.Key.ID, Coordinator: j.Key.Coordinator, Task: len(j.done), Reason: string(outcome), Age: p.now.Sub(j.offeredAt),
		Late: p.now.After(j.sent().Add(j.allowed())),
	})
}

func (p *Pool) decide(d Decision) {
	d.Queued = p.Waiting()
	p.out.Decisions = append(p.out.Decisions, d)
}
