package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/inner"
)

const (
	// configStoreWait is how long an instance that learns of a newer configuration waits
	// for it to arrive from the store, which a watch delivers within milliseconds.
	configStoreWait = 200 * time.Millisecond
	// configRequestInterval is how long a peer has to respond before another is asked. A
	// configuration of 1,400 routes has some 300 kB, which take 0.1 s on a link of
	// 25 Mbit/s.
	configRequestInterval = 500 * time.Millisecond
)

// configRequests decides when to request a newer configuration from a peer, so that only one
// request is open at a time. All neighbours announce a new version at about the same time. In
// a fleet of 147 instances a hub has 70 neighbours, and 70 responses of 300 kB would fill its
// memory and the links for seconds.
type configRequests struct {
	newest      uint64    // newest version that a peer has announced
	newestSince time.Time // when newest was first announced
	requestedAt time.Time // when the last request was sent
}

// due records that a peer has a newer configuration than this instance, and reports whether
// to request it from that peer now. An instance without any configuration does not wait for
// the store first.
func (c *configRequests) due(now time.Time, version uint64, noConfig bool) bool {
	if version > c.newest {
		c.newest, c.newestSince = version, now
	}
	if now.Sub(c.requestedAt) < configRequestInterval || !noConfig && now.Sub(c.newestSince) < configStoreWait {
		return false
	}
	c.requestedAt = now
	return true
}

// handleConfigVersion takes the version of the configuration that a peer uses, and requests
// the configuration if it is newer and a request is due.
func (n *Node) handleConfigVersion(conn inner.Connection, version uint64) {
	config := n.config.Load()
	if version == 0 || config != nil && version <= config.Version {
		return
	}
	n.mu.Lock()
	due := n.configRequests.due(clock.Now(), version, config == nil)
	n.mu.Unlock()
	if !due {
		return
	}
	n.metrics.CountSent("config_request")
	if err := conn.Send(&inner.Frame{Body: &inner.Frame_ConfigRequest{ConfigRequest: &inner.ConfigRequest{}}}); err != nil {
		event.PeerUnsent.Log(n.log, slog.String("what", "config request"), slog.String("error", err.Error()))
	}
}
