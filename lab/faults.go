package lab

import "cmp"

// setFault starts the fault of the deployment if on is set, and ends it otherwise.
func (sim *simulation) setFault(on bool) {
	for i, u := range sim.deployment.upstreams {
		s := sim.upstreams[u.ID]
		faulty := on && sim.deployment.isFaulty(i)
		switch sim.deployment.fault {
		case FailingUpstreams:
			s.Failing = faulty
		case SlowUpstreams:
			s.SlowdownFactor = 1
			if faulty {
				s.SlowdownFactor = sim.deployment.slowdown
			}
		case StalledUpstreams:
			s.RunsStalled = faulty
		case PartitionedUpstreams:
			s.Partitioned = faulty
		case UnansweredCalls:
			s.LateShare = 0
			if on {
				s.LateShare = sim.deployment.faultShare / 2 // as documented at Setup.FaultShare
			}
		}
	}
}

// drainFaulty drains the upstreams that the fault affects, and makes them leave for good when the
// time has passed that they say they stay.
func (sim *simulation) drainFaulty() {
	notice := cmp.Or(sim.deployment.setup.Notice, defaultNotice)
	for i := range sim.deployment.upstreams {
		if !sim.deployment.isFaulty(i) {
			continue
		}
		u := &sim.deployment.upstreams[i]
		u.Draining, u.LeavesAt = true, sim.Now().Add(notice)
		left := sim.upstreams[u.ID]
		sim.AfterFunc(notice, func() {
			left.Crash(2 * workloadLength)
		})
	}
	for _, g := range sim.groups {
		g.setUpstreams(true)
	}
}

// isFaulty reports whether the fault affects the upstream with the given index. The affected
// upstreams are spread evenly over the zones. UnansweredCalls affects some calls to every
// upstream, so no single upstream counts as faulty.
func (d *deployment) isFaulty(i int) bool {
	if d.fault == NoFault || d.fault == UnansweredCalls {
		return false
	}
	return int(float64(i+1)*d.faultShare) > int(float64(i)*d.faultShare)
}

// hasFault reports whether the fault affects the upstream with the given ID, regardless of whether
// the fault is active now.
func (sim *simulation) hasFault(id string) bool {
	for i, u := range sim.deployment.upstreams {
		if u.ID == id {
			return sim.deployment.isFaulty(i)
		}
	}
	return false
}
