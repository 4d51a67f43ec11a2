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

// eventOf is the log event of each kind of decision.
var eventOf = map[schedule.DecisionKind]event.Event{
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
	// sampleOne of so many jobs that went well is told in full.
	sampleOne = 50
	// heldLines bounds the decisions that are held for one job, and heldJobs
	// the jobs for which any are held.
	heldLines = 48
	heldJobs  = 4096
)

// decisionLog writes what pools decide. What touches a job is held until its
// offer has ended: all of it is written if that went badly, else of one job in
// sampleOne.
type decisionLog struct {
	log  *slog.Logger
	mu   sync.Mutex
	jobs map[string][]heldDecision
	good int // offers that went well
}

type heldDecision struct {
	at    time.Time
	group string
	token uint64
	schedule.Decision
}

func newDecisionLog(log *slog.Logger) *decisionLog {
	return &decisionLog{log: log, jobs: map[string][]heldDecision{}}
}

func (l *decisionLog) decided(group string, token uint64, d schedule.Decision) {
	h := heldDecision{clock.Now(), group, token, d}
	if d.Job == "" {
		l.write(h, 0)
		return
	}
	held, sample := l.hold(h)
	for _, h := range held {
		l.write(h, sample)
	}
}

// hold keeps a decision on a job and returns what is to be written now, with the
// size of the sample that it stands for, 0 for none.
func (l *decisionLog) hold(h heldDecision) (write []heldDecision, sample int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	held, known := l.jobs[h.Job]
	if !known && len(l.jobs) >= heldJobs {
		return []heldDecision{h}, 0
	}
	if len(held) == heldLines {
		write, held = held, nil // too many to go well
	}
	held = append(held, h)
	l.jobs[h.Job] = held
	if h.Kind != schedule.DecidedResult {
		return write, 0
	}
	delete(l.jobs, h.Job)
	if !wentWell(held) {
		return append(write, held...), 0
	}
	l.good++
	if l.good%sampleOne != 0 {
		return write, 0
	}
	return append(write, held...), sampleOne
}

// wentWell reports whether an offer needs no explanation.
func wentWell(held []heldDecision) bool {
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

func (l *decisionLog) write(h heldDecision, sample int) {
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
	eventOf[h.Kind].Log(l.log, sampled(attrs, sample)...)
}

// sampled marks a line that stands for others like it.
func sampled(attrs []slog.Attr, sample int) []slog.Attr {
	if sample == 0 {
		return attrs
	}
	return append(attrs, slog.Int("one_of", sample), slog.Bool(logging.RoutineKey, true))
}

// logAnswer writes the answer to a customer: of those in time one in sampleOne.
func (n *Node) logAnswer(r ingress.Record) {
	e, sample := event.JobAnswered, 0
	switch {
	case r.Verdict != ingress.Completed:
		e = event.JobNotServed
	case r.Late:
		e = event.JobLate
	default:
		if n.onTimeAnswers.Add(1)%sampleOne != 0 {
			return
		}
		sample = sampleOne
	}
	e.Log(n.log, sampled([]slog.Attr{
		slog.String("job", r.Job), slog.String("route", r.Route), slog.Int("status", r.Status),
		slog.String("verdict", string(r.Verdict)), slog.String("reason", r.Reason), slog.Bool("begun", r.Begun),
		slog.Int("offers", r.Offers), slog.String("groups", r.Groups), slog.Int("tasks", r.Tasks), slog.Duration("took", r.Took),
		slog.Duration("patience", r.Timeout),
		slog.Duration("objective", r.Objective), slog.Uint64("config", r.ConfigVersion), slog.Int("owners", r.Owners),
		slog.Duration("owners_age", r.OwnersAge),
	}, sample)...)
}
