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

// Address returns the address on which an instance listens for other instances. It
// implements inner.AddressResolver.
func (n *Node) Address(instance string) (string, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Address(instance)
}

// handleHello records the address and location that another instance reports when it
// connects.
func (n *Node) handleHello(h *inner.Hello) {
	who := fate.Incarnation(h.GetIncarnation())
	n.mu.Lock()
	defer n.mu.Unlock()
	n.table.ApplyHello(membership.Listing{
		Instance: who.Instance(), Address: h.GetAddress(), Region: h.GetRegion(), Zone: h.GetZone(), Rack: h.GetRack(),
	})
}

// HandleFrame handles a frame from another instance.
func (n *Node) HandleFrame(from fate.Incarnation, f *inner.Frame, reply func(*inner.Frame)) {
	if hb := f.GetHeartbeat(); hb != nil {
		n.handleHeartbeat(from, hb)
		return
	}
	if f.GetLearn() != nil {
		reply(n.knownFrame())
		return
	}
	n.dispatch.HandleFrame(from, f, reply)
}

func (n *Node) handleHeartbeat(from fate.Incarnation, hb *inner.Heartbeat) {
	heartbeat := membership.Heartbeat{
		Leaving: hb.GetLeaving(), ActiveJobs: hb.GetActiveJobs(), Revision: hb.GetSettingsRevision(),
		FreeSlots: hb.GetFreeSlots(), QueuedTasks: hb.GetQueuedTasks(),
	}
	n.mu.Lock()
	changes := n.table.RecordHeartbeat(from, heartbeat, time.Now().UnixMilli())
	n.mu.Unlock()
	n.handlePeerChanges(changes)
	if heartbeat.Revision > n.Revision() || !n.settings.Load().received {
		go n.fetchSettings(from)
	}
	n.dispatch.SetBrokerLoad(from, int(heartbeat.FreeSlots), int(heartbeat.QueuedTasks))
	for _, id := range hb.GetLeavingUpstreams() {
		n.dispatch.MarkUpstreamLeaving(id)
	}
}

// handlePeerChanges logs the changed states of other instances, requests a view that takes
// them into account, and handles the loss of instances that are now dead.
func (n *Node) handlePeerChanges(changes []membership.Change) {
	if len(changes) == 0 {
		return
	}
	for _, c := range changes {
		n.logPeerChange(c)
	}
	n.requestViewUpdate()
	for _, c := range changes {
		if c.Peer.State == membership.Dead {
			n.mesh.CloseDialed(c.Peer.Instance)
			go n.dispatch.HandlePeerLost(c.Peer.Incarnation)
		}
	}
}

func (n *Node) logPeerChange(c membership.Change) {
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

// requestViewUpdate makes updateViews give a new view to the dispatcher.
func (n *Node) requestViewUpdate() {
	select {
	case n.viewChanged <- struct{}{}:
	default:
	}
}

// updateViews gives the dispatcher a new view of the fleet each time one is requested.
// Views are set one at a time, in order.
func (n *Node) updateViews() {
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-n.viewChanged:
			n.dispatch.SetView(n.view())
		}
	}
}

// view returns the current view of the fleet.
func (n *Node) view() dispatch.View {
	n.mu.Lock()
	defer n.mu.Unlock()
	v := dispatch.View{ZonesWithInstances: map[string]bool{n.cfg.Zone: true}, OtherInstances: n.countOtherInstances()}
	for _, p := range n.table.Peers() {
		v.ZonesWithInstances[p.Zone] = true
		if p.State == membership.Alive {
			v.Members = append(v.Members, dispatch.Member{
				InstanceLocation: placement.InstanceLocation{Instance: p.Instance, Region: p.Region, Zone: p.Zone, Rack: p.Rack},
				Incarnation:      p.Incarnation,
			})
		}
	}
	for _, u := range n.instances {
		if u.Role == api.RoleUpstream {
			v.Upstreams = append(v.Upstreams, upstreamSpec(u))
		}
	}
	if !n.leaving.Load() || len(v.Members) == 0 {
		// If no other instance is alive, this one remains a member while it is leaving:
		// its jobs could not end without a broker to grant them slots.
		v.Members = append(v.Members, dispatch.Member{
			InstanceLocation: placement.InstanceLocation{Instance: n.cfg.Instance, Region: n.cfg.Region, Zone: n.cfg.Zone, Rack: n.cfg.Rack},
			Incarnation:      n.incarnation,
		})
	}
	return v
}

// countOtherInstances returns the number of other instances in the platform's list that run
// jobs for callers, or -1 before a list was received. The caller must hold n.mu.
func (n *Node) countOtherInstances() int {
	if n.instances == nil {
		return -1
	}
	return lo.CountBy(n.instances, func(i api.PlatformInstance) bool { return i.Role == api.RoleEntry && i.ID != n.cfg.Instance })
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

// runHeartbeats sends heartbeats to the other instances at regular intervals and detects
// those that have stopped sending theirs.
func (n *Node) runHeartbeats() {
	ticker := time.NewTicker(n.cfg.HeartbeatInterval)
	defer ticker.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-ticker.C:
			n.broadcastHeartbeat()
			n.updatePeers(time.Now().UnixMilli())
		}
	}
}

