package ingress

import (
	"fmt"
	"time"

	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// modelLink is a connection between a coordinator and an owner.
type modelLink struct {
	number       int
	c            *modelCoordinator
	o            *modelOwner
	silent       bool      // nothing passes, and neither end is told
	heldUntil    time.Time // what is sent before arrives then, in order
	cOpen, oOpen bool
	cHeard       time.Time
	oHeard       time.Time
	offers       map[schedule.JobKey]owner.OfferCallbacks // of the coordinator
	unsent       map[schedule.JobKey][]func()             // what follows offers that are still being sent
}

func (l *modelLink) key() string { return fmt.Sprintf("%s#%d", l.c.name, l.number) }

// hop is how long a message takes that is sent now.
func (l *modelLink) hop() time.Duration {
	return max(modelHop, l.heldUntil.Sub(l.c.w.Now())+modelHop)
}

func (l *modelLink) toOwner(f func()) { l.send(&l.o.process, &l.oOpen, &l.oHeard, f) }

func (l *modelLink) toCoordinator(f func()) { l.send(&l.c.process, &l.cOpen, &l.cHeard, f) }

// send lets a process take a message, if its end of the link is open when it comes.
func (l *modelLink) send(to *process, open *bool, heard *time.Time, f func()) {
	if l.silent {
		return
	}
	l.c.w.AfterFunc(l.hop(), func() {
		to.do(func() {
			if *open {
				*heard = to.Now()
				f()
			}
		})
	})
}

// closeAtCoordinator ends the link there: what became of its offers is not known.
func (l *modelLink) closeAtCoordinator() {
	if !l.cOpen {
		return
	}
	l.toOwner(l.closeAtOwner)
	l.cOpen = false
	l.c.w.note("", "%s ends at the coordinator", l.key())
	offers := l.offers
	l.offers = map[schedule.JobKey]owner.OfferCallbacks{}
	for _, key := range l.c.w.sortedKeys(offers) {
		offers[key].OfferEnded(schedule.Result{Key: key, Outcome: schedule.Unknown, Begun: true}, schedule.Load{})
	}
}

func (l *modelLink) closeAtOwner() {
	if !l.oOpen {
		return
	}
	l.toCoordinator(l.closeAtCoordinator)
	l.oOpen = false
	l.c.w.note("", "%s ends at the owner", l.key())
	if l.o.pool != nil {
		l.o.apply(l.o.pool.WithdrawAll(l.o.Now(), l.key(), "closed"))
	}
}

// heardOwner takes a heartbeat that the owner sent at a time. A coordinator that has
// offers there sends the time back, once it has looked after its customers.
func (l *modelLink) heardOwner(sent time.Time) {
	if sent.After(l.c.heardFrom[l.o]) {
		l.c.heardFrom[l.o] = sent
	}
	if len(l.offers) == 0 {
		return
	}
	if !l.c.c.EndDisconnected() {
		return
	}
	l.toOwner(func() {
		if l.o.pool != nil {
			l.o.pool.RenewCoordinator(l.key(), sent)
		}
	})
}

// beat lets both ends speak, and find out that the other does not.
func (l *modelLink) beat() {
	l.c.AfterFunc(l.c.w.beat, func() {
		if !l.cOpen {
			return
		}
		l.toOwner(func() {})
		if l.c.Now().Sub(l.cHeard) >= modelSilence {
			l.closeAtCoordinator()
			return
		}
		l.beat()
	})
}

func (l *modelLink) beatOwner() {
	l.o.AfterFunc(l.c.w.beat, func() {
		if !l.oOpen {
			return
		}
		sent := l.o.Now()
		l.toCoordinator(func() { l.heardOwner(sent) })
		if l.o.Now().Sub(l.oHeard) >= modelSilence {
			l.closeAtOwner()
			return
		}
		l.beatOwner()
	})
}
