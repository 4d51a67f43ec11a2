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

// sendProgress tells the coordinator of an offer that arrived on a connection which tasks are done.
func (r *router) sendProgress(conn inner.Connection, m *inner.Offer, tasks []int) {
	r.node.metrics.CountSent("offer_progress")
	// An error means that the connection is closed, which withdraws the offer.
	_ = conn.Send(&inner.Frame{Body: &inner.Frame_OfferProgress{OfferProgress: &inner.OfferProgress{
		Group: m.GetGroup(), Job: m.GetJob(), Part: m.GetPart(), Done: toUint32s(tasks),
	}}})
}

// handleProgress passes the tasks that are done, of an offer that goes on, to the coordinator.
func (r *router) handleProgress(m *inner.OfferProgress) {
	k := offerKey{m.GetGroup(), schedule.JobKey{ID: m.GetJob(), Part: int(m.GetPart())}}
	r.mu.Lock()
	offer := r.openOffers[k]
	r.mu.Unlock()
	if offer != nil {
		offer.TasksDone(toInts(m.GetDone()))
	}
}
