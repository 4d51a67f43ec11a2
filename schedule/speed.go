package schedule

import (
	"math"
	"slices"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
)

// lastingSpeed estimates how many times longer tasks take on one incarnation of an upstream than
// on most upstreams of its service in the pool (see speedCentres), apart from passing slowness (see
// slowdown). Consecutive runs are averaged in blocks, each of which counts as one observation,
// because the errors of runs at about the same time depend on each other.
type lastingSpeed struct {
	block blockMean
	// meanLog is the mean of the blocks, as logarithms, shrunk towards 0.
	meanLog float64
	// weight is the total weight of the blocks behind meanLog, including priorWeight. It is 0
	// before the first block.
	weight float64
	// squares is the weighted sum of the squared deviations of the blocks from meanLog.
	squares float64
	// log is the logarithm of the factor that decisions use. It is 0 unless the evidence for
	// another factor is strong.
	log float64
	// expOfLog is the factor that belongs to log, if that is not 0.
	expOfLog float64
}

// blockMean is the mean of the runs of one block.
type blockMean struct {
	startedAt time.Time
	sum       float64
	runs      int
}

// routeBias is the mean error of the expected durations of a route's tasks, as a logarithm.
// Without it, upstreams on which only some routes run would seem slow or fast.
type routeBias struct {
	meanLog float64
	runs    int
}

const (
	// A block of runs ends when it has lasted minSpeedBlock and contains minBlockRuns runs.
	minSpeedBlock = 250 * time.Millisecond
	minBlockRuns  = 3
	// maxRunDeviation bounds by how much one run may deviate from the estimate, as a logarithm.
	maxRunDeviation = 0.7
	// A block that deviates from the estimate by more than maxBlockDeviation, as a logarithm,
	// has only the weight outlierWeight: it more likely shows a passing trouble.
	maxBlockDeviation = 0.5
	outlierWeight     = 0.25
	// priorWeight is the weight, in blocks, of the assumption that an upstream is as fast as
	// the others, and priorVariance the assumed variance of a block around the estimate.
	// priorVarianceWeight is the weight of that assumption.
	priorWeight         = 1
	priorVariance       = 0.2 * 0.2
	priorVarianceWeight = 4
	// maxSpeedWeight bounds the weight of the past, in blocks, so that old blocks are forgotten.
	maxSpeedWeight = 400
	// An upstream counts as faster or slower than most once its estimate, as a logarithm,
	// exceeds minSpeedLog by speedErrors standard errors, until it falls below half of that.
	minSpeedLog = 0.07
	speedErrors = 3
	// maxSpeedLog bounds the factor: more than that is a fault rather than a speed.
	maxSpeedLog = 1.1
	// speedLogStep is the resolution of the factors in use, as logarithms. Upstreams that are
	// about equally fast then have the same factor.
	speedLogStep = 0.1
	// speedRefreshInterval is the interval at which the factors in use are computed again.
	speedRefreshInterval = 500 * time.Millisecond
	// routeBiasWeight is the weight of one run in the bias of its route. The first runs have a
	// larger weight. A bias is used from minRouteRuns runs on.
	routeBiasWeight = 0.02
	minRouteRuns    = 5
	// importedShare is the weight of the evidence of a former owner relative to own evidence.
	importedShare = 0.5
)

// factor returns how many times longer tasks take on the upstream for good, as far as the
// evidence shows. It returns 1 for most upstreams.
func (s *lastingSpeed) factor() float64 {
	if s.log == 0 {
		return 1
	}
	return s.expOfLog
}

// learnSpeed updates the lasting speed of a run's upstream from the duration of the run. Runs
// away from the rack of their data say little about the upstream.
func (p *Pool) learnSpeed(r *run, duration time.Duration) {
	if !p.cfg.Policy.LastingSpeed || r.remoteFactor > 1 || r.expectedDuration <= 0 {
		return
	}
	value := r.speedLog + math.Log(max(duration, time.Millisecond).Seconds()/max(r.expectedDuration, time.Millisecond).Seconds())
	s, bias := &r.upstream.speed, p.routeBiasOf(r.job)
	if bias.runs >= minRouteRuns {
		s.add(p.now, value-bias.meanLog)
	}
	bias.runs++
	bias.meanLog += (value - s.log - bias.meanLog) * max(routeBiasWeight, 1/float64(bias.runs))
}

func (p *Pool) routeBiasOf(j *job) *routeBias {
	b := p.biasByRoute[j.Route]
	if b == nil {
		b = &routeBias{}
		p.biasByRoute[j.Route] = b
	}
	return b
}

// add adds one run to the current block. The value is the logarithm of how many times longer the
// run took than expected on a nominal upstream.
func (s *lastingSpeed) add(now time.Time, value float64) {
	if s.block.runs == 0 {
		s.block.startedAt = now
	}
	s.block.sum += min(max(value, s.meanLog-maxRunDeviation), s.meanLog+maxRunDeviation)
	s.block.runs++
	if s.block.runs < minBlockRuns || now.Sub(s.block.startedAt) < minSpeedBlock {
		return
	}
	s.addBlock(s.block.sum / float64(s.block.runs))
	s.block = blockMean{}
}

func (s *lastingSpeed) addBlock(value float64) {
	deviation, weight := value-s.meanLog, 1.0
	if math.Abs(deviation) > maxBlockDeviation {
		weight = outlierWeight
	}
	s.weight = max(s.weight, priorWeight)
	if s.weight+weight > maxSpeedWeight {
		kept := (maxSpeedWeight - weight) / s.weight
		s.weight, s.squares = s.weight*kept, s.squares*kept
	}
	s.weight += weight
	s.meanLog += deviation * weight / s.weight
	s.squares += weight * deviation * deviation
}

