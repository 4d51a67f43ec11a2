package ingress

import (
	"fmt"
	"time"

	"github.com/sedgehatch/sedgehatch/owner"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// simLink is a connection between a coordinator and an owner.
type simLink struct {
	number                     int
	coordinator                *simCoordinator
	owner                      *simOwner
	blackholed                 bool      // both ends' messages are dropped without an error
	delayedUntil               time.Time // messages sent before this time arrive after it, in order
	coordinatorOpen, ownerOpen bool      // whether each end considers the link open
	coordinatorLastReceived    time.Time
	ownerLastReceived          time.Time
	offers                     map[schedule.JobKey]owner.OfferCallbacks // the coordinator's open offers on this link
	tokens                     map[schedule.JobKey]uint64               // fencing token of the owner by offer, if simFleet.adoptsRuns is set
	afterSend                  map[schedule.JobKey][]func()             // by offer that is being sent: the withdrawals to send after it
}

func (l *simLink) name() string { return fmt.Sprintf("%s#%d", l.coordinator.name, l.number) }

// delay returns the latency of a message that is sent now.
func (l *simLink) delay() time.Duration {
	return max(simNetworkDelay, l.delayedUntil.Sub(l.coordinator.fleet.Now())+simNetworkDelay)
}

func (l *simLink) sendToOwner(f func()) {
	l.send(&l.owner.simProcess, &l.ownerOpen, &l.ownerLastReceived, f)
}

func (l *simLink) sendToCoordinator(f func()) {
	l.send(&l.coordinator.simProcess, &l.coordinatorOpen, &l.coordinatorLastReceived, f)
}

// send sends a message to the process at one end of the link. On arrival, the process runs f if
// that end (*open) is still open.
func (l *simLink) send(to *simProcess, open *bool, lastReceived *time.Time, f func()) {
	if l.blackholed {
		return
	}
	l.coordinator.fleet.AfterFunc(l.delay(), func() {
		to.run(func() {
			if *open {
				*lastReceived = to.Now()
				f()
			}
		})
	})
}

// closeAtCoordinator closes the coordinator's end of the link, and the owner's end when the owner
// receives the notice. The coordinator's open offers on the link are lost.
func (l *simLink) closeAtCoordinator() {
	if !l.coordinatorOpen {
		return
	}
	l.sendToOwner(l.closeAtOwner)
	l.coordinatorOpen = false
	l.coordinator.fleet.record("", "%s is closed at the coordinator", l.name())
	offers := l.offers
	l.offers = map[schedule.JobKey]owner.OfferCallbacks{}
	for _, key := range l.coordinator.fleet.sortedKeys(offers) {
		offers[key].OwnerLost(l.tokens[key])
	}
}

// closeAtOwner closes the owner's end of the link, and the coordinator's end when the
// coordinator receives the notice. The owner treats all offers on the link as withdrawn.
func (l *simLink) closeAtOwner() {
	if !l.ownerOpen {
		return
	}
	l.sendToCoordinator(l.closeAtCoordinator)
	l.ownerOpen = false
	l.coordinator.fleet.record("", "%s is closed at the owner", l.name())
	if l.owner.pool != nil {
		l.owner.apply(l.owner.pool.WithdrawAll(l.owner.Now(), l.name(), "closed"))
	}
}

// handleHeartbeat processes, at the coordinator, a heartbeat that the owner sent at the time
// sent, on the owner's clock. If the coordinator has open offers on the link, it ends the jobs
// of disconnected customers and then returns that time to the owner, which renews the
// coordinator's lease as of that time.
func (l *simLink) handleHeartbeat(sent time.Time) {
	if sent.After(l.coordinator.lastHeartbeat[l.owner]) {
		l.coordinator.lastHeartbeat[l.owner] = sent
	}
	if len(l.offers) == 0 {
		return
	}
	if !l.coordinator.coordinator.EndDisconnected() {
		return
	}
	l.sendToOwner(func() {
		if l.owner.pool != nil {
			l.owner.pool.RenewCoordinator(l.name(), sent)
		}
	})
}

// coordinatorHeartbeats sends heartbeats to the owner at regular intervals, and closes the
// coordinator's end of the link if it has received nothing from the owner for simLinkTimeout.
func (l *simLink) coordinatorHeartbeats() {
	l.coordinator.AfterFunc(l.coordinator.fleet.linkHeartbeat, func() {
		if !l.coordinatorOpen {
			return
		}
		l.sendToOwner(func() {})
		if l.coordinator.Now().Sub(l.coordinatorLastReceived) >= simLinkTimeout {
			l.closeAtCoordinator()
			return
		}
		l.coordinatorHeartbeats()
	})
}

// ownerHeartbeats sends heartbeats to the coordinator at regular intervals, and closes the
// owner's end of the link if it has received nothing from the coordinator for simLinkTimeout.
func (l *simLink) ownerHeartbeats() {
	l.owner.AfterFunc(l.coordinator.fleet.linkHeartbeat, func() {
		if !l.ownerOpen {
			return
		}
		sent := l.owner.Now()
		l.sendToCoordinator(func() { l.handleHeartbeat(sent) })
		if l.owner.Now().Sub(l.ownerLastReceived) >= simLinkTimeout {
			l.closeAtOwner()
			return
		}
		l.ownerHeartbeats()
	})
}

// randomLink returns the link between a random coordinator and a random owner, or nil if they
// have none.
func (f *simFleet) randomLink() *simLink {
	c := f.coordinators[f.Rand.IntN(len(f.coordinators))]
	return c.links[f.owners[f.Rand.IntN(len(f.owners))]]
}
