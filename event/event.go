// Package event defines the log events of sedgehatch and their numbers.
// docs/EVENTS.md is the catalogue for operators; a test checks that it matches
// this package.
package event

import (
	"context"
	"log/slog"
)

// Event is one kind of log event. Its number never changes and is never reused
// for another event.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
	// Meaning is the description in the operators' catalogue.
	Meaning string
}

// The events. Numbers 1xx concern the instance, 2xx permit logs and the outcomes
// of jobs, 3xx upstreams and brokers, 4xx membership, 5xx settings and the
// platform.
var (
	LogDropped        = add(1, "log_dropped", slog.LevelWarn, "Lines were dropped because the output stalled: so many of each class since the last such line.")
	Started           = add(101, "started", slog.LevelInfo, "The instance takes callers.")
	Draining          = add(102, "draining", slog.LevelInfo, "A planned stop began: no new sessions and jobs.")
	Drained           = add(103, "drained", slog.LevelInfo, "Nothing was in flight any more; the instance stops.")
	DrainTimeout      = add(104, "drain_timeout", slog.LevelWarn, "The grace of a planned stop ended with jobs in flight; their callers get honest fates from the witness.")
	ServeFailed       = add(105, "serve_failed", slog.LevelError, "A listener ended with an error.")
	LogOpened         = add(201, "log_opened", slog.LevelInfo, "A permit log was opened with a witness.")
	LogAlone          = add(202, "log_alone", slog.LevelWarn, "A permit log was opened without a witness, though settings ask for one: nobody else is there. If this instance is lost, its jobs are unknown.")
	LogSealed         = add(203, "log_sealed", slog.LevelWarn, "The witness sealed a log of this instance: it took this instance for lost. Running tasks go on; the rest is the witness's.")
	WitnessLost       = add(204, "witness_lost", slog.LevelWarn, "The witness of a log is lost; new work goes to a new log.")
	TakeoverBegan     = add(205, "takeover_began", slog.LevelWarn, "This instance, as witness, sealed a log of a lost home and goes on with its jobs.")
	UnknownFate       = add(206, "unknown_fate", slog.LevelWarn, "A caller was told unknown.")
	UpstreamLost      = add(301, "upstream_lost", slog.LevelWarn, "An upstream does not answer after a lease; the task's outcome is unknown.")
	UpstreamLeaving   = add(302, "upstream_leaving", slog.LevelInfo, "An upstream is leaving and gets no new tasks.")
	PeerAlive         = add(401, "peer_alive", slog.LevelInfo, "A peer is there.")
	PeerLost          = add(402, "peer_lost", slog.LevelWarn, "A peer is taken for lost.")
	PeerLeaving       = add(403, "peer_leaving", slog.LevelInfo, "A peer is leaving.")
	NeighboursChanged = add(404, "neighbours_changed", slog.LevelInfo, "The hubs of the availability zone, with whom this instance exchanges heartbeats, are others now.")
	PlatformLost      = add(501, "platform_lost", slog.LevelWarn, "The platform does not answer; all goes on from what is known.")
	PlatformBack      = add(502, "platform_back", slog.LevelInfo, "The platform answers again.")
	SettingsApplied   = add(503, "settings_applied", slog.LevelInfo, "A newer revision of the settings is in force here.")
	SettingsRefused   = add(504, "settings_refused", slog.LevelError, "A revision of the settings cannot be read here and was not applied.")

	// Events on the users' platform. Numbers 6xx concern the instance, 7xx jobs
	// and tasks, 8xx upstreams and groups, 9xx the store and the configuration.
	NodeStarted     = add(601, "node_started", slog.LevelInfo, "The instance takes customers.")
	NodeDraining    = add(602, "node_draining", slog.LevelInfo, "A planned stop began: customers are sent elsewhere, groups go to others.")
	NodeStopped     = add(603, "node_stopped", slog.LevelInfo, "A planned stop ended; drained tells whether everything was finished.")
	Reloaded        = add(604, "reloaded", slog.LevelInfo, "The settings file was read again.")
	SettingsFileBad = add(605, "settings_file_bad", slog.LevelError, "The settings file is wrong after a change; the former settings stay.")
	PeerUnsent      = add(606, "peer_unsent", slog.LevelWarn, "A message to a peer was not sent: no connection is open.")
	Resumed         = add(607, "resumed", slog.LevelWarn, "The machine of this instance was suspended for a while; what it believed before has aged by that.")
	ClockBlind      = add(608, "clock_blind", slog.LevelError, "The system does not tell suspended time: leases are too long by as much as the machine is suspended.")
	UpstreamsTold   = add(609, "upstreams_told", slog.LevelInfo, "A peer told the upstreams of the availability zone, which the store does not.")
	UpstreamsUntold = add(610, "upstreams_untold", slog.LevelWarn, "A peer was asked for the upstreams of the availability zone, and did not tell them; another is asked.")
	JobAnswered     = add(701, "job_answered", slog.LevelInfo, "A job is complete, and its customer was told.")
	JobNotServed    = add(702, "job_not_served", slog.LevelWarn, "A job was refused, failed, or lost; verdict and reason tell why.")
	TaskStarted     = add(703, "task_started", slog.LevelInfo, "A start was ordered: room is what the upstream has left, in thousandths of a core.")
	TaskRetried     = add(704, "task_retried", slog.LevelInfo, "A run is over without success; its task waits again.")
	TaskStopped     = add(705, "task_stopped", slog.LevelInfo, "A stop was ordered.")
	TasksReturned   = add(706, "tasks_returned", slog.LevelInfo, "Tasks that found no room went back to their coordinator; none of them began.")
	OfferResult     = add(707, "offer_result", slog.LevelInfo, "The part of a job that a group had is over.")
	OfferLost       = add(708, "offer_lost", slog.LevelWarn, "The connection to an owner broke with an offer open: what became of its tasks is not known.")
	JobLate         = add(709, "job_late", slog.LevelInfo, "A job is complete, and later than its objective by the customer's estimate.")
	TaskSuspected   = add(710, "task_suspected", slog.LevelInfo, "An upstream crashed, or seems to have, while it ran a task; reason tells how many did.")
	UpstreamDoubted = add(801, "upstream_doubted", slog.LevelWarn, "An upstream fails or is slow, and gets nothing but a trial after a pause.")
	UpstreamTrusted = add(802, "upstream_trusted", slog.LevelInfo, "A doubted upstream completed a trial.")
	UpstreamSilent  = add(803, "upstream_silent", slog.LevelWarn, "An upstream does not answer; its leases are left to lapse.")
	UpstreamHeard   = add(804, "upstream_heard", slog.LevelInfo, "A silent upstream answers again.")
	UpstreamGone    = add(805, "upstream_gone", slog.LevelInfo, "The life of an upstream is over.")
	UpstreamFenced  = add(806, "upstream_fenced", slog.LevelWarn, "An upstream has seen a higher fencing token: another instance owns it.")
	ZoneEvacuated   = add(807, "zone_evacuated", slog.LevelWarn, "Operators have evacuated an availability zone: nothing new starts on its upstreams.")
	ZoneReturned    = add(808, "zone_returned", slog.LevelInfo, "The evacuation of an availability zone was taken back: its upstreams may be used again.")
	GroupTaken      = add(811, "group_taken", slog.LevelInfo, "This instance owns a group of upstreams now.")
	GroupLost       = add(812, "group_lost", slog.LevelWarn, "A peer owns a group under a higher token; this instance gave it up.")
	GroupReleased   = add(813, "group_released", slog.LevelInfo, "A drained group was let go in a planned stop.")
	GroupHanded     = add(814, "group_handed", slog.LevelInfo, "A group goes to a peer that is much larger or owns fewer, or in a planned stop to whoever takes it, one upstream after the other.")
	StoreLost       = add(901, "store_lost", slog.LevelWarn, "The platform's store does not answer; all goes on from what is known.")
	StoreBack       = add(902, "store_back", slog.LevelInfo, "The platform's store answers again.")
	ConfigApplied   = add(903, "config_applied", slog.LevelInfo, "A newer configuration is in force here.")
	ConfigRefused   = add(904, "config_refused", slog.LevelError, "A configuration cannot be read and was not applied.")
	EntryRefused    = add(905, "entry_refused", slog.LevelError, "An entry in the store cannot be read and was passed over.")
	RegisterFailed  = add(906, "register_failed", slog.LevelWarn, "The entry of this instance could not be written to the store; it is tried again.")
)

var catalogue []Event

func add(number int, name string, level slog.Level, meaning string) Event {
	e := Event{number, name, level, meaning}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events, sorted by number.
func Catalogue() []Event { return catalogue }

// Log writes the event to l with its number and attributes. It does nothing if l is
// nil or not enabled for the event's level.
func (e Event) Log(l *slog.Logger, attrs ...slog.Attr) {
	if l == nil || !l.Enabled(context.Background(), e.Level) {
		return
	}
	attrs = append([]slog.Attr{slog.Int("event", e.Number)}, attrs...)
	l.LogAttrs(context.Background(), e.Level, e.Name, attrs...)
}
