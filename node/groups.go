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
	// handingOver is set while the group goes to a better owner. The upstreams
	// that were let go already are in released.
	handingOver bool
	released    []string
}

// groupName names one group of an availability zone.
func groupName(zone string, index int) string { return zone + "/" + strconv.Itoa(index) }

// zoneOfGroup returns the availability zone of a group.
func zoneOfGroup(group string) string { return group[:strings.LastIndexByte(group, '/')] }

// groupOf returns the group of an upstream, "" before the number of groups of
// its availability zone is known. The lock is held.
func (n *Node) groupOf(u fleet.Upstream) string {
	count := n.groupCounts[u.Zone]
	if count == 0 {
		return ""
	}
	return groupName(u.Zone, membership.GroupIndex(u.ID, count))
}

// groupNames names the groups of a zone.
func groupNames(zone string, count int) []string {
	var groups []string
	for i := range count {
		groups = append(groups, groupName(zone, i))
	}
	return groups
}

// ownZoneGroups returns the groups of the own availability zone. The lock is held.
func (n *Node) ownZoneGroups() []string {
	return groupNames(n.settings.Zone, n.groupCounts[n.settings.Zone])
}

// ownedGroupsLocked returns the groups that this instance owns, by name. The lock is
// held.
func (n *Node) ownedGroupsLocked() []*ownedGroup {
	return slices.SortedFunc(maps.Values(n.groups), func(a, b *ownedGroup) int { return strings.Compare(a.Name, b.Name) })
}

// ownedGroups is ownedGroups, without the lock.
func (n *Node) ownedGroups() []*ownedGroup {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownedGroupsLocked()
}

// groupMembers returns the upstreams of a group that this instance may own: while
// a peer hands the group over, those that it has let go. The lock is held.
func (n *Node) groupMembers(group string) []fleet.Upstream {
	_, handoverClaim := n.claimOf(group, true)
	return n.directory.Select(func(u fleet.Upstream) bool {
		return n.groupOf(u) == group && (handoverClaim == nil || slices.Contains(handoverClaim.GetReleased(), u.ID))
	})
}

// updateGroups gives each owned group its upstreams. One update is carried out
// after the other, so that none is overtaken by an older one.
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

// claimOf returns the live peer that owns a group, with the highest token, if
// any does: one that keeps it, or one that hands it over. The lock is held.
func (n *Node) claimOf(group string, handingOver bool) (string, *inner.Claim) {
	var best *inner.Claim
	owner := ""
	for instance, p := range n.lastHeartbeat {
		if state := n.peers.State(instance); state == membership.Dead || state == membership.Listed {
			continue
		}
		for _, c := range p.GetClaims() {
			if c.GetGroup() == group && c.GetLeaving() == handingOver && (best == nil || c.GetToken() > best.GetToken()) {
				best, owner = c, instance
			}
		}
	}
	return owner, best
}

const (
	// countSettleTime is how long the number of a zone's upstreams must stand still
	// at the first start before it counts: they enter themselves over more than
	// one heartbeat, which takes 1.5 s.
	countSettleTime = 2 * time.Second
	// countTimeout is when it counts in any case, from the start of the instance.
	countTimeout = 7 * time.Second
)

// upstreamCountSettled reports whether the number of upstreams of the own zone can be trusted:
// always but at the first start of the whole system. The lock is held.
func (n *Node) upstreamCountSettled(count int, now time.Time) bool {
	if !n.settings.FirstStart || now.Sub(n.startedAt) >= countTimeout {
		return true
	}
	if count != n.lastUpstreamCount || n.upstreamCountChangedAt.IsZero() {
		n.lastUpstreamCount, n.upstreamCountChangedAt = count, now
	}
	return now.Sub(n.upstreamCountChangedAt) >= countSettleTime
}

// ensureGroupCount settles how many groups the own availability zone has, once and
// for all instances, through the store.
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

func (n *Node) createGroupCount(groups int) {
	err := n.store.Create(platform.GroupCountPrefix+n.settings.Zone, []byte(strconv.Itoa(groups)))
	if err == nil {
		n.setGroupCount(n.settings.Zone, groups)
	} else if !failure.Is(err, failure.Conflict) { // where it is there already, the watch tells
		event.RegisterFailed.Log(n.log, slog.String("what", "number of groups"), slog.String("error", err.Error()))
	}
	n.sleep(minRetryPause)
	n.mu.Lock()
	n.creatingGroupCount = false
	n.mu.Unlock()
}

// setGroupCount learns the number of groups of an availability zone.
func (n *Node) setGroupCount(zone string, groups int) {
	n.mu.Lock()
	alreadySet := n.groupCounts[zone] > 0
	if !alreadySet && groups > 0 {
		n.groupCounts[zone] = groups
	}
	n.mu.Unlock()
}
