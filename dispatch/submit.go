package dispatch

import (
	"context"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// maxWait bounds how long one call waits for an answer.
const maxWait = 10 * time.Minute

// forwardGrace is added to the wait of a forwarded call for its way back.
const forwardGrace = 2 * time.Second

// Request is a caller's submission on its way to whoever can answer it. Without a
// Job it only asks.
type Request struct {
	Key     fate.Key
	Job     *fate.Job
	Attempt uint32
	Wait    time.Duration // how long the answer may take; zero is at once
	Trace   string
}

// Result is an answer, or how far the work is.
type Result struct {
	Answer       fate.Answer // of kind Pending where there is no fate yet
	Done, Total  int
	RetryAfterMs uint32
}

// Submit brings a call to its home, or to the witness where the home is lost,
// and returns the answer. Errors are typed refusals, and mean that this call
// started nothing.
func (d *Dispatcher) Submit(ctx context.Context, c Request) (Result, error) {
	log, err := c.Key.Session.Log()
	if err != nil {
		return Result{}, err
	}
	if c.Attempt > 1 {
		d.cfg.Metrics.Add("resubmissions", 1)
		d.cfg.Metrics.CountWasted("resubmission")
	}
	if log.Home == d.cfg.Self {
		return d.atHome(ctx, log, c)
	}
	r, err := d.forward(ctx, log.Home, c, false)
	if !unreached(err) {
		return r, err
	}
	return d.atWitness(ctx, log, c)
}

// unreached reports whether err says that a peer may not have got a call.
func unreached(err error) bool {
	return failure.Is(err, failure.Unreachable) || failure.Is(err, failure.Lost) || failure.Is(err, failure.Gone) || failure.Is(err, failure.Timeout)
}

func (d *Dispatcher) atHome(ctx context.Context, log fate.LogID, c Request) (Result, error) {
	l := d.homes.get(log)
	if l == nil {
		return unknown(c.Key, fate.ReasonNoLongerKept), nil
	}
	answer, wait, err := l.submit(c.Key, c.Job, c.Trace)
	if err != nil {
		return Result{}, err
	}
	return l.await(ctx, c, answer, wait), nil
}

func unknown(key fate.Key, reason fate.Reason) Result {
	return Result{Answer: fate.Answer{Key: key, Kind: fate.Unknown, Reason: reason}}
}

// await waits for the answer of a submission that this log runs.
func (l *homeLog) await(ctx context.Context, c Request, answer fate.Answer, wait chan told) Result {
	if wait == nil {
		return Result{Answer: answer}
	}
	timer := time.NewTimer(c.Wait)
	defer timer.Stop()
	select {
	case t := <-wait:
		return Result{Answer: t.answer, RetryAfterMs: t.retryAfter}
	case <-timer.C:
	case <-ctx.Done():
	case <-l.d.stop.Done():
	}
	done, total := l.progress(c.Key)
	return Result{Answer: fate.Answer{Key: c.Key, Kind: fate.Pending}, Done: done, Total: total}
}

// forward passes a call on to its home, or to its witness.
func (d *Dispatcher) forward(ctx context.Context, to fate.Incarnation, c Request, asWitness bool) (Result, error) {
	span := d.cfg.Tracer.Start(c.Trace, "forward")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, c.Wait+forwardGrace)
	defer cancel()
	reply, err := d.peers.Call(ctx, to, &inner.Frame{Body: &inner.Frame_Submit{Submit: &inner.Submit{
		Key: inner.FromKey(c.Key), Job: inner.FromJob(c.Job), Attempt: c.Attempt,
		WaitMs: uint32(c.Wait.Milliseconds()), AsWitness: asWitness, Trace: span.Traceparent(),
	}}})
	if err != nil {
		return Result{}, err
	}
	return toResult(reply.GetAnswer()), nil
}

func toResult(m *inner.Answer) Result {
	return Result{Answer: *inner.ToAnswer(m), Done: int(m.GetDone()), Total: int(m.GetTotal()), RetryAfterMs: m.GetRetryAfterMs()}
}

