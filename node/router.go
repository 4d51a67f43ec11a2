package node

import (
	"log/slog"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// router routes offers from the coordinator of this instance to the owners of groups, on this
// instance or on a peer, and offers of peers to the groups that this instance owns.
type router struct {
	node *Node
	mu   sync.Mutex
	// peerOwners holds the last reported state of the groups that peers own, by group.
	peerOwners map[string]*peerOwner
	// lastOfferAt holds when the last offer was sent to an instance, by name.
	lastOfferAt map[string]time.Time
	// openOffers holds the offers that were sent to peers and have not ended.
	openOffers map[offerKey]*openOffer
	// leasesRenewedAt holds when the lease of the offers on a connection was last
	// renewed, by id of the connection.
	leasesRenewedAt map[uint64]time.Time
	// peerClocks holds the latest time that each peer has sent of its monotonic clock, in
	// milliseconds.
	peerClocks map[fate.Incarnation]uint64
}

// openOffer is an offer that was sent to a peer and has not ended.
type openOffer struct {
	owner.OfferCallbacks
	peer  string           // name of the instance that the offer was sent to
	token uint64           // fencing token of the owner on that instance
	conn  inner.Connection // connection on which the offer was sent; nil while it is being sent
	// withdrawn and reason are set when the coordinator withdraws the offer.
	withdrawn bool
	reason    string
}

// peerOwner is the last reported state of a group that a peer owns.
type peerOwner struct {
	peer       fate.Incarnation
	token      uint64
	load       ingress.OwnerLoad
	reportedAt time.Time
	// relayed is set if a hub has relayed the report, and not set if the owner has sent
	// it itself.
	relayed bool
}

// isFresh reports whether the last report of the owner is recent enough to rely on.
func (o *peerOwner) isFresh() bool {
	if o.relayed {
		return clock.Since(o.reportedAt) < maxRelayedLoadAge
	}
	return clock.Since(o.reportedAt) < maxLoadAge
}

// offerKey identifies an offer to a peer.
type offerKey struct {
	group string
	job   schedule.JobKey
}

func newRouter(n *Node) *router {
	return &router{
		node: n, peerOwners: map[string]*peerOwner{}, lastOfferAt: map[string]time.Time{}, openOffers: map[offerKey]*openOffer{},
		leasesRenewedAt: map[uint64]time.Time{}, peerClocks: map[fate.Incarnation]uint64{},
	}
}

// findGroup returns the group with a name, or nil if this instance does not own it, and whether
// the group accepts offers. A group that is being handed over accepts none.
func (r *router) findGroup(name string) (g *owner.Group, open bool) {
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	owned := r.node.groups[name]
	if owned == nil {
		return nil, false
	}
	return owned.Group, !owned.handingOver
}

// Loads implements ingress.Owners. It returns the loads of the groups that this instance
// owns, and of those on peers with a fresh report. Stale reports are used only if there is
// nothing else.
func (r *router) Loads() []ingress.OwnerLoad {
	r.node.mu.Lock()
	own := slices.DeleteFunc(r.node.ownedGroupsLocked(), func(g *ownedGroup) bool { return g.handingOver })
	r.node.mu.Unlock()
	var fresh, stale []ingress.OwnerLoad
	for _, g := range own {
		fresh = append(fresh, ownerLoad(g.Name, g.Token, g.Load()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for group, v := range r.peerOwners {
		if slices.ContainsFunc(own, func(g *ownedGroup) bool { return g.Name == group }) {
			continue
		}
		l := v.load
		l.Age, l.Relayed = clock.Since(v.reportedAt), v.relayed
		if v.isFresh() {
			fresh = append(fresh, l)
		} else {
			stale = append(stale, l)
		}
	}
	if len(fresh) == 0 {
		fresh = stale
	}
	slices.SortFunc(fresh, func(a, b ingress.OwnerLoad) int { return strings.Compare(a.Group, b.Group) })
	return fresh
}

func ownerLoad(group string, token uint64, l schedule.Load) ingress.OwnerLoad {
	return ingress.OwnerLoad{Group: group, Zone: zoneOfGroup(group), Token: token, Free: l.Free, Waiting: l.Waiting, Capacity: l.Capacity, Closed: l.Closed, Waits: l.Waits}
}

// handleClaims updates the owners of groups from the claims in a heartbeat of a peer.
func (r *router) handleClaims(from fate.Incarnation, p *inner.Presence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	claimed := map[string]bool{}
	for _, c := range p.GetClaims() {
		claimed[c.GetGroup()] = !c.GetLeaving()
		v := r.peerOwners[c.GetGroup()]
		if c.GetLeaving() || v != nil && v.token > c.GetToken() {
			continue
		}
		r.peerOwners[c.GetGroup()] = &peerOwner{peer: from, token: c.GetToken(), load: ownerLoad(c.GetGroup(), c.GetToken(), loadFromProto(c)), reportedAt: clock.Now()}
	}
	for group, v := range r.peerOwners {
		if v.peer == from && !claimed[group] {
			delete(r.peerOwners, group)
		}
	}
}

// forgetPeer removes what is known of a peer that is dead.
func (r *router) forgetPeer(peer fate.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for group, v := range r.peerOwners {
		if v.peer == peer {
			delete(r.peerOwners, group)
		}
	}
	delete(r.peerClocks, peer)
}

// Offer implements ingress.Owners. It hands the offer to the group if this instance owns it,
// and otherwise sends it to the owner.
func (r *router) Offer(group string, o schedule.Offer, callbacks owner.OfferCallbacks) error {
	if o.AdoptFrom > 0 {
		event.OfferAdopting.Log(r.node.log, slog.String("job", o.Key.ID), slog.String("group", group), slog.Int("tasks", len(o.Tasks)), slog.Uint64("lost_token", o.AdoptFrom))
		r.node.metrics.Add("offers_adopting", 1)
	}
	if g, open := r.findGroup(group); open {
		o.Key.Coordinator = string(r.node.self)
		callbacks.TasksDone = nil // this instance is not lost without its own group
		return g.Offer(o, callbacks)
	}
	r.mu.Lock()
	v := r.peerOwners[group]
	if v == nil {
		r.mu.Unlock()
		return failure.Unreachable.New("group %s has no known owner", group)
	}
	k := offerKey{group, o.Key}
	peer := v.peer
	tracked := &openOffer{OfferCallbacks: callbacks, peer: peer.Instance(), token: v.token}
	r.openOffers[k] = tracked
	v.load.AddOffered(len(o.Tasks))
	r.lastOfferAt[peer.Instance()] = clock.Now()
	aliveMs := aliveOnPeerClock(r.peerClocks[peer], o.AliveAt)
	r.mu.Unlock()
	frame := &inner.Frame{Body: &inner.Frame_Offer{Offer: offerToProto(group, o, aliveMs)}}
	conn, err := r.node.mesh.CallAsyncConn(peer, frame, func(f *inner.Frame, err error) { r.handleOfferEnd(k, f, err) })
	if err != nil {
		r.removeOffer(k)
		return err
	}
	r.mu.Lock()
	tracked.conn = conn
	withdrawn, reason := tracked.withdrawn, tracked.reason
	r.mu.Unlock()
	if withdrawn {
		r.sendWithdrawal(conn, k, reason)
	}
	return nil
}

// removeOffer removes and returns an open offer. It returns nil if the offer is not open.
func (r *router) removeOffer(k offerKey) *openOffer {
	r.mu.Lock()
	defer r.mu.Unlock()
	offer := r.openOffers[k]
	delete(r.openOffers, k)
	return offer
}

// handleOfferEnd handles the reply to an offer, or the error if the connection broke, and passes
// the result to the coordinator.
func (r *router) handleOfferEnd(k offerKey, f *inner.Frame, err error) {
	offer := r.removeOffer(k)
	if offer == nil {
		return
	}
	switch {
	case failure.Is(err, failure.Stopping):
		// The peer has rejected the offer and started nothing. A result without any
		// done task makes the coordinator offer all tasks again.
		offer.OfferEnded(schedule.Result{Key: k.job, Outcome: schedule.Completed}, schedule.Load{})
	case err != nil:
		event.OfferLost.Log(r.node.log, slog.String("job", k.job.ID), slog.String("group", k.group), slog.Uint64("token", offer.token), slog.String("error", err.Error()))
		r.node.metrics.Add("offers_lost", 1)
		offer.OwnerLost(offer.token)
	default:
		ended := f.GetOfferEnded()
		r.updateLoad(ended.GetLoad())
		offer.OfferEnded(schedule.Result{
			Key: k.job, Outcome: outcomeFromProto(ended), Begun: ended.GetBegun(),
			Done: toInts(ended.GetDone()), Returned: toInts(ended.GetReturned()), History: taskHistoryFromProto(ended.GetPast()),
		}, loadFromProto(ended.GetLoad()))
	}
}

// updateLoad updates the load of a group from a claim in a reply to an offer, unless the token of
// the claim differs from that of the group's known owner.
func (r *router) updateLoad(c *inner.Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.peerOwners[c.GetGroup()]; v != nil && v.token == c.GetToken() {
		v.load = ownerLoad(c.GetGroup(), c.GetToken(), loadFromProto(c))
		v.reportedAt = clock.Now()
	}
}

// handleReturned passes tasks that an owner on a peer returns to the coordinator.
func (r *router) handleReturned(m *inner.OfferReturned) {
	r.updateLoad(m.GetLoad())
	k := offerKey{m.GetGroup(), schedule.JobKey{ID: m.GetJob(), Part: int(m.GetPart())}}
	r.mu.Lock()
	offer := r.openOffers[k]
	r.mu.Unlock()
	if offer != nil {
		offer.TasksReturned(schedule.Result{Key: k.job, Returned: toInts(m.GetTasks()), History: taskHistoryFromProto(m.GetPast()), Begun: m.GetBegun()}, loadFromProto(m.GetLoad()))
	}
}

// Withdraw implements ingress.Owners. If the offer is still being sent, Offer sends the
// withdrawal.
func (r *router) Withdraw(group string, key schedule.JobKey, reason string) {
	k := offerKey{group, key}
	offer := r.removeOffer(k)
	if offer == nil {
		if g, _ := r.findGroup(group); g != nil {
			key.Coordinator = string(r.node.self)
			g.Withdraw(key, reason)
		}
		return
	}
	r.mu.Lock()
	offer.withdrawn, offer.reason = true, reason
	conn := offer.conn
	r.mu.Unlock()
	if conn != nil {
		r.sendWithdrawal(conn, k, reason)
	}
}

// sendWithdrawal withdraws an offer on the connection on which it was sent. If the connection
// is closed, the owner ends the offer without a withdrawal.
func (r *router) sendWithdrawal(conn inner.Connection, k offerKey, reason string) {
	frame := &inner.Frame{Body: &inner.Frame_OfferWithdrawn{OfferWithdrawn: &inner.OfferWithdrawn{
		Group: k.group, Job: k.job.ID, Part: uint32(k.job.Part), Reason: reason,
	}}}
	if err := conn.Send(frame); err != nil {
		event.PeerUnsent.Log(r.node.log, slog.String("what", "withdrawal"), slog.String("job", k.job.ID), slog.String("error", err.Error()))
	}
}

// coordinatorName returns the name by which a group identifies the coordinator of the offers on a
// connection. Each connection of a peer has a different name, and therefore a lease of its own.
func coordinatorName(conn inner.Connection, from fate.Incarnation) string {
	return string(from) + "#" + strconv.FormatUint(conn.ID(), 10)
}

// handleOffer hands the offer of a peer to the group, and replies when the offer ends.
func (r *router) handleOffer(conn inner.Connection, from fate.Incarnation, m *inner.Offer, reply func(*inner.Frame)) {
	g, _ := r.findGroup(m.GetGroup())
	if g == nil {
		reply(&inner.Frame{Body: &inner.Frame_Problem{Problem: inner.FromError(failure.Stopping.New("group %s is not owned here", m.GetGroup()))}})
		return
	}
	o := offerFromProto(m)
	o.Key.Coordinator = coordinatorName(conn, from)
	o.AliveAt = r.node.timeOfClock(m.GetAliveMs())
	err := g.Offer(o, owner.OfferCallbacks{
		TasksReturned: func(res schedule.Result, l schedule.Load) {
			_ = conn.Send(offerReturnedFrame(g, res, l)) // it fails if the connection is closed, which withdraws the offer
		},
		TasksDone:  func(tasks []int) { r.sendProgress(conn, m, tasks) },
		OfferEnded: func(res schedule.Result, l schedule.Load) { reply(offerEndedFrame(g, res, l)) },
	})
	if err != nil {
		reply(&inner.Frame{Body: &inner.Frame_Problem{Problem: inner.FromError(err)}})
	}
}

func (r *router) handleWithdrawal(conn inner.Connection, from fate.Incarnation, m *inner.OfferWithdrawn) {
	if g, _ := r.findGroup(m.GetGroup()); g != nil {
		g.Withdraw(schedule.JobKey{Coordinator: coordinatorName(conn, from), ID: m.GetJob(), Part: int(m.GetPart())}, m.GetReason())
	}
}

// handleConnectionClosed withdraws the offers that arrived on a connection: their coordinator
// considers them lost, and its customers may submit the jobs again.
func (r *router) handleConnectionClosed(conn inner.Connection, from fate.Incarnation) {
	coordinator := coordinatorName(conn, from)
	for _, g := range r.node.ownedGroups() {
		g.WithdrawAll(coordinator, "the connection to the coordinator closed")
	}
	r.mu.Lock()
	delete(r.leasesRenewedAt, conn.ID())
	r.mu.Unlock()
}

// activeOwners returns the instances that have an open offer of this one, or that were sent an
// offer within activeOwnerPeriod. They and this instance exchange heartbeats, because each side
// must detect the loss of the other soon.
func (r *router) activeOwners() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	active := map[string]bool{}
	for _, offer := range r.openOffers {
		active[offer.peer] = true
	}
	for instance, at := range r.lastOfferAt {
		if clock.Since(at) > activeOwnerPeriod {
			delete(r.lastOfferAt, instance)
			continue
		}
		active[instance] = true
	}
	return active
}
