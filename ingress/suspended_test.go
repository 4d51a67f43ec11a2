package ingress

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// The operating system's usual monotonic clock (CLOCK_MONOTONIC) stops while the machine is
// suspended, and so do timers. An owner that measured the lease of a coordinator with this
// clock would consider the lease valid for longer than it is, by the length of the
// suspension. After a suspension the owner would start tasks that were offered before it,
// although their customers have since sent the jobs to another instance. Package clock
// therefore uses a clock that goes on during a suspension.

// drawSuspendedCase draws a simulation in which machines are suspended for up to 3 s.
func drawSuspendedCase(t *rapid.T) simCase {
	return simCase{
		seed: rapid.Uint64().Draw(t, "seed"), lateShare: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late"),
		faultPercent: rapid.IntRange(5, 25).Draw(t, "faults"), faultKinds: allFaultKinds,
		linkHeartbeat: rapid.SampledFrom([]time.Duration{sameZoneHeartbeat, crossZoneHeartbeat}).Draw(t, "beat"), suspendsMachines: true,
	}
}

// TestSuspended searches for two simultaneous runs of one task, as TestTwoRuns does. In place
// of the process alone, each pause suspends the whole machine.
func TestSuspended(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { drawSuspendedCase(t).run(t) })
}

// violationFound is a failer for simulations that are expected to find a violation. Its Fatalf
// ends the simulation with a panic whose value is a violationFound.
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

// TestSteadyClocksAreNotEnough checks that the simulation would detect the use of a clock that
// stops while its machine is suspended. With such clocks, this seed leads to two simultaneous
// runs of one task; with clocks that go on, it does not.
func TestSteadyClocksAreNotEnough(t *testing.T) {
	c := simCase{seed: 125, faultPercent: 25, faultKinds: allFaultKinds, linkHeartbeat: sameZoneHeartbeat, suspendsMachines: true, suspensionStopsClocks: true}
	if !c.findsViolation() {
		t.Error("with clocks that stop, the simulation found no two simultaneous runs of a task")
	}
	c.suspensionStopsClocks = false
	if c.findsViolation() {
		t.Error("with clocks that go on, the simulation found two simultaneous runs of a task")
	}
}

// TestEndHeardAfterSuspension guards against two simultaneous runs of one task after a machine
// of a coordinator was suspended. During the suspension a customer disconnects and sends its
// job to the other coordinator. After it, the operating system learns that the connection has
// ended only when the customer's machine retransmits that, some time after the coordinator
// has resumed. Meanwhile the coordinator takes the customer for connected:
//   - unread: it reads the request and offers the job
//   - open: it goes on with a job that was open before the suspension
func TestEndHeardAfterSuspension(t *testing.T) {
	for name, c := range map[string]simCase{
		"unread": {seed: 0x1ec9, faultPercent: 25, linkHeartbeat: sameZoneHeartbeat},
		"open":   {seed: 0xd6, faultPercent: 6, linkHeartbeat: crossZoneHeartbeat},
	} {
		c.lateShare, c.faultKinds, c.suspendsMachines, c.retransmitsCloses = 0.05, allFaultKinds, true, true
		t.Run(name, func(t *testing.T) { c.run(t) })
	}
}
