package node

import (
	"encoding/json"
	"log/slog"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/platform"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/lo"
)

// follower keeps a copy of the store's keys below a prefix.
type follower struct {
	prefix string
	// wait is how long the store may hold a watch back that has nothing to tell.
	wait func() time.Duration
	// rest is the pause after each answer: more changes are read together then.
	rest func() time.Duration
	// needed tells whether the keys are needed now; nil is always.
	needed func() bool
	// roughly tells whether it is enough to read them all from time to time; nil
	// is never.
	roughly func() bool
	// replace takes all keys, update those that changed.
	replace func([]platform.Item)
	update  func([]platform.Item)
}

// follow runs f until the instance stops. The store may be away for long: what
// is known stays.
func (n *Node) follow(f follower) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval, pause.MaxInterval = firstRetry, longestRetry
	revision, known, lost := uint64(0), false, time.Time{}
	for n.stop.Err() == nil {
		if f.needed != nil && !f.needed() {
			known = false
			n.pause(neededPoll)
			continue
		}
		items, next, err := n.read(f, known, revision)
		if err == nil {
			revision = next
			if !lost.IsZero() {
				event.StoreBack.Log(n.log, slog.String("prefix", f.prefix), slog.Duration("away", time.Since(lost)))
				lost = time.Time{}
			}
			pause.Reset()
			if !known {
				f.replace(items)
			} else if len(items) > 0 {
				f.update(items)
			}
			known = !n.restRoughly(f)
			if known {
				n.pause(f.rest())
			}
			continue
		}
		known = known && !failure.Is(err, failure.Gone) // its history is gone: read all again
		if lost.IsZero() {
			lost = time.Now()
			event.StoreLost.Log(n.log, slog.String("prefix", f.prefix), slog.String("error", err.Error()))
		}
		n.pause(pause.NextBackOff())
	}
}

// restRoughly pauses while the keys are only needed roughly, up to roughRest, and
// reports whether they have to be read again in whole.
func (n *Node) restRoughly(f follower) bool {
	began, rested := time.Now(), false
	for f.roughly != nil && f.roughly() && n.stop.Err() == nil {
		if time.Since(began) >= roughRest {
			return true
		}
		n.pause(neededPoll)
		rested = true
	}
	return rested
}

func always(d time.Duration) func() time.Duration { return func() time.Duration { return d } }

func noRest() time.Duration { return 0 }

// configWait bounds a watch on the configuration. An answer that is lost is noticed
// that late by those who watch closely; the others hear of a new version with the next
// heartbeat of these. One that hears few of them watches closely itself. It spares a
// third of all calls to the store: 12,000 instead of 18,300 by 147 instances on a calm
// day of 65 s.
func (n *Node) configWait() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.around.Hub && n.around.Rank < closeWatchers || n.hubsHeard() < closeWatchers {
		return closeConfigWait
	}
	return configWait
}

// hubsHeard counts the other hubs of the own availability zone that live. The lock is
// held.
func (n *Node) hubsHeard() int {
	return len(n.table.Filter(func(p membership.Peer) bool {
		hub := n.around.Has(p.Instance) && !n.around.Spokes[p.Instance]
		return hub && p.Zone == n.in.Zone && p.State == membership.Alive
	}))
}

// restPerPeer is how long the list of peers rests for each of them: each change
// is read by all.
const restPerPeer = time.Millisecond

func (n *Node) peerRest() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(len(n.registered)) * restPerPeer
}

// needsUpstreams reports whether this instance owns groups, or may come to: in
// large availability zones only hubs do.
func (n *Node) needsUpstreams() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	needed := n.around.Hub || len(n.groups) > 0
	n.listed = n.listed && needed
	return needed
}

// needsRoughly reports whether this instance would own groups only once all the
// larger ones of its zone are lost. It then reads the upstreams anew; what it has
// read before is for the case that the store does not answer.
func (n *Node) needsRoughly() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	counted := n.groupCounts[n.in.Zone] > 0 // the number of groups follows from that of upstreams
	return counted && len(n.groups) == 0 && !membership.IsLarge(n.in.CPUShare, n.candidates())
}

// upstreamRest is the pause between reads of the upstreams' entries.
func (n *Node) upstreamRest() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.groups) > 0 {
		return ownerRest
	}
	return standbyRest
}

// read reads all keys of a follower, or what has changed since a revision.
func (n *Node) read(f follower, known bool, revision uint64) ([]platform.Item, uint64, error) {
	if known {
		return n.store.Watch(f.prefix, revision, f.wait())
	}
	return n.store.Range(f.prefix)
}

// pause waits, unless the instance stops.
func (n *Node) pause(d time.Duration) {
	select {
	case <-n.stop.Done():
	case <-time.After(d):
	}
}

func (n *Node) followConfig() {
	take := func(items []platform.Item) {
		for _, item := range items {
			if item.Key == platform.ConfigPrefix && !item.Deleted {
				n.takeConfig(item.Value, "store")
			}
		}
	}
	n.follow(follower{prefix: platform.ConfigPrefix, wait: n.configWait, rest: noRest, replace: take, update: take})
}

// takeConfig puts a configuration in force, unless it is not newer.
func (n *Node) takeConfig(raw []byte, from string) {
	config, err := platform.ParseConfig(raw)
	if err != nil {
		event.ConfigRefused.Log(n.log, slog.String("from", from), slog.String("error", err.Error()))
		return
	}
	for {
		old := n.config.Load()
		if old != nil && old.Version >= config.Version {
			return
		}
		if n.config.CompareAndSwap(old, config) {
			break
		}
	}
	event.ConfigApplied.Log(n.log, slog.Uint64("version", config.Version), slog.String("from", from), slog.Int("routes", len(config.Routes)))
	n.tick() // peers hear of it at once
}

