package dispatch

import (
	"log/slog"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/placement"
	"github.com/sedgehatch/sedgehatch/tracing"
)

// homeLog is one permit log whose home is this instance. It performs the actions
// that the state machine fate.Home requests, and has a lock of its own.
type homeLog struct {
	d        *Dispatcher
	id       fate.LogID
	openedAt time.Time
	appender appender

	mu          sync.Mutex
	home        *fate.Home
	submissions map[fate.Key]*submission
	// releaseDueAt is when to release the witness, or to try again to; witnessReleased is
	// true once that has succeeded, or the witness has ended.
	releaseDueAt    time.Time
	witnessReleased bool
}

// submission holds what a homeLog keeps about a submission besides the state in
// fate.Home. It is deleted when the fate of the submission is committed.
type submission struct {
	waiters       []chan response // one for each request that waits for the answer
	deadlineTimer *time.Timer
	tickets       []string // ids of its requests for slots, to withdraw at the end
	retryAfterMs  uint32   // if the job is refused, when the caller may retry
	span          *tracing.Span
	service       string
}

// response is the answer sent to a waiting caller.
type response struct {
	answer       fate.Answer
	retryAfterMs uint32
}

func newHomeLog(d *Dispatcher, id fate.LogID) *homeLog {
	l := &homeLog{
		d: d, id: id, openedAt: time.Now(),
		home: fate.NewHome(id, d.tuning.Load().Retention), submissions: map[fate.Key]*submission{},
	}
	l.home.Tick(nowMs())
	l.appender.log = l
	return l
}

func (l *homeLog) active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.ActiveJobs()
}

