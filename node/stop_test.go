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

// TestStopWithoutSuccessor stops the only instance of an availability zone: it
// goes on serving with its upstreams until another has started and takes them.
func TestStopWithoutSuccessor(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 2, "a-1")
	n := cluster.nodes["a-1"]
	n.settings.Timing.Grace = time.Minute // the test may be slow, and groups are kept for a part of it
	stopped := make(chan bool, 1)
	go func() { stopped <- n.Stop() }()
	cluster.waitUntil("it is stopping", n.shuttingDown.Load)
	for range 5 {
		cluster.mustComplete("a-1", 2, 10)
	}
	n.mu.Lock()
	g := n.groups["a/0"]
	n.mu.Unlock()
	if g == nil || g.handingOver {
		t.Fatal("it has let go of its group with nobody there to take it")
	}
	cluster.start("a-2")
	cluster.waitUntil("the next instance owns the group", func() bool {
		next := cluster.nodes["a-2"]
		next.mu.Lock()
		defer next.mu.Unlock()
		return next.groups["a/0"] != nil
	})
	cluster.waitUntil("it serves", func() bool {
		status, _ := cluster.submit("a-2", cluster.newJobID(), 2, 10)
		return status == http.StatusOK
	})
	if !<-stopped {
		t.Error("the stop ended undrained")
	}
}

// TestStopHandsOverInTime: without a successor groups are let go early enough for
// what runs to end.
func TestStopHandsOverInTime(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1")
	n := cluster.nodes["a-1"]
	limit := n.settings.Timing.Grace - graceMargin
	handing := func(took time.Duration) bool {
		n.handOverForShutdown(took, limit)
		n.mu.Lock()
		defer n.mu.Unlock()
		g := n.groups["a/0"]
		return g == nil || g.handingOver
	}
	if handing(0) {
		t.Error("the group is handed over at once")
	}
	if !handing(limit / 2) {
		t.Error("the group is kept for half of the stop")
	}
}

// TestSettled: a new instance takes nothing while a listed peer of its zone may
// run and has not been heard.
func TestSettled(t *testing.T) {
	for name, c := range map[string]struct {
		age    time.Duration
		unread bool
		absent bool
		dial   dialOutcome
		want   bool
	}{
		"just started":                 {age: settleTime / 2, dial: dialFailed, want: false},
		"nothing listens there":        {age: settleTime / 2, absent: true, want: true},
		"no connection is accepted":    {age: settleTime, dial: dialFailed, want: true},
		"a connection is accepted":     {age: settleTime, dial: dialAccepted, want: false},
		"a connection is under way":    {age: settleTime, dial: dialPending, want: false},
		"it has said nothing for long": {age: busySettleTime, dial: dialAccepted, want: true},
		"the list has not been read":   {age: settleTime, unread: true, dial: dialFailed, want: false},
	} {
		n := &Node{
			peers: membership.NewTable(silenceLimits), neighbours: &membership.Neighbours{Near: map[string]bool{"a-2": true}},
			refusedAt: map[string]time.Time{}, dialOutcomes: map[string]dialOutcome{"there": c.dial},
			startedAt: clock.Now().Add(-c.age), peerListRead: !c.unread,
		}
		n.peers.ApplyHello(membership.Listing{Instance: "a-2", Zone: "a", Address: "there"})
		if c.absent {
			n.refusedAt["a-2"] = clock.Now()
		}
		if got := n.membershipSettled(); got != c.want {
			t.Errorf("%s: settled %v, want %v", name, got, c.want)
		}
	}
}

// newIdleNode returns an instance that has just begun and knows nobody. It does not run.
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

// TestSettledOnceListed: peers of which the list has just told have to be heard
// before a group is taken, from the moment on that the list counts.
func TestSettledOnceListed(t *testing.T) {
	n := newIdleNode("a-2", "a")
	n.setPeerList(map[string]membership.Listing{"a-1": {Instance: "a-1", Zone: "a", Address: "there"}})
	if n.membershipSettled() {
		t.Error("it takes groups without having heard the peer that it has read of")
	}
}