func fromResult(r *Result) *inner.Answer {
	m := inner.FromAnswer(&r.Answer)
	m.Done, m.Total, m.RetryAfterMs = uint32(r.Done), uint32(r.Total), r.RetryAfterMs
	return m
}

// atWitness asks the witness of a log whose home cannot be reached.
func (d *Dispatcher) atWitness(ctx context.Context, log fate.LogID, c Request) (Result, error) {
	if log.Witness == "" {
		return unknown(c.Key, fate.ReasonHomeLost), nil
	}
	if log.Witness == d.cfg.Self {
		return d.asWitness(ctx, log, c)
	}
	r, err := d.forward(ctx, log.Witness, c, true)
	if unreached(err) {
		return unknown(c.Key, fate.ReasonHomeAndWitnessLost), nil
	}
	return r, err
}

// asWitness answers a call as the witness of its log.
func (d *Dispatcher) asWitness(ctx context.Context, log fate.LogID, c Request) (Result, error) {
	l := d.witnesses.get(log)
	if l == nil {
		return unknown(c.Key, fate.ReasonHomeAndWitnessLost), nil
	}
	if answer, found := l.recall(c.Key); found {
		return Result{Answer: answer}, nil
	}
	if !l.sealed() {
		if r, err, reached := d.askHome(ctx, log.Home, c); reached {
			return r, err
		}
		d.takeOver(l)
		if answer, found := l.recall(c.Key); found {
			return Result{Answer: answer}, nil
		}
	}
	d.adopt(l, c.Key)
	heir := d.homes.heir
	answer, wait, err := heir.submit(c.Key, nil, c.Trace)
	if err != nil {
		return Result{}, err
	}
	return heir.await(ctx, c, answer, wait), nil
}

// askHome passes a call on to a home that its sender could not reach. It
// reports false once the home was silent for WitnessTimeout.
func (d *Dispatcher) askHome(ctx context.Context, home fate.Incarnation, c Request) (Result, error, bool) {
	began := time.Now()
	for time.Since(began) < d.cfg.WitnessTimeout && ctx.Err() == nil {
		r, err := d.forward(ctx, home, c, false)
		if !unreached(err) {
			return r, err, true
		}
		if failure.Is(err, failure.Gone) {
			break
		}
		select {
		case <-time.After(resendEvery):
		case <-ctx.Done():
		}
	}
	return Result{}, nil, false
}

// Cancel ends a submission early and returns what is then known of it.
func (d *Dispatcher) Cancel(ctx context.Context, key fate.Key) (Result, error) {
	log, err := key.Session.Log()
	if err != nil {
		return Result{}, err
	}
	query := Request{Key: key, Wait: forwardGrace}
	if log.Home == d.cfg.Self {
		if l := d.homes.get(log); l != nil {
			l.giveUp(key, fate.ReasonCancelled, 0)
		}
		return d.Submit(ctx, query)
	}
	cancel := func() *inner.Frame {
		return &inner.Frame{Body: &inner.Frame_Cancel{Cancel: &inner.Cancel{Keys: []*inner.Key{inner.FromKey(key)}}}}
	}
	short, done := context.WithTimeout(ctx, forwardGrace)
	defer done()
	if _, err := d.peers.Call(short, log.Home, cancel()); err == nil {
		return d.Submit(ctx, query)
	}
	// The witness takes over, if the home is lost, when it is first asked.
	now := query
	now.Wait = 0
	if _, err := d.atWitness(ctx, log, now); err != nil {
		return Result{}, err
	}
	if log.Witness == d.cfg.Self {
		d.homes.heir.giveUp(key, fate.ReasonCancelled, 0)
	} else if log.Witness != "" {
		_, _ = d.peers.Call(short, log.Witness, cancel())
	}
	return d.Submit(ctx, query)
}

// cancelled takes a cancellation from another instance.
func (d *Dispatcher) cancelled(m *inner.Cancel) {
	for _, k := range m.GetKeys() {
		key := inner.ToKey(k)
		log, err := key.Session.Log()
		if err != nil {
			continue
		}
		l := d.homes.get(log)
		if log.Witness == d.cfg.Self {
			l = d.homes.heir
		}
		if l != nil {
			l.giveUp(key, fate.ReasonCancelled, 0)
		}
	}
}
