package schedule

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Withdraw ends a job that its coordinator no longer wants.
func (p *Pool) Withdraw(now time.Time, key JobKey, reason string) Effects {
	return p.handle(now, func() { p.withdraw(key, reason) })
}

// WithdrawAll ends all jobs of a coordinator that has disconnected or failed.
func (p *Pool) WithdrawAll(now time.Time, coordinator, reason string) Effects {
	return p.handle(now, func() {
		for _, key := range p.jobKeys() {
			if key.Coordinator == coordinator {
				p.withdraw(key, reason)
			}
		}
	})
}

// jobKeys returns the keys of all jobs in a fixed order.
func (p *Pool) jobKeys() []JobKey {
	keys := make([]JobKey, 0, len(p.jobs))
	for key := range p.jobs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

func compareKeys(a, b JobKey) int {
	return cmp.Or(strings.Compare(a.ID, b.ID), strings.Compare(a.Coordinator, b.Coordinator), cmp.Compare(a.Part, b.Part))
}

func (p *Pool) withdraw(key JobKey, reason string) {
	j := p.jobs[key]
	if j == nil {
		return
	}
	p.removeJob(j)
	p.stopRuns(j, reason)
}
