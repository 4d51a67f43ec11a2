package dispatch

import (
	"log/slog"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"

	"github.com/samber/lo"
)

// witnessLogs holds the permit logs that this instance is the witness of.
type witnessLogs struct {
	d    *Dispatcher
	mu   sync.RWMutex
	logs map[fate.LogID]*witnessLog
}

// witnessLog is one permit log whose witness is this instance. It has a lock of its
// own.
type witnessLog struct {
	mu           sync.Mutex
	witness      *fate.Witness
	lastAppendAt time.Time // when the last append of the home was received
	released     bool      // the home has released this witness
}

func (w *witnessLogs) init(d *Dispatcher) {
	w.d = d
	w.logs = map[fate.LogID]*witnessLog{}
}

func (w *witnessLogs) get(id fate.LogID) *witnessLog {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.logs[id]
}

// open makes this instance the witness of a log. A repeated call has no effect.
func (w *witnessLogs) open(id fate.LogID) error {
	if id.Witness != w.d.cfg.Self {
		return failure.Refused.New("%s is not the witness of log %s", w.d.cfg.Self, id)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	// Checked under the lock: once the instance is draining and WitnessedHomes has returned,
	// no further log is opened.
	if w.d.draining.Load() {
		return failure.Stopping.New("instance %s is shutting down", w.d.cfg.Self.Instance())
	}
	if w.logs[id] == nil {
		l := &witnessLog{witness: fate.NewWitness(id, w.d.tuning.Load().Retention), lastAppendAt: time.Now()}
		l.witness.Tick(nowMs())
		w.logs[id] = l
	}
	return nil
}

// release records that the home of a log needs this witness no more.
func (w *witnessLogs) release(id fate.LogID) {
	if l := w.get(id); l != nil {
		l.mu.Lock()
		l.released = true
		l.mu.Unlock()
	}
}

// append stores one append, a message that extends the copy of a log, and returns
// the reply to it.
func (w *witnessLogs) append(m *inner.Append) *inner.AppendReply {
	l := w.get(inner.ToLogID(m.GetLog()))
	if l == nil {
		return &inner.AppendReply{Log: m.GetLog(), UnknownLog: true}
	}
	a := inner.ToAppend(m)
	l.mu.Lock()
	r := l.witness.Append(a)
	l.lastAppendAt = time.Now()
	l.mu.Unlock()
	return &inner.AppendReply{Log: m.GetLog(), Acked: r.Acked, Gap: r.Gap, Sealed: r.Sealed}
}

// tick evicts expired answers and removes logs that are no longer needed. These are
// the logs without an append for 4*RotateLogsAfter plus the maximum age of answers:
// a home accepts jobs in a log for only half of 4*RotateLogsAfter, so that all
// answers have expired by then.
func (w *witnessLogs) tick(now time.Time) {
	retention := w.d.tuning.Load().Retention
	idleLimit := 4*w.d.cfg.RotateLogsAfter + time.Duration(retention.MaxAgeMs)*time.Millisecond
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, l := range w.logs {
		l.mu.Lock()
		l.witness.SetRetention(retention)
		l.witness.Tick(millis(now))
		if now.Sub(l.lastAppendAt) > idleLimit {
			delete(w.logs, id)
		}
		l.mu.Unlock()
	}
}

// HandlePeerLost handles the loss of an instance. This instance seals the logs of
// that home whose witness it is, and takes their open jobs over. Its brokers take
// back the slots that the home holds.
func (d *Dispatcher) HandlePeerLost(home fate.Incarnation) {
	d.brokers.handleHomeLoss(home)
	for _, l := range d.witnessLogs.logsOf(home) {
		d.takeOver(l)
	}
}

func (w *witnessLogs) logsOf(home fate.Incarnation) []*witnessLog {
	w.mu.RLock()
	defer w.mu.RUnlock()
	var logs []*witnessLog
	for id, l := range w.logs {
		if id.Home == home {
			logs = append(logs, l)
		}
	}
	return logs
}

// takeOver seals a log and takes over all of its undecided jobs.
func (d *Dispatcher) takeOver(l *witnessLog) {
	l.mu.Lock()
	wasOpen := !l.witness.Sealed()
	l.witness.Seal()
	open := l.witness.OpenJobs()
	l.mu.Unlock()
	if wasOpen {
		d.cfg.Metrics.Add("takeovers", 1)
		event.TakeoverBegan.Log(d.cfg.Log, slog.String("log", l.witness.ID().String()), slog.Int("jobs", len(open)))
	}
	for _, key := range open {
		d.takeOverJob(l, key)
	}
}

// takeOverJob takes over one job of a sealed log. A repeated call has no effect.
func (d *Dispatcher) takeOverJob(l *witnessLog, key fate.Key) {
	l.mu.Lock()
	_, recovered := l.witness.Lookup(key)
	l.mu.Unlock()
	if recovered == nil {
		return
	}
	d.homeLogs.takeoverLog.takeOver(key, recovered)
}

// takeOver continues a job of a lost home in this log, unless that has been done
// already.
func (l *homeLog) takeOver(key fate.Key, recovered *fate.RecoveredJob) {
	l.mu.Lock()
	if l.home.MayHaveSeen(key) {
		l.mu.Unlock()
		return
	}
	sub := l.submissionOf(key, recovered.Job.Trace)
	sub.service = recovered.Job.Service
	sub.deadlineTimer = time.AfterFunc(time.Until(time.UnixMilli(recovered.Job.DeadlineMs)), func() { l.abort(key, fate.ReasonDeadline, 0) })
	todo := l.actionsFor(l.home.TakeOver(key, recovered))
	l.mu.Unlock()
	l.perform(todo)
	for i := range recovered.Tasks {
		if t := &recovered.Tasks[i]; t.Outcome == nil && len(t.Permits) > 0 {
			go l.resolveTask(key, i, t.Permits)
		}
	}
	l.requestSlots(key)
}

func (l *homeLog) isUnresolved(key fate.Key, task int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.IsUnresolved(key, task)
}

// resolveTask looks up the outcome of a task at all upstreams at which the lost home
// may have started it. The task starts again only if every one of these starts is
// known to have had no effect, because its lease is barred.
func (l *homeLog) resolveTask(key fate.Key, task int, permits []fate.Permit) {
	var outcome *fate.Outcome
	for _, p := range permits {
		lease := fate.Lease{Key: key, Task: task, Attempt: p.Attempt}
		found := l.d.resolveLease(lease.String(), p.Upstream, func() bool { return l.isUnresolved(key, task) })
		if found.status == leaseNotNeeded {
			return
		}
		if found.status == leaseEnded {
			outcome = &found.outcome
			break
		}
		if found.status == leaseUnanswered {
			outcome = &fate.Outcome{State: fate.TaskUnknown, Error: "the upstream does not answer"}
		}
	}
	resolved := false
	l.apply(func(h *fate.Home) (e fate.Effects) {
		e, resolved = h.ResolveTask(key, task, outcome)
		return e
	})
	if resolved && outcome == nil {
		l.requestSlot(key, task)
	}
}

func (l *witnessLog) sealed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.witness.Sealed()
}

