package fate

// Witness holds the other half of one permit log. It is not safe for
// concurrent use.
type Witness struct {
	id     LogID
	next   uint64 // the sequence number that it expects
	sealed bool
	jobs   map[Key]*witnessJob
	kept   *kept
}

type witnessJob struct {
	job     *Job
	tasks   []InheritedTask
	open    int // tasks without an outcome
	verdict *Answer
}

// InheritedTask is what a witness knows of one task.
type InheritedTask struct {
	Outcome *Outcome
	Permits []Permit // every place where the home may have started it
}

// Inheritance is what a witness knows of one submission.
type Inheritance struct {
	Job   *Job
	Tasks []InheritedTask
}

// AppendReply is the witness's answer to an append.
type AppendReply struct {
	Acked  uint64 // every append up to this one is held
	Gap    bool   // appends before this one are missing: send from Acked+1
	Sealed bool   // the log is sealed: nothing more is acknowledged
}

// NewWitness returns the witness of a new log.
func NewWitness(id LogID, bound Retention) *Witness {
	return &Witness{id: id, next: 1, jobs: map[Key]*witnessJob{}, kept: newKept(bound)}
}

// ID returns the log's id.
func (w *Witness) ID() LogID { return w.id }

// Sealed reports whether the log is sealed.
func (w *Witness) Sealed() bool { return w.sealed }

// Append takes one message of the home. Repeated ones change nothing.
func (w *Witness) Append(a *Append) AppendReply {
	if w.sealed {
		return AppendReply{Sealed: true}
	}
	if a.Sequence > w.next {
		return AppendReply{Acked: w.next - 1, Gap: true}
	}
	if a.Sequence == w.next {
		w.next++
		for i := range a.Records {
			w.apply(&a.Records[i])
		}
	}
	return AppendReply{Acked: w.next - 1}
}

func (w *Witness) apply(r *Record) {
	j := w.jobs[r.Key]
	if j == nil {
		if r.Job == nil {
			return // let go already
		}
		j = &witnessJob{job: r.Job, tasks: make([]InheritedTask, len(r.Job.Tasks)), open: len(r.Job.Tasks)}
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
		w.result(j, &r.Results[i])
	}
	w.judge(r.Key, j, r.Verdict)
}

func (w *Witness) result(j *witnessJob, r *TaskResult) {
	if r.Task >= len(j.tasks) || j.tasks[r.Task].Outcome != nil {
		return
	}
	j.tasks[r.Task].Outcome = &r.Outcome
	j.open--
}

func (w *Witness) judge(key Key, j *witnessJob, verdict *Answer) {
	switch {
	case verdict != nil:
		j.verdict = verdict
	case j.open == 0:
		j.verdict = allDone(key, j)
	}
	if j.verdict == nil {
		return
	}
	j.job = nil
	j.tasks = nil
	for _, gone := range w.kept.add(key, sizeOf(j.verdict.Tasks)) {
		delete(w.jobs, gone)
	}
}

// allDone returns complete when every task finished, else nil: what the fate
// is when one did not is for the home to say, or for a takeover.
func allDone(key Key, j *witnessJob) *Answer {
	answer := &Answer{Key: key, Kind: Complete, Tasks: make([]Outcome, len(j.tasks))}
	for i := range j.tasks {
		if j.tasks[i].Outcome.State != TaskFinished {
			return nil
		}
		answer.Tasks[i] = *j.tasks[i].Outcome
	}
	return answer
}

// Keep bounds the answers that are kept from now on.
func (w *Witness) Keep(bound Retention) { w.kept.bound = bound }

// Tick tells the time, in Unix milliseconds, and lets go of old answers.
func (w *Witness) Tick(now int64) {
	for _, gone := range w.kept.tick(now) {
		delete(w.jobs, gone)
	}
}

// Seal ends the log: from now on nothing is acknowledged, so its home, dead,
// paused or cut off, starts nothing more.
func (w *Witness) Seal() { w.sealed = true }

// Open returns the submissions without a fate.
func (w *Witness) Open() []Key {
	var keys []Key
	for key, j := range w.jobs {
		if j.verdict == nil {
			keys = append(keys, key)
		}
	}
	return keys
}

// Pending returns the number of submissions whose home may still need this
// witness: none once the log is sealed.
func (w *Witness) Pending() int {
	if w.sealed {
		return 0
	}
	return len(w.Open())
}

// Recall returns the fate of key as this witness alone can tell it, or what it
// holds of a submission that has none yet. Unsealed, it tells only recorded
// fates: for the rest both results are nil, and the home has to be asked.
func (w *Witness) Recall(key Key) (*Answer, *Inheritance) {
	j := w.jobs[key]
	switch {
	case j != nil && j.verdict != nil:
		return j.verdict, nil
	case !w.sealed:
		return nil, nil
	case j != nil:
		return nil, &Inheritance{Job: j.job, Tasks: j.tasks}
	case w.kept.mayHaveGone(key):
		return &Answer{Key: key, Kind: Unknown, Reason: ReasonNoLongerKept}, nil
	default:
		return &Answer{Key: key, Kind: NotRun, Reason: ReasonNeverReachedWitness}, nil
	}
}
