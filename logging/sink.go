// Package logging writes structured log lines without ever blocking the code that
// logs. Lines are queued in a buffer of limited size, and a separate goroutine writes
// them out. If the output stalls and the buffer fills up, lines about routine events
// are dropped first and lines about failures last. When the output accepts lines again,
// the numbers of dropped lines are logged.
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

// Class is the importance of a line. It determines which lines are dropped when the
// buffer fills up.
type Class int

// The classes, least important first.
const (
	Routine  Class = iota // successes in regular operation
	Decision              // other lines below the warning level
	Failure               // warnings and errors
	classes  = 3
)

func (c Class) String() string { return [classes]string{"routine", "decision", "failure"}[c] }

// DefaultBuffer is the recommended size of the buffer in bytes. It holds the lines of
// several seconds at the highest load.
const DefaultBuffer = 1 << 20

// maxFill is the fraction of the buffer that may be in use with a new line of each class. If it
// would be exceeded, the line is dropped.
var maxFill = [classes]float64{0.5, 0.75, 1}

// Sink is a bounded buffer of log lines and the goroutine that writes them out.
type Sink struct {
	out      io.Writer
	maxBytes int

	mu              sync.Mutex
	stateChanged    *sync.Cond
	queued          bytes.Buffer
	unreportedDrops [classes]uint64 // dropped lines that reportDropped has not reported yet
	totalDropped    [classes]uint64
	failedWrites    uint64 // writes to the output that returned an error
	closed          bool
	idle            bool // the goroutine that writes is waiting for lines or has ended
}

// NewSink returns a sink that writes to out and buffers at most maxBytes. It must be
// closed after use.
func NewSink(out io.Writer, maxBytes int) *Sink {
	s := &Sink{out: out, maxBytes: maxBytes}
	s.stateChanged = sync.NewCond(&s.mu)
	go s.run()
	return s
}

// Put queues a line, which must end with a newline. It drops the line if the buffer is
// too full for its class or the sink is closed.
func (s *Sink) Put(class Class, line []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.queued.Len()+len(line) > int(maxFill[class]*float64(s.maxBytes)) {
		s.unreportedDrops[class]++
		s.totalDropped[class]++
		return
	}
	s.queued.Write(line)
	if s.idle {
		s.stateChanged.Broadcast()
	}
}

// run writes the queued lines to the output until the sink is closed.
func (s *Sink) run() {
	var batch bytes.Buffer
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		for s.queued.Len() == 0 && !s.closed {
			s.idle = true
			s.stateChanged.Broadcast()
			s.stateChanged.Wait()
		}
		s.idle = false
		if s.queued.Len() == 0 {
			s.idle = true
			s.stateChanged.Broadcast()
			return
		}
		batch.Reset()
		batch, s.queued = s.queued, batch
		s.reportDropped(&batch)
		s.mu.Unlock()
		_, err := s.out.Write(batch.Bytes())
		s.mu.Lock()
		if err != nil {
			s.failedWrites++ // the error cannot be logged; Dropped returns the count
		}
	}
}

// reportDropped adds a line with the numbers of dropped lines to batch, if there are any.
// The caller must hold s.mu.
func (s *Sink) reportDropped(batch *bytes.Buffer) {
	if s.unreportedDrops == [classes]uint64{} {
		return
	}
	event.LogDropped.Log(slog.New(slog.NewJSONHandler(batch, nil)),
		slog.Uint64("routine", s.unreportedDrops[Routine]), slog.Uint64("decision", s.unreportedDrops[Decision]), slog.Uint64("failure", s.unreportedDrops[Failure]))
	s.unreportedDrops = [classes]uint64{}
}

// Dropped returns how many lines of each class have been dropped so far, and how many writes
// to the output have failed.
func (s *Sink) Dropped() (byClass map[string]uint64, failedWrites uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	byClass = map[string]uint64{}
	for c := range Class(classes) {
		byClass[c.String()] = s.totalDropped[c]
	}
	return byClass, s.failedWrites
}

// Close waits until the queued lines have been written, and stops the sink. If that takes
// longer than timeout, it discards the remaining lines.
func (s *Sink) Close(timeout time.Duration) {
	timer := time.AfterFunc(timeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.queued.Reset()
		s.idle = true // do not wait for a stalled write
		s.stateChanged.Broadcast()
	})
	defer timer.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.stateChanged.Broadcast()
	for !s.idle || s.queued.Len() > 0 {
		s.stateChanged.Wait()
	}
}

// Handler returns an slog handler that queues records as JSON lines. The class of a record is
//   - Routine if it has an attribute with the key RoutineKey,
//   - otherwise Failure if its level is Warn or above,
//   - otherwise Decision.
func (s *Sink) Handler(level slog.Leveler) slog.Handler {
	buffer := &bytes.Buffer{}
	return &handler{sink: s, line: &lineBuffer{buffer: buffer}, json: slog.NewJSONHandler(buffer, &slog.HandlerOptions{Level: level, ReplaceAttr: replaceAttr})}
}

// RoutineKey is the key of an attribute that marks a record as routine. The attribute is
// not written.
const RoutineKey = "-routine"

// replaceAttr converts durations to milliseconds and removes the RoutineKey attribute.
func replaceAttr(groups []string, a slog.Attr) slog.Attr {
	switch {
	case a.Key == RoutineKey:
		return slog.Attr{}
	case a.Value.Kind() == slog.KindDuration:
		return slog.Float64(a.Key+"_ms", float64(a.Value.Duration().Microseconds())/1000)
	default:
		return a
	}
}

// lineBuffer is the buffer in which the handlers of a sink encode one line at a time.
type lineBuffer struct {
	mu     sync.Mutex
	buffer *bytes.Buffer
}

type handler struct {
	sink *Sink
	line *lineBuffer
	json slog.Handler
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
	h.line.mu.Lock()
	defer h.line.mu.Unlock()
	h.line.buffer.Reset()
	if err := h.json.Handle(ctx, r); err != nil {
		return err
	}
	h.sink.Put(class, h.line.buffer.Bytes())
	return nil
}

// WithAttrs implements slog.Handler.
func (h *handler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return &handler{h.sink, h.line, h.json.WithAttrs(attrs)}
}

// WithGroup implements slog.Handler.
func (h *handler) WithGroup(name string) slog.Handler {
	return &handler{h.sink, h.line, h.json.WithGroup(name)}
}
