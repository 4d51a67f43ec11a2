package placement

import "math"

// estimates learns what the tasks of services are like. One sample is never
// trusted: what was declared fades only as samples come in.
type estimates struct {
	byService map[string]*estimate
}

type estimate struct {
	mean    float64 // run time, milliseconds
	tail    float64 // about the longest run time of late, milliseconds
	failing float64 // share of tasks that failed of late
	samples int
}

const (
	// trustedAfter is how many samples outweigh a declaration.
	trustedAfter = 20
	// unknownRunMs stands in for a run time that is neither declared nor seen.
	unknownRunMs = 300
	// minRunMs keeps ratios of run times finite.
	minRunMs = 0.01
	// tailDecay is how a longest run time fades with each sample.
	tailDecay = 0.995
	// runSmoothing is the least weight of one task in its service's run time:
	// small, for run times vary and waits are worked out from their mean.
	runSmoothing = 0.02
	// failSmoothing is the weight of one task in its service's share of failures.
	failSmoothing = 0.002
	// chance is how likely failures in a row may be by chance before they speak
	// against an upstream.
	chance = 1e-6
	// rarelyFails is the share of failures below which a single one is a reason
	// for doubt.
	rarelyFails = 0.004
	// oftenFails is the share from which on failures say nothing of upstreams.
	oftenFails = 0.5
)

func newEstimates() *estimates { return &estimates{byService: map[string]*estimate{}} }

func (e *estimates) of(service string) *estimate {
	s := e.byService[service]
	if s == nil {
		s = &estimate{}
		e.byService[service] = s
	}
	return s
}

// seen takes the mean run time of count tasks.
func (e *estimates) seen(service string, meanMs float64, count int) {
	s := e.of(service)
	meanMs = max(meanMs, minRunMs)
	if s.samples == 0 {
		s.mean = meanMs
	}
	for range min(count, trustedAfter) {
		s.mean += max(runSmoothing, 1/float64(s.samples+1)) * (meanMs - s.mean)
		s.tail = max(s.tail*tailDecay, meanMs)
	}
	s.samples += count
}

// ended takes whether a task of a service failed.
func (e *estimates) ended(service string, failed bool) {
	s := e.of(service)
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failing += failSmoothing * (sample - s.failing)
}

// inRow returns how many failures of the service in a row speak against an
// upstream, at least; zero is that none do.
func (e *estimates) inRow(service string) int {
	failing := e.of(service).failing
	if failing >= oftenFails {
		return 0
	}
	return int(math.Ceil(math.Log(chance) / math.Log(max(failing, chance))))
}

// rarely reports whether tasks of the service hardly ever fail.
func (e *estimates) rarely(service string) bool { return e.of(service).failing < rarelyFails }

// run returns the run time to expect of a task, and about the longest, in
// milliseconds.
func (e *estimates) run(service string, declaredMs float64) (mean, tail float64) {
	if declaredMs <= 0 {
		declaredMs = unknownRunMs
	}
	s := e.byService[service]
	if s == nil {
		return declaredMs, declaredMs
	}
	weight := min(float64(s.samples)/trustedAfter, 1)
	mix := func(seen float64) float64 { return weight*seen + (1-weight)*declaredMs }
	return mix(s.mean), mix(s.tail)
}
