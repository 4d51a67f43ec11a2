package placement

// recordTasks records the run times and failures of the tasks on released slots.
func (b *Broker) recordTasks(u *upstreamState, r *ReleasedSlots, now int64) {
	finished := r.Count - r.Failed
	if r.HoldMs > 0 || r.RunMs == 0 {
		finished = 0 // no task is known to have run
	}
	if finished > 0 {
		meanMs := r.RunMs / float64(finished)
		b.estimates.recordRunTimes(r.Service, meanMs, finished)
		b.meanRunMs += poolRunSmoothing * (meanMs - b.meanRunMs)
		u.health.recordSuccess(now, meanMs)
	}
	for range finished {
		b.estimates.recordOutcome(r.Service, false)
	}
	for range r.Failed {
		b.recordFailure(u, r, now)
	}
}

// recordFailure records one failure on u, either of a task or of a start that did not reach
// u:
//
//   - If tasks of the service rarely fail, a single failed task makes u suspected.
//   - After more consecutive failures than chance explains, u is ejected.
//   - After unreachableToEject consecutive failures, the last of them a start that did not
//     reach u, u is ejected. It takes this many because u may be unreachable for one home
//     only.
func (b *Broker) recordFailure(u *upstreamState, r *ReleasedSlots, now int64) {
	u.health.consecutiveFailures++
	u.health.lastFailureMs = now
	needed := unreachableToEject
	if ran := r.HoldMs == 0; ran {
		b.estimates.recordOutcome(r.Service, true)
		u.health.suspected = u.health.suspected || b.estimates.failsRarely(r.Service)
		needed = b.estimates.failuresToEject(r.Service)
	}
	if needed > 0 && u.health.consecutiveFailures >= max(needed, b.cfg.Health.FailuresToEject) && b.mayEject(u, now) {
		u.health.eject(now, &b.cfg.Health)
	}
}

// unreachableToEject is the number of consecutive failures before an upstream is ejected
// because a start did not reach it.
const unreachableToEject = 6

// mayEject reports whether a failure may cause u to be ejected, or its ejection to be
// prolonged. At most the share MaxEjected of the upstreams is ejected. An ejection is
// prolonged only once u may get a probe: earlier failures are those of tasks that were
// started before the ejection.
func (b *Broker) mayEject(u *upstreamState, now int64) bool {
	if u.health.ejected {
		return now >= u.health.probeAfterMs
	}
	ejected := 1
	for _, other := range b.sortedUpstreams {
		if other.health.ejected {
			ejected++
		}
	}
	return float64(ejected) <= b.cfg.Health.MaxEjected*float64(len(b.sortedUpstreams))
}

// paceIntervalMs is the minimum time between two comparisons of paces.
const paceIntervalMs = 50

// comparePaces updates the slowdown of each upstream, by comparing its pace with that of the
// whole pool, and updates slotOverhead from the pace of the pool.
func (b *Broker) comparePaces(now int64) {
	if now-b.pacesComparedMs < paceIntervalMs {
		return
	}
	b.pacesComparedMs = now
	pool := pace{}
	for _, u := range b.sortedUpstreams {
		u.health.pace.advance(u.usedSlots, b.meanRunMs, now)
		pool.expectedEnds += u.health.pace.expectedEnds
		pool.ends += u.health.pace.ends
	}
	for _, u := range b.sortedUpstreams {
		u.health.slowdown = u.health.pace.slowdown() / pool.slowdown()
	}
	b.slotOverhead = min(max(pool.slowdown(), 1), maxSlotOverhead)
}

// maxSlotOverhead limits slotOverhead: a slot is assumed to be in use for at most twice the
// run time of its task.
const maxSlotOverhead = 2
