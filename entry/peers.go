package entry

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/dispatch"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/placement"

	"github.com/samber/lo"
)

// Address tells the mesh where an instance listens.
func (n *Node) Address(instance string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Address(instance)
}

// met takes what a peer says of itself.
func (n *Node) met(h *inner.Hello) {
	who := fate.Incarnation(h.GetIncarnation())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.ApplyHello(membership.Listing{
		Instance: who.Instance(), Address: h.GetAddress(), Region: h.GetRegion(), Zone: h.GetZone(), Rack: h.GetRack(),
	})
}

// HandleFrame takes a frame of another instance.
func (n *Node) HandleFrame(from fate.Incarnation, f *inner.Frame, reply func(*inner.Frame)) {
	if hb := f.GetHeartbeat(); hb != nil {
		n.heard(from, hb)
		return
	}
	if f.GetLearn() != nil {
		reply(n.known())
		return
	}
	n.dispatch.HandleFrame(from, f, reply)
}

func (n *Node) heard(from fate.Incarnation, hb *inner.Heartbeat) {
	load := membership.Heartbeat{
		Leaving: hb.GetLeaving(), ActiveJobs: hb.GetActiveJobs(), Revision: hb.GetSettingsRevision(),
		FreeSlots: hb.GetFreeSlots(), QueuedTasks: hb.GetQueuedTasks(),
	}
	n.mu.Lock()
	changes := n.table.RecordHeartbeat(from, load, time.Now().UnixMilli())
	n.mu.Unlock()
	n.changed(changes)
	if load.Revision > n.Revision() || !n.settings.Load().known {
		go n.learnSettings(from)
	}
	n.dispatch.SetBrokerLoad(from, int(load.FreeSlots), int(load.QueuedTasks))
	for _, id := range hb.GetLeavingUpstreams() {
		n.dispatch.MarkUpstreamLeaving(id)
	}
}

// changed acts on peers whose state changed.
func (n *Node) changed(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		n.logChange(c)
	}
	n.updateView()
	for _, c := range changes {
		if c.Peer.State == membership.Dead {
			n.mesh.CloseDialed(c.Peer.Instance)
			go n.dispatch.HandlePeerLost(c.Peer.Incarnation)
		}
	}
}

func (n *Node) logChange(c membership.Change) {
	attrs := []slog.Attr{slog.String("peer", string(c.Peer.Incarnation)), slog.String("before", string(c.Previous))}
	switch c.Peer.State {
	case membership.Alive:
		event.PeerAlive.Log(n.log, attrs...)
	case membership.Dead:
		event.PeerLost.Log(n.log, attrs...)
	case membership.Leaving:
		event.PeerLeaving.Log(n.log, attrs...)
	}
}

// updateView makes the dispatcher learn what is known of the fleet now.
func (n *Node) updateView() {
	select {
	case n.viewChanged <- struct{}{}:
	default:
	}
}

// keepView gives the dispatcher each new view, one after another.
func (n *Node) keepView() {
	for {
		select {
		case <-n.stop.Done():
			return
		case <-n.viewChanged:
			n.dispatch.SetView(n.view())
		}
	}
}

// view returns what is known of the fleet now.
func (n *Node) view() dispatch.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := dispatch.View{ZonesWithInstances: map[string]bool{n.cfg.Zone: true}, OtherInstances: n.listedOthers()}
	for _, p := range n.table.Peers() {
		v.ZonesWithInstances[p.Zone] = true
		if p.State == membership.Alive {
			v.Members = append(v.Members, dispatch.Member{
				InstanceLocation: placement.InstanceLocation{Instance: p.Instance, Region: p.Region, Zone: p.Zone, Rack: p.Rack},
				Incarnation:      p.Incarnation,
			})
		}
	}
	for _, u := range n.listed {
		if u.Role == api.RoleUpstream {
			v.Upstreams = append(v.Upstreams, upstreamSpec(u))
		}
	}
	if !n.leaving.Load() || len(v.Members) == 0 {
		// One that leaves serves its own to the end where nobody else is there.
		v.Members = append(v.Members, dispatch.Member{
			InstanceLocation: placement.InstanceLocation{Instance: n.cfg.Instance, Region: n.cfg.Region, Zone: n.cfg.Zone, Rack: n.cfg.Rack},
			Incarnation:      n.self,
		})
	}
	return v
}

// listedOthers returns how many other entries the platform lists, or -1 before
// it has answered. The lock is held.
func (n *Node) listedOthers() int {
	if n.listed == nil {
		return -1
	}
	return lo.CountBy(n.listed, func(i api.PlatformInstance) bool { return i.Role == api.RoleEntry && i.ID != n.cfg.Instance })
}

func upstreamSpec(u api.PlatformInstance) dispatch.UpstreamSpec {
	return dispatch.UpstreamSpec{
		Upstream: placement.Upstream{
			ID: u.ID, Region: u.Region, Zone: u.Zone, Rack: u.Rack, Slots: u.Slots, Leaving: u.Leaving,
			Capacity: placement.Resources{CPU: u.CPU, MemoryMB: u.MemoryMB, Accelerators: u.Accelerators},
		},
		Address: u.Address, Connections: u.Connections,
	}
}

