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

type seeded struct{ r *rand.Rand }

func (c seeded) below(n int) int { return c.r.IntN(n) }

func seed(n uint64) seeded { return seeded{rand.New(rand.NewPCG(n, n))} }

// TestModel lets rapid look for a run that breaks a promise, and shrink it.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapidChooser{t}, healthy)
		for range 120 {
			w.step()
			if w.violate != nil {
				t.Fatal(w.violate)
			}
		}
	})
}

const (
	seededRuns  = 4000
	seededSteps = 220
)

// firstViolation runs the model with fixed seeds, and returns the first run
// that breaks a promise.
func firstViolation(broken mutation, runs int) (run int, violation error) {
	for run := range runs {
		w := newWorld(seed(uint64(run)), broken)
		for range seededSteps {
			w.step()
			if w.violate != nil {
				return run, w.violate
			}
		}
	}
	return 0, nil
}

func TestModelSeeded(t *testing.T) {
	if run, err := firstViolation(healthy, seededRuns); err != nil {
		t.Fatalf("run %d: %v", run, err)
	}
}

// TestMutation breaks each promise on purpose: the model must notice.
func TestMutation(t *testing.T) {
	for _, m := range []mutation{
		permitWithoutAck, sealIgnored, resubmissionNotMet, startSentAgain, barSkipped,
		goneForgotten, verdictNotRecorded, orphanSaysNotRun, heirSaysFailed, refusedCountsAsLost,
	} {
		t.Run(string(m), func(t *testing.T) {
			run, err := firstViolation(m, 4*seededRuns)
			if err == nil {
				t.Fatal("no run noticed")
			}
			t.Logf("run %d: %v", run, err)
		})
	}
}

// FuzzModel lets the fuzzer make the choices.
func FuzzModel(f *testing.F) {
	f.Add([]byte("sedgehatch"))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := &bytesChooser{data: data}
		w := newWorld(c, healthy)
		for len(c.data) > 0 {
			w.step()
			if w.violate != nil {
				t.Fatal(w.violate)
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
			t.Fatalf("%q became %v, %v", text, again, err)
		}
	})
}
