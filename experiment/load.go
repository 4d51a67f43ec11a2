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

// ServiceLoad is the jobs of one service.
type ServiceLoad struct {
	Name     string
	Callers  int     // clients, each with a session of its own
	Rate     float64 // jobs a second
	MinTasks int
	MaxTasks int
	RunMs    Dist    // true run times
	Declared float64 // what jobs declare, as a multiple of the true run time; zero is 1
	CPU      float64
	MemoryMB uint64
	Deadline time.Duration
	// Resubmit is the share of jobs that are sent to another entry too while
	// they run, as a caller does that believes them lost.
	Resubmit float64
	// CancelAt cancels every job in flight at these moments from the start.
	CancelAt []time.Duration
	// Burst multiplies the rate between two moments from the start.
	Burst            float64
	BurstAt, BurstTo time.Duration
}

// Dist is a distribution of run times: lognormal about Median, cut off at Min
// and Max, with a share of long ones between Max and Long. All in milliseconds.
type Dist struct {
	Median, Sigma, Min, Max, Long float64
	LongShare                     float64
}

func (d Dist) draw(r *rand.Rand) float64 {
	if d.LongShare > 0 && r.Float64() < d.LongShare {
		return d.Max + r.Float64()*(d.Long-d.Max)
	}
	v := d.Median * math.Exp(d.Sigma*r.NormFloat64())
	return min(max(v, d.Min), d.Max)
}

// Mean returns the mean run time, from many draws with a fixed seed.
func (d Dist) Mean() float64 {
	const draws = 20000
	r := rand.New(rand.NewPCG(1, 1))
	sum := 0.0
	for range draws {
		sum += d.draw(r)
	}
	return sum / draws
}

// Load is what RunLoad puts on a cluster.
type Load struct {
	Services []ServiceLoad
	Duration time.Duration
	Seed     uint64
	// Dial opens callers' connections; nil is TCP.
	Dial func(caller int) client.Config
}

// The histograms' bounds: ratios in thousandths, times in microseconds.
const (
	ratioScale   = 1000
	maxRatio     = 10000 * ratioScale
	maxMicros    = 600 * 1000 * 1000
	significance = 3
)

// run is one run of a load.
type run struct {
	c         *Cluster
	load      Load
	began     time.Time
	wg        sync.WaitGroup
	mu        sync.Mutex
	report    Report
	ratios    *hdrhistogram.Histogram
	refusals  *hdrhistogram.Histogram
	services  []*serviceRun
	goodMs    float64
	resubmits atomic.Int64
	jobs      []jobRecord
}

// jobRecord is a job as its caller saw it.
type jobRecord struct {
	home         string
	began, ended time.Time
	first, final api.Answer
}

type serviceRun struct {
	load    ServiceLoad
	report  ServiceReport
	ratios  *hdrhistogram.Histogram
	micros  *hdrhistogram.Histogram
	clients []*client.Client
	flight  sync.Map // *client.Submission
}

// RunLoad puts load on c, open loop: jobs are sent when they are due, whatever
// became of those before. It returns once every job has its fate.
func RunLoad(c *Cluster, load Load) (Report, error) {
	r := &run{
		c: c, load: load,
		ratios:   hdrhistogram.New(1, maxRatio, significance),
		refusals: hdrhistogram.New(1, maxMicros, significance),
		report:   Report{Reasons: map[string]int{}},
	}
	for i := range load.Services {
		s, err := r.newService(&load.Services[i])
		if err != nil {
			return Report{}, err
		}
		r.services = append(r.services, s)
	}
	sent, wasted := c.Messages()
	r.began = time.Now()
	for i, s := range r.services {
		r.wg.Go(func() { r.drive(s, rand.New(rand.NewPCG(load.Seed, uint64(i)))) })
	}
	r.wg.Wait()
	r.finish(sent, wasted)
	for _, s := range r.services {
		for _, cl := range s.clients {
			cl.Close()
		}
	}
	return r.report, nil
}

