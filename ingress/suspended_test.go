package ingress

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// While a machine is suspended, its monotonic clock stops and its timers do not run. A lease
// measured with that clock lasts longer by the length of the suspension. After a suspension
// an owner would therefore start tasks that were offered before it, although their customers
// have sent the jobs to another instance since.

// drawSuspendedCase draws a simulation in which machines are suspended for up to 3 s.
func drawSuspendedCase(t *rapid.T) simCase {
	return simCase{
		seed: rapid.Uint64().Draw(t, "seed"), lateShare: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late"),
		faultPercent: rapid.IntRange(5, 25).Draw(t, "faults"), faultKinds: allFaultKinds,
		linkHeartbeat: rapid.SampledFrom([]time.Duration{sameZoneHeartbeat, crossZoneHeartbeat}).Draw(t, "beat"), suspendsMachines: true,
	}
}

// TestSuspended searches for two simultaneous runs of one task, as TestTwoRuns does, but
// suspends the machines of paused processes.
func TestSuspended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawSuspendedCase(t).run(t) })
}

// violationFound is the failer of a simulation that is expected to find a violation, and the
// value with which it then panics.
type violationFound struct{}

// Fatalf implements failer.
func (violationFound) Fatalf(string, ...any) { panic(violationFound{}) }

// findsViolation reports whether a simulation finds two simultaneous runs of one task.
func (c simCase) findsViolation() (found bool) {
	defer func() {
		if reason := recover(); reason != nil {
			if _, found = reason.(violationFound); !found {
				panic(reason)
			}
		}
	}()
	c.run(violationFound{})
	return false
}

// TestSteadyClocksAreNotEnough checks that the simulation detects the wrong kind of clock.
// With clocks that stop while their machine is suspended it finds two simultaneous runs of one
// task. With clocks that go on it does not.
func TestSteadyClocksAreNotEnough(t *testing.T) {
	c := simCase{seed: 125, faultPercent: 25, faultKinds: allFaultKinds, linkHeartbeat: sameZoneHeartbeat, suspendsMachines: true, suspensionStopsClocks: true}
	if !c.findsViolation() {
		t.Error("two runs were not found")
	}
	c.suspensionStopsClocks = false
	if c.findsViolation() {
		t.Error("two runs were found")
	}
}

// TestEndHeardAfterSuspension guards against two simultaneous runs of one task after a
// suspension: a customer disconnects while the machine is suspended, and the operating system
// learns of it only from a retransmission. By then the instance has offered the job of an
// unread request, or has gone on with an open job.
func TestEndHeardAfterSuspension(t *testing.T) {
	for name, c := range map[string]simCase{
		"unread": {seed: 0x1ec9, faultPercent: 25, linkHeartbeat: sameZoneHeartbeat},
		"open":   {seed: 0xd6, faultPercent: 6, linkHeartbeat: crossZoneHeartbeat},
	} {
		c.lateShare, c.faultKinds, c.suspendsMachines, c.retransmitsCloses = 0.05, allFaultKinds, true, true
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}
