// Package event defines the kinds of log events of sedgehatch, each with a number.
// The file docs/EVENTS.md lists them for operators; a test checks that it matches
// this package.
package event

import (
	"context"
	"log/slog"
)

// Event is one kind of log event. Its Number never changes, and is never given to
// another kind, even if this one is removed.
type Event struct {
	Number int
	Name   string
	Level  slog.Level
	// Meaning is the description in docs/EVENTS.md.
	Meaning string
}

// The events. Those with numbers 1xx concern the instance, 2xx permit logs and the
// outcomes of jobs, 3xx upstreams and brokers, 4xx the other instances, 5xx settings
// and the platform. A permit log is an instance's record of the task starts that it
// has permitted; its witness is another instance that keeps a copy of it. A broker is
// the instance that allocates the capacity of some upstreams.
var (
	LogDropped        = add(1, "log_dropped", slog.LevelWarn, "Log lines were dropped because the output stalled; the attributes give the number of each class since the last such line.")
	Started           = add(101, "started", slog.LevelInfo, "The instance accepts requests from callers.")
	Draining          = add(102, "draining", slog.LevelInfo, "A planned shutdown began: no new sessions and jobs are accepted.")
	Drained           = add(103, "drained", slog.LevelInfo, "No job is in flight any more, and the instance stops.")
	DrainTimeout      = add(104, "drain_timeout", slog.LevelWarn, "The time limit of a planned shutdown passed while jobs were in flight. Their callers learn the true outcomes from the witness.")
	ServeFailed       = add(105, "serve_failed", slog.LevelError, "A listener stopped with an error.")
	LogOpened         = add(201, "log_opened", slog.LevelInfo, "A permit log with a witness was opened.")
	LogAlone          = add(202, "log_alone", slog.LevelWarn, "A permit log was opened without a witness, although the settings require one, because no other instance is available. If this instance is lost, the outcomes of its jobs are unknown.")
	LogSealed         = add(203, "log_sealed", slog.LevelWarn, "The witness of a log of this instance considered this instance lost and sealed the log. Running tasks continue here; the witness takes over the rest.")
	WitnessLost       = add(204, "witness_lost", slog.LevelWarn, "The witness of a log is lost; new jobs are recorded in a new log.")
	TakeoverBegan     = add(205, "takeover_began", slog.LevelWarn, "This instance, the witness of a log, sealed the log because the instance that accepted its jobs is lost, and continues the jobs.")
	UnknownFate       = add(206, "unknown_fate", slog.LevelWarn, "A caller was told that the outcome of its job is unknown.")
	UpstreamLost      = add(301, "upstream_lost", slog.LevelWarn, "An upstream did not respond within the time limit when asked about the lease of a task; the outcome of the task is unknown.")
	UpstreamLeaving   = add(302, "upstream_leaving", slog.LevelInfo, "An upstream is leaving and gets no new tasks.")
	PeerAlive         = add(401, "peer_alive", slog.LevelInfo, "Another instance is alive.")
	PeerLost          = add(402, "peer_lost", slog.LevelWarn, "Another instance is considered lost.")
	PeerLeaving       = add(403, "peer_leaving", slog.LevelInfo, "Another instance is leaving.")
	NeighboursChanged = add(404, "neighbours_changed", slog.LevelInfo, "The hubs of the availability zone, with which this instance exchanges heartbeats, have changed.")
	Stalled           = add(405, "stalled", slog.LevelWarn, "The process of this instance was not scheduled for longer than the time after which silent instances are suspected. The silence of the others in that time counts only in part, because this instance could not receive their heartbeats.")
	PlatformLost      = add(501, "platform_lost", slog.LevelWarn, "The platform does not respond; the instance continues with the last known state.")
	PlatformBack      = add(502, "platform_back", slog.LevelInfo, "The platform responds again.")
	SettingsApplied   = add(503, "settings_applied", slog.LevelInfo, "A newer revision of the settings took effect on this instance.")
	SettingsRefused   = add(504, "settings_refused", slog.LevelError, "A revision of the settings cannot be read by this instance and was not applied.")

	// The events on the users' platform. Those with numbers 6xx concern the instance,
	// 7xx jobs and tasks, 8xx upstreams and groups of them, 9xx the store and the
	// configuration.
	NodeStarted     = add(601, "node_started", slog.LevelInfo, "The instance accepts requests from customers.")
	NodeDraining    = add(602, "node_draining", slog.LevelInfo, "A planned shutdown began: customers are directed to other instances, and groups of upstreams are handed over to them.")
	NodeStopped     = add(603, "node_stopped", slog.LevelInfo, "A planned shutdown ended; the attribute drained tells whether all work was finished.")
	Reloaded        = add(604, "reloaded", slog.LevelInfo, "The settings file was read again.")
	SettingsFileBad = add(605, "settings_file_bad", slog.LevelError, "The settings file is invalid after a change; the previous settings remain in force.")
	PeerUnsent      = add(606, "peer_unsent", slog.LevelWarn, "A message to another instance was not sent because no usable connection to it is open.")
	Resumed         = add(607, "resumed", slog.LevelWarn, "The machine of this instance was suspended for a while; all information received before is older by that duration.")
	ClockBlind      = add(608, "clock_blind", slog.LevelError, "The operating system does not report suspended time: leases last longer than intended by the time for which the machine is suspended.")
	UpstreamsTold   = add(609, "upstreams_told", slog.LevelInfo, "Another instance provided the list of upstreams of the availability zone or of owned groups, which the store did not provide.")
	UpstreamsUntold = add(610, "upstreams_untold", slog.LevelWarn, "Other instances were asked for a list of upstreams and did not provide it; different ones are asked next.")
	JobAnswered     = add(701, "job_answered", slog.LevelInfo, "A job was completed, and the response was sent to its customer.")
	JobNotServed    = add(702, "job_not_served", slog.LevelWarn, "A job was refused, failed or was lost; the attributes verdict and reason tell why.")
	TaskStarted     = add(703, "task_started", slog.LevelInfo, "An upstream was ordered to start a task; the attribute room is the capacity that remains free on it, in thousandths of a core.")
	TaskRetried     = add(704, "task_retried", slog.LevelInfo, "A run of a task ended without success; the task waits to run again.")
	TaskStopped     = add(705, "task_stopped", slog.LevelInfo, "An upstream was ordered to stop a run of a task.")
	TasksReturned   = add(706, "tasks_returned", slog.LevelInfo, "Tasks of a job were returned to their coordinator because there was no free capacity or the group starts no more tasks. None of them is running.")
	OfferResult     = add(707, "offer_result", slog.LevelInfo, "The part of a job that was offered to a group has ended.")
	OfferLost       = add(708, "offer_lost", slog.LevelWarn, "The connection to the owner of a group broke while an offer was open; the state of the offered tasks is unknown.")
	JobLate         = add(709, "job_late", slog.LevelInfo, "A job was completed later than its objective, which is derived from the customer's estimate.")
	TaskSuspected   = add(710, "task_suspected", slog.LevelInfo, "An upstream crashed, or appears to have crashed, while it ran a task; the attribute reason tells how many upstreams did.")
	OfferAdopting   = add(711, "offer_adopting", slog.LevelInfo, "The owner of a group was lost while an offer was open; the next owner is asked for the ends of the offered tasks.")
	RunAdopted      = add(712, "run_adopted", slog.LevelInfo, "A run that a former owner of the group had started counts for the job: it was done, or this instance takes it over while it is running; the attribute reason tells which.")
	AdoptionFailed  = add(713, "adoption_failed", slog.LevelWarn, "The tasks of a job that were lost with the former owner of the group cannot be completed; the attribute task gives how many, reason tells why.")
	JobCancelled    = add(714, "job_cancelled", slog.LevelInfo, "A customer cancelled a job that this instance does not coordinate. The attribute found tells whether another instance had it, unproved_groups how many groups may still run tasks of it.")
	UpstreamDoubted = add(801, "upstream_doubted", slog.LevelWarn, "An upstream fails or is slow. It gets no work during a pause, and then only a trial task.")
	UpstreamTrusted = add(802, "upstream_trusted", slog.LevelInfo, "An upstream that got no work after the event upstream_doubted completed its trial task and gets work again.")
	UpstreamSilent  = add(803, "upstream_silent", slog.LevelWarn, "An upstream does not respond; its leases are no longer renewed and will expire.")
	UpstreamHeard   = add(804, "upstream_heard", slog.LevelInfo, "A silent upstream responds again.")
	UpstreamGone    = add(805, "upstream_gone", slog.LevelInfo, "An upstream process ended or was restarted, or its entry in the store was removed.")
	UpstreamFenced  = add(806, "upstream_fenced", slog.LevelWarn, "An upstream has seen a higher fencing token than that of this instance: another instance owns it.")
	ZoneEvacuated   = add(807, "zone_evacuated", slog.LevelWarn, "Operators evacuated an availability zone: no new tasks start on its upstreams.")
	ZoneReturned    = add(808, "zone_returned", slog.LevelInfo, "Operators ended the evacuation of an availability zone: its upstreams may be used again.")
	UpstreamSpeed   = add(809, "upstream_speed", slog.LevelInfo, "Tasks always take longer or shorter on an upstream than on the others of its group, or do so no longer; the attribute reason tells which.")
	GroupTaken      = add(811, "group_taken", slog.LevelInfo, "This instance now owns a group of upstreams.")
	GroupLost       = add(812, "group_lost", slog.LevelWarn, "This instance gave up a group of upstreams, because another instance owns it under a higher fencing token or its upstreams do not accept this instance.")
	GroupReleased   = add(813, "group_released", slog.LevelInfo, "This instance released a group after draining it, in a planned shutdown or to hand it over to another owner.")
	GroupHanded     = add(814, "group_handed", slog.LevelInfo, "This instance began to hand over a group, one upstream after another: to an instance that is much larger or owns fewer groups, or, in a planned shutdown, to any instance that takes it.")
	StoreLost       = add(901, "store_lost", slog.LevelWarn, "The platform's store does not respond; the instance continues with the last known state.")
	StoreBack       = add(902, "store_back", slog.LevelInfo, "The platform's store responds again.")
	ConfigApplied   = add(903, "config_applied", slog.LevelInfo, "A newer configuration took effect on this instance.")
	ConfigRefused   = add(904, "config_refused", slog.LevelError, "A configuration cannot be read and was not applied.")
	EntryRefused    = add(905, "entry_refused", slog.LevelError, "An entry in the store cannot be read and was ignored.")
	RegisterFailed  = add(906, "register_failed", slog.LevelWarn, "The entry of this instance could not be written to the store; the write will be retried.")
)

var catalogue []Event

func add(number int, name string, level slog.Level, meaning string) Event {
	e := Event{number, name, level, meaning}
	catalogue = append(catalogue, e)
	return e
}

// Catalogue returns all events, sorted by number.
func Catalogue() []Event { return catalogue }

// Log logs an event of kind e to l, with the number of e and the given attributes. It
// does nothing if l is nil or not enabled for the level of e.
func (e Event) Log(l *slog.Logger, attrs ...slog.Attr) {
	if l == nil || !l.Enabled(context.Background(), e.Level) {
		return
	}
	attrs = append([]slog.Attr{slog.Int("event", e.Number)}, attrs...)
	l.LogAttrs(context.Background(), e.Level, e.Name, attrs...)
}
