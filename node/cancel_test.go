package node

import (
	"net/http"
	"testing"

	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// cancel sends the cancellation of a job to an instance and returns the status of the response.
func (cluster *testCluster) cancel(name, id string) int {
	return cluster.status("DELETE", cluster.nodes[name].settings.CustomerAddress, "/checks/"+id)
}

// submitLong submits a job of two tasks that run for several seconds, and waits until it runs. The
// job is submitted again if it is rejected, because an owner may have just taken its group.
func (cluster *testCluster) submitLong(name string) (id string, response <-chan int) {
	cluster.t.Helper()
	id = cluster.newJobID()
	response = cluster.submitAsync(name, id, 2, 6000)
	cluster.waitUntil("the job runs", func() bool {
		select {
		case status := <-response:
			if status != http.StatusServiceUnavailable {
				cluster.t.Fatalf("the job got status %d before it ran", status)
			}
			response = cluster.submitAsync(name, id, 2, 6000)
		default:
		}
		return cluster.runs.IsRunning(id)
	})
	return id, response
}

// mustCancel cancels a running job at an instance, and checks that its tasks are stopped and that
// its customer gets a response.
func (cluster *testCluster) mustCancel(name, id string, response <-chan int) {
	cluster.t.Helper()
	if status := cluster.cancel(name, id); status != http.StatusOK {
		cluster.t.Fatalf("the cancellation at %s got status %d, want 200", name, status)
	}
	if status := <-response; status != http.StatusOK {
		cluster.t.Errorf("the cancelled job got status %d, want 200", status)
	}
	cluster.waitUntil("the tasks of the job are stopped", func() bool { return !cluster.runs.IsRunning(id) })
	if n := cluster.runs.DoneTasks(id); n > 0 {
		cluster.t.Errorf("%d tasks of the cancelled job were done", n)
	}
}

// TestCancelAtOtherInstance guards against a cancellation that is acknowledged while the job runs
// on, because it meets another instance than the job's.
func TestCancelAtOtherInstance(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	for _, c := range []struct{ coordinator, asked string }{{"a-1", "a-1"}, {"a-1", "a-2"}, {"a-2", "a-1"}, {"a-1", "b-1"}, {"b-1", "a-2"}} {
		id, response := cluster.submitLong(c.coordinator)
		cluster.mustCancel(c.asked, id, response)
		if status := cluster.cancel(c.asked, id); status != http.StatusGone {
			t.Errorf("the second cancellation of a job of %s at %s got status %d, want 410", c.coordinator, c.asked, status)
		}
	}
}

// TestCancelBeforeJob guards against a job that runs although its cancellation, which has overtaken
// it, was acknowledged.
func TestCancelBeforeJob(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	for _, name := range []string{"a-1", "a-2", "b-1"} {
		id := cluster.newJobID()
		if status := cluster.cancel("a-1", id); status != http.StatusGone {
			t.Fatalf("the cancellation of an unknown job got status %d, want 410", status)
		}
		if status, body := cluster.submit(name, id, 1, 10); status != http.StatusOK || body != `{"State":"failed"}` {
			t.Errorf("the job that was cancelled before got %d %q at %s", status, body, name)
		}
		if !cluster.runs.LastJobStart(id).IsZero() {
			t.Errorf("the job that was cancelled before has run")
		}
	}
	cluster.mustComplete("a-1", 1, 10)
}

// TestCancelledOfferIsRefused guards against tasks that start because an offer arrives at an owner
// after the cancellation of its job.
func TestCancelledOfferIsRefused(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1", "a-2")
	ownerName := cluster.owner("a/0")
	other := cluster.nodes[cluster.other(ownerName)]
	id := cluster.newJobID()
	cluster.nodes[ownerName].cancelHere(id)
	for _, adoptFrom := range []uint64{0, 1} {
		ended := make(chan schedule.Result, 1)
		o := schedule.Offer{
			Key: schedule.JobKey{ID: id, Part: 1}, Service: "desk", Route: "r", Tasks: []int{0}, MaxAttempts: 1, MayQueue: true, AdoptFrom: adoptFrom,
			AliveAt: other.startedAt,
		}
		err := other.router.Offer("a/0", o, owner.OfferCallbacks{
			TasksReturned: func(schedule.Result, schedule.Load) { t.Error("tasks of a cancelled job are returned") },
			OfferEnded:    func(r schedule.Result, _ schedule.Load) { ended <- r },
			OwnerLost:     func(uint64) { t.Error("the owner is lost") },
		})
		if err != nil {
			t.Fatal(err)
		}
		if r := <-ended; r.Outcome != schedule.Cancelled || r.Begun != (adoptFrom > 0) {
			t.Errorf("the offer of a cancelled job, adopting from %d, ended as %s, begun %v", adoptFrom, r.Outcome, r.Begun)
		}
	}
}

// TestCancelUnproved guards against the acknowledgement of a cancellation while an owner that may run
// tasks of the job has not replied.
func TestCancelUnproved(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "b-1")
	n := cluster.nodes["a-1"]
	cluster.waitUntil("a-1 owns the group of its zone only", func() bool { return len(n.ownedGroups()) == 1 })
	if got := n.countUnprovedGroups(nil); got != 1 {
		t.Errorf("%d groups are unproved although b-1 has not replied, want 1", got)
	}
	if got := n.countUnprovedGroups(map[string]bool{"b-1": true}); got != 0 {
		t.Errorf("%d groups are unproved although b-1 has replied, want 0", got)
	}
	n.mu.Lock()
	n.lastHeartbeat["b-9"] = &inner.Presence{Claims: []*inner.Claim{{Group: "b/0", Token: n.highestToken + 1}}} // an instance that is out of reach
	n.mu.Unlock()
	if got := n.CancelElsewhere(cluster.newJobID()); got != ingress.CancelUnproved {
		t.Errorf("result %d although an owner is out of reach, want CancelUnproved", got)
	}
	if status := cluster.cancel("a-1", cluster.newJobID()); status != http.StatusServiceUnavailable {
		t.Errorf("a cancellation got status %d although an owner is out of reach, want 503", status)
	}
	id, response := cluster.submitLong("b-1")
	cluster.mustCancel("a-1", id, response) // found, whether other groups are proved or not
	n.mu.Lock()
	delete(n.lastHeartbeat, "b-9")
	n.mu.Unlock()
	cluster.kill("b-1")
	cluster.waitUntil("the cancellation is proved without the ended owner", func() bool {
		return cluster.cancel("a-1", cluster.newJobID()) == http.StatusGone
	})
}

