package dispatch

import (
	"testing"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/placement"
)

// TestStoppedSaysNothingOfItsUpstream checks that a task that was stopped, because
// its job was cancelled or has failed, does not count as a failure of its upstream.
// Otherwise the failure of one task would count against all upstreams that ran other
// tasks of the same job.
func TestStoppedSaysNothingOfItsUpstream(t *testing.T) {
	for state, want := range map[api.LeaseState]placement.ReleasedSlots{
		api.LeaseFinished: {RunMs: 5},
		api.LeaseFailed:   {RunMs: 5, Failed: 1},
		api.LeaseStopped:  {},
	} {
		if got := withLeaseEnd(placement.ReleasedSlots{RunMs: 5}, state); got != want {
			t.Errorf("lease state %s: unexpected report to the broker: %+v", state, got)
		}
	}
}

func TestOutcomes(t *testing.T) {
	for _, c := range []struct {
		state api.LeaseState
		body  string
		want  fate.TaskState
	}{
		{api.LeaseFinished, `{"free":true}`, fate.TaskFinished},
		{api.LeaseFinished, `{"free":`, fate.TaskFailed},
		{api.LeaseFailed, "why", fate.TaskFailed},
		{api.LeaseStopped, "", fate.TaskFailed},
	} {
		if got := outcomeOf(c.state, []byte(c.body)); got.State != c.want {
			t.Errorf("lease state %s with body %s: unexpected outcome %+v", c.state, c.body, got)
		}
	}
}
