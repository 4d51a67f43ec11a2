package fate

import (
	"testing"

	"github.com/sedgehatch/sedgehatch/failure"
)

var (
	bound = Retention{MaxCount: 10, MaxBytes: 1 << 20, MaxAgeMs: 1000}
	one   = Key{Session: "s", Sequence: 1}
)

func jobOf(tasks int) *Job { return &Job{Digest: uint64(tasks), Tasks: make([]Task, tasks)} }

func mustSubmit(t *testing.T, h *Home, key Key, job *Job, want Admission) Answer {
	t.Helper()
	got, answer, err := h.Submit(key, job)
	if err != nil || got != want {
		t.Fatalf("submit %v: admission %d, %v", key, got, err)
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

// The model checker found this one: an acknowledgement that covers both a
// permit and a later cancellation started the cancelled task.
func TestCancelBeforePermitIsAcknowledged(t *testing.T) {
	h := NewHome(homeLogID, bound)
	mustSubmit(t, h, one, jobOf(1), Accepted)
	h.Place(one, 0, "u")
	if h.NextAppend(false) == nil {
		t.Fatal("the permit was not appended")
	}
	h.GiveUp(one, ReasonCancelled)
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
	h := NewHome(homeLogID, bound)
	mustSubmit(t, h, one, jobOf(2), Accepted)
	h.Place(one, 0, "u")
	h.Place(one, 1, "v")
	a := h.NextAppend(false)
	starts := h.Ack(a.Sequence).Starts
	if len(starts) != 2 {
		t.Fatalf("starts %v", starts)
	}
	h.Finish(starts[1].Lease, Outcome{State: TaskFinished, Result: []byte("2")})
	e, _ := h.Finish(starts[0].Lease, Outcome{State: TaskFinished, Result: []byte("1")})
	answer := onlyAnswer(t, e, Complete)
	if string(answer.Tasks[0].Result) != "1" || string(answer.Tasks[1].Result) != "2" {
		t.Errorf("results out of order: %v", answer.Tasks)
	}
	if _, awaited := h.Finish(starts[0].Lease, Outcome{State: TaskFailed}); awaited {
		t.Error("a second result was taken")
	}
	if again := mustSubmit(t, h, one, jobOf(2), Answered); again.Kind != Complete {
		t.Errorf("resubmission was told %s", again.Kind)
	}
}

func TestOtherWorkUnderTheSameKey(t *testing.T) {
	h := NewHome(homeLogID, bound)
	mustSubmit(t, h, one, jobOf(2), Accepted)
	if _, _, err := h.Submit(one, jobOf(3)); !failure.Is(err, failure.Conflict) {
		t.Errorf("error %v", err)
	}
	mustSubmit(t, h, one, jobOf(2), Joined)
}

func TestLetGoIsUnknownAndNeverRunAgain(t *testing.T) {
	h := NewHome(LogID{Home: "h.1"}, bound)
	h.Tick(0)
	mustSubmit(t, h, one, jobOf(1), Accepted)
	onlyAnswer(t, h.GiveUp(one, ReasonDeadline), NotRun)
	h.Tick(bound.MaxAgeMs)
	if answer := mustSubmit(t, h, one, jobOf(1), Answered); answer.Kind != Unknown {
		t.Errorf("told %s", answer.Kind)
	}
}

func TestGenerations(t *testing.T) {
	h := NewHome(LogID{Home: "h.1"}, bound)
	repeatable := &Job{Repeatable: true, Tasks: make([]Task, 1)}
	second := Key{Session: "s", Sequence: 1, Generation: 1}
	mustSubmit(t, h, one, repeatable, Accepted)
	if _, _, err := h.Submit(second, repeatable); !failure.Is(err, failure.Conflict) {
		t.Errorf("a generation was taken before the last had its fate: %v", err)
	}
	h.GiveUp(one, ReasonCancelled)
	mustSubmit(t, h, second, repeatable, Accepted)

	once := Key{Session: "s", Sequence: 2}
	mustSubmit(t, h, once, jobOf(1), Accepted)
	h.GiveUp(once, ReasonCancelled)
	once.Generation = 1
	for _, job := range []*Job{jobOf(1), repeatable} {
		if _, _, err := h.Submit(once, job); failure.FieldOf(err) != "generation" {
			t.Errorf("work that is not repeatable got a generation: %v", err)
		}
	}
}

func TestGapIsFilled(t *testing.T) {
	h, w := NewHome(homeLogID, bound), NewWitness(homeLogID, bound)
	mustSubmit(t, h, one, jobOf(2), Accepted)
	h.Place(one, 0, "u")
	h.NextAppend(false) // lost on its way
	h.Place(one, 1, "u")
	r := w.Append(h.NextAppend(false))
	if !r.Gap || r.Acked != 0 {
		t.Fatalf("reply %+v", r)
	}
	started := 0
	for _, a := range h.Unacked(r.Acked + 1) {
		started += len(h.Ack(w.Append(&a).Acked).Starts)
	}
	if started != 2 {
		t.Errorf("%d starts", started)
	}
}

// A witness that has sealed tells not run of a key that never reached it, and
// its home, sealed, never runs it.
func TestSealedHomeStartsNothing(t *testing.T) {
	h, w := NewHome(homeLogID, bound), NewWitness(homeLogID, bound)
	mustSubmit(t, h, one, jobOf(1), Accepted)
	h.Place(one, 0, "u")
	a := h.NextAppend(false)
	w.Seal()
	if answer, _ := w.Recall(one); answer.Kind != NotRun {
		t.Fatalf("the witness tells %+v", answer)
	}
	if r := w.Append(a); !r.Sealed {
		t.Fatalf("reply %+v", r)
	}
	e := h.Seal()
	if len(e.Starts) > 0 || len(e.Ask) != 1 {
		t.Fatalf("effects %+v", e)
	}
	if e = h.Ack(a.Sequence); len(e.Starts) > 0 {
		t.Errorf("a late acknowledgement started %v", e.Starts)
	}
	onlyAnswer(t, h.Learned(Answer{Key: one, Kind: NotRun}), NotRun)
}

// An append of which no byte left cannot have reached the witness.
func TestUnsentIsNotRunWhenTheWitnessIsLost(t *testing.T) {
	for _, sent := range []bool{false, true} {
		h := NewHome(homeLogID, bound)
		mustSubmit(t, h, one, jobOf(1), Accepted)
		h.Place(one, 0, "u")
		a := h.NextAppend(false)
		if !sent {
			h.Unsent(a.Sequence)
		}
		e := h.Orphan()
		if sent && len(e.Ask) != 1 {
			t.Errorf("effects %+v of an append that was sent", e)
		}
		if !sent {
			onlyAnswer(t, e, NotRun)
		}
	}
}

// A place whose task will not start comes back, however the job ends.
func TestPlacesOfTasksThatNeverStartComeBack(t *testing.T) {
	for name, end := range map[string]func(*Home) Effects{
		"cancelled": func(h *Home) Effects { return h.GiveUp(one, ReasonCancelled) },
		"sealed":    (*Home).Seal,
		"orphaned":  (*Home).Orphan,
	} {
		for _, sent := range []bool{false, true} {
			h := NewHome(homeLogID, bound)
			mustSubmit(t, h, one, jobOf(2), Accepted)
			h.Place(one, 0, "u")
			if sent {
				h.NextAppend(false)
			}
			e := end(h)
			if len(e.Unused) != 1 || e.Unused[0].Upstream != "u" {
				t.Errorf("%s, sent %v: places back %v", name, sent, e.Unused)
			}
		}
	}
}

// TestAppendIsTheCallers: an append is read while it is sent, outside of the lock of
// its home; what the home takes out of its own copy meanwhile does not reach it.
func TestAppendIsTheCallers(t *testing.T) {
	h := NewHome(homeLogID, bound)
	mustSubmit(t, h, one, jobOf(1), Accepted)
	h.Place(one, 0, "u")
	a := h.NextAppend(false)
	h.withhold(h.jobs[one])
	if len(a.Records) != 1 || a.Records[0].Key != one {
		t.Errorf("the append that is on its way holds %+v", a.Records)
	}
}
