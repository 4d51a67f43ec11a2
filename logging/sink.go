// Package logging writes structured log lines without ever holding up who logs:
// lines wait in a bounded buffer for a writer of their own. When the output
// stalls, ordinary lines are dropped first and failures last, and how many were
// dropped is told once there is room again.
package logging

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/event"
)

// Class is how much a line matters when not all can be kept.
type Class int

// The classes, least important first.
const (
	Routine  Class = iota // ordinary successes
	Decision              // everything else below a warning
	Failure               // warnings and errors
	classes  = 3
)

func (c Class) String() string { return [classes]string{"routine", "decision", "failure"}[c] }

// DefaultBuffer holds some seconds of lines at the highest load, in bytes.
const DefaultBuffer = 1 << 20

// share is the part of the buffer that a class and those below it may fill.
var share = [classes]float64{0.5, 0.75, 1}

// Sink is the buffer and its writer.
type Sink struct {
	out   io.Writer
	limit int

	mu      sync.Mutex
	wake    *sync.Cond
	queued  bytes.Buffer
	dropped [classes]uint64 // not told yet
	total   [classes]uint64
	failed  uint64 // writes that the output refused
	closed  bool
	idle    bool // the writer waits
}

// NewSink returns a sink that writes to out. Close ends it.
func NewSink(out io.Writer, limit int) *Sink {
	s := &Sink{out: out, limit: limit}
	s.wake = sync.NewCond(&s.mu)
	go s.write()
	return s
}

// Put queues a line, which ends with a newline, or drops it.
func (s *Sink) Put(class Class, line []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.queued.Len()+len(line) > int(share[class]*float64(s.limit)) {
		s.dropped[class]++
		s.total[class]++
		return
	}
	s.queued.Write(line)
	if s.idle {
		s.wake.Broadcast()
	}
}

// write passes the buffer on until the sink is closed.
func (s *Sink) write() {
	var batch bytes.Buffer
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for s.queued.Len() == 0 && !s.closed {
			s.idle = true
			s.wake.Broadcast()
			s.wake.Wait()
		}
		s.idle = false
		if s.queued.Len() == 0 {
			s.idle = true
			s.wake.Broadcast()
			return
		}
		batch.Reset()
		batch, s.queued = s.queued, batch
		s.tellDropped(&batch)
		s.mu.Unlock()
		_, err := s.out.Write(batch.Bytes())
		s.mu.Lock()
		if err != nil {
			s.failed++ // there is nowhere to tell it but the metrics
		}
	}
}

// tellDropped adds a line on what was dropped. The lock is held.
func (s *Sink) tellDropped(batch *bytes.Buffer) {
	if s.dropped == [classes]uint64{} {
		return
	}
	event.LogDropped.Log(slog.New(slog.NewJSONHandler(batch, nil)),
		slog.Uint64("routine", s.dropped[Routine]), slog.Uint64("decision", s.dropped[Decision]), slog.Uint64("failure", s.dropped[Failure]))
	s.dropped = [classes]uint64{}
}

// Dropped returns how many lines of each class were dropped, and how often the
// output refused to take some.
func (s *Sink) Dropped() (byClass map[string]uint64, refused uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byClass = map[string]uint64{}
	for c := range Class(classes) {
		byClass[c.String()] = s.total[c]
	}
	return byClass, s.failed
}

// Close writes what is queued, for as long as the output takes it within a
// limit, and ends the sink.
func (s *Sink) Close(limit time.Duration) {
	timer := time.AfterFunc(limit, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.queued.Reset()
		s.idle = true // a stalled write is left to itself
		s.wake.Broadcast()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.wake.Broadcast()
	for !s.idle || s.queued.Len() > 0 {
		s.wake.Wait()
	}
}

// Handler returns a handler of JSON lines for slog that queues them here.
// Warnings and errors are failures, all else is decisions; RoutineKey makes a
// line routine.
func (s *Sink) Handler(level slog.Leveler) slog.Handler {
	buffer := &bytes.Buffer{}
	return &handler{sink: s, shared: &shared{buffer: buffer}, json: slog.NewJSONHandler(buffer, &slog.HandlerOptions{Level: level, ReplaceAttr: replace})}
}

// RoutineKey is the key of an attribute that marks a line as routine. It is not
// written.
const RoutineKey = "-routine"

// replace writes durations as milliseconds, and leaves the mark out.
func replace(groups []string, a slog.Attr) slog.Attr {
	switch {
	case a.Key == RoutineKey:
		return slog.Attr{}
	case a.Value.Kind() == slog.KindDuration:
		return slog.Float64(a.Key+"_ms", float64(a.Value.Duration().Microseconds())/1000)
	default:
		return a
	}
}

// shared is the buffer in which one line at a time is encoded.
type shared struct {
	mu     sync.Mutex
	buffer *bytes.Buffer
}

type handler struct {
	sink   *Sink
	shared *shared
	json   slog.Handler
}

// Enabled implements slog.Handler.
func (h *handler) Enabled(ctx context.Context, l slog.Level) bool { return h.json.Enabled(ctx, l) }

// Handle implements slog.Handler.
func (h *handler) Handle(ctx context.Context, r slog.Record) error {
	class := Decision
	if r.Level >= slog.LevelWarn {
		class = Failure
	}
	r.Attrs(func(a slog.Attr) bool {
		if a.Key == RoutineKey {
			class = Routine
		}
		return class != Routine
	})
	h.shared.mu.Lock()
	defer h.shared.mu.Unlock()
	h.shared.buffer.Reset()
	if err := h.json.Handle(ctx, r); err != nil {
		return err
	}
	h.sink.Put(class, h.shared.buffer.Bytes())
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.sink, h.shared, h.json.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.sink, h.shared, h.json.WithGroup(name)}
}
