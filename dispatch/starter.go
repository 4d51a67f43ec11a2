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

// How long the broker keeps back a released slot whose upstream did not run the
// task, or is not known to have run it. The broker would otherwise grant the slot at
// once to another task, which would probably not run either.
const (
	busyHold        = 50 * time.Millisecond  // the upstream refused the task, or barred its lease
	unreachableHold = 200 * time.Millisecond // the upstream did not answer
)

// lookupWait is the maximum time for which a lookup of a lease waits at the upstream
// for the task to end. After that the upstream answers that the task is running.
const lookupWait = time.Second

// resultGrace is how long the request that starts a task waits for the result, in
// addition to the declared run time of the task. After that the lease is looked up.
const resultGrace = 30 * time.Second

// start starts a permitted task at its upstream and handles its end.
func (l *homeLog) start(order startOrder) {
	task := &order.job.Tasks[order.Lease.Task]
	span := l.d.cfg.Tracer.Start(order.traceparent, "upstream", attribute.String("upstream", order.Upstream))
	startedAt := time.Now()
	reply, err := l.send(order, task, span.Traceparent())
	span.End() // ended before the answer is sent: the caller may read the trace as soon as it has the answer
	released := placement.ReleasedSlots{Upstream: order.Upstream, Needs: needsOf(task), Service: order.job.Service, Count: 1}
	switch {
	case failure.Is(err, failure.Unreachable):
		l.d.cfg.Metrics.CountWasted("start")
		released.Failed = 1
		released.HoldMs = unreachableHold.Milliseconds()
		l.requeueTask(order, released)
	case err != nil || reply.Refusal == api.RefusedDuplicate:
		l.resolveStart(order, released)
	case reply.State == api.LeaseRefused:
		l.d.cfg.Metrics.CountWasted("start")
		l.d.cfg.Metrics.CountWasted("refusal")
		l.handleRefusal(order, released, reply.Refusal)
	default:
		released.RunMs = float64(time.Since(startedAt).Microseconds()) / 1000
		l.finishTask(order, withLeaseEnd(released, reply.State), outcomeOf(reply.State, reply.Body))
	}
}

func (l *homeLog) send(order startOrder, task *fate.Task, trace string) (upstream.StartReply, error) {
	client := l.d.upstreams.get(order.Upstream)
	if client == nil {
		return upstream.StartReply{}, failure.Unreachable.New("upstream %s is unknown", order.Upstream)
	}
	if l.d.upstreams.isLeaving(order.Upstream) {
		return upstream.StartReply{State: api.LeaseRefused, Refusal: api.RefusedLeaving}, nil
	}
	l.d.cfg.Metrics.CountSent("start")
	leaseDuration := l.d.cfg.LeaseDuration + time.Duration(task.RunMs)*time.Millisecond
	lease := order.Lease.String()
	renewal := l.d.startRenewal(client, lease, leaseDuration)
	defer renewal.stop()
	reply, err := client.Start(&upstream.StartRequest{
		Lease: lease, LeaseMs: leaseDuration.Milliseconds(),
		Service: order.job.Service, Task: task, Trace: trace,
		Timeout: resultGrace + time.Duration(task.RunMs)*time.Millisecond,
	})
	if err == nil {
		l.d.cfg.Metrics.CountSent("result")
	}
	return reply, err
}

// renewal renews a lease until it is stopped.
type renewal struct {
	timer   *time.Timer
	stopped atomic.Bool
}

// startRenewal renews a lease whenever two thirds of its duration have passed, so
// that the last third remains for the renewal to arrive.
func (d *Dispatcher) startRenewal(client *upstream.Client, lease string, leaseDuration time.Duration) *renewal {
	r := &renewal{}
	interval := leaseDuration * 2 / 3
	r.timer = time.AfterFunc(interval, func() {
		if r.stopped.Load() {
			return
		}
		d.cfg.Metrics.CountSent("renew")
		_, _ = client.Renew(lease, leaseDuration.Milliseconds())
		r.timer.Reset(interval)
	})
	return r
}

func (r *renewal) stop() {
	r.stopped.Store(true)
	r.timer.Stop()
}

// outcomeOf returns the outcome of a task from the final state of its lease.
func outcomeOf(state api.LeaseState, body []byte) fate.Outcome {
	switch {
	case state != api.LeaseFinished:
		return fate.Outcome{State: fate.TaskFailed, Error: string(body)}
	case !json.Valid(body):
		return fate.Outcome{State: fate.TaskFailed, Error: "the upstream's result is not valid JSON"}
	default:
		return fate.Outcome{State: fate.TaskFinished, Result: body}
	}
}

// withLeaseEnd completes released with how the task ended. A task that was stopped
// does not count as failed, and its run time is not reported: neither says anything
// about the upstream.
func withLeaseEnd(released placement.ReleasedSlots, state api.LeaseState) placement.ReleasedSlots {
	switch state {
	case api.LeaseFailed:
		released.Failed = 1
	case api.LeaseStopped:
		released.RunMs = 0
	}
	return released
}

// finishTask releases the slot of a task and records its outcome. The slot is
// released first, so that the next task can use it while the consequences of the
// outcome, such as answering the caller, are carried out.
func (l *homeLog) finishTask(order startOrder, released placement.ReleasedSlots, outcome fate.Outcome) {
	l.d.slots.release(released)
	if !l.finish(order.Lease, outcome) {
		l.d.cfg.Metrics.CountWasted("result")
	}
}

