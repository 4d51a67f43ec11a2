package placement

import "math"

// estimates predicts the run times and failures of tasks from those of earlier tasks of the
// same service. A declared run time is replaced only gradually by measured ones, since a
// single sample is unreliable.
type estimates struct {
	byService map[string]*estimate
}

type estimate struct {
	meanMs       float64 // moving mean of the run time
	tailMs       float64 // longest recent run time; decays with each sample
	failureShare float64 // moving mean of the share of tasks that failed
	samples      int
}

const (
	// samplesToTrust is the number of samples from which on only measured run times
	// count, and a declared one is ignored.
	samplesToTrust = 20
	// defaultRunMs is the assumed run time if none has been declared or measured.
	defaultRunMs = 300
	// minRunMs is the shortest run time recorded, so that ratios of run times are finite.
	minRunMs = 0.01
	// tailDecay is the factor by which the longest run time decays with each sample.
	tailDecay = 0.995
	// serviceRunSmoothing is the minimum weight of a new sample in the mean run time of
	// its service. It is small because run times vary: with a larger weight, each long
	// or short run would noticeably change the estimated waiting times.
	serviceRunSmoothing = 0.02
	// failureSmoothing is the weight of one task in its service's share of failures.
	failureSmoothing = 0.002
	// maxChance is the probability that decides whether consecutive failures are blamed
	// on the upstream: they are if they would occur by chance, given the share of
	// failures of the service, with at most this probability.
	maxChance = 1e-6
	// rareFailureShare is the share of failures of a service below which a single
	// failure makes the upstream suspected (see failsRarely).
	rareFailureShare = 0.004
	// frequentFailureShare is the share of failures of a service from which on no number
	// of failures is blamed on an upstream.
	frequentFailureShare = 0.5
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

// recordRunTimes adds the run times of count tasks, of which only the mean is known.
func (e *estimates) recordRunTimes(service string, meanMs float64, count int) {
	s := e.of(service)
	meanMs = max(meanMs, minRunMs)
	if s.samples == 0 {
		s.meanMs = meanMs
	}
	for range min(count, samplesToTrust) {
		s.meanMs += max(serviceRunSmoothing, 1/float64(s.samples+1)) * (meanMs - s.meanMs)
		s.tailMs = max(s.tailMs*tailDecay, meanMs)
	}
	s.samples += count
}

// recordOutcome records whether a task of a service has failed.
func (e *estimates) recordOutcome(service string, failed bool) {
	s := e.of(service)
	sample := 0.0
	if failed {
		sample = 1
	}
	s.failureShare += failureSmoothing * (sample - s.failureShare)
}

// failuresToEject returns how many tasks of the service have to fail consecutively before
// the failures are blamed on the upstream, or 0 if they never are.
func (e *estimates) failuresToEject(service string) int {
	failureShare := e.of(service).failureShare
	if failureShare >= frequentFailureShare {
		return 0
	}
	return int(math.Ceil(math.Log(maxChance) / math.Log(max(failureShare, maxChance))))
}

// failsRarely reports whether tasks of the service fail so rarely that a single failure
// makes the upstream suspected. A suspected upstream gets one task at a time.
func (e *estimates) failsRarely(service string) bool {
	return e.of(service).failureShare < rareFailureShare
}

// runTime returns the expected run time of a task of the service and an estimate of its
// longest run time, in milliseconds.
func (e *estimates) runTime(service string, declaredMs float64) (meanMs, tailMs float64) {
	if declaredMs <= 0 {
		declaredMs = defaultRunMs
	}
	s := e.byService[service]
	if s == nil {
		return declaredMs, declaredMs
	}
	weight := min(float64(s.samples)/samplesToTrust, 1)
	blend := func(seen float64) float64 { return weight*seen + (1-weight)*declaredMs }
	return blend(s.meanMs), blend(s.tailMs)
}
