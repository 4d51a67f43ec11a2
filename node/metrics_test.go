package node

import (
	"net/http"
	"strings"
	"testing"

	"github.com/sedgehatch/sedgehatch/schedule"
)

// TestMetrics checks the metrics that an instance serves.
func TestMetrics(t *testing.T) {
	cluster := newTestCluster(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	cluster.mustComplete("a-1", 2, 20)
	n := cluster.nodes["a-1"]
	cluster.waitUntil("all peers are neighbours", func() bool { return n.isNeighbour("a-2") && n.isNeighbour("b-1") })
	n.RoomUsed(schedule.RoomUse{schedule.RoomFragments: 7})
	status, text := cluster.call("GET", n.settings.MetricsAddress, "/metrics", nil)
	if status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	for _, line := range []string{
		"sedgehatch_config_version 1", "sedgehatch_open_jobs 0", `sedgehatch_neighbours{kind="near"} 1`, `sedgehatch_neighbours{kind="far"} 1`,
		`sedgehatch_group_free{group="a/0"} `, `sedgehatch_group_waiting{group="b/0"} 0`, "answer_r/checks/_completed", "request_completed", `sedgehatch_counts{kind="room_fragments_core_ms"} `,
		`sedgehatch_bytes{with="store",way="in"} `, `sedgehatch_bytes{with="customers",way="out"} `, `sedgehatch_bytes{with="peers",way="out"} `, "sedgehatch_link_bytes_per_s 0",
	} {
		if !strings.Contains(text, line) {
			t.Errorf("the metrics lack %q:\n%s", line, text)
		}
	}
	owner := cluster.nodes[cluster.owner("a/0")]
	if _, text := cluster.call("GET", owner.settings.MetricsAddress, "/metrics", nil); !strings.Contains(text, `sedgehatch_group_overdue_ms{group="a/0"} `) {
		t.Errorf("the owner's metrics lack the delays of its calls:\n%s", text)
	} else if !strings.Contains(text, `sedgehatch_group_uneven_upstreams{group="a/0"} 0`) || !strings.Contains(text, `sedgehatch_group_speed_factor{group="a/0",of="slowest"} 1.00`) {
		t.Errorf("the owner's metrics lack the speeds of its upstreams:\n%s", text)
	}
}
