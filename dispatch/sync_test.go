package dispatch

import (
	"testing"

	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/placement"
)

// TestSilentHomeIsHeard guards against slots that no job gets until its deadline: a broker counts
// them as held by a home that holds none. The grant was lost, and the home has another broker
// since, so that it reports there only. It must report to the instance that asks.
func TestSilentHomeIsHeard(t *testing.T) {
	peers := &fakePeers{}
	d := New(Config{Self: "home.1"}, peers)
	defer d.Close()
	d.SetView(View{
		Members: []Member{
			{InstanceLocation: placement.InstanceLocation{Instance: "home"}, Incarnation: "home.1"},
			{InstanceLocation: placement.InstanceLocation{Instance: "other"}, Incarnation: "other.1"},
		},
		Upstreams: []UpstreamSpec{{Upstream: placement.Upstream{ID: "u", Slots: 1}, Address: "127.0.0.1:1"}},
	})
	pool := d.view.Load().poolIDs[0]
	peers.sent = nil
	const asking fate.Incarnation = "former.1"
	d.HandleFrame(asking, &inner.Frame{Body: &inner.Frame_SlotGrant{SlotGrant: &inner.SlotGrant{Pool: pool, Report: true}}}, nil)
	if len(peers.sent) != 1 || peers.sent[0].to != asking || peers.sent[0].frame.GetSlotSync() == nil {
		t.Fatalf("sent %v, want one report to %s", peers.sent, asking)
	}
	if m := peers.sent[0].frame.GetSlotSync(); m.GetPool() != pool || len(m.GetHeld()) != 0 || len(m.GetWaiting()) != 0 {
		t.Errorf("report %v, want one of pool %q without slots", m, pool)
	}
}
