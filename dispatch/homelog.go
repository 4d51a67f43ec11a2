package dispatch

import (
	"context"
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

// homeLog runs one fate.Home: a shard with its own lock.
type homeLog struct {
	d      *Dispatcher
	id     fate.LogID
	opened time.Time
	append appender

	mu   sync.Mutex
	home *fate.Home
	runs map[fate.Key]*run
}

// run is what the runtime keeps of a submission until it has its fate.
type run struct {
	waiters    []chan told
	deadline   *time.Timer
	tickets    []string
	retryAfter uint32 // milliseconds, after a refusal
	span       *tracing.Span
	service    string
}

// told is an answer on its way to a waiter.
type told struct {
	answer     fate.Answer
	retryAfter uint32
}

func newHomeLog(d *Dispatcher, id fate.LogID) *homeLog {
	l := &homeLog{
		d: d, id: id, opened: time.Now(),
		home: fate.NewHome(id, d.tuning.Load().Retention), runs: map[fate.Key]*run{},
	}
	l.home.Tick(nowMs())
	l.append.l = l
	return l
}

func (l *homeLog) active() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Active()
}

// closed reports whether the log gives out no more sessions.
func (l *homeLog) closed() bool {
	if time.Since(l.opened) > l.d.cfg.RotateLogsAfter {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Closed()
}

func (l *homeLog) tick(now time.Time) {
	l.append.tick(now)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.home.Keep(l.d.tuning.Load().Retention)
	l.home.Tick(millis(now))
	if now.Sub(l.opened) > 2*l.d.cfg.RotateLogsAfter && l != l.d.homes.heir {
		l.home.Close()
	}
}

// expired reports whether nothing of the log is needed any more.
func (l *homeLog) expired(now time.Time) bool {
	keep := time.Duration(l.d.tuning.Load().Retention.MaxAgeMs) * time.Millisecond
	if now.Sub(l.opened) < 2*l.d.cfg.RotateLogsAfter+keep {
		return false
	}
	return l.active() == 0
}

// retire makes the log take no new jobs. Those that it has go on.
func (l *homeLog) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.home.Close()
}

// orders is what has to be done once the lock is free.
type orders struct {
	starts  []order
	stops   []fate.Start
	unused  []placement.ReleasedSlots
	told    []delivery
	ask     []fate.Key
	tickets []string
}

// order is a start with the work that it starts.
type order struct {
	fate.Start
	job *fate.Job
	// trace is the span of the submission here.
	trace string
}

type delivery struct {
	told
	waiters []chan told
}

// step gives the machine one input and does what comes of it.
func (l *homeLog) step(input func(h *fate.Home) fate.Effects) {
	l.mu.Lock()
	e := input(l.home)
	o := l.prepare(e)
	l.mu.Unlock()
	l.carryOut(o)
}

// prepare turns effects into orders. The lock is held.
func (l *homeLog) prepare(e fate.Effects) orders {
	o := orders{stops: e.Stops, ask: e.Ask}
	for _, u := range e.Unused {
		if r := l.runs[u.Lease.Key]; r != nil {
			o.unused = append(o.unused, placement.ReleasedSlots{Upstream: u.Upstream, Service: r.service, Count: 1})
		}
	}
	for _, s := range e.Starts {
		o.starts = append(o.starts, order{Start: s, job: l.home.JobOf(s.Lease.Key), trace: l.traceOf(s.Lease.Key)})
	}
	for _, a := range e.Answers {
		o.told = append(o.told, l.deliver(a))
		if r := l.runs[a.Key]; r != nil {
			o.tickets = append(o.tickets, r.tickets...)
			l.finishRun(a, r)
		}
	}
	return o
}

func (l *homeLog) traceOf(key fate.Key) string {
	if r := l.runs[key]; r != nil {
		return r.span.Traceparent()
	}
	return ""
}

func (l *homeLog) deliver(a fate.Answer) delivery {
	r := l.runs[a.Key]
	if r == nil {
		return delivery{}
	}
	return delivery{told{a, r.retryAfter}, r.waiters}
}

