package experiment

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/fate"
	"github.com/sedgehatch/sedgehatch/standin"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what came of a load. Ratios compare a response, from the moment
// that it was due to be sent, with the longest true run time in its job.
type Report struct {
	Jobs            int64      `json:"jobs"`
	Tasks           int64      `json:"tasks"`
	Complete        int64      `json:"complete"`
	Failed          int64      `json:"failed"`
	NotRun          int64      `json:"not_run"`
	Unknown         int64      `json:"unknown"`
	Unanswered      int64      `json:"unanswered"`
	DuplicateStarts int64      `json:"duplicate_starts"`
	Violations      []string   `json:"violations"`
	MessagesPerTask float64    `json:"messages_per_task"`
	WastedPerTask   float64    `json:"wasted_per_task"`
	RatioP50        float64    `json:"response_ratio_p50"`
	RatioP99        float64    `json:"response_ratio_p99"`
	RefusalP99Ms    float64    `json:"refusal_p99_ms"`
	GoodputShare    float64    `json:"goodput_share"` // run time of jobs completed under load, of all slots' time
	Resubmissions   int64      `json:"resubmissions"`
	Losses          LossReport `json:"losses"`
	// Reasons counts the answers that are not complete, and the errors, by cause.
	Reasons  map[string]int   `json:"reasons"`
	Sent     map[string]int64 `json:"sent"`
	Wasted   map[string]int64 `json:"wasted"`
	Services []ServiceReport  `json:"services"`
}

// LossReport is what became of the jobs that were in flight at an entry when
// that was killed. First is the fate of the key that was in flight; Final, what
// the caller had in the end, after a new key where the first was not run.
type LossReport struct {
	Entries   int                 `json:"entries"`
	Jobs      int                 `json:"jobs"`
	First     map[fate.Kind]int   `json:"first"`
	Reasons   map[fate.Reason]int `json:"reasons"`
	Final     map[fate.Kind]int   `json:"final"`
	AnswerP50 float64             `json:"answer_ms_p50"` // from the loss to the answer
	AnswerP99 float64             `json:"answer_ms_p99"`
}

// ServiceReport is the part of one service.
type ServiceReport struct {
	Name     string  `json:"name"`
	Jobs     int64   `json:"jobs"`
	Complete int64   `json:"complete"`
	NotRun   int64   `json:"not_run"`
	RatioP50 float64 `json:"response_ratio_p50"`
	RatioP99 float64 `json:"response_ratio_p99"`
	MsP50    float64 `json:"response_ms_p50"`
	MsP99    float64 `json:"response_ms_p99"`
}

// note takes the answer of one job.
func (r *run) note(s *serviceRun, job client.Job, answer api.Answer, err error, idealMs float64, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Jobs++
	s.report.Jobs++
	r.report.Tasks += int64(len(job.Tasks))
	if err != nil {
		r.report.Reasons[failure.Code(err)]++
		r.refused(s, err, took)
		return
	}
	if answer.Fate != fate.Complete {
		r.report.Reasons[string(answer.Fate)+" "+string(answer.Reason)]++
	}
	switch answer.Fate {
	case fate.Complete:
		r.complete(s, job, &answer, idealMs, took)
	case fate.Failed:
		r.report.Failed++
	case fate.NotRun:
		r.report.NotRun++
		s.report.NotRun++
		_ = r.refusals.RecordValue(took.Microseconds())
	case fate.Unknown:
		r.report.Unknown++
	default:
		r.report.Unanswered++
	}
}

func (r *run) refused(s *serviceRun, err error, took time.Duration) {
	if failure.Is(err, failure.Overloaded) {
		r.report.NotRun++
		s.report.NotRun++
		_ = r.refusals.RecordValue(took.Microseconds())
		return
	}
	r.report.Unanswered++
}

