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

// appender carries the appends of one log to its witness, in order, and the
// acknowledgements back. Its lock is taken before the log's, never after.
type appender struct {
	l *homeLog

	mu      sync.Mutex
	lazyAt  time.Time // when results were last sent without waiting for company
	waiting time.Time // since when an acknowledgement is awaited; zero is none
	silent  time.Time // since when the witness does not answer; zero when it does
	retryAt time.Time // when what is missing is sent again; zero is not at all
}

// resendEvery is how often a silent witness is tried again.
const resendEvery = 50 * time.Millisecond

// flush sends what is due. What was not acknowledged goes first.
func (a *appender) flush(lazy bool) {
	if a.l.id.Witness == "" {
		return
	}
	a.mu.Lock()
	lost := false
	for a.retryAt.IsZero() && !lost {
		a.l.mu.Lock()
		next := a.l.home.NextAppend(lazy)
		a.l.mu.Unlock()
		if next == nil {
			break
		}
		lost = a.send(*next)
	}
	a.mu.Unlock()
	if lost {
		a.orphan()
	}
}

// send sends one append, and reports whether the witness is to be taken for
// lost. An error proves that no byte of the append has left. The lock is held.
func (a *appender) send(next fate.Append) (lost bool) {
	f := &inner.Frame{Body: &inner.Frame_Append{Append: inner.FromAppend(&next)}}
	peers, witness := a.l.d.peers, a.l.id.Witness
	var err error
	if next.WantAck {
		if a.waiting.IsZero() {
			a.waiting = time.Now()
		}
		err = peers.Notify(witness, f, a.replied)
	} else {
		err = peers.Post(witness, f)
	}
	if err == nil {
		return false
	}
	a.l.mu.Lock()
	a.l.home.MarkUnsent(next.Sequence)
	a.l.home.Close() // new work goes to another log
	a.l.mu.Unlock()
	return a.failed(err)
}

// replied takes what came of an append.
func (a *appender) replied(f *inner.Frame, err error) {
	if a.l.d.stop.Err() != nil {
		return
	}
	if err != nil {
		a.mu.Lock()
		lost := a.failed(err)
		a.mu.Unlock()
		if lost {
			a.orphan()
		}
		return
	}
	a.acked(f.GetAppendReply())
}

func (a *appender) acked(r *inner.AppendReply) {
	if r.GetSealed() {
		event.LogSealed.Log(a.l.d.cfg.Log, slog.String("log", a.l.id.String()))
		a.l.step(func(h *fate.Home) fate.Effects { return h.Seal() })
		return
	}
	if r.GetUnknownLog() {
		a.orphan()
		return
	}
	a.mu.Lock()
	a.silent, a.waiting = time.Time{}, time.Time{}
	a.mu.Unlock()
	a.l.step(func(h *fate.Home) fate.Effects { return h.Ack(r.GetAcked()) })
	if r.GetGap() {
		a.resend(r.GetAcked() + 1)
	}
}

// failed has what is missing sent again later, or reports that the witness is
// to be taken for lost. The lock is held.
func (a *appender) failed(err error) (lost bool) {
	now := time.Now()
	if a.silent.IsZero() {
		a.silent = now
	}
	a.waiting = time.Time{}
	a.retryAt = now.Add(resendEvery)
	return failure.Is(err, failure.Gone) || now.Sub(a.silent) > a.l.d.cfg.WitnessTimeout
}

// tick sends results that waited long enough, and notices a silent witness.
func (a *appender) tick(now time.Time) {
	if a.l.id.Witness == "" || a.over() {
		return
	}
	a.mu.Lock()
	retry := !a.retryAt.IsZero() && !now.Before(a.retryAt)
	lazy := now.Sub(a.lazyAt) >= a.l.d.cfg.ResultAppendDelay
	if lazy {
		a.lazyAt = now
	}
	lost := false
	if !a.waiting.IsZero() && now.Sub(a.waiting) > a.l.d.cfg.WitnessTimeout/2 {
		lost = a.failed(failure.Timeout.New("the witness does not acknowledge"))
	}
	a.mu.Unlock()
	switch {
	case lost:
		a.orphan()
	case retry:
		a.resend(0)
	case lazy:
		a.flush(true)
	}
}

// over reports whether the log will never append again.
func (a *appender) over() bool {
	a.l.mu.Lock()
	defer a.l.mu.Unlock()
	return a.l.home.Sealed()
}

func (a *appender) orphan() {
	if a.over() {
		return
	}
	event.WitnessLost.Log(a.l.d.cfg.Log, slog.String("log", a.l.id.String()))
	a.l.step(func(h *fate.Home) fate.Effects { return h.MarkWitnessLost() })
}

// resend sends again what the witness has not acknowledged.
func (a *appender) resend(from uint64) {
	a.mu.Lock()
	a.retryAt = time.Time{}
	a.l.mu.Lock()
	missing := a.l.home.UnackedForResend(from)
	a.l.mu.Unlock()
	lost := false
	for i, again := range missing {
		again.WantAck = i == len(missing)-1
		if lost = a.send(again); lost || !a.retryAt.IsZero() {
			a.unsent(missing[i+1:])
			break
		}
	}
	a.mu.Unlock()
	if lost {
		a.orphan()
		return
	}
	a.flush(false)
}

// unsent takes back what Unacked counted as sent.
func (a *appender) unsent(list []fate.Append) {
	a.l.mu.Lock()
	defer a.l.mu.Unlock()
	for i := range list {
		a.l.home.MarkUnsent(list[i].Sequence)
	}
}