func (l *homeLog) finishRun(a fate.Answer, r *run) {
	if r.deadline != nil {
		r.deadline.Stop()
	}
	r.span.Set("fate", string(a.Kind))
	r.span.End()
	delete(l.runs, a.Key)
	l.d.cfg.Metrics.Add("fate_"+string(a.Kind), 1)
	if a.Kind == fate.Unknown {
		event.UnknownFate.Log(l.d.cfg.Log, slog.String("key", a.Key.String()), slog.String("reason", string(a.Reason)))
	}
}

func (l *homeLog) carryOut(o orders) {
	for i := range o.starts {
		go l.start(o.starts[i])
	}
	for i := range o.told {
		for _, w := range o.told[i].waiters {
			w <- o.told[i].told
		}
	}
	if len(o.tickets) > 0 {
		l.d.slots.withdraw(o.tickets)
	}
	for _, u := range o.unused {
		l.d.slots.giveBack(u)
	}
	l.d.stopTasks(o.stops)
	if len(o.ask) > 0 {
		go l.askWitness(o.ask)
	}
	l.append.flush(false)
}

// submit takes a submission, or finds it, and returns its answer, or where it
// will come.
func (l *homeLog) submit(key fate.Key, job *fate.Job, trace string) (fate.Answer, chan told, error) {
	l.mu.Lock()
	admission, answer, err := l.admit(key, job)
	if err != nil || admission == fate.Answered {
		l.mu.Unlock()
		return answer, nil, err
	}
	r := l.runOf(key, trace)
	wait := make(chan told, 1)
	r.waiters = append(r.waiters, wait)
	if admission == fate.Accepted {
		r.service = job.Service
		r.deadline = time.AfterFunc(time.Until(time.UnixMilli(job.DeadlineMs)), func() { l.giveUp(key, fate.ReasonDeadline, 0) })
	}
	l.mu.Unlock()
	switch admission {
	case fate.Accepted:
		l.d.cfg.Metrics.Add("jobs", 1)
		l.begin(key, job)
	case fate.AtWitness:
		go l.askWitness([]fate.Key{key})
	default:
		l.d.cfg.Metrics.Add("joined", 1)
	}
	return fate.Answer{}, wait, nil
}

// begin seeks places for a new submission, or refuses one that can never run.
func (l *homeLog) begin(key fate.Key, job *fate.Job) {
	if !l.d.canEver(job) {
		l.giveUp(key, fate.ReasonNeverFits, 0)
		return
	}
	l.seek(key)
}

// admit is Submit, but new work is refused while this instance is leaving. The
// lock is held.
func (l *homeLog) admit(key fate.Key, job *fate.Job) (fate.Admission, fate.Answer, error) {
	if job == nil || !l.d.leaving.Load() {
		return l.home.Submit(key, job)
	}
	admission, answer, err := l.home.Submit(key, nil)
	if failure.Is(err, failure.NotFound) {
		err = failure.Stopping.New("instance %s is leaving", l.d.cfg.Self.Instance())
	}
	return admission, answer, err
}

func (l *homeLog) runOf(key fate.Key, trace string) *run {
	r := l.runs[key]
	if r == nil {
		r = &run{span: l.d.cfg.Tracer.Start(trace, "home")}
		l.runs[key] = r
	}
	return r
}

// seek asks for places for the tasks of key that wait for one.
func (l *homeLog) seek(key fate.Key) {
	l.mu.Lock()
	job := l.home.JobOf(key)
	tasks := l.home.Waiting(key)
	l.mu.Unlock()
	if len(tasks) > 0 {
		l.d.slots.request(l, key, job, tasks)
	}
}

// seekTask asks for another place for one task.
func (l *homeLog) seekTask(key fate.Key, task int) {
	l.mu.Lock()
	job := l.home.JobOf(key)
	l.mu.Unlock()
	if job != nil {
		l.d.slots.request(l, key, job, []int{task})
	}
}

