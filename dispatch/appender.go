package dispatch

import (
	"log/slog"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// appender sends the appends of one log, which are the messages that extend the
// witness's copy of the log. It sends them in order and applies the
// acknowledgements. Its lock is always taken before that of the log.
type appender struct {
	log *homeLog

	mu                sync.Mutex
	lastForcedFlushAt time.Time // when pending results were last sent without waiting for a permit or verdict
	ackAwaitedSince   time.Time // since when an acknowledgement is awaited; zero if none is
	silentSince       time.Time // since when sends fail or acknowledgements are missing; zero if the witness answers
	resendAt          time.Time // when to send the unacknowledged appends again; zero if that is not necessary
}

// resendInterval is the time between two attempts to send to a peer that does not
// answer.
const resendInterval = 50 * time.Millisecond

// flush sends the appends that are due, unless unacknowledged appends have to be
// sent again first. Without force, task results are sent only together with a permit
// or a verdict (a decided fate).
func (a *appender) flush(force bool) {
	if a.log.id.Witness == "" {
		return
	}
	a.mu.Lock()
	lost := false
	for a.resendAt.IsZero() && !lost {
		a.log.mu.Lock()
		next := a.log.home.NextAppend(force)
		a.log.mu.Unlock()
		if next == nil {
			break
		}
		lost = a.send(*next)
	}
	a.mu.Unlock()
	if lost {
		a.markWitnessLost()
	}
}

// send sends one append, and reports whether the witness has to be considered
// lost. An error of CallAsync or TrySend means that no byte of the append was sent.
// The lock must be held.
func (a *appender) send(next fate.Append) (lost bool) {
	f := &inner.Frame{Body: &inner.Frame_Append{Append: inner.FromAppend(&next)}}
	peers, witness := a.log.d.peers, a.log.id.Witness
	var err error
	if next.WantAck {
		if a.ackAwaitedSince.IsZero() {
			a.ackAwaitedSince = time.Now()
		}
		err = peers.CallAsync(witness, f, a.handleReply)
	} else {
		err = peers.TrySend(witness, f)
	}
	if err == nil {
		return false
	}
	a.log.mu.Lock()
	a.log.home.MarkUnsent(next.Sequence)
	a.log.home.Close() // the witness may be lost: new jobs go to other logs
	a.log.mu.Unlock()
	return a.scheduleResend(err)
}

// handleReply handles the witness's reply to an append, or the error of the call.
func (a *appender) handleReply(f *inner.Frame, err error) {
	if a.log.d.ctx.Err() != nil {
		return
	}
	if err != nil {
		a.mu.Lock()
		lost := a.scheduleResend(err)
		a.mu.Unlock()
		if lost {
			a.markWitnessLost()
		}
		return
	}
	a.handleAppendReply(f.GetAppendReply())
}

func (a *appender) handleAppendReply(r *inner.AppendReply) {
	if r.GetSealed() {
		event.LogSealed.Log(a.log.d.cfg.Log, slog.String("log", a.log.id.String()))
		a.log.apply(func(h *fate.Home) fate.Effects { return h.Seal() })
		return
	}
	if r.GetUnknownLog() {
		a.markWitnessLost()
		return
	}
	a.mu.Lock()
	a.silentSince, a.ackAwaitedSince = time.Time{}, time.Time{}
	a.mu.Unlock()
	a.log.apply(func(h *fate.Home) fate.Effects { return h.Ack(r.GetAcked()) })
	if r.GetGap() {
		a.resend(r.GetAcked() + 1)
	}
}

// scheduleResend handles the failure err to reach the witness: it schedules the
// unacknowledged appends to be sent again, and reports whether the witness has to be
// considered lost. The lock must be held.
func (a *appender) scheduleResend(err error) (lost bool) {
	now := time.Now()
	if a.silentSince.IsZero() {
		a.silentSince = now
	}
	a.ackAwaitedSince = time.Time{}
	a.resendAt = now.Add(resendInterval)
	return failure.Is(err, failure.Gone) || now.Sub(a.silentSince) > a.log.d.cfg.WitnessTimeout
}

// tick sends results that have waited for ResultAppendDelay, and detects a
// witness that does not answer.
func (a *appender) tick(now time.Time) {
	if a.log.id.Witness == "" || a.sealed() {
		return
	}
	a.mu.Lock()
	resendDue := !a.resendAt.IsZero() && !now.Before(a.resendAt)
	forceDue := now.Sub(a.lastForcedFlushAt) >= a.log.d.cfg.ResultAppendDelay
	if forceDue {
		a.lastForcedFlushAt = now
	}
	lost := false
	if !a.ackAwaitedSince.IsZero() && now.Sub(a.ackAwaitedSince) > a.log.d.cfg.WitnessTimeout/2 {
		lost = a.scheduleResend(failure.Timeout.New("the witness did not acknowledge an append in time"))
	}
	a.mu.Unlock()
	switch {
	case lost:
		a.markWitnessLost()
	case resendDue:
		a.resend(0)
	case forceDue:
		a.flush(true)
	}
}

// sealed reports whether the log is sealed: then no more appends are sent.
func (a *appender) sealed() bool {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	return a.log.home.Sealed()
}

func (a *appender) markWitnessLost() {
	if a.sealed() {
		return
	}
	event.WitnessLost.Log(a.log.d.cfg.Log, slog.String("log", a.log.id.String()))
	a.log.apply(func(h *fate.Home) fate.Effects { return h.MarkWitnessLost() })
}

// resend sends the unacknowledged appends from a sequence number on again. Only the
// last one requests an acknowledgement, which covers all of them.
func (a *appender) resend(from uint64) {
	a.mu.Lock()
	a.resendAt = time.Time{}
	a.log.mu.Lock()
	missing := a.log.home.UnackedForResend(from)
	a.log.mu.Unlock()
	lost := false
	for i, next := range missing {
		next.WantAck = i == len(missing)-1
		if lost = a.send(next); lost || !a.resendAt.IsZero() {
			a.markUnsent(missing[i+1:])
			break
		}
	}
	a.mu.Unlock()
	if lost {
		a.markWitnessLost()
		return
	}
	a.flush(false)
}

// markUnsent marks appends as not sent. UnackedForResend has counted them as sent, but
// resend stopped before it sent them.
func (a *appender) markUnsent(list []fate.Append) {
	a.log.mu.Lock()
	defer a.log.mu.Unlock()
	for i := range list {
		a.log.home.MarkUnsent(list[i].Sequence)
	}
}
