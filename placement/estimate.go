package placement

// estimates learns the run times of services. One sample is never trusted:
// what was declared fades only as samples come in.
type estimates struct {
	byService map[string]*estimate
}

type estimate struct {
	mean    float64 // milliseconds
	samples int
}

// trustedAfter is how many samples outweigh a declaration.
const trustedAfter = 20

// unknownRunMs stands in for a run time that is neither declared nor seen.
const unknownRunMs = 300

// minRunMs keeps ratios of run times finite.
const minRunMs = 0.01

func newEstimates() *estimates { return &estimates{byService: map[string]*estimate{}} }

// seen takes the mean run time of count tasks, and returns what was expected.
func (e *estimates) seen(service string, meanMs float64, count int) float64 {
	s := e.byService[service]
	if s == nil {
		s = &estimate{mean: max(meanMs, minRunMs)}
		e.byService[service] = s
	}
	expected := s.mean
	for range min(count, trustedAfter) {
		s.mean += smoothing * (meanMs - s.mean)
	}
	s.mean = max(s.mean, minRunMs)
	s.samples += count
	return expected
}

// run returns the run time to expect of a task, in milliseconds.
func (e *estimates) run(service string, declaredMs float64) float64 {
	if declaredMs <= 0 {
		declaredMs = unknownRunMs
	}
	s := e.byService[service]
	if s == nil {
		return declaredMs
	}
	weight := min(float64(s.samples)/trustedAfter, 1)
	return weight*s.mean + (1-weight)*declaredMs
}
