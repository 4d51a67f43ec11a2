package node

import (
	"log/slog"
	"maps"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/membership"

	"golang.org/x/time/rate"
)

// A cancellation that a customer has sent to this instance goes to all hubs: they include the owners
// of all groups, without which no task starts. It also goes to the spokes, which may coordinate the
// job, unless the job was open here. A spoke, which exchanges heartbeats only with the hubs of its
// zone, leaves that to one of them. In a fleet of H hubs and S spokes, a cancellation takes H + S
// requests, and no instance sends more than H plus its share of the spokes of its zone.

const (
	// cancelRate is the number of cancellations per second that an instance passes on, and
	// cancelBurst how many of them may come at once. Others are not acknowledged.
	cancelRate  = 200
	cancelBurst = 200
	// maxCancelRelays is the number of hubs that a spoke tries one after the other.
	maxCancelRelays = 2
)

// cancelScope tells to which further instances the receiver of a cancellation sends it.
type cancelScope struct{ hubs, spokes bool }

// newCancelLimiter returns the limiter for the cancellations that this instance passes on.
func newCancelLimiter() *rate.Limiter { return rate.NewLimiter(cancelRate, cancelBurst) }

// CancelElsewhere implements ingress.Canceller.
func (n *Node) CancelElsewhere(job string) ingress.CancelResult {
	if !n.cancelLimiter.Allow() {
		n.metrics.Add("cancellations_over_rate", 1)
		return ingress.CancelUnproved
	}
	began := clock.Now()
	found, unproved := n.cancelEverywhere(job, cancelScope{hubs: true, spokes: true})
	for !found && unproved > 0 && clock.Since(began) < cancelPatience && n.ctx.Err() == nil {
		n.sleep(cancelRetryDelay)
		found, unproved = n.cancelEverywhere(job, cancelScope{hubs: true, spokes: true})
	}
	result := ingress.CancelNoJob
	switch {
	case found:
		result = ingress.CancelFound
	case unproved > 0:
		result = ingress.CancelUnproved
	}
	event.JobCancelled.Log(n.log, slog.String("job", job), slog.Bool("found", found), slog.Int("unproved_groups", unproved), slog.Duration("took", clock.Since(began)))
	return result
}

// NotifyCancelled implements ingress.Canceller.
func (n *Node) NotifyCancelled(job string) {
	if !n.cancelLimiter.Allow() {
		n.metrics.Add("cancellations_over_rate", 1)
		return
	}
	go n.cancelEverywhere(job, cancelScope{hubs: true})
}

// cancelEverywhere ends what this instance and those in the scope have of a job. It reports whether
// any of them had something, and returns the number of groups that may have tasks of it although
// nothing is known of that.
func (n *Node) cancelEverywhere(job string, scope cancelScope) (found bool, unproved int) {
	if n.isHub() {
		return n.cancelAsHub(job, scope)
	}
	foundHere := n.cancelHere(job)
	for _, hub := range n.cancelRelays() {
		reply, err := n.callCancel(hub, job, scope, cancelRelayTimeout)
		if err == nil {
			return foundHere || reply.GetFound(), int(reply.GetUnprovedGroups())
		}
	}
	return foundHere, n.countUnprovedGroups(nil)
}

func (n *Node) isHub() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.neighbours.IsHub
}

// cancelAsHub is cancelEverywhere for a hub.
func (n *Node) cancelAsHub(job string, scope cancelScope) (found bool, unproved int) {
	found = n.cancelHere(job)
	hubs, spokes := n.cancelTargets(scope)
	replies := make(chan cancelReply, len(hubs)+len(spokes))
	for _, p := range hubs {
		go n.sendCancel(p, job, cancelScope{spokes: scope.spokes}, cancelHubTimeout, replies)
	}
	for _, p := range spokes {
		go n.sendCancel(p, job, cancelScope{}, cancelSpokeTimeout, replies)
	}
	replied := map[string]bool{}
	for range len(hubs) + len(spokes) {
		r := <-replies
		found = found || r.found
		replied[r.peer.Instance()] = r.ok
	}
	if !scope.hubs {
		return found, 0
	}
	return found, n.countUnprovedGroups(replied)
}

// cancelReply is the reply of one instance to a cancellation; ok is not set if none came in time.
type cancelReply struct {
	peer      fate.Incarnation
	ok, found bool
}

func (n *Node) sendCancel(peer fate.Incarnation, job string, scope cancelScope, timeout time.Duration, replies chan<- cancelReply) {
	reply, err := n.callCancel(peer, job, scope, timeout)
	replies <- cancelReply{peer: peer, ok: err == nil, found: err == nil && reply.GetFound()}
}