// closed reports whether no more sessions are opened in the log, either because
// RotateLogsAfter has passed or because it accepts no new jobs.
func (l *homeLog) closed() bool {
	if time.Since(l.openedAt) > l.d.cfg.RotateLogsAfter {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Closed()
}

// tick does the periodic work of the log. It also makes the log refuse new jobs
// after 2*RotateLogsAfter. Callers are told to use a session only until
// RotateLogsAfter; the rest is a margin for those that are late.
func (l *homeLog) tick(now time.Time) {
	l.appender.tick(now)
	l.releaseWitness(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.home.SetRetention(l.d.tuning.Load().Retention)
	l.home.Tick(millis(now))
	if now.Sub(l.openedAt) > 2*l.d.cfg.RotateLogsAfter && l != l.d.homeLogs.takeoverLog {
		l.home.Close()
	}
}

// releaseRetryInterval is the time between two attempts to release a witness.
const releaseRetryInterval = 200 * time.Millisecond

// releaseWitness tells the witness that it is not needed any more, once the log accepts no jobs
// and has no open ones. A witness that is shutting down waits for that.
func (l *homeLog) releaseWitness(now time.Time) {
	l.mu.Lock()
	due := l.canReleaseWitness() && !now.Before(l.releaseDueAt)
	if due {
		l.releaseDueAt = now.Add(releaseRetryInterval)
	}
	l.mu.Unlock()
	if !due {
		return
	}
	if err := l.d.peers.CallAsync(l.id.Witness, l.releaseFrame(), l.handleReleaseReply); err != nil {
		l.handleReleaseReply(nil, err)
	}
}

// canReleaseWitness reports whether the witness is not needed any more and does not know that
// yet. The lock must be held.
func (l *homeLog) canReleaseWitness() bool {
	return l.id.Witness != "" && !l.witnessReleased && l.home.Closed() && l.home.ActiveJobs() == 0
}

func (l *homeLog) releaseFrame() *inner.Frame {
	return &inner.Frame{Body: &inner.Frame_ReleaseLog{ReleaseLog: &inner.ReleaseLog{Log: inner.FromLogID(l.id)}}}
}

// handleReleaseReply handles the witness's reply to a release, or the error of the call. After
// an error other than Gone, tick tries again.
func (l *homeLog) handleReleaseReply(_ *inner.Frame, err error) {
	if err != nil && !failure.Is(err, failure.Gone) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.witnessReleased = true
}

// expired reports whether the log can be removed: it has no open jobs, and at least
// the maximum age of answers has passed since it stopped accepting jobs, which was at
// 2*RotateLogsAfter.
func (l *homeLog) expired(now time.Time) bool {
	retention := time.Duration(l.d.tuning.Load().Retention.MaxAgeMs) * time.Millisecond
	if now.Sub(l.openedAt) < 2*l.d.cfg.RotateLogsAfter+retention {
		return false
	}
	return l.active() == 0
}

// close makes the log accept no new jobs. Its open jobs continue.
func (l *homeLog) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.home.Close()
}

// actions lists what has to be done after a call of fate.Home, once the lock of the
// log is released.
type actions struct {
	starts         []startOrder
	stops          []fate.Start
	unusedSlots    []placement.ReleasedSlots
	deliveries     []delivery
	witnessQueries []fate.Key // submissions whose fate to ask of the witness
	tickets        []string   // to withdraw
}

// startOrder is a start to send to an upstream.
type startOrder struct {
	fate.Start
	job         *fate.Job
	traceparent string // of the span of the submission at this instance
}

// delivery is a response with the callers that wait for it.
type delivery struct {
	response
	waiters []chan response
}

// apply applies one input to the state machine and performs the resulting actions.
func (l *homeLog) apply(input func(h *fate.Home) fate.Effects) {
	l.mu.Lock()
	e := input(l.home)
	todo := l.actionsFor(e)
	l.mu.Unlock()
	l.perform(todo)
}

// actionsFor turns effects into actions. The lock must be held.
func (l *homeLog) actionsFor(e fate.Effects) actions {
	todo := actions{stops: e.Stops, witnessQueries: e.WitnessQueries}
	for _, u := range e.UnusedSlots {
		if sub := l.submissions[u.Lease.Key]; sub != nil {
			todo.unusedSlots = append(todo.unusedSlots, placement.ReleasedSlots{Upstream: u.Upstream, Service: sub.service, Count: 1})
		}
	}
	for _, s := range e.Starts {
		todo.starts = append(todo.starts, startOrder{Start: s, job: l.home.JobOf(s.Lease.Key), traceparent: l.traceparentOf(s.Lease.Key)})
	}
	for _, a := range e.Answers {
		todo.deliveries = append(todo.deliveries, l.deliveryOf(a))
		if sub := l.submissions[a.Key]; sub != nil {
			todo.tickets = append(todo.tickets, sub.tickets...)
			l.endSubmission(a, sub)
		}
	}
	return todo
}

func (l *homeLog) traceparentOf(key fate.Key) string {
	if sub := l.submissions[key]; sub != nil {
		return sub.span.Traceparent()
	}
	return ""
}

func (l *homeLog) deliveryOf(a fate.Answer) delivery {
	sub := l.submissions[a.Key]
	if sub == nil {
		return delivery{}
	}
	return delivery{response{a, sub.retryAfterMs}, sub.waiters}
}

func (l *homeLog) endSubmission(a fate.Answer, sub *submission) {
	if sub.deadlineTimer != nil {
		sub.deadlineTimer.Stop()
	}
	sub.span.Set("fate", string(a.Kind))
	sub.span.End()
	delete(l.submissions, a.Key)
	l.d.cfg.Metrics.Add("fate_"+string(a.Kind), 1)
	if a.Kind == fate.Unknown {
		event.UnknownFate.Log(l.d.cfg.Log, slog.String("key", a.Key.String()), slog.String("reason", string(a.Reason)))
	}
}

func (l *homeLog) perform(todo actions) {
	for i := range todo.starts {
		go l.start(todo.starts[i])
	}
	for i := range todo.deliveries {
		for _, w := range todo.deliveries[i].waiters {
			w <- todo.deliveries[i].response
		}
	}
	if len(todo.tickets) > 0 {
		l.d.slots.withdraw(todo.tickets)
	}
	for _, u := range todo.unusedSlots {
		l.d.slots.release(u)
	}
	l.d.stopTasks(todo.stops)
	if len(todo.witnessQueries) > 0 {
		go l.queryWitness(todo.witnessQueries)
	}
	l.appender.flush(false)
}

// submit accepts a submission, or finds the existing one with the same key. It
// returns the answer if there is one, and otherwise a channel that will receive it.
func (l *homeLog) submit(key fate.Key, job *fate.Job, trace string) (fate.Answer, chan response, error) {
	l.mu.Lock()
	admission, answer, err := l.admit(key, job)
	if err != nil || admission == fate.Answered {
		l.mu.Unlock()
		return answer, nil, err
	}
	sub := l.submissionOf(key, trace)
	wait := make(chan response, 1)
	sub.waiters = append(sub.waiters, wait)
	if admission == fate.Accepted {
		sub.service = job.Service
		sub.deadlineTimer = time.AfterFunc(time.Until(time.UnixMilli(job.DeadlineMs)), func() { l.abort(key, fate.ReasonDeadline, 0) })
	}
	l.mu.Unlock()
	switch admission {
	case fate.Accepted:
		l.d.cfg.Metrics.Add("jobs", 1)
		l.placeOrReject(key, job)
	case fate.WitnessDecides:
		go l.queryWitness([]fate.Key{key})
	default:
		l.d.cfg.Metrics.Add("joined", 1)
	}
	return fate.Answer{}, wait, nil
}

// placeOrReject requests slots for a new submission, or ends it if it can never
// run.
func (l *homeLog) placeOrReject(key fate.Key, job *fate.Job) {
	if !l.d.fitsSomeUpstream(job) {
		l.abort(key, fate.ReasonNeverFits, 0)
		return
	}
	l.requestSlots(key)
}

// admit calls fate.Home.Submit. While this instance is draining, it only looks the
// key up and rejects new jobs. The lock must be held.
func (l *homeLog) admit(key fate.Key, job *fate.Job) (fate.Admission, fate.Answer, error) {
	if job == nil || !l.d.draining.Load() {
		return l.home.Submit(key, job)
	}
	admission, answer, err := l.home.Submit(key, nil)
	if failure.Is(err, failure.NotFound) {
		err = failure.Stopping.New("instance %s is shutting down", l.d.cfg.Self.Instance())
	}
	return admission, answer, err
}

// submissionOf returns the state kept for key, and creates it if there is none.
// The lock must be held.
func (l *homeLog) submissionOf(key fate.Key, trace string) *submission {
	sub := l.submissions[key]
	if sub == nil {
		sub = &submission{span: l.d.cfg.Tracer.Start(trace, "home")}
		l.submissions[key] = sub
	}
	return sub
}

// requestSlots requests slots for all waiting tasks of key.
func (l *homeLog) requestSlots(key fate.Key) {
	l.mu.Lock()
	job := l.home.JobOf(key)
	tasks := l.home.WaitingTasks(key)
	l.mu.Unlock()
	if len(tasks) > 0 {
		l.d.slots.request(l, key, job, tasks)
	}
}

// requestSlot requests another slot for one task.
func (l *homeLog) requestSlot(key fate.Key, task int) {
	l.mu.Lock()
	job := l.home.JobOf(key)
	l.mu.Unlock()
	if job != nil {
		l.d.slots.request(l, key, job, []int{task})
	}
}

// addTicket records a ticket of a submission, to be withdrawn when the fate of the
// submission is committed. It reports false if the fate is committed already: then
// the ticket must not be sent.
func (l *homeLog) addTicket(key fate.Key, ticket string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	sub := l.submissions[key]
	if sub == nil {
		return false
	}
	sub.tickets = append(sub.tickets, ticket)
	return true
}

// assignment is a slot for a task.
type assignment struct {
	task     int
	upstream string
}

// place assigns slots to tasks, and returns the assignments whose task does not need
// the slot.
func (l *homeLog) place(key fate.Key, list []assignment) (unused []assignment) {
	l.apply(func(h *fate.Home) fate.Effects {
		var all fate.Effects
		for _, a := range list {
			e, used := h.Place(key, a.task, a.upstream)
			if !used {
				unused = append(unused, a)
			}
			all.Starts = append(all.Starts, e.Starts...) // Place has no other effects
		}
		return all
	})
	return unused
}

func (l *homeLog) abort(key fate.Key, reason fate.Reason, retryAfterMs uint32) {
	l.apply(func(h *fate.Home) fate.Effects {
		if sub := l.submissions[key]; sub != nil {
			sub.retryAfterMs = retryAfterMs
		}
		return h.Abort(key, reason)
	})
}

// finish records the outcome of a task, and reports whether it was still needed.
func (l *homeLog) finish(lease fate.Lease, outcome fate.Outcome) (awaited bool) {
	l.apply(func(h *fate.Home) (e fate.Effects) {
		e, awaited = h.Finish(lease, outcome)
		return e
	})
	return awaited
}

// requeue requests another slot for a task that provably did not start. If the start
// was already attempted maxAttempts times, it ends the job as overloaded instead. The
// caller may then retry after UpstreamLostAfter, by when an upstream that does not
// answer counts as lost.
func (l *homeLog) requeue(lease fate.Lease) {
	requeued := false
	l.apply(func(h *fate.Home) (e fate.Effects) {
		e, requeued = h.Requeue(lease)
		return e
	})
	switch {
	case !requeued:
	case lease.Attempt >= maxAttempts:
		l.abort(lease.Key, fate.ReasonOverloaded, uint32(l.d.cfg.UpstreamLostAfter.Milliseconds()))
	default:
		l.requestSlot(lease.Key, lease.Task)
	}
}

// maxAttempts is the number of attempts to start a task after which its job is
// ended as overloaded.
const maxAttempts = 12

// progress returns how many tasks of key have ended, and how many it has.
func (l *homeLog) progress(key fate.Key) (done, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Progress(key)
}

// fitsSomeUpstream reports whether, for each task of job, there is an upstream that
// could run the task if it were idle.
func (d *Dispatcher) fitsSomeUpstream(job *fate.Job) bool {
	upstreams := d.view.Load().upstreams
	for i := range job.Tasks {
		if !placement.AnyLargeEnough(upstreams, needsOf(&job.Tasks[i])) {
			return false
		}
	}
	return true
}

func needsOf(t *fate.Task) placement.Resources {
	return placement.Resources{CPU: t.CPU, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators}
}
