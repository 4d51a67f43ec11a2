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

// Report is the result of a load. The response ratio of a job is its response time,
// counted from the time at which the job was due to be sent, divided by the actual
// run time of its longest task.
type Report struct {
	Jobs            int64    `json:"jobs"`
	Tasks           int64    `json:"tasks"`
	Complete        int64    `json:"complete"`
	Failed          int64    `json:"failed"`
	NotRun          int64    `json:"not_run"`
	Unknown         int64    `json:"unknown"`
	Unanswered      int64    `json:"unanswered"`
	DuplicateStarts int64    `json:"duplicate_starts"`
	Violations      []string `json:"violations"`
	MessagesPerTask float64  `json:"messages_per_task"`
	WastedPerTask   float64  `json:"wasted_per_task"`
	RatioP50        float64  `json:"response_ratio_p50"`
	RatioP99        float64  `json:"response_ratio_p99"`
	RefusalP99Ms    float64  `json:"refusal_p99_ms"`
	// GoodputShare is the total run time of the tasks of all jobs that completed
	// between the end of the warm-up and the end of the load, divided by the time of
	// all slots in that period.
	GoodputShare  float64    `json:"goodput_share"`
	Resubmissions int64      `json:"resubmissions"`
	Losses        LossReport `json:"losses"`
	// Reasons counts the answers with a fate other than complete, by fate and reason,
	// and the errors that callers got instead of an answer, by error code.
	Reasons  map[string]int   `json:"reasons"`
	Sent     map[string]int64 `json:"sent"`
	Wasted   map[string]int64 `json:"wasted"`
	Services []ServiceReport  `json:"services"`
}

// LossReport describes the jobs whose home was killed while they were in flight.
// First counts the fates under the key that was in flight. Final counts the fates
// that callers got in the end: if it is certain that a job did not run, its caller
// submits the job again under a new key, and Final counts the fate under that key.
type LossReport struct {
	Entries     int                 `json:"entries"` // kills of entry instances
	Jobs        int                 `json:"jobs"`
	First       map[fate.Kind]int   `json:"first"`
	Reasons     map[fate.Reason]int `json:"reasons"` // of the fates in First that are not complete
	Final       map[fate.Kind]int   `json:"final"`
	AnswerP50Ms float64             `json:"answer_ms_p50"` // from the kill to the answer
	AnswerP99Ms float64             `json:"answer_ms_p99"`
}

// ServiceReport is the part of a Report for one service.
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

// recordAnswer adds the answer to one job to the report, or err if there is no answer.
func (r *loadRun) recordAnswer(s *serviceRun, job client.Job, answer api.Answer, err error, idealMs float64, elapsed time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Jobs++
	s.report.Jobs++
	r.report.Tasks += int64(len(job.Tasks))
	if err != nil {
		r.report.Reasons[failure.Code(err)]++
		r.recordRefusal(s, err, elapsed)
		return
	}
	if answer.Fate != fate.Complete {
		r.report.Reasons[string(answer.Fate)+" "+string(answer.Reason)]++
	}
	switch answer.Fate {
	case fate.Complete:
		r.recordComplete(s, job, &answer, idealMs, elapsed)
	case fate.Failed:
		r.report.Failed++
	case fate.NotRun:
		r.report.NotRun++
		s.report.NotRun++
		_ = r.refusalMicros.RecordValue(elapsed.Microseconds())
	case fate.Unknown:
		r.report.Unknown++
	default:
		r.report.Unanswered++
	}
}

func (r *loadRun) recordRefusal(s *serviceRun, err error, elapsed time.Duration) {
	if failure.Is(err, failure.Overloaded) {
		r.report.NotRun++
		s.report.NotRun++
		_ = r.refusalMicros.RecordValue(elapsed.Microseconds())
		return
	}
	r.report.Unanswered++
}

