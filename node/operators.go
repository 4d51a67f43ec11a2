package node

import (
	"fmt"
	"io"
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/directory"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/platform"

	"github.com/samber/lo"
)

// Operators write the configuration and the evacuations of availability zones to the store,
// below one prefix, so that one watch covers both.

// followOperators follows the configuration and the evacuations until the instance ends.
func (n *Node) followOperators() {
	n.follow(storeFollower{
		prefix: platform.OperatorPrefix, watchWait: n.configWatchWait, readPause: noPause,
		replace: func(items []platform.Item, revision uint64) {
			n.applyZoneChanges(n.directory.ReplaceZones(revision, zoneStatesFromStore(items)), "store")
			n.applyConfigItem(items)
		},
		update: func(items []platform.Item) {
			n.applyZoneChanges(n.directory.UpdateZones(zoneStatesFromStore(items)), "store")
			n.applyConfigItem(items)
		},
	})
}

// zoneStatesFromStore returns the states of the availability zones to which keys of the store
// belong. It leaves out keys that do not belong to a zone.
func zoneStatesFromStore(items []platform.Item) []directory.ZoneState {
	return lo.FilterMap(items, func(i platform.Item, _ int) (directory.ZoneState, bool) {
		zone, isZone := platform.EvacuatedZone(i.Key)
		return directory.ZoneState{Zone: zone, Evacuated: !i.Deleted, Revision: i.Revision}, isZone
	})
}

// applyZoneChanges applies evacuations that have begun or ended. Owned groups stop or resume
// starting tasks in those zones, and peers are notified at once.
func (n *Node) applyZoneChanges(changed []directory.ZoneState, from string) {
	for _, s := range changed {
		e := event.ZoneReturned
		if s.Evacuated {
			e = event.ZoneEvacuated
		}
		e.Log(n.log, slog.String("zone", s.Zone), slog.Uint64("revision", s.Revision), slog.String("from", from))
	}
	if len(changed) == 0 {
		return
	}
	n.updateGroups()
	n.tick()
}

// applyPeerZones applies the evacuations in the heartbeat of a peer. A revision of 0 means that
// the peer itself does not know the evacuations yet.
func (n *Node) applyPeerZones(from string, p *inner.Presence) {
	if p.GetZonesRevision() == 0 {
		return
	}
	n.applyZoneChanges(n.directory.ReplaceZones(p.GetZonesRevision(), zoneStatesFromPeer(p)), from)
}

func zoneStatesFromPeer(p *inner.Presence) []directory.ZoneState {
	return lo.Map(p.GetZones(), func(z *inner.ZoneState, _ int) directory.ZoneState {
		return directory.ZoneState{Zone: z.GetZone(), Evacuated: z.GetEvacuated(), Revision: z.GetRevision()}
	})
}

// addZoneStates adds the known evacuations to a heartbeat.
func (n *Node) addZoneStates(p *inner.Presence) {
	var states []directory.ZoneState
	states, p.ZonesRevision = n.directory.Zones()
	for _, s := range states {
		p.Zones = append(p.Zones, &inner.ZoneState{Zone: s.Zone, Evacuated: s.Evacuated, Revision: s.Revision})
	}
}

// writeZoneGauges writes the gauges of the evacuated zones, and the revision of the store at
// which the full list of evacuations was last read.
func (n *Node) writeZoneGauges(w io.Writer) {
	states, revision := n.directory.Zones()
	fmt.Fprintf(w, "sedgehatch_zones_revision %d\n", revision)
	for _, s := range states {
		evacuated := 0
		if s.Evacuated {
			evacuated = 1
		}
		fmt.Fprintf(w, "sedgehatch_zone_evacuated{zone=%q} %d\n", s.Zone, evacuated)
	}
}

// applyConfigItem applies the configuration if its key is among the items.
func (n *Node) applyConfigItem(items []platform.Item) {
	for _, item := range items {
		if item.Key == platform.ConfigKey && !item.Deleted {
			n.applyConfig(item.Value, "store")
		}
	}
}

// configWatchWait returns how long the store may keep a watch on the configuration open. If the
// response to a watch is lost, an instance notices a new version only after that time. Therefore
// the first shortConfigWatchers hubs of a zone use a short time, and the other instances learn of
// a new version from their heartbeats. An instance that receives heartbeats from fewer hubs than
// that uses the short time as well.
func (n *Node) configWatchWait() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	switch {
	case n.neighbours.IsHub && n.neighbours.Rank < shortConfigWatchers || n.countLiveHubs() < shortConfigWatchers:
		return shortConfigWatchWait
	case n.neighbours.IsHub:
		return hubConfigWatchWait
	default:
		return spokeWatchWait
	}
}

// peerWatchWait returns how long the store may keep a watch on the list of instances open.
func (n *Node) peerWatchWait() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.neighbours.IsHub || n.countLiveHubs() < shortConfigWatchers {
		return hubPeerWatchWait
	}
	return spokeWatchWait
}

// countLiveHubs returns the number of other hubs of the own zone that are alive. n.mu is
// held.
func (n *Node) countLiveHubs() int {
	return len(n.peers.Filter(func(p membership.Peer) bool {
		hub := n.neighbours.Has(p.Instance) && !n.neighbours.Spokes[p.Instance]
		return hub && p.Zone == n.settings.Zone && p.State == membership.Alive
	}))
}

// applyConfig applies a configuration if it is valid and newer than the current one.
func (n *Node) applyConfig(raw []byte, from string) {
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
	n.directory.SetServices(config.Services)
	n.updateGroups()
	n.tick() // notifies peers at once
}
