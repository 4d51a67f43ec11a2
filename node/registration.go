package node

import (
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

	"github.com/samber/lo"
)

// followPeers follows the keys that instances write to the store: the entries of the instances and
// the number of groups of each zone. It returns when this instance ends.
func (n *Node) followPeers() {
	listings := map[string]membership.Listing{}
	update := func(items []platform.Item) {
		for _, item := range items {
			if zone, isGroupCount := strings.CutPrefix(item.Key, platform.GroupCountPrefix); isGroupCount {
				n.readGroupCount(zone, item)
				continue
			}
			name, isPeer := strings.CutPrefix(item.Key, platform.InstancePrefix)
			if !isPeer {
				continue
			}
			if item.Deleted {
				delete(listings, name)
				continue
			}
			entry, err := platform.ParseInstance(item.Value)
			if n.invalidEntries.record(n, item.Key, err) {
				delete(listings, name)
				continue
			}
			listings[name] = membership.Listing{Instance: name, Address: entry.Address, Region: entry.Region, Zone: entry.Zone, CPUShare: entry.Share}
		}
		n.applyPeerList(listings)
	}
	n.follow(storeFollower{
		prefix: platform.SedgehatchPrefix, watchWait: n.peerWatchWait, readPause: n.peerReadPause,
		replace: func(items []platform.Item, _ uint64) { clear(listings); update(items) },
		update:  update,
	})
}

// readGroupCount applies a store key with the number of groups of a zone.
func (n *Node) readGroupCount(zone string, item platform.Item) {
	if item.Deleted {
		return // the number never changes, so it is kept
	}
	groups, err := parseGroupCount(string(item.Value))
	if !n.invalidEntries.record(n, item.Key, err) {
		n.setGroupCount(zone, groups)
	}
}

// maxGroupsPerZone is the maximum number of groups of an availability zone. A larger number in the
// store or in a heartbeat is ignored. The maximum is several times the number that the largest
// planned zone, with 460 upstreams, needs.
const maxGroupsPerZone = 256

// parseGroupCount parses and validates the number of groups of an availability zone.
func parseGroupCount(text string) (int, error) {
	groups, err := strconv.Atoi(text)
	if err != nil || groups < 1 || groups > maxGroupsPerZone {
		return 0, failure.Field(failure.Protocol, "groups", "%q is not a number from 1 to %d", text, maxGroupsPerZone)
	}
	return groups, nil
}

// applyPeerList applies the list of instances and sends heartbeats to new ones at once.
func (n *Node) applyPeerList(listings map[string]membership.Listing) {
	n.setPeerList(listings)
	n.tick()
}

// setPeerList applies the list of instances, and updates the neighbours without releasing n.mu in
// between. Otherwise this instance could take the groups of peers on the list before they are its
// neighbours, and it waits only for the heartbeats of neighbours.
func (n *Node) setPeerList(listings map[string]membership.Listing) {
	list := make([]membership.Listing, 0, len(listings))
	for name, l := range listings {
		if name != n.settings.Name {
			list = append(list, l)
		}
	}
	activeOwners := n.router.activeOwners()
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.peerListRead {
		n.peerListRead = true
		close(n.peerListReady)
	}
	n.registeredZones = lo.MapValues(listings, func(l membership.Listing, _ string) string { return l.Zone })
	n.peers.SetListed(list)
	n.updateNeighboursLocked(activeOwners)
}

// keepRegistered keeps the entry of this instance in the store until the instance ends: it
// renews the lease of the entry, and creates the entry again if the lease has expired.
func (n *Node) keepRegistered() {
	value, err := platform.EncodeInstance(fleet.InstanceEntry{Address: n.settings.PeerAddress, Region: n.settings.Region, Zone: n.settings.Zone, Share: n.settings.CPUShare})
	if err != nil {
		event.ServeFailed.Log(n.log, slog.String("error", err.Error())) // cannot happen: all fields can be encoded
		return
	}
	lease := uint64(0)
	for n.ctx.Err() == nil {
		if lease == 0 {
			lease = n.createRegistration(value)
		} else if failure.Is(n.store.Renew(lease), failure.NotFound) {
			lease = 0
			continue
		}
		pause := registrationRenewInterval
		if lease == 0 {
			pause = minRetryPause + rand.N(maxRetryPause)
		}
		n.sleep(pause)
	}
}

// createRegistration writes the entry of this instance to the store. It returns the lease of
// the entry, or 0 if the store failed.
func (n *Node) createRegistration(value []byte) uint64 {
	lease, err := n.store.Grant(max(registrationTTL, n.settings.MinLeaseTTL))
	if err == nil {
		err = n.store.Put(platform.InstancePrefix+n.settings.Name, value, lease)
	}
	if err != nil {
		event.RegisterFailed.Log(n.log, slog.String("error", err.Error()))
		return 0
	}
	return lease
}

// readPausePerPeer times the number of listed instances is the pause between reads of the list.
// Every change is read by all instances, so that the load on the store grows with their number.
// With a longer pause, one read returns more changes.
const readPausePerPeer = time.Millisecond

// peerReadPause returns the pause between reads of the list of instances.
func (n *Node) peerReadPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(len(n.registeredZones)) * readPausePerPeer
}
