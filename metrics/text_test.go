package metrics

import (
	"strings"
	"testing"
	"time"
)

func TestText(t *testing.T) {
	s := NewSet()
	s.CountSent("offer")
	s.CountWasted("start")
	s.Add("answers_not_run", 2)
	for i := range 100 {
		s.Latencies.Observe("request", time.Duration(i)*time.Millisecond)
	}
	s.Latencies.Observe("request", time.Hour) // longer than maxMicros
	var b strings.Builder
	if err := s.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{
		`sedgehatch_messages{kind="offer"} 1`, `sedgehatch_wasted{kind="start"} 1`, `sedgehatch_counts{kind="answers_not_run"} 2`,
		`sedgehatch_latency_count{of="request"} 101`,
	} {
		if !strings.Contains(b.String(), line+"\n") {
			t.Errorf("missing %s in\n%s", line, b.String())
		}
	}
}
