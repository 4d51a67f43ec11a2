package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalledWriter is an output whose writes block until gate is closed.
type stalledWriter struct {
	gate    chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (s *stalledWriter) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(p)
}

// TestStalledOutput logs far more lines than the buffer holds while the output is blocked. It
// checks that logging does not block, that lines of classes Routine and Decision are dropped
// but none of class Failure, and that the numbers of dropped lines are logged.
func TestStalledOutput(t *testing.T) {
	out := &stalledWriter{gate: make(chan struct{})}
	sink := NewSink(out, 20_000)
	log := slog.New(sink.Handler(slog.LevelInfo))
	for range 1000 {
		log.Info("ordinary", RoutineKey, true)
	}
	for range 1000 {
		log.Info("decision")
	}
	for range 20 {
		log.Warn("failure")
	}
	dropped, _ := sink.Dropped()
	if dropped["routine"] == 0 || dropped["decision"] == 0 || dropped["failure"] != 0 {
		t.Errorf("dropped lines by class: %v, want some of routine and decision, and none of failure", dropped)
	}
	close(out.gate)
	sink.Close(10 * time.Second)
	log.Warn("after the end")
	text := out.written.String()
	if n := strings.Count(text, `"failure"`); n < 20 {
		t.Errorf("only %d of 20 failures were written", n)
	}
	if !strings.Contains(text, `"log_dropped"`) {
		t.Error("the output has no line log_dropped with the numbers of dropped lines")
	}
	if strings.Contains(text, RoutineKey) {
		t.Error("the attribute RoutineKey was written to the output")
	}
}

// TestCloseOnStalledOutput checks that Close returns after its timeout if the output is blocked.
func TestCloseOnStalledOutput(t *testing.T) {
	out := &stalledWriter{gate: make(chan struct{})}
	defer close(out.gate)
	sink := NewSink(out, 1000)
	sink.Put(Failure, []byte("line\n"))
	sink.Close(time.Millisecond)
}

// TestMilliseconds checks that durations are written in milliseconds, with the unit in the
// key.
func TestMilliseconds(t *testing.T) {
	var out bytes.Buffer
	sink := NewSink(&out, DefaultBuffer)
	slog.New(sink.Handler(slog.LevelInfo)).Info("x", slog.Duration("took", 1500*time.Microsecond))
	sink.Close(time.Second)
	if !strings.Contains(out.String(), `"took_ms":1.5`) {
		t.Error(out.String())
	}
}
