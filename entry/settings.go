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

// Parameters of the reading of the settings on the platform.
const (
	// maxWatchWait is the longest time for which one watch request waits for a change.
	maxWatchWait = 10 * time.Second
	// retryPause is the time between attempts after an error.
	retryPause = 500 * time.Millisecond
	// watchersPerZone is the number of instances per zone that watch the settings on
	// the platform. Other instances learn of a new revision from heartbeats, and read
	// the settings on the platform only every restDuration. The load on the platform
	// therefore hardly grows with the fleet.
	watchersPerZone = 2
	// restDuration is how long an instance that is not a watcher waits between two
	// reads of the settings. In the meantime it checks every restCheckInterval whether
	// it has become a watcher.
	restDuration      = 30 * time.Second
	restCheckInterval = 200 * time.Millisecond
)

// watchSettings reads the settings on the platform, waits for changes, and applies each new
// revision.
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

// watchWait returns how long the next watch request waits for a change. It is 0 if this
// instance is not a watcher or has no settings yet: the request then returns the current
// value at once.
func (n *Node) watchWait() time.Duration {
	if !n.settings.Load().received || !n.isWatcher() {
		return 0
	}
	return maxWatchWait
}

// restFromWatching returns after restDuration, or as soon as this instance is a watcher.
func (n *Node) restFromWatching() {
	for until := time.Now().Add(restDuration); !n.isWatcher() && n.ctx.Err() == nil && time.Now().Before(until); {
		n.sleep(restCheckInterval)
	}
}

// sleep waits for d, or until Kill is called.
func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// isWatcher reports whether this instance is one of the watchers of its zone: the first
// watchersPerZone instances of the zone, by name, among those that are alive.
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

// bootstrapFromSeeds fetches the list of instances and the settings from the seeds, the
// configured addresses of other instances. It stops once this instance has both, from the
// seeds or from the platform.
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
// ignores a revision that is not newer than the current one, as read from a platform that
// was restored from old data.
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
			n.broadcastHeartbeat() // tells instances with an older revision to fetch this one
			return true
		}
	}
}

// tuning returns the values for the dispatcher that can change while the instance runs. A
// value that is not set in the settings is that of the local configuration.
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

// shares returns, for each service that the settings name, its share of the fleet's slots.
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
