package placement

// learn takes what the tasks of released slots were like.
func (b *Broker) learn(p *place, u *ReleasedSlots, now int64) {
	finished := u.Count - u.Failed
	if u.HoldMs > 0 || u.RunMs == 0 {
		finished = 0 // the places were not used
	}
	if finished > 0 {
		mean := u.RunMs / float64(finished)
		b.services.seen(u.Service, mean, finished)
		b.meanMs += smoothing * (mean - b.meanMs)
		p.health.succeeded(now, mean)
	}
	for range finished {
		b.services.ended(u.Service, false)
	}
	for range u.Failed {
		b.failed(p, u, now)
	}
}

// failed counts a failure against an upstream: as many in a row as chance does
// not explain eject it, and a first one of a service that hardly ever fails
// casts doubt. Being out of one home's reach says less.
func (b *Broker) failed(p *place, u *ReleasedSlots, now int64) {
	p.health.inRow++
	p.health.failed = now
	needed := unreachedInRow
	if ran := u.HoldMs == 0; ran {
		b.services.ended(u.Service, true)
		p.health.doubted = p.health.doubted || b.services.rarely(u.Service)
		needed = b.services.inRow(u.Service)
	}
	if needed > 0 && p.health.inRow >= max(needed, b.cfg.Health.FailuresToEject) && b.mayEject(p, now) {
		p.health.eject(now, &b.cfg.Health)
	}
}

// unreachedInRow is how many starts in a row must not reach an upstream before
// it is ejected.
const unreachedInRow = 6

// mayEject keeps the ejected share of the pool bounded. Failures of what ran
// on when an upstream was ejected do not prolong that; those of a probe do.
func (b *Broker) mayEject(p *place, now int64) bool {
	if p.health.ejected {
		return now >= p.health.until
	}
	ejected := 1
	for _, o := range b.sorted {
		if o.health.ejected {
			ejected++
		}
	}
	return float64(ejected) <= b.cfg.Health.MaxEjected*float64(len(b.sorted))
}

// judgeEveryMs is how often paces are compared.
const judgeEveryMs = 50

// judgePaces compares the pace of each upstream with that of the pool.
func (b *Broker) judgePaces(now int64) {
	if now-b.judged < judgeEveryMs {
		return
	}
	b.judged = now
	pool := pace{}
	for _, p := range b.sorted {
		p.health.pace.running(p.used, b.meanMs, now)
		pool.expected += p.health.pace.expected
		pool.ended += p.health.pace.ended
	}
	for _, p := range b.sorted {
		p.health.slow = p.health.pace.ratio() / pool.ratio()
	}
	b.overhead = min(max(pool.ratio(), 1), maxOverhead)
}

// maxOverhead bounds how much longer than its task's run time a place may seem
// to be taken.
const maxOverhead = 2