func (n *Node) followUpstreams() {
	n.follow(follower{
		prefix: platform.UpstreamPrefix, wait: always(upstreamWait), rest: n.upstreamRest, needed: n.needsUpstreams, roughly: n.needsRoughly,
		replace: func(items []platform.Item) {
			n.mu.Lock()
			n.upstreams = map[string]fleet.Upstream{}
			n.listed = true
			n.mu.Unlock()
			n.takeUpstreams(items)
		},
		update: n.takeUpstreams,
	})
}

func (n *Node) takeUpstreams(items []platform.Item) {
	n.mu.Lock()
	for _, item := range items {
		if item.Deleted {
			delete(n.upstreams, platform.UpstreamID(item.Key))
			delete(n.drainedAt, platform.UpstreamID(item.Key))
			continue
		}
		u, err := platform.ParseUpstream(item.Key, item.Value)
		if err != nil {
			event.EntryRefused.Log(n.log, slog.String("key", item.Key), slog.String("error", err.Error()))
			continue
		}
		if u.Draining {
			n.drains(u.ID, "store")
		}
		n.upstreams[u.ID] = u
	}
	n.mu.Unlock()
	n.updateGroups()
}

// drains notes that an upstream is leaving. It reports whether that is news. The
// lock is held.
func (n *Node) drains(id, from string) bool {
	if _, known := n.drainedAt[id]; known {
		return false
	}
	n.drainedAt[id] = time.Now()
	if u, listed := n.upstreams[id]; listed && n.groups[n.groupOf(u)] != nil {
		event.UpstreamLeaving.Log(n.log, slog.String("upstream", id), slog.String("from", from))
	}
	return true
}

// peerEntry is what an instance writes of itself into the store.
type peerEntry struct {
	Address string
	Region  string
	Zone    string
	Share   float64 // of a processor
}

func (n *Node) followPeers() {
	known := map[string]membership.Listing{}
	update := func(items []platform.Item) {
		for _, item := range items {
			if zone, isCount := strings.CutPrefix(item.Key, platform.GroupPrefix); isCount {
				n.readCount(zone, item)
				continue
			}
			name, isPeer := strings.CutPrefix(item.Key, platform.PeerPrefix)
			if !isPeer {
				continue
			}
			if item.Deleted {
				delete(known, name)
				continue
			}
			var e peerEntry
			if err := json.Unmarshal(item.Value, &e); err != nil {
				event.EntryRefused.Log(n.log, slog.String("key", item.Key), slog.String("error", err.Error()))
				continue
			}
			known[name] = membership.Listing{Instance: name, Address: e.Address, Region: e.Region, Zone: e.Zone, Share: e.Share}
		}
		n.listPeers(known)
	}
	n.follow(follower{
		prefix: platform.OwnPrefix, wait: always(peerWait), rest: n.peerRest,
		replace: func(items []platform.Item) { clear(known); update(items) },
		update:  update,
	})
}

func (n *Node) readCount(zone string, item platform.Item) {
	if item.Deleted {
		return // it holds for the life of the system
	}
	groups, err := strconv.Atoi(string(item.Value))
	if err != nil {
		event.EntryRefused.Log(n.log, slog.String("key", item.Key), slog.String("error", err.Error()))
		return
	}
	n.takeCount(zone, groups)
}

func (n *Node) listPeers(known map[string]membership.Listing) {
	n.setPeers(known)
	n.tick() // new peers hear of this instance at once
}

// setPeers takes the list of instances. Whom of them this instance has to hear
// before it takes a group is worked out under the same lock: in between, it would
// take the groups of peers that it has just read of and has not heard yet.
func (n *Node) setPeers(known map[string]membership.Listing) {
	list := make([]membership.Listing, 0, len(known))
	for name, l := range known {
		if name != n.in.Name {
			list = append(list, l)
		}
	}
	used := n.router.inUse()
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peersRead = true
	n.registered = lo.MapValues(known, func(l membership.Listing, _ string) string { return l.Zone })
	n.table.SetListed(list)
	n.setNeighbours(used)
}

// register keeps this instance's entry in the store.
func (n *Node) register() {
	value, err := json.Marshal(peerEntry{Address: n.in.PeerAddress, Region: n.in.Region, Zone: n.in.Zone, Share: n.in.CPUShare})
	if err != nil {
		event.ServeFailed.Log(n.log, slog.String("error", err.Error())) // cannot happen: plain fields
		return
	}
	lease := uint64(0)
	for n.stop.Err() == nil {
		if lease == 0 {
			lease = n.registerOnce(value)
		} else if failure.Is(n.store.Renew(lease), failure.NotFound) {
			lease = 0
			continue
		}
		wait := renewEvery
		if lease == 0 {
			wait = firstRetry + rand.N(longestRetry)
		}
		n.pause(wait)
	}
}

// registerOnce returns the lease of the new entry, or 0.
func (n *Node) registerOnce(value []byte) uint64 {
	lease, err := n.store.Grant(max(registrationTTL, n.in.MinLeaseTTL))
	if err == nil {
		err = n.store.Put(platform.PeerPrefix+n.in.Name, value, lease)
	}
	if err != nil {
		event.RegisterFailed.Log(n.log, slog.String("error", err.Error()))
		return 0
	}
	return lease
}
