package node

import (
	"net/http"
	"testing"
)

// TestUpstreamStartsAgain: upstreams crash under work and start again under their ids, the
// second time while they drain. Their work is done by others or by the next lives, and
// those are used as if they were new.
func TestUpstreamStartsAgain(t *testing.T) {
	in := newInstallation(t, []string{"a"}, 2, "a-1", "a-2")
	for round := range 3 {
		for i, u := range in.upstreams {
			served := in.background("a-1", in.newID(), 2, 300)
			in.until("work is under way", func() bool { return in.running() > 0 })
			if round == 1 {
				u.Drain()
			}
			u.Crash()
			u.Revive()
			if status := <-served; status != http.StatusOK {
				t.Fatalf("round %d, upstream %d: the job is answered %d", round, i, status)
			}
		}
		in.until("all places are used", func() bool {
			status, _ := in.submit("a-2", in.newID(), 2*len(in.upstreams), 10)
			return status == http.StatusOK
		})
	}
}
