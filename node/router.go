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
	n  *Node
	mu sync.Mutex
	// views holds what is known of owners on peers, by group.
	views map[string]*view
	// used holds when an offer was last sent to an instance.
	used map[string]time.Time
	// sent holds the offers to peers that have not ended.
	sent map[offerKey]*sentOffer
	// renewed holds when the leases of the offers on a connection were renewed last, by
	// its number.
	renewed map[uint64]time.Time
	// clocks holds the latest time of its steady clock, in milliseconds, that each peer
	// has told.
	clocks map[fate.Incarnation]uint64
}

// sentOffer is an offer to a peer.
type sentOffer struct {
	owner.OfferCallbacks
	peer string     // the instance that it went to
	link inner.Link // that it went on; nil while it is being sent
	// withdrawn is set once the offer is not wanted any more, for a reason.
	withdrawn bool
	reason    string
}

// view is what is known of the owner of a group on a peer.
type view struct {
	peer  fate.Incarnation
	token uint64
	load  ingress.OwnerLoad
	heard time.Time
	// relayed is set where a hub has passed it on.
	relayed bool
}

// fresh reports whether the owner was heard of lately.
func (v *view) fresh() bool {
	if v.relayed {
		return clock.Since(v.heard) < staleRelayed
	}
	return clock.Since(v.heard) < staleLoad
}

// offerKey names an offer to a peer.
type offerKey struct {
	group string
	key   schedule.JobKey
}

func newRouter(n *Node) *router {
	return &router{
		n: n, views: map[string]*view{}, used: map[string]time.Time{}, sent: map[offerKey]*sentOffer{},
		renewed: map[uint64]time.Time{}, clocks: map[fate.Incarnation]uint64{},
	}
}

// group returns a group that this instance owns, and whether it takes offers.
func (r *router) group(name string) (g *owner.Group, open bool) {
	r.n.mu.Lock()
	defer r.n.mu.Unlock()
	h := r.n.groups[name]
	if h == nil {
		return nil, false
	}
	return h.Group, !h.handingOver
}

