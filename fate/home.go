package fate

import (
	"maps"
	"slices"

	"github.com/sedgehatch/sedgehatch/failure"
)

// appendWindow is how many appends may be on their way without an
// acknowledgement before further permits wait for the next one.
const appendWindow = 4

// quietAppends is how many appends may go unacknowledged before the home asks
// for an acknowledgement only to free its memory.
const quietAppends = 64

type phase uint8

const (
	waiting   phase = iota // needs a place
	asked                  // its permit is not acknowledged yet
	started                // permitted: it may be running
	inherited              // permitted by the home that this log took over from
	over                   // its outcome is known, or never will be
)

type homeTask struct {
	phase    phase
	attempt  uint32
	upstream string
	outcome  Outcome
}

type homeJob struct {
	key     Key
	job     *Job
	digest  uint64
	repeats bool
	tasks   []homeTask
	open    int // tasks that are not over
	// named is true once an append that holds the job was made; acked, once the
	// witness acknowledged one.
	named, acked bool
	// verdict is the fate that was decided; told is true once it may be said.
	verdict *Answer
	told    bool
	// atWitness is true when only the witness can decide the fate.
	atWitness bool
	// adopted is true in a log that took the job over from a lost home;
	// exclusive, once some task of it provably cannot finish at that home.
	adopted   bool
	exclusive bool
}

// outgoing is an append that is not acknowledged.
type outgoing struct {
	Append
	// sends counts the times that it may have left. Zero proves that the witness
	// cannot know what it says.
	sends int
}

// Home runs the jobs of one permit log. It is not safe for concurrent use.
type Home struct {
	id       LogID
	jobs     map[Key]*homeJob
	kept     *kept
	pending  map[Key]*Record
	order    []Key // of pending
	urgent   bool  // pending holds a permit or a verdict
	unacked  []*outgoing
	sequence uint64
	sealed   bool
	orphaned bool
	closed   bool
	active   int
}

// NewHome returns the home of a new log.
func NewHome(id LogID, bound Retention) *Home {
	return &Home{id: id, jobs: map[Key]*homeJob{}, kept: newKept(bound), pending: map[Key]*Record{}}
}

// ID returns the log's id.
func (h *Home) ID() LogID { return h.id }

// Active returns the number of submissions without a fate.
func (h *Home) Active() int { return h.active }

// Sealed reports whether the log starts nothing more.
func (h *Home) Sealed() bool { return h.sealed }

// Close makes the log take no new submission. Those that it has go on.
func (h *Home) Close() { h.closed = true }

// Closed reports whether the log takes new submissions.
func (h *Home) Closed() bool { return h.closed || h.sealed }

func (h *Home) alone() bool { return h.id.Witness == "" }

// Admission is what became of a call to Submit.
type Admission uint8

// The ways in which a submission is met.
const (
	Accepted  Admission = iota // it is new: its tasks wait for places
	Joined                     // it runs already
	Answered                   // its fate is known
	AtWitness                  // only the witness can tell
)

// Submit takes a submission, or finds the one that has the same key. A nil job
// only asks. The errors are Conflict, for other work under the same key,
// InvalidInput, for a generation that cannot be, NotFound, when only asking
// for a key that never came, and SessionEnded.
func (h *Home) Submit(key Key, job *Job) (Admission, Answer, error) {
	if j := h.jobs[key]; j != nil {
		return h.resubmit(j, job)
	}
	if h.kept.mayHaveGone(key) {
		return Answered, Answer{Key: key, Kind: Unknown, Reason: ReasonNoLongerKept}, nil
	}
	if job == nil {
		return Answered, Answer{}, failure.NotFound.New("no submission %s came here", key)
	}
	if err := h.checkGeneration(key, job); err != nil {
		return Answered, Answer{}, err
	}
	if h.closed || h.sealed {
		return Answered, Answer{}, failure.SessionEnded.New("the session takes no more jobs")
	}
	h.accept(key, job)
	return Accepted, Answer{}, nil
}

func (h *Home) resubmit(j *homeJob, job *Job) (Admission, Answer, error) {
	if job != nil && job.Digest != j.digest {
		return Answered, Answer{}, failure.Field(failure.Conflict, "sequence", "other work was submitted under key %s", j.key)
	}
	switch {
	case j.told:
		return Answered, *j.verdict, nil
	case j.atWitness:
		return AtWitness, Answer{}, nil
	default:
		return Joined, Answer{}, nil
	}
}

