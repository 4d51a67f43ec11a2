package dispatch

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
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

// TestBarSparesBegunTask guards against jobs that fail because their own task was stopped: a start
// arrives at the upstream between the lookup of its lease, which the upstream has not seen yet,
// and the request to bar the lease.
func TestBarSparesBegunTask(t *testing.T) {
	state := api.LeaseNeverSeen
	mux := http.NewServeMux()
	write := func(w http.ResponseWriter, v any) {
		if err := json.NewEncoder(w).Encode(v); err != nil {
			t.Error(err)
		}
	}
	mux.HandleFunc(api.PathLease, func(w http.ResponseWriter, _ *http.Request) {
		write(w, api.LeaseInfo{State: state, Result: json.RawMessage("1")})
		switch state {
		case api.LeaseNeverSeen:
			state = api.LeaseRunning // the start arrives
		case api.LeaseRunning:
			state = api.LeaseFinished
		}
	})
	mux.HandleFunc(api.PathStop, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Query().Get(api.QueryOnlyUnseen) == "" {
			state = api.LeaseStopped
		}
		write(w, []api.LeaseInfo{{State: state}})
	})
	server := httptest.NewServer(mux)
	defer server.Close()
	d := New(Config{Self: "home.1"}, &fakePeers{})
	defer d.Close()
	d.upstreams.update([]UpstreamSpec{{Upstream: placement.Upstream{ID: "u"}, Address: server.Listener.Addr().String(), Connections: 1}})
	found := d.resolveLease("lease", "u", func() bool { return true })
	if found.status != leaseEnded || found.outcome.State != fate.TaskFinished {
		t.Errorf("resolution %+v, want the result of the task", found)
	}
}
