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

// held is a group that this instance owns.
type held struct {
	*owner.Group
	since time.Time
	// handing is set while the group goes to a better owner. The upstreams
	// that were let go already are in released.
	handing  bool
	released []string
}

// groupName names one group of an availability zone.
func groupName(zone string, index int) string { return zone + "/" + strconv.Itoa(index) }

// zoneOf returns the availability zone of a group.
func zoneOf(group string) string { return group[:strings.LastIndexByte(group, '/')] }

// groupOf returns the group of an upstream, "" before the number of groups of
// its availability zone is known. The lock is held.
func (n *Node) groupOf(u fleet.Upstream) string {
	count := n.groupCounts[u.Zone]
	if count == 0 {
		return ""
	}
	return groupName(u.Zone, membership.GroupIndex(u.ID, count))
}

// groupsOf names the groups of a zone.
func groupsOf(zone string, count int) []string {
	var groups []string
	for i := range count {
		groups = append(groups, groupName(zone, i))
	}
	return groups
}

// zoneGroups returns the groups of the own availability zone. The lock is held.
func (n *Node) zoneGroups() []string { return groupsOf(n.in.Zone, n.groupCounts[n.in.Zone]) }

// ownedGroups returns the groups that this instance owns, by name. The lock is
// held.
func (n *Node) ownedGroups() []*held {
	return slices.SortedFunc(maps.Values(n.groups), func(a, b *held) int { return strings.Compare(a.Name, b.Name) })
}

// owned is ownedGroups, without the lock.
func (n *Node) owned() []*held {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.ownedGroups()
}

// membersOf returns the upstreams of a group that this instance may own: while
// a peer hands the group over, those that it has let go. The lock is held.
func (n *Node) membersOf(group string) []fleet.Upstream {
	_, leaving := n.claimOf(group, true)
	return n.directory.Select(func(u fleet.Upstream) bool {
		return n.groupOf(u) == group && (leaving == nil || slices.Contains(leaving.GetReleased(), u.ID))
	})
}

// updateGroups gives each owned group its upstreams. One update is carried out
// after the other, so that none is overtaken by an older one.
func (n *Node) updateGroups() {
	n.updating.Lock()
	defer n.updating.Unlock()
	n.mu.Lock()
	members := map[*held][]fleet.Upstream{}
	for _, g := range n.groups {
		members[g] = n.membersOf(g.Name)
	}
	n.mu.Unlock()
	for g, list := range members {
		g.SetUpstreams(list)
	}
}

// claimOf returns the live peer that owns a group, with the highest token, if
// any does: one that keeps it, or one that hands it over. The lock is held.
func (n *Node) claimOf(group string, leaving bool) (string, *inner.Claim) {
	var best *inner.Claim
	name := ""
	for instance, p := range n.heard {
		if state := n.table.State(instance); state == membership.Dead || state == membership.Listed {
			continue
		}
		for _, c := range p.GetClaims() {
			if c.GetGroup() == group && c.GetLeaving() == leaving && (best == nil || c.GetToken() > best.GetToken()) {
				best, name = c, instance
			}
		}
	}
	return name, best
}

const (
	// countSettle is how long the number of a zone's upstreams must stand still
	// at the first start before it counts: they enter themselves over more than
	// one heartbeat, which takes 1.5 s.
	countSettle = 2 * time.Second
	// countLimit is when it counts in any case, from the start of the instance.
	countLimit = 7 * time.Second
)

// counted reports whether the number of upstreams of the own zone can be trusted:
// always but at the first start of the whole system. The lock is held.
func (n *Node) counted(count int, now time.Time) bool {
	if !n.in.FirstStart || now.Sub(n.began) >= countLimit {
		return true
	}
	if count != n.lastCount || n.lastCountAt.IsZero() {
		n.lastCount, n.lastCountAt = count, now
	}
	return now.Sub(n.lastCountAt) >= countSettle
}

// countGroups settles how many groups the own availability zone has, once and
// for all instances, through the store.
func (n *Node) countGroups() {
	n.mu.Lock()
	if n.groupCounts[n.in.Zone] > 0 || n.counting || !n.directory.Synced() {
		n.mu.Unlock()
		return
	}
	count := n.directory.CountInZone(n.in.Zone)
	if count == 0 || !n.counted(count, clock.Now()) {
		n.mu.Unlock()
		return
	}
	n.counting = true
	instances := lo.CountBy(slices.Collect(maps.Values(n.registered)), func(zone string) bool { return zone == n.in.Zone })
	n.mu.Unlock()
	go n.createCount(membership.GroupCount(count, instances, n.in.LinkRate))
}

func (n *Node) createCount(groups int) {
	err := n.store.Create(platform.GroupPrefix+n.in.Zone, []byte(strconv.Itoa(groups)))
	if err == nil {
		n.takeCount(n.in.Zone, groups)
	} else if !failure.Is(err, failure.Conflict) { // where it is there already, the watch tells
		event.RegisterFailed.Log(n.log, slog.String("what", "number of groups"), slog.String("error", err.Error()))
	}
	n.pause(firstRetry)
	n.mu.Lock()
	n.counting = false
	n.mu.Unlock()
}

// takeCount learns the number of groups of an availability zone.
func (n *Node) takeCount(zone string, groups int) {
	n.mu.Lock()
	known := n.groupCounts[zone] > 0
	if !known && groups > 0 {
		n.groupCounts[zone] = groups
	}
	n.mu.Unlock()
}
