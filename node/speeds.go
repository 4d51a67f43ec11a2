package node

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/schedule"

	"github.com/samber/lo"
)

const (
	// speedCheckInterval is how often an owner checks whether the speeds of its upstreams have
	// changed, and speedRepeatInterval is how often it reports them without a change, for hubs
	// that have missed a report or have just started.
	speedCheckInterval  = time.Second
	speedRepeatInterval = 5 * time.Second
	// speedExpiry is the age at which a reported speed is dropped. Owners do not report that an
	// upstream has become as fast as the others.
	speedExpiry = 30 * time.Second
	// maxSpeedsPerReport bounds the size of a report. The upstreams beyond it are learned anew by
	// the next owner.
	maxSpeedsPerReport = 512
)

// speedTable holds the lasting speeds of upstreams as their owners have reported them, for the case
// that this instance takes their groups. It also decides when this instance reports those of its own
// groups to the other hubs of its zone. Its lock is taken after all others.
type speedTable struct {
	mu         sync.Mutex
	reported   map[string]reportedSpeed // by upstream ID
	checkedAt  time.Time
	lastReport []schedule.UpstreamSpeed
	lastSentAt time.Time
}

type reportedSpeed struct {
	schedule.UpstreamSpeed
	at time.Time
}

func newSpeedTable() *speedTable { return &speedTable{reported: map[string]reportedSpeed{}} }

// checkDue reports whether the speeds of the own upstreams are due to be checked for changes now, and
// if so, records the time.
func (t *speedTable) checkDue(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.checkedAt) < speedCheckInterval {
		return false
	}
	t.checkedAt = now
	return true
}

// report returns what to report of the present speeds of the own upstreams, which are ordered by ID.
// It returns nil if they have not changed since a recent report.
func (t *speedTable) report(now time.Time, speeds []schedule.UpstreamSpeed) []schedule.UpstreamSpeed {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordLocked(now, speeds) // this instance may lose a group and take it again
	speeds = speeds[:min(len(speeds), maxSpeedsPerReport)]
	changed := !slices.EqualFunc(speeds, t.lastReport, func(a, b schedule.UpstreamSpeed) bool {
		return a.Incarnation == b.Incarnation && a.Log == b.Log
	})
	if !changed && now.Sub(t.lastSentAt) < speedRepeatInterval {
		return nil
	}
	t.lastReport, t.lastSentAt = speeds, now
	return speeds
}

// record stores the speeds that an owner has reported.
func (t *speedTable) record(now time.Time, speeds []schedule.UpstreamSpeed) {
	if len(speeds) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordLocked(now, speeds)
}

// recordLocked stores speeds and drops expired ones. t.mu is held.
func (t *speedTable) recordLocked(now time.Time, speeds []schedule.UpstreamSpeed) {
	for _, s := range speeds {
		if t.reported[s.Incarnation.ID].Incarnation.StartedUnixMs <= s.Incarnation.StartedUnixMs {
			t.reported[s.Incarnation.ID] = reportedSpeed{s, now}
		}
	}
	for id, s := range t.reported {
		if now.Sub(s.at) > speedExpiry {
			delete(t.reported, id)
		}
	}
}

// recent returns the reported speeds of the matching upstreams, ordered by ID.
func (t *speedTable) recent(now time.Time, match func(id string) bool) []schedule.UpstreamSpeed {
	t.mu.Lock()
	defer t.mu.Unlock()
	var list []schedule.UpstreamSpeed
	for id, s := range t.reported {
		if now.Sub(s.at) <= speedExpiry && match(id) {
			list = append(list, s.UpstreamSpeed)
		}
	}
	slices.SortFunc(list, compareSpeeds)
	return list
}

func compareSpeeds(a, b schedule.UpstreamSpeed) int {
	return strings.Compare(a.Incarnation.ID, b.Incarnation.ID)
}

// speedsToReport returns the report of the speeds of the own groups' upstreams if one is due now.
func (n *Node) speedsToReport() []*inner.UpstreamSpeed {
	if !n.speeds.checkDue(clock.Now()) {
		return nil
	}
	var list []schedule.UpstreamSpeed
	for _, g := range n.ownedGroups() {
		list = append(list, g.Speeds()...)
	}
	slices.SortFunc(list, compareSpeeds)
	return speedsToProto(n.speeds.report(clock.Now(), list))
}

// speedsOfGroup returns the speeds that the former owner of a group has reported. n.mu is held.
func (n *Node) speedsOfGroup(group string) []schedule.UpstreamSpeed {
	zone := zoneOfGroup(group)
	return n.speeds.recent(clock.Now(), func(id string) bool { return n.groupOf(fleet.Upstream{ID: id, Zone: zone}) == group })
}

// milliLog is the resolution of the logarithms in messages.
const milliLog = 1000

func speedsToProto(speeds []schedule.UpstreamSpeed) []*inner.UpstreamSpeed {
	return lo.Map(speeds, func(s schedule.UpstreamSpeed, _ int) *inner.UpstreamSpeed {
		return &inner.UpstreamSpeed{
			Life:     &inner.UpstreamLife{Id: s.Incarnation.ID, Born: s.Incarnation.StartedUnixMs},
			MilliLog: int32(math.Round(milliLog * s.Log)), Samples: uint32(max(s.Runs, 0)),
		}
	})
}

func speedsFromProto(list []*inner.UpstreamSpeed) []schedule.UpstreamSpeed {
	return lo.Map(list, func(s *inner.UpstreamSpeed, _ int) schedule.UpstreamSpeed {
		return schedule.UpstreamSpeed{
			Incarnation: fleet.UpstreamIncarnation{ID: s.GetLife().GetId(), StartedUnixMs: s.GetLife().GetBorn()},
			Log:         float64(s.GetMilliLog()) / milliLog, Runs: int(s.GetSamples()),
		}
	})
}

// writeSpeedGauges writes, for each owned group, how many upstreams are faster or slower than most
// for good, and how many times longer tasks take on the fastest and on the slowest one.
func (n *Node) writeSpeedGauges(w io.Writer) {
	for _, g := range n.ownedGroups() {
		fastest, slowest := 1.0, 1.0
		speeds := g.Speeds()
		for _, s := range speeds {
			fastest, slowest = min(fastest, math.Exp(s.Log)), max(slowest, math.Exp(s.Log))
		}
		fmt.Fprintf(w, "sedgehatch_group_uneven_upstreams{group=%q} %d\nsedgehatch_group_speed_factor{group=%q,of=\"fastest\"} %.2f\nsedgehatch_group_speed_factor{group=%q,of=\"slowest\"} %.2f\n",
			g.Name, len(speeds), g.Name, fastest, g.Name, slowest)
	}
}