// TestCancelFlood checks that the number of cancellations that an instance passes on is limited, and
// that the others are not acknowledged.
func TestCancelFlood(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	n := cluster.nodes["a-1"]
	for range cancelBurst {
		n.cancelLimiter.Allow()
	}
	results := map[ingress.CancelResult]int{}
	for range 3 * cancelBurst {
		results[n.CancelElsewhere(cluster.newJobID())]++
	}
	if results[ingress.CancelUnproved] == 0 || results[ingress.CancelFound] > 0 {
		t.Errorf("results by kind %v", results)
	}
}

// TestCancelInLargeZone guards against a cancellation that does not get from one spoke to another,
// or to an owner in another zone.
func TestCancelInLargeZone(t *testing.T) {
	cluster, hubs, spokes := newLargeTestCluster(t)
	cluster.waitUntil("the spokes know the owners", func() bool {
		return len(cluster.nodes[spokes[0]].router.Loads()) == 2 && len(cluster.nodes[spokes[1]].router.Loads()) == 2
	})
	for _, c := range []struct{ coordinator, asked string }{{spokes[0], spokes[1]}, {spokes[0], hubs[0]}, {hubs[1], spokes[0]}, {"b-1", spokes[1]}, {spokes[1], "b-1"}} {
		id, response := cluster.submitLong(c.coordinator)
		cluster.mustCancel(c.asked, id, response)
	}
	id := cluster.newJobID()
	if status := cluster.cancel(spokes[0], id); status != http.StatusGone {
		t.Fatalf("the cancellation of an unknown job got status %d, want 410", status)
	}
	for _, name := range []string{spokes[1], "b-1"} {
		if status, body := cluster.submit(name, id, 1, 10); status != http.StatusOK || body != `{"State":"failed"}` {
			t.Errorf("the job that was cancelled before got %d %q at %s", status, body, name)
		}
	}
}

// TestCancelMessages checks how many requests the cancellation of an unknown job takes in a fleet:
// one for each other instance, and one more if a spoke received it.
func TestCancelMessages(t *testing.T) {
	cluster, hubs, spokes := newLargeTestCluster(t)
	sent := func() int64 {
		total := int64(0)
		for _, n := range cluster.nodes {
			messages := map[string]int64{}
			n.metrics.AddMessagesTo(messages, map[string]int64{})
			total += messages["cancel_job"]
		}
		return total
	}
	for name, want := range map[string]int64{hubs[0]: 16, spokes[0]: 17, "b-1": 16} {
		cluster.waitUntil("an unknown job is cancelled in one attempt at "+name, func() bool {
			before := sent()
			return cluster.cancel(name, cluster.newJobID()) == http.StatusGone && sent()-before == want
		})
	}
}
