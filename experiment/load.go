package experiment

import (
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sedgehatch/sedgehatch/api"
	"github.com/sedgehatch/sedgehatch/client"
	"github.com/sedgehatch/sedgehatch/failure"
	"github.com/sedgehatch/sedgehatch/standin"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ServiceLoad describes the jobs that are submitted to one service.
type ServiceLoad struct {
	Name           string
	Callers        int     // number of clients, each with its own session
	Rate           float64 // jobs per second
	MinTasks       int
	MaxTasks       int
	RunMs          Dist    // actual run times of tasks
	DeclaredFactor float64 // declared run time, as a multiple of the actual one; zero means 1
	CPU            float64
	MemoryMB       uint64
	Deadline       time.Duration
	// Resubmit is the share of jobs that are sent a second time under the same key
	// while they run, to one of the entry instances. This emulates callers that
	// assume that their first call is lost.
	Resubmit float64
	// CancelAt holds the times, counted from the start of the load and in ascending
	// order, at which all jobs in flight are cancelled.
	CancelAt []time.Duration
	// Burst is the factor by which the rate is multiplied between the times BurstAt and
	// BurstTo, counted from the start of the load. Zero means no burst.
	Burst            float64
	BurstAt, BurstTo time.Duration
}

// Dist is a distribution of run times, in milliseconds. Run times are lognormal with
// the given median and sigma, clamped to Min and Max, except for the share LongShare
// of them, which is distributed uniformly between Max and LongMax.
type Dist struct {
	Median, Sigma, Min, Max, LongMax float64
	LongShare                        float64
}

func (d Dist) sample(r *rand.Rand) float64 {
	if d.LongShare > 0 && r.Float64() < d.LongShare {
		return d.Max + r.Float64()*(d.LongMax-d.Max)
	}
	v := d.Median * math.Exp(d.Sigma*r.NormFloat64())
	return min(max(v, d.Min), d.Max)
}

// Mean returns the mean run time, estimated from many samples with a fixed seed.
func (d Dist) Mean() float64 {
	const samples = 20000
	r := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	for range samples {
		sum += d.sample(r)
	}
	return sum / samples
}

// Load describes the jobs that RunLoad submits to a cluster.
type Load struct {
	Services []ServiceLoad
	Duration time.Duration
	Seed     uint64
	// ClientConfig returns the client configuration of each caller, for example
	// with another Dial function; nil uses the defaults and plain TCP.
	ClientConfig func(caller int) client.Config
}

// Units and limits of the histograms, which hold integers: response ratios are
// recorded in thousandths, times in microseconds.
const (
	ratioScale         = 1000
	maxRatio           = 10000 * ratioScale
	maxMicros          = 600 * 1000 * 1000
	significantFigures = 3
)

// loadRun is the state of one call of RunLoad.
type loadRun struct {
	c              *Cluster
	load           Load
	startTime      time.Time
	wg             sync.WaitGroup
	mu             sync.Mutex // guards jobs, goodputMs, the reports and the histograms
	report         Report
	responseRatios *hdrhistogram.Histogram
	refusalMicros  *hdrhistogram.Histogram
	services       []*serviceRun
	goodputMs      float64 // run time of the tasks that count as goodput, see Report.GoodputShare
	resubmissions  atomic.Int64
	jobs           []jobRecord
}

// jobRecord is what happened to one job as its caller saw it.
type jobRecord struct {
	home           string // name of the entry instance that is the job's home
	started, ended time.Time
	first, final   api.Answer // answer under the first key, and the last answer, which may be under another key
}

// serviceRun is the part of a loadRun for one service.
type serviceRun struct {
	spec           ServiceLoad
	report         ServiceReport
	responseRatios *hdrhistogram.Histogram
	responseMicros *hdrhistogram.Histogram
	clients        []*client.Client
	inFlight       sync.Map // the *client.Client that submitted each job in flight, by *client.Submission
}

// RunLoad submits load to c as an open loop: jobs are sent when they are due,
// regardless of the progress of earlier ones. It returns when the callers have the
// last answer or error for each job.
func RunLoad(c *Cluster, load Load) (Report, error) {
	r := &loadRun{
		c: c, load: load,
		responseRatios: hdrhistogram.New(1, maxRatio, significantFigures),
		refusalMicros:  hdrhistogram.New(1, maxMicros, significantFigures),
		report:         Report{Reasons: map[string]int{}},
	}
	for i := range load.Services {
		s, err := r.newServiceRun(&load.Services[i])
		if err != nil {
			return Report{}, err
		}
		r.services = append(r.services, s)
	}
	sent, wasted := c.Messages()
	r.startTime = time.Now()
	for i, s := range r.services {
		r.wg.Go(func() { r.sendJobs(s, rand.New(rand.NewPCG(load.Seed, uint64(i)))) })
	}
	r.wg.Wait()
	r.computeReport(sent, wasted)
	for _, s := range r.services {
		for _, cl := range s.clients {
			cl.Close()
		}
	}
	return r.report, nil
}

func (r *loadRun) newServiceRun(load *ServiceLoad) (*serviceRun, error) {
	s := &serviceRun{
		spec: *load, responseRatios: hdrhistogram.New(1, maxRatio, significantFigures), responseMicros: hdrhistogram.New(1, maxMicros, significantFigures),
		report: ServiceReport{Name: load.Name},
	}
	addresses := r.c.CallerAddresses()
	for i := range max(load.Callers, 1) {
		cfg := client.Config{Tracer: r.c.Spec.Tracer}
		if r.load.ClientConfig != nil {
			cfg = r.load.ClientConfig(i)
		}
		// Callers start at different entry instances, as behind a load balancer.
		cfg.Entries = append(append([]string(nil), addresses[i%len(addresses):]...), addresses[:i%len(addresses)]...)
		cfg.Caller = load.Name + "-caller"
		cl, err := client.New(cfg)
		if err != nil {
			return nil, err
		}
		s.clients = append(s.clients, cl)
	}
	return s, nil
}

// sendJobs sends the jobs of one service and cancels jobs in flight, both at their
// scheduled times.
func (r *loadRun) sendJobs(s *serviceRun, rng *rand.Rand) {
	due := time.Duration(0)
	cancels := s.spec.CancelAt
	for n := 0; ; n++ {
		due += time.Duration(rng.ExpFloat64() / r.rateAt(s, due) * float64(time.Second))
		if due > r.load.Duration {
			return
		}
		for len(cancels) > 0 && cancels[0] < due {
			r.sleepUntil(cancels[0])
			r.cancelInFlight(s)
			cancels = cancels[1:]
		}
		job, idealMs := s.drawJob(rng)
		resubmit := rng.Float64() < s.spec.Resubmit
		cl := s.clients[n%len(s.clients)]
		r.sleepUntil(due)
		dueTime := r.startTime.Add(due)
		r.wg.Go(func() { r.submit(s, cl, job, idealMs, dueTime, resubmit) })
	}
}

func (r *loadRun) rateAt(s *serviceRun, at time.Duration) float64 {
	if s.spec.Burst > 0 && at >= s.spec.BurstAt && at < s.spec.BurstTo {
		return s.spec.Rate * s.spec.Burst
	}
	return s.spec.Rate
}

func (r *loadRun) sleepUntil(due time.Duration) { time.Sleep(time.Until(r.startTime.Add(due))) }

// drawJob returns a random job and its ideal response time in milliseconds, which
// is the run time of its longest task.
func (s *serviceRun) drawJob(rng *rand.Rand) (client.Job, float64) {
	n := s.spec.MinTasks + rng.IntN(s.spec.MaxTasks-s.spec.MinTasks+1)
	job := client.Job{Service: s.spec.Name, Deadline: s.spec.Deadline}
	longestMs := 0.0
	for range n {
		runMs := s.spec.RunMs.sample(rng)
		longestMs = max(longestMs, runMs)
		job.Tasks = append(job.Tasks, s.newTask(runMs))
	}
	return job, longestMs
}

func (s *serviceRun) newTask(runMs float64) api.Task {
	payload, err := json.Marshal(standin.TaskPayload{SleepUs: int64(runMs * 1000)})
	if err != nil {
		panic(err) // impossible: the payload holds only a number
	}
	declared := s.spec.DeclaredFactor
	if declared == 0 {
		declared = 1
	}
	return api.Task{CPU: s.spec.CPU, MemoryMB: s.spec.MemoryMB, RunMs: uint32(max(runMs*declared, 1)), Payload: payload}
}

func (r *loadRun) submit(s *serviceRun, cl *client.Client, job client.Job, idealMs float64, due time.Time, resubmit bool) {
	ctx := context.Background()
	sub, err := cl.Prepare(ctx, job)
	if err != nil {
		r.recordAnswer(s, job, api.Answer{}, err, idealMs, time.Since(due))
		return
	}
	s.inFlight.Store(sub, cl)
	defer s.inFlight.Delete(sub)
	if resubmit {
		r.wg.Go(func() { r.resubmit(sub, cl, idealMs) })
	}
	started := time.Now()
	answer, err := sub.Submit(ctx)
	record := jobRecord{home: homeName(sub), started: started, first: answer}
	if sessionEnded(answer, err) {
		// It is certain that the job did not run, and the only reason is that its
		// session or its home ended. So it is submitted again under a new key.
		cl.Leave(sub)
		answer, err = cl.Do(ctx, job)
	}
	record.ended, record.final = time.Now(), answer
	r.mu.Lock()
	r.jobs = append(r.jobs, record)
	r.mu.Unlock()
	r.recordAnswer(s, job, answer, err, idealMs, time.Since(due))
}

// homeName returns the name of the home of a submission, or an empty string if
// its session is invalid.
func homeName(sub *client.Submission) string {
	log, err := sub.Key().Session.Log()
	if err != nil {
		return ""
	}
	return log.Home.Instance()
}

// sessionEnded reports whether the answer or the error says that the job did not run,
// for the sole reason that its session or its home had ended or was shutting down.
func sessionEnded(answer api.Answer, err error) bool {
	return failure.Is(err, failure.SessionEnded) || failure.Is(err, failure.Stopping) || err == nil && client.HomeEnded(&answer)
}

// resubmit waits for half of the ideal response time, after which the job should be
// running, and then sends the job again under the same key. The entry instances
// receive such resubmissions in turn.
func (r *loadRun) resubmit(sub *client.Submission, cl *client.Client, idealMs float64) {
	time.Sleep(time.Duration(idealMs / 2 * float64(time.Millisecond)))
	addresses := r.c.CallerAddresses()
	if len(addresses) == 0 {
		return
	}
	r.resubmissions.Add(1)
	n := r.resubmissions.Load()
	_, _ = sub.SendTo(context.Background(), addresses[int(n)%len(addresses)])
}

func (r *loadRun) cancelInFlight(s *serviceRun) {
	s.inFlight.Range(func(key, value any) bool {
		r.wg.Go(func() { _, _ = value.(*client.Client).Cancel(context.Background(), key.(*client.Submission).Key()) })
		return true
	})
}
