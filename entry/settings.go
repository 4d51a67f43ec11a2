package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/dispatch"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/membership"
	"github.com/sedgehatch/sedgehatch/placement"
	"github.com/sedgehatch/sedgehatch/settings"

	"github.com/samber/lo"
)

// Times and numbers for watching the settings on the platform.
const (
	// maxWatchWait is the longest time for which one watch request waits for a change.
	maxWatchWait = 10 * time.Second
	// retryPause is the time between attempts after an error.
	retryPause = 500 * time.Millisecond
	// watchersPerZone is the number of instances per zone that watch the settings. The
	// others learn of a new revision from their heartbeats, so that the load on the
	// platform does not grow with the fleet, and read the settings themselves only
	// every restDuration.
	watchersPerZone   = 2
	restDuration      = 30 * time.Second
	restCheckInterval = 200 * time.Millisecond
)

// watchSettings puts each revision of the settings on the platform in force.
func (n *Node) watchSettings() {
	version := uint64(0)
	for n.ctx.Err() == nil {
		entry, err := n.platform.Watch(settings.HeadKey, version, n.watchWait())
		switch {
		case err != nil:
			n.sleep(retryPause)
		case entry.Version != version || !n.settings.Load().received:
			n.applySettings(entry.Value)
			version = entry.Version
		}
		n.restFromWatching()
	}
}

// watchWait returns how long the next watch request waits for a change: 0, which only reads
// the current value, if this instance is not a watcher or has no settings yet.
func (n *Node) watchWait() time.Duration {
	if !n.settings.Load().received || !n.isWatcher() {
		return 0
	}
	return maxWatchWait
}

// restFromWatching waits for restDuration, or until this instance has to watch for its
// zone.
func (n *Node) restFromWatching() {
	for until := time.Now().Add(restDuration); !n.isWatcher() && n.ctx.Err() == nil && time.Now().Before(until); {
		n.sleep(restCheckInterval)
	}
}

// sleep waits for d, or until the instance is ended.
func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// isWatcher reports whether this instance watches the settings for its zone: it is one of
// the first watchersPerZone by name among those that are alive.
func (n *Node) isWatcher() bool {
	before := 0
	for _, p := range n.aliveZonePeers() {
		if p.Instance < n.cfg.Instance {
			before++
		}
	}
	return before < watchersPerZone
}

// aliveZonePeers returns the other instances of this zone that are alive.
func (n *Node) aliveZonePeers() []membership.Peer {
	return lo.Filter(n.Peers(), func(p membership.Peer, _ int) bool { return p.State == membership.Alive && p.Zone == n.cfg.Zone })
}

// fetchSettings fetches and applies the settings of another instance that has a newer
// revision. It does nothing if a fetch is already running.
func (n *Node) fetchSettings(from fate.Incarnation) {
	if !n.fetchingSettings.CompareAndSwap(false, true) {
		return
	}
	defer n.fetchingSettings.Store(false)
	known, err := n.fetchKnown(from)
	if err == nil && known.GetHasSettings() {
		n.applySettings(known.GetSettings())
	}
}

// fetchKnown fetches the list of instances and the settings from another instance.
func (n *Node) fetchKnown(from fate.Incarnation) (*inner.Known, error) {
	ctx, cancel := context.WithTimeout(n.ctx, fetchTimeout)
	defer cancel()
	reply, err := n.mesh.Call(ctx, from, &inner.Frame{Body: &inner.Frame_Learn{Learn: &inner.Learn{}}})
	if err != nil {
		return nil, err
	}
	return reply.GetKnown(), nil
}

// fetchTimeout is the timeout of fetchKnown.
const fetchTimeout = time.Second

// knownFrame returns the frame with the list of instances and the settings of this
// instance, which answers fetchKnown.
func (n *Node) knownFrame() *inner.Frame {
	current := n.settings.Load()
	n.mu.Lock()
	instances := n.instances
	n.mu.Unlock()
	list, err := json.Marshal(instances)
	if err != nil {
		list = nil
	}
	return &inner.Frame{Body: &inner.Frame_Known{Known: &inner.Known{HasSettings: current.received, Settings: current.value, Instances: list}}}
}