func (r *run) newService(load *ServiceLoad) (*serviceRun, error) {
	s := &serviceRun{
		load: *load, ratios: hdrhistogram.New(1, maxRatio, significance), micros: hdrhistogram.New(1, maxMicros, significance),
		report: ServiceReport{Name: load.Name},
	}
	addresses := r.c.CallerAddresses()
	for i := range max(load.Callers, 1) {
		cfg := client.Config{Tracer: r.c.Spec.Tracer}
		if r.load.Dial != nil {
			cfg = r.load.Dial(i)
		}
		// Each caller begins at another entry, as behind a balancer.
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

// drive sends the jobs of one service when they are due.
func (r *run) drive(s *serviceRun, rng *rand.Rand) {
	due := time.Duration(0)
	cancels := s.load.CancelAt
	for n := 0; ; n++ {
		due += time.Duration(rng.ExpFloat64() / r.rate(s, due) * float64(time.Second))
		if due > r.load.Duration {
			return
		}
		for len(cancels) > 0 && cancels[0] < due {
			r.waitUntil(cancels[0])
			r.cancelAll(s)
			cancels = cancels[1:]
		}
		job, ideal := s.job(rng)
		again := rng.Float64() < s.load.Resubmit
		cl := s.clients[n%len(s.clients)]
		r.waitUntil(due)
		at := r.began.Add(due)
		r.wg.Go(func() { r.submit(s, cl, job, ideal, at, again) })
	}
}

func (r *run) rate(s *serviceRun, at time.Duration) float64 {
	if s.load.Burst > 0 && at >= s.load.BurstAt && at < s.load.BurstTo {
		return s.load.Rate * s.load.Burst
	}
	return s.load.Rate
}

func (r *run) waitUntil(due time.Duration) { time.Sleep(time.Until(r.began.Add(due))) }

// job draws a job, and returns its ideal response in milliseconds.
func (s *serviceRun) job(rng *rand.Rand) (client.Job, float64) {
	n := s.load.MinTasks + rng.IntN(s.load.MaxTasks-s.load.MinTasks+1)
	job := client.Job{Service: s.load.Name, Deadline: s.load.Deadline}
	longest := 0.0
	for range n {
		runMs := s.load.RunMs.draw(rng)
		longest = max(longest, runMs)
		job.Tasks = append(job.Tasks, s.task(runMs))
	}
	return job, longest
}

func (s *serviceRun) task(runMs float64) api.Task {
	payload, err := json.Marshal(standin.TaskPayload{SleepUs: int64(runMs * 1000)})
	if err != nil {
		panic(err) // cannot be: numbers only
	}
	declared := s.load.Declared
	if declared == 0 {
		declared = 1
	}
	return api.Task{CPU: s.load.CPU, MemoryMB: s.load.MemoryMB, RunMs: uint32(max(runMs*declared, 1)), Payload: payload}
}

func (r *run) submit(s *serviceRun, cl *client.Client, job client.Job, ideal float64, due time.Time, again bool) {
	ctx := context.Background()
	sub, err := cl.Prepare(ctx, job)
	if err != nil {
		r.note(s, job, api.Answer{}, err, ideal, time.Since(due))
		return
	}
	s.flight.Store(sub, cl)
	defer s.flight.Delete(sub)
	if again {
		r.wg.Go(func() { r.resubmit(sub, cl, ideal) })
	}
	began := time.Now()
	answer, err := sub.Submit(ctx)
	record := jobRecord{home: homeName(sub), began: began, first: answer}
	if ended(answer, err) {
		// Provably not run, only for where it was sent: the library sends it
		// again under a new key.
		cl.Leave(sub)
		answer, err = cl.Do(ctx, job)
	}
	record.ended, record.final = time.Now(), answer
	r.mu.Lock()
	r.jobs = append(r.jobs, record)
	r.mu.Unlock()
	r.note(s, job, answer, err, ideal, time.Since(due))
}

func homeName(sub *client.Submission) string {
	log, err := sub.Key().Session.Log()
	if err != nil {
		return ""
	}
	return log.Home.Instance()
}

func ended(answer api.Answer, err error) bool {
	return failure.Is(err, failure.SessionEnded) || failure.Is(err, failure.Stopping) || err == nil && client.HomeEnded(&answer)
}

// resubmit sends the same key to some entry while the job should be running.
func (r *run) resubmit(sub *client.Submission, cl *client.Client, ideal float64) {
	time.Sleep(time.Duration(ideal / 2 * float64(time.Millisecond)))
	addresses := r.c.CallerAddresses()
	if len(addresses) == 0 {
		return
	}
	r.resubmits.Add(1)
	n := r.resubmits.Load()
	_, _ = sub.SendTo(context.Background(), addresses[int(n)%len(addresses)])
}

func (r *run) cancelAll(s *serviceRun) {
	s.flight.Range(func(key, value any) bool {
		r.wg.Go(func() { _, _ = value.(*client.Client).Cancel(context.Background(), key.(*client.Submission).Key()) })
		return true
	})
}