// requeueTask releases the slot of a task that provably did not start, and
// requeues the task.
func (l *homeLog) requeueTask(order startOrder, released placement.ReleasedSlots) {
	l.d.slots.release(released)
	l.requeue(order.Lease)
}

func (l *homeLog) handleRefusal(order startOrder, released placement.ReleasedSlots, refusal api.Refusal) {
	switch refusal {
	case api.RefusedBadRequest, api.RefusedUnfit:
		outcome := fate.Outcome{State: fate.TaskFailed, Error: "the upstream refused the task: " + string(refusal)}
		l.d.slots.release(released)
		l.finish(order.Lease, outcome)
		return
	case api.RefusedLeaving:
		l.d.MarkUpstreamLeaving(order.Upstream)
		released.Leaving = true
	default:
		released.HoldMs = busyHold.Milliseconds()
	}
	l.requeueTask(order, released)
}

// resolveStart finds out, by looking the lease up, what became of a start whose
// answer was lost or which the upstream refused as a duplicate, and handles it.
func (l *homeLog) resolveStart(order startOrder, released placement.ReleasedSlots) {
	resolution := l.d.resolveLease(order.Lease.String(), order.Upstream, func() bool { return l.awaitsOutcome(order.Lease) })
	switch resolution.status {
	case leaseBarred:
		released.HoldMs = busyHold.Milliseconds()
		l.requeueTask(order, released)
	case leaseEnded:
		l.finishTask(order, withLeaseEnd(released, resolution.state), resolution.outcome)
	case leaseUnanswered:
		event.UpstreamLost.Log(l.d.cfg.Log, slog.String("upstream", order.Upstream), slog.String("lease", order.Lease.String()))
		released.HoldMs = unreachableHold.Milliseconds()
		l.finishTask(order, released, fate.Outcome{State: fate.TaskUnknown, Error: "the upstream does not answer"})
	case leaseNotNeeded:
		released.HoldMs = busyHold.Milliseconds()
		l.d.slots.release(released)
	}
}

// awaitsOutcome reports whether the outcome of a lease is still needed.
func (l *homeLog) awaitsOutcome(lease fate.Lease) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.AwaitsOutcome(lease)
}

type leaseStatus int

const (
	leaseEnded      leaseStatus = iota // the task ran; its outcome is known
	leaseBarred                        // the task never started and never will
	leaseUnanswered                    // the upstream did not answer
	leaseNotNeeded                     // the outcome is no longer needed
)

// leaseResolution is the result of resolveLease.
type leaseResolution struct {
	status  leaseStatus
	state   api.LeaseState // only with leaseEnded
	outcome fate.Outcome   // only with leaseEnded
}

// resolveLease looks a lease up at its upstream until one of these holds:
//
//   - the task has ended, or the lease is barred;
//   - the outcome is no longer needed, or the dispatcher is closed;
//   - the upstream has not answered for UpstreamLostAfter.
//
// A lease that the upstream has never seen is barred, so that a start that arrives
// late has no effect.
func (d *Dispatcher) resolveLease(lease, upstreamID string, needed func() bool) leaseResolution {
	retryDelay := backoff.NewExponentialBackOff()
	retryDelay.InitialInterval = 20 * time.Millisecond
	retryDelay.MaxInterval = 500 * time.Millisecond
	lastAnswer := time.Now()
	for needed() {
		info, err := d.lookupOrBar(lease, upstreamID)
		if err == nil {
			lastAnswer = time.Now()
			retryDelay.Reset()
			if resolution, ok := resolutionOf(&info); ok {
				return resolution
			}
			continue
		}
		if time.Since(lastAnswer) > d.cfg.UpstreamLostAfter {
			return leaseResolution{status: leaseUnanswered}
		}
		select {
		case <-time.After(retryDelay.NextBackOff()):
		case <-d.ctx.Done():
			return leaseResolution{status: leaseNotNeeded}
		}
	}
	return leaseResolution{status: leaseNotNeeded}
}

// lookupOrBar looks a lease up at its upstream, and bars the lease if the upstream
// has never seen it.
func (d *Dispatcher) lookupOrBar(lease, upstreamID string) (api.LeaseInfo, error) {
	client := d.upstreams.get(upstreamID)
	if client == nil {
		return api.LeaseInfo{}, failure.Unreachable.New("upstream %s is unknown", upstreamID)
	}
	d.cfg.Metrics.CountSent("lookup")
	info, err := client.Lookup(lease, lookupWait)
	if _, ok := resolutionOf(&info); err != nil || !ok {
		d.cfg.Metrics.CountWasted("lookup")
	}
	if err != nil || info.State != api.LeaseNeverSeen {
		return info, err
	}
	d.cfg.Metrics.CountSent("stop")
	d.cfg.Metrics.CountWasted("stop")
	return client.Bar(lease)
}

func resolutionOf(info *api.LeaseInfo) (leaseResolution, bool) {
	switch info.State {
	case api.LeaseFinished:
		return leaseResolution{leaseEnded, info.State, outcomeOf(info.State, info.Result)}, true
	case api.LeaseFailed, api.LeaseStopped:
		return leaseResolution{leaseEnded, info.State, outcomeOf(info.State, []byte(info.Error))}, true
	case api.LeaseBarred:
		return leaseResolution{status: leaseBarred}, true
	default:
		return leaseResolution{}, false
	}
}

// stopTasks stops tasks whose job is already decided, with one message per
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
