package node

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/directory"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// waitUntilClosed waits until the owner of a group has applied the evacuation of the group's zone,
// and until the orders that the owner sent before have arrived. It returns the time from which on
// no task may start in the zone.
func (cluster *testCluster) waitUntilClosed(group string) time.Time {
	cluster.t.Helper()
	cluster.waitUntil(group+" is closed", func() bool {
		n := cluster.nodes[cluster.owner(group)]
		n.mu.Lock()
		g := n.groups[group]
		n.mu.Unlock()
		return g != nil && g.Load().Closed
	})
	time.Sleep(2 * orderDelay)
	return time.Now()
}

// orderDelay is several times the time that an order takes on the loopback interface.
const orderDelay = 25 * time.Millisecond

// upstreamsStartedSince returns the upstreams of a zone that have started a task after a time.
func (cluster *testCluster) upstreamsStartedSince(zone string, since time.Time) []string {
	var list []string
	for _, u := range cluster.upstreams {
		if strings.HasPrefix(u.ID, "u-"+zone+"-") && cluster.runs.LastUpstreamStart(u.ID).After(since) {
			list = append(list, u.ID)
		}
	}
	return list
}

// checkNoStarts checks that the upstreams of a zone have not started any task after a time.
func (cluster *testCluster) checkNoStarts(zone string, since time.Time) {
	cluster.t.Helper()
	if list := cluster.upstreamsStartedSince(zone, since); len(list) > 0 {
		cluster.t.Errorf("%v started tasks while their zone was evacuated", list)
	}
}

// TestEvacuation evacuates a zone while tasks run there. The tasks must be completed there. Jobs
// that customers then submit in the zone must run in the other zone, even while the first tasks
// still run. After the evacuation ends, the zone must be used again.
func TestEvacuation(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	response := cluster.submitAsync("a-1", cluster.newJobID(), 4, 600)
	cluster.waitUntil("tasks run in the zone", func() bool { return cluster.runningTasks() == 4 })
	cluster.store.Evacuate("a")
	since := cluster.waitUntilClosed("a/0")
	isServed := func(name string, tasks int) func() bool {
		return func() bool {
			status, _ := cluster.submit(name, cluster.newJobID(), tasks, 20)
			return status == http.StatusOK
		}
	}
	cluster.waitUntil("the other zone completes a job while the first one still runs", isServed("a-2", 1))
	if status := <-response; status != http.StatusOK {
		t.Errorf("a job that ran before the evacuation got status %d", status)
	}
	for range 3 {
		cluster.waitUntil("a job submitted in the zone is completed", isServed("a-1", 2))
		cluster.waitUntil("a job with more tasks is completed", isServed("a-2", 4))
	}
	cluster.checkNoStarts("a", since)
	cluster.store.EndEvacuation("a")
	cluster.waitUntil("tasks start in the zone again", func() bool {
		isServed("a-1", 2)()
		return len(cluster.upstreamsStartedSince("a", since)) > 0
	})
}

// evacuatedAt returns the revision of the store at which, as an instance knows, a zone was
// evacuated. It returns 0 if the instance does not consider the zone evacuated.
func (cluster *testCluster) evacuatedAt(name, zone string) uint64 {
	states, _ := cluster.nodes[name].directory.Zones()
	for _, s := range states {
		if s.Zone == zone && s.Evacuated {
			return s.Revision
		}
	}
	return 0
}

// TestEvacuationSetAgain ends an evacuation and starts it again at once. It does so several times,
// and submits jobs each time. All instances must apply the later state, so that no task starts in
// the zone.
func TestEvacuationSetAgain(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	cluster.store.Evacuate("a")
	cluster.waitUntilClosed("a/0")
	for range 3 {
		before := cluster.evacuatedAt(cluster.owner("a/0"), "a")
		cluster.store.EndEvacuation("a")
		cluster.store.Evacuate("a")
		for name := range cluster.nodes {
			cluster.waitUntil(name+" knows the later evacuation", func() bool { return cluster.evacuatedAt(name, "a") > before })
		}
		since := cluster.waitUntilClosed("a/0")
		cluster.mustComplete("a-1", 3, 20)
		cluster.mustComplete("b-1", 3, 20)
		cluster.checkNoStarts("a", since)
	}
}