// bootstrapFromSeeds fetches the list of instances and the settings from the seeds until
// both have been received, from the seeds or the platform.
func (n *Node) bootstrapFromSeeds() {
	for n.ctx.Err() == nil && !n.isBootstrapped() {
		for _, address := range n.cfg.Seeds {
			known, err := n.fetchKnown(inner.PeerAtAddress(address))
			if err != nil || n.isBootstrapped() {
				continue
			}
			n.applyKnown(known)
		}
		n.sleep(retryPause)
	}
}

// isBootstrapped reports whether both a list of instances and settings have been received.
func (n *Node) isBootstrapped() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.instances != nil && n.settings.Load().received
}

func (n *Node) applyKnown(known *inner.Known) {
	var list []api.PlatformInstance
	if err := json.Unmarshal(known.GetInstances(), &list); err == nil && len(list) > 0 {
		n.applyInstances(list)
	}
	if known.GetHasSettings() {
		n.applySettings(known.GetSettings())
	}
}

// applySettings puts a revision of the settings in force and reports whether it did. It
// ignores revisions that are not newer than the current one, such as those of a platform
// that was restored from old data.
func (n *Node) applySettings(value string) bool {
	head, tree, err := settings.DecodeRevision(value)
	if err != nil {
		event.SettingsRefused.Log(n.log, slog.Uint64("revision", head.Number), slog.String("error", err.Error()))
		return false
	}
	next := &appliedSettings{received: true, revision: head.Number, value: value, tree: tree}
	for {
		current := n.settings.Load()
		if current.received && head.Number <= current.revision {
			return false
		}
		if n.settings.CompareAndSwap(current, next) {
			n.dispatch.SetTuning(n.tuning(tree))
			event.SettingsApplied.Log(n.log, slog.Uint64("revision", head.Number))
			n.broadcastHeartbeat() // instances with an older revision then fetch it
			return true
		}
	}
}

// tuning returns the tuning of the dispatcher. Values that are not set in the settings are
// those of the local configuration.
func (n *Node) tuning(tree *settings.Tree) dispatch.Tuning {
	t := n.dispatch.ConfiguredTuning()
	t.Shares = n.shares(tree)
	path := n.settingsPath("", "")
	override := func(key string, take func(int64)) {
		if tree.Get(path, key).From.Level != settings.LevelDefault {
			take(tree.Int(path, key))
		}
	}
	override(settings.KeyKeepAnswersSeconds, func(v int64) { t.Retention.MaxAgeMs = v * 1000 })
	override(settings.KeyKeepAnswersMB, func(v int64) { t.Retention.MaxBytes = v << 20 })
	override(settings.KeyMaxQueued, func(v int64) { t.MaxQueued = int(v) })
	override(settings.KeyReleaseDelay, func(v int64) { t.ReleaseDelay = time.Duration(v) * time.Millisecond })
	return t
}

// shares returns the share of the fleet's slots of each service that the settings name.
func (n *Node) shares(tree *settings.Tree) map[string]placement.Share {
	shares := map[string]placement.Share{}
	for _, service := range tree.NodeNames(settings.LevelService) {
		path := n.settingsPath(service, "")
		shares[service] = placement.Share{
			Weight: float64(tree.Int(path, settings.KeyWeight)), MaxSlots: int(tree.Int(path, settings.KeyQuotaSlots)),
		}
	}
	return shares
}

// Revision returns the revision of the settings that is in force on this instance.
func (n *Node) Revision() uint64 { return n.settings.Load().revision }

// settingsPath returns the path in the tree of settings for jobs of a service and a caller
// on this instance.
func (n *Node) settingsPath(service, caller string) settings.Path {
	return settings.Path{Region: n.cfg.Region, Zone: n.cfg.Zone, Service: service, Caller: caller}
}

// requireSettings returns a NoSettings error until this instance has received its settings.
func (n *Node) requireSettings() error {
	if n.settings.Load().received {
		return nil
	}
	return failure.NoSettings.New("instance %s has not received its settings yet, neither from the platform nor from another instance", n.cfg.Instance)
}
