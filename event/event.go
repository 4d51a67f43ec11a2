// Package event numbers the log events of sedgehatch. docs/EVENTS.md is the
// catalogue for operators; a test keeps the two alike.
package event

import (
	"context"
	"log/slog"
)

// Event is one kind of log event. Its number never changes and is never used
// again for another.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
	// Meaning is what operators read in the catalogue.
	Meaning string
}

// The events. 1xx: the instance; 2xx: logs and fates; 3xx: upstreams and
// brokers; 4xx: membership; 5xx: settings and platform.
var (
	Started         = add(101, "started", slog.LevelInfo, "The instance takes callers.")
	Draining        = add(102, "draining", slog.LevelInfo, "A planned stop began: no new sessions and jobs.")
	Drained         = add(103, "drained", slog.LevelInfo, "Nothing was in flight any more; the instance stops.")
	DrainTimeout    = add(104, "drain_timeout", slog.LevelWarn, "The grace of a planned stop ended with jobs in flight; their callers get honest fates from the witness.")
	ServeFailed     = add(105, "serve_failed", slog.LevelError, "A listener ended with an error.")
	LogOpened       = add(201, "log_opened", slog.LevelInfo, "A permit log was opened with a witness.")
	LogAlone        = add(202, "log_alone", slog.LevelWarn, "A permit log was opened without a witness, though settings ask for one: nobody else is there. If this instance is lost, its jobs are unknown.")
	LogSealed       = add(203, "log_sealed", slog.LevelWarn, "The witness sealed a log of this instance: it took this instance for lost. Running tasks go on; the rest is the witness's.")
	WitnessLost     = add(204, "witness_lost", slog.LevelWarn, "The witness of a log is lost; new work goes to a new log.")
	TakeoverBegan   = add(205, "takeover_began", slog.LevelWarn, "This instance, as witness, sealed a log of a lost home and goes on with its jobs.")
	UnknownFate     = add(206, "unknown_fate", slog.LevelWarn, "A caller was told unknown.")
	UpstreamLost    = add(301, "upstream_lost", slog.LevelWarn, "An upstream does not answer after a lease; the task's outcome is unknown.")
	UpstreamLeaving = add(302, "upstream_leaving", slog.LevelInfo, "An upstream is leaving and gets no new tasks.")
	PeerAlive       = add(401, "peer_alive", slog.LevelInfo, "A peer is there.")
	PeerLost        = add(402, "peer_lost", slog.LevelWarn, "A peer is taken for lost.")
	PeerLeaving     = add(403, "peer_leaving", slog.LevelInfo, "A peer is leaving.")
	PlatformLost    = add(501, "platform_lost", slog.LevelWarn, "The platform does not answer; all goes on from what is known.")
	PlatformBack    = add(502, "platform_back", slog.LevelInfo, "The platform answers again.")
	SettingsApplied = add(503, "settings_applied", slog.LevelInfo, "A newer revision of the settings is in force here.")
	SettingsRefused = add(504, "settings_refused", slog.LevelError, "A revision of the settings cannot be read here and was not applied.")
)

var catalogue []Event

func add(number int, name string, level slog.Level, meaning string) Event {
	e := Event{number, name, level, meaning}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns every event, in the order of their numbers.
func Catalogue() []Event { return catalogue }

// Log writes the event with its number and attributes.
func (e Event) Log(l *slog.Logger, attrs ...slog.Attr) {
	if l == nil || !l.Enabled(context.Background(), e.Level) {
		return
	}
	attrs = append([]slog.Attr{slog.Int("event", e.Number)}, attrs...)
	l.LogAttrs(context.Background(), e.Level, e.Name, attrs...)
}
