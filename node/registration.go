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
			e, err := platform.ParseInstance(item.Value)
			if n.refusals.entry(n, item.Key, err) {
				delete(known, name)
				continue
			}
			known[name] = membership.Listing{Instance: name, Address: e.Address, Region: e.Region, Zone: e.Zone, CPUShare: e.Share}
		}
		n.listPeers(known)
	}
	n.follow(follower{
		prefix: platform.OwnPrefix, wait: n.peerWait, rest: n.peerRest,
		replace: func(items []platform.Item, _ uint64) { clear(known); update(items) },
		update:  update,
	})
}

func (n *Node) readCount(zone string, item platform.Item) {
	if item.Deleted {
		return // it holds for the life of the system
	}
	groups, err := parseCount(string(item.Value))
	if !n.refusals.entry(n, item.Key, err) {
		n.takeCount(zone, groups)
	}
}

// mostGroups bounds the groups of one availability zone: some times those of the
// largest that is planned for, which has 460 upstreams.
const mostGroups = 256

// parseCount reads the number of groups of an availability zone.
func parseCount(text string) (int, error) {
	groups, err := strconv.Atoi(text)
	if err != nil || groups < 1 || groups > mostGroups {
		return 0, failure.Field(failure.Protocol, "groups", "%q is no number from 1 to %d", text, mostGroups)
	}
	return groups, nil
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
	if !n.peersRead {
		n.peersRead = true
		close(n.listed)
	}
	n.registered = lo.MapValues(known, func(l membership.Listing, _ string) string { return l.Zone })
	n.table.SetListed(list)
	n.setNeighbours(used)
}

// register keeps this instance's entry in the store.
func (n *Node) register() {
	value, err := platform.EncodeInstance(fleet.InstanceEntry{Address: n.in.PeerAddress, Region: n.in.Region, Zone: n.in.Zone, Share: n.in.CPUShare})
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

// restPerPeer is how long the list of peers rests for each of them: each change
// is read by all.
const restPerPeer = time.Millisecond

func (n *Node) peerRest() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return time.Duration(len(n.registered)) * restPerPeer
}
