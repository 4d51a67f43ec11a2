package ingress

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestTwoRunsAdopted is TestTwoRuns with adopting offers. Processes of owners may also end: the
// standby then knows that, and takes over their runs.
func TestTwoRunsAdopted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		simCase{
			seed: rapid.Uint64().Draw(t, "seed"), lossShare: rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "loss"),
			lateShare: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "late"), faultPercent: rapid.IntRange(0, 25).Draw(t, "faults"),
			faultKinds: crashFaultKinds, linkHeartbeat: rapid.SampledFrom([]time.Duration{sameZoneHeartbeat, crossZoneHeartbeat}).Draw(t, "beat"),
			adoptsRuns: true,
		}.run(t)
	})
}

// TestAdoptionCompletesJobs checks that more jobs get their final response from the first submission
// when owners are lost, if their runs are adopted.
func TestAdoptionCompletesJobs(t *testing.T) {
	unknown := map[bool]int{}
	for seed := range uint64(20) {
		for _, adopts := range []bool{false, true} {
			f := simCase{seed: seed, faultPercent: 10, faultKinds: crashFaultKinds, linkHeartbeat: sameZoneHeartbeat, adoptsRuns: adopts}.run(t)
			unknown[adopts] += f.verdicts[Unknown]
		}
	}
	t.Logf("unknown responses: %d without adoption, %d with it", unknown[false], unknown[true])
	if unknown[true] >= unknown[false] {
		t.Errorf("%d responses are unknown with adoption, %d without it", unknown[true], unknown[false])
	}
}
