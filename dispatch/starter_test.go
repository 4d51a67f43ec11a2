package dispatch

import (
	"testing"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/placement"
)

// TestStoppedSaysNothingOfItsUpstream checks that a task that was stopped, because
// its job was cancelled or has failed, does not count as a failure of its upstream.
// Otherwise one failed job would count against every upstream that ran its other
// tasks.
func TestStoppedSaysNothingOfItsUpstream(t *testing.T) {
	for state, want := range map[api.LeaseState]placement.ReleasedSlots{
		api.LeaseFinished: {RunMs: 5},
		api.LeaseFailed:   {RunMs: 5, Failed: 1},
		api.LeaseStopped:  {},
	} {
		if got := withLeaseEnd(placement.ReleasedSlots{RunMs: 5}, state); got != want {
			t.Errorf("%s: released %+v", state, got)
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
			t.Errorf("%s %s: %+v", c.state, c.body, got)
		}
	}
}
