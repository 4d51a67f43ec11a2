package fate

import (
	"github.com/sedgehatch/sedgehatch/failure"
)

type phase uint8

const (
	waiting       phase = iota // waits for a slot at an upstream
	permitPending              // has a slot; its permit is not acknowledged yet
	started                    // its permit is acknowledged: it may be running
	unresolved                 // the lost home may have started it; the upstreams in question are being asked
	ended                      // has its outcome, which may be TaskUnknown
)

type homeTask struct {
	phase    phase
	attempt  uint32
	upstream string
	outcome  Outcome
}

type homeJob struct {
	key        Key
	job        *Job
	digest     uint64
	repeatable bool
	tasks      []homeTask
	openTasks  int // tasks that have not ended
	// appended is true once the job is part of an append. acked is true once the
	// witness has acknowledged an append with a record of the job.
	appended, acked bool
	// verdict is the fate of the job, nil until it is decided. committed is true
	// once callers may receive the verdict.
	verdict   *Answer
	committed bool
	// witnessDecides is true once this home has left the decision to the witness.
	// answeredUnknown is true once its callers were told that the witness gives none.
	witnessDecides, answeredUnknown bool
	// takenOver is true if this log has taken the job over from a lost home.
	// lostHomeCannotHaveCompleted is true once it is proven that the lost home did
	// not complete the job, because one of the tasks cannot have finished there.
	takenOver                   bool
	lostHomeCannotHaveCompleted bool
}

// Home runs the jobs of one permit log. It is not safe for concurrent use.
type Home struct {
	id           LogID
	jobs         map[Key]*homeJob
	retained     *retainedKeys
	pending      map[Key]*Record // records of the next append
	pendingOrder []Key           // the keys of pending in the order in which they were added
	urgent       bool            // pending contains a permit or a verdict
	unacked      []*unackedAppend
	sequence     uint64 // of the last append
	sealed       bool   // no task starts and no append is sent any more
	witnessLost  bool
	closed       bool // no new submissions are accepted
	active       int  // submissions whose fate is not committed, without those answered with Unknown
}

// NewHome returns the home of a new log.
func NewHome(id LogID, retention Retention) *Home {
	return &Home{id: id, jobs: map[Key]*homeJob{}, retained: newRetainedKeys(retention), pending: map[Key]*Record{}}
}

// ID returns the log's id.
func (h *Home) ID() LogID { return h.id }

// ActiveJobs returns the number of submissions whose fate is not committed. Submissions whose
// callers were answered with Unknown do not count: their fate may never be known.
func (h *Home) ActiveJobs() int { return h.active }

// Close makes the log accept no new submissions. Its open submissions continue.
func (h *Home) Close() { h.closed = true }

// Closed reports whether the log accepts no new submissions.
func (h *Home) Closed() bool { return h.closed || h.sealed }

func (h *Home) hasNoWitness() bool { return h.id.Witness == "" }

// Admission is the result of Submit.
type Admission uint8

// The results of Submit.
const (
	Accepted       Admission = iota // the submission is new: its tasks wait for slots
	Joined                          // the submission is already running
	Answered                        // the fate of the submission is committed, or its answer has been evicted
	WitnessDecides                  // the witness has to be asked for the fate
)

// Submit accepts a new submission, or finds the existing one with the same key.
// With a nil job it only looks the key up. The errors are:
//
//   - Conflict: a different job was submitted under the key, or the fate of its
//     previous generation is not committed;
//   - InvalidInput: the generation is not 0, although the job is not repeatable or
//     was first submitted as not repeatable;
//   - NotFound: the job is nil, and the key was never submitted;
//   - SessionEnded: the log accepts no new submissions.
func (h *Home) Submit(key Key, job *Job) (Admission, Answer, error) {
	if j := h.jobs[key]; j != nil {
		return h.resubmit(j, job)
	}
	if h.retained.mayBeEvicted(key) {
		return Answered, Answer{Key: key, Kind: Unknown, Reason: ReasonNoLongerKept}, nil
	}
	if job == nil {
		return Answered, Answer{}, failure.NotFound.New("no submission %s was received", key)
	}
	if err := h.checkGeneration(key, job); err != nil {
		return Answered, Answer{}, err
	}
	if h.closed || h.sealed {
		return Answered, Answer{}, failure.SessionEnded.New("the session accepts no more jobs")
	}
	h.accept(key, job)
	return Accepted, Answer{}, nil
}

func (h *Home) resubmit(j *homeJob, job *Job) (Admission, Answer, error) {
	if job != nil && job.Digest != j.digest {
		return Answered, Answer{}, failure.Field(failure.Conflict, "sequence", "a different job was submitted under key %s", j.key)
	}
	switch {
	case j.committed:
		return Answered, *j.verdict, nil
	case j.witnessDecides:
		return WitnessDecides, Answer{}, nil
	default:
		return Joined, Answer{}, nil
	}
}

