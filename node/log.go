package node

import (
	"log/slog"
	"sync"
	"time"

	"github.com/sedgehatch/sedgehatch/clock"
	"github.com/sedgehatch/sedgehatch/event"
	"github.com/sedgehatch/sedgehatch/ingress"
	"github.com/sedgehatch/sedgehatch/logging"
	"github.com/sedgehatch/sedgehatch/schedule"
)

// decisionEvents is the log event of each kind of decision.
var decisionEvents = map[schedule.DecisionKind]event.Event{
	schedule.DecidedStart:      event.TaskStarted,
	schedule.DecidedRetry:      event.TaskRetried,
	schedule.DecidedStop:       event.TaskStopped,
	schedule.DecidedReturn:     event.TasksReturned,
	schedule.DecidedResult:     event.OfferResult,
	schedule.DecidedEject:      event.UpstreamDoubted,
	schedule.DecidedReadmit:    event.UpstreamTrusted,
	schedule.DecidedSilent:     event.UpstreamSilent,
	schedule.DecidedResponding: event.UpstreamHeard,
	schedule.DecidedGone:       event.UpstreamGone,
	schedule.DecidedFenced:     event.UpstreamFenced,
	schedule.DecidedSuspect:    event.TaskSuspected,
}

const (
	// sampleInterval of so many jobs that went well is told in full.
	sampleInterval = 50
	// maxPendingPerJob bounds the decisions that are held for one job, and heldJobs
	// the jobs for which any are held.
	maxPendingPerJob = 48
	maxPendingJobs   = 4096
)

// decisionLog writes what pools decide. What touches a job is held until its
// offer has ended: all of it is written if that went badly, else of one job in
// sampleOne.
type decisionLog struct {
	log          *slog.Logger
	mu           sync.Mutex
	pending      map[string][]pendingDecision
	normalOffers int // offers that went well
}

type pendingDecision struct {
	at    time.Time
	group string
	token uint64
	schedule.Decision
}

func newDecisionLog(log *slog.Logger) *decisionLog {
	return &decisionLog{log: log, pending: map[string][]pendingDecision{}}
}

func (l *decisionLog) record(group string, token uint64, d schedule.Decision) {
	h := pendingDecision{clock.Now(), group, token, d}
	if d.Job == "" {
		l.write(h, 0)
		return
	}
	held, sample := l.buffer(h)
	for _, h := range held {
		l.write(h, sample)
	}
}

// buffer keeps a decision on a job and returns what is to be written now, with the
// size of the sample that it stands for, 0 for none.
func (l *decisionLog) buffer(h pendingDecision) (write []pendingDecision, sample int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, known := l.pending[h.Job]
	if !known && len(l.pending) >= maxPendingJobs {
		return []pendingDecision{h}, 0
	}
	if len(held) == maxPendingPerJob {
		write, held = held, nil // too many to go well
	}
	held = append(held, h)
	l.pending[h.Job] = held
	if h.Kind != schedule.DecidedResult {
		return write, 0
	}
	delete(l.pending, h.Job)
	if !endedNormally(held) {
		return append(write, held...), 0
	}
	l.normalOffers++
	if l.normalOffers%sampleInterval != 0 {
		return write, 0
	}
	return append(write, held...), sampleInterval
}

// endedNormally reports whether an offer needs no explanation.
func endedNormally(held []pendingDecision) bool {
	for _, h := range held {
		switch h.Kind {
		case schedule.DecidedRetry, schedule.DecidedStop:
			return false
		case schedule.DecidedResult:
			if h.Late || h.Reason != string(schedule.Completed) {
				return false
			}
		}
	}
	return true
}

func (l *decisionLog) write(h pendingDecision, sample int) {
	attrs := []slog.Attr{slog.String("group", h.group), slog.Uint64("token", h.token)}
	if h.Job == "" {
		attrs = append(attrs, slog.Int("tasks", h.Task))
	} else {
		attrs = append(attrs, slog.Time("decided", h.at), slog.String("job", h.Job), slog.Int("task", h.Task))
	}
	if h.Coordinator != "" {
		attrs = append(attrs, slog.String("coordinator", h.Coordinator))
	}
	if h.Run > 0 {
		attrs = append(attrs, slog.Int("run", int(h.Run)))
	}
	if h.Upstream != "" {
		attrs = append(attrs, slog.String("upstream", h.Upstream), slog.Int64("room", h.FreeMilliCPU))
	}
	if h.Reason != "" {
		attrs = append(attrs, slog.String("reason", h.Reason))
	}
	attrs = append(attrs, slog.Int("queued", h.Queued), slog.Duration("age", h.Age))
	if h.Kind == schedule.DecidedResult {
		attrs = append(attrs, slog.Bool("late", h.Late))
	}
	decisionEvents[h.Kind].Log(l.log, markSampled(attrs, sample)...)
}

// markSampled marks a line that stands for others like it.
func markSampled(attrs []slog.Attr, sample int) []slog.Attr {
	if sample == 0 {
		return attrs
	}
	return append(attrs, slog.Int("one_of", sample), slog.Bool(logging.RoutineKey, true))
}

// logResponse writes the answer to a customer: of those in time one in sampleOne.
func (n *Node) logResponse(r ingress.Record) {
	e, sample := event.JobAnswered, 0
	switch {
	case r.Verdict != ingress.Completed:
		e = event.JobNotServed
	case r.Late:
		e = event.JobLate
	default:
		if n.onTimeResponses.Add(1)%sampleInterval != 0 {
			return
		}
		sample = sampleInterval
	}
	e.Log(n.log, markSampled([]slog.Attr{
		slog.String("job", r.Job), slog.String("route", r.Route), slog.Int("status", r.Status),
		slog.String("verdict", string(r.Verdict)), slog.String("reason", r.Reason), slog.Bool("begun", r.Begun),
		slog.Int("offers", r.Offers), slog.String("groups", r.Groups), slog.Int("tasks", r.Tasks), slog.Duration("took", r.Took),
		slog.Duration("patience", r.Timeout),
		slog.Duration("objective", r.Objective), slog.Uint64("config", r.ConfigVersion), slog.Int("owners", r.Owners),
		slog.Duration("owners_age", r.OwnersAge),
	}, sample)...)
}
