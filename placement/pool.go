package placement

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MaxPoolSize is the most upstreams that one broker hands out together.
const MaxPoolSize = 64

// Pool is a set of upstreams that share a broker.
type Pool struct {
	ID        string
	Region    string
	Zone      string // "" where the pool spans the zones of its region
	Upstreams []Upstream
}

// Pools groups upstreams. A region of up to MaxPoolSize upstreams is one pool: the
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
	if inRegion <= MaxPoolSize {
		return Pool{ID: "region/" + u.Region, Region: u.Region}
	}
	parts := 1
	for parts*MaxPoolSize < inZone {
		parts *= 2
	}
	part := strconv.FormatUint(xxhash.Sum64String(u.ID)%uint64(parts), 10)
	return Pool{ID: "zone/" + u.Zone + "/" + part, Region: u.Region, Zone: u.Zone}
}

// InstanceLocation is an instance that may be a broker or a witness.
type InstanceLocation struct {
	Instance string
	Region   string
	Zone     string
	Rack     string
}

// ChooseBroker chooses the broker of a pool by rendezvous hash: among the entries
// of its zone, or else of its region, or else all. It returns "" without
// entries.
func ChooseBroker(p *Pool, entries []InstanceLocation) string {
	choices := []func(*InstanceLocation) bool{
		func(e *InstanceLocation) bool { return p.Zone != "" && e.Zone == p.Zone },
		func(e *InstanceLocation) bool { return e.Region == p.Region },
		func(*InstanceLocation) bool { return true },
	}
	return firstOf(p.ID, entries, choices)
}

func firstOf(name string, entries []InstanceLocation, choices []func(*InstanceLocation) bool) string {
	for _, may := range choices {
		if found := highest(name, entries, may); found != "" {
			return found
		}
	}
	return ""
}

func highest(name string, entries []InstanceLocation, may func(*InstanceLocation) bool) string {
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

// WitnessScope says how far away a witness is looked for.
type WitnessScope string

// The scopes of a witness, each with what it survives besides one instance.
const (
	WitnessScopeNone   WitnessScope = "none"   // no witness
	WitnessScopeZone   WitnessScope = "zone"   // the same zone, another rack where there is one
	WitnessScopeRegion WitnessScope = "region" // another zone where there is one
)

// ChooseWitness chooses the witness for log number of an entry: another rack
// before the same one, in the order that scope asks for. It returns "" when
// nobody else is there. Numbers spread the logs of one home over witnesses.
func ChooseWitness(self InstanceLocation, number uint64, scope WitnessScope, others []InstanceLocation) string {
	if scope == WitnessScopeNone {
		return ""
	}
	name := self.Instance + "#" + strconv.FormatUint(number, 10)
	near := func(e *InstanceLocation) bool { return e.Zone == self.Zone }
	if scope == WitnessScopeRegion {
		near = func(e *InstanceLocation) bool { return e.Zone != self.Zone && e.Region == self.Region }
	}
	other := func(e *InstanceLocation) bool { return e.Instance != self.Instance }
	return firstOf(name, others, []func(*InstanceLocation) bool{
		func(e *InstanceLocation) bool { return other(e) && near(e) && e.Rack != self.Rack },
		func(e *InstanceLocation) bool { return other(e) && near(e) },
		other,
	})
}
