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

// router passes offers between the coordinator of this instance and the owners
// of groups, here and on peers.
type router struct {
	node *Node
	mu   sync.Mutex
	// peerOwners holds what is known of owners on peers, by group.
	peerOwners map[string]*peerOwner
	// lastOfferAt holds when an offer was last sent to an instance.
	lastOfferAt map[string]time.Time
	// openOffers holds the offers to peers that have not ended.
	openOffers map[offerKey]*sentOffer
	// leasesRenewedAt holds when the leases of the offers on a connection were leasesRenewedAt last, by
	// its number.
	leasesRenewedAt map[uint64]time.Time
	// peerClocks holds the latest time of its steady clock, in milliseconds, that each peer
	// has told.
	peerClocks map[fate.Incarnation]uint64
}

// sentOffer is an offer to a peer.
type sentOffer struct {
	owner.OfferCallbacks
	peer string           // the instance that it went to
	link inner.Connection // that it went on; nil while it is being sent
	// withdrawn is set once the offer is not wanted any more, for a reason.
	withdrawn bool
	reason    string
}

// peerOwner is what is known of the owner of a group on a peer.
type peerOwner struct {
	peer       fate.Incarnation
	token      uint64
	load       ingress.OwnerLoad
	reportedAt time.Time
	// relayed is set where a hub has passed it on.
	relayed bool
}

// isFresh reports whether the owner was heard of lately.
func (v *peerOwner) isFresh() bool {
	if v.relayed {
		return clock.Since(v.reportedAt) < maxRelayedLoadAge
	}
	return clock.Since(v.reportedAt) < maxLoadAge
}

// offerKey names an offer to a peer.
type offerKey struct {
	group string
	job   schedule.JobKey
}

func newRouter(n *Node) *router {
	return &router{
		node: n, peerOwners: map[string]*peerOwner{}, lastOfferAt: map[string]time.Time{}, openOffers: map[offerKey]*sentOffer{},
		leasesRenewedAt: map[uint64]time.Time{}, peerClocks: map[fate.Incarnation]uint64{},
	}
}

// findGroup returns a findGroup that this instance owns, and whether it takes offers.
func (r *router) findGroup(name string) (g *owner.Group, open bool) {
	r.node.mu.Lock()
	defer r.node.mu.Unlock()
	h := r.node.groups[name]
	if h == nil {
		return nil, false
	}
	return h.Group, !h.handingOver
}

