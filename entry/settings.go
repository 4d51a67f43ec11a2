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

// How the settings are watched at the platform.
const (
	watchWait  = 10 * time.Second
	watchPause = 500 * time.Millisecond // after an error
	// watchersPerZone is how many entries of a zone watch. The others hear of a
	// revision from them, so that the platform's calls do not grow with the
	// fleet; they look themselves only now and then.
	watchersPerZone = 2
	restPause       = 30 * time.Second
	restStep        = 200 * time.Millisecond
)

// watchSettings applies each revision that the platform accepts.
func (n *Node) watchSettings() {
	version := uint64(0)
	for n.stop.Err() == nil {
		entry, err := n.platform.Watch(settings.HeadKey, version, n.watchWait())
		switch {
		case err != nil:
			n.pause(watchPause)
		case entry.Version != version || !n.settings.Load().known:
			n.applySettings(entry.Value)
			version = entry.Version
		}
		n.rest()
	}
}

// watchWait is how long the next watch waits: those that rest only look.
func (n *Node) watchWait() time.Duration {
	if !n.settings.Load().known || !n.watches() {
		return 0
	}
	return watchWait
}

// rest lets time pass while enough others of the zone watch.
func (n *Node) rest() {
	for until := time.Now().Add(restPause); !n.watches() && n.stop.Err() == nil && time.Now().Before(until); {
		n.pause(restStep)
	}
}

func (n *Node) pause(d time.Duration) {
	select {
	case <-n.stop.Done():
	case <-time.After(d):
	}
}

// watches reports whether this instance is one of those that watch for its
// zone: the first by name among those alive.
func (n *Node) watches() bool {
	before := 0
	for _, p := range n.zonePeers() {
		if p.Instance < n.cfg.Instance {
			before++
		}
	}
	return before < watchersPerZone
}

// zonePeers returns the peers of this zone that are alive.
func (n *Node) zonePeers() []membership.Peer {
	return lo.Filter(n.Peers(), func(p membership.Peer, _ int) bool { return p.State == membership.Alive && p.Zone == n.cfg.Zone })
}

// learnSettings fetches the settings of a peer that is ahead, once at a time.
func (n *Node) learnSettings(from fate.Incarnation) {
	if !n.learning.CompareAndSwap(false, true) {
		return
	}
	defer n.learning.Store(false)
	known, err := n.learn(from)
	if err == nil && known.GetHasSettings() {
		n.applySettings(known.GetSettings())
	}
}

func (n *Node) learn(from fate.Incarnation) (*inner.Known, error) {
	ctx, cancel := context.WithTimeout(n.stop, learnTimeout)
	defer cancel()
	reply, err := n.mesh.Call(ctx, from, &inner.Frame{Body: &inner.Frame_Learn{Learn: &inner.Learn{}}})
	if err != nil {
		return nil, err
	}
	return reply.GetKnown(), nil
}

// learnTimeout bounds asking one peer for what it knows.
const learnTimeout = time.Second

// known returns what this instance knows of the fleet, for a peer.
func (n *Node) known() *inner.Frame {
	now := n.settings.Load()
	n.mu.Lock()
	listed := n.listed
	n.mu.Unlock()
	list, err := json.Marshal(listed)
	if err != nil {
		list = nil
	}
	return &inner.Frame{Body: &inner.Frame_Known{Known: &inner.Known{HasSettings: now.known, Settings: now.value, Instances: list}}}
}

// startFromPeers learns list and settings from the seeds, for as long as the
// platform has told neither.
func (n *Node) startFromPeers() {
	for n.stop.Err() == nil && !n.started() {
		for _, address := range n.cfg.Seeds {
			known, err := n.learn(inner.PeerAtAddress(address))
			if err != nil || n.started() {
				continue
			}
			n.takeKnown(known)
		}
		n.pause(watchPause)
	}
}

func (n *Node) started() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.listed != nil && n.settings.Load().known
}

func (n *Node) takeKnown(known *inner.Known) {
	var list []api.PlatformInstance
	if err := json.Unmarshal(known.GetInstances(), &list); err == nil && len(list) > 0 {
		n.takeList(list)
	}
	if known.GetHasSettings() {
		n.applySettings(known.GetSettings())
	}
}

// applySettings puts a revision in force, unless it is older than the one that
// is, as it would be from a platform that came back with old data.
func (n *Node) applySettings(value string) bool {
	head, tree, err := settings.DecodeRevision(value)
	if err != nil {
		event.SettingsRefused.Log(n.log, slog.Uint64("revision", head.Number), slog.String("error", err.Error()))
		return false
	}
	next := &applied{known: true, revision: head.Number, value: value, tree: tree}
	for {
		now := n.settings.Load()
		if now.known && head.Number <= now.revision {
			return false
		}
		if n.settings.CompareAndSwap(now, next) {
			n.dispatch.SetTuning(n.tuning(tree))
			event.SettingsApplied.Log(n.log, slog.Uint64("revision", head.Number))
			n.beat() // peers that are behind fetch it
			return true
		}
	}
}

// tuning returns what the settings say of this instance; where they say
// nothing, its own configuration stands.
func (n *Node) tuning(tree *settings.Tree) dispatch.Tuning {
	t := n.dispatch.ConfiguredTuning()
	t.Shares = n.shares(tree)
	path := n.path("", "")
	given := func(key string, take func(int64)) {
		if tree.Get(path, key).From.Level != settings.LevelDefault {
			take(tree.Int(path, key))
		}
	}
	given(settings.KeyKeepAnswersSeconds, func(v int64) { t.Retention.MaxAgeMs = v * 1000 })
	given(settings.KeyKeepAnswersMB, func(v int64) { t.Retention.MaxBytes = v << 20 })
	given(settings.KeyMaxQueued, func(v int64) { t.MaxQueued = int(v) })
	given(settings.KeyReleaseDelay, func(v int64) { t.ReleaseDelay = time.Duration(v) * time.Millisecond })
	return t
}

// shares returns what each service that the settings name may have of the fleet.
func (n *Node) shares(tree *settings.Tree) map[string]placement.Share {
	shares := map[string]placement.Share{}
	for _, service := range tree.NodeNames(settings.LevelService) {
		path := n.path(service, "")
		shares[service] = placement.Share{
			Weight: float64(tree.Int(path, settings.KeyWeight)), MaxSlots: int(tree.Int(path, settings.KeyQuotaSlots)),
		}
	}
	return shares
}

// Revision returns the revision of the settings that is in force here.
func (n *Node) Revision() uint64 { return n.settings.Load().revision }

// path says where a job of service and caller stands in the tree of settings.
func (n *Node) path(service, caller string) settings.Path {
	return settings.Path{Region: n.cfg.Region, Zone: n.cfg.Zone, Service: service, Caller: caller}
}

// needSettings returns a NoSettings error before this instance knows any.
func (n *Node) needSettings() error {
	if n.settings.Load().known {
		return nil
	}
	return failure.NoSettings.New("instance %s has reached neither the platform nor a peer, and knows no settings", n.cfg.Instance)
}
