package node

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/schedule"

	"google.golang.org/protobuf/proto"
)

// speeds returns the speeds of a number of upstreams.
func speeds(count int, log float64) []schedule.UpstreamSpeed {
	var list []schedule.UpstreamSpeed
	for i := range count {
		list = append(list, schedule.UpstreamSpeed{Incarnation: fleet.UpstreamIncarnation{ID: fmt.Sprintf("upstream-a-%03d", i), StartedUnixMs: 1796300000000}, Log: log, Runs: 300})
	}
	return list
}

// TestSpeedReportsAreRare checks that speeds are reported at once when they have changed, and
// otherwise only every speedRepeatInterval, and that a report of 40 upstreams costs less than
// 500 bytes per second and receiver.
func TestSpeedReportsAreRare(t *testing.T) {
	table, now := newSpeedTable(), time.Unix(1000, 0)
	reports, bytes := 0, 0
	const seconds = 60
	for range seconds * 10 {
		now = now.Add(100 * time.Millisecond)
		if !table.checkDue(now) {
			continue
		}
		if list := table.report(now, speeds(40, 0.5)); len(list) > 0 {
			reports++
			bytes += proto.Size(&inner.Presence{Speeds: speedsToProto(list)})
		}
	}
	if reports != seconds*int(time.Second)/int(speedRepeatInterval) || bytes/seconds > 500 {
		t.Errorf("%d reports with %d bytes per second in a minute", reports, bytes/seconds)
	}
	if now = now.Add(speedCheckInterval); !table.checkDue(now) || table.report(now, speeds(40, 0.4)) == nil {
		t.Error("a change is not reported at the next check")
	}
	if now = now.Add(speedCheckInterval); !table.checkDue(now) || table.report(now, nil) != nil {
		t.Error("a report without speeds is sent")
	}
}

// TestReportedSpeeds checks that reported speeds survive the message, expire, never replace those of
// a later incarnation, and are given only for the group that is taken.
func TestReportedSpeeds(t *testing.T) {
	table, now := newSpeedTable(), time.Unix(1000, 0)
	list := speeds(2, -0.4)
	table.record(now, speedsFromProto(speedsToProto(list)))
	former := list[0]
	former.Incarnation.StartedUnixMs--
	former.Log = 1
	table.record(now, []schedule.UpstreamSpeed{former})
	first := func(id string) bool { return id == list[0].Incarnation.ID }
	if got := table.recent(now, first); len(got) != 1 || got[0].Incarnation != list[0].Incarnation || math.Abs(got[0].Log+0.4) > 0.001 || got[0].Runs != 300 {
		t.Errorf("the speeds of the first upstream are %+v, want %+v", got, list[0])
	}
	if got := table.recent(now.Add(speedExpiry+time.Second), first); len(got) > 0 {
		t.Errorf("expired speeds are still in use: %+v", got)
	}
	if table.record(now.Add(speedExpiry+time.Second), speeds(1, 1)); len(table.reported) != 1 {
		t.Errorf("%d speeds are stored, want only the one that has not expired", len(table.reported))
	}
}

// TestNextOwnerKnowsSpeeds makes one hub of a zone report the speeds of its group to the other,
// which must start with them when it takes the group after the first is lost. Without a report it
// must take the group all the same.
func TestNextOwnerKnowsSpeeds(t *testing.T) {
	for _, reported := range []bool{true, false} {
		t.Run(fmt.Sprintf("reported=%v", reported), func(t *testing.T) {
			cluster := newTestCluster(t, []string{"a"}, 3, "a-1", "a-2")
			owner := cluster.owner("a/0")
			next := map[string]string{"a-1": "a-2", "a-2": "a-1"}[owner]
			group := cluster.nodes[owner].ownedGroups()[0]
			slow := cluster.nodes[owner].directory.Select(func(u fleet.Upstream) bool { return u.ID == "u-a-0" })[0].Incarnation()
			if reported {
				// The pool itself has had no runs, so that it takes these as those of its former owner.
				group.ImportSpeeds([]schedule.UpstreamSpeed{{Incarnation: slow, Log: 0.7, Runs: 2000}})
				cluster.waitUntil("the other hub has the report", func() bool {
					return len(cluster.nodes[next].speeds.recent(time.Now(), func(string) bool { return true })) > 0
				})
			}
			cluster.nodes[owner].Close()
			cluster.waitUntil("the other hub owns the group", func() bool { return len(cluster.nodes[next].ownedGroups()) == 1 })
			cluster.waitUntil("its upstreams accept it", func() bool {
				status, _ := cluster.submit(next, cluster.newJobID(), 2, 20)
				return status == 200
			})
			got := cluster.nodes[next].ownedGroups()[0].Speeds()
			if reported != (len(got) == 1 && got[0].Incarnation == slow && got[0].Log > 0) {
				t.Errorf("the next owner knows the speeds %+v", got)
			}
		})
	}
}