// heartbeats tells the peers that this instance lives, and notices silence.
func (n *Node) heartbeats() {
	ticker := time.NewTicker(n.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.stop.Done():
			return
		case <-ticker.C:
			n.beat()
			n.mu.Lock()
			changes := n.table.Tick(time.Now().UnixMilli())
			n.mu.Unlock()
			n.changed(changes)
		}
	}
}

// beat sends one heartbeat to every peer. A peer that cannot be reached holds
// nobody else up.
func (n *Node) beat() {
	free, queued := n.dispatch.Load()
	leaving := n.dispatch.LeavingUpstreams()
	n.mu.Lock()
	peers := n.table.Peers()
	n.mu.Unlock()
	for _, p := range peers {
		if p.Instance == n.cfg.Instance || p.Address == "" {
			continue
		}
		f := &inner.Frame{Body: &inner.Frame_Heartbeat{Heartbeat: &inner.Heartbeat{
			Leaving: n.leaving.Load(), ActiveJobs: uint64(n.dispatch.ActiveJobs()), SettingsRevision: n.settings.Load().revision,
			FreeSlots: uint64(free), QueuedTasks: uint64(queued), LeavingUpstreams: leaving,
		}}}
		go n.beatTo(p, f)
	}
}

// beatTo sends a heartbeat. A peer whose process is certainly gone is lost at
// once, without waiting for its silence.
func (n *Node) beatTo(p membership.Peer, f *inner.Frame) {
	err := n.mesh.Send(fate.Incarnation(p.Instance), f)
	if !failure.Is(err, failure.Gone) || p.Incarnation == "" || n.stop.Err() != nil {
		return
	}
	n.mu.Lock()
	changes := n.table.MarkEnded(p.Incarnation)
	n.mu.Unlock()
	n.changed(changes)
}

// pollInstances reads the platform's list, and goes on from the last one when
// the platform is silent.
func (n *Node) pollInstances() {
	down := false
	for n.stop.Err() == nil {
		list, err := n.platform.Instances()
		if (err != nil) != down && n.stop.Err() == nil {
			down = err != nil
			n.logPlatform(err)
		}
		if err == nil {
			n.takeList(list)
		}
		n.pause(n.pollPause())
	}
}

// pollPause grows with the zone, so that the platform's calls do not.
func (n *Node) pollPause() time.Duration {
	share := (len(n.zonePeers()) + 1) / watchersPerZone
	return n.cfg.InstancePollInterval * time.Duration(max(share, 1))
}

func (n *Node) logPlatform(err error) {
	if err != nil {
		event.PlatformLost.Log(n.log, slog.String("error", err.Error()))
		return
	}
	event.PlatformBack.Log(n.log)
}

func (n *Node) takeList(list []api.PlatformInstance) {
	entries := lo.FilterMap(list, func(i api.PlatformInstance, _ int) (membership.Listing, bool) {
		mine := i.Role == api.RoleEntry && i.ID != n.cfg.Instance
		return membership.Listing{Instance: i.ID, Address: i.Address, Region: i.Region, Zone: i.Zone, Rack: i.Rack, Leaving: i.Leaving}, mine
	})
	if list == nil {
		list = []api.PlatformInstance{} // the platform knows none, which is something
	}
	n.mu.Lock()
	same := n.listed != nil && sameList(n.listed, list)
	n.listed = list
	n.table.SetListed(entries)
	n.mu.Unlock()
	if !same {
		n.updateView()
		n.beat()
	}
}

// sameList reports whether two lists say the same, in any order.
func sameList(a, b []api.PlatformInstance) bool {
	if len(a) != len(b) {
		return false
	}
	byID := lo.KeyBy(a, func(i api.PlatformInstance) string { return i.ID })
	return lo.EveryBy(b, func(i api.PlatformInstance) bool { return byID[i.ID] == i })
}

// Peers returns what is known of the other entries.
func (n *Node) Peers() []membership.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Peers()
}

// FleetSizeAtLeast reports whether this instance hears members entries, itself included,
// and knows upstreams.
func (n *Node) FleetSizeAtLeast(members, upstreams int) bool {
	m, u := n.dispatch.FleetSize()
	return m >= members && u >= upstreams
}

// UpstreamIsLeaving reports whether this instance knows that an upstream leaves.
func (n *Node) UpstreamIsLeaving(upstream string) bool {
	return lo.Contains(n.dispatch.LeavingUpstreams(), upstream)
}

// HeldSlots returns how many places at upstreams this instance's jobs hold.
func (n *Node) HeldSlots() int { return n.dispatch.HeldSlots() }

// SentBytes returns the bytes that this instance has sent to others.
func (n *Node) SentBytes() int64 { return n.mesh.SentBytes() }