// Loads implements ingress.Owners.
func (r *router) Loads() []ingress.OwnerLoad {
	r.n.mu.Lock()
	own := slices.DeleteFunc(r.n.ownedGroupsLocked(), func(g *ownedGroup) bool { return g.handingOver })
	r.n.mu.Unlock()
	var fresh, stale []ingress.OwnerLoad
	for _, g := range own {
		fresh = append(fresh, loadOf(g.Name, g.Load()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for group, v := range r.views {
		if slices.ContainsFunc(own, func(g *ownedGroup) bool { return g.Name == group }) {
			continue
		}
		l := v.load
		l.Age = clock.Since(v.heard)
		if v.fresh() {
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

func loadOf(group string, l schedule.Load) ingress.OwnerLoad {
	return ingress.OwnerLoad{Group: group, Zone: zoneOfGroup(group), Free: l.Free, Waiting: l.Waiting, Capacity: l.Capacity, Closed: l.Closed}
}

// heard takes what a peer says of the groups that it owns.
func (r *router) heard(from fate.Incarnation, p *inner.Presence) {
	r.mu.Lock()
	defer r.mu.Unlock()
	claimed := map[string]bool{}
	for _, c := range p.GetClaims() {
		claimed[c.GetGroup()] = !c.GetLeaving()
		v := r.views[c.GetGroup()]
		if c.GetLeaving() || v != nil && v.token > c.GetToken() {
			continue
		}
		r.views[c.GetGroup()] = &view{peer: from, token: c.GetToken(), load: loadOf(c.GetGroup(), loadFromProto(c)), heard: clock.Now()}
	}
	for group, v := range r.views {
		if v.peer == from && !claimed[group] {
			delete(r.views, group)
		}
	}
}

// lost forgets a peer.
func (r *router) lost(peer fate.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for group, v := range r.views {
		if v.peer == peer {
			delete(r.views, group)
		}
	}
	delete(r.clocks, peer)
}

// Offer implements ingress.Owners.
func (r *router) Offer(group string, o schedule.Offer, answer owner.OfferCallbacks) error {
	if g, open := r.group(group); open {
		o.Key.Coordinator = string(r.n.self)
		return g.Offer(o, answer)
	}
	r.mu.Lock()
	v := r.views[group]
	if v == nil {
		r.mu.Unlock()
		return failure.Unreachable.New("no owner of group %s is known", group)
	}
	k := offerKey{group, o.Key}
	peer := v.peer
	sent := &sentOffer{OfferCallbacks: answer, peer: peer.Instance()}
	r.sent[k] = sent
	v.load.Free -= len(o.Tasks)
	r.used[peer.Instance()] = clock.Now()
	aliveMs := aliveOnPeerClock(r.clocks[peer], o.AliveAt)
	r.mu.Unlock()
	frame := &inner.Frame{Body: &inner.Frame_Offer{Offer: offerToProto(group, o, aliveMs)}}
	link, err := r.n.mesh.Ask(peer, frame, func(f *inner.Frame, err error) { r.offerEnded(k, f, err) })
	if err != nil {
		r.take(k)
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

// take removes an open offer, and returns nil where it is not open.
func (r *router) take(k offerKey) *sentOffer {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := r.sent[k]
	delete(r.sent, k)
	return sent
}

// offerEnded takes the reply to an offer, or the loss of its connection.
func (r *router) offerEnded(k offerKey, f *inner.Frame, err error) {
	answer := r.take(k)
	if answer == nil {
		return
	}
	switch {
	case failure.Is(err, failure.Stopping):
		answer.OfferEnded(schedule.Result{Key: k.key, Outcome: schedule.Completed}, schedule.Load{})
	case err != nil:
		event.OfferLost.Log(r.n.log, slog.String("job", k.key.ID), slog.String("group", k.group), slog.String("error", err.Error()))
		answer.OfferEnded(schedule.Result{Key: k.key, Outcome: schedule.Unknown, Begun: true}, schedule.Load{})
	default:
		ended := f.GetOfferEnded()
		r.updateLoad(ended.GetLoad())
		answer.OfferEnded(schedule.Result{
			Key: k.key, Outcome: schedule.Outcome(ended.GetOutcome()), Begun: ended.GetBegun(),
			Done: toInts(ended.GetDone()), Returned: toInts(ended.GetReturned()), History: taskHistoryFromProto(ended.GetPast()),
		}, loadFromProto(ended.GetLoad()))
	}
}

func (r *router) updateLoad(c *inner.Claim) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v := r.views[c.GetGroup()]; v != nil && v.token == c.GetToken() {
		v.load = loadOf(c.GetGroup(), loadFromProto(c))
		v.heard = clock.Now()
	}
}

// takeReturned takes tasks back from an owner on a peer.
func (r *router) takeReturned(m *inner.OfferReturned) {
	r.updateLoad(m.GetLoad())
	k := offerKey{m.GetGroup(), schedule.JobKey{ID: m.GetJob(), Part: int(m.GetPart())}}
	r.mu.Lock()
	answer := r.sent[k]
	r.mu.Unlock()
	if answer != nil {
		answer.TasksReturned(schedule.Result{Key: k.key, Returned: toInts(m.GetTasks()), History: taskHistoryFromProto(m.GetPast()), Begun: m.GetBegun()}, loadFromProto(m.GetLoad()))
	}
}

// Withdraw implements ingress.Owners.
func (r *router) Withdraw(group string, key schedule.JobKey, reason string) {
	k := offerKey{group, key}
	sent := r.take(k)
	if sent == nil {
		if g, _ := r.group(group); g != nil {
			key.Coordinator = string(r.n.self)
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
func (r *router) sendWithdrawal(link inner.Link, k offerKey, reason string) {
	frame := &inner.Frame{Body: &inner.Frame_OfferWithdrawn{OfferWithdrawn: &inner.OfferWithdrawn{
		Group: k.group, Job: k.key.ID, Part: uint32(k.key.Part), Reason: reason,
	}}}
	if err := link.Send(frame); err != nil {
		event.PeerUnsent.Log(r.n.log, slog.String("what", "withdrawal"), slog.String("job", k.key.ID), slog.String("error", err.Error()))
	}
}

// coordinatorOf names the coordinator of the offers that come on a connection.
func coordinatorOf(link inner.Link, from fate.Incarnation) string {
	return string(from) + "#" + strconv.FormatUint(link.Number(), 10)
}

// takeOffer takes the offer of a peer.
func (r *router) takeOffer(link inner.Link, from fate.Incarnation, m *inner.Offer, reply func(*inner.Frame)) {
	g, _ := r.group(m.GetGroup())
	if g == nil {
		reply(&inner.Frame{Body: &inner.Frame_Problem{Problem: inner.FromError(failure.Stopping.New("group %s is not owned here", m.GetGroup()))}})
		return
	}
	o := offerFromProto(m)
	o.Key.Coordinator = coordinatorOf(link, from)
	o.AliveAt = r.n.timeOfClock(m.GetAliveMs())
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

func (r *router) takeWithdrawn(link inner.Link, from fate.Incarnation, m *inner.OfferWithdrawn) {
	if g, _ := r.group(m.GetGroup()); g != nil {
		g.Withdraw(schedule.JobKey{Coordinator: coordinatorOf(link, from), ID: m.GetJob(), Part: int(m.GetPart())}, m.GetReason())
	}
}

// linkClosed ends the offers that came on a connection: their coordinator takes
// them for lost, and its customers may send them again.
func (r *router) linkClosed(link inner.Link, from fate.Incarnation) {
	coordinator := coordinatorOf(link, from)
	for _, g := range r.n.ownedGroups() {
		g.WithdrawAll(coordinator, "the connection to the coordinator closed")
	}
	r.mu.Lock()
	delete(r.renewed, link.Number())
	r.mu.Unlock()
}

// inUse returns the instances that have an offer of this one, or had one lately:
// both sides must notice soon when the other is lost.
func (r *router) inUse() map[string]bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	used := map[string]bool{}
	for _, sent := range r.sent {
		used[sent.peer] = true
	}
	for instance, at := range r.used {
		if clock.Since(at) > useTime {
			delete(r.used, instance)
			continue
		}
		used[instance] = true
	}
	return used
}
