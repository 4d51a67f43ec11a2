package node

import (
	"testing"
	"time"

	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// TestClaimWithWaits checks that the load of a group, with its waits, is the same after it was
// converted to a claim and back.
func TestClaimWithWaits(t *testing.T) {
	l := schedule.Load{Free: 2, Waiting: 7, Capacity: 64000, Waits: schedule.Waits{Known: 3, TaskMilliCPU: 1500, TaskDuration: 80 * time.Millisecond}}
	copy(l.Waits.Until[:], []time.Duration{0, 20 * time.Millisecond, 65 * time.Millisecond})
	if got := loadFromProto(loadToProto("a/0", 3, l)); got != l {
		t.Errorf("load %+v, want %+v", got, l)
	}
}

// TestClaimOfOtherVersions checks that no waits are known from a claim of an instance that does not
// report them, and that further waits from a newer one are ignored.
func TestClaimOfOtherVersions(t *testing.T) {
	earlier := &inner.Claim{Group: "a/0", Token: 3, Free: 2, Capacity: 64000}
	if got := loadFromProto(earlier); got.Waits != (schedule.Waits{}) || got.Free != 2 {
		t.Errorf("an earlier version: load %+v, want no waits", got)
	}
	newer := &inner.Claim{Group: "a/0", WaitMs: make([]uint32, schedule.WaitSteps+2), UsualMilliCpu: 1000}
	if got := loadFromProto(newer); got.Waits.Known != schedule.WaitSteps {
		t.Errorf("a newer version: %d waits known, want %d", got.Waits.Known, schedule.WaitSteps)
	}
}