func (l *witnessLog) lookup(key fate.Key) (fate.Answer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer, _ := l.witness.Lookup(key); answer != nil {
		return *answer, true
	}
	return fate.Answer{}, false
}

// WitnessedHomes returns the homes that have not released this instance as the witness of a log.
// That a log has no undecided job does not show that it is not needed: the home may have
// accepted jobs whose first record it has not sent yet, or may have to ask for the fates of
// jobs because the log has been sealed.
func (d *Dispatcher) WitnessedHomes() []fate.Incarnation {
	d.witnessLogs.mu.RLock()
	defer d.witnessLogs.mu.RUnlock()
	var homes []fate.Incarnation
	for id, l := range d.witnessLogs.logs {
		l.mu.Lock()
		if !l.released {
			homes = append(homes, id.Home)
		}
		l.mu.Unlock()
	}
	return lo.Uniq(homes)
}

// closeLogsWithoutWitness closes the logs whose witness is draining or no longer
// alive, so that new sessions and jobs go to logs with another witness.
func (h *homeLogs) closeLogsWithoutWitness(v *View) {
	for _, l := range h.all() {
		h.closeWithoutWitness(l, v)
	}
}

// closeWithoutWitness closes a log if its witness is draining or no longer alive.
func (h *homeLogs) closeWithoutWitness(l *homeLog, v *View) {
	if l.id.Witness == "" {
		return
	}
	if m, found := v.member(l.id.Witness.Instance()); !found || m.Incarnation != l.id.Witness {
		l.close()
	}
}