func (h *Home) checkGeneration(key Key, job *Job) error {
	if key.Generation == 0 {
		return nil
	}
	if !job.Repeatable {
		return failure.Field(failure.InvalidInput, "generation", "a job that is not repeatable has generation 0 only")
	}
	before := key
	before.Generation--
	j := h.jobs[before]
	if j != nil && !j.repeats {
		return failure.Field(failure.InvalidInput, "generation", "the job was first submitted as not repeatable")
	}
	if j != nil && !j.told {
		return failure.Field(failure.Conflict, "generation", "generation %d has no fate yet", before.Generation)
	}
	return nil
}

func (h *Home) accept(key Key, job *Job) *homeJob {
	j := &homeJob{key: key, job: job, digest: job.Digest, repeats: job.Repeatable}
	j.tasks = make([]homeTask, len(job.Tasks))
	j.open = len(job.Tasks)
	h.jobs[key] = j
	h.active++
	return j
}

// Waiting returns the tasks of key that need a place, or nil.
func (h *Home) Waiting(key Key) []int {
	j := h.jobs[key]
	if j == nil || j.verdict != nil || j.atWitness {
		return nil
	}
	var tasks []int
	for i := range j.tasks {
		if j.tasks[i].phase == waiting {
			tasks = append(tasks, i)
		}
	}
	return tasks
}

// JobOf returns the work of a submission that has no fate yet, or nil.
func (h *Home) JobOf(key Key) *Job {
	if j := h.jobs[key]; j != nil {
		return j.job
	}
	return nil
}

// Progress returns how many tasks of key are over, and how many it has.
func (h *Home) Progress(key Key) (done, total int) {
	j := h.jobs[key]
	if j == nil {
		return 0, 0
	}
	return len(j.tasks) - j.open, len(j.tasks)
}

// Place gives a waiting task a place. It reports whether the place is used.
// The task starts when the permit for it is acknowledged.
func (h *Home) Place(key Key, task int, upstream string) (Effects, bool) {
	var e Effects
	j := h.jobs[key]
	if j == nil || j.verdict != nil || j.atWitness || h.sealed || j.tasks[task].phase != waiting {
		return e, false
	}
	t := &j.tasks[task]
	t.attempt++
	t.upstream = upstream
	t.phase = asked
	if h.alone() {
		t.phase = started
		e.Starts = append(e.Starts, Start{Lease{key, task, t.attempt}, upstream})
		return e, true
	}
	r := h.record(j)
	r.Permits = append(r.Permits, Permit{task, t.attempt, upstream})
	h.urgent = true
	return e, true
}

// record returns the pending record of j, and makes it where there is none.
func (h *Home) record(j *homeJob) *Record {
	r := h.pending[j.key]
	if r != nil {
		return r
	}
	r = &Record{Key: j.key}
	if !j.named {
		r.Job = j.job
	}
	h.pending[j.key] = r
	h.order = append(h.order, j.key)
	return r
}

// NextAppend returns the next message for the witness, or nil. Without lazy it
// holds back while nothing waits for an acknowledgement. It counts as sent
// unless Unsent says otherwise.
func (h *Home) NextAppend(lazy bool) *Append {
	if len(h.order) == 0 || h.sealed || (!h.urgent && !lazy) || h.awaited() >= appendWindow {
		return nil
	}
	h.sequence++
	a := &outgoing{sends: 1, Append: Append{Log: h.id, Sequence: h.sequence, WantAck: h.urgent || len(h.unacked) >= quietAppends}}
	for _, key := range h.order {
		r := h.pending[key]
		if r == nil {
			continue
		}
		if j := h.jobs[key]; j != nil {
			j.named = true
		}
		a.Records = append(a.Records, *r)
	}
	clear(h.pending)
	h.order = h.order[:0]
	h.urgent = false
	h.unacked = append(h.unacked, a)
	return &a.Append
}

// Unsent takes the proof that no byte of an append left the last time.
func (h *Home) Unsent(sequence uint64) {
	for _, a := range h.unacked {
		if a.Sequence == sequence {
			a.sends--
		}
	}
}

// mayBeKnown reports whether the witness may know of j.
func (h *Home) mayBeKnown(j *homeJob) bool {
	if j.acked {
		return true
	}
	return slices.ContainsFunc(h.unacked, func(a *outgoing) bool { return a.sends > 0 && a.holds(j.key) })
}

func (a *outgoing) holds(key Key) bool {
	return slices.ContainsFunc(a.Records, func(r Record) bool { return r.Key == key })
}

// withhold takes j out of all that was not sent: its fate is told without the
// witness, which must not learn of it later.
func (h *Home) withhold(j *homeJob) {
	delete(h.pending, j.key)
	for _, a := range h.unacked {
		a.Records = slices.DeleteFunc(a.Records, func(r Record) bool { return r.Key == j.key })
	}
}

func (h *Home) awaited() int {
	n := 0
	for _, a := range h.unacked {
		if a.WantAck {
			n++
		}
	}
	return n
}

