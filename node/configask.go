package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/inner"
)

const (
	// configStoreWait is how long an instance that hears of a newer configuration
	// waits for the store to tell it: a watch does within milliseconds.
	configStoreWait = 200 * time.Millisecond
	// configRequestInterval is how long a peer has to answer before another is asked. A
	// configuration of 1,400 routes is some 300 kB: .1 s of a link of 25 Mbit/s.
	configRequestInterval = 500 * time.Millisecond
)

// configRequests decides when to ask a peer for a newer configuration: one at a time.
// Every neighbour tells of it at about the same moment; in a fleet of 147 a hub has
// 70, and 70 answers of 300 kB would fill its memory, and the links, for seconds.
type configRequests struct {
	newest      uint64    // the newest that was heard of
	newestSince time.Time // when it was
	requestedAt time.Time // when a peer was asked last
}

// due takes that a peer has a newer configuration than this instance, and reports
// whether to ask it now. An instance that has none yet does not wait for the store.
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

// handleConfigVersion takes the version of the configuration that a peer has in force.
func (n *Node) handleConfigVersion(link inner.Connection, version uint64) {
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
	if err := link.Send(&inner.Frame{Body: &inner.Frame_ConfigRequest{ConfigRequest: &inner.ConfigRequest{}}}); err != nil {
		event.PeerUnsent.Log(n.log, slog.String("what", "config request"), slog.String("error", err.Error()))
	}
}
