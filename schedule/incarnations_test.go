package schedule

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
)

// TestLateReportProvesNoPresence guards against orders that reach the next incarnation of an
// upstream, because a report of the former one was on its way for long: nothing starts and no end
// is acknowledged once the upstream may have restarted since it gave the report.
func TestLateReportProvesNoPresence(t *testing.T) {
	for _, c := range []struct {
		name      string
		sent, now time.Duration // of the request for the last report, and when that is handled
		clock     time.Duration // when the report was given, on the clock of the upstream
		recent    bool
	}{
		{"given and handled at once", 2000 * time.Millisecond, 2000 * time.Millisecond, 2000 * time.Millisecond, true},
		{"given after a wait", 2000 * time.Millisecond, 2800 * time.Millisecond, 2750 * time.Millisecond, true},
		{"given at once and late on its way", 2000 * time.Millisecond, 2800 * time.Millisecond, 2001 * time.Millisecond, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			p := NewPool(DefaultConfig, 1)
			u := fleet.Upstream{ID: "u", StartedUnixMs: 5, Service: "s", Capacity: fleet.Resources{MilliCPU: 1000}}
			p.SetUpstreams(startTime, []fleet.Upstream{u})
			report := func(sent, now, clock time.Duration, sequence uint64) {
				p.HandleHoldResponse(startTime.Add(now), u.Incarnation(), startTime.Add(sent), fleet.Report{
					StartedUnixMs: 5, ClockMs: clock.Milliseconds(), Ended: []fleet.EndedRun{{Sequence: sequence, End: fleet.EndStopped}},
				}, nil)
			}
			report(0, 0, 0, 1)
			report(c.sent, c.now, c.clock, 2)
			now := startTime.Add(c.now)
			_, hold, _ := p.HoldOrder(now, "u")
			started := p.Offer(now, Offer{
				Key: JobKey{"home", "j", 0}, Service: "s", Route: "r", Tasks: []int{0}, Estimate: time.Second, MaxAttempts: 3,
				Stretch: 2, Slack: time.Second, Timeout: 20 * time.Second, MayQueue: true,
			}).Starts
			if acks := hold.AckedSequence == 2; acks != c.recent || len(started) > 0 != c.recent {
				t.Errorf("an end is acknowledged: %v, a task starts: %v; want %v for both", acks, len(started) > 0, c.recent)
			}
		})
	}
}

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
