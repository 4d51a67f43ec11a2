package fate

// Witness holds the replica of one permit log. It is not safe for concurrent use.
type Witness struct {
	id           LogID
	nextSequence uint64 // of the next append that it accepts
	sealed       bool
	jobs         map[Key]*witnessJob
	retained     *retainedKeys
}

type witnessJob struct {
	job       *Job
	tasks     []RecoveredTask
	openTasks int // tasks without an outcome
	verdict   *Answer
}

// RecoveredTask is what the log records about one task.
type RecoveredTask struct {
	Outcome *Outcome // nil if none is recorded
	Permits []Permit // one for each start that the home may have made
}

// RecoveredJob is what a sealed log records about a submission whose fate is not
// decided. It is the basis on which another log takes the job over.
type RecoveredJob struct {
	Job   *Job
	Tasks []RecoveredTask
}

// AppendReply is the witness's reply to an append.
type AppendReply struct {
	Acked  uint64 // every append up to this sequence number is stored
	Gap    bool   // appends before this one are missing: send from Acked+1
	Sealed bool   // the log is sealed: no further append is acknowledged
}

// NewWitness returns the witness of a new log.
func NewWitness(id LogID, retention Retention) *Witness {
	return &Witness{id: id, nextSequence: 1, jobs: map[Key]*witnessJob{}, retained: newRetainedKeys(retention)}
}

// ID returns the log's id.
func (w *Witness) ID() LogID { return w.id }

// Sealed reports whether the log is sealed.
func (w *Witness) Sealed() bool { return w.sealed }

// Append applies one append of the home. A repeated append changes nothing.
func (w *Witness) Append(a *Append) AppendReply {
	if w.sealed {
		return AppendReply{Sealed: true}
	}
	if a.Sequence > w.nextSequence {
		return AppendReply{Acked: w.nextSequence - 1, Gap: true}
	}
	if a.Sequence == w.nextSequence {
		w.nextSequence++
		for i := range a.Records {
			w.apply(&a.Records[i])
		}
	}
	return AppendReply{Acked: w.nextSequence - 1}
}

func (w *Witness) apply(r *Record) {
	j := w.jobs[r.Key]
	if j == nil {
		if r.Job == nil {
			return // a late record: the answer of the submission has been evicted
		}
		j = &witnessJob{job: r.Job, tasks: make([]RecoveredTask, len(r.Job.Tasks)), openTasks: len(r.Job.Tasks)}
		w.jobs[r.Key] = j
	}
	if j.verdict != nil {
		return
	}
	for _, p := range r.Permits {
		if p.Task < len(j.tasks) {
			j.tasks[p.Task].Permits = append(j.tasks[p.Task].Permits, p)
		}
	}
	for i := range r.Results {
		w.recordOutcome(j, &r.Results[i])
	}
	w.decide(r.Key, j, r.Verdict)
}

func (w *Witness) recordOutcome(j *witnessJob, r *TaskResult) {
	if r.Task >= len(j.tasks) || j.tasks[r.Task].Outcome != nil {
		return
	}
	j.tasks[r.Task].Outcome = &r.Outcome
	j.openTasks--
}

func (w *Witness) decide(key Key, j *witnessJob, verdict *Answer) {
	switch {
	case verdict != nil:
		j.verdict = verdict
	case j.openTasks == 0:
		j.verdict = completeAnswer(key, j)
	}
	if j.verdict == nil {
		return
	}
	j.job = nil
	j.tasks = nil
	for _, evicted := range w.retained.add(key, answerSize(j.verdict.Tasks)) {
		delete(w.jobs, evicted)
	}
}

// completeAnswer returns the answer Complete if every task finished. Otherwise it
// returns nil, because the home has to decide the fate, or the instance that takes
// the job over.
func completeAnswer(key Key, j *witnessJob) *Answer {
	answer := &Answer{Key: key, Kind: Complete, Tasks: make([]Outcome, len(j.tasks))}
	for i := range j.tasks {
		if j.tasks[i].Outcome.State != TaskFinished {
			return nil
		}
		answer.Tasks[i] = *j.tasks[i].Outcome
	}
	return answer
}

// SetRetention replaces the limits on kept answers. The next eviction applies them.
func (w *Witness) SetRetention(retention Retention) { w.retained.limits = retention }

// Tick sets the current time, in Unix milliseconds, and evicts expired answers.
func (w *Witness) Tick(now int64) {
	for _, evicted := range w.retained.evictExpired(now) {
		delete(w.jobs, evicted)
	}
}

// Seal makes the witness acknowledge no more appends. A home that was only paused or
// partitioned, and not lost, can then start no more tasks.
func (w *Witness) Seal() { w.sealed = true }

// OpenJobs returns the keys of the undecided submissions.
func (w *Witness) OpenJobs() []Key {
	var keys []Key
	for key, j := range w.jobs {
		if j.verdict == nil {
			keys = append(keys, key)
		}
	}
	return keys
}

// Lookup returns the fate of key, or, if the log is sealed and the fate is undecided,
// the state from which the job can be taken over. As long as the log is not sealed,
// the home may know more than the witness: if no fate is recorded, both results are
// nil, and the home has to be asked.
func (w *Witness) Lookup(key Key) (*Answer, *RecoveredJob) {
	j := w.jobs[key]
	switch {
	case j != nil && j.verdict != nil:
		return j.verdict, nil
	case !w.sealed:
		return nil, nil
	case j != nil:
		return nil, &RecoveredJob{Job: j.job, Tasks: j.tasks}
	case w.retained.mayBeEvicted(key):
		return &Answer{Key: key, Kind: Unknown, Reason: ReasonNoLongerKept}, nil
	default:
		return &Answer{Key: key, Kind: NotRun, Reason: ReasonNeverReachedWitness}, nil
	}
}
