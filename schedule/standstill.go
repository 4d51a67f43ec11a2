package schedule

import "time"

// resumeAfter is how long a pool that stood still starts nothing. What was sent to it
// meanwhile is read first: that coordinators are gone, that their jobs are withdrawn,
// that another owner has the upstreams. The customers of those jobs may have sent them
// again elsewhere, where they run by now. An instance of .2 of a core that wakes up to
// some hundred messages has read them in .1 s.
const resumeAfter = 300 * time.Millisecond

// noticeStandstill takes that an input comes at a time. Time passes for a pool every
// few milliseconds, so that a long pause is one of the whole process.
func (p *Pool) noticeStandstill(now time.Time) {
	if p.cfg.Standstill > 0 && !p.heard.IsZero() && now.Sub(p.heard) >= p.cfg.Standstill {
		p.resumes = now.Add(resumeAfter)
	}
	p.heard = now
}
