package dispatch

import (
	"encoding/json"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/placement"
	"github.com/sedgehatch/sedgehatch/upstream"

	"github.com/cenkalti/backoff/v5"
	"github.com/samber/lo"
	"go.opentelemetry.io/otel/attribute"
)

// How long a place is left alone after its upstream did not take a task.
const (
	holdBusy        = 50 * time.Millisecond
	holdUnreachable = 200 * time.Millisecond
)

// lookupWait is how long one lookup waits for the end of a task.
const lookupWait = time.Second

// patience is how long a start waits for its answer on its connection beyond
// the declared run time, before the lease is looked up instead.
const patience = 30 * time.Second

// start sends a permitted task to its upstream and sees it to its end.
func (l *homeLog) start(o order) {
	task := &o.job.Tasks[o.Lease.Task]
	span := l.d.cfg.Tracer.Start(o.trace, "upstream", attribute.String("upstream", o.Upstream))
	began := time.Now()
	reply, err := l.send(o, task, span.Traceparent())
	span.End() // before the caller is answered, who may look at the trace
	usage := placement.ReleasedSlots{Upstream: o.Upstream, Needs: needsOf(task), Service: o.job.Service, Count: 1}
	switch {
	case failure.Is(err, failure.Unreachable):
		l.d.cfg.Metrics.CountWasted("start")
		usage.Failed = 1
		usage.HoldMs = holdUnreachable.Milliseconds()
		l.notStarted(o, usage)
	case err != nil || reply.Refusal == api.RefusedDuplicate:
		l.settle(o, usage)
	case reply.State == api.LeaseRefused:
		l.d.cfg.Metrics.CountWasted("start")
		l.d.cfg.Metrics.CountWasted("refusal")
		l.rejected(o, usage, reply.Refusal)
	default:
		usage.RunMs = float64(time.Since(began).Microseconds()) / 1000
		l.ended(o, endedAs(usage, reply.State), outcomeOf(reply.State, reply.Body))
	}
}

func (l *homeLog) send(o order, task *fate.Task, trace string) (upstream.StartReply, error) {
	client := l.d.upstreams.get(o.Upstream)
	if client == nil {
		return upstream.StartReply{}, failure.Unreachable.New("upstream %s is not known", o.Upstream)
	}
	if l.d.upstreams.isLeaving(o.Upstream) {
		return upstream.StartReply{State: api.LeaseRefused, Refusal: api.RefusedLeaving}, nil
	}
	l.d.cfg.Metrics.CountSent("start")
	length := l.d.cfg.LeaseDuration + time.Duration(task.RunMs)*time.Millisecond
	lease := o.Lease.String()
	renewal := l.d.renewing(client, lease, length)
	defer renewal.stop()
	reply, err := client.Start(&upstream.StartRequest{
		Lease: lease, LeaseMs: length.Milliseconds(),
		Service: o.job.Service, Task: task, Trace: trace,
		Timeout: patience + time.Duration(task.RunMs)*time.Millisecond,
	})
	if err == nil {
		l.d.cfg.Metrics.CountSent("result")
	}
	return reply, err
}

// renewal renews a lease until it is stopped.
type renewal struct {
	timer *time.Timer
	over  atomic.Bool
}

// renewing renews a lease each time that two thirds of it are over.
func (d *Dispatcher) renewing(client *upstream.Client, lease string, length time.Duration) *renewal {
	r := &renewal{}
	every := length * 2 / 3
	r.timer = time.AfterFunc(every, func() {
		if r.over.Load() {
			return
		}
		d.cfg.Metrics.CountSent("renew")
		_, _ = client.Renew(lease, length.Milliseconds())
		r.timer.Reset(every)
	})
	return r
}

func (r *renewal) stop() {
	r.over.Store(true)
	r.timer.Stop()
}

// outcomeOf turns the end of a lease into the outcome of its task.
func outcomeOf(state api.LeaseState, body []byte) fate.Outcome {
	switch {
	case state != api.LeaseFinished:
		return fate.Outcome{State: fate.TaskFailed, Error: string(body)}
	case !json.Valid(body):
		return fate.Outcome{State: fate.TaskFailed, Error: "the upstream's result is not JSON"}
	default:
		return fate.Outcome{State: fate.TaskFinished, Result: body}
	}
}

// endedAs says in u how the task ended. One that was stopped says nothing of
// its upstream.
func endedAs(u placement.ReleasedSlots, state api.LeaseState) placement.ReleasedSlots {
	switch state {
	case api.LeaseFailed:
		u.Failed = 1
	case api.LeaseStopped:
		u.RunMs = 0
	}
	return u
}

// ended takes the outcome of a task and gives its place back. The place goes
// first, so that the next task need not wait for what the outcome sets off.
func (l *homeLog) ended(o order, u placement.ReleasedSlots, outcome fate.Outcome) {
	l.d.slots.giveBack(u)
	if !l.finish(o.Lease, outcome) {
		l.d.cfg.Metrics.CountWasted("result")
	}
}

// notStarted takes a proof that the task did not start.
func (l *homeLog) notStarted(o order, u placement.ReleasedSlots) {
	l.d.slots.giveBack(u)
	l.refused(o.Lease)
}

