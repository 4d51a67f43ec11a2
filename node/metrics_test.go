package node

import (
	"net/http"
	"strings"
	"testing"
)

// TestMetrics reads what an instance tells on its metrics address.
func TestMetrics(t *testing.T) {
	in := newInstallation(t, []string{"a", "b"}, 2, "a-1", "a-2", "b-1")
	in.want("a-1", 2, 20)
	n := in.nodes["a-1"]
	in.until("all neighbours are known", func() bool { return n.wants("a-2") && n.wants("b-1") })
	status, text := in.call("GET", n.in.MetricsAddress, "/metrics", nil)
	if status != http.StatusOK {
		t.Fatalf("status %d", status)
	}
	for _, line := range []string{
		"sedgehatch_config_version 1", "sedgehatch_open_jobs 0", `sedgehatch_neighbours{kind="near"} 1`, `sedgehatch_neighbours{kind="far"} 1`,
		`sedgehatch_group_free{group="a/0"} `, `sedgehatch_group_waiting{group="b/0"} 0`, "answer_r/checks/_completed", "request_completed",
	} {
		if !strings.Contains(text, line) {
			t.Errorf("the metrics lack %q:\n%s", line, text)
		}
	}
}
