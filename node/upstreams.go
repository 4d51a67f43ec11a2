package node

import (
	"log/slog"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/directory"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/platform"

	"github.com/samber/lo"
)

// followUpstreams keeps the directory of upstreams up to date until the instance stops.
func (n *Node) followUpstreams() {
	n.awaitPeerList()
	n.follow(storeFollower{
		prefix: platform.UpstreamPrefix, watchWait: constant(upstreamWatchWait), readPause: n.upstreamReadPause, mode: n.upstreamFollowMode, onReadFailure: n.requestUpstreams,
		replace: func(items []platform.Item, _ uint64) {
			n.applyUpstreamChanges(n.directory.Replace(clock.Now(), n.parseEntries(items)))
		},
		update: func(items []platform.Item) {
			n.applyUpstreamChanges(n.directory.Update(clock.Now(), n.parseEntries(items)))
		},
	})
}

// parseEntries decodes the parseEntries of upstreams. What cannot be read is logged.
func (n *Node) parseEntries(items []platform.Item) []directory.Entry {
	list := make([]directory.Entry, 0, len(items))
	for _, item := range items {
		e := directory.Entry{ID: platform.UpstreamID(item.Key), Deleted: item.Deleted}
		if !item.Deleted {
			var err error
			e.Upstream, err = platform.ParseUpstream(item.Key, item.Value)
			e.Invalid = n.refusals.record(n, item.Key, err)
		}
		list = append(list, e)
	}
	if n.directory.RecordStartTimes(list) {
		n.refuseWithoutStartTime(list)
	}
	return list
}

// refuseWithoutStartTime refuses the entries that do not tell when their upstream was born, where
// upstreams do: somebody else wrote them.
func (n *Node) refuseWithoutStartTime(list []directory.Entry) {
	missing := failure.Field(failure.Protocol, "born", "is missing")
	for i, e := range list {
		if !e.Deleted && !e.Invalid && e.Upstream.StartedUnixMs == 0 {
			list[i].Invalid = n.refusals.record(n, platform.UpstreamPrefix+e.ID, missing)
		}
	}
}

// applyUpstreamChanges gives owned groups the list as it is now, and notes the upstreams
// that are newly known to drain.
func (n *Node) applyUpstreamChanges(draining []fleet.UpstreamIncarnation) {
	n.logDrains(draining, "store")
	n.updateGroups()
}

// logDrains logs those of some upstreams that this instance owns.
func (n *Node) logDrains(lives []fleet.UpstreamIncarnation, from string) {
	for _, life := range lives {
		u, listed := n.directory.Lookup(life.ID)
		n.mu.Lock()
		owned := listed && n.groups[n.groupOf(u)] != nil
		n.mu.Unlock()
		if owned {
			event.UpstreamLeaving.Log(n.log, slog.String("upstream", life.ID), slog.String("from", from))
		}
	}
}

// maxRefusedKeys bounds how many refused keys are remembered, so that each is logged once
// for a reason and not with each read.
const maxRefusedKeys = 1024

// entryRefusals remembers why entries of the store were refused.
type entryRefusals struct {
	mu      sync.Mutex
	reasons map[string]string // by key
}

// record notes whether an record could be read, and reports whether it is refused. It
// logs a reason that is new for its key.
func (r *entryRefusals) record(n *Node, key string, err error) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		delete(r.reasons, key)
		return false
	}
	n.metrics.Add("entries_refused", 1)
	reason := failure.FieldOf(err) + ": " + failure.Text(err)
	if r.reasons[key] == reason {
		return true
	}
	if r.reasons == nil || len(r.reasons) >= maxRefusedKeys {
		r.reasons = map[string]string{}
	}
	r.reasons[key] = reason
	event.EntryRefused.Log(n.log, slog.String("key", key), slog.String("reason", reason))
	return true
}

// awaitPeerList waits for the list of instances, which tells whether this one may own groups:
// at the start of all, each that reads the upstreams takes from the store's link what the
// owners need. It waits for listFirst at most.
func (n *Node) awaitPeerList() {
	timer := time.NewTimer(peerListTimeout)
	defer timer.Stop()
	select {
	case <-n.peerListReady:
	case <-timer.C:
	case <-n.ctx.Done():
	}
}

// upstreamFollowMode tells how closely the entries of upstreams have to be followed.
func (n *Node) upstreamFollowMode() followMode {
	n.mu.Lock()
	how := n.upstreamFollowModeLocked()
	n.mu.Unlock()
	if how == followNothing {
		n.directory.MarkUnsynced()
	}
	return how
}

// upstreamFollowModeLocked is upstreamNeed. In large availability zones only hubs own groups, and
// those of them that are small beside others only once the larger ones are lost: what they
// have read is for the case that the store does not answer then. The lock is held.
func (n *Node) upstreamFollowModeLocked() followMode {
	counted := n.groupCounts[n.settings.Zone] > 0 // the number of groups follows from that of upstreams
	switch {
	case len(n.groups) > 0:
		return followContinuously
	case !n.neighbours.IsHub:
		return followNothing
	case counted && clock.Since(n.startedAt) < standbyDelay && !membership.IsLarge(n.settings.CPUShare, n.listedCandidates()):
		return followNothing // the larger ones start as well, and read them at this moment
	case counted && !membership.IsLarge(n.settings.CPUShare, n.ownZoneCandidates()):
		return followPeriodically
	default:
		return followContinuously
	}
}

// listedCandidates returns the hubs of the own availability zone that may run, as they are
// listed. The lock is held.
func (n *Node) listedCandidates() []membership.Candidate {
	return lo.FilterMap(n.hubPeers(), func(p membership.Peer, _ int) (membership.Candidate, bool) {
		return membership.Candidate{Name: p.Instance, CPUShare: p.CPUShare}, !n.isDown(p.Instance)
	})
}

// upstreamReadPause is the pause between reads of the upstreams' entries.
func (n *Node) upstreamReadPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.groups) > 0 {
		return ownerReadPause
	}
	return standbyReadPause
}
