package dispatch

import (
	"context"
	"log/slog"
	"time"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// appender carries the appends of one log to its witness, in order, and the
// acknowledgements back.
type appender struct {
	l       *homeLog
	replies chan appendResult
	silent  time.Time // since when the witness does not answer; zero when it does
	retry   <-chan time.Time
}

type appendResult struct {
	reply *inner.AppendReply
	err   error
}

// resendEvery is how often a silent witness is tried again.
const resendEvery = 50 * time.Millisecond

func (l *homeLog) runAppender() {
	a := &appender{l: l, replies: make(chan appendResult, 64)}
	lazy := time.NewTicker(l.d.cfg.LazyAppend)
	defer lazy.Stop()
	for {
		select {
		case <-l.done:
			return
		case <-l.d.stop.Done():
			return
		case <-l.wake:
			a.sendNew(false)
		case <-lazy.C:
			a.sendNew(true)
		case r := <-a.replies:
			a.take(r)
		case <-a.retry:
			a.resend(0)
		}
		if a.over() {
			return
		}
	}
}

// over reports whether the log will never append again.
func (a *appender) over() bool {
	a.l.mu.Lock()
	defer a.l.mu.Unlock()
	return a.l.home.Sealed()
}

func (a *appender) sendNew(lazy bool) {
	if a.retry != nil {
		return // what is missing goes first
	}
	for {
		a.l.mu.Lock()
		next := a.l.home.NextAppend(lazy)
		a.l.mu.Unlock()
		if next == nil || !a.send(*next) {
			return
		}
	}
}

// send sends one append, and reports whether it left.
func (a *appender) send(next fate.Append) bool {
	f := &inner.Frame{Body: &inner.Frame_Append{Append: inner.FromAppend(&next)}}
	if !next.WantAck {
		return a.left(next.Sequence, a.l.d.peers.Send(a.l.id.Witness, f))
	}
	pending, err := a.l.d.peers.Begin(a.l.id.Witness, f)
	if !a.left(next.Sequence, err) {
		return false
	}
	go a.await(pending)
	return true
}

// left takes how sending ended. An error of Send or Begin proves that no byte
// of the append has left.
func (a *appender) left(sequence uint64, err error) bool {
	if err == nil {
		return true
	}
	a.l.mu.Lock()
	a.l.home.Unsent(sequence)
	a.l.home.Close() // new work goes to another log
	a.l.mu.Unlock()
	a.failed(err)
	return false
}

func (a *appender) await(p *inner.Pending) {
	ctx, cancel := context.WithTimeout(a.l.d.stop, a.l.d.cfg.WitnessTimeout/2)
	defer cancel()
	reply, err := p.Wait(ctx)
	result := appendResult{err: err}
	if err == nil {
		result.reply = reply.GetAppendReply()
	}
	select {
	case a.replies <- result:
	case <-a.l.done:
	case <-a.l.d.stop.Done():
	}
}

func (a *appender) take(r appendResult) {
	switch {
	case r.err != nil:
		a.failed(r.err)
	case r.reply.GetSealed():
		event.LogSealed.Log(a.l.d.cfg.Log, slog.String("log", a.l.id.String()))
		a.l.step(func(h *fate.Home) fate.Effects { return h.Seal() })
	case r.reply.GetUnknownLog():
		a.orphan()
	default:
		a.silent = time.Time{}
		a.retry = nil
		a.l.step(func(h *fate.Home) fate.Effects { return h.Ack(r.reply.GetAcked()) })
		if r.reply.GetGap() {
			a.resend(r.reply.GetAcked() + 1)
		}
		a.sendNew(false)
	}
}

// failed tries again later, or takes the witness for lost.
func (a *appender) failed(err error) {
	now := time.Now()
	if a.silent.IsZero() {
		a.silent = now
	}
	if failure.Is(err, failure.Gone) || now.Sub(a.silent) > a.l.d.cfg.WitnessTimeout {
		a.orphan()
		return
	}
	a.retry = time.After(resendEvery)
}

func (a *appender) orphan() {
	event.WitnessLost.Log(a.l.d.cfg.Log, slog.String("log", a.l.id.String()))
	a.l.step(func(h *fate.Home) fate.Effects { return h.Orphan() })
}

// resend sends again what the witness has not acknowledged.
func (a *appender) resend(from uint64) {
	a.retry = nil
	a.l.mu.Lock()
	missing := a.l.home.Unacked(from)
	a.l.mu.Unlock()
	for i, again := range missing {
		again.WantAck = i == len(missing)-1
		if !a.send(again) {
			a.unsent(missing[i+1:])
			return
		}
	}
	a.sendNew(false)
}

// unsent takes back what Unacked counted as sent.
func (a *appender) unsent(list []fate.Append) {
	a.l.mu.Lock()
	defer a.l.mu.Unlock()
	for i := range list {
		a.l.home.Unsent(list[i].Sequence)
	}
}