func (r *loadRun) recordComplete(s *serviceRun, job client.Job, answer *api.Answer, idealMs float64, elapsed time.Duration) {
	r.report.Complete++
	s.report.Complete++
	if len(answer.Tasks) != len(job.Tasks) {
		r.report.Violations = append(r.report.Violations, "a complete answer lacks results")
	}
	ratio := float64(elapsed.Microseconds()) / 1000 / idealMs
	_ = r.responseRatios.RecordValue(int64(ratio * ratioScale))
	_ = s.responseRatios.RecordValue(int64(ratio * ratioScale))
	_ = s.responseMicros.RecordValue(elapsed.Microseconds())
	if at := time.Since(r.startTime); at < r.warmUp() || at > r.load.Duration {
		return
	}
	for i := range job.Tasks {
		var payload standin.TaskPayload
		if json.Unmarshal(job.Tasks[i].Payload, &payload) == nil {
			r.goodputMs += float64(payload.SleepUs) / 1000
		}
	}
}

// warmUp returns the length of the first part of the load. The goodput leaves this
// part out, because no job can complete at the very start of the load.
func (r *loadRun) warmUp() time.Duration { return r.load.Duration / 4 }

// computeReport computes the figures of the report, except those that recordAnswer
// has counted, and checks that no task was started twice and no slot was leaked.
func (r *loadRun) computeReport(sentBefore, wastedBefore map[string]int64) {
	sent, wasted := r.c.Messages()
	subtract(sent, sentBefore)
	subtract(wasted, wastedBefore)
	report := &r.report
	report.Sent, report.Wasted = sent, wasted
	report.Resubmissions = r.resubmissions.Load()
	tasks := float64(max(report.Tasks, 1))
	report.MessagesPerTask = float64(sum(sent)) / tasks
	report.WastedPerTask = float64(sum(wasted)) / tasks
	report.RatioP50, report.RatioP99 = quantiles(r.responseRatios, ratioScale)
	_, report.RefusalP99Ms = quantiles(r.refusalMicros, 1000)
	slots := float64(len(r.c.Upstreams) * r.c.Spec.Slots)
	report.GoodputShare = r.goodputMs / (slots * float64((r.load.Duration - r.warmUp()).Milliseconds()))
	_, duplicates := r.c.Recorder.Starts()
	report.DuplicateStarts = int64(len(duplicates))
	if leaked := r.c.LeakedSlots(); leaked > 0 {
		report.Violations = append(report.Violations, strconv.Itoa(leaked)+" places are held though no job runs")
	}
	for _, task := range duplicates {
		report.Violations = append(report.Violations, "started twice: "+task)
	}
	report.Losses = r.lossReport()
	for _, s := range r.services {
		s.report.RatioP50, s.report.RatioP99 = quantiles(s.responseRatios, ratioScale)
		s.report.MsP50, s.report.MsP99 = quantiles(s.responseMicros, 1000)
		report.Services = append(report.Services, s.report)
	}
}

// quantiles returns the median and the 99th percentile of h, divided by scale.
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

// lossReport reports on the jobs whose homes were killed while they were in flight.
func (r *loadRun) lossReport() LossReport {
	report := LossReport{First: map[fate.Kind]int{}, Final: map[fate.Kind]int{}, Reasons: map[fate.Reason]int{}}
	answerMicros := hdrhistogram.New(1, maxMicros, significantFigures)
	for _, loss := range r.c.Losses() {
		report.Entries++
		for _, j := range r.jobs {
			if j.home != loss.Name || loss.At.Before(j.started) || loss.At.After(j.ended) {
				continue
			}
			report.Jobs++
			report.First[j.first.Fate]++
			report.Final[j.final.Fate]++
			if j.first.Fate != fate.Complete {
				report.Reasons[j.first.Reason]++
			}
			_ = answerMicros.RecordValue(j.ended.Sub(loss.At).Microseconds())
		}
	}
	report.AnswerP50Ms, report.AnswerP99Ms = quantiles(answerMicros, 1000)
	return report
}
