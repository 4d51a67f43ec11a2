package placement

import (
	"slices"
)

// heldKey says who holds places, where and for what.
type heldKey struct{ home, upstream, service string }

// orphan is a number of places that come back at a time.
type orphan struct {
	upstream string
	count    int
	taken    Resources
	at       int64
}

func (b *Broker) placeOf(id string) *place {
	p := b.places[id]
	if p == nil {
		p = &place{Upstream: Upstream{ID: id}}
		b.places[id] = p
	}
	return p
}

// holding is what one home holds of one upstream.
type holding struct {
	count int
	taken Resources
}

func (b *Broker) take(home string, p *place, service string, n Resources, count int) {
	key := heldKey{home, p.ID, service}
	b.useOf(service).used += count
	h := b.held[key]
	if h == nil {
		h = &holding{}
		b.held[key] = h
	}
	for range count {
		p.taken = p.taken.plus(n)
		h.taken = h.taken.plus(n)
	}
	p.used += count
	h.count += count
}

// giveUp takes count places of a holding back and returns what they took. The
// places stay used until they are vacated.
func (b *Broker) giveUp(key heldKey, count int) Resources {
	h := b.held[key]
	share := float64(count) / float64(h.count)
	freed := Resources{h.taken.CPU * share, uint64(float64(h.taken.MemoryMB) * share), uint32(float64(h.taken.Accelerators) * share)}
	h.taken = h.taken.minus(freed)
	h.count -= count
	if h.count <= 0 {
		delete(b.held, key)
	}
	u := b.useOf(key.service)
	u.used = max(u.used-count, 0)
	return freed
}

func (p *place) vacate(freed Resources, count int) {
	p.used = max(p.used-count, 0)
	p.taken = p.taken.minus(freed)
	if p.used == 0 {
		p.taken = Resources{}
	}
}

// HandleHomeLost takes the news that a home is lost: what waits for it is dropped,
// what it holds comes back after a while.
func (b *Broker) HandleHomeLost(home string, now int64) []Grant {
	for _, t := range slices.Clone(b.queue) {
		if t.Home == home {
			b.remove(t)
		}
	}
	for key, h := range b.held {
		if key.home == home {
			count := h.count
			b.orphans = append(b.orphans, orphan{key.upstream, count, b.giveUp(key, count), now + b.cfg.LostHomeReleaseDelayMs})
		}
	}
	delete(b.homes, home)
	return b.serve(now)
}
