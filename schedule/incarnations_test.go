package schedule

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
)

// TestEndsAreNotForgottenUnheard checks that orders acknowledge the ends of runs, which the
// upstream may then forget, only while the incarnation that reported them is certain to receive
// the order. A new incarnation numbers its ends from 1 again, and would forget ends that it has
// not reported yet.
func TestEndsAreNotForgottenUnheard(t *testing.T) {
	now := startTime
	p := NewPool(DefaultConfig, 1)
	called := fleet.UpstreamIncarnation{ID: "u", StartedUnixMs: 5}
	p.SetUpstreams(now, []fleet.Upstream{{ID: "u", StartedUnixMs: 5, Service: "s", Capacity: fleet.Resources{MilliCPU: 1000}}})
	report := fleet.Report{StartedUnixMs: 5, Ended: []fleet.EndedRun{{Sequence: 3, End: fleet.EndStopped}}}
	ackedSequences := func() [2]uint64 {
		_, hold, _ := p.HoldOrder(now, "u")
		_, poll, _ := p.PollOrder(now, "u")
		return [2]uint64{hold.AckedSequence, poll.AckedSequence}
	}
	for _, step := range []struct {
		event string
		do    func()
		want  uint64
	}{
		{"a report contains the end with number 3", func() { p.HandleHoldResponse(now, called, now, report, nil) }, 3},
		{"a call gets no response", func() { p.HandleHoldResponse(now, called, now, fleet.Report{}, failure.Lost.New("x")) }, 0},
		{"the same incarnation responds again", func() { p.HandleHoldResponse(now, called, now, report, nil) }, 3},
		{"this process is paused for longer than a lease", func() { now = now.Add(DefaultConfig.Lease + time.Millisecond) }, 0},
		{"another incarnation responds", func() { p.HandleHoldResponse(now, called, now, fleet.Report{StartedUnixMs: 9}, nil) }, 0},
	} {
		step.do()
		if got := ackedSequences(); got != [2]uint64{step.want, step.want} {
			t.Errorf("%s: HoldOrder and PollOrder acknowledge the sequence numbers %v, want %d in both", step.event, got, step.want)
		}
	}
}
