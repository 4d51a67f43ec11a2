package ingress

import (
	"sync"
	"time"
)

const (
	// groupMemory is how long a group counts as known after its owner's last load report. Another
	// instance takes over the group of a lost owner within about a second.
	groupMemory = 2 * time.Second
	// groupCheckInterval is the interval at which the known groups are compared with the current
	// reports, if the number of reports does not change.
	groupCheckInterval = 100 * time.Millisecond
)

// knownGroups remembers the groups whose owners have reported loads lately. A group that is missing
// from the current reports may have free capacity: its owner is silent, or has been lost.
type knownGroups struct {
	mu          sync.Mutex
	reportedAt  map[string]time.Time // by group
	checkedAt   time.Time
	reportCount int  // at checkedAt
	complete    bool // at checkedAt
}

// areComplete reports whether the current loads include those of all known groups.
func (k *knownGroups) areComplete(loads []OwnerLoad, now time.Time) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(loads) == k.reportCount && now.Sub(k.checkedAt) < groupCheckInterval {
		return k.complete
	}
	if k.reportedAt == nil {
		k.reportedAt = map[string]time.Time{}
	}
	k.checkedAt, k.reportCount, k.complete = now, len(loads), true
	for _, l := range loads {
		k.reportedAt[l.Group] = now
	}
	for group, at := range k.reportedAt {
		if now.Sub(at) > groupMemory {
			delete(k.reportedAt, group)
		} else if at.Before(now) {
			k.complete = false
		}
	}
	return k.complete
}
