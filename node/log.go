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

// decisionEvents maps each kind of decision to its log event.
var decisionEvents = map[schedule.DecisionKind]event.Event{
	schedule.DecidedStart:       event.TaskStarted,
	schedule.DecidedRetry:       event.TaskRetried,
	schedule.DecidedStop:        event.TaskStopped,
	schedule.DecidedReturn:      event.TasksReturned,
	schedule.DecidedResult:      event.OfferResult,
	schedule.DecidedEject:       event.UpstreamDoubted,
	schedule.DecidedReadmit:     event.UpstreamTrusted,
	schedule.DecidedSilent:      event.UpstreamSilent,
	schedule.DecidedResponding:  event.UpstreamHeard,
	schedule.DecidedGone:        event.UpstreamGone,
	schedule.DecidedFenced:      event.UpstreamFenced,
	schedule.DecidedSuspect:     event.TaskSuspected,
	schedule.DecidedAdopt:       event.RunAdopted,
	schedule.DecidedAdoptFailed: event.AdoptionFailed,
	schedule.DecidedSpeed:       event.UpstreamSpeed,
}

const (
	// sampleInterval is the sampling rate of the log: one in sampleInterval of the offers
	// that end normally is logged, and one in sampleInterval of the jobs completed in time.
	sampleInterval = 50
	// maxPendingPerJob bounds the decisions that are buffered for one job; when there are
	// more, the buffered ones are logged. maxPendingJobs bounds the number of jobs with
	// buffered decisions; the decisions of further jobs are logged at once.
	maxPendingPerJob = 48
	maxPendingJobs   = 4096
)

// decisionLog logs the decisions of schedule.Pool. Decisions about a job are buffered until
// its offer ends. They are all logged if the offer did not end normally, and otherwise for
// one offer in sampleInterval.
type decisionLog struct {
	log          *slog.Logger
	mu           sync.Mutex
	pending      map[string][]pendingDecision
	normalOffers int // number of offers that ended normally
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
	p := pendingDecision{clock.Now(), group, token, d}
	if d.Job == "" {
		l.write(p, 0)
		return
	}
	lines, sample := l.buffer(p)
	for _, p := range lines {
		l.write(p, sample)
	}
}

// buffer adds a decision about a job to the buffer, and returns the decisions to be logged
// now. If they are a sample, it also returns how many offers they stand for, otherwise 0.
func (l *decisionLog) buffer(p pendingDecision) (write []pendingDecision, sample int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	pending, found := l.pending[p.Job]
	if !found && len(l.pending) >= maxPendingJobs {
		return []pendingDecision{p}, 0
	}
	if len(pending) == maxPendingPerJob {
		write, pending = pending, nil // the buffer is full: log it, since so many decisions are unusual
	}
	pending = append(pending, p)
	l.pending[p.Job] = pending
	if p.Kind != schedule.DecidedResult {
		return write, 0
	}
	delete(l.pending, p.Job)
	if !endedNormally(pending) {
		return append(write, pending...), 0
	}
	l.normalOffers++
	if l.normalOffers%sampleInterval != 0 {
		return write, 0
	}
	return append(write, pending...), sampleInterval
}

// endedNormally reports whether an offer was completed in time, without a retry, a stop or an
// adopted run.
func endedNormally(decisions []pendingDecision) bool {
	for _, p := range decisions {
		switch p.Kind {
		case schedule.DecidedRetry, schedule.DecidedStop, schedule.DecidedAdopt, schedule.DecidedAdoptFailed:
			return false
		case schedule.DecidedResult:
			if p.Late || p.Reason != string(schedule.Completed) {
				return false
			}
		}
	}
	return true
}

func (l *decisionLog) write(p pendingDecision, sample int) {
	attrs := []slog.Attr{slog.String("group", p.group), slog.Uint64("token", p.token)}
	if p.Job == "" {
		attrs = append(attrs, slog.Int("tasks", p.Task))
	} else {
		attrs = append(attrs, slog.Time("decided", p.at), slog.String("job", p.Job), slog.Int("task", p.Task))
	}
	if p.Coordinator != "" {
		attrs = append(attrs, slog.String("coordinator", p.Coordinator))
	}
	if p.Run > 0 {
		attrs = append(attrs, slog.Int("run", int(p.Run)))
	}
	if p.Upstream != "" {
		attrs = append(attrs, slog.String("upstream", p.Upstream), slog.Int64("room", p.FreeMilliCPU))
	}
	if p.Reason != "" {
		attrs = append(attrs, slog.String("reason", p.Reason))
	}
	attrs = append(attrs, slog.Int("queued", p.Queued), slog.Duration("age", p.Age))
	if p.Kind == schedule.DecidedResult {
		attrs = append(attrs, slog.Bool("late", p.Late))
	}
	decisionEvents[p.Kind].Log(l.log, markSampled(attrs, sample)...)
}

// markSampled adds the size of the sample to the attributes of a sampled line, if it is one,
// and marks the line as routine.
func markSampled(attrs []slog.Attr, sample int) []slog.Attr {
	if sample == 0 {
		return attrs
	}
	return append(attrs, slog.Int("one_of", sample), slog.Bool(logging.RoutineKey, true))
}

// DecisionMade implements owner.Observer.
func (n *Node) DecisionMade(group string, token uint64, d schedule.Decision) {
	n.decisions.record(group, token, d)
	n.countAdoption(d)
	if d.Kind == schedule.DecidedStop && d.Reason == schedule.ReasonLeaving {
		n.metrics.Add("runs_moved_leaving", 1)
	}
}

// RecordResponse implements ingress.Recorder.
func (n *Node) RecordResponse(r ingress.Record) {
	n.metrics.Add("answer_"+r.Route+"_"+string(r.Verdict), 1)
	if r.Verdict != ingress.Completed {
		n.metrics.Add("cause_"+string(r.Verdict)+": "+r.Reason, 1)
	} else if r.Late {
		n.metrics.Add("answer_"+r.Route+"_late", 1)
	}
	n.countOffers(r)
	n.metrics.Latencies.Observe("request_"+string(r.Verdict), r.Took)
	n.logResponse(r)
}

// logResponse logs the response to a customer. Of the jobs that were completed in time it
// logs one in sampleInterval.
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
	attrs := []slog.Attr{
		slog.String("job", r.Job), slog.String("route", r.Route), slog.Int("status", r.Status),
		slog.String("verdict", string(r.Verdict)), slog.String("reason", r.Reason), slog.Bool("begun", r.Begun),
		slog.Int("offers", r.Offers), slog.String("groups", r.Groups), slog.Int("tasks", r.Tasks), slog.Duration("took", r.Took),
		slog.Duration("patience", r.Timeout),
		slog.Duration("objective", r.Objective), slog.Uint64("config", r.ConfigVersion), slog.Int("owners", r.Owners),
		slog.Duration("owners_age", r.OwnersAge),
	}
	if r.Waits != "" {
		attrs = append(attrs, slog.Bool("probe", r.Probe), slog.String("waits", r.Waits))
	}
	e.Log(n.log, markSampled(attrs, sample)...)
}

// countOffers counts the offers made for a job, and what became of it if the reported waits showed
// that it would be late.
func (n *Node) countOffers(r ingress.Record) {
	n.metrics.Add("offers_"+string(r.Verdict), int64(r.Offers))
	switch {
	case r.RejectedAtOnce:
		n.metrics.Add("rejected_at_once", 1)
	case r.Probe && r.Verdict == ingress.Completed:
		n.metrics.Add("probes_served", 1)
	case r.Probe:
		n.metrics.Add("probes_not_served", 1)
	}
}