// callCancel sends a cancellation to a peer and waits for the reply. The error is Lost if none comes
// in time.
func (n *Node) callCancel(peer fate.Incarnation, job string, scope cancelScope, timeout time.Duration) (*inner.CancelJobReply, error) {
	type result struct {
		reply *inner.CancelJobReply
		err   error
	}
	done := make(chan result, 1)
	frame := &inner.Frame{Body: &inner.Frame_CancelJob{CancelJob: &inner.CancelJob{Job: job, Hubs: scope.hubs, Spokes: scope.spokes}}}
	err := n.mesh.CallAsync(peer, frame, func(f *inner.Frame, err error) { done <- result{f.GetCancelJobReply(), err} })
	if err != nil {
		return nil, err
	}
	select {
	case r := <-done:
		return r.reply, r.err
	case <-time.After(timeout):
		return nil, failure.Lost.New("%s has not replied within %v", peer, timeout)
	}
}

// handleCancelJob handles a cancellation that a peer has sent.
func (n *Node) handleCancelJob(m *inner.CancelJob, reply func(*inner.Frame)) {
	scope := cancelScope{hubs: m.GetHubs(), spokes: m.GetSpokes()}
	respond := func(found bool, unproved int) {
		reply(&inner.Frame{Body: &inner.Frame_CancelJobReply{CancelJobReply: &inner.CancelJobReply{Found: found, UnprovedGroups: uint32(unproved)}}})
	}
	if scope == (cancelScope{}) || !n.isHub() {
		respond(n.cancelHere(m.GetJob()), 0)
		return
	}
	go func() { respond(n.cancelAsHub(m.GetJob(), scope)) }()
}

// cancelHere ends what this instance has of a job: it may coordinate the job, and may own groups that
// run tasks of it.
func (n *Node) cancelHere(job string) (found bool) {
	found = n.ingress.Cancel(job)
	for _, g := range n.ownedGroups() {
		found = g.Cancel(job) || found
	}
	return found
}

// mayReply reports whether a peer may be running, so that its reply is waited for.
func mayReply(p membership.Peer) bool {
	return p.State == membership.Alive || p.State == membership.Suspect || p.State == membership.Leaving
}

// cancelTargets returns the instances to which this hub sends a cancellation: the hubs of all zones,
// and its share of the spokes of its zone.
func (n *Node) cancelTargets(scope cancelScope) (hubs, spokes []fate.Incarnation) {
	n.mu.Lock()
	defer n.mu.Unlock()
	rank := map[string]int{}
	for i, name := range slices.Sorted(maps.Keys(n.neighbours.Spokes)) {
		rank[name] = i % max(n.neighbours.HubCount, 1)
	}
	for p := range n.peers.All() {
		switch {
		case !mayReply(p) || !n.neighbours.Has(p.Instance):
		case !n.neighbours.Spokes[p.Instance] && scope.hubs:
			hubs = append(hubs, p.Incarnation)
		case n.neighbours.Spokes[p.Instance] && scope.spokes && rank[p.Instance] == n.neighbours.Rank:
			spokes = append(spokes, p.Incarnation)
		}
	}
	return hubs, spokes
}

// cancelRelays returns the hubs that this spoke asks to pass a cancellation on, those first that are
// alive, at most maxCancelRelays.
func (n *Node) cancelRelays() []fate.Incarnation {
	n.mu.Lock()
	defer n.mu.Unlock()
	var alive, others []fate.Incarnation
	for p := range n.peers.All() {
		switch {
		case !mayReply(p) || !n.neighbours.Has(p.Instance) || p.Zone != n.settings.Zone:
		case p.State == membership.Alive:
			alive = append(alive, p.Incarnation)
		default:
			others = append(others, p.Incarnation)
		}
	}
	slices.Sort(alive)
	if len(alive) > 1 {
		start := int(n.cancelsRelayed.Add(1)) % len(alive)
		alive = slices.Concat(alive[start:], alive[:start])
	}
	list := append(alive, others...)
	return list[:min(len(list), maxCancelRelays)]
}

// countUnprovedGroups returns the number of groups that may have tasks of a job after the given
// instances have replied that they have ended what they had. A group is proved if its last known
// owner is this instance, has replied or has ended: without an owner, the leases of runs lapse, and
// the next owner has been told of the cancellation. Groups of zones without upstreams do not count.
func (n *Node) countUnprovedGroups(replied map[string]bool) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	unproved := 0
	owners := n.lastOwners()
	for zone, count := range n.groupCounts {
		if n.directory.CountInZone(zone) == 0 {
			continue
		}
		for _, group := range groupNames(zone, count) {
			owner := owners[group]
			if n.groups[group] == nil && !replied[owner] && !n.peers.HasEnded(owner) {
				unproved++
			}
		}
	}
	return unproved
}

// lastOwners returns, by group, the name of the instance that has claimed the group last, as far as
// this instance has heard. n.mu is held.
func (n *Node) lastOwners() map[string]string {
	owners, tokens := map[string]string{}, map[string]uint64{}
	for instance, p := range n.lastHeartbeat {
		for _, c := range p.GetClaims() {
			if c.GetToken() > tokens[c.GetGroup()] {
				owners[c.GetGroup()], tokens[c.GetGroup()] = instance, c.GetToken()
			}
		}
	}
	return owners
}
