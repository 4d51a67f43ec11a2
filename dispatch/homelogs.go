package dispatch

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/inner"
	"github.com/sedgehatch/sedgehatch/placement"

	"github.com/google/uuid"
	"github.com/samber/lo"
)

// homeLogs holds the permit logs that this instance is the home of.
type homeLogs struct {
	d            *Dispatcher
	lastNumber   atomic.Uint64
	sessionCount atomic.Uint64

	mu          sync.RWMutex
	logs        map[fate.LogID]*homeLog
	currentLogs map[logShard]*homeLog // the logs in which new sessions are opened
	openMu      sync.Mutex            // held while a log is opened, so that logs are opened one at a time
	takeoverLog *homeLog              // continues the jobs of lost homes; has no witness
}

// logShard identifies one of the logs in which new sessions are currently opened.
type logShard struct {
	scope placement.WitnessScope
	shard uint64
}

func (h *homeLogs) init(d *Dispatcher) {
	h.d = d
	h.logs = map[fate.LogID]*homeLog{}
	h.currentLogs = map[logShard]*homeLog{}
	id := fate.LogID{Home: d.cfg.Self}
	h.takeoverLog = newHomeLog(d, id)
	h.logs[id] = h.takeoverLog
}

// OpenSession opens a session for a caller, in a log whose witness is chosen by
// scope. It returns the session, and the time after which the caller should open
// another one for new jobs. The error is Stopping if this instance is draining.
func (d *Dispatcher) OpenSession(caller string, scope placement.WitnessScope) (fate.Session, time.Duration, error) {
	if d.draining.Load() {
		return "", 0, failure.Stopping.New("instance %s is shutting down", d.cfg.Self.Instance())
	}
	l := d.homeLogs.currentLog(logShard{scope, d.homeLogs.sessionCount.Add(1) % uint64(d.cfg.Shards)})
	d.cfg.Metrics.Add("sessions", 1)
	id := uuid.New()
	return fate.NewSession(l.id, caller, shortID(id)), time.Until(l.openedAt.Add(d.cfg.RotateLogsAfter)), nil
}

func shortID(id uuid.UUID) string { return id.String()[:18] }

// currentLog returns the log of a shard in which new sessions are opened. It opens
// a log if the shard has none, or if no more sessions are opened in the last one.
func (h *homeLogs) currentLog(shard logShard) *homeLog {
	if l := h.usableLog(shard); l != nil {
		return l
	}
	h.openMu.Lock()
	defer h.openMu.Unlock()
	if l := h.usableLog(shard); l != nil {
		return l
	}
	l := h.open(shard.scope)
	h.mu.Lock()
	h.logs[l.id] = l
	h.currentLogs[shard] = l
	h.mu.Unlock()
	// A view that was set while the log was being opened has not closed it.
	h.closeWithoutWitness(l, h.d.view.Load())
	return l
}

func (h *homeLogs) usableLog(shard logShard) *homeLog {
	h.mu.RLock()
	l := h.currentLogs[shard]
	h.mu.RUnlock()
	if l == nil || l.closed() || h.canGetWitness(l, shard.scope) {
		return nil
	}
	return l
}

// canGetWitness reports whether l has no witness although a new log could have
// one by now.
func (h *homeLogs) canGetWitness(l *homeLog, scope placement.WitnessScope) bool {
	return l.id.Witness == "" && scope != placement.WitnessScopeNone && len(h.d.view.Load().Members) > 1
}

// open opens a log with a witness, or without one if no instance can be its
// witness.
func (h *homeLogs) open(scope placement.WitnessScope) *homeLog {
	id := fate.LogID{Home: h.d.cfg.Self, Number: h.lastNumber.Add(1)}
	view := h.awaitOtherInstances(scope)
	self := placement.InstanceLocation{Instance: h.d.cfg.Self.Instance(), Region: h.d.cfg.Region, Zone: h.d.cfg.Zone, Rack: h.d.cfg.Rack}
	for candidates := view.instances; ; {
		m, found := view.member(placement.ChooseWitness(self, id.Number, scope, candidates))
		id.Witness = m.Incarnation
		if !found || h.openAtWitness(id) == nil {
			break
		}
		candidates = lo.Reject(candidates, func(e placement.InstanceLocation, _ int) bool { return e.Instance == m.Instance })
	}
	switch {
	case id.Witness != "":
		event.LogOpened.Log(h.d.cfg.Log, slog.String("log", id.String()))
	case scope != placement.WitnessScopeNone:
		event.LogAlone.Log(h.d.cfg.Log, slog.String("log", id.String()))
	}
	return newHomeLog(h.d, id)
}

// awaitOtherInstances waits until the view has another instance, which can be the
// witness, and returns the view. It does not wait if the platform lists no other
// instance, and returns after WitnessTimeout at the latest. Without the wait, an
// instance that has just started, and has received no heartbeats yet, would open
// logs without a witness.
func (h *homeLogs) awaitOtherInstances(scope placement.WitnessScope) *View {
	deadline := time.Now().Add(h.d.cfg.WitnessTimeout)
	for {
		v := h.d.view.Load()
		if scope == placement.WitnessScopeNone || len(v.Members) > 1 || v.OtherInstances == 0 || time.Now().After(deadline) {
			return v
		}
		select {
		case <-time.After(viewPollInterval):
		case <-h.d.ctx.Done():
			return v
		}
	}
}

// viewPollInterval is the interval at which awaitOtherInstances checks the view.
const viewPollInterval = 5 * time.Millisecond

// openAtWitness registers the log at its witness. The witness rejects appends to
// logs that it does not know, so this precedes the first session in the log.
func (h *homeLogs) openAtWitness(id fate.LogID) error {
	ctx, cancel := context.WithTimeout(h.d.ctx, h.d.cfg.WitnessTimeout)
	defer cancel()
	_, err := h.d.peers.Call(ctx, id.Witness, &inner.Frame{Body: &inner.Frame_OpenLog{OpenLog: &inner.OpenLog{Log: inner.FromLogID(id)}}})
	return err
}

func (h *homeLogs) get(id fate.LogID) *homeLog {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.logs[id]
}

func (h *homeLogs) all() []*homeLog {
	h.mu.RLock()
	defer h.mu.RUnlock()
	list := make([]*homeLog, 0, len(h.logs))
	for _, l := range h.logs {
		list = append(list, l)
	}
	return list
}

func (h *homeLogs) active() int {
	n := 0
	for _, l := range h.all() {
		n += l.active()
	}
	return n
}

func (h *homeLogs) tick(now time.Time) {
	for _, l := range h.all() {
		l.tick(now)
		if l != h.takeoverLog && l.expired(now) {
			h.remove(l)
		}
	}
}

// remove removes a log and all of its answers.
func (h *homeLogs) remove(l *homeLog) {
	h.mu.Lock()
	delete(h.logs, l.id)
	for shard, current := range h.currentLogs {
		if current == l {
			delete(h.currentLogs, shard)
		}
	}
	h.mu.Unlock()
}
