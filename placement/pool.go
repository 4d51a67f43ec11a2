package placement

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// PoolSize is the most upstreams that one broker hands out together.
const PoolSize = 64

// Pool is a set of upstreams that share a broker.
type Pool struct {
	ID        string
	Region    string
	Zone      string // "" where the pool spans the zones of its region
	Upstreams []Upstream
}

// Pools groups upstreams. A region of up to PoolSize upstreams is one pool: the
// larger the pool, the less a job waits while a place is free elsewhere. In a
// larger region each zone has pools of its own, which upstreams share out by
// hash, so that one that comes or goes moves no other.
func Pools(upstreams []Upstream) []Pool {
	inRegion, inZone := map[string]int{}, map[string]int{}
	for i := range upstreams {
		inRegion[upstreams[i].Region]++
		inZone[upstreams[i].Zone]++
	}
	byID := map[string]*Pool{}
	for i := range upstreams {
		u := &upstreams[i]
		p := poolOf(u, inRegion[u.Region], inZone[u.Zone])
		if byID[p.ID] == nil {
			byID[p.ID] = &p
		}
		byID[p.ID].Upstreams = append(byID[p.ID].Upstreams, *u)
	}
	pools := make([]Pool, 0, len(byID))
	for _, p := range byID {
		slices.SortFunc(p.Upstreams, func(a, b Upstream) int { return cmp.Compare(a.ID, b.ID) })
		pools = append(pools, *p)
	}
	slices.SortFunc(pools, func(a, b Pool) int { return cmp.Compare(a.ID, b.ID) })
	return pools
}

func poolOf(u *Upstream, inRegion, inZone int) Pool {
	if inRegion <= PoolSize {
		return Pool{ID: "region/" + u.Region, Region: u.Region}
	}
	parts := 1
	for parts*PoolSize < inZone {
		parts *= 2
	}
	part := strconv.FormatUint(xxhash.Sum64String(u.ID)%uint64(parts), 10)
	return Pool{ID: "zone/" + u.Zone + "/" + part, Region: u.Region, Zone: u.Zone}
}

// Entry is an instance that may be a broker or a witness.
type Entry struct {
	Instance string
	Region   string
	Zone     string
	Rack     string
}

// BrokerOf chooses the broker of a pool by rendezvous hash: among the entries
// of its zone, or else of its region, or else all. It returns "" without
// entries.
func BrokerOf(p *Pool, entries []Entry) string {
	choices := []func(*Entry) bool{
		func(e *Entry) bool { return p.Zone != "" && e.Zone == p.Zone },
		func(e *Entry) bool { return e.Region == p.Region },
		func(*Entry) bool { return true },
	}
	return firstOf(p.ID, entries, choices)
}

func firstOf(name string, entries []Entry, choices []func(*Entry) bool) string {
	for _, may := range choices {
		if found := highest(name, entries, may); found != "" {
			return found
		}
	}
	return ""
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
	near := func(e *Entry) bool { return e.Zone == self.Zone }
	if scope == ScopeRegion {
		near = func(e *Entry) bool { return e.Zone != self.Zone && e.Region == self.Region }
	}
	other := func(e *Entry) bool { return e.Instance != self.Instance }
	return firstOf(name, others, []func(*Entry) bool{
		func(e *Entry) bool { return other(e) && near(e) && e.Rack != self.Rack },
		func(e *Entry) bool { return other(e) && near(e) },
		other,
	})
}
