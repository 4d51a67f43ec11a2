package dispatch

import (
	"log/slog"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
)

// witnesses holds the logs that this instance is witness to.
type witnesses struct {
	d    *Dispatcher
	mu   sync.RWMutex
	logs map[fate.LogID]*witnessLog
}

// witnessLog is one fate.Witness: a shard with its own lock.
type witnessLog struct {
	mu      sync.Mutex
	witness *fate.Witness
	heard   time.Time // of the home
}

func (w *witnesses) init(d *Dispatcher) {
	w.d = d
	w.logs = map[fate.LogID]*witnessLog{}
}

func (w *witnesses) get(id fate.LogID) *witnessLog {
	w.mu.RLock()
	defer w.mu.RUnlock()
	return w.logs[id]
}

// open makes this instance the witness of a log, once.
func (w *witnesses) open(id fate.LogID) error {
	if id.Witness != w.d.cfg.Self {
		return failure.Refused.New("%s is not the witness of log %s", w.d.cfg.Self, id)
	}
	if w.d.leaving.Load() {
		return failure.Stopping.New("instance %s is leaving", w.d.cfg.Self.Instance())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.logs[id] == nil {
		l := &witnessLog{witness: fate.NewWitness(id, w.d.tuning.Load().Retention), heard: time.Now()}
		l.witness.Tick(nowMs())
		w.logs[id] = l
	}
	return nil
}

// append takes one append, and returns its reply.
func (w *witnesses) append(m *inner.Append) *inner.AppendReply {
	l := w.get(inner.ToLogID(m.GetLog()))
	if l == nil {
		return &inner.AppendReply{Log: m.GetLog(), UnknownLog: true}
	}
	a := inner.ToAppend(m)
	l.mu.Lock()
	r := l.witness.Append(a)
	l.heard = time.Now()
	l.mu.Unlock()
	return &inner.AppendReply{Log: m.GetLog(), Acked: r.Acked, Gap: r.Gap, Sealed: r.Sealed}
}

// tick lets go of old answers, and of logs that nobody can need.
func (w *witnesses) tick(now time.Time) {
	keep := w.d.tuning.Load().Retention
	idle := 4*w.d.cfg.RotateLogsAfter + time.Duration(keep.MaxAgeMs)*time.Millisecond
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, l := range w.logs {
		l.mu.Lock()
		l.witness.SetRetention(keep)
		l.witness.Tick(millis(now))
		if now.Sub(l.heard) > idle {
			delete(w.logs, id)
		}
		l.mu.Unlock()
	}
}

// HandlePeerLost takes the news that an incarnation is lost: every log of it that is
// witnessed here is sealed, and its jobs go on here.
func (d *Dispatcher) HandlePeerLost(home fate.Incarnation) {
	d.brokers.homeGone(home)
	for _, l := range d.witnesses.of(home) {
		d.takeOver(l)
	}
}

func (w *witnesses) of(home fate.Incarnation) []*witnessLog {
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

// takeOver seals a log and goes on with every job of it that has no fate.
func (d *Dispatcher) takeOver(l *witnessLog) {
	l.mu.Lock()
	first := !l.witness.Sealed()
	l.witness.Seal()
	open := l.witness.OpenJobs()
	l.mu.Unlock()
	if first {
		d.cfg.Metrics.Add("takeovers", 1)
		event.TakeoverBegan.Log(d.cfg.Log, slog.String("log", l.witness.ID().String()), slog.Int("jobs", len(open)))
	}
	for _, key := range open {
		d.adopt(l, key)
	}
}

// adopt goes on with one job of a sealed log; once is enough.
func (d *Dispatcher) adopt(l *witnessLog, key fate.Key) {
	l.mu.Lock()
	_, inheritance := l.witness.Lookup(key)
	l.mu.Unlock()
	if inheritance == nil {
		return
	}
	d.homes.heir.adopt(key, inheritance)
}

// adopt takes over a job of a lost home.
func (l *homeLog) adopt(key fate.Key, in *fate.RecoveredJob) {
	l.mu.Lock()
	if l.home.MayHaveSeen(key) {
		l.mu.Unlock()
		return
	}
	r := l.runOf(key, in.Job.Trace)
	r.service = in.Job.Service
	r.deadline = time.AfterFunc(time.Until(time.UnixMilli(in.Job.DeadlineMs)), func() { l.giveUp(key, fate.ReasonDeadline, 0) })
	o := l.prepare(l.home.TakeOver(key, in))
	l.mu.Unlock()
	l.carryOut(o)
	for i := range in.Tasks {
		if t := &in.Tasks[i]; t.Outcome == nil && len(t.Permits) > 0 {
			go l.settleInherited(key, i, t.Permits)
		}
	}
	l.seek(key)
}

func (l *homeLog) awaitsInherited(key fate.Key, task int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.home.IsUnresolved(key, task)
}

// settleInherited asks every upstream where the lost home may have started a
// task. It starts here only once all of them have barred it.
func (l *homeLog) settleInherited(key fate.Key, task int, permits []fate.Permit) {
	var outcome *fate.Outcome
	for _, p := range permits {
		lease := fate.Lease{Key: key, Task: task, Attempt: p.Attempt}
		found := l.d.inquire(lease.String(), p.Upstream, func() bool { return l.awaitsInherited(key, task) })
		if found.verdict == leaseUnwanted {
			return
		}
		if found.verdict == leaseOver {
			outcome = &found.outcome
			break
		}
		if found.verdict == leaseSilent {
			outcome = &fate.Outcome{State: fate.TaskUnknown, Error: "the upstream was lost"}
		}
	}
	settled := false
	l.step(func(h *fate.Home) (e fate.Effects) {
		e, settled = h.ResolveTask(key, task, outcome)
		return e
	})
	if settled && outcome == nil {
		l.seekTask(key, task)
	}
}

func (l *witnessLog) sealed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.witness.Sealed()
}

func (l *witnessLog) recall(key fate.Key) (fate.Answer, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if answer, _ := l.witness.Lookup(key); answer != nil {
		return *answer, true
	}
	return fate.Answer{}, false
}

// WitnessedJobs returns the number of submissions of other homes that still need
// this instance as their witness.
func (d *Dispatcher) WitnessedJobs() int {
	d.witnesses.mu.RLock()
	defer d.witnesses.mu.RUnlock()
	n := 0
	for _, l := range d.witnesses.logs {
		l.mu.Lock()
		n += l.witness.PendingJobs()
		l.mu.Unlock()
	}
	return n
}

// retireLogs makes the logs whose witness is no member any more, because it
// leaves or is not heard, take no more jobs: new work goes to other logs.
func (h *homes) retireLogs(v *View) {
	for _, l := range h.all() {
		if l.id.Witness == "" {
			continue
		}
		if m, there := v.member(l.id.Witness.Instance()); !there || m.Incarnation != l.id.Witness {
			l.retire()
		}
	}
}
