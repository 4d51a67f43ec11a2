package ingress

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// A machine that is suspended goes on seconds later as if nothing had happened: its steady
// clock has stood meanwhile, and its timers are late. A lease measured with that clock is
// longer by the suspension: an owner that is suspended starts what it was offered before,
// for customers that have sent their jobs again elsewhere since.

// drawSuspended draws a play in which machines are suspended for up to 3 s.
func drawSuspended(t *rapid.T) twoRunsCase {
	return twoRunsCase{
		seed: rapid.Uint64().Draw(t, "seed"), late: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late"),
		faults: rapid.IntRange(5, 25).Draw(t, "faults"), kinds: allFaults,
		beat: rapid.SampledFrom([]time.Duration{nearBeat, farBeat}).Draw(t, "beat"), suspends: true,
	}
}

// TestSuspended searches for two runs of one task at once, as TestTwoRuns does, while
// machines are suspended.
func TestSuspended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawSuspended(t).run(t) })
}

// foundTwoRuns ends a play that has found what it looks for.
type foundTwoRuns struct{}

// Fatalf implements modelFailer.
func (foundTwoRuns) Fatalf(string, ...any) { panic(foundTwoRuns{}) }

// finds reports whether a play finds two runs of one task at once.
func (c twoRunsCase) finds() (found bool) {
	defer func() {
		if reason := recover(); reason != nil {
			if _, found = reason.(foundTwoRuns); !found {
				panic(reason)
			}
		}
	}()
	c.run(foundTwoRuns{})
	return false
}

// TestSteadyClocksAreNotEnough: the search sees what clocks are for. With clocks that stand
// while machines are suspended it finds two runs at once; with those that go on it does not.
func TestSteadyClocksAreNotEnough(t *testing.T) {
	c := twoRunsCase{seed: 125, faults: 25, kinds: allFaults, beat: nearBeat, suspends: true, steadyClocks: true}
	if !c.finds() {
		t.Error("two runs were not found")
	}
	c.steadyClocks = false
	if c.finds() {
		t.Error("two runs were found")
	}
}

// TestEndHeardAfterSuspension guards against two runs of one task by way of a machine that is
// suspended: a customer leaves meanwhile, and the system hears of that only when it is told
// again. By then the machine has offered a request that lay unread, or goes on with a job.
func TestEndHeardAfterSuspension(t *testing.T) {
	for name, c := range map[string]twoRunsCase{
		"unread": {seed: 0x1ec9, faults: 25, beat: nearBeat},
		"open":   {seed: 0xd6, faults: 6, beat: farBeat},
	} {
		c.late, c.kinds, c.suspends, c.hearsLate = 0.05, allFaults, true, true
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}