// TestEvacuationOutlastsPlannedStop begins a planned shutdown of the owner of an evacuated zone
// while a job still runs there. The job must be completed, and the next owner must start no task
// in the zone.
func TestEvacuationOutlastsPlannedStop(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	response := cluster.submitAsync("a-1", cluster.newJobID(), 4, 600)
	cluster.waitUntil("tasks run in the zone", func() bool { return cluster.runningTasks() == 4 })
	cluster.store.Evacuate("a")
	since := cluster.waitUntilClosed("a/0")
	former := cluster.owner("a/0")
	stopped := make(chan bool, 1)
	go func() { stopped <- cluster.nodes[former].Stop() }()
	cluster.waitUntil("another instance owns the group", func() bool {
		next := cluster.owners("a/0")
		return len(next) == 1 && next[0] != former
	})
	if status := <-response; status != http.StatusOK {
		t.Errorf("the job that ran before the evacuation got status %d", status)
	}
	for range 3 {
		cluster.waitUntil("a job submitted in the zone is completed", func() bool {
			status, _ := cluster.submit(cluster.owner("a/0"), cluster.newJobID(), 3, 20)
			return status == http.StatusOK
		})
	}
	cluster.checkNoStarts("a", since)
	if !<-stopped {
		t.Error("the planned shutdown ended before the instance was drained")
	}
}

// TestEvacuationOfAll evacuates every zone. Jobs are rejected at once, and no task starts until
// an evacuation ends.
func TestEvacuationOfAll(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 1, "a-1", "b-1")
	cluster.store.Evacuate("a")
	cluster.store.Evacuate("b")
	since := cluster.waitUntilClosed("a/0")
	cluster.waitUntilClosed("b/0")
	for name := range cluster.nodes {
		cluster.waitUntil(name+" rejects jobs", func() bool {
			status, body := cluster.submit(name, cluster.newJobID(), 1, 10)
			return status == http.StatusServiceUnavailable && body == "nothing may start on any upstream"
		})
	}
	cluster.checkNoStarts("a", since)
	cluster.store.EndEvacuation("b")
	cluster.waitUntil("a job submitted in the evacuated zone is completed in the other zone", func() bool {
		status, _ := cluster.submit("a-1", cluster.newJobID(), 1, 10)
		return status == http.StatusOK
	})
	cluster.checkNoStarts("a", since)
}

// TestEvacuationOutlastsOwner kills the owner of an evacuated zone, and later restarts all
// instances. No new owner may start a task in the zone.
func TestEvacuationOutlastsOwner(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	cluster.store.Evacuate("a")
	since := cluster.waitUntilClosed("a/0")
	cluster.kill(cluster.owner("a/0"))
	cluster.waitUntil("the other instance owns the group", func() bool { return len(cluster.owners("a/0")) == 1 })
	cluster.mustComplete("b-1", 6, 20)
	for name := range cluster.nodes {
		cluster.kill(name)
	}
	for _, name := range []string{"a-1", "a-2", "b-1"} {
		cluster.start(name)
	}
	cluster.waitUntilClosed("a/0")
	cluster.waitUntil("a job submitted in the zone is completed", func() bool {
		status, _ := cluster.submit("a-1", cluster.newJobID(), 6, 20)
		return status == http.StatusOK
	})
	cluster.checkNoStarts("a", since)
}

// TestEvacuationWhileStoreForgets changes evacuations while the store is unavailable, and makes the
// store drop the history of the changes, so that watches miss them. When the store is available
// again, the instances must apply the state that it then has. The test does this twice.
func TestEvacuationWhileStoreForgets(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "b-1")
	cluster.store.SetFault(standin.ConnectionReset, 0)
	cluster.store.Evacuate("a")
	cluster.store.EndEvacuation("a")
	cluster.store.Evacuate("a")
	cluster.store.DropRevisionHistory()
	cluster.store.SetFault(standin.NoFault, 0)
	since := cluster.waitUntilClosed("a/0")
	cluster.mustComplete("a-1", 3, 20)
	cluster.checkNoStarts("a", since)
	cluster.store.SetFault(standin.ConnectionReset, 0)
	cluster.store.EndEvacuation("a")
	cluster.store.Evacuate("b")
	cluster.store.DropRevisionHistory()
	cluster.store.SetFault(standin.NoFault, 0)
	since = cluster.waitUntilClosed("b/0")
	cluster.mustComplete("b-1", 3, 20)
	cluster.checkNoStarts("b", since)
}

