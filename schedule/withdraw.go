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

// Cancel ends all offers of a job, whichever coordinators they are from, with the outcome Cancelled,
// and stops its runs, also those of a former owner. It reports whether there were any.
func (p *Pool) Cancel(now time.Time, id string) (found bool, effects Effects) {
	effects = p.handle(now, func() {
		for _, j := range slices.Clone(p.jobsByID[id]) {
			found = true
			p.endJob(j, Cancelled)
		}
		for _, u := range p.sortedUpstreams {
			for _, r := range sortedRuns(u) {
				if r.id.Task.Job == id && r.fromFormerOwner {
					found = true
					p.stopRun(r, string(Cancelled))
				}
			}
		}
	})
	return found, effects
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