func (l *homeLog) rejected(o order, u placement.ReleasedSlots, why api.Refusal) {
	switch why {
	case api.RefusedBadRequest, api.RefusedUnfit:
		outcome := fate.Outcome{State: fate.TaskFailed, Error: "the upstream refused the task: " + string(why)}
		l.d.slots.giveBack(u)
		l.finish(o.Lease, outcome)
		return
	case api.RefusedLeaving:
		l.d.MarkUpstreamLeaving(o.Upstream)
		u.Leaving = true
	default:
		u.HoldMs = holdBusy.Milliseconds()
	}
	l.notStarted(o, u)
}

// settle finds out what became of a start whose answer was lost. It asks until
// the upstream knows, or has barred the lease, or was silent for too long.
func (l *homeLog) settle(o order, u placement.ReleasedSlots) {
	inquiry := l.d.inquire(o.Lease.String(), o.Upstream, func() bool { return l.awaits(o.Lease) })
	switch inquiry.verdict {
	case leaseBarred:
		u.HoldMs = holdBusy.Milliseconds()
		l.notStarted(o, u)
	case leaseOver:
		l.ended(o, endedAs(u, inquiry.state), inquiry.outcome)
	case leaseSilent:
		event.UpstreamLost.Log(l.d.cfg.Log, slog.String("upstream", o.Upstream), slog.String("lease", o.Lease.String()))
		u.HoldMs = holdUnreachable.Milliseconds()
		l.ended(o, u, fate.Outcome{State: fate.TaskUnknown, Error: "the upstream was lost"})
	case leaseUnwanted:
		u.HoldMs = holdBusy.Milliseconds()
		l.d.slots.giveBack(u)
	}
}

// awaits reports whether the outcome of a lease still matters.
func (l *homeLog) awaits(lease fate.Lease) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Awaits(lease)
}

type leaseVerdict int

const (
	leaseOver     leaseVerdict = iota // it ran; the outcome is known
	leaseBarred                       // it never started and never will
	leaseSilent                       // the upstream does not say
	leaseUnwanted                     // nobody wants to know any more
)

type inquiry struct {
	verdict leaseVerdict
	state   api.LeaseState // where it is over
	outcome fate.Outcome
}

// inquire asks an upstream after a lease until that is over, barred, no longer
// wanted, or the upstream was silent for UpstreamLostAfter. A lease that was never
// seen is barred first, so that a late start cannot follow the answer.
func (d *Dispatcher) inquire(lease, upstreamID string, wanted func() bool) inquiry {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = 20 * time.Millisecond
	pause.MaxInterval = 500 * time.Millisecond
	heard := time.Now()
	for wanted() {
		info, err := d.ask(lease, upstreamID)
		if err == nil {
			heard = time.Now()
			pause.Reset()
			if done, known := concluded(&info); known {
				return done
			}
			continue
		}
		if time.Since(heard) > d.cfg.UpstreamLostAfter {
			return inquiry{verdict: leaseSilent}
		}
		select {
		case <-time.After(pause.NextBackOff()):
		case <-d.stop.Done():
			return inquiry{verdict: leaseUnwanted}
		}
	}
	return inquiry{verdict: leaseUnwanted}
}

func (d *Dispatcher) ask(lease, upstreamID string) (api.LeaseInfo, error) {
	client := d.upstreams.get(upstreamID)
	if client == nil {
		return api.LeaseInfo{}, failure.Unreachable.New("upstream %s is not known", upstreamID)
	}
	d.cfg.Metrics.CountSent("lookup")
	info, err := client.Lookup(lease, lookupWait)
	if _, known := concluded(&info); err != nil || !known {
		d.cfg.Metrics.CountWasted("lookup")
	}
	if err != nil || info.State != api.LeaseNeverSeen {
		return info, err
	}
	d.cfg.Metrics.CountSent("stop")
	d.cfg.Metrics.CountWasted("stop")
	infos, err := client.Stop(lease)
	if err != nil {
		return api.LeaseInfo{}, err
	}
	return infos[0], nil
}

func concluded(info *api.LeaseInfo) (inquiry, bool) {
	switch info.State {
	case api.LeaseFinished:
		return inquiry{leaseOver, info.State, outcomeOf(info.State, info.Result)}, true
	case api.LeaseFailed, api.LeaseStopped:
		return inquiry{leaseOver, info.State, outcomeOf(info.State, []byte(info.Error))}, true
	case api.LeaseBarred:
		return inquiry{verdict: leaseBarred}, true
	default:
		return inquiry{}, false
	}
}

// stopTasks stops tasks whose job has its fate already, in one message for each
// upstream.
func (d *Dispatcher) stopTasks(starts []fate.Start) {
	for id, group := range lo.GroupBy(starts, func(s fate.Start) string { return s.Upstream }) {
		client := d.upstreams.get(id)
		if client == nil {
			continue
		}
		d.cfg.Metrics.CountSent("stop")
		d.cfg.Metrics.CountWasted("stop")
		leases := lo.Map(group, func(s fate.Start, _ int) string { return s.Lease.String() })
		go func() { _, _ = client.Stop(leases...) }()
	}
}
