package node

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/metrics"
)

// TestConfigAsk: 70 neighbours tell of a version within a heartbeat. The store is
// waited for, then one of them is asked, and another only once it has not answered.
func TestConfigAsk(t *testing.T) {
	began := time.Now()
	at := func(d time.Duration) time.Time { return began.Add(d) }
	var c configRequests
	asked := 0
	tell := func(from, until time.Duration, version uint64, none bool) {
		const neighbours = 70
		for i := range neighbours {
			if c.due(at(from+time.Duration(i)*(until-from)/neighbours), version, none) {
				asked++
			}
		}
	}
	tell(0, configStoreWait-time.Millisecond, 7, false)
	if asked != 0 {
		t.Errorf("%d peers were asked before the store could tell", asked)
	}
	tell(configStoreWait, configStoreWait+configRequestInterval-time.Millisecond, 7, false)
	if asked != 1 {
		t.Errorf("%d peers were asked while one had time to answer", asked)
	}
	tell(configStoreWait+configRequestInterval, configStoreWait+2*configRequestInterval-time.Millisecond, 7, false)
	if asked != 2 {
		t.Errorf("%d peers were asked after one had not answered", asked)
	}
	if !c.due(at(time.Hour), 8, true) {
		t.Error("an instance without a configuration waits for the store")
	}
}

// TestConfigSpreads: every instance has a new version soon, and few ask peers for
// it: each answer is the whole configuration.
func TestConfigSpreads(t *testing.T) {
	cluster := newTestCluster(t, []string{"a"}, 1, "a-1", "a-2", "a-3", "a-4", "a-5", "a-6", "a-7", "a-8")
	for version := 2; version <= 10; version++ {
		cluster.configure(version, "/checks/")
		for name, n := range cluster.nodes {
			cluster.waitUntil(name+" has it", func() bool { return n.config.Load().Version == uint64(version) })
		}
	}
	asked := int64(0)
	for _, n := range cluster.nodes {
		asked += metrics.Values(n.metrics.Messages)["config_request"]
	}
	if asked > int64(len(cluster.nodes)) {
		t.Errorf("8 instances asked %d times for 9 versions", asked)
	}
}
