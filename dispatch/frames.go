package dispatch

import (
	"time"

	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// HandleFrame takes a frame of another instance, as inner.Handler. It reports false
// for a frame that is not the dispatcher's. Appends and slots are taken in
// order; what waits runs on a goroutine of its own.
func (d *Dispatcher) HandleFrame(from fate.Incarnation, f *inner.Frame, reply func(*inner.Frame)) bool {
	switch body := f.GetBody().(type) {
	case *inner.Frame_Append:
		d.takeAppend(f, body.Append, reply)
	case *inner.Frame_OpenLog:
		replyWith(reply, d.witnesses.open(inner.ToLogID(body.OpenLog.GetLog())))
	case *inner.Frame_Submit:
		go d.serveSubmit(body.Submit, reply)
	case *inner.Frame_Cancel:
		go func() {
			d.cancelled(body.Cancel)
			replyWith(reply, nil)
		}()
	case *inner.Frame_SlotGrant:
		d.slots.granted(from, body.SlotGrant)
	case *inner.Frame_SlotRequest, *inner.Frame_SlotRelease, *inner.Frame_SlotWithdraw, *inner.Frame_SlotSync:
		d.brokers.take(from, f)
	default:
		return false
	}
	return true
}

func (d *Dispatcher) takeAppend(f *inner.Frame, a *inner.Append, reply func(*inner.Frame)) {
	r := d.witnesses.append(a)
	if f.GetId() != 0 {
		reply(&inner.Frame{Body: &inner.Frame_AppendReply{AppendReply: r}})
	}
}

func replyWith(reply func(*inner.Frame), err error) {
	if err != nil {
		reply(&inner.Frame{Body: &inner.Frame_Problem{Problem: inner.FromError(err)}})
		return
	}
	reply(&inner.Frame{Body: &inner.Frame_Done{Done: &inner.Done{}}})
}

// serveSubmit answers a call that another instance passed on. Only this
// instance's own state answers it, so that no call goes round in circles.
func (d *Dispatcher) serveSubmit(m *inner.Submit, reply func(*inner.Frame)) {
	c := Request{
		Key: inner.ToKey(m.GetKey()), Job: inner.ToJob(m.GetJob()), Attempt: m.GetAttempt(),
		Wait: min(time.Duration(m.GetWaitMs())*time.Millisecond, maxWait), Trace: m.GetTrace(),
	}
	if m.GetSeal() {
		d.sealFor(c.Key)
	}
	r, err := d.answer(c, m.GetAsWitness())
	if err != nil {
		replyWith(reply, err)
		return
	}
	reply(&inner.Frame{Body: &inner.Frame_Answer{Answer: fromResult(&r)}})
}

func (d *Dispatcher) answer(c Request, asWitness bool) (Result, error) {
	log, err := c.Key.Session.Log()
	if err != nil {
		return Result{}, err
	}
	switch {
	case asWitness && log.Witness == d.cfg.Self:
		return d.asWitness(d.stop, log, c)
	case !asWitness && log.Home == d.cfg.Self:
		return d.atHome(d.stop, log, c)
	default:
		return Result{}, failure.Gone.New("%s is no member of log %s", d.cfg.Self, log)
	}
}

// sealFor seals the log of a key whose home has given the log up.
func (d *Dispatcher) sealFor(key fate.Key) {
	log, err := key.Session.Log()
	if err != nil {
		return
	}
	if l := d.witnesses.get(log); l != nil {
		d.takeOver(l)
	}
}
