package schedule

import (
	"fmt"
	"testing"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// demandOffer returns an offer whose tasks have the given demand.
func demandOffer(number, tasks int, demand fleet.Resources) Offer {
	o := largeOffer(fmt.Sprintf("%016x", number))
	o.Demand, o.Tasks = demand, nil
	for i := range tasks {
		o.Tasks = append(o.Tasks, i)
	}
	return o
}

// TestLoadBelowOneThousandthOfACore guards against the end of an owner's process by a division by
// zero when the mean CPU demand of the tasks is below a thousandth of a core.
func TestLoadBelowOneThousandthOfACore(t *testing.T) {
	memoryOnly, tiny := fleet.Resources{MemoryMB: 1}, fleet.Resources{MilliCPU: 5, MemoryMB: 1}
	for name, offers := range map[string][]Offer{
		"memory only":           {demandOffer(1, 8, memoryOnly)},
		"memory only, then CPU": {demandOffer(1, 8, memoryOnly), demandOffer(2, 1, tiny)},
		"CPU, then memory only": {demandOffer(1, 1, tiny), demandOffer(2, 8, memoryOnly)},
	} {
		p := fullPool(2, -4)
		for _, o := range offers {
			if e := p.Offer(startTime, o); len(e.Starts) != len(o.Tasks) {
				t.Errorf("%s: %d of %d tasks start", name, len(e.Starts), len(o.Tasks))
			}
			if l := p.Load(startTime); l.Free <= 0 || l.Waits.TaskMilliCPU <= 0 {
				t.Errorf("%s: load %+v of idle upstreams", name, l)
			}
		}
	}
}
