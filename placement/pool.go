package placement

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MaxPoolSize is the maximum number of upstreams in a pool that spans the zones of a
// region. In regions with more upstreams, it limits the average size of the pools of each
// zone.
const MaxPoolSize = 64

// Pool is a set of upstreams whose slots are allocated by one broker.
type Pool struct {
	ID        string
	Region    string
	Zone      string // "" if the pool spans the zones of its region
	Upstreams []Upstream
}

// Pools groups upstreams into pools. A region of up to MaxPoolSize upstreams is one pool:
// the larger a pool is, the less often a job waits in one pool while another has free
// slots. In a larger region each zone has its own pools, whose number is a power of two.
// Upstreams are assigned to the pools of their zone by hash. Other upstreams therefore stay
// in their pools when one is added or removed, unless the number of pools changes.
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

// InstanceLocation is the name and location of an instance that can be a broker or a
// witness.
type InstanceLocation struct {
	Instance string
	Region   string
	Zone     string
	Rack     string
}

// ChooseBroker chooses the broker of a pool by rendezvous hashing, among the instances of
// its zone if there are any, else among those of its region, else among all. It returns ""
// if there are no instances.
func ChooseBroker(p *Pool, instances []InstanceLocation) string {
	preferences := []func(*InstanceLocation) bool{
		func(e *InstanceLocation) bool { return p.Zone != "" && e.Zone == p.Zone },
		func(e *InstanceLocation) bool { return e.Region == p.Region },
		func(*InstanceLocation) bool { return true },
	}
	return choosePreferred(p.ID, instances, preferences)
}

// choosePreferred chooses an instance by rendezvous hashing. The preferences are tried in
// order: the instance is chosen among those that satisfy the first preference that at least
// one instance satisfies.
func choosePreferred(name string, instances []InstanceLocation, preferences []func(*InstanceLocation) bool) string {
	for _, isEligible := range preferences {
		if chosen := highestScore(name, instances, isEligible); chosen != "" {
			return chosen
		}
	}
	return ""
}

// highestScore returns the eligible instance with the highest hash of its name and the
// given name, or "" if none is eligible.
func highestScore(name string, instances []InstanceLocation, isEligible func(*InstanceLocation) bool) string {
	best, score := "", uint64(0)
	for i := range instances {
		if !isEligible(&instances[i]) {
			continue
		}
		s := xxhash.Sum64String(name + "|" + instances[i].Instance)
		if best == "" || s > score || (s == score && instances[i].Instance < best) {
			best, score = instances[i].Instance, s
		}
	}
	return best
}

// WitnessScope is where the witness of a permit log is chosen, relative to the home.
type WitnessScope string

// The scopes of witnesses. A permit log with a witness survives the loss of any one
// instance, and also the larger loss noted at its scope.
const (
	WitnessScopeNone   WitnessScope = "none"   // no witness
	WitnessScopeZone   WitnessScope = "zone"   // another rack of the same zone, if possible: survives the loss of a rack
	WitnessScopeRegion WitnessScope = "region" // another zone of the region, if possible: survives the loss of a zone
)

// ChooseWitness chooses the witness for a permit log of the home self. It prefers instances
// as far away as scope asks for and in another rack, then those as far away in any rack,
// then any other. It returns "" if there is no other instance, or if scope is
// WitnessScopeNone. Because the choice depends on logNumber, the logs of a home are spread
// over several witnesses.
func ChooseWitness(self InstanceLocation, logNumber uint64, scope WitnessScope, others []InstanceLocation) string {
	if scope == WitnessScopeNone {
		return ""
	}
	name := self.Instance + "#" + strconv.FormatUint(logNumber, 10)
	near := func(e *InstanceLocation) bool { return e.Zone == self.Zone }
	if scope == WitnessScopeRegion {
		near = func(e *InstanceLocation) bool { return e.Zone != self.Zone && e.Region == self.Region }
	}
	other := func(e *InstanceLocation) bool { return e.Instance != self.Instance }
	return choosePreferred(name, others, []func(*InstanceLocation) bool{
		func(e *InstanceLocation) bool { return other(e) && near(e) && e.Rack != self.Rack },
		func(e *InstanceLocation) bool { return other(e) && near(e) },
		other,
	})
}