// noteTicket remembers a ticket, to be withdrawn when the job has its fate. It
// reports false when the job has it already.
func (l *homeLog) noteTicket(key fate.Key, ticket string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[key]
	if r == nil {
		return false
	}
	r.tickets = append(r.tickets, ticket)
	return true
}

// assignment is a place for a task.
type assignment struct {
	task     int
	upstream string
}

// place gives tasks their places, and returns those that were not used.
func (l *homeLog) place(key fate.Key, list []assignment) (unused []assignment) {
	l.step(func(h *fate.Home) fate.Effects {
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

func (l *homeLog) giveUp(key fate.Key, reason fate.Reason, retryAfterMs uint32) {
	l.step(func(h *fate.Home) fate.Effects {
		if r := l.runs[key]; r != nil {
			r.retryAfter = retryAfterMs
		}
		return h.GiveUp(key, reason)
	})
}

// finish takes the outcome of a task, and reports whether it was awaited.
func (l *homeLog) finish(lease fate.Lease, o fate.Outcome) (awaited bool) {
	l.step(func(h *fate.Home) (e fate.Effects) {
		e, awaited = h.Finish(lease, o)
		return e
	})
	return awaited
}

// refused takes a proof that a task did not start, and seeks another place.
func (l *homeLog) refused(lease fate.Lease) {
	again := false
	l.step(func(h *fate.Home) (e fate.Effects) {
		e, again = h.Refused(lease)
		return e
	})
	switch {
	case !again:
	case lease.Attempt >= maxAttempts:
		l.giveUp(lease.Key, fate.ReasonOverloaded, uint32(l.d.cfg.UpstreamLostAfter.Milliseconds()))
	default:
		l.seekTask(lease.Key, lease.Task)
	}
}

// maxAttempts is how often a task may be refused before its job is given up.
const maxAttempts = 12

// progress returns the answer so far.
func (l *homeLog) progress(key fate.Key) (done, total int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.Progress(key)
}

// askWitness learns the fates that only the witness of the sealed log can tell.
func (l *homeLog) askWitness(keys []fate.Key) {
	for _, key := range keys {
		answer := fate.Answer{Key: key, Kind: fate.Unknown, Reason: fate.ReasonWitnessLost}
		if learned, ok := l.learn(key); ok {
			answer = learned
		}
		l.step(func(h *fate.Home) fate.Effects { return h.Learned(answer) })
	}
}

// learn asks the witness, which may be there after all where it was taken for
// lost.
func (l *homeLog) learn(key fate.Key) (fate.Answer, bool) {
	l.mu.Lock()
	orphaned := l.home.Orphaned()
	l.mu.Unlock()
	wait := maxWait
	if orphaned {
		wait = l.d.cfg.WitnessTimeout
	}
	ctx, cancel := context.WithTimeout(l.d.stop, wait)
	defer cancel()
	f := &inner.Frame{Body: &inner.Frame_Submit{Submit: &inner.Submit{
		Key: inner.FromKey(key), AsWitness: true, Seal: true, WaitMs: uint32(wait.Milliseconds()),
	}}}
	reply, err := l.d.peers.Call(ctx, l.id.Witness, f)
	if err != nil || !fate.Kind(reply.GetAnswer().GetKind()).Final() {
		return fate.Answer{}, false
	}
	return *inner.ToAnswer(reply.GetAnswer()), true
}

// canEver reports whether some upstream could run every task of job.
func (d *Dispatcher) canEver(job *fate.Job) bool {
	fits := d.view.Load().fits
	for i := range job.Tasks {
		if !placement.AnyLargeEnough(fits, needsOf(&job.Tasks[i])) {
			return false
		}
	}
	return true
}

func needsOf(t *fate.Task) placement.Resources {
	return placement.Resources{CPU: t.CPU, MemoryMB: t.MemoryMB, Accelerators: t.Accelerators}
}
