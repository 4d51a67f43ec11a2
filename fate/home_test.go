package fate

import (
	"testing"

	"github.com/sedgehatch/sedgehatch/failure"
)

var (
	testRetention = Retention{MaxCount: 10, MaxBytes: 1 << 20, MaxAgeMs: 1000}
	firstKey      = Key{Session: "s", Sequence: 1}
)

func jobOf(tasks int) *Job { return &Job{Digest: uint64(tasks), Tasks: make([]Task, tasks)} }

func mustSubmit(t *testing.T, h *Home, key Key, job *Job, want Admission) Answer {
	t.Helper()
	got, answer, err := h.Submit(key, job)
	if err != nil || got != want {
		t.Fatalf("Submit(%v) returned admission %d, error %v", key, got, err)
	}
	return answer
}

func onlyAnswer(t *testing.T, e Effects, want Kind) Answer {
	t.Helper()
	if len(e.Answers) != 1 || e.Answers[0].Kind != want {
		t.Fatalf("answers %+v, want one %s", e.Answers, want)
	}
	return e.Answers[0]
}

// TestCancelBeforePermitIsAcknowledged guards against a cancelled task that starts
// because one acknowledgement covers both its permit and the later cancellation.
func TestCancelBeforePermitIsAcknowledged(t *testing.T) {
	h := NewHome(homeLogID, testRetention)
	mustSubmit(t, h, firstKey, jobOf(1), Accepted)
	h.Place(firstKey, 0, "u")
	if h.NextAppend(false) == nil {
		t.Fatal("the permit was not appended")
	}
	h.Abort(firstKey, ReasonCancelled)
	if h.NextAppend(false) == nil {
		t.Fatal("the verdict was not appended")
	}
	e := h.Ack(2)
	if len(e.Starts) > 0 {
		t.Errorf("started %v after the cancellation", e.Starts)
	}
	onlyAnswer(t, e, NotRun)
}

func TestCompleteIsToldAtOnceAndKept(t *testing.T) {
	h := NewHome(homeLogID, testRetention)
	mustSubmit(t, h, firstKey, jobOf(2), Accepted)
	h.Place(firstKey, 0, "u")
	h.Place(firstKey, 1, "v")
	a := h.NextAppend(false)
	starts := h.Ack(a.Sequence).Starts
	if len(starts) != 2 {
		t.Fatalf("started %v after the acknowledgement, want both tasks", starts)
	}
	h.Finish(starts[1].Lease, Outcome{State: TaskFinished, Result: []byte("2")})
	e, _ := h.Finish(starts[0].Lease, Outcome{State: TaskFinished, Result: []byte("1")})
	answer := onlyAnswer(t, e, Complete)
	if string(answer.Tasks[0].Result) != "1" || string(answer.Tasks[1].Result) != "2" {
		t.Errorf("results out of order: %v", answer.Tasks)
	}
	if _, awaited := h.Finish(starts[0].Lease, Outcome{State: TaskFailed}); awaited {
		t.Error("a second outcome of the same task was accepted")
	}
	if again := mustSubmit(t, h, firstKey, jobOf(2), Answered); again.Kind != Complete {
		t.Errorf("the resubmission was answered %s, want complete", again.Kind)
	}
}

func TestOtherWorkUnderTheSameKey(t *testing.T) {
	h := NewHome(homeLogID, testRetention)
	mustSubmit(t, h, firstKey, jobOf(2), Accepted)
	if _, _, err := h.Submit(firstKey, jobOf(3)); !failure.Is(err, failure.Conflict) {
		t.Errorf("a different job under the same key: error %v, want Conflict", err)
	}
	mustSubmit(t, h, firstKey, jobOf(2), Joined)
}

