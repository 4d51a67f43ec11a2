package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/inner"
)

const (
	// configStoreWait is how long an instance that learns of a newer configuration from a
	// peer waits for the store to deliver it. A watch does so within milliseconds, unless
	// the store is unavailable.
	configStoreWait = 200 * time.Millisecond
	// configRequestInterval is how long a peer has to respond before the configuration is
	// requested from another one. A configuration of 1,400 routes has some 300 kB, and its
	// transfer takes 0.1 s on a link of 25 Mbit/s.
	configRequestInterval = 500 * time.Millisecond
)

// configRequests decides when to request a newer configuration from a peer, so that only one
// request is open at a time. All neighbours announce a new version at about the same time: in a
// fleet of 147 instances a hub has 70 neighbours. If it requested the version from each of them,
// 70 responses of 300 kB would fill its memory and the links for seconds.
type configRequests struct {
	newest      uint64    // newest version that a peer has announced
	newestSince time.Time // when newest was first announced
	requestedAt time.Time // when the last request was sent
}

// due records that a peer has announced a newer configuration than that of this instance, and
// reports whether to request it from that peer now. It gives the store configStoreWait to deliver
// the version first, unless noConfig says that this instance has no configuration at all.
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

// handleConfigVersion handles the version of the configuration that a peer uses. It requests that
// configuration from the peer if it is newer than that of this instance and a request is due.
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
