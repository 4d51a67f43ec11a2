package logging

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"time"
)

// stalled is an output that takes nothing until it is opened.
type stalled struct {
	gate chan struct{}
	mu   sync.Mutex
	got  bytes.Buffer
}

func (s *stalled) Write(p []byte) (int, error) {
	<-s.gate
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.got.Write(p)
}

// TestStalledOutput logs far more than the buffer holds while the output takes
// nothing: nobody waits, ordinary lines go first, failures stay, and the drops
// are told.
func TestStalledOutput(t *testing.T) {
	out := &stalled{gate: make(chan struct{})}
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
		t.Errorf("dropped %v", dropped)
	}
	close(out.gate)
	sink.Close(10 * time.Second)
	log.Warn("after the end")
	text := out.got.String()
	if n := strings.Count(text, `"failure"`); n < 20 {
		t.Errorf("%d of 20 failures are left", n)
	}
	if !strings.Contains(text, `"log_dropped"`) {
		t.Error("the drops are not told")
	}
	if strings.Contains(text, RoutineKey) {
		t.Error("the mark of routine lines was written")
	}
}

// TestCloseOnStalledOutput ends a sink whose output never takes anything.
func TestCloseOnStalledOutput(t *testing.T) {
	out := &stalled{gate: make(chan struct{})}
	defer close(out.gate)
	sink := NewSink(out, 1000)
	sink.Put(Failure, []byte("line\n"))
	sink.Close(time.Millisecond)
}

// TestMilliseconds writes durations with their unit.
func TestMilliseconds(t *testing.T) {
	var out bytes.Buffer
	sink := NewSink(&out, DefaultBuffer)
	slog.New(sink.Handler(slog.LevelInfo)).Info("x", slog.Duration("took", 1500*time.Microsecond))
	sink.Close(time.Second)
	if !strings.Contains(out.String(), `"took_ms":1.5`) {
		t.Error(out.String())
	}
}
