package entry

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/placement"
	"github.com/sedgehatch/sedgehatch/settings"
)

// How the settings are watched at the platform.
const (
	watchWait  = 10 * time.Second
	watchPause = 500 * time.Millisecond // after an error
)

// watchSettings applies each revision that the platform accepts.
func (n *Node) watchSettings() {
	version := uint64(0)
	for n.stop.Err() == nil {
		entry, err := n.platform.Watch(settings.HeadKey, version, watchWait)
		if err == nil && entry.Version != version {
			n.applySettings(entry.Value)
			version = entry.Version
			continue
		}
		select {
		case <-n.stop.Done():
		case <-time.After(watchPause):
		}
	}
}

// applySettings puts a revision in force, unless it is older than the one that
// is, as it would be from a platform that came back with old data.
func (n *Node) applySettings(value string) bool {
	head, tree, err := settings.DecodeHead(value)
	if err != nil {
		event.SettingsRefused.Log(n.log, slog.Uint64("revision", head.Revision), slog.String("error", err.Error()))
		return false
	}
	next := &applied{revision: head.Revision, value: value, tree: tree}
	for {
		now := n.settings.Load()
		if head.Revision <= now.revision {
			return false
		}
		if n.settings.CompareAndSwap(now, next) {
			n.dispatch.SetShares(n.shares(tree))
			event.SettingsApplied.Log(n.log, slog.Uint64("revision", head.Revision))
			return true
		}
	}
}

// shares returns what each service that the settings name may have of the fleet.
func (n *Node) shares(tree *settings.Tree) map[string]placement.Share {
	shares := map[string]placement.Share{}
	for _, service := range tree.Named(settings.LevelService) {
		path := n.path(service, "")
		shares[service] = placement.Share{
			Weight: float64(tree.Int(path, settings.KeyWeight)), Slots: int(tree.Int(path, settings.KeyQuotaSlots)),
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
