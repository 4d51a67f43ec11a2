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
			if n.refusals.record(n, item.Key, err) {
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

func (n *Node) readGroupCount(zone string, item platform.Item) {
	if item.Deleted {
		return // it holds for the life of the system
	}
	groups, err := parseGroupCount(string(item.Value))
	if !n.refusals.record(n, item.Key, err) {
		n.setGroupCount(zone, groups)
	}
}

// maxGroupsPerZone bounds the groups of one availability zone: some times those of the
// largest that is planned for, which has 460 upstreams.
const maxGroupsPerZone = 256

// parseGroupCount reads the number of groups of an availability zone.
func parseGroupCount(text string) (int, error) {
	groups, err := strconv.Atoi(text)
	if err != nil || groups < 1 || groups > maxGroupsPerZone {
		return 0, failure.Field(failure.Protocol, "groups", "%q is no number from 1 to %d", text, maxGroupsPerZone)
	}
	return groups, nil
}

func (n *Node) applyPeerList(listings map[string]membership.Listing) {
	n.setPeerList(listings)
	n.tick() // new peers hear of this instance at once
}

// setPeerList takes the list of instances. Whom of them this instance has to hear
// before it takes a group is worked out under the same lock: in between, it would
// take the groups of peers that it has just read of and has not heard yet.
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

// keepRegistered keeps this instance's entry in the store.
func (n *Node) keepRegistered() {
	value, err := platform.EncodeInstance(fleet.InstanceEntry{Address: n.settings.PeerAddress, Region: n.settings.Region, Zone: n.settings.Zone, Share: n.settings.CPUShare})
	if err != nil {
		event.ServeFailed.Log(n.log, slog.String("error", err.Error())) // cannot happen: plain fields
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

// createRegistration returns the lease of the new entry, or 0.
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

// readPausePerPeer is how long the list of peers rests for each of them: each change
// is read by all.
const readPausePerPeer = time.Millisecond

func (n *Node) peerReadPause() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(len(n.registeredZones)) * readPausePerPeer
}