// standardError returns the standard error of meanLog.
func (s *lastingSpeed) standardError() float64 {
	variance := (priorVarianceWeight*priorVariance + s.squares) / (priorVarianceWeight + s.weight - priorWeight)
	return math.Sqrt(variance / s.weight)
}

// significant returns a logarithm of a factor if the evidence for it is strong, and 0 otherwise.
// Less evidence suffices for an upstream that already counts as faster or slower.
func (s *lastingSpeed) significant(log float64) float64 {
	if s.weight <= priorWeight {
		return 0
	}
	needed := minSpeedLog + speedErrors*s.standardError()
	if s.log*log > 0 {
		needed /= 2
	}
	if math.Abs(log) < needed {
		return 0
	}
	return min(max(math.Round(log/speedLogStep)*speedLogStep, -maxSpeedLog), maxSpeedLog)
}

// refreshSpeeds computes the factors in use, at most once per speedRefreshInterval.
func (p *Pool) refreshSpeeds() {
	if !p.cfg.Policy.LastingSpeed || p.now.Sub(p.speedsRefreshedAt) < speedRefreshInterval {
		return
	}
	p.speedsRefreshedAt = p.now
	centres := p.speedCentres()
	p.unevenSpeeds = false
	for _, u := range p.sortedUpstreams {
		p.setSpeed(u, u.speed.significant(u.speed.meanLog-centres[u.Service]))
		p.unevenSpeeds = p.unevenSpeeds || u.speed.log != 0
	}
}

// speedCentres returns, by service, the mean of the middle half of the upstreams' estimates. Few
// fast or slow upstreams therefore do not make all others seem slow or fast.
func (p *Pool) speedCentres() map[string]float64 {
	estimates := map[string][]float64{}
	for _, u := range p.sortedUpstreams {
		estimates[u.Service] = append(estimates[u.Service], u.speed.meanLog)
	}
	centres := make(map[string]float64, len(estimates))
	for service, list := range estimates {
		slices.Sort(list)
		middle := list[len(list)/4 : len(list)-len(list)/4]
		for _, log := range middle {
			centres[service] += log / float64(len(middle))
		}
	}
	return centres
}

// setSpeed changes the factor in use of an upstream. What was learned of its passing slowness is
// relative to that factor, and is reduced where the new factor explains it.
func (p *Pool) setSpeed(u *upstream, log float64) {
	before := u.speed.log
	if log == before {
		return
	}
	u.speed.log, u.speed.expOfLog = log, math.Exp(log)
	passing := u.slowdown.logAt(p.now)
	if explained := log - before; passing*explained > 0 {
		u.slowdown.log = math.Copysign(max(math.Abs(passing)-math.Abs(explained), 0), passing)
		u.slowdown.updatedAt = p.now
	}
	if (log == 0) == (before == 0) {
		return
	}
	reason := "as fast as the others"
	switch {
	case log > 0:
		reason = "slower for good"
	case log < 0:
		reason = "faster for good"
	}
	p.addDecision(Decision{Kind: DecidedSpeed, Upstream: u.ID, Reason: reason, Task: len(u.runs)})
}

// UpstreamSpeed is what an owner has learned of the lasting speed of an upstream.
type UpstreamSpeed struct {
	Incarnation fleet.UpstreamIncarnation
	Log         float64 // logarithm of how many times longer tasks take there than on most upstreams of its group
	Runs        int     // that this rests on, at least
}

// Speeds returns the lasting speeds of those upstreams that are faster or slower than most of the
// pool, ordered by ID.
func (p *Pool) Speeds() []UpstreamSpeed {
	var list []UpstreamSpeed
	for _, u := range p.sortedUpstreams {
		if u.speed.log != 0 {
			list = append(list, UpstreamSpeed{Incarnation: u.Incarnation(), Log: u.speed.log, Runs: int((u.speed.weight - priorWeight) * minBlockRuns)})
		}
	}
	return list
}

// ImportSpeeds makes the pool start with the speeds that a former owner has learned. They are used
// for upstreams of the same incarnations of which the pool itself knows nothing yet, and for
// those that it gets later.
func (p *Pool) ImportSpeeds(now time.Time, speeds []UpstreamSpeed) Effects {
	return p.handle(now, func() {
		if !p.cfg.Policy.LastingSpeed {
			return
		}
		for _, s := range speeds {
			p.importedSpeeds[s.Incarnation] = s
		}
		for _, u := range p.sortedUpstreams {
			p.applyImportedSpeed(u)
		}
	})
}

// applyImportedSpeed applies the speed that was imported for an upstream, if there is one and the
// pool knows nothing of its speed yet.
func (p *Pool) applyImportedSpeed(u *upstream) {
	imported, found := p.importedSpeeds[u.Incarnation()]
	if !found || u.speed.weight > 0 {
		return
	}
	delete(p.importedSpeeds, u.Incarnation())
	log := min(max(imported.Log, -maxSpeedLog), maxSpeedLog)
	blocks := importedShare * float64(imported.Runs) / minBlockRuns
	u.speed.meanLog, u.speed.weight = log, priorWeight+min(max(blocks, 0), importedShare*maxSpeedWeight)
	if blocks <= 0 || math.IsNaN(imported.Log) {
		u.speed = lastingSpeed{}
		return
	}
	p.setSpeed(u, log)
	p.unevenSpeeds = p.unevenSpeeds || u.speed.log != 0
}