// Loads implements ingress.Owners.
func (r *router) Loads() []ingress.OwnerLoad {
	r.node.mu.Lock()
	own := slices.DeleteFunc(r.node.ownedGroupsLocked(), func(g *ownedGroup) bool { return g.handingOver })
	r.node.mu.Unlock()
	var fresh, stale []ingress.OwnerLoad
	for _, g := range own {
		fresh = append(fresh, ownerLoad(g.Name, g.Load()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for group, v := range r.peerOwners {
		if slices.ContainsFunc(own, func(g *ownedGroup) bool { return g.Name == group }) {
			continue
		}
		l := v.load
		l.Age = clock.Since(v.reportedAt)
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

func ownerLoad(group string, l schedule.Load) ingress.OwnerLoad {
	return ingress.OwnerLoad{Group: group, Zone: zoneOfGroup(group), Free: l.Free, Waiting: l.Waiting, Capacity: l.Capacity, Closed: l.Closed}
}

// handleClaims takes what a peer says of the groups that it owns.
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
		r.peerOwners[c.GetGroup()] = &peerOwner{peer: from, token: c.GetToken(), load: ownerLoad(c.GetGroup(), loadFromProto(c)), reportedAt: clock.Now()}
	}
	for group, v := range r.peerOwners {
		if v.peer == from && !claimed[group] {
			delete(r.peerOwners, group)
		}
	}
}

// forgetPeer forgets a peer.
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

// Offer implements ingress.Owners.
func (r *router) Offer(group string, o schedule.Offer, answer owner.OfferCallbacks) error {
	if g, open := r.findGroup(group); open {
		o.Key.Coordinator = string(r.node.self)
		return g.Offer(o, answer)
	}
	r.mu.Lock()
	v := r.peerOwners[group]
	if v == nil {
		r.mu.Unlock()
		return failure.Unreachable.New("no owner of group %s is known", group)
	}
	k := offerKey{group, o.Key}
	peer := v.peer
	sent := &sentOffer{OfferCallbacks: answer, peer: peer.Instance()}
	r.openOffers[k] = sent
	v.load.Free -= len(o.Tasks)
	r.lastOfferAt[peer.Instance()] = clock.Now()
	aliveMs := aliveOnPeerClock(r.peerClocks[peer], o.AliveAt)
	r.mu.Unlock()
	frame := &inner.Frame{Body: &inner.Frame_Offer{Offer: offerToProto(group, o, aliveMs)}}
	link, err := r.node.mesh.CallAsyncConn(peer, frame, func(f *inner.Frame, err error) { r.handleOfferEnd(k, f, err) })
	if err != nil {
		r.removeOffer(k)
		return err
	}
	r.mu.Lock()
	sent.link = link
	withdrawn, reason := sent.withdrawn, sent.reason
	r.mu.Unlock()
	if withdrawn {
		r.sendWithdrawal(link, k, reason)
	}
	return nil
}

// removeOffer removes an open offer, and returns nil where it is not open.
func (r *router) removeOffer(k offerKey) *sentOffer {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := r.openOffers[k]
	delete(r.openOffers, k)
	return sent
}

// handleOfferEnd takes the reply to an offer, or the loss of its connection.
func (r *router) handleOfferEnd(k offerKey, f *inner.Frame, err error) {
	answer := r.removeOffer(k)
	if answer == nil {
		return
	}
	switch {
	case failure.Is(err, failure.Stopping):
		answer.OfferEnded(schedule.Result{Key: k.job, Outcome: schedule.Completed}, schedule.Load{})
	case err != nil:
		event.OfferLost.Log(r.node.log, slog.String("job", k.job.ID), slog.String("group", k.group), slog.String("error", err.Error()))
		answer.OfferEnded(schedule.Result{Key: k.job, Outcome: schedule.Unknown, Begun: true}, schedule.Load{})
	default:
		ended := f.GetOfferEnded()
		r.updateLoad(ended.GetLoad())
		answer.OfferEnded(schedule.Result{
			Key: k.job, Outcome: schedule.Outcome(ended.GetOutcome()), Begun: ended.GetBegun(),
			Done: toInts(ended.GetDone()), Returned: toInts(ended.GetReturned()), History: taskHistoryFromProto(ended.GetPast()),
		}, loadFromProto(ended.GetLoad()))
	}
}

func (r *router) updateLoad(c *inner.Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.peerOwners[c.GetGroup()]; v != nil && v.token == c.GetToken() {
		v.load = ownerLoad(c.GetGroup(), loadFromProto(c))
		v.reportedAt = clock.Now()
	}
}

// handleReturned takes tasks back from an owner on a peer.
func (r *router) handleReturned(m *inner.OfferReturned) {
	r.updateLoad(m.GetLoad())
	k := offerKey{m.GetGroup(), schedule.JobKey{ID: m.GetJob(), Part: int(m.GetPart())}}
	r.mu.Lock()
	answer := r.openOffers[k]
	r.mu.Unlock()
	if answer != nil {
		answer.TasksReturned(schedule.Result{Key: k.job, Returned: toInts(m.GetTasks()), History: taskHistoryFromProto(m.GetPast()), Begun: m.GetBegun()}, loadFromProto(m.GetLoad()))
	}
}

// Withdraw implements ingress.Owners.
func (r *router) Withdraw(group string, key schedule.JobKey, reason string) {
	k := offerKey{group, key}
	sent := r.removeOffer(k)
	if sent == nil {
		if g, _ := r.findGroup(group); g != nil {
			key.Coordinator = string(r.node.self)
			g.Withdraw(key, reason)
		}
		return
	}
	r.mu.Lock()
	sent.withdrawn, sent.reason = true, reason
	link := sent.link
	r.mu.Unlock()
	if link != nil {
		r.sendWithdrawal(link, k, reason)
	}
}

// sendWithdrawal follows an offer on its connection. Once that is closed, its
// owner has ended the offer by itself.
func (r *router) sendWithdrawal(link inner.Connection, k offerKey, reason string) {
	frame := &inner.Frame{Body: &inner.Frame_OfferWithdrawn{OfferWithdrawn: &inner.OfferWithdrawn{
		Group: k.group, Job: k.job.ID, Part: uint32(k.job.Part), Reason: reason,
	}}}
	if err := link.Send(frame); err != nil {
		event.PeerUnsent.Log(r.node.log, slog.String("what", "withdrawal"), slog.String("job", k.job.ID), slog.String("error", err.Error()))
	}
}

// coordinatorName names the coordinator of the offers that come on a connection.
func coordinatorName(link inner.Connection, from fate.Incarnation) string {
	return string(from) + "#" + strconv.FormatUint(link.ID(), 10)
}

// handleOffer takes the offer of a peer.
func (r *router) handleOffer(link inner.Connection, from fate.Incarnation, m *inner.Offer, reply func(*inner.Frame)) {
	g, _ := r.findGroup(m.GetGroup())
	if g == nil {
		reply(&inner.Frame{Body: &inner.Frame_Problem{Problem: inner.FromError(failure.Stopping.New("group %s is not owned here", m.GetGroup()))}})
		return
	}
	o := offerFromProto(m)
	o.Key.Coordinator = coordinatorName(link, from)
	o.AliveAt = r.node.timeOfClock(m.GetAliveMs())
	err := g.Offer(o, owner.OfferCallbacks{
		TasksReturned: func(res schedule.Result, l schedule.Load) {
			_ = link.Send(offerReturnedFrame(g, res, l)) // a closed connection has ended the offer
		},
		OfferEnded: func(res schedule.Result, l schedule.Load) { reply(offerEndedFrame(g, res, l)) },
	})
	if err != nil {
		reply(&inner.Frame{Body: &inner.Frame_Problem{Problem: inner.FromError(err)}})
	}
}

func (r *router) handleWithdrawal(link inner.Connection, from fate.Incarnation, m *inner.OfferWithdrawn) {
	if g, _ := r.findGroup(m.GetGroup()); g != nil {
		g.Withdraw(schedule.JobKey{Coordinator: coordinatorName(link, from), ID: m.GetJob(), Part: int(m.GetPart())}, m.GetReason())
	}
}

// handleLinkClosed ends the offers that came on a connection: their coordinator takes
// them for lost, and its customers may send them again.
func (r *router) handleLinkClosed(link inner.Connection, from fate.Incarnation) {
	coordinator := coordinatorName(link, from)
	for _, g := range r.node.ownedGroups() {
		g.WithdrawAll(coordinator, "the connection to the coordinator closed")
	}
	r.mu.Lock()
	delete(r.leasesRenewedAt, link.ID())
	r.mu.Unlock()
}

// activeOwners returns the instances that have an offer of this one, or had one lately:
// both sides must notice soon when the other is lost.
func (r *router) activeOwners() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	used := map[string]bool{}
	for _, sent := range r.openOffers {
		used[sent.peer] = true
	}
	for instance, at := range r.lastOfferAt {
		if clock.Since(at) > activeOwnerPeriod {
			delete(r.lastOfferAt, instance)
			continue
		}
		used[instance] = true
	}
	return used
}
