package placement

import (
	"slices"
)

// heldKey identifies the slots that a home holds at an upstream for the tasks of a service.
type heldKey struct{ home, upstream, service string }

// pendingRelease is a number of slots that no home holds any more, but that count as in use
// until dueMs, so that they are not granted again before.
type pendingRelease struct {
	upstream  string
	count     int
	resources Resources
	dueMs     int64 // Unix milliseconds
}

// getOrCreateUpstream returns the state of an upstream. If the broker has none, because the
// upstream is not listed and no slots of it are in use, it creates one.
func (b *Broker) getOrCreateUpstream(id string) *upstreamState {
	u := b.upstreams[id]
	if u == nil {
		u = &upstreamState{Upstream: Upstream{ID: id}}
		b.upstreams[id] = u
	}
	return u
}

// heldSlots are the slots held under one heldKey, and the resources of the tasks on them.
type heldSlots struct {
	count     int
	resources Resources
}

// addHeld records that a home holds count more slots of u for a service, for tasks that
// need n each.
func (b *Broker) addHeld(home string, u *upstreamState, service string, n Resources, count int) {
	key := heldKey{home, u.ID, service}
	b.getOrCreateService(service).usedSlots += count
	h := b.held[key]
	if h == nil {
		h = &heldSlots{}
		b.held[key] = h
	}
	for range count {
		u.usedResources = u.usedResources.plus(n)
		h.resources = h.resources.plus(n)
	}
	u.usedSlots += count
	h.count += count
}

// removeHeld records that count slots are no longer held under key, and returns their share
// of the resources. The slots count as in use until free is called for them.
func (b *Broker) removeHeld(key heldKey, count int) Resources {
	h := b.held[key]
	share := float64(count) / float64(h.count)
	freed := Resources{h.resources.CPU * share, uint64(float64(h.resources.MemoryMB) * share), uint32(float64(h.resources.Accelerators) * share)}
	h.resources = h.resources.minus(freed)
	h.count -= count
	if h.count <= 0 {
		delete(b.held, key)
	}
	s := b.getOrCreateService(key.service)
	s.usedSlots = max(s.usedSlots-count, 0)
	return freed
}

// free records that count slots and the given resources are no longer in use.
func (u *upstreamState) free(freed Resources, count int) {
	u.usedSlots = max(u.usedSlots-count, 0)
	u.usedResources = u.usedResources.minus(freed)
	if u.usedSlots == 0 {
		u.usedResources = Resources{}
	}
}

// HandleHomeLost removes the queued requests of a lost home. The slots held by the home are
// freed after LostHomeReleaseDelayMs.
func (b *Broker) HandleHomeLost(home string, now int64) []Grant {
	for _, q := range slices.Clone(b.queue) {
		if q.Home == home {
			b.remove(q)
		}
	}
	for key, h := range b.held {
		if key.home == home {
			count := h.count
			b.pendingReleases = append(b.pendingReleases, pendingRelease{key.upstream, count, b.removeHeld(key, count), now + b.cfg.LostHomeReleaseDelayMs})
		}
	}
	delete(b.homeGrants, home)
	delete(b.reports.lastMs, home)
	return b.grantQueued(now)
}
