package fate

import (
	"github.com/sedgehatch/sedgehatch/failure"
)

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

// Keep bounds the answers that are kept from now on.
func (h *Home) Keep(bound Retention) { h.kept.bound = bound }

// Tick tells the time, in Unix milliseconds, and lets go of old answers.
func (h *Home) Tick(now int64) { h.forget(h.kept.tick(now)) }

// Awaits reports whether the outcome of a started task still matters.
func (h *Home) Awaits(lease Lease) bool {
	_, t := h.running(lease)
	return t != nil
}

// Knows reports whether key came here, as far as is kept.
func (h *Home) Knows(key Key) bool { return h.jobs[key] != nil || h.kept.mayHaveGone(key) }
