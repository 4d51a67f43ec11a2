package dispatch

import (
	"context"
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// maxWait is the longest time for which one request may wait for an answer.
const maxWait = 10 * time.Minute

// forwardGrace is the time allowed for the transmission of a forwarded request and
// its reply, in addition to Request.Wait.
const forwardGrace = 2 * time.Second

// Request is a caller's request to submit a job. Without a Job it only asks for the
// fate of the submission.
type Request struct {
	Key     fate.Key
	Job     *fate.Job
	Attempt uint32        // counts the caller's submissions of the same key, from 1
	Wait    time.Duration // how long to wait for the answer; with zero, the current state is returned
	Trace   string        // W3C traceparent of the caller
}

// Result is the answer to a Request, or the progress of the job.
type Result struct {
	Answer       fate.Answer // of kind Pending if the fate is not decided yet
	Done, Total  int         // tasks that have ended, and all tasks, if the answer is Pending
	RetryAfterMs uint32      // when the caller may retry a refused job; zero if unspecified
}

// Submit passes a request to the home of its session, or to the witness if the home
// cannot be reached, and returns the answer. Errors have a type of package failure
// and mean that this request has started no task.
func (d *Dispatcher) Submit(ctx context.Context, req Request) (Result, error) {
	log, err := req.Key.Session.Log()
	if err != nil {
		return Result{}, err
	}
	if req.Attempt > 1 {
		d.cfg.Metrics.Add("resubmissions", 1)
		d.cfg.Metrics.CountWasted("resubmission")
	}
	if log.Home == d.cfg.Self {
		return d.submitAtHome(ctx, log, req)
	}
	r, err := d.forward(ctx, log.Home, req, false)
	if !mayNotHaveArrived(err) {
		return r, err
	}
	return d.submitToWitness(ctx, log, req)
}

// mayNotHaveArrived reports whether err leaves open whether the peer has received
// the request.
func mayNotHaveArrived(err error) bool {
	return failure.Is(err, failure.Unreachable) || failure.Is(err, failure.Lost) || failure.Is(err, failure.Gone) || failure.Is(err, failure.Timeout)
}

func (d *Dispatcher) submitAtHome(ctx context.Context, log fate.LogID, req Request) (Result, error) {
	l := d.homeLogs.get(log)
	if l == nil {
		return unknownResult(req.Key, fate.ReasonNoLongerKept), nil
	}
	answer, wait, err := l.submit(req.Key, req.Job, req.Trace)
	if err != nil {
		return Result{}, err
	}
	return l.await(ctx, req, answer, wait), nil
}

func unknownResult(key fate.Key, reason fate.Reason) Result {
	return Result{Answer: fate.Answer{Key: key, Kind: fate.Unknown, Reason: reason}}
}

// await waits on the channel wait for the answer to a submission. If there is none
// within req.Wait, it returns the progress of the job. If wait is nil, it returns
// answer at once.
func (l *homeLog) await(ctx context.Context, req Request, answer fate.Answer, wait chan response) Result {
	if wait == nil {
		return Result{Answer: answer}
	}
	timer := time.NewTimer(req.Wait)
	defer timer.Stop()
	select {
	case resp := <-wait:
		return Result{Answer: resp.answer, RetryAfterMs: resp.retryAfterMs}
	case <-timer.C:
	case <-ctx.Done():
	case <-l.d.ctx.Done():
	}
	done, total := l.progress(req.Key)
	return Result{Answer: fate.Answer{Key: req.Key, Kind: fate.Pending}, Done: done, Total: total}
}

// forward forwards a request to the home or the witness of its log.
func (d *Dispatcher) forward(ctx context.Context, to fate.Incarnation, req Request, asWitness bool) (Result, error) {
	span := d.cfg.Tracer.Start(req.Trace, "forward")
	defer span.End()
	ctx, cancel := context.WithTimeout(ctx, req.Wait+forwardGrace)
	defer cancel()
	reply, err := d.peers.Call(ctx, to, &inner.Frame{Body: &inner.Frame_Submit{Submit: &inner.Submit{
		Key: inner.FromKey(req.Key), Job: inner.FromJob(req.Job), Attempt: req.Attempt,
		WaitMs: uint32(req.Wait.Milliseconds()), AsWitness: asWitness, Trace: span.Traceparent(),
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

// submitToWitness passes a request to the witness of a log whose home cannot be
// reached.
func (d *Dispatcher) submitToWitness(ctx context.Context, log fate.LogID, req Request) (Result, error) {
	if log.Witness == "" {
		return unknownResult(req.Key, fate.ReasonHomeLost), nil
	}
	if log.Witness == d.cfg.Self {
		return d.answerAsWitness(ctx, log, req)
	}
	r, err := d.forward(ctx, log.Witness, req, true)
	if mayNotHaveArrived(err) {
		return unknownResult(req.Key, fate.ReasonHomeAndWitnessLost), nil
	}
	return r, err
}

// answerAsWitness answers a request as the witness of its log: with the fate that the
// log records, or else with the answer of the home. If the home does not answer, it
// takes the log over.
func (d *Dispatcher) answerAsWitness(ctx context.Context, log fate.LogID, req Request) (Result, error) {
	l := d.witnessLogs.get(log)
	if l == nil {
		return unknownResult(req.Key, fate.ReasonHomeAndWitnessLost), nil
	}
	if answer, found := l.lookup(req.Key); found {
		return Result{Answer: answer}, nil
	}
	if !l.sealed() {
		if r, err, reached := d.forwardToHome(ctx, log.Home, req); reached {
			return r, err
		}
		d.takeOver(l)
		if answer, found := l.lookup(req.Key); found {
			return Result{Answer: answer}, nil
		}
	}
	d.takeOverJob(l, req.Key)
	takeoverLog := d.homeLogs.takeoverLog
	answer, wait, err := takeoverLog.submit(req.Key, nil, req.Trace)
	if err != nil {
		return Result{}, err
	}
	return takeoverLog.await(ctx, req, answer, wait), nil
}

// forwardToHome forwards a request to the home, after the instance that the caller
// contacted could not reach it. It retries until WitnessTimeout, and reports false if
// the home has not answered by then or its process has ended.
func (d *Dispatcher) forwardToHome(ctx context.Context, home fate.Incarnation, req Request) (Result, error, bool) {
	start := time.Now()
	for time.Since(start) < d.cfg.WitnessTimeout && ctx.Err() == nil {
		r, err := d.forward(ctx, home, req, false)
		if !mayNotHaveArrived(err) {
			return r, err, true
		}
		if failure.Is(err, failure.Gone) {
			break
		}
		select {
		case <-time.After(resendInterval):
		case <-ctx.Done():
		}
	}
	return Result{}, nil, false
}

// Cancel cancels a submission and returns the resulting answer or progress.
func (d *Dispatcher) Cancel(ctx context.Context, key fate.Key) (Result, error) {
	log, err := key.Session.Log()
	if err != nil {
		return Result{}, err
	}
	query := Request{Key: key, Wait: forwardGrace}
	if log.Home == d.cfg.Self {
		if l := d.homeLogs.get(log); l != nil {
			l.abort(key, fate.ReasonCancelled, 0)
		}
		return d.Submit(ctx, query)
	}
	cancelFrame := func() *inner.Frame {
		return &inner.Frame{Body: &inner.Frame_Cancel{Cancel: &inner.Cancel{Keys: []*inner.Key{inner.FromKey(key)}}}}
	}
	shortCtx, cancel := context.WithTimeout(ctx, forwardGrace)
	defer cancel()
	if _, err := d.peers.Call(shortCtx, log.Home, cancelFrame()); err == nil {
		return d.Submit(ctx, query)
	}
	// If the witness cannot reach the home either, this request makes it take the log
	// over, so that the job can then be cancelled at the witness.
	noWait := query
	noWait.Wait = 0
	if _, err := d.submitToWitness(ctx, log, noWait); err != nil {
		return Result{}, err
	}
	if log.Witness == d.cfg.Self {
		d.homeLogs.takeoverLog.abort(key, fate.ReasonCancelled, 0)
	} else if log.Witness != "" {
		_, _ = d.peers.Call(shortCtx, log.Witness, cancelFrame())
	}
	return d.Submit(ctx, query)
}

// handleCancel cancels submissions at the request of another instance, as the home of
// their logs or as the witness that has taken the logs over.
func (d *Dispatcher) handleCancel(m *inner.Cancel) {
	for _, k := range m.GetKeys() {
		key := inner.ToKey(k)
		log, err := key.Session.Log()
		if err != nil {
			continue
		}
		l := d.homeLogs.get(log)
		if log.Witness == d.cfg.Self {
			l = d.homeLogs.takeoverLog
		}
		if l != nil {
			l.abort(key, fate.ReasonCancelled, 0)
		}
	}
}
