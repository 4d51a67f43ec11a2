package placement

import (
	"slices"
)

// homeGrants counts the grants to one home.
type homeGrants struct {
	sequence uint64 // of the last grant
	lastMs   int64  // Unix milliseconds of the last grant
}

// nextSequence returns the sequence number of the next grant to a home.
func (b *Broker) nextSequence(home string, now int64) uint64 {
	g := b.homeGrants[home]
	if g == nil {
		g = &homeGrants{}
		b.homeGrants[home] = g
	}
	g.sequence++
	g.lastMs = now
	return g.sequence
}

// maxGrantDelayMs is how long after it was sent a grant that a home has not received may
// still be in flight. After that it counts as lost.
const maxGrantDelayMs = 1000

// Sync replaces what the broker has recorded about a home by what the home reports: the
// slots that it holds, and its requests that are still waiting. The sequence is the number
// of the last grant that the home has received. If the broker has sent a later grant less
// than maxGrantDelayMs ago, that grant may be missing from the report, and Sync does nothing.
func (b *Broker) Sync(home string, sequence uint64, held []UpstreamSlots, waiting []Request, now int64) []Grant {
	b.reports.lastMs[home] = now
	if g := b.homeGrants[home]; g != nil && g.sequence != sequence && now-g.lastMs < maxGrantDelayMs {
		return nil
	}
	b.syncHeld(home, held)
	refused := b.syncWaiting(home, waiting, now)
	return append(refused, b.grantQueued(now)...)
}

func (b *Broker) syncHeld(home string, held []UpstreamSlots) {
	reported := map[heldKey]int{}
	for _, h := range held {
		reported[heldKey{home, h.Upstream, h.Service}] += h.Count
	}
	for key, h := range b.held {
		if excess := h.count - reported[key]; key.home == home && excess > 0 {
			b.getOrCreateUpstream(key.upstream).free(b.removeHeld(key, excess), excess)
		}
	}
	for key, count := range reported {
		missing := count
		if h := b.held[key]; h != nil {
			missing -= h.count
		}
		if missing > 0 {
			b.addHeld(home, b.getOrCreateUpstream(key.upstream), key.service, Resources{}, missing)
		}
	}
}

func (b *Broker) syncWaiting(home string, waiting []Request, now int64) []Grant {
	reported := map[string]bool{}
	var refused []Grant
	for _, r := range waiting {
		reported[r.Ticket] = true
		if q := b.requests[ticketKey{home, r.Ticket}]; q != nil {
			b.addQueued(q, r.Count-q.Count)
			q.Count = r.Count
			continue
		}
		refused = append(refused, b.enqueue(r, now)...)
	}
	for _, q := range slices.Clone(b.queue) {
		if q.Home == home && !reported[q.Ticket] {
			b.remove(q)
		}
	}
	return refused
}

// silentHomeMs is how long a home that uses the pool may send no report before it is asked for
// one. Homes report every second; one that has neither slots nor requests, as far as it knows,
// does not.
const silentHomeMs = 3000

// homeReports holds when homes last reported.
type homeReports struct {
	lastMs    map[string]int64 // by home: when it last reported, or was asked to
	checkedMs int64            // when HomesToAsk last looked for silent homes
}

// HomesToAsk returns the homes that have slots or requests, as far as the broker knows, but have
// not reported for silentHomeMs. The home may know nothing of them: a grant or a withdrawal was
// lost, and the home has since turned to another broker. Each home is returned at most once in
// silentHomeMs. It has to be called regularly.
func (b *Broker) HomesToAsk(now int64) []string {
	if now-b.reports.checkedMs < silentHomeMs/3 {
		return nil
	}
	b.reports.checkedMs = now
	homes := map[string]bool{}
	for key := range b.held {
		homes[key.home] = true
	}
	for _, q := range b.queue {
		homes[q.Home] = true
	}
	var silent []string
	for home := range homes {
		last, known := b.reports.lastMs[home]
		if known && now-last < silentHomeMs {
			continue
		}
		b.reports.lastMs[home] = now
		if known {
			silent = append(silent, home)
		}
	}
	slices.Sort(silent)
	return silent
}
