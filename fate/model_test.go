package fate

import (
	"math/rand/v2"
	"os"
	"testing"

	"github.com/sedgehatch/sedgehatch/fixedseed"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { os.Exit(fixedseed.Run(m, 20261202)) }

type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) below(n int) int { return rapid.IntRange(0, n-1).Draw(c.t, "choice") }

type seededChooser struct{ r *rand.Rand }

func (c seededChooser) below(n int) int { return c.r.IntN(n) }

func newSeededChooser(n uint64) seededChooser { return seededChooser{rand.New(rand.NewPCG(n, n))} }

// TestModel searches for a run of the model that violates an invariant. The library
// rapid makes the random choices, and reduces a run that fails to a short one.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapidChooser{t}, noMutation)
		for range 120 {
			w.step()
			if w.violation != nil {
				t.Fatal(w.violation)
			}
		}
	})
}

const (
	seededRuns  = 4000
	seededSteps = 220
)

// firstViolation runs the model with the seeds 0 to runs-1, and returns the first
// seed with which an invariant is violated, and the violation.
func firstViolation(m mutation, runs int) (run int, violation error) {
	for run := range runs {
		w := newWorld(newSeededChooser(uint64(run)), m)
		for range seededSteps {
			w.step()
			if w.violation != nil {
				return run, w.violation
			}
		}
	}
	return 0, nil
}

func TestModelSeeded(t *testing.T) {
	if run, err := firstViolation(noMutation, seededRuns); err != nil {
		t.Fatalf("the run with seed %d violates an invariant: %v", run, err)
	}
}

// TestMutation checks that the invariants of the model detect faults: with each
// mutation, at least one run must violate an invariant.
func TestMutation(t *testing.T) {
	for _, m := range []mutation{
		permitWithoutAck, sealIgnored, resubmissionAsNewWork, startRetriedUnderNewLease, unseenLeaseNotBarred,
		evictionForgotten, verdictBeforeAck, notRunWithoutWitness, failedAfterTakeover, cancelledAsNotRun,
	} {
		t.Run(string(m), func(t *testing.T) {
			run, err := firstViolation(m, 4*seededRuns)
			if err == nil {
				t.Fatal("the mutation violated no invariant in any run")
			}
			t.Logf("detected in the run with seed %d: %v", run, err)
		})
	}
}

// FuzzModel is like TestModel, but takes the random choices from the fuzzer's data.
func FuzzModel(f *testing.F) {
	f.Add([]byte("sedgehatch"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &bytesChooser{data: data}
		w := newWorld(c, noMutation)
		for len(c.data) > 0 {
			w.step()
			if w.violation != nil {
				t.Fatal(w.violation)
			}
		}
	})
}

type bytesChooser struct{ data []byte }

func (c *bytesChooser) below(n int) int {
	if len(c.data) == 0 {
		return 0
	}
	b := c.data[0]
	c.data = c.data[1:]
	return int(b) % n
}

func FuzzSession(f *testing.F) {
	f.Add(string(NewSession(homeLogID, "desk", "1")))
	f.Add("a.b~~0~x")
	f.Fuzz(func(t *testing.T, text string) {
		log, err := Session(text).Log()
		if err != nil {
			return
		}
		again, err := NewSession(log, "c", "d").Log()
		if err != nil || again != log {
			t.Fatalf("the log of session %q is %v in a new session, error %v", text, again, err)
		}
	})
}