func TestEvictedIsUnknownAndNeverRunAgain(t *testing.T) {
	h := NewHome(LogID{Home: "h.1"}, testRetention)
	h.Tick(0)
	mustSubmit(t, h, firstKey, jobOf(1), Accepted)
	onlyAnswer(t, h.Abort(firstKey, ReasonDeadline), NotRun)
	h.Tick(testRetention.MaxAgeMs)
	if answer := mustSubmit(t, h, firstKey, jobOf(1), Answered); answer.Kind != Unknown {
		t.Errorf("the resubmission of an evicted job was answered %s, want unknown", answer.Kind)
	}
}

func TestGenerations(t *testing.T) {
	h := NewHome(LogID{Home: "h.1"}, testRetention)
	repeatable := &Job{Repeatable: true, Tasks: make([]Task, 1)}
	secondKey := Key{Session: "s", Sequence: 1, Generation: 1}
	mustSubmit(t, h, firstKey, repeatable, Accepted)
	if _, _, err := h.Submit(secondKey, repeatable); !failure.Is(err, failure.Conflict) {
		t.Errorf("a generation before the fate of the previous one is committed: error %v, want Conflict", err)
	}
	h.Abort(firstKey, ReasonCancelled)
	mustSubmit(t, h, secondKey, repeatable, Accepted)

	once := Key{Session: "s", Sequence: 2}
	mustSubmit(t, h, once, jobOf(1), Accepted)
	h.Abort(once, ReasonCancelled)
	once.Generation = 1
	for _, job := range []*Job{jobOf(1), repeatable} {
		if _, _, err := h.Submit(once, job); failure.FieldOf(err) != "generation" {
			t.Errorf("a second generation of a job that is not repeatable: error %v, want one about the generation", err)
		}
	}
}

func TestGapIsFilled(t *testing.T) {
	h, w := NewHome(homeLogID, testRetention), NewWitness(homeLogID, testRetention)
	mustSubmit(t, h, firstKey, jobOf(2), Accepted)
	h.Place(firstKey, 0, "u")
	h.NextAppend(false) // lost in the network
	h.Place(firstKey, 1, "u")
	r := w.Append(h.NextAppend(false))
	if !r.Gap || r.Acked != 0 {
		t.Fatalf("reply to the second append without the first: %+v, want a gap after 0", r)
	}
	started := 0
	for _, a := range h.UnackedForResend(r.Acked + 1) {
		started += len(h.Ack(w.Append(&a).Acked).Starts)
	}
	if started != 2 {
		t.Errorf("%d tasks started after the appends were sent again, want 2", started)
	}
}

// TestSealedHomeStartsNothing checks that a job whose append reaches the witness only
// after the seal never starts. The witness may have answered NotRun for it by then,
// so the home must not start it, not even after a late acknowledgement.
func TestSealedHomeStartsNothing(t *testing.T) {
	h, w := NewHome(homeLogID, testRetention), NewWitness(homeLogID, testRetention)
	mustSubmit(t, h, firstKey, jobOf(1), Accepted)
	h.Place(firstKey, 0, "u")
	a := h.NextAppend(false)
	w.Seal()
	if answer, _ := w.Lookup(firstKey); answer.Kind != NotRun {
		t.Fatalf("the witness answers %+v, want not_run", answer)
	}
	if r := w.Append(a); !r.Sealed {
		t.Fatalf("reply to an append after the seal: %+v, want Sealed", r)
	}
	e := h.Seal()
	if len(e.Starts) > 0 || len(e.WitnessQueries) != 1 {
		t.Fatalf("effects of the seal: %+v, want no start and one query to the witness", e)
	}
	if e = h.Ack(a.Sequence); len(e.Starts) > 0 {
		t.Errorf("a late acknowledgement started %v", e.Starts)
	}
	onlyAnswer(t, h.ApplyWitnessAnswer(Answer{Key: firstKey, Kind: NotRun}), NotRun)
}