// TestEvacuationHeardFromPeers applies the heartbeats of a peer to a directory that reads nothing
// from the store. The directory must apply the start and the end of an evacuation, and ignore
// heartbeats that are older than what it has applied.
func TestEvacuationHeardFromPeers(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 1, "a-1", "b-1")
	source := cluster.nodes["b-1"]
	target := directory.New()
	receive := func(p *inner.Presence) { target.ReplaceZones(p.GetZonesRevision(), zoneStatesFromPeer(p)) }
	before := source.heartbeat()
	cluster.store.Evacuate("a")
	cluster.waitUntilClosed("a/0")
	evacuated := func() bool {
		states, revision := target.Zones()
		return revision > 0 && len(states) == 1 && states[0].Evacuated
	}
	cluster.waitUntil("the peer knows the evacuation", func() bool { return len(source.heartbeat().GetZones()) == 1 })
	during := source.heartbeat()
	receive(during)
	receive(before)
	if !evacuated() {
		t.Error("the evacuation was not applied, or was undone by an older heartbeat")
	}
	cluster.store.EndEvacuation("a")
	cluster.waitUntil("the peer knows that the evacuation has ended", func() bool { return !source.heartbeat().GetZones()[0].GetEvacuated() })
	receive(source.heartbeat())
	receive(during)
	if evacuated() {
		t.Error("the end of the evacuation was not applied, or was undone by an older heartbeat")
	}
}

// TestEntriesOfOtherWriters writes invalid entries of upstreams to the store, and overwrites the
// valid entry of one of two upstreams with an invalid one. Only the other upstream may be used
// then. The overwritten one must be used again after it has written its valid entry again.
func TestEntriesOfOtherWriters(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1")
	for name, raw := range map[string]string{
		"null": "null", "binary": "\xff\xfe", "list": `[1,2]`,
		"state":     `{"Service":"desk","Address":"127.0.0.1:1","Zone":"a","State":"resting","Capacity":{"Cpu":16000,"MemoryLimitMb":1000}}`,
		"stateless": `{"Service":"desk","Address":"127.0.0.1:1","Zone":"a","Capacity":{"Cpu":16000,"MemoryLimitMb":1000}}`,
		"service":   `{"Service":"other","Address":"127.0.0.1:1","Zone":"a","State":"ready","Capacity":{"Cpu":16000,"MemoryLimitMb":1000}}`,
		"address":   `{"Service":"desk","Zone":"a","State":"ready","Capacity":{"Cpu":16000,"MemoryLimitMb":1000}}`,
		"capacity":  `{"Service":"desk","Address":"127.0.0.1:1","Zone":"a","State":"ready","Capacity":{"Cpu":-1}}`,
	} {
		cluster.store.OverwriteEntry("x-"+name, []byte(raw))
	}
	cluster.store.OverwriteEntry("u-a-0", []byte(`{"Service":5}`))
	n := cluster.nodes["a-1"]
	members := func() (open []string) {
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, u := range n.groupMembers("a/0") {
			if !u.Closed {
				open = append(open, u.ID)
			}
		}
		return open
	}
	cluster.waitUntil("only the upstream with a valid entry is used", func() bool { m := members(); return len(m) == 1 && m[0] == "u-a-1" })
	time.Sleep(2 * orderDelay)
	since := time.Now()
	cluster.mustComplete("a-1", 2, 20)
	cluster.mustComplete("a-1", 2, 20)
	if cluster.runs.LastUpstreamStart("u-a-0").After(since) {
		t.Error("a task was started on the upstream with an invalid entry")
	}
	cluster.upstreams[0].RegisterAt(cluster.upstreams[0].Address)
	cluster.waitUntil("both upstreams are used again", func() bool { return len(members()) == 2 })
	cluster.mustComplete("a-1", 4, 20)
}
