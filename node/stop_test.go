package node

import (
	"context"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/directory"
	"github.com/sedgehatch/sedgehatch/membership"
)

// TestStopWithoutSuccessor begins a planned shutdown of the only instance of a zone. The instance
// must keep its group and complete jobs until another one has started, which must then own the
// group.
func TestStopWithoutSuccessor(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1")
	n := cluster.nodes["a-1"]
	n.settings.Timing.Grace = time.Minute // long, because groups are kept for a fraction of it and the test may be slow
	stopped := make(chan bool, 1)
	go func() { stopped <- n.Stop() }()
	cluster.waitUntil("the shutdown has begun", n.shuttingDown.Load)
	for range 5 {
		cluster.mustComplete("a-1", 2, 10)
	}
	n.mu.Lock()
	g := n.groups["a/0"]
	n.mu.Unlock()
	if g == nil || g.handingOver {
		t.Fatal("the group is handed over although no instance can take it")
	}
	cluster.start("a-2")
	cluster.waitUntil("the next instance owns the group", func() bool {
		next := cluster.nodes["a-2"]
		next.mu.Lock()
		defer next.mu.Unlock()
		return next.groups["a/0"] != nil
	})
	cluster.waitUntil("the next instance completes a job", func() bool {
		status, _ := cluster.submit("a-2", cluster.newJobID(), 2, 10)
		return status == http.StatusOK
	})
	if !<-stopped {
		t.Error("the planned shutdown ended before the instance was drained")
	}
}

// TestStopHandsOverInTime checks that an instance that no other can replace keeps its group at the
// beginning of a planned shutdown, and begins to hand it over before half of the time has passed,
// so that running tasks can end.
func TestStopHandsOverInTime(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	n := cluster.nodes["a-1"]
	limit := n.settings.Timing.Grace - graceMargin
	isHandingOver := func(took time.Duration) bool {
		n.handOverForShutdown(took, limit)
		n.mu.Lock()
		defer n.mu.Unlock()
		g := n.groups["a/0"]
		return g == nil || g.handingOver
	}
	if isHandingOver(0) {
		t.Error("the group is handed over at once")
	}
	if !isHandingOver(limit / 2) {
		t.Error("the group is kept for half of the shutdown")
	}
}

// TestSettled checks that a new instance takes no group while a listed peer of its zone may run
// and has not sent a heartbeat.
func TestSettled(t *testing.T) {
	for name, c := range map[string]struct {
		age        time.Duration
		listUnread bool
		refused    bool
		dial       dialOutcome
		want       bool
	}{
		"just started":               {age: heartbeatWait / 2, dial: dialFailed, want: false},
		"connection refused":         {age: heartbeatWait / 2, refused: true, want: true},
		"dial failed":                {age: heartbeatWait, dial: dialFailed, want: true},
		"dial accepted":              {age: heartbeatWait, dial: dialAccepted, want: false},
		"dial pending":               {age: heartbeatWait, dial: dialPending, want: false},
		"no heartbeat for long":      {age: busyPeerWait, dial: dialAccepted, want: true},
		"list of instances not read": {age: heartbeatWait, listUnread: true, dial: dialFailed, want: false},
	} {
		n := &Node{
			peers: membership.NewTable(silenceLimits), neighbours: &membership.Neighbours{Near: map[string]bool{"a-2": true}},
			refusedAt: map[string]time.Time{}, dialOutcomes: map[string]dialOutcome{"there": c.dial},
			startedAt: clock.Now().Add(-c.age), peerListRead: !c.listUnread,
		}
		n.peers.ApplyHello(membership.Listing{Instance: "a-2", Zone: "a", Address: "there"})
		if c.refused {
			n.refusedAt["a-2"] = clock.Now()
		}
		if got := n.doneWaitingForPeers(); got != c.want {
			t.Errorf("%s: done waiting is %v, want %v", name, got, c.want)
		}
	}
}

// newIdleNode returns an instance that has just started and knows no peers. It has no listeners
// and runs nothing in the background.
func newIdleNode(name, zone string) *Node {
	n := &Node{
		peers: membership.NewTable(silenceLimits), neighbours: &membership.Neighbours{IsHub: true, HubCount: 1}, neighboursIfAllAlive: &membership.Neighbours{},
		refusedAt: map[string]time.Time{}, dialOutcomes: map[string]dialOutcome{}, groupCounts: map[string]int{}, startedAt: clock.Now(), log: slog.New(slog.DiscardHandler),
		peerListReady: make(chan struct{}), ctx: context.Background(), directory: directory.New(),
	}
	n.settings.Name, n.settings.Zone = name, zone
	n.router = newRouter(n)
	return n
}

// TestWaitsForListedPeers checks that an instance that has just read the list of instances takes no
// group, because a listed peer of its zone has not sent a heartbeat yet.
func TestWaitsForListedPeers(t *testing.T) {
	n := newIdleNode("a-2", "a")
	n.setPeerList(map[string]membership.Listing{"a-1": {Instance: "a-1", Zone: "a", Address: "there"}})
	if n.doneWaitingForPeers() {
		t.Error("the instance takes groups although the listed peer has not sent a heartbeat")
	}
}
