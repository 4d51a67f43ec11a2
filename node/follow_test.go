package node

import (
	"fmt"
	"testing"

	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/membership"
)

// TestConfigWait: the first hubs of a zone watch the configuration closely, and so
// does an instance that hears too few of them.
func TestConfigWait(t *testing.T) {
	for name, c := range map[string]struct {
		instances int
		heard     int
		close     int
	}{
		"small zone":               {instances: 3, heard: 3, close: 3},
		"all are heard":            {instances: 5, heard: 5, close: shortConfigWatchers},
		"few are heard":            {instances: 5, heard: 2, close: 5},
		"nobody is":                {instances: 5, heard: 0, close: 5},
		"a zone with spokes":       {instances: 24, heard: 24, close: shortConfigWatchers},
		"its spokes hear few hubs": {instances: 24, heard: 2, close: 24},
	} {
		t.Run(name, func(t *testing.T) {
			var zone []string
			for i := range c.instances {
				zone = append(zone, fmt.Sprintf("a-%02d", i))
			}
			count := 0
			for _, self := range zone {
				n := newIdleNode(self, "a")
				known, heard := map[string]membership.Listing{}, 0
				for _, other := range zone {
					known[other] = membership.Listing{Instance: other, Zone: "a", Address: other}
				}
				n.setPeerList(known)
				for _, other := range zone {
					if other != self && heard < c.heard {
						n.peers.RecordHeartbeat(fate.Incarnation(other+".1"), membership.Heartbeat{}, 1)
						heard++
					}
				}
				if n.configWatchWait() == shortConfigWatchWait {
					count++
				}
			}
			if count != c.close {
				t.Errorf("%d of %d watch closely, want %d", count, len(zone), c.close)
			}
		})
	}
}