// updatePeers detects the instances that have stopped sending heartbeats.
func (n *Node) updatePeers(now int64) {
	n.mu.Lock()
	stalledMs := n.table.DetectStall(now)
	changes := n.table.Tick(now)
	n.mu.Unlock()
	if stalledMs > 0 {
		event.Stalled.Log(n.log, slog.Int64("stalled_ms", stalledMs))
		n.metrics.Add("stalls", 1)
	}
	n.handlePeerChanges(changes)
}

// broadcastHeartbeat sends one heartbeat to each of the other instances. Each is sent in its
// own goroutine, so that an instance that cannot be reached does not delay the rest.
func (n *Node) broadcastHeartbeat() {
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
		go n.sendHeartbeat(p, f)
	}
}

// sendHeartbeat sends a heartbeat to another instance. If the error proves that the process
// of that instance has ended, its state changes to Dead at once instead of after the timeout
// for missing heartbeats.
func (n *Node) sendHeartbeat(p membership.Peer, f *inner.Frame) {
	err := n.mesh.Send(fate.Incarnation(p.Instance), f)
	if !failure.Is(err, failure.Gone) || p.Incarnation == "" || n.ctx.Err() != nil {
		return
	}
	n.mu.Lock()
	changes := n.table.MarkEnded(p.Incarnation)
	n.mu.Unlock()
	n.handlePeerChanges(changes)
}

// pollInstances reads the platform's list of instances at regular intervals. While the
// platform does not answer, the last list remains in use.
func (n *Node) pollInstances() {
	down := false
	for n.ctx.Err() == nil {
		list, err := n.platform.Instances()
		if (err != nil) != down && n.ctx.Err() == nil {
			down = err != nil
			n.logPlatformChange(err)
		}
		if err == nil {
			n.applyInstances(list)
		}
		n.sleep(n.pollInterval())
	}
}

// pollInterval returns the time until the next read of the platform's list. It is
// proportional to the number of instances in the zone, so that the load on the platform does
// not grow with that number.
func (n *Node) pollInterval() time.Duration {
	share := (len(n.aliveZonePeers()) + 1) / watchersPerZone
	return n.cfg.InstancePollInterval * time.Duration(max(share, 1))
}

func (n *Node) logPlatformChange(err error) {
	if err != nil {
		event.PlatformLost.Log(n.log, slog.String("error", err.Error()))
		return
	}
	event.PlatformBack.Log(n.log)
}

// applyInstances makes list the current list of instances. If it differs from the previous
// one, a new view and a heartbeat to every instance follow.
func (n *Node) applyInstances(list []api.PlatformInstance) {
	entries := lo.FilterMap(list, func(i api.PlatformInstance, _ int) (membership.Listing, bool) {
		isPeer := i.Role == api.RoleEntry && i.ID != n.cfg.Instance
		return membership.Listing{Instance: i.ID, Address: i.Address, Region: i.Region, Zone: i.Zone, Rack: i.Rack, Leaving: i.Leaving}, isPeer
	})
	if list == nil {
		list = []api.PlatformInstance{} // nil would mean that no list has been received
	}
	n.mu.Lock()
	same := n.instances != nil && equalInstances(n.instances, list)
	n.instances = list
	n.table.SetListed(entries)
	n.mu.Unlock()
	if !same {
		n.requestViewUpdate()
		n.broadcastHeartbeat()
	}
}

// equalInstances reports whether two lists have the same instances, in any order.
func equalInstances(a, b []api.PlatformInstance) bool {
	if len(a) != len(b) {
		return false
	}
	byID := lo.KeyBy(a, func(i api.PlatformInstance) string { return i.ID })
	return lo.EveryBy(b, func(i api.PlatformInstance) bool { return byID[i.ID] == i })
}

// Peers returns what this instance knows about the other instances.
func (n *Node) Peers() []membership.Peer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.table.Peers()
}

// FleetSizeAtLeast reports whether this instance knows at least the given numbers of
// upstreams and of instances that are alive, including itself.
func (n *Node) FleetSizeAtLeast(instances, upstreams int) bool {
	m, u := n.dispatch.FleetSize()
	return m >= instances && u >= upstreams
}

// UpstreamIsLeaving reports whether this instance knows that an upstream is shutting down.
func (n *Node) UpstreamIsLeaving(upstream string) bool {
	return lo.Contains(n.dispatch.LeavingUpstreams(), upstream)
}

// ActiveJobs returns the number of submissions that this instance runs.
func (n *Node) ActiveJobs() int { return n.dispatch.ActiveJobs() }

// HeldSlots returns the number of slots of upstreams in use by the jobs of this instance.
func (n *Node) HeldSlots() int { return n.dispatch.HeldSlots() }

// SentBytes returns the number of bytes that this instance has sent to others.
func (n *Node) SentBytes() int64 { return n.mesh.SentBytes() }