func (h *Home) checkGeneration(key Key, job *Job) error {
	if key.Generation == 0 {
		return nil
	}
	if !job.Repeatable {
		return failure.Field(failure.InvalidInput, "generation", "must be 0 for a job that is not repeatable")
	}
	previous := key
	previous.Generation--
	j := h.jobs[previous]
	if j != nil && !j.repeatable {
		return failure.Field(failure.InvalidInput, "generation", "the job was first submitted as not repeatable")
	}
	if j != nil && !j.committed {
		return failure.Field(failure.Conflict, "generation", "generation %d has not ended yet", previous.Generation)
	}
	return nil
}

func (h *Home) accept(key Key, job *Job) *homeJob {
	j := &homeJob{key: key, job: job, digest: job.Digest, repeatable: job.Repeatable}
	j.tasks = make([]homeTask, len(job.Tasks))
	j.openTasks = len(job.Tasks)
	h.jobs[key] = j
	h.active++
	return j
}

// WaitingTasks returns the indexes of the tasks of key that wait for a slot.
func (h *Home) WaitingTasks(key Key) []int {
	j := h.jobs[key]
	if j == nil || j.verdict != nil || j.witnessDecides {
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

// JobOf returns the job of a submission, or nil once its fate is committed.
func (h *Home) JobOf(key Key) *Job {
	if j := h.jobs[key]; j != nil {
		return j.job
	}
	return nil
}

// Progress returns how many tasks of key have ended, and how many it has.
func (h *Home) Progress(key Key) (done, total int) {
	j := h.jobs[key]
	if j == nil {
		return 0, 0
	}
	return len(j.tasks) - j.openTasks, len(j.tasks)
}

// Place assigns a waiting task to a slot at upstream. It reports false if the
// task does not need the slot. The task starts when its permit is acknowledged,
// or at once if the log has no witness.
func (h *Home) Place(key Key, task int, upstream string) (Effects, bool) {
	var e Effects
	j := h.jobs[key]
	if j == nil || j.verdict != nil || j.witnessDecides || h.sealed || j.tasks[task].phase != waiting {
		return e, false
	}
	t := &j.tasks[task]
	t.attempt++
	t.upstream = upstream
	t.phase = permitPending
	if h.hasNoWitness() {
		t.phase = started
		e.Starts = append(e.Starts, Start{Lease{key, task, t.attempt}, upstream})
		return e, true
	}
	r := h.pendingRecord(j)
	r.Permits = append(r.Permits, Permit{task, t.attempt, upstream})
	h.urgent = true
	return e, true
}

// Finish records the outcome of a started task. The outcome's state is TaskUnknown
// if it cannot be found out how the task ended. Finish reports false if the outcome
// is that of an earlier attempt, repeated or no longer needed.
func (h *Home) Finish(lease Lease, outcome Outcome) (Effects, bool) {
	j, t := h.startedTask(lease)
	if t == nil {
		return Effects{}, false
	}
	return h.endTask(j, lease.Task, outcome), true
}

func (h *Home) startedTask(lease Lease) (*homeJob, *homeTask) {
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

func (h *Home) endTask(j *homeJob, task int, outcome Outcome) Effects {
	t := &j.tasks[task]
	t.phase = ended
	t.outcome = outcome
	j.openTasks--
	if !h.hasNoWitness() && !h.sealed {
		r := h.pendingRecord(j)
		r.Results = append(r.Results, TaskResult{task, outcome})
	}
	var e Effects
	switch {
	case j.witnessDecides:
	case outcome.State == TaskFailed:
		h.decide(j, ReasonTaskFailed, &e)
	case outcome.State == TaskUnknown:
		h.decide(j, ReasonTaskLost, &e)
	case j.openTasks == 0:
		h.complete(j, &e)
	}
	return e
}

// Requeue makes a task wait for a slot again, after proof that its start under lease
// had no effect. It reports false if the outcome of lease is no longer needed.
func (h *Home) Requeue(lease Lease) (Effects, bool) {
	var e Effects
	j, t := h.startedTask(lease)
	if t == nil {
		return e, false
	}
	t.phase = waiting
	if h.sealed {
		h.deferToWitness(j, &e)
	}
	return e, true
}

// SetRetention replaces the limits on kept answers. The next eviction applies them.
func (h *Home) SetRetention(retention Retention) { h.retained.limits = retention }

// Tick sets the current time, in Unix milliseconds, and evicts expired answers.
func (h *Home) Tick(now int64) { h.removeJobs(h.retained.evictExpired(now)) }

// AwaitsOutcome reports whether the outcome of the task started under lease is still
// needed.
func (h *Home) AwaitsOutcome(lease Lease) bool {
	_, t := h.startedTask(lease)
	return t != nil
}

// MayHaveSeen reports whether key was submitted to this log. For a key that was not,
// it also reports true if a later submission of the same session has been evicted.
func (h *Home) MayHaveSeen(key Key) bool { return h.jobs[key] != nil || h.retained.mayBeEvicted(key) }
