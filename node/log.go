package node

import (
	"log/slog"

	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// eventOf is the log event of each kind of decision.
var eventOf = map[schedule.DecisionKind]event.Event{
	schedule.DecidedStart:  event.TaskStarted,
	schedule.DecidedRetry:  event.TaskRetried,
	schedule.DecidedStop:   event.TaskStopped,
	schedule.DecidedReturn: event.TasksReturned,
	schedule.DecidedResult: event.OfferResult,
	schedule.DecidedDoubt:  event.UpstreamDoubted,
	schedule.DecidedTrust:  event.UpstreamTrusted,
	schedule.DecidedSilent: event.UpstreamSilent,
	schedule.DecidedHeard:  event.UpstreamHeard,
	schedule.DecidedGone:   event.UpstreamGone,
	schedule.DecidedFenced: event.UpstreamFenced,
}

func logDecision(log *slog.Logger, group string, token uint64, d schedule.Decision) {
	attrs := []slog.Attr{slog.String("group", group), slog.Uint64("token", token)}
	if d.Job != "" {
		attrs = append(attrs, slog.String("job", d.Job), slog.Int("task", d.Task))
	} else {
		attrs = append(attrs, slog.Int("tasks", d.Task))
	}
	if d.Run > 0 {
		attrs = append(attrs, slog.Int("run", int(d.Run)))
	}
	if d.Upstream != "" {
		attrs = append(attrs, slog.String("upstream", d.Upstream), slog.Int64("room", d.Room))
	}
	if d.Reason != "" {
		attrs = append(attrs, slog.String("reason", d.Reason))
	}
	attrs = append(attrs, slog.Int("queued", d.Queued), slog.Duration("age", d.Age))
	eventOf[d.Kind].Log(log, attrs...)
}

func logAnswer(log *slog.Logger, r ingress.Record) {
	e := event.JobAnswered
	if r.Verdict != ingress.Completed {
		e = event.JobNotServed
	}
	e.Log(log, slog.String("job", r.Job), slog.String("route", r.Route), slog.Int("status", r.Status),
		slog.String("verdict", string(r.Verdict)), slog.String("reason", r.Reason), slog.Bool("begun", r.Begun),
		slog.Int("offers", r.Offers), slog.Int("tasks", r.Tasks), slog.Duration("took", r.Took), slog.Uint64("config", r.ConfigVersion))
}
