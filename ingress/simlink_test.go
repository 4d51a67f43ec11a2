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
	blackholed                 bool      // messages are dropped without an error at either end
	delayedUntil               time.Time // messages sent before this time arrive after it, in order
	coordinatorOpen, ownerOpen bool      // the link is open at that end
	coordinatorLastReceived    time.Time
	ownerLastReceived          time.Time
	offers                     map[schedule.JobKey]owner.OfferCallbacks // offers of the coordinator that have not ended
	afterSend                  map[schedule.JobKey][]func()             // for each offer that is being sent, the withdrawals to send after it
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

// send delivers a message to a process by running f there, if that end of the link is open
// when the message arrives.
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

// closeAtCoordinator closes the coordinator's end of the link. The outcome of its offers is
// unknown.
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
		offers[key].OfferEnded(schedule.Result{Key: key, Outcome: schedule.Unknown, Begun: true}, schedule.Load{})
	}
}

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

// handleHeartbeat processes, at the coordinator, a heartbeat that the owner sent at the given
// time. A coordinator with open offers on the link ends the jobs of disconnected customers,
// and then sends the time back to renew its lease.
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

// coordinatorHeartbeats sends messages to the owner at regular intervals, and closes the link
// if none has been received from it for simLinkTimeout.
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
// link if nothing has been received from it for simLinkTimeout.
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
