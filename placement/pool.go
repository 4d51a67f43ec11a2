package placement

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PoolSize is the most upstreams that one broker hands out together.
const PoolSize = 64

// Pool is a set of upstreams of one zone that share a broker.
type Pool struct {
	ID        string
	Zone      string
	Upstreams []Upstream
}

// Pools groups upstreams by zone, and large zones into several pools, so that
// an upstream that comes or goes moves no other one between pools.
func Pools(upstreams []Upstream) []Pool {
	counts := map[string]int{}
	for i := range upstreams {
		counts[upstreams[i].Zone]++
	}
	byID := map[string]*Pool{}
	for i := range upstreams {
		u := &upstreams[i]
		id := poolOf(u, counts[u.Zone])
		if byID[id] == nil {
			byID[id] = &Pool{ID: id, Zone: u.Zone}
		}
		byID[id].Upstreams = append(byID[id].Upstreams, *u)
	}
	pools := make([]Pool, 0, len(byID))
	for _, p := range byID {
		slices.SortFunc(p.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
		pools = append(pools, *p)
	}
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Compare(a.ID, b.ID) })
	return pools
}

func poolOf(u *Upstream, inZone int) string {
	parts := 1
	for parts*PoolSize < inZone {
		parts *= 2
	}
	return u.Zone + "/" + strconv.FormatUint(xxhash.Sum64String(u.ID)%uint64(parts), 10)
}

// Entry is an instance that may be a broker or a witness.
type Entry struct {
	Instance string
	Zone     string
	Rack     string
}

// BrokerOf chooses the broker of a pool: by rendezvous hash among the entries
// of the pool's zone, or among all where that zone has none. It returns ""
// without entries.
func BrokerOf(pool string, zone string, entries []Entry) string {
	best := highest(pool, entries, func(e *Entry) bool { return e.Zone == zone })
	if best == "" {
		best = highest(pool, entries, func(*Entry) bool { return true })
	}
	return best
}

func highest(name string, entries []Entry, may func(*Entry) bool) string {
	best, score := "", uint64(0)
	for i := range entries {
		if !may(&entries[i]) {
			continue
		}
		s := xxhash.Sum64String(name + "|" + entries[i].Instance)
		if best == "" || s > score || (s == score && entries[i].Instance < best) {
			best, score = entries[i].Instance, s
		}
	}
	return best
}

// Scope says how far away a witness is looked for.
type Scope string

// The scopes of a witness, each with what it survives besides one instance.
const (
	ScopeNone   Scope = "none"   // no witness
	ScopeZone   Scope = "zone"   // the same zone, another rack where there is one
	ScopeRegion Scope = "region" // another zone where there is one
)

// WitnessOf chooses the witness for log number of an entry: another rack
// before the same one, in the order that scope asks for. It returns "" when
// nobody else is there. Numbers spread the logs of one home over witnesses.
func WitnessOf(self Entry, number uint64, scope Scope, others []Entry) string {
	if scope == ScopeNone {
		return ""
	}
	name := self.Instance + "#" + strconv.FormatUint(number, 10)
	sameZone := func(e *Entry) bool { return e.Zone == self.Zone }
	if scope == ScopeRegion {
		sameZone = func(e *Entry) bool { return e.Zone != self.Zone }
	}
	choices := []func(*Entry) bool{
		func(e *Entry) bool { return sameZone(e) && e.Rack != self.Rack },
		sameZone,
		func(*Entry) bool { return true },
	}
	for _, may := range choices {
		found := highest(name, others, func(e *Entry) bool { return e.Instance != self.Instance && may(e) })
		if found != "" {
			return found
		}
	}
	return ""
}