func (r *run) complete(s *serviceRun, job client.Job, answer *api.Answer, idealMs float64, took time.Duration) {
	r.report.Complete++
	s.report.Complete++
	if len(answer.Tasks) != len(job.Tasks) {
		r.report.Violations = append(r.report.Violations, "a complete answer lacks results")
	}
	ratio := float64(took.Microseconds()) / 1000 / idealMs
	_ = r.ratios.RecordValue(int64(ratio * ratioScale))
	_ = s.ratios.RecordValue(int64(ratio * ratioScale))
	_ = s.micros.RecordValue(took.Microseconds())
	if at := time.Since(r.began); at < r.warmUp() || at > r.load.Duration {
		return
	}
	for i := range job.Tasks {
		var w standin.TaskPayload
		if json.Unmarshal(job.Tasks[i].Payload, &w) == nil {
			r.goodMs += float64(w.SleepUs) / 1000
		}
	}
}

// warmUp is left out of the goodput: no job can have ended at first.
func (r *run) warmUp() time.Duration { return r.load.Duration / 4 }

// finish works the figures out, and checks what must always hold.
func (r *run) finish(sentBefore, wastedBefore map[string]int64) {
	sent, wasted := r.c.Messages()
	subtract(sent, sentBefore)
	subtract(wasted, wastedBefore)
	p := &r.report
	p.Sent, p.Wasted = sent, wasted
	p.Resubmissions = r.resubmits.Load()
	tasks := float64(max(p.Tasks, 1))
	p.MessagesPerTask = float64(sum(sent)) / tasks
	p.WastedPerTask = float64(sum(wasted)) / tasks
	p.RatioP50, p.RatioP99 = quantiles(r.ratios, ratioScale)
	_, p.RefusalP99Ms = quantiles(r.refusals, 1000)
	slots := float64(len(r.c.Upstreams) * r.c.Spec.Slots)
	p.GoodputShare = r.goodMs / (slots * float64((r.load.Duration - r.warmUp()).Milliseconds()))
	_, twice := r.c.Recorder.Starts()
	p.DuplicateStarts = int64(len(twice))
	if leaked := r.c.LeakedSlots(); leaked > 0 {
		p.Violations = append(p.Violations, strconv.Itoa(leaked)+" places are held though no job runs")
	}
	for _, task := range twice {
		p.Violations = append(p.Violations, "started twice: "+task)
	}
	p.Losses = r.losses()
	for _, s := range r.services {
		s.report.RatioP50, s.report.RatioP99 = quantiles(s.ratios, ratioScale)
		s.report.MsP50, s.report.MsP99 = quantiles(s.micros, 1000)
		p.Services = append(p.Services, s.report)
	}
}

func quantiles(h *hdrhistogram.Histogram, scale float64) (p50, p99 float64) {
	return float64(h.ValueAtQuantile(50)) / scale, float64(h.ValueAtQuantile(99)) / scale
}

func subtract(from, what map[string]int64) {
	for k, n := range what {
		from[k] -= n
	}
}

func sum(m map[string]int64) int64 {
	total := int64(0)
	for _, n := range m {
		total += n
	}
	return total
}

// losses finds the jobs that were in flight at entries when those were killed.
func (r *run) losses() LossReport {
	report := LossReport{First: map[fate.Kind]int{}, Final: map[fate.Kind]int{}, Reasons: map[fate.Reason]int{}}
	took := hdrhistogram.New(1, maxMicros, significance)
	for _, loss := range r.c.Losses() {
		report.Entries++
		for _, j := range r.jobs {
			if j.home != loss.Name || loss.At.Before(j.began) || loss.At.After(j.ended) {
				continue
			}
			report.Jobs++
			report.First[j.first.Fate]++
			report.Final[j.final.Fate]++
			if j.first.Fate != fate.Complete {
				report.Reasons[j.first.Reason]++
			}
			_ = took.RecordValue(j.ended.Sub(loss.At).Microseconds())
		}
	}
	report.AnswerP50, report.AnswerP99 = quantiles(took, 1000)
	return report
}
