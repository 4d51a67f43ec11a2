package node

import (
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/inner"
)

const (
	// configPatience is how long an instance that hears of a newer configuration
	// waits for the store to tell it: a watch does within milliseconds.
	configPatience = 200 * time.Millisecond
	// configRetry is how long a peer has to answer before another is asked. A
	// configuration of 1,400 routes is some 300 kB: .1 s of a link of 25 Mbit/s.
	configRetry = 500 * time.Millisecond
)

// configAsk decides when to ask a peer for a newer configuration: one at a time.
// Every neighbour tells of it at about the same moment; in a fleet of 147 a hub has
// 70, and 70 answers of 300 kB would fill its memory, and the links, for seconds.
type configAsk struct {
	version uint64    // the newest that was heard of
	since   time.Time // when it was
	asked   time.Time // when a peer was asked last
}

// due takes that a peer has a newer configuration than this instance, and reports
// whether to ask it now. An instance that has none yet does not wait for the store.
func (c *configAsk) due(now time.Time, version uint64, none bool) bool {
	if version > c.version {
		c.version, c.since = version, now
	}
	if now.Sub(c.asked) < configRetry || !none && now.Sub(c.since) < configPatience {
		return false
	}
	c.asked = now
	return true
}

// learnsVersion takes the version of the configuration that a peer has in force.
func (n *Node) learnsVersion(link inner.Link, version uint64) {
	config := n.config.Load()
	if version == 0 || config != nil && version <= config.Version {
		return
	}
	n.mu.Lock()
	due := n.configAsk.due(clock.Now(), version, config == nil)
	n.mu.Unlock()
	if !due {
		return
	}
	n.metrics.CountSent("config_request")
	if err := link.Send(&inner.Frame{Body: &inner.Frame_ConfigRequest{ConfigRequest: &inner.ConfigRequest{}}}); err != nil {
		event.PeerUnsent.Log(n.log, slog.String("what", "config request"), slog.String("error", err.Error()))
	}
}