// TestUnsentIsNotRunWhenTheWitnessIsLost checks that a job is answered NotRun when
// no byte of its append was sent: the witness cannot know it. If the append may
// have been sent, the witness has to be asked.
func TestUnsentIsNotRunWhenTheWitnessIsLost(t *testing.T) {
	for _, sent := range []bool{false, true} {
		h := NewHome(homeLogID, testRetention)
		mustSubmit(t, h, firstKey, jobOf(1), Accepted)
		h.Place(firstKey, 0, "u")
		a := h.NextAppend(false)
		if !sent {
			h.MarkUnsent(a.Sequence)
		}
		e := h.MarkWitnessLost()
		if sent && len(e.WitnessQueries) != 1 {
			t.Errorf("the append may have been sent: effects %+v, want one query to the witness", e)
		}
		if !sent {
			onlyAnswer(t, e, NotRun)
		}
	}
}

// TestSlotsOfTasksThatNeverStartAreReleased checks that the slot of a task that will
// not start is released, whether the job is cancelled, the log sealed or the
// witness lost.
func TestSlotsOfTasksThatNeverStartAreReleased(t *testing.T) {
	for name, end := range map[string]func(*Home) Effects{
		"cancelled":    func(h *Home) Effects { return h.Abort(firstKey, ReasonCancelled) },
		"sealed":       (*Home).Seal,
		"witness lost": (*Home).MarkWitnessLost,
	} {
		for _, sent := range []bool{false, true} {
			h := NewHome(homeLogID, testRetention)
			mustSubmit(t, h, firstKey, jobOf(2), Accepted)
			h.Place(firstKey, 0, "u")
			if sent {
				h.NextAppend(false)
			}
			e := end(h)
			if len(e.UnusedSlots) != 1 || e.UnusedSlots[0].Upstream != "u" {
				t.Errorf("%s, append sent: %v: released slots %v, want one of upstream u", name, sent, e.UnusedSlots)
			}
		}
	}
}

// TestAppendOwnsItsRecords checks that an append shares no list of records with the
// home. The append is encoded and sent without the home's lock, so that a record that
// the home removes from its own copy in the meantime must stay in the append.
func TestAppendOwnsItsRecords(t *testing.T) {
	h := NewHome(homeLogID, testRetention)
	mustSubmit(t, h, firstKey, jobOf(1), Accepted)
	h.Place(firstKey, 0, "u")
	a := h.NextAppend(false)
	h.discardRecords(h.jobs[firstKey])
	if len(a.Records) != 1 || a.Records[0].Key != firstKey {
		t.Errorf("the append in flight has the records %+v, want the one removed at the home", a.Records)
	}
}

// TestAnsweredUnknownIsNotActive guards against planned stops that wait in vain, of a home and of
// its witness, for a job whose callers were answered "unknown".
func TestAnsweredUnknownIsNotActive(t *testing.T) {
	h := NewHome(homeLogID, testRetention)
	mustSubmit(t, h, firstKey, jobOf(2), Accepted)
	h.Place(firstKey, 0, "u")
	h.Ack(h.NextAppend(false).Sequence)
	if e := h.MarkWitnessLost(); len(e.WitnessQueries) != 1 || h.ActiveJobs() != 1 {
		t.Fatalf("effects %+v, %d active jobs; want a query to the witness for the active job", e, h.ActiveJobs())
	}
	for range 2 { // the callers may ask again
		onlyAnswer(t, h.ApplyWitnessAnswer(Answer{Key: firstKey, Kind: Unknown, Reason: ReasonWitnessLost}), Unknown)
		if h.ActiveJobs() != 0 {
			t.Errorf("%d active jobs after the answer unknown, want 0", h.ActiveJobs())
		}
	}
	onlyAnswer(t, h.ApplyWitnessAnswer(Answer{Key: firstKey, Kind: Complete}), Complete)
	if h.ActiveJobs() != 0 {
		t.Errorf("%d active jobs after the witness has answered after all, want 0", h.ActiveJobs())
	}
}
