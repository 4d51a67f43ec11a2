package node

import (
	"log/slog"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/platform"

	"github.com/samber/lo"
)

// ownedGroup is a group that this instance owns.
type ownedGroup struct {
	*owner.Group
	takenAt time.Time
	// handingOver is set while the group is being handed over to another instance. Each
	// upstream is released as soon as nothing runs there, and its id is added to released.
	handingOver bool
	released    []string
}

// groupName returns the name of a group of an availability zone.
func groupName(zone string, index int) string { return zone + "/" + strconv.Itoa(index) }

// zoneOfGroup returns the availability zone of a group.
func zoneOfGroup(group string) string { return group[:strings.LastIndexByte(group, '/')] }

// groupOf returns the group of an upstream, or "" if the number of groups of its
// availability zone is not known yet. n.mu is held.
func (n *Node) groupOf(u fleet.Upstream) string { return groupAmong(u, n.groupCounts[u.Zone]) }

// groupAmong returns the group of an upstream, given the number of groups of its availability
// zone, or "" if that is 0.
func groupAmong(u fleet.Upstream, count int) string {
	if count == 0 {
		return ""
	}
	return groupName(u.Zone, membership.GroupIndex(u.ID, count))
}

// groupNames returns the names of all groups of a zone.
func groupNames(zone string, count int) []string {
	var groups []string
	for i := range count {
		groups = append(groups, groupName(zone, i))
	}
	return groups
}

// ownZoneGroups returns the names of the groups of this instance's zone. n.mu is held.
func (n *Node) ownZoneGroups() []string {
	return groupNames(n.settings.Zone, n.groupCounts[n.settings.Zone])
}

// ownedGroupsLocked returns the groups that this instance owns, ordered by name. n.mu is
// held.
func (n *Node) ownedGroupsLocked() []*ownedGroup {
	return slices.SortedFunc(maps.Values(n.groups), func(a, b *ownedGroup) int { return strings.Compare(a.Name, b.Name) })
}

// ownedGroups returns the groups that this instance owns, ordered by name.
func (n *Node) ownedGroups() []*ownedGroup {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownedGroupsLocked()
}

// groupMembers returns the upstreams of a group that this instance may own. While a peer
// hands the group over, these are only the upstreams that the peer has released. n.mu is
// held.
func (n *Node) groupMembers(group string) []fleet.Upstream {
	_, handoverClaim := n.claimOf(group, true)
	return n.directory.Select(func(u fleet.Upstream) bool {
		return n.groupOf(u) == group && (handoverClaim == nil || slices.Contains(handoverClaim.GetReleased(), u.ID))
	})
}

// updateGroups sets the upstreams of each owned group. updateMu serializes the updates, so
// that an older list never replaces a newer one.
func (n *Node) updateGroups() {
	n.updateMu.Lock()
	defer n.updateMu.Unlock()
	n.mu.Lock()
	members := map[*ownedGroup][]fleet.Upstream{}
	for _, g := range n.groups {
		members[g] = n.groupMembers(g.Name)
	}
	n.mu.Unlock()
	for g, list := range members {
		g.SetUpstreams(list)
	}
}

// claimOf returns the peer that claims a group, and its claim, which is nil if no peer does. If
// handingOver is set, it considers only peers that are handing the group over, and otherwise only
// peers that are not. If several peers claim the group, the claim with the highest token wins.
// Claims of dead peers and of peers that need not send heartbeats do not count. n.mu is held.
func (n *Node) claimOf(group string, handingOver bool) (string, *inner.Claim) {
	var best *inner.Claim
	claimant := ""
	for instance, p := range n.lastHeartbeat {
		if state := n.peers.State(instance); state == membership.Dead || state == membership.Listed {
			continue
		}
		for _, c := range p.GetClaims() {
			if c.GetGroup() == group && c.GetLeaving() == handingOver && (best == nil || c.GetToken() > best.GetToken()) {
				best, claimant = c, instance
			}
		}
	}
	return claimant, best
}

const (
	// countSettleTime is how long the number of a zone's upstreams must be unchanged at
	// the first start of the system before the number of groups is derived from it. The
	// upstreams register over more than one of their heartbeat intervals of 1.5 s.
	countSettleTime = 2 * time.Second
	// countTimeout is the age at which an instance uses the number of upstreams even if it
	// is still changing.
	countTimeout = 7 * time.Second
)

// upstreamCountSettled reports whether the number of groups may be derived from count, the number
// of upstreams in the own zone. At the first start of the whole system, upstreams are still
// registering, so that count must have been unchanged for countSettleTime first. At any other
// start it may be used at once. n.mu is held.
func (n *Node) upstreamCountSettled(count int, now time.Time) bool {
	if !n.settings.FirstStart || now.Sub(n.startedAt) >= countTimeout {
		return true
	}
	if count != n.lastUpstreamCount || n.upstreamCountChangedAt.IsZero() {
		n.lastUpstreamCount, n.upstreamCountChangedAt = count, now
	}
	return now.Sub(n.upstreamCountChangedAt) >= countSettleTime
}

// ensureGroupCount determines the number of groups of the own zone if it is not known yet,
// and writes it to the store in the background. The first instance that does so sets the
// number for all instances.
func (n *Node) ensureGroupCount() {
	n.mu.Lock()
	if n.groupCounts[n.settings.Zone] > 0 || n.creatingGroupCount || !n.directory.Synced() {
		n.mu.Unlock()
		return
	}
	count := n.directory.CountInZone(n.settings.Zone)
	if count == 0 || !n.upstreamCountSettled(count, clock.Now()) {
		n.mu.Unlock()
		return
	}
	n.creatingGroupCount = true
	instances := lo.CountBy(slices.Collect(maps.Values(n.registeredZones)), func(zone string) bool { return zone == n.settings.Zone })
	n.mu.Unlock()
	go n.createGroupCount(membership.GroupCount(count, instances, n.settings.LinkRate))
}

// createGroupCount writes the number of groups of the own zone to the store, unless it is
// there already.
func (n *Node) createGroupCount(groups int) {
	err := n.store.Create(platform.GroupCountPrefix+n.settings.Zone, []byte(strconv.Itoa(groups)))
	if err == nil {
		n.setGroupCount(n.settings.Zone, groups)
	} else if !failure.Is(err, failure.Conflict) { // on a conflict, the watch delivers the existing number
		event.RegisterFailed.Log(n.log, slog.String("what", "number of groups"), slog.String("error", err.Error()))
	}
	n.sleep(minRetryPause)
	n.mu.Lock()
	n.creatingGroupCount = false
	n.mu.Unlock()
}

// setGroupCount sets the number of groups of an availability zone, unless it is known: the
// number never changes.
func (n *Node) setGroupCount(zone string, groups int) {
	n.mu.Lock()
	alreadySet := n.groupCounts[zone] > 0
	if !alreadySet && groups > 0 {
		n.groupCounts[zone] = groups
	}
	n.mu.Unlock()
}
