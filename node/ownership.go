package node

import (
	"log/slog"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// groupOf names the group of an upstream: those of one availability zone have
// one owner.
func groupOf(u fleet.Upstream) string { return u.Zone }

// zoneOf returns the availability zone of a group.
func zoneOf(group string) string { return group }

// ownedGroups returns the groups that this instance owns, by name. The lock is
// held.
func (n *Node) ownedGroups() []*owner.Group {
	return slices.SortedFunc(maps.Values(n.groups), func(a, b *owner.Group) int { return strings.Compare(a.Name, b.Name) })
}

// membersOf returns the upstreams of a group that this instance may own: while
// a leaving peer empties the group, those that it has let go. The lock is held.
func (n *Node) membersOf(group string) []fleet.Upstream {
	_, leaving := n.claimOf(group, membership.Leaving)
	var list []fleet.Upstream
	for _, u := range n.upstreams {
		if groupOf(u) == group && (leaving == nil || slices.Contains(leaving.GetReleased(), u.ID)) {
			u.Draining = u.Draining || n.draining[u.ID]
			list = append(list, u)
		}
	}
	slices.SortFunc(list, func(a, b fleet.Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// updateGroups gives each owned group its upstreams.
func (n *Node) updateGroups() {
	n.mu.Lock()
	members := map[*owner.Group][]fleet.Upstream{}
	for _, g := range n.groups {
		members[g] = n.membersOf(g.Name)
	}
	n.mu.Unlock()
	for g, list := range members {
		g.SetUpstreams(list)
	}
}

// reconsider takes and gives up groups as peers come and go.
func (n *Node) reconsider() {
	n.yieldGroups()
	n.dropFenced()
	n.releaseGroups() // the beat that follows tells peers
	n.takeGroups()
}

// yieldGroups gives up groups that a peer owns under a higher token: upstreams
// do not listen to this instance any more.
func (n *Node) yieldGroups() {
	var yielded []*owner.Group
	n.mu.Lock()
	for name, g := range n.groups {
		if n.leaving.Load() {
			break // another takes what this instance has let go
		}
		peer, claim := n.claimOf(name, membership.Alive, membership.Suspect)
		if claim != nil && claim.GetToken() > g.Token {
			event.GroupLost.Log(n.log, slog.String("group", name), slog.Uint64("token", g.Token),
				slog.Uint64("higher_token", claim.GetToken()), slog.String("to", peer))
			delete(n.groups, name)
			yielded = append(yielded, g)
		}
	}
	n.mu.Unlock()
	for _, g := range yielded {
		g.Close()
	}
}

// fenceMargin is added to the time in which two holders must not take turns.
const fenceMargin = 200 * time.Millisecond

// dropFenced gives up groups whose upstreams follow a higher token that no peer
// claims. They may be taken again, under a token above it, once two holders
// cannot be taking turns.
func (n *Node) dropFenced() {
	var dropped []*owner.Group
	n.mu.Lock()
	for _, g := range n.ownedGroups() {
		since := g.FencedAt()
		if since.IsZero() || time.Since(since) < n.in.Timing.FenceSettle+fenceMargin {
			continue
		}
		n.highest += tokenLeap << n.leaps
		n.leaps = min(n.leaps+1, maxLeaps)
		event.GroupLost.Log(n.log, slog.String("group", g.Name), slog.Uint64("token", g.Token), slog.String("to", "unknown"))
		delete(n.groups, g.Name)
		dropped = append(dropped, g)
	}
	n.mu.Unlock()
	for _, g := range dropped {
		g.Close()
	}
}

const (
	// tokenLeap raises the next token by a second: the owner that this
	// instance was fenced by may have a clock that is ahead. It doubles each
	// time, at most maxLeaps times.
	tokenLeap = 1000 << membership.RankBits
	maxLeaps  = 8
)

// release lets go of upstreams in a planned stop, and tells peers at once.
func (n *Node) release() {
	if n.releaseGroups() > 0 {
		n.tellPeers()
	}
}

// releaseGroups lets go of drained upstreams and groups in a planned stop, and
// returns how many upstreams it let go.
func (n *Node) releaseGroups() int {
	if !n.leaving.Load() {
		return 0
	}
	count := 0
	n.mu.Lock()
	groups := n.ownedGroups()
	n.mu.Unlock()
	for _, g := range groups {
		released := g.Release()
		count += len(released)
		n.mu.Lock()
		n.released[g.Name] = append(n.released[g.Name], released...)
		n.mu.Unlock()
		if !g.Idle() {
			continue
		}
		g.Close()
		n.mu.Lock()
		delete(n.groups, g.Name)
		n.mu.Unlock()
		event.GroupReleased.Log(n.log, slog.String("group", g.Name), slog.Uint64("token", g.Token))
	}
	return count
}

// claimOf returns the peer in one of some states that owns a group, with the
// highest token, if any does. The lock is held.
func (n *Node) claimOf(group string, states ...membership.State) (string, *inner.Claim) {
	var best *inner.Claim
	name := ""
	for _, p := range n.table.Peers() {
		if !slices.Contains(states, p.State) {
			continue
		}
		for _, c := range n.heard[p.Instance].GetClaims() {
			if c.GetGroup() == group && (best == nil || c.GetToken() > best.GetToken()) {
				best, name = c, p.Instance
			}
		}
	}
	return name, best
}

// takeGroups takes the groups of the own availability zone that nobody owns and
// for which this instance is preferred.
func (n *Node) takeGroups() {
	if n.leaving.Load() || n.stop.Err() != nil {
		return
	}
	n.mu.Lock()
	group := n.in.Zone
	taken := n.settled() && n.canTake(group)
	var g *owner.Group
	if taken {
		n.highest = membership.NextToken(time.Now().UnixMilli(), n.highest, string(n.self))
		g = owner.NewGroup(group, schedule.DefaultConfig, n.highest, n.calls, n)
		n.groups[group] = g
		n.taken = time.Now()
		event.GroupTaken.Log(n.log, slog.String("group", group), slog.Uint64("token", g.Token), slog.Int("upstreams", len(n.membersOf(group))))
	}
	n.mu.Unlock()
	if taken {
		n.updateGroups()
		n.tellPeers()
	}
}

// settled reports whether this instance has heard enough to take a group: from
// every instance of its availability zone that is listed and runs. The lock is
// held.
func (n *Node) settled() bool {
	if time.Since(n.began) >= settleTime {
		return true
	}
	peers := n.table.Peers()
	for _, p := range peers {
		if p.Zone == n.in.Zone && p.State == membership.Listed && !n.absent[p.Instance] {
			return false
		}
	}
	return len(peers) > 0
}

// canTake reports whether this instance should take a group now. The lock is
// held.
func (n *Node) canTake(group string) bool {
	if n.groups[group] != nil || !n.listed || len(n.membersOf(group)) == 0 {
		return false
	}
	if _, claim := n.claimOf(group, membership.Alive, membership.Suspect); claim != nil || n.isolated() {
		return false
	}
	return membership.Preferred(group, n.candidates()) == n.in.Name
}

// isolatedLimit bounds how long an isolated instance leaves its availability
// zone to peers that it cannot hear.
const isolatedLimit = 6 * time.Second

// isolated reports whether this instance hears no peer at all while the store
// lists some of its availability zone that do not refuse connections: it is
// likely itself that is cut off, and a takeover would take the upstreams from
// an owner that works. The lock is held.
func (n *Node) isolated() bool {
	listed := false
	for _, p := range n.table.Peers() {
		switch {
		case p.State == membership.Alive || p.State == membership.Suspect || p.State == membership.Leaving:
			n.alone = time.Time{}
			return false
		case p.Zone == n.in.Zone && n.registered[p.Instance] && !n.absent[p.Instance]:
			listed = true
		}
	}
	if !listed || time.Since(n.began) < isolatedLimit {
		return false // after a restart of all, the list is older than the loss
	}
	if n.alone.IsZero() {
		n.alone = time.Now()
	}
	return time.Since(n.alone) < isolatedLimit
}

// candidates returns the instances of the own availability zone that may own
// groups. The lock is held.
func (n *Node) candidates() []membership.Candidate {
	list := []membership.Candidate{{Name: n.in.Name, Weight: 1}}
	for _, p := range n.table.Peers() {
		if p.Zone == n.in.Zone && p.State == membership.Alive {
			list = append(list, membership.Candidate{Name: p.Instance, Weight: 1})
		}
	}
	return list
}
