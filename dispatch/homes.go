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

// homes holds the logs that this instance is home to.
type homes struct {
	d      *Dispatcher
	number atomic.Uint64
	turn   atomic.Uint64

	mu     sync.RWMutex
	logs   map[fate.LogID]*homeLog
	lanes  map[lane]*homeLog // the log that takes new sessions
	opened sync.Mutex        // one log is opened at a time
	heir   *homeLog          // goes on with the jobs of lost homes
}

// lane is one of the logs that take sessions side by side.
type lane struct {
	scope placement.WitnessScope
	shard uint64
}

func (h *homes) init(d *Dispatcher) {
	h.d = d
	h.logs = map[fate.LogID]*homeLog{}
	h.lanes = map[lane]*homeLog{}
	id := fate.LogID{Home: d.cfg.Self}
	h.heir = newHomeLog(d, id)
	h.logs[id] = h.heir
}

// OpenSession opens a session for a caller, in a log whose witness is as far
// away as scope asks. The error is Stopping when this instance is leaving.
func (d *Dispatcher) OpenSession(caller string, scope placement.WitnessScope) (fate.Session, time.Duration, error) {
	if d.leaving.Load() {
		return "", 0, failure.Stopping.New("instance %s is leaving", d.cfg.Self.Instance())
	}
	l := d.homes.current(lane{scope, d.homes.turn.Add(1) % uint64(d.cfg.Shards)})
	d.cfg.Metrics.Add("sessions", 1)
	id := uuid.New()
	return fate.NewSession(l.id, caller, uuidText(id)), time.Until(l.opened.Add(d.cfg.RotateLogsAfter)), nil
}

func uuidText(id uuid.UUID) string { return id.String()[:18] }

// current returns the log of a lane, and opens one where there is none or the
// last takes no more sessions.
func (h *homes) current(at lane) *homeLog {
	if l := h.usable(at); l != nil {
		return l
	}
	h.opened.Lock()
	defer h.opened.Unlock()
	if l := h.usable(at); l != nil {
		return l
	}
	l := h.open(at.scope)
	h.mu.Lock()
	h.logs[l.id] = l
	h.lanes[at] = l
	h.mu.Unlock()
	return l
}

func (h *homes) usable(at lane) *homeLog {
	h.mu.RLock()
	l := h.lanes[at]
	h.mu.RUnlock()
	if l == nil || l.closed() || h.outgrown(l, at.scope) {
		return nil
	}
	return l
}

// outgrown reports whether l is alone though a witness is there by now.
func (h *homes) outgrown(l *homeLog, scope placement.WitnessScope) bool {
	return l.id.Witness == "" && scope != placement.WitnessScopeNone && len(h.d.view.Load().Members) > 1
}

// open opens a log with a witness, or alone when nobody can be one.
func (h *homes) open(scope placement.WitnessScope) *homeLog {
	id := fate.LogID{Home: h.d.cfg.Self, Number: h.number.Add(1)}
	view := h.awaitOthers(scope)
	self := placement.InstanceLocation{Instance: h.d.cfg.Self.Instance(), Region: h.d.cfg.Region, Zone: h.d.cfg.Zone, Rack: h.d.cfg.Rack}
	for others := view.entries; ; {
		m, there := view.member(placement.ChooseWitness(self, id.Number, scope, others))
		id.Witness = m.Incarnation
		if !there || h.invite(id) == nil {
			break
		}
		others = lo.Reject(others, func(e placement.InstanceLocation, _ int) bool { return e.Instance == m.Instance })
	}
	switch {
	case id.Witness != "":
		event.LogOpened.Log(h.d.cfg.Log, slog.String("log", id.String()))
	case scope != placement.WitnessScopeNone:
		event.LogAlone.Log(h.d.cfg.Log, slog.String("log", id.String()))
	}
	return newHomeLog(h.d, id)
}

// awaitOthers returns the view once it has somebody to be witness, or there is
// nobody, or after WitnessTimeout: an instance that has just started may not
// have heard the others yet.
func (h *homes) awaitOthers(scope placement.WitnessScope) *View {
	until := time.Now().Add(h.d.cfg.WitnessTimeout)
	for {
		v := h.d.view.Load()
		if scope == placement.WitnessScopeNone || len(v.Members) > 1 || v.OtherInstances == 0 || time.Now().After(until) {
			return v
		}
		select {
		case <-time.After(othersPoll):
		case <-h.d.stop.Done():
			return v
		}
	}
}

// othersPoll is how often a new instance looks whether it has heard others.
const othersPoll = 5 * time.Millisecond

// invite makes the witness know the log, before any session of it is given out.
func (h *homes) invite(id fate.LogID) error {
	ctx, cancel := context.WithTimeout(h.d.stop, h.d.cfg.WitnessTimeout)
	defer cancel()
	_, err := h.d.peers.Call(ctx, id.Witness, &inner.Frame{Body: &inner.Frame_OpenLog{OpenLog: &inner.OpenLog{Log: inner.FromLogID(id)}}})
	return err
}

func (h *homes) get(id fate.LogID) *homeLog {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.logs[id]
}

func (h *homes) all() []*homeLog {
	h.mu.RLock()
	defer h.mu.RUnlock()
	list := make([]*homeLog, 0, len(h.logs))
	for _, l := range h.logs {
		list = append(list, l)
	}
	return list
}

func (h *homes) active() int {
	n := 0
	for _, l := range h.all() {
		n += l.active()
	}
	return n
}

func (h *homes) tick(now time.Time) {
	for _, l := range h.all() {
		l.tick(now)
		if l != h.heir && l.expired(now) {
			h.drop(l)
		}
	}
}

// drop lets a whole log go.
func (h *homes) drop(l *homeLog) {
	h.mu.Lock()
	delete(h.logs, l.id)
	for at, current := range h.lanes {
		if current == l {
			delete(h.lanes, at)
		}
	}
	h.mu.Unlock()
}
