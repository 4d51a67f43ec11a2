package main

import (
	"encoding/json"
	"net"
	"net/http"
	"path"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/fleet"
	"github.com/sedgehatch/sedgehatch/platform/standin"
)

// pollEnds is how often a delayed report looks for runs that have ended.
const pollEnds = 10 * time.Millisecond

// upstream is a stand-in of an upstream that starts again under its ID and has a time of day of its
// own, which the product's stand-in has not. Leases, runs and ends are those of standin.UpstreamModel.
type upstream struct {
	id, zone, address string
	store             *standin.Store
	milliCPUOfTask    int64
	onStart           func(used, capacity int64, age time.Duration) // called for each run that starts
	server            *http.Server

	mu          sync.Mutex
	model       *standin.UpstreamModel
	clockOffset time.Duration // by how much its time of day is ahead
	bornMs      int64         // when its process started, by its time of day
	startedAt   time.Time
	sequence    int
	down        bool
}

// newUpstream starts an upstream and writes its entry.
func newUpstream(store *standin.Store, id, zone string, milliCPU, milliCPUOfTask int64) (*upstream, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{id: id, zone: zone, address: l.Addr().String(), store: store, milliCPUOfTask: milliCPUOfTask}
	u.server = &http.Server{Handler: u}
	u.start(milliCPU)
	go func() { _ = u.server.Serve(l) }() // returns when the upstream is closed
	return u, nil
}

func (u *upstream) close() { _ = u.server.Close() }

// start begins the next life of the upstream, which has nothing from before.
func (u *upstream) start(milliCPU int64) {
	u.mu.Lock()
	now := time.Now()
	u.model = standin.NewUpstreamModel(now, fleet.Resources{MilliCPU: milliCPU, MemoryMB: upstreamMemoryMB}, nil)
	u.bornMs, u.startedAt, u.sequence, u.down = now.Add(u.clockOffset).UnixMilli(), now, 0, false
	u.mu.Unlock()
	u.register()
}

// register writes the entry of the upstream.
func (u *upstream) register() {
	u.mu.Lock()
	u.sequence++
	entry := map[string]any{
		"Service": service, "Address": u.address, "Zone": u.zone, "Version": "1", "Slots": 8, "State": "ready", "ColdRemainingMs": 0, "Sequence": u.sequence,
		"Capacity": map[string]any{"Cpu": u.model.Capacity.MilliCPU, "MemoryLimitMb": u.model.Capacity.MemoryMB, "Gpu": 0},
		"Labels":   []string{"a", "r1-1"}, "born": u.bornMs,
	}
	u.mu.Unlock()
	raw, _ := json.Marshal(entry) // cannot fail
	u.store.OverwriteEntry(u.id, raw)
}

// crash ends the life of the upstream: its runs end, and it responds to nothing.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.down = true
}

// stepClock sets by how much the upstream's time of day is ahead.
func (u *upstream) stepClock(ahead time.Duration) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.clockOffset = ahead
}

// order holds the fields of all orders.
type order struct {
	Task         string
	Run          uint32
	TaskSpec     string
	UntilMs      int64
	FencingToken uint64
	LastSeen     uint64
	WaitMs       int64
}

func (o order) run() fleet.Run {
	parts := strings.Split(o.Task, ".")
	index, _ := strconv.Atoi(parts[len(parts)-1]) // the jobs of the cases have one step and no repetitions
	return fleet.Run{Task: fleet.TaskRef{Job: parts[0], Index: index}, Number: o.Run}
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	u.mu.Lock()
	life := u.bornMs
	reason := u.execute(path.Base(r.URL.Path), o)
	u.mu.Unlock()
	if path.Base(r.URL.Path) == "hold" && reason == "" {
		u.waitForEnd(o, life)
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down || u.bornMs != life {
		panic(http.ErrAbortHandler) // ends the connection without a response
	}
	u.respond(w, path.Base(r.URL.Path), o, reason)
}

// execute carries out an order and returns the reason if it is refused. u.mu is held.
func (u *upstream) execute(call string, o order) (reason string) {
	now := time.Now()
	accepted := true
	switch {
	case u.down:
		return ""
	case call == "run-start":
		u.model.Workload = func(fleet.Run) (time.Duration, fleet.Resources) {
			return standin.SpecDuration(o.TaskSpec), fleet.Resources{MilliCPU: u.milliCPUOfTask}
		}
		before := len(u.model.Running())
		switch u.model.Start(now, fleet.StartOrder{Run: o.run(), LeaseUntilMs: o.UntilMs, Token: o.FencingToken}) {
		case fleet.NotRefused:
			if len(u.model.Running()) > before && u.onStart != nil {
				u.onStart(u.model.Used().MilliCPU, u.model.Capacity.MilliCPU, now.Sub(u.startedAt))
			}
			return ""
		case fleet.RefusedOldRun:
			return "old"
		case fleet.RefusedLate:
			return "late"
		default:
			accepted = false
		}
	case call == "run-stop":
		accepted = u.model.Stop(now, o.run(), o.FencingToken)
	default:
		accepted = u.model.Hold(now, fleet.HoldOrder{LeaseUntilMs: o.UntilMs, Token: o.FencingToken, AckedSequence: o.LastSeen})
	}
	if !accepted {
		return "fence"
	}
	return ""
}

// waitForEnd waits until a run has ended that the sender has not seen, but not longer than the order
// allows.
func (u *upstream) waitForEnd(o order, life int64) {
	for deadline := time.Now().Add(time.Duration(o.WaitMs) * time.Millisecond); time.Now().Before(deadline); time.Sleep(pollEnds) {
		u.mu.Lock()
		over := u.down || u.bornMs != life || u.model.HasEndsAfter(time.Now(), o.LastSeen)
		u.mu.Unlock()
		if over {
			return
		}
	}
}

// respond sends the response to an order. u.mu is held.
func (u *upstream) respond(w http.ResponseWriter, call string, o order, reason string) {
	report := u.model.Report(time.Now(), o.LastSeen)
	body := map[string]any{"ClockMs": report.ClockMs, "born": u.bornMs}
	if call == "hold" {
		running, ended := [][]any{}, [][]any{}
		for _, t := range report.Running {
			running = append(running, []any{taskName(t.Run.Task), t.Run.Number, "", t.Percent, 0})
		}
		for _, e := range report.Ended {
			ended = append(ended, []any{e.Sequence, taskName(e.Run.Task), e.Run.Number, string(e.End), ""})
		}
		body["Running"], body["Ended"] = running, ended
	}
	status := http.StatusOK
	if reason != "" {
		body["Reason"] = reason
		status = http.StatusConflict
	}
	raw, _ := json.Marshal(body) // cannot fail
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw) // fails only if the caller has left
}

// taskName returns the name of a task.
func taskName(t fleet.TaskRef) string { return t.Job + ".0.0." + strconv.Itoa(t.Index) }
