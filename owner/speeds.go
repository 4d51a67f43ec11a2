package owner

import (
	"time"

	"github.com/sedgehatch/sedgehatch/schedule"
)

// Speeds returns the lasting speeds of those upstreams of the group that are faster or slower than
// most.
func (g *Group) Speeds() []schedule.UpstreamSpeed {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.pool.Speeds()
}

// ImportSpeeds makes the group start with the speeds that its former owner has learned.
func (g *Group) ImportSpeeds(speeds []schedule.UpstreamSpeed) {
	if len(speeds) == 0 {
		return
	}
	g.apply(func(p *schedule.Pool, now time.Time) schedule.Effects { return p.ImportSpeeds(now, speeds) })
}
