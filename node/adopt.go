package node

import (
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// endedOwner returns the fencing token of the last known owner of a group, if the process of that
// instance has certainly ended, and otherwise 0. n.mu is held.
func (n *Node) endedOwner(group string) uint64 {
	var last *inner.Claim
	claimant := ""
	for instance, p := range n.lastHeartbeat {
		for _, c := range p.GetClaims() {
			if c.GetGroup() == group && c.GetToken() > last.GetToken() {
				last, claimant = c, instance
			}
		}
	}
	if last == nil || !n.peers.HasEnded(claimant) {
		return 0
	}
	return last.GetToken()
}

// countAdoption counts the runs of former owners that are adopted, and the adopting offers that
// fail.
func (n *Node) countAdoption(d schedule.Decision) {
	switch d.Kind {
	case schedule.DecidedAdopt:
		n.metrics.Add("runs_adopted_"+d.Reason, 1)
	case schedule.DecidedAdoptFailed:
		n.metrics.Add("adoptions_failed: "+d.Reason, 1)
	}
}
