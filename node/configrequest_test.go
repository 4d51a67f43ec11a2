package node

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/metrics"
)

// TestConfigAsk makes 70 neighbours announce a new version at about the same time. The instance
// must wait for the store first, and then request the version from one neighbour. It may request
// it from a second neighbour only if the first does not respond in time.
func TestConfigAsk(t *testing.T) {
	began := time.Now()
	at := func(d time.Duration) time.Time { return began.Add(d) }
	var c configRequests
	requests := 0
	announce := func(from, until time.Duration, version uint64, none bool) {
		const neighbours = 70
		for i := range neighbours {
			if c.due(at(from+time.Duration(i)*(until-from)/neighbours), version, none) {
				requests++
			}
		}
	}
	announce(0, configStoreWait-time.Millisecond, 7, false)
	if requests != 0 {
		t.Errorf("%d requests were sent before the store had time to deliver the version", requests)
	}
	announce(configStoreWait, configStoreWait+configRequestInterval-time.Millisecond, 7, false)
	if requests != 1 {
		t.Errorf("%d requests were sent while the first peer had time to respond, want 1", requests)
	}
	announce(configStoreWait+configRequestInterval, configStoreWait+2*configRequestInterval-time.Millisecond, 7, false)
	if requests != 2 {
		t.Errorf("%d requests were sent in total after the first peer had not responded, want 2", requests)
	}
	if !c.due(at(time.Hour), 8, true) {
		t.Error("an instance without a configuration waits for the store first")
	}
}

// TestConfigSpreads checks that all instances apply each new version, and that few of them
// request it from peers, since each response contains the whole configuration.
func TestConfigSpreads(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1", "a-2", "a-3", "a-4", "a-5", "a-6", "a-7", "a-8")
	for version := 2; version <= 10; version++ {
		cluster.configure(version, "/checks/")
		for name, n := range cluster.nodes {
			cluster.waitUntil(name+" has applied the version", func() bool { return n.config.Load().Version == uint64(version) })
		}
	}
	requests := int64(0)
	for _, n := range cluster.nodes {
		requests += metrics.Values(n.metrics.Messages)["config_request"]
	}
	if requests > int64(len(cluster.nodes)) {
		t.Errorf("8 instances sent %d requests for 9 versions, want at most one per instance", requests)
	}
}
