package schedule

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
)

// TestEndsAreNotForgottenUnheard: an order tells an upstream to forget ends only while the
// life that has told them must still answer. Another life counts its ends anew, and would
// forget some that nobody has seen.
func TestEndsAreNotForgottenUnheard(t *testing.T) {
	now := epochZero
	p := NewPool(DefaultConfig, 1)
	life := fleet.UpstreamIncarnation{ID: "u", StartedUnixMs: 5}
	p.SetUpstreams(now, []fleet.Upstream{{ID: "u", StartedUnixMs: 5, Service: "s", Capacity: fleet.Resources{MilliCPU: 1000}}})
	ends := fleet.Report{StartedUnixMs: 5, Ended: []fleet.EndedRun{{Sequence: 3, End: fleet.EndStopped}}}
	seen := func() [2]uint64 {
		_, hold, _ := p.HoldOrder(now, "u")
		_, look, _ := p.PollOrder(now, "u")
		return [2]uint64{hold.AckedSequence, look.AckedSequence}
	}
	for _, step := range []struct {
		what string
		do   func()
		want uint64
	}{
		{"it has told three ends", func() { p.HandleHoldResponse(now, life, now, ends, nil) }, 3},
		{"a call is not answered", func() { p.HandleHoldResponse(now, life, now, fleet.Report{}, failure.Lost.New("x")) }, 0},
		{"it answers again", func() { p.HandleHoldResponse(now, life, now, ends, nil) }, 3},
		{"this process stands still", func() { now = now.Add(DefaultConfig.Lease + time.Millisecond) }, 0},
		{"another life answers", func() { p.HandleHoldResponse(now, life, now, fleet.Report{StartedUnixMs: 9}, nil) }, 0},
	} {
		step.do()
		if got := seen(); got != [2]uint64{step.want, step.want} {
			t.Errorf("%s: %v, want %d", step.what, got, step.want)
		}
	}
}
