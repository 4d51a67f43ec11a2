package schedule

import (
	"slices"
	"time"
)

// The process of a pool may stand still: it is paused, or gets no processor. What it
// had waiting then, and what lay in its connections, may be of coordinators that are
// lost, or stand still themselves, and of customers that have long left and sent their
// jobs again elsewhere, where they run by now. So nothing of that is started: it goes
// back to the coordinators, which know what of it is still wanted. A search over orders
// of events (two zones, any process paused for up to 3 s) finds two runs of one task at
// once within some 1,800 draws where a pool only waits for .3 s before it goes on.

const (
	// readAfter is how long after it woke up a pool takes no offers: what lies in its
	// connections is read in that time. An instance of .2 of a core that wakes up to
	// some hundred messages has read them in .1 s.
	readAfter = 300 * time.Millisecond
	// oldestOffer is how long jobs stay that were offered before: customers wait for
	// some seconds.
	oldestOffer = 15 * time.Second
)

// noticeStandstill takes that an input comes at a time. Time passes for a pool every
// few milliseconds, so that a long pause is one of the whole process.
func (p *Pool) noticeStandstill(now time.Time) {
	if p.cfg.Standstill > 0 && !p.heard.IsZero() && now.Sub(p.heard) >= p.cfg.Standstill {
		p.woke = now
	}
	p.heard = now
}

// isWaking reports whether a pool still reads what came while it stood still.
func (p *Pool) isWaking() bool { return !p.woke.IsZero() && p.now.Sub(p.woke) < readAfter }

// returnOld gives back what waits of jobs that were offered before a pool stood still.
func (p *Pool) returnOld() {
	if p.woke.IsZero() || p.now.Sub(p.woke) > oldestOffer {
		return
	}
	for _, j := range slices.Clone(p.queue) {
		if j.offered.Before(p.woke) {
			p.returnAll(j, "stood still")
		}
	}
}
