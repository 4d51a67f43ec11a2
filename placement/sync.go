package placement

import (
	"slices"
)

// grants counts what was granted to one home.
type grants struct {
	sequence uint64
	last     int64 // Unix milliseconds
}

func (b *Broker) granted(home string, now int64) uint64 {
	g := b.homes[home]
	if g == nil {
		g = &grants{}
		b.homes[home] = g
	}
	g.sequence++
	g.last = now
	return g.sequence
}

// grantMs is how long a grant may be on its way. After that it was lost.
const grantMs = 1000

// Sync puts the books right by what a home says that it has: the places that
// it holds and the requests that wait. It changes nothing while a grant may be
// on its way; sequence is that of the last one that the home got.
func (b *Broker) Sync(home string, sequence uint64, held []UpstreamSlots, waiting []Request, now int64) []Grant {
	if g := b.homes[home]; g != nil && g.sequence != sequence && now-g.last < grantMs {
		return nil
	}
	b.syncHeld(home, held)
	refused := b.syncWaiting(home, waiting, now)
	return append(refused, b.serve(now)...)
}

func (b *Broker) syncHeld(home string, held []UpstreamSlots) {
	now := map[heldKey]int{}
	for _, h := range held {
		now[heldKey{home, h.Upstream, h.Service}] += h.Count
	}
	for key, h := range b.held {
		if over := h.count - now[key]; key.home == home && over > 0 {
			b.placeOf(key.upstream).vacate(b.giveUp(key, over), over)
		}
	}
	for key, count := range now {
		missing := count
		if h := b.held[key]; h != nil {
			missing -= h.count
		}
		if missing > 0 {
			b.take(home, b.placeOf(key.upstream), key.service, Resources{}, missing)
		}
	}
}

func (b *Broker) syncWaiting(home string, waiting []Request, now int64) []Grant {
	named := map[string]bool{}
	var refused []Grant
	for _, r := range waiting {
		named[r.Ticket] = true
		if t := b.tickets[ticketKey{home, r.Ticket}]; t != nil {
			b.waits(t, r.Count-t.Count)
			t.Count = r.Count
			continue
		}
		refused = append(refused, b.enqueue(r, now)...)
	}
	for _, t := range slices.Clone(b.queue) {
		if t.Home == home && !named[t.Ticket] {
			b.remove(t)
		}
	}
	return refused
}
