package dispatch

import (
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// HandleFrame handles a frame from another instance. It reports false if the kind of
// frame does not concern the dispatcher. Appends and messages about slots are
// handled in their order of arrival; requests that may block are handled in
// goroutines of their own.
func (d *Dispatcher) HandleFrame(from fate.Incarnation, f *inner.Frame, reply func(*inner.Frame)) bool {
	switch body := f.GetBody().(type) {
	case *inner.Frame_Append:
		d.handleAppend(f, body.Append, reply)
	case *inner.Frame_OpenLog:
		replyDone(reply, d.witnessLogs.open(inner.ToLogID(body.OpenLog.GetLog())))
	case *inner.Frame_ReleaseLog:
		d.witnessLogs.release(inner.ToLogID(body.ReleaseLog.GetLog()))
		replyDone(reply, nil)
	case *inner.Frame_Submit:
		go d.serveSubmit(body.Submit, reply)
	case *inner.Frame_Cancel:
		go func() {
			d.handleCancel(body.Cancel)
			replyDone(reply, nil)
		}()
	case *inner.Frame_SlotGrant:
		d.slots.handleGrant(from, body.SlotGrant)
	case *inner.Frame_SlotRequest, *inner.Frame_SlotRelease, *inner.Frame_SlotWithdraw, *inner.Frame_SlotSync:
		d.brokers.handleFrame(from, f)
	default:
		return false
	}
	return true
}

func (d *Dispatcher) handleAppend(f *inner.Frame, a *inner.Append, reply func(*inner.Frame)) {
	r := d.witnessLogs.append(a)
	if f.GetId() != 0 {
		reply(&inner.Frame{Body: &inner.Frame_AppendReply{AppendReply: r}})
	}
}

func replyDone(reply func(*inner.Frame), err error) {
	if err != nil {
		reply(&inner.Frame{Body: &inner.Frame_Problem{Problem: inner.FromError(err)}})
		return
	}
	reply(&inner.Frame{Body: &inner.Frame_Done{Done: &inner.Done{}}})
}

// serveSubmit answers a request that another instance has forwarded. The home of the
// log forwards it no further, and the witness only to the home, so that no request
// is forwarded in circles.
func (d *Dispatcher) serveSubmit(m *inner.Submit, reply func(*inner.Frame)) {
	req := Request{
		Key: inner.ToKey(m.GetKey()), Job: inner.ToJob(m.GetJob()), Attempt: m.GetAttempt(),
		Wait: min(time.Duration(m.GetWaitMs())*time.Millisecond, maxWait), Trace: m.GetTrace(),
	}
	if m.GetSeal() {
		d.sealLogOf(req.Key)
	}
	r, err := d.answerForwarded(req, m.GetAsWitness())
	if err != nil {
		replyDone(reply, err)
		return
	}
	reply(&inner.Frame{Body: &inner.Frame_Answer{Answer: fromResult(&r)}})
}

func (d *Dispatcher) answerForwarded(req Request, asWitness bool) (Result, error) {
	log, err := req.Key.Session.Log()
	if err != nil {
		return Result{}, err
	}
	switch {
	case asWitness && log.Witness == d.cfg.Self:
		return d.answerAsWitness(d.ctx, log, req)
	case !asWitness && log.Home == d.cfg.Self:
		return d.submitAtHome(d.ctx, log, req)
	default:
		return Result{}, failure.Gone.New("%s is not a member of log %s", d.cfg.Self, log)
	}
}

// sealLogOf seals the log of a key and takes its open jobs over. The home requests
// this after it has stopped starting tasks of the log.
func (d *Dispatcher) sealLogOf(key fate.Key) {
	log, err := key.Session.Log()
	if err != nil {
		return
	}
	if l := d.witnessLogs.get(log); l != nil {
		d.takeOver(l)
	}
}