// Unacked returns the appends from sequence on, to send again in order after
// the connection to the witness was lost. They count as sent, as in NextAppend.
func (h *Home) Unacked(from uint64) []Append {
	var list []Append
	for _, a := range h.unacked {
		if a.Sequence >= from {
			a.sends++
			list = append(list, a.Append)
		}
	}
	return list
}

// Ack takes the witness's acknowledgement of every append up to sequence.
func (h *Home) Ack(sequence uint64) Effects {
	var e Effects
	for len(h.unacked) > 0 && h.unacked[0].Sequence <= sequence {
		a := h.unacked[0]
		h.unacked = h.unacked[1:]
		for i := range a.Records {
			e.add(h.acked(&a.Records[i]))
		}
	}
	return e
}

func (h *Home) acked(r *Record) Effects {
	var e Effects
	j := h.jobs[r.Key]
	if j == nil {
		return e
	}
	j.acked = true
	if j.told || j.atWitness || h.sealed {
		return e
	}
	if r.Verdict != nil {
		h.tell(j, &e)
		return e
	}
	if j.verdict != nil {
		return e // decided without these tasks
	}
	for _, p := range r.Permits {
		t := &j.tasks[p.Task]
		if t.phase == asked && t.attempt == p.Attempt {
			t.phase = started
			e.Starts = append(e.Starts, Start{Lease{r.Key, p.Task, p.Attempt}, p.Upstream})
		}
	}
	return e
}

// Finish takes the outcome of a started task; TaskUnknown where nobody can
// tell. It reports false for one that is late, repeated or not awaited.
func (h *Home) Finish(lease Lease, o Outcome) (Effects, bool) {
	j, t := h.running(lease)
	if t == nil {
		return Effects{}, false
	}
	return h.settle(j, lease.Task, o), true
}

func (h *Home) running(lease Lease) (*homeJob, *homeTask) {
	j := h.jobs[lease.Key]
	if j == nil || j.verdict != nil || lease.Task >= len(j.tasks) {
		return nil, nil
	}
	t := &j.tasks[lease.Task]
	if t.phase != started || t.attempt != lease.Attempt {
		return nil, nil
	}
	return j, t
}

func (h *Home) settle(j *homeJob, task int, o Outcome) Effects {
	t := &j.tasks[task]
	t.phase = over
	t.outcome = o
	j.open--
	if !h.alone() && !h.sealed {
		r := h.record(j)
		r.Results = append(r.Results, TaskResult{task, o})
	}
	var e Effects
	switch {
	case j.atWitness:
	case o.State == TaskFailed:
		h.decide(j, ReasonTaskFailed, &e)
	case o.State == TaskUnknown:
		h.decide(j, ReasonTaskLost, &e)
	case j.open == 0:
		h.complete(j, &e)
	}
	return e
}

// Refused takes a proof that a started task did not start. It waits again.
func (h *Home) Refused(lease Lease) (Effects, bool) {
	var e Effects
	j, t := h.running(lease)
	if t == nil {
		return e, false
	}
	t.phase = waiting
	if h.sealed {
		h.leaveToWitness(j, &e)
	}
	return e, true
}

func (h *Home) complete(j *homeJob, e *Effects) {
	j.verdict = &Answer{Key: j.key, Kind: Complete, Tasks: outcomes(j)}
	h.tell(j, e)
}

// GiveUp ends a submission early: cancelled, past its deadline or refused.
func (h *Home) GiveUp(key Key, reason Reason) Effects {
	var e Effects
	j := h.jobs[key]
	if j != nil && j.verdict == nil && !j.atWitness {
		h.decide(j, reason, &e)
	}
	return e
}

// decide gives j a fate other than complete, and tells it once it is recorded.
func (h *Home) decide(j *homeJob, reason Reason, e *Effects) {
	verdict := verdictOf(j, reason)
	if h.mustAsk(j, verdict) {
		h.leaveToWitness(j, e)
		return
	}
	j.verdict = verdict
	j.stop(e)
	j.retract(e)
	if h.alone() || !h.mayBeKnown(j) {
		h.withhold(j)
		h.tell(j, e)
		return
	}
	if h.sealed {
		h.tell(j, e)
		return
	}
	h.record(j).Verdict = j.verdict
	h.urgent = true
}

// mustAsk reports whether a verdict needs a witness that will not record it.
// A task that its upstream says has failed needs none: no one can say complete.
func (h *Home) mustAsk(j *homeJob, v *Answer) bool {
	return h.sealed && h.mayBeKnown(j) && v.Reason != ReasonTaskFailed
}

