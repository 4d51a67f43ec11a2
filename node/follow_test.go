package node

import (
	"fmt"
	"testing"

	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/membership"
)

// TestConfigWait checks which instances of a zone watch the configuration with the short wait:
// the first hubs, and each instance that receives heartbeats from too few hubs.
func TestConfigWait(t *testing.T) {
	for name, c := range map[string]struct {
		instances  int
		alive      int
		shortWaits int
	}{
		"small zone":           {instances: 3, alive: 3, shortWaits: 3},
		"all peers are alive":  {instances: 5, alive: 5, shortWaits: shortConfigWatchers},
		"few peers are alive":  {instances: 5, alive: 2, shortWaits: 5},
		"no peer is alive":     {instances: 5, alive: 0, shortWaits: 5},
		"a zone with spokes":   {instances: 24, alive: 24, shortWaits: shortConfigWatchers},
		"spokes with few hubs": {instances: 24, alive: 2, shortWaits: 24},
	} {
		t.Run(name, func(t *testing.T) {
			var zone []string
			for i := range c.instances {
				zone = append(zone, fmt.Sprintf("a-%02d", i))
			}
			count := 0
			for _, self := range zone {
				n := newIdleNode(self, "a")
				listings, aliveCount := map[string]membership.Listing{}, 0
				for _, other := range zone {
					listings[other] = membership.Listing{Instance: other, Zone: "a", Address: other}
				}
				n.setPeerList(listings)
				for _, other := range zone {
					if other != self && aliveCount < c.alive {
						n.peers.RecordHeartbeat(fate.Incarnation(other+".1"), membership.Heartbeat{}, 1)
						aliveCount++
					}
				}
				if n.configWatchWait() == shortConfigWatchWait {
					count++
				}
			}
			if count != c.shortWaits {
				t.Errorf("%d of %d instances use the short wait, want %d", count, len(zone), c.shortWaits)
			}
		})
	}
}
