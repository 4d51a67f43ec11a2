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

// followUpstreams keeps the upstreams in the directory up to date until the instance ends.
func (n *Node) followUpstreams() {
	n.awaitPeerList()
	n.follow(storeFollower{
		prefix: platform.UpstreamPrefix, watchWait: constant(upstreamWatchWait), readPause: n.upstreamReadPause, mode: n.upstreamFollowMode, onReadFailure: n.requestUnknownUpstreams,
		onRead: n.recordUpstreamRead,
		replace: func(items []platform.Item, _ uint64) {
			n.applyUpstreamChanges(n.directory.Replace(clock.Now(), n.parseEntries(items)))
		},
		update: func(items []platform.Item) {
			n.applyUpstreamChanges(n.directory.Update(clock.Now(), n.parseEntries(items)))
		},
	})
}

// parseEntries decodes store keys of upstreams. It logs invalid entries and marks them as
// invalid.
func (n *Node) parseEntries(items []platform.Item) []directory.Entry {
	list := make([]directory.Entry, 0, len(items))
	for _, item := range items {
		e := directory.Entry{ID: platform.UpstreamID(item.Key), Deleted: item.Deleted}
		if !item.Deleted {
			var err error
			e.Upstream, err = platform.ParseUpstream(item.Key, item.Value)
			e.Invalid = n.invalidEntries.record(n, item.Key, err)
		}
		list = append(list, e)
	}
	if n.directory.RecordStartTimes(list) {
		n.markMissingStartTimes(list)
	}
	return list
}

// markMissingStartTimes marks the entries without a start time as invalid. It is called only on
// platforms whose upstreams report it: an entry without it was written by something else there.
func (n *Node) markMissingStartTimes(list []directory.Entry) {
	missing := failure.Field(failure.Protocol, "born", "is missing")
	for i, e := range list {
		if !e.Deleted && !e.Invalid && e.Upstream.StartedUnixMs == 0 {
			list[i].Invalid = n.invalidEntries.record(n, platform.UpstreamPrefix+e.ID, missing)
		}
	}
}

// applyUpstreamChanges updates the owned groups after the directory has changed, and logs the
// upstreams that have started to drain.
func (n *Node) applyUpstreamChanges(draining []fleet.UpstreamIncarnation) {
	n.logDrains(draining, "store")
	n.updateGroups()
}

// logDrains logs that upstreams are draining. It leaves out those that this instance does not own.
func (n *Node) logDrains(incarnations []fleet.UpstreamIncarnation, from string) {
	for _, incarnation := range incarnations {
		u, listed := n.directory.Lookup(incarnation.ID)
		n.mu.Lock()
		owned := listed && n.groups[n.groupOf(u)] != nil
		n.mu.Unlock()
		if owned {
			event.UpstreamLeaving.Log(n.log, slog.String("upstream", incarnation.ID), slog.String("from", from))
		}
	}
}

// maxInvalidKeys is the maximum number of keys in invalidEntries. When it is reached, the next new
// reason clears the map, and the reasons of all keys are logged once more.
const maxInvalidKeys = 1024

// invalidEntries records why entries of the store are invalid, so that each reason is logged
// once for a key and not at each read.
type invalidEntries struct {
	mu      sync.Mutex
	reasons map[string]string // by key of the store
}

// record takes the result of parsing an entry, and reports whether the entry is invalid. It
// logs the reason if it is new for the key.
func (r *invalidEntries) record(n *Node, key string, err error) bool {
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
	if r.reasons == nil || len(r.reasons) >= maxInvalidKeys {
		r.reasons = map[string]string{}
	}
	r.reasons[key] = reason
	event.EntryRefused.Log(n.log, slog.String("key", key), slog.String("reason", reason))
	return true
}

// awaitPeerList waits up to peerListTimeout for the list of instances, which determines
// whether this instance may own groups. When the whole fleet starts, each instance that reads
// the upstreams without need takes bandwidth of the store away from the owners.
func (n *Node) awaitPeerList() {
	timer := time.NewTimer(peerListTimeout)
	defer timer.Stop()
	select {
	case <-n.peerListReady:
	case <-timer.C:
	case <-n.ctx.Done():
	}
}

// upstreamFollowMode returns how closely the entries of upstreams have to be followed.
func (n *Node) upstreamFollowMode() followMode {
	n.mu.Lock()
	mode := n.upstreamFollowModeLocked()
	n.mu.Unlock()
	if mode == followNothing {
		n.directory.MarkUnsynced()
	}
	return mode
}

// upstreamFollowModeLocked is upstreamFollowMode with n.mu held. In large zones only hubs own
// groups, and a hub that is small compared to others owns some only after the larger ones are
// lost. It reads the upstreams from time to time, because the store may be unavailable when they
// are lost.
func (n *Node) upstreamFollowModeLocked() followMode {
	groupCountKnown := n.groupCounts[n.settings.Zone] > 0 // if not, hubs read the upstreams to derive the number of groups from theirs
	switch {
	case len(n.groups) > 0:
		return followContinuously
	case !n.neighbours.IsHub:
		return followNothing
	case groupCountKnown && clock.Since(n.startedAt) < standbyDelay && !membership.IsLarge(n.settings.CPUShare, n.listedCandidates()):
		return followNothing // the larger hubs may be starting too and reading the upstreams
	case groupCountKnown && !membership.IsLarge(n.settings.CPUShare, n.ownZoneCandidates()):
		return followPeriodically
	default:
		return followContinuously
	}
}

// listedCandidates returns the other hubs of the own zone that are not known to be down, with
// the CPU shares on the list of instances. n.mu is held.
func (n *Node) listedCandidates() []membership.Candidate {
	return lo.FilterMap(n.hubPeers(), func(p membership.Peer, _ int) (membership.Candidate, bool) {
		return membership.Candidate{Name: p.Instance, CPUShare: p.CPUShare}, !n.isDown(p.Instance)
	})
}

// upstreamReadPause returns the pause between reads of the entries of upstreams.
func (n *Node) upstreamReadPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.groups) > 0 {
		return ownerReadPause
	}
	return standbyReadPause
}