func verdictOf(j *homeJob, reason Reason) *Answer {
	v := &Answer{Key: j.key, Kind: Failed, Reason: reason, Tasks: outcomes(j)}
	ran, mayComplete := false, j.adopted && !j.exclusive
	for i := range v.Tasks {
		ran = ran || v.Tasks[i].State != TaskNotRun
		mayComplete = mayComplete && v.Tasks[i].State != TaskFailed
	}
	switch {
	case !ran:
		v.Kind, v.Tasks = NotRun, nil
	case mayComplete:
		v.Kind, v.Tasks = Unknown, nil
	}
	return v
}

func outcomes(j *homeJob) []Outcome {
	list := make([]Outcome, len(j.tasks))
	for i := range j.tasks {
		t := &j.tasks[i]
		switch t.phase {
		case over:
			list[i] = t.outcome
		case started, inherited:
			list[i].State = TaskUnknown
		default:
			list[i].State = TaskNotRun
		}
	}
	return list
}

func (j *homeJob) stop(e *Effects) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == started {
			e.Stops = append(e.Stops, Start{Lease{j.key, i, t.attempt}, t.upstream})
		}
	}
}

// retract takes back the places of tasks whose permit is not acknowledged. They
// never start here.
func (j *homeJob) retract(e *Effects) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.phase == asked {
			t.phase = waiting
			e.Unused = append(e.Unused, Start{Lease{j.key, i, t.attempt}, t.upstream})
		}
	}
}

// tell makes the verdict of j sayable and lets go of what it no longer needs.
func (h *Home) tell(j *homeJob, e *Effects) {
	if j.verdict == nil || j.told {
		return
	}
	j.told = true
	j.job = nil
	h.active--
	e.Answers = append(e.Answers, *j.verdict)
	h.forget(h.kept.add(j.key, sizeOf(j.verdict.Tasks)))
}

func (h *Home) forget(keys []Key) {
	for _, key := range keys {
		delete(h.jobs, key)
	}
}

// Tick tells the time, in Unix milliseconds, and lets go of old answers.
func (h *Home) Tick(now int64) { h.forget(h.kept.tick(now)) }

// Seal takes the news that the witness sealed the log: nothing more starts
// here. Tasks that started go on; jobs that need more are the witness's.
func (h *Home) Seal() Effects {
	var e Effects
	if h.sealed {
		return e
	}
	h.sealed = true
	for _, key := range slices.SortedFunc(maps.Keys(h.jobs), compareKeys) {
		j := h.jobs[key]
		if j == nil {
			continue // let go for the one before
		}
		switch {
		case j.told:
		case !h.mayBeKnown(j):
			h.neverReached(j, &e)
		case j.verdict != nil || !allStarted(j):
			h.leaveToWitness(j, &e)
		}
		if !j.told {
			j.acked = true // from now on it counts as known
		}
	}
	h.dropPending()
	return e
}

// Orphan takes the news that the witness is lost. It has the effects of Seal,
// but there is nobody to ask: the runtime tells unknown for what Ask names.
func (h *Home) Orphan() Effects {
	h.orphaned = true
	return h.Seal()
}

// Orphaned reports whether the witness is lost.
func (h *Home) Orphaned() bool { return h.orphaned }

func (h *Home) dropPending() {
	clear(h.pending)
	h.order = nil
	h.unacked = nil
	h.urgent = false
}

// neverReached tells not run of a job that no append has named: the witness
// cannot know it, and this home will not start it.
func (h *Home) neverReached(j *homeJob, e *Effects) {
	j.verdict = &Answer{Key: j.key, Kind: NotRun, Reason: ReasonWitnessLost}
	j.retract(e)
	h.tell(j, e)
}

func (h *Home) leaveToWitness(j *homeJob, e *Effects) {
	if j.atWitness {
		return
	}
	j.atWitness = true
	j.verdict = nil
	j.retract(e)
	e.Ask = append(e.Ask, j.key)
}

// Learned takes the fate that the witness told for a key named in Ask. An
// answer of unknown is passed on but not kept: a later call may learn more.
func (h *Home) Learned(answer Answer) Effects {
	var e Effects
	j := h.jobs[answer.Key]
	if j == nil || !j.atWitness || j.told {
		return e
	}
	if answer.Kind == Unknown {
		e.Answers = append(e.Answers, answer)
		return e
	}
	j.verdict = &answer
	h.tell(j, &e)
	return e
}

func allStarted(j *homeJob) bool {
	for i := range j.tasks {
		if p := j.tasks[i].phase; p == waiting || p == asked {
			return false
		}
	}
	return true
}

// Awaits reports whether the outcome of a started task still matters.
func (h *Home) Awaits(lease Lease) bool {
	_, t := h.running(lease)
	return t != nil
}

// Knows reports whether key came here, as far as is kept.
func (h *Home) Knows(key Key) bool { return h.jobs[key] != nil || h.kept.mayHaveGone(key) }
